package router

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
)

// attempts selects the endpoints that one placement tries, one after another.
type attempts struct {
	p            *placer
	service      string
	excluded     []fleet.EndpointID // tried before, or at their limit
	reserved     []fleet.EndpointID // used only if no other endpoint is left
	remaining    int
	limitReached bool // some endpoint was at its limit
}

// newAttempts excludes the endpoints to avoid and those at their limits. If spare is
// set, endpoints that have a limit are left to other requests as long as there are
// others. A request that has failed already is not used to find out whether an endpoint
// has recovered from the overload for which it asked for a backoff.
func (p *placer) newAttempts(req *forward.PlacementRequest, avoid []fleet.EndpointID, spare bool) *attempts {
	a := &attempts{p: p, service: req.Service.Name, excluded: slices.Clone(avoid), remaining: maxPlaceAttempts}
	if req.Attempt > 0 {
		p.state.mu.Lock()
		a.reserved = p.state.roster.BackedOff()
		p.state.mu.Unlock()
	}
	if p.endpointLimits == nil {
		return a
	}
	a.exclude(p.endpointLimits.AtLimit())
	if spare {
		a.reserved = append(a.reserved, p.endpointLimits.Limited()...)
	}
	return a
}

// exclude excludes endpoints that are at a limit.
func (a *attempts) exclude(full []fleet.EndpointID) {
	a.limitReached = a.limitReached || len(full) > 0
	a.excluded = append(a.excluded, full...)
}

// excludedEndpoints returns the endpoints that the next attempt must not use.
func (a *attempts) excludedEndpoints() []fleet.EndpointID {
	return slices.Concat(a.excluded, a.reserved)
}

// includeReserved allows the reserved endpoints. It returns false if there are none.
func (a *attempts) includeReserved() bool {
	if len(a.reserved) == 0 {
		return false
	}
	a.reserved = nil
	a.remaining++
	return true
}

// next reports whether another endpoint may be tried.
func (a *attempts) next() bool {
	a.remaining--
	return a.remaining >= 0
}

// acquire returns the endpoint if it can take the request, and takes capacity of its
// limit. Otherwise it returns nil, and the next attempt excludes the endpoint.
func (a *attempts) acquire(now time.Time, e fleet.EndpointID, repeatable bool) *directory.Endpoint {
	if found := a.p.mayTry(now, e, repeatable); found != nil {
		if a.p.endpointLimits == nil || a.p.endpointLimits.Acquire(e) {
			return found
		}
		// Not counted as an attempt: each such endpoint is met once, as it is excluded
		// from now on.
		a.limitReached = true
		a.remaining++
	}
	a.excluded = append(a.excluded, e)
	return nil
}

// refusal returns the error for a request that no endpoint can take.
func (a *attempts) refusal(now time.Time) *forward.RefusedError {
	if a.limitReached {
		return &forward.RefusedError{Code: codeAtLimits, RetryAfter: a.p.overloadRetryAfter()}
	}
	return a.p.noEndpoint(now, a.service)
}

// noEndpoint returns the error for a request that no endpoint of the service can take. If
// all of them asked this daemon to back off, callers return when the first one takes
// requests again, spread over a while.
func (p *placer) noEndpoint(now time.Time, service string) *forward.RefusedError {
	p.state.mu.Lock()
	left := p.state.roster.AllBackingOffFor(now, service)
	p.state.mu.Unlock()
	if left > 0 {
		return &forward.RefusedError{Code: codeBackingOff, RetryAfter: left + p.overloadRetryAfter()}
	}
	return &forward.RefusedError{Code: codeNoEndpoint, RetryAfter: noEndpointRetryAfter}
}
