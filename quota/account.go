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
	fresh, old float64
	turnsAt    time.Duration // when old becomes void and fresh becomes old

	demand   float64 // units/s, smoothed
	demandAt time.Duration
	last     float64 // cost of the newest request

	waiters []waiter
	refused float64 // units turned away since the owner was last told

	deniedUntil time.Duration // no question before
	retry       time.Duration // that the owner named
	used        float64       // part of the limit, by the owner's word
	word        time.Duration // when the owner last said anything of the account
}

// waiter is a request that waits for the owner's word.
type waiter struct {
	cost  float64
	since time.Duration
	asked bool // a question names it
	done  func(Verdict)
}

// rounding is the part of a unit by which sums of units may be off.
const rounding = 1e-3

// turn voids lent tokens that were not used in time.
func (a *account) turn(now time.Duration) {
	switch {
	case now < a.turnsAt:
		return
	case now < a.turnsAt+grantLife:
		a.old, a.fresh = a.fresh, 0
	default:
		a.old, a.fresh = 0, 0
	}
	a.turnsAt = now + grantLife
}

func (a *account) balance() float64 { return a.fresh + a.old }

// take uses lent tokens for a request. It returns false if they do not suffice.
func (a *account) take(cost float64) bool {
	if a.balance() < cost-rounding {
		return false
	}
	used := max(0, min(a.old, cost))
	a.old -= used
	a.fresh -= cost - used
	return true
}

// add takes tokens that were lent, or that a request gives back.
func (a *account) add(units float64) { a.fresh += units }

// seen counts a request into the demand.
func (a *account) seen(now time.Duration, cost float64) {
	a.fade(now)
	a.demand += cost / demandMemory.Seconds()
	a.last = cost
}

func (a *account) fade(now time.Duration) {
	if dt := now - a.demandAt; dt > 0 {
		a.demand *= math.Exp(-dt.Seconds() / demandMemory.Seconds())
		a.demandAt = now
	}
}

// question is what the owner is asked for. It returns false if there is nothing
// to ask or to tell.
func (a *account) question(now time.Duration) (askEntry, bool) {
	a.fade(now)
	e := askEntry{Key: a.key, Refused: a.refused}
	for i := range a.waiters {
		e.Need += a.waiters[i].cost
		a.waiters[i].asked = true
	}
	e.Need = max(0, e.Need-a.balance())
	// Tokens are only lent ahead where several requests will use them before they
	// are void.
	if ahead := a.demand * lookahead.Seconds(); ahead >= 2*a.last {
		e.Ahead = max(0, ahead-max(0, a.balance()))
	}
	a.refused = 0
	return e, e.Need > 0 || e.Refused > 0
}
