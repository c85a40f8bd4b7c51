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
}

// tries begins with the endpoints that are not at their limits.
func (p *placer) tries(avoid []fleet.EndpointID) *tries {
	t := &tries{p: p, avoid: slices.Clone(avoid), left: placeTries}
	if p.limits != nil {
		full := p.limits.full()
		t.avoid, t.limited = append(t.avoid, full...), len(full) > 0
	}
	return t
}

// next tells whether another endpoint may be tried.
func (t *tries) next() bool {
	t.left--
	return t.left >= 0
}

// take tells whether the endpoint may have the request. If not, the next try avoids it.
func (t *tries) take(now time.Time, e fleet.EndpointID, repeatable bool) bool {
	if t.p.mayTry(now, e, repeatable) {
		if t.p.limits == nil || t.p.limits.take(e) {
			return true
		}
		// What is at its limit shortens the list of all that are not, once.
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
