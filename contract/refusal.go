package contract

import (
	"math"
	"time"
)

// guarantee returns the rate in tokens per second that the contract guarantees the
// organisation at this daemon.
func (a *Admission) guarantee(o *organisation) float64 {
	if a.totalWeight <= 0 {
		return 0
	}
	return a.tokensPerSecond * o.contractWeight / a.totalWeight * o.fraction
}

// rate returns the tokens per second that the organisation gets at this daemon
// while all backlogged organisations are limited by their weights.
func (a *Admission) rate(o *organisation) float64 {
	all := a.backlog.weight
	if !o.backlogged() {
		all += o.localWeight
	}
	return max(a.localRate()*o.localWeight/all, 1)
}

// refusalReason returns OverShare for an organisation whose demand exceeds its
// guarantee, and otherwise NoCapacity.
func (a *Admission) refusalReason(o *organisation) Reason {
	if a.demand(o) > a.guarantee(o) {
		return OverShare
	}
	return NoCapacity
}

// estimateWait estimates for how many seconds a new request would be queued: until
// the virtual time passes the work that the organisation has queued ahead of it.
func (a *Admission) estimateWait(o *organisation, p Priority) float64 {
	ahead := o.queuedTokens(p) + (o.tag-a.virtualTime)*o.localWeight
	return max(ahead, 0) / a.rate(o)
}

// queueRefusal returns why a request that can't start now may not be queued, or
// NoReason if it may. A caller that would be refused later is refused at once, while
// it has time to use another service or to retry.
func (a *Admission) queueRefusal(o *organisation, r *Request) Reason {
	if o.queues[r.Priority].n >= a.opts.MaxQueuedPerPriority {
		return a.refusalReason(o)
	}
	limit := a.opts.MaxWait[r.Priority].Seconds()
	wait := a.estimateWait(o, r.Priority)
	if !r.Deadline.IsZero() && a.start.Add(seconds(a.clock+wait)).After(r.Deadline) {
		return TooLate
	}
	if wait > limit {
		return a.refusalReason(o)
	}
	if r.Priority == PriorityInteractive && a.exceedsLead(o) {
		return OverShare
	}
	if a.backlog.queued >= a.opts.MaxQueued && !a.displace(o) {
		return NoCapacity
	}
	return NoReason
}

// exceedsLead reports whether queued requests of organisations within their contract
// go before every request of this one. An interactive request would then wait behind
// batch work, only to be refused later.
func (a *Admission) exceedsLead(o *organisation) bool {
	return a.backlog.queued > 0 && o.tag > a.virtualTime+a.allowedLead()
}

// displace frees a slot in a full queue by refusing the newest and least urgent
// request of the organisation that is furthest ahead. It returns false if no
// organisation is further ahead than o. Without it, many organisations over their
// shares could fill the queue and lock out one that has received nothing yet.
func (a *Admission) displace(o *organisation) bool {
	far := a.backlog.furthest()
	if far == nil || far == o || far.tag <= o.tag || len(a.pendingRefusals) >= a.opts.MaxQueued {
		return false
	}
	for p := PriorityCount - 1; p >= 0; p-- {
		if far.queues[p].n > 0 {
			a.pendingRefusals = append(a.pendingRefusals, a.refuseEntry(far.queues[p].tail, a.refusalReason(far)))
			return true
		}
	}
	return false
}

// queueExpiry returns when the request is refused if it is still queued, in seconds of
// the clock.
func (a *Admission) queueExpiry(r *Request) float64 {
	until := a.clock + a.opts.MaxWait[r.Priority].Seconds()
	if r.Deadline.IsZero() {
		return until
	}
	return min(until, max(r.Deadline.Sub(a.start).Seconds(), a.clock))
}

// refuse returns a refusal with a retry time of its own for each caller of an
// organisation: after the queued work and the work of the callers refused before.
// With one time for all, the callers would return together and be refused again.
func (a *Admission) refuse(o *organisation, tokens float64, reason Reason) Decision {
	o.counts.Refused++
	if reason == UnknownOrganisation {
		return Decision{Reason: reason}
	}
	rate := a.rate(o)
	queued := o.queuedTokens(PriorityCount - 1)
	o.nextRetryAt = max(o.nextRetryAt, a.clock+queued/rate) + tokens/rate
	o.nextRetryAt = min(o.nextRetryAt, a.clock+a.opts.MaxRetryAfter.Seconds())
	wait := o.nextRetryAt - a.clock
	if a.opts.Rand != nil {
		wait *= 1 + DefaultRetryJitter*a.opts.Rand.Float64()
	}
	after := min(max(seconds(wait), a.opts.MinRetryAfter), a.opts.MaxRetryAfter)
	return Decision{Reason: reason, RetryAfter: roundUp(after, time.Second)}
}

// roundUp rounds d up to a multiple of unit; the Retry-After header is in full
// seconds.
func roundUp(d, unit time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)/float64(unit))) * unit
}
