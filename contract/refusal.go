package contract

import (
	"math"
	"time"
)

// guarantee is the rate in tokens a second that the contract gives the
// organisation at this daemon.
func (a *Admission) guarantee(o *organisation) float64 {
	if a.weights <= 0 {
		return 0
	}
	return a.tokensPerSecond * o.share / a.weights * o.fraction
}

// rate is what the organisation gets at this daemon now, when all that are
// backlogged want as much as they can get.
func (a *Admission) rate(o *organisation) float64 {
	all := a.backlog.weight
	if !o.backlogged() {
		all += o.weight
	}
	return max(a.localRate()*o.weight/all, 1)
}

// reason tells an organisation that asks for more than it was promised
// (OverShare) from one that the fleet owes work (NoCapacity).
func (a *Admission) reason(o *organisation) Reason {
	if a.demand(o) > a.guarantee(o) {
		return OverShare
	}
	return NoCapacity
}

// wait estimates in seconds how long a new request would be queued: until the
// virtual time has come to what the organisation has queued ahead of it.
func (a *Admission) wait(o *organisation, p Priority) float64 {
	ahead := o.queuedTokens(p) + (o.tag-a.virtual)*o.weight
	return max(ahead, 0) / a.rate(o)
}

// cannotQueue tells why a request that can't start now may not wait: a caller
// learns at once what it would learn later, while there is time to ask another
// service or to come back.
func (a *Admission) cannotQueue(o *organisation, r *Request) Reason {
	if o.queues[r.Priority].n >= a.opts.MaxQueuedPerPriority {
		return a.reason(o)
	}
	limit := a.opts.MaxWait[r.Priority].Seconds()
	wait := a.wait(o, r.Priority)
	if !r.Deadline.IsZero() && a.start.Add(seconds(a.clock+wait)).After(r.Deadline) {
		return TooLate
	}
	if wait > limit {
		return a.reason(o)
	}
	if r.Priority == PriorityInteractive && a.aheadOfOthers(o) {
		return OverShare
	}
	if a.backlog.queued >= a.opts.MaxQueued && !a.displace(o) {
		return NoCapacity
	}
	return NoReason
}

// aheadOfOthers reports whether others, within their contract, come before
// every request of the organisation. A person shouldn't wait behind batch work
// only to be refused then.
func (a *Admission) aheadOfOthers(o *organisation) bool {
	return a.backlog.queued > 0 && o.tag > a.virtual+a.lead()
}

// displace makes room in a full queue by giving up the newest and least urgent
// request of the organisation that is furthest ahead. Without it, many
// organisations over their shares could fill the queue and shut out one that
// has had nothing yet.
func (a *Admission) displace(o *organisation) bool {
	far := a.backlog.furthest()
	if far == nil || far == o || far.tag <= o.tag || len(a.refused) >= a.opts.MaxQueued {
		return false
	}
	for p := PriorityCount - 1; p >= 0; p-- {
		if far.queues[p].n > 0 {
			a.refused = append(a.refused, a.giveUp(far.queues[p].tail, a.reason(far)))
			return true
		}
	}
	return false
}

// waitUntil is when the queue gives the request up.
func (a *Admission) waitUntil(r *Request) float64 {
	until := a.clock + a.opts.MaxWait[r.Priority].Seconds()
	if r.Deadline.IsZero() {
		return until
	}
	return min(until, max(r.Deadline.Sub(a.start).Seconds(), a.clock))
}

// refuse gives each refused caller of an organisation its own time to come
// back: when what is queued is done, plus the work told to come back before.
// Callers that were all told the same second would return as a herd and be
// refused again.
func (a *Admission) refuse(o *organisation, tokens float64, reason Reason) Decision {
	o.counts.Refused++
	if reason == UnknownOrganisation {
		return Decision{Reason: reason}
	}
	rate := a.rate(o)
	queued := o.queuedTokens(PriorityCount - 1)
	o.backAt = max(o.backAt, a.clock+queued/rate) + tokens/rate
	o.backAt = min(o.backAt, a.clock+a.opts.MaxRetryAfter.Seconds())
	wait := o.backAt - a.clock
	if a.opts.Rand != nil {
		wait *= 1 + DefaultRetryJitter*a.opts.Rand.Float64()
	}
	after := min(max(seconds(wait), a.opts.MinRetryAfter), a.opts.MaxRetryAfter)
	return Decision{Reason: reason, RetryAfter: roundUp(after, time.Second)}
}

// roundUp gives whole seconds, as the Retry-After header has.
func roundUp(d, unit time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)/float64(unit))) * unit
}
