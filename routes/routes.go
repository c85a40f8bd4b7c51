// Package routes defines the operator configuration of routed requests: the
// routes from hosts and paths to services, the organisations that may use them,
// and the limits.
//
// A Table does not change after BuildIndex, so that a request can use the same one
// from beginning to end. The package does no I/O and reads no clock.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/quota"
)

// Kind determines whether a request may be repeated at another endpoint.
type Kind uint8

// The kinds of request. The zero value is the strictest.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run more than once
	Stream             // answered by a stream; runs at most once unless the route is resumable
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
	// Stores are the KV cache stores among the services, in the order of their
	// addresses. BuildIndex sets it.
	Stores []*Store
	byHost map[string][]*Route
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name              string
	Host              string
	PathPrefix        string
	Kind              Kind
	Timeout           time.Duration // longest time that a caller waits
	TargetLatency     time.Duration // latency objective: until the answer, or the first event of a stream
	EventGap          time.Duration // longest pause between events of a stream
	MaxAttempts       int           // endpoints that one request may be sent to
	Priority          int           // 0 is the most urgent
	Public            bool          // no API key needed
	HasPromptSegments bool          // requests list the segments of their prompt
	Resumable         bool          // a stream may continue at another endpoint
	Backends          []Backend
}

// Backend is one of the services of a route with its weight.
type Backend struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one endpoint accepts from all callers
	Engine     *Engine // nil for a plain service
	Store      *Store  // set for a KV cache store, which no route leads to
}

// Engine holds the common properties of the endpoints of a model service.
type Engine struct {
	Slots          int     // requests in one batch
	CapacityTokens int     // KV cache of one endpoint
	BytesPerToken  int     // of the KV cache
	LinkMbps       float64 // between endpoints
	MaxFollowers   int     // daemons that may follow the events of one endpoint's cache
	Models         []string
}

// Store holds the properties of a KV cache store.
type Store struct {
	Address        string // IP:port
	Zone           string
	CapacityTokens int
	LinkMbps       float64
	MaxFollowers   int // daemons that may follow its events
}

// Limits bounds the size of requests and the idle time of connections.
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
	// Isolated means that its KV cache is not shared with other organisations.
	Isolated bool
	// Limit bounds the requests of the organisation at all daemons together. The
	// zero value is no limit.
	Limit    quota.Limit
	QuotaKey quota.Key // of Name
	// Weight is that of the organisation's share of a service that is short of capacity;
	// 0: none is configured.
	Weight float64
}

// RateLimits returns the limits of the organisations that have one.
func (t *Table) RateLimits() map[quota.Key]quota.Limit {
	out := map[quota.Key]quota.Limit{}
	for _, o := range t.Organisations {
		if o.Limit.PerSecond > 0 {
			out[o.QuotaKey] = o.Limit
		}
	}
	return out
}

// BuildIndex fills in the fields that are computed from the others. Call it once,
// before Match.
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

// Match returns the route of the host with the longest prefix of the path, or nil
// if there is none. A port in host is ignored. The path is compared as it was sent,
// without decoding or cleaning.
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

// SelectBackend returns the service for a request, chosen by weight with a uniform
// hash of the request's ID, so that all attempts of a request go to the same
// service. It returns "" if no backend has a weight above 0.
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

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// EffectivePriority returns the priority of a request of the organisation on the
// route; 0 is the most urgent. The organisation's priority takes precedence over
// the route's.
func (r *Route) EffectivePriority(o *Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}
