// Package baseline implements simple placement policies as references for package placement
// in tests and replays. They receive the same late load reports and the availability of
// endpoints, but track no caches.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// Kind is the name of a baseline policy.
type Kind string

// Baseline policies.
const (
	Random      Kind = "random"
	RoundRobin  Kind = "round-robin"
	LeastLoaded Kind = "least-loaded" // by the last load report and the requests sent since
	PromptHash  Kind = "prompt-hash"  // rendezvous hash of the whole prompt
)

// Kinds returns all baseline policies.
func Kinds() []Kind { return []Kind{Random, RoundRobin, LeastLoaded, PromptHash} }

type endpointState struct {
	id          fleet.EndpointID
	hash        uint64
	unavailable bool
	load        fleet.Load
	sent        []sentRequest // since the last load report
}

type sentRequest struct {
	at     time.Time
	tokens int
}

// Chooser places requests by one baseline policy. It is not safe for concurrent use.
type Chooser struct {
	kind      Kind
	random    *rand.Rand
	next      int
	endpoints []endpointState
}

// New returns a Chooser over the endpoints. The seed also determines where round robin
// starts, since daemons do not start at the same time.
func New(kind Kind, seed uint64, endpoints []fleet.Endpoint) *Chooser {
	c := &Chooser{kind: kind, random: rand.New(rand.NewPCG(seed, 1))}
	for _, e := range endpoints {
		c.endpoints = append(c.endpoints, endpointState{id: e.ID, hash: xxhash.Sum64String(string(e.ID))})
	}
	c.next = c.random.IntN(max(1, len(endpoints)))
	return c
}

// SetAvailability sets whether an endpoint may be given requests.
func (c *Chooser) SetAvailability(id fleet.EndpointID, g placement.Availability) {
	if s := c.find(id); s != nil {
		s.unavailable = g != placement.Available
	}
}

// LoadReported applies a load report.
func (c *Chooser) LoadReported(id fleet.EndpointID, l fleet.Load) {
	s := c.find(id)
	if s == nil || l.At.Before(s.load.At) {
		return
	}
	s.load = l
	s.sent = slices.DeleteFunc(s.sent, func(w sentRequest) bool { return !w.at.After(l.At) })
}

// Place chooses an endpoint. It returns placement.ErrNoEndpoint if none is available.
func (c *Chooser) Place(now time.Time, r placement.Request) (fleet.EndpointID, error) {
	var open []*endpointState
	for i := range c.endpoints {
		s := &c.endpoints[i]
		if !s.unavailable && !slices.Contains(r.Avoid, s.id) {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return "", placement.ErrNoEndpoint
	}
	s := c.choose(open, r)
	s.sent = append(s.sent, sentRequest{at: now, tokens: r.Tokens})
	return s.id, nil
}

func (c *Chooser) choose(open []*endpointState, r placement.Request) *endpointState {
	switch c.kind {
	case RoundRobin:
		c.next++
		return open[c.next%len(open)]
	case LeastLoaded:
		start := c.random.IntN(len(open))
		best := open[start]
		for i := range open {
			if s := open[(start+i)%len(open)]; s.queued() < best.queued() {
				best = s
			}
		}
		return best
	case PromptHash:
		var key uint64
		if n := len(r.Levels); n > 0 {
			key = r.Levels[n-1].Key.Uint64()
		}
		return slices.MaxFunc(open, func(a, b *endpointState) int {
			if mix(a.hash^key) < mix(b.hash^key) {
				return -1
			}
			return 1
		})
	default:
		return open[c.random.IntN(len(open))]
	}
}

// queued returns the queued work in tokens. Running requests add one each, so that idle
// endpoints precede busy ones without a queue.
func (s *endpointState) queued() int {
	n := s.load.WaitingTokens + s.load.Running
	for _, w := range s.sent {
		n += w.tokens
	}
	return n
}

func (c *Chooser) find(id fleet.EndpointID) *endpointState {
	for i := range c.endpoints {
		if c.endpoints[i].id == id {
			return &c.endpoints[i]
		}
	}
	return nil
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
