package router

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
)

// attempts selects the endpoints that one placement tries, one after another.
type attempts struct {
	p            *placer
	excluded     []fleet.EndpointID // tried before, or at their limit
	reserved     []fleet.EndpointID // used only if no other endpoint is left
	remaining    int
	limitReached bool // some endpoint was at its limit
}

// newAttempts excludes the endpoints to avoid and those at their limits. If spare is
// set, endpoints that have a limit are left to other requests as long as there are
// others.
func (p *placer) newAttempts(avoid []fleet.EndpointID, spare bool) *attempts {
	t := &attempts{p: p, excluded: slices.Clone(avoid), remaining: maxPlaceAttempts}
	if p.endpointLimits == nil {
		return t
	}
	full := p.endpointLimits.AtLimit()
	t.limitReached = len(full) > 0
	t.excluded = append(t.excluded, full...)
	if spare {
		t.reserved = p.endpointLimits.Limited()
	}
	return t
}

// excludedEndpoints returns the endpoints that the next attempt must not use.
func (t *attempts) excludedEndpoints() []fleet.EndpointID {
	return slices.Concat(t.excluded, t.reserved)
}

// includeReserved allows the reserved endpoints. It returns false if there are none.
func (t *attempts) includeReserved() bool {
	if len(t.reserved) == 0 {
		return false
	}
	t.reserved = nil
	t.remaining++
	return true
}

// next reports whether another endpoint may be tried.
func (t *attempts) next() bool {
	t.remaining--
	return t.remaining >= 0
}

// acquire reports whether the endpoint can take the request, and takes capacity of its
// limit. If it cannot, the next attempt excludes it.
func (t *attempts) acquire(now time.Time, e fleet.EndpointID, repeatable bool) bool {
	if t.p.mayTry(now, e, repeatable) {
		if t.p.endpointLimits == nil || t.p.endpointLimits.Acquire(e) {
			return true
		}
		// Not counted as an attempt: each such endpoint is met once, as it is excluded
		// from now on.
		t.limitReached = true
		t.remaining++
	}
	t.excluded = append(t.excluded, e)
	return false
}

// refusal returns the error for a request that no endpoint can take.
func (t *attempts) refusal() *forward.RefusedError {
	if t.limitReached {
		return &forward.RefusedError{Code: codeAtLimits, RetryAfter: t.p.overloadRetryAfter()}
	}
	return &forward.RefusedError{Code: codeNoEndpoint, RetryAfter: noEndpointRetryAfter}
}
