package contract

import "time"

// cost follows what requests really took of what they asked for. Most of a long
// prompt is cached as a rule: a request that was charged all of it until it
// ended would make its organisation look over its share for seconds.
type cost struct {
	asked  float64
	actual float64
}

const (
	costKeep       = 0.99   // of the past, with each request
	costPrior      = 20_000 // tokens asked that count as known from all organisations
	costFirstPrior = 1_000  // the same before anything is known
	costMin        = 0.01
)

func (c *cost) learn(asked, actual float64) {
	c.asked = c.asked*costKeep + asked
	c.actual = c.actual*costKeep + actual
}

// part is the part of what is asked for that is really taken, given the one of
// others, which counts as much as prior tokens.
func (c *cost) part(others, prior float64) float64 {
	return max((c.actual+prior*others)/(c.asked+prior), costMin)
}

// charge is the expected work of a request.
func (a *Admission) charge(o *organisation, r *Request) float64 {
	all := a.costs[r.Priority].part(a.opts.InitialCostRatio, costFirstPrior)
	return max(r.Tokens*o.costs[r.Priority].part(all, costPrior), 1)
}

func (a *Admission) learnCost(e *entry, actual float64) {
	if actual > 0 {
		a.costs[e.Priority].learn(e.asked, actual)
		e.org.costs[e.Priority].learn(e.asked, actual)
	}
}

// Started tells that the first token of a running request has come, so that its
// prompt burdens no engine any more. A shell that calls it for some calls it for
// all: from the first call on, the prompts that were sent and have not started
// are bounded.
func (a *Admission) Started(now time.Time, id RequestID) {
	a.advance(now)
	a.startsKnown = true
	if e := a.entries[id]; e != nil && !e.queued {
		a.prefillEnded(e)
	}
}

func (a *Admission) prefillBegins(e *entry) {
	if e.StartUnobserved {
		return
	}
	e.prefilling = true
	a.prefilling += e.Tokens
	if e.urgent {
		a.prefillingUrgent += e.Tokens
	}
}

func (a *Admission) prefillEnded(e *entry) {
	if !e.prefilling {
		return
	}
	e.prefilling = false
	a.prefilling -= e.Tokens
	if e.urgent {
		a.prefillingUrgent -= e.Tokens
	}
}

// roomToPrefill reports whether another prompt may be sent. Engines prefill one
// prompt after the other; with places left in their batches they would be sent
// prompts for many seconds ahead, and every first token would come late though
// nothing waits here. Urgent prompts pass the others at the engines, so only
// urgent ones count for them.
func (a *Admission) roomToPrefill(urgent bool) bool {
	if !a.startsKnown {
		return true
	}
	ahead := a.localRate() * a.opts.PrefillAhead.Seconds()
	if urgent {
		return a.prefillingUrgent < ahead
	}
	return a.prefilling < ahead
}
