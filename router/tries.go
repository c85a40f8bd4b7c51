package router

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
)

// tries are the endpoints that one placement tries, one after another.
type tries struct {
	p       *placer
	avoid   []fleet.EndpointID
	left    int
	limited bool // some endpoint was at its limit
	spared  bool // endpoints with a limit are left to other requests, as long as there are others
	full    []fleet.EndpointID
}

// tries begins with the endpoints that are not at their limits. spare leaves those that
// have a limit to other requests, as long as there are others.
func (p *placer) tries(avoid []fleet.EndpointID, spare bool) *tries {
	t := &tries{p: p, avoid: slices.Clone(avoid), left: placeTries}
	if p.room == nil {
		return t
	}
	t.full = p.room.Full()
	t.limited = len(t.full) > 0
	out := t.full
	if spare {
		out = p.room.Limited()
		t.spared = len(out) > len(t.full)
	}
	t.avoid = append(t.avoid, out...)
	return t
}

// widen takes in the endpoints that were spared. It returns false if there are none.
func (t *tries) widen() bool {
	if !t.spared {
		return false
	}
	t.spared = false
	t.avoid = slices.DeleteFunc(t.avoid, func(e fleet.EndpointID) bool {
		return t.p.room.Has(e) && !slices.Contains(t.full, e)
	})
	t.left++
	return true
}

// next tells whether another endpoint may be tried.
func (t *tries) next() bool {
	t.left--
	return t.left >= 0
}

// take tells whether the endpoint may have the request. If not, the next try avoids it.
func (t *tries) take(now time.Time, e fleet.EndpointID, repeatable bool) bool {
	if t.p.mayTry(now, e, repeatable) {
		if t.p.room == nil || t.p.room.Take(e) {
			return true
		}
		// This does not count as a try: each such endpoint is met once, as it is avoided
		// from now on.
		t.limited = true
		t.left++
	}
	t.avoid = append(t.avoid, e)
	return false
}

// refusal is why there is no place.
func (t *tries) refusal() *forward.RefusedError {
	if t.limited {
		return &forward.RefusedError{Code: codeAtLimits, RetryAfter: t.p.spread()}
	}
	return &forward.RefusedError{Code: codeNoEndpoint, RetryAfter: noEndpointAfter}
}
