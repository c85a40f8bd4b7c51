package quota

import (
	"math"
	"slices"
	"time"
)

// account holds the lent tokens of an organisation at this daemon, its demand and
// the requests that wait for tokens.
type account struct {
	key   Key
	shard int
	limit Limit

	// Lent tokens are kept in two generations: those of the current period of
	// grantTTL and those of the one before.
	current, previous float64
	expiresAt         time.Duration // when previous expires and current becomes previous

	demand   float64 // units/s, smoothed
	demandAt time.Duration
	last     float64 // cost of the newest request

	waiters  []waiter
	rejected float64 // units rejected since the last ask

	deniedUntil time.Duration // the owner is not asked before
	retryAfter  time.Duration // reported by the owner
	used        float64       // fraction of the limit, reported by the owner
	updatedAt   time.Duration // when the owner last replied for the account

	urgency urgency // used with Options.PreferUrgent only
}

// waiter is a request that waits for the owner's reply.
type waiter struct {
	cost  float64
	since time.Duration
	asked bool // included in an ask
	done  func(Verdict)
	// priority and rank are 0 without Options.PreferUrgent. A request with a rank above 0
	// yields to more urgent ones, see urgency.
	priority, rank int
}

// roundingError is the tolerance in units for rounding errors of sums.
const roundingError = 1e-3

// expireLent discards lent tokens that were not used in time.
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

// spend takes the cost of a request from the lent tokens. It returns false and
// takes nothing if they do not suffice.
func (a *account) spend(cost float64) bool {
	if a.balance() < cost-roundingError {
		return false
	}
	used := max(0, min(a.previous, cost))
	a.previous -= used
	a.current -= cost - used
	return true
}

// add adds lent or refunded tokens. units is negative for a charge.
func (a *account) add(units float64) { a.current += units }

// countDemand adds a request to the smoothed demand.
func (a *account) countDemand(now time.Duration, cost float64) {
	a.decayDemand(now)
	a.demand += cost / smoothingTime.Seconds()
	a.last = cost
}

func (a *account) decayDemand(now time.Duration) {
	if dt := now - a.demandAt; dt > 0 {
		decay := math.Exp(-dt.Seconds() / smoothingTime.Seconds())
		a.demand *= decay
		a.urgency.demand *= decay
		a.demandAt = now
	}
}

// enqueue adds a waiting request, after those that are as urgent or more urgent.
func (a *account) enqueue(w waiter) {
	i := len(a.waiters)
	for i > 0 && a.waiters[i-1].priority > w.priority {
		i--
	}
	a.waiters = slices.Insert(a.waiters, i, w)
}

// waitingBefore reports whether a request that is as urgent or more urgent waits.
func (a *account) waitingBefore(priority int) bool {
	return len(a.waiters) > 0 && a.waiters[0].priority <= priority
}

// buildEntry returns the entry of the account for an ask, and false if there is
// nothing to ask for or to report. It resets the rejected units.
func (a *account) buildEntry(now time.Duration) (askEntry, bool) {
	a.decayDemand(now)
	e := askEntry{Key: a.key, Rejected: a.rejected}
	for i := range a.waiters {
		if a.waiters[i].rank == 0 {
			e.Need += a.waiters[i].cost
			a.waiters[i].asked = true
		}
	}
	if e.Need = max(0, e.Need-a.balance()); e.Need > 0 {
		e.Need += a.reserve(now)
	}
	// Tokens are requested in advance only if several requests will probably use
	// them before they expire.
	if ahead := a.demand * lendAhead.Seconds(); ahead >= 2*a.last {
		e.Expected = max(0, ahead-max(0, a.balance()))
	}
	a.rejected = 0
	return e, e.Need > 0 || e.Rejected > 0
}
