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
	barred  []fleet.EndpointID // tried before, or without room
	spared  []fleet.EndpointID // left to other requests, as long as there are others
	left    int
	limited bool // some endpoint was at its limit
}

// tries begins with the endpoints that are not at their limits. spare leaves those that
// have a limit to other requests, as long as there are others.
func (p *placer) tries(avoid []fleet.EndpointID, spare bool) *tries {
	t := &tries{p: p, barred: slices.Clone(avoid), left: placeTries}
	if p.room == nil {
		return t
	}
	full := p.room.AtLimit()
	t.limited = len(full) > 0
	t.barred = append(t.barred, full...)
	if spare {
		t.spared = p.room.Limited()
	}
	return t
}

// avoid lists the endpoints that the next try may not take.
func (t *tries) avoid() []fleet.EndpointID { return slices.Concat(t.barred, t.spared) }

// widen takes in the endpoints that were spared. It returns false if there are none.
func (t *tries) widen() bool {
	if len(t.spared) == 0 {
		return false
	}
	t.spared = nil
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
		if t.p.room == nil || t.p.room.Acquire(e) {
			return true
		}
		// This does not count as a try: each such endpoint is met once, as it is barred
		// from now on.
		t.limited = true
		t.left++
	}
	t.barred = append(t.barred, e)
	return false
}

// refusal is why there is no place.
func (t *tries) refusal() *forward.RefusedError {
	if t.limited {
		return &forward.RefusedError{Code: codeAtLimits, RetryAfter: t.p.spread()}
	}
	return &forward.RefusedError{Code: codeNoEndpoint, RetryAfter: noEndpointAfter}
}
