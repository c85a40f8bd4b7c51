// Package baseline holds simple ways of placing requests, as references for package
// placement in tests and replays. They see the same late load reports, and are
// told of failing endpoints, but learn nothing of caches.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
)

// Kind names a baseline.
type Kind string

// The baselines.
const (
	Random      Kind = "random"
	RoundRobin  Kind = "round-robin"
	LeastLoaded Kind = "least-loaded" // by the last report and what was sent since
	PromptHash  Kind = "prompt-hash"  // rendezvous hash of the whole prompt
)

// Kinds lists the baselines.
func Kinds() []Kind { return []Kind{Random, RoundRobin, LeastLoaded, PromptHash} }

type state struct {
	id    fleet.EndpointID
	hash  uint64
	gated bool
	load  fleet.Load
	sent  []sent // since the last report
}

type sent struct {
	at     time.Time
	tokens int
}

// Chooser places requests by one baseline. It is not safe for concurrent use.
type Chooser struct {
	kind      Kind
	random    *rand.Rand
	next      int
	endpoints []state
}

// New returns a Chooser over the endpoints. The seed also sets where round
// robin begins, since daemons do not begin together.
func New(kind Kind, seed uint64, endpoints []fleet.Endpoint) *Chooser {
	c := &Chooser{kind: kind, random: rand.New(rand.NewPCG(seed, 1))}
	for _, e := range endpoints {
		c.endpoints = append(c.endpoints, state{id: e.ID, hash: xxhash.Sum64String(string(e.ID))})
	}
	c.next = c.random.IntN(max(1, len(endpoints)))
	return c
}

// SetAvailability tells whether an endpoint may be given work.
func (c *Chooser) SetAvailability(id fleet.EndpointID, g placement.Availability) {
	if s := c.find(id); s != nil {
		s.gated = g != placement.Available
	}
}

// LoadReported takes a load report.
func (c *Chooser) LoadReported(id fleet.EndpointID, l fleet.Load) {
	s := c.find(id)
	if s == nil || l.At.Before(s.load.At) {
		return
	}
	s.load = l
	s.sent = slices.DeleteFunc(s.sent, func(w sent) bool { return !w.at.After(l.At) })
}

// Place chooses an endpoint. It returns placement.ErrNoEndpoint if none is
// open.
func (c *Chooser) Place(now time.Time, r placement.Request) (fleet.EndpointID, error) {
	var open []*state
	for i := range c.endpoints {
		s := &c.endpoints[i]
		if !s.gated && !slices.Contains(r.Avoid, s.id) {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return "", placement.ErrNoEndpoint
	}
	s := c.choose(open, r)
	s.sent = append(s.sent, sent{at: now, tokens: r.Tokens})
	return s.id, nil
}

func (c *Chooser) choose(open []*state, r placement.Request) *state {
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
		return slices.MaxFunc(open, func(a, b *state) int {
			if mix(a.hash^key) < mix(b.hash^key) {
				return -1
			}
			return 1
		})
	default:
		return open[c.random.IntN(len(open))]
	}
}

// queued is the work in tokens; a running request counts a little, so that
// idle endpoints come before busy ones without a queue.
func (s *state) queued() int {
	n := s.load.WaitingTokens + s.load.Running
	for _, w := range s.sent {
		n += w.tokens
	}
	return n
}

func (c *Chooser) find(id fleet.EndpointID) *state {
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
