// Package routes holds what operators configure for routed requests: which host
// and path lead to which service, who may use them, and within which limits.
//
// A Table never changes once it is made, so that a request keeps the one it
// began with. The package does no I/O and reads no clock.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/quota"
)

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of request. The zero value is the strictest.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run more than once
	Stream             // runs at most once, unless the route is resumable
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "kind(?)"
	}
	return kindNames[k]
}

// Table is one version of the configuration.
type Table struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Limits        Limits
	KeysRequired  bool                     // routes that are not public need an API key
	Organisations map[string]*Organisation // by API key
	// Stores are the stores of KV cache among the services, in the order of
	// their addresses. Index sets it.
	Stores []*Store
	byHost map[string][]*Route
}

// Route leads from a host and a path prefix to services.
type Route struct {
	Name              string
	Host              string
	PathPrefix        string
	Kind              Kind
	Timeout           time.Duration // longest time that a caller is kept waiting
	TargetLatency     time.Duration // until the answer, or the first event of a stream
	EventGap          time.Duration // longest pause between events of a stream
	MaxAttempts       int           // endpoints that one request may be sent to
	Priority          int           // 0 is the most urgent
	Public            bool          // no API key needed
	HasPromptSegments bool          // requests name the parts of their prompt
	Resumable         bool          // a stream may go on at another endpoint
	Backends          []Backend
}

// Backend is one of the services of a route with its part of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one endpoint takes from all callers
	Engine     *Engine // nil for a plain service
	Store      *Store  // set for a store of KV cache, which no route leads to
}

// Engine is what the endpoints of a model service have in common.
type Engine struct {
	Slots          int     // requests in one batch
	CapacityTokens int     // KV cache of one endpoint
	BytesPerToken  int     // of KV cache
	LinkMbps       float64 // between endpoints
	MaxFollowers   int     // daemons that may follow the events of one endpoint's cache
	Models         []string
}

// Store is a store of KV cache.
type Store struct {
	Address        string // IP:port
	Zone           string
	CapacityTokens int
	LinkMbps       float64
	MaxFollowers   int // daemons that may follow its events
}

// Limits bound what callers may send and how long they may idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer of the deployment.
type Organisation struct {
	Name        string
	Priority    int
	HasPriority bool
	// Isolated says that its KV cache may not be shared with any other
	// organisation.
	Isolated bool
	// Limit bounds the requests of the organisation over all daemons. The zero
	// value is no limit.
	Limit    quota.Limit
	QuotaKey quota.Key // of Name
}

// RateLimits lists the limits of the organisations that have one.
func (t *Table) RateLimits() map[quota.Key]quota.Limit {
	out := map[quota.Key]quota.Limit{}
	for _, o := range t.Organisations {
		if o.Limit.PerSecond > 0 {
			out[o.QuotaKey] = o.Limit
		}
	}
	return out
}

// BuildIndex prepares the table for use. Call it once, when all else is filled in.
func (t *Table) BuildIndex() {
	for _, s := range t.Services {
		if s.Store != nil {
			t.Stores = append(t.Stores, s.Store)
		}
	}
	slices.SortFunc(t.Stores, func(a, b *Store) int { return cmp.Compare(a.Address, b.Address) })
	t.byHost = make(map[string][]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
}

// Match returns the route with the longest prefix of the path among those of
// the host, nil if there is none. The path is taken as it was sent.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// SelectBackend returns the service for a request, by a uniform hash of its id. The
// same request always meets the same service. It returns "" for a route
// without a service that has weight.
func (r *Route) SelectBackend(hash uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return ""
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// EffectivePriority is the priority of a request of the organisation on the route, 0
// first. The organisation's own goes before the route's.
func (r *Route) EffectivePriority(o *Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}
