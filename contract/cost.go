package contract

import "time"

// costRatio estimates the ratio of actual to requested work. Most of a long prompt
// is usually cached: if a request was charged for all of it until its end, its
// organisation would appear to exceed its share for seconds.
type costRatio struct {
	requested float64
	actual    float64
}

const (
	costDecay              = 0.99   // of the past sums, with each request
	costPriorTokens        = 20_000 // weight of the ratio of all organisations, in requested tokens
	initialCostPriorTokens = 1_000  // weight of Options.InitialCostRatio, in requested tokens
	minCostRatio           = 0.01
)

func (c *costRatio) record(requested, actual float64) {
	c.requested = c.requested*costDecay + requested
	c.actual = c.actual*costDecay + actual
}

// ratio returns the expected ratio of actual to requested work. The ratio others is
// the prior, with the weight of prior requested tokens.
func (c *costRatio) ratio(others, prior float64) float64 {
	return max((c.actual+prior*others)/(c.requested+prior), minCostRatio)
}

// charge returns the expected work of a request in tokens.
func (a *Admission) charge(o *organisation, r *Request) float64 {
	all := a.costs[r.Priority].ratio(a.opts.InitialCostRatio, initialCostPriorTokens)
	return max(r.Tokens*o.costs[r.Priority].ratio(all, costPriorTokens), 1)
}

func (a *Admission) recordCost(e *entry, actual float64) {
	if actual > 0 {
		a.costs[e.Priority].record(e.requestedTokens, actual)
		e.org.costs[e.Priority].record(e.requestedTokens, actual)
	}
}

// Started records the first token of a running request, whose prompt then no
// longer occupies the prefill of an engine. A caller that reports first tokens
// must do so for all requests without StartUnobserved: from the first call on,
// Options.PrefillAhead bounds the prompts that wait for their first token.
func (a *Admission) Started(now time.Time, id RequestID) {
	a.advance(now)
	a.startsReported = true
	if e := a.entries[id]; e != nil && !e.queued {
		a.endPrefill(e)
	}
}

func (a *Admission) beginPrefill(e *entry) {
	if e.StartUnobserved {
		return
	}
	e.prefilling = true
	a.prefillTokens += e.Tokens
	if e.urgent {
		a.urgentPrefillTokens += e.Tokens
	}
}

func (a *Admission) endPrefill(e *entry) {
	if !e.prefilling {
		return
	}
	e.prefilling = false
	a.prefillTokens -= e.Tokens
	if e.urgent {
		a.urgentPrefillTokens -= e.Tokens
	}
}

// hasPrefillCapacity reports whether another prompt may be sent. Engines prefill
// one prompt after the other: if only their batch slots were the limit, they would
// queue prompts for many seconds ahead, and every first token would be late though
// nothing is queued here. Engines prefill urgent prompts first, so only urgent
// ones count against an urgent prompt.
func (a *Admission) hasPrefillCapacity(urgent bool) bool {
	if !a.startsReported {
		return true
	}
	ahead := a.localRate() * a.opts.PrefillAhead.Seconds()
	if urgent {
		return a.urgentPrefillTokens < ahead
	}
	return a.prefillTokens < ahead
}
