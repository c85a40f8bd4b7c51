package quota

import (
	"math"
	"time"
)

// account is what one daemon holds and wants of an organisation's limit.
type account struct {
	key   Key
	shard int
	limit Limit

	// Lent tokens are kept in two generations: those of the present grantLife and
	// those of the one before it.
	current, previous float64
	expiresAt         time.Duration // when old becomes void and fresh becomes old

	demand   float64 // units/s, smoothed
	demandAt time.Duration
	last     float64 // cost of the newest request

	waiters  []waiter
	rejected float64 // units turned away since the owner was last told

	deniedUntil time.Duration // no question before
	retryAfter  time.Duration // that the owner named
	used        float64       // part of the limit, by the owner's word
	updatedAt   time.Duration // when the owner last said anything of the account
}

// waiter is a request that waits for the owner's word.
type waiter struct {
	cost  float64
	since time.Duration
	asked bool // a question names it
	done  func(Verdict)
}

// roundingError is the part of a unit by which sums of units may be off.
const roundingError = 1e-3

// expireLent voids lent tokens that were not used in time.
func (a *account) expireLent(now time.Duration) {
	switch {
	case now < a.expiresAt:
		return
	case now < a.expiresAt+grantTTL:
		a.previous, a.current = a.current, 0
	default:
		a.previous, a.current = 0, 0
	}
	a.expiresAt = now + grantTTL
}

func (a *account) balance() float64 { return a.current + a.previous }

// spend uses lent tokens for a request. It returns false if they do not suffice.
func (a *account) spend(cost float64) bool {
	if a.balance() < cost-roundingError {
		return false
	}
	used := max(0, min(a.previous, cost))
	a.previous -= used
	a.current -= cost - used
	return true
}

// add takes tokens that were lent, or that a request gives back.
func (a *account) add(units float64) { a.current += units }

// countDemand counts a request into the demand.
func (a *account) countDemand(now time.Duration, cost float64) {
	a.decayDemand(now)
	a.demand += cost / smoothingTime.Seconds()
	a.last = cost
}

func (a *account) decayDemand(now time.Duration) {
	if dt := now - a.demandAt; dt > 0 {
		a.demand *= math.Exp(-dt.Seconds() / smoothingTime.Seconds())
		a.demandAt = now
	}
}

// buildEntry is what the owner is asked for. It returns false if there is nothing
// to ask or to tell.
func (a *account) buildEntry(now time.Duration) (askEntry, bool) {
	a.decayDemand(now)
	e := askEntry{Key: a.key, Rejected: a.rejected}
	for i := range a.waiters {
		e.Need += a.waiters[i].cost
		a.waiters[i].asked = true
	}
	e.Need = max(0, e.Need-a.balance())
	// Tokens are only lent ahead where several requests will use them before they
	// are void.
	if ahead := a.demand * lendAhead.Seconds(); ahead >= 2*a.last {
		e.Ahead = max(0, ahead-max(0, a.balance()))
	}
	a.rejected = 0
	return e, e.Need > 0 || e.Rejected > 0
}
