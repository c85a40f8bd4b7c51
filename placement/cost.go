package placement

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/prefix"
)

// costModel holds the inputs that all candidates of one request share.
type costModel struct {
	id             uint64 // the request's
	priority       contract.Priority
	tokens         float64 // in the prompt
	affinityTokens float64 // tokens up to the affinity level
	storedTokens   float64 // tokens that the KV store probably has
	preferred      int32   // leading preferred endpoints among which the prefix is spread
	confidence     float64 // confidence, from 0 to 1, that some candidate caches the affinity level
	typicalWait    float64 // mean wait, in seconds, of the candidates with recent reports
	preferredWait  float64 // wait, in seconds, accepted to place an uncached prefix on a preferred endpoint
	locations      *PrefixLocations
	exclusive      bool
	shared         bool // all daemons know the same loads
}

func (v *View) costModel(now time.Time, r *Request, affinity *prefixEntry) costModel {
	m := costModel{
		id: r.ID, priority: r.Priority, tokens: float64(r.Tokens), preferred: 1, storedTokens: v.storedTokens(now, r),
		locations: r.Locations, exclusive: r.Exclusive,
		shared: r.SharedWithin > 0 && !r.Exclusive,
	}
	if affinity == nil {
		return m
	}
	m.preferred = v.preferredFor(now, affinity, r)
	m.affinityTokens = float64(r.Levels[prefix.AffinityLevel(r.Levels)].Tokens)
	for i := range v.scratch.candidates {
		m.confidence = max(m.confidence, min(1, v.scratch.candidates[i].cached/m.affinityTokens))
	}
	if m.locations != nil {
		m.confidence = max(m.confidence, min(1, float64(m.locations.MaxTokens)/m.affinityTokens))
	}
	m.preferredWait = min(maxPreferredWait, recomputeWeight*m.affinityTokens/v.o.PrefillRate)
	return m
}

// reusable returns how many tokens of the prompt need no prefill at the candidate: those
// that it caches or can fetch.
func (m *costModel) reusable(c *candidate) float64 {
	if m.locations == nil {
		return c.expectedCached
	}
	return max(c.expectedCached, float64(m.locations.MaxTokens))
}

// prepareTime returns the time in seconds until the candidate has the prompt's KV cache, by
// the faster of prefill and fetch.
func (m *costModel) prepareTime(v *View, e *endpoint, c *candidate) float64 {
	reusable := m.reusable(c)
	if reusable <= c.expectedCached || m.locations.FetchRate <= 0 {
		t, _ := v.computeTime(e, m.tokens-c.expectedCached, m.storedTokens-c.expectedCached)
		return t
	}
	fetch := v.o.ImportLatency.Seconds() + (reusable-c.expectedCached)/m.locations.FetchRate
	return min((m.tokens-c.expectedCached)/e.prefillRate, fetch+(m.tokens-reusable)/e.prefillRate)
}

// evaluate computes the candidate's cost in seconds.
func (m *costModel) evaluate(v *View, now time.Time, c *candidate) {
	e := &v.endpoints[c.endpoint]
	c.expectedCached = c.cached
	if c.rank < m.preferred && !c.reportsCache {
		c.expectedCached = max(c.cached, (1-m.confidence)*v.prior(now, e)*m.affinityTokens)
	}
	c.wait = m.wait(v, now, c.endpoint) + (1-v.freshness(now, e, m.priority))*m.typicalWait
	c.prepareTime = m.prepareTime(v, e, c)
	wait := c.wait
	if m.shared {
		wait = 0 // View.addSpreadCosts takes its place
	}
	c.cost = wait + c.prepareTime + v.roundTrip(c) + rankCost*float64(max(0, c.rank-m.preferred+1))
	if c.rank >= m.preferred || m.preferred == 1 {
		c.cost += recomputeWeight * (m.tokens - m.reusable(c)) / e.prefillRate
	}
	if !m.shared {
		c.cost += batchFillCost * batchFill(e)
	}
	if now.Before(e.fullUntil) {
		c.cost += fullCost
	}
	if m.tokens == 0 && !m.shared && e.loadAt.IsZero() {
		c.cost += unreportedCost * float64(e.underWay)
	}
	if !m.exclusive && !m.shared {
		c.cost += m.stalenessCost(now, e, c.endpoint)
	}
	c.cost += delayWeight * v.arrivalRate(e) * c.prepareTime * c.prepareTime / 2
	if c.rank >= m.preferred {
		c.cost += (1 - m.confidence) * m.preferredWait
	}
}

// batchFill returns the fraction of the endpoint's batch slots in use.
func batchFill(e *endpoint) float64 {
	if e.load.Slots <= 0 {
		return 0
	}
	return min(1, float64(e.load.Running+e.pendingCount)/float64(e.load.Slots))
}

// stalenessCost returns a pseudo-random cost for the request and the endpoint. Its range
// grows with the age of the endpoint's load report. For an endpoint that never reported it
// is 0, so that this gets its first prompts, and small for other requests, which nothing else
// would spread over such endpoints.
func (m *costModel) stalenessCost(now time.Time, e *endpoint, ep int32) float64 {
	width := 0.0
	switch {
	case !e.loadAt.IsZero():
		width = min(maxStalenessCost, stalenessCostRate*now.Sub(e.loadAt).Seconds())
	case m.tokens == 0:
		width = unreportedCost
	}
	return width * float64(hash.Mix(m.id^uint64(ep)<<32)) / math.MaxUint64
}

// prior returns the probability that a preferred endpoint caches a prefix of which nothing
// is known there.
//
// A daemon that has followed the endpoint's events for a while would know of the prefix, so
// an unknown one may go wherever the wait is short. A daemon that has just restarted knows
// nothing and assumes that the other daemons used the preferred endpoint. An endpoint that
// lost its cache starts at 0 and approaches the full prior over time.
func (v *View) prior(now time.Time, e *endpoint) float64 {
	populated := 1.0
	if !e.cacheLostAt.IsZero() {
		populated -= math.Exp2(-max(0, now.Sub(e.cacheLostAt).Seconds()) / v.o.CacheHalfLife.Seconds())
	}
	if !e.followsEvents {
		return v.o.PreferredPrior * populated
	}
	return v.o.PreferredPrior * populated * math.Exp2(-now.Sub(e.followedSince).Seconds()/priorHalfLife)
}

// unknownLoadAge marks a load that was never reported.
const unknownLoadAge = -time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// preferredFor returns the number of preferred endpoints among which the prefix is spread:
// as many as its requests would keep busy, by prefill time or by batch slots.
func (v *View) preferredFor(now time.Time, t *prefixEntry, r *Request) int32 {
	suffix := r.Tokens - r.Levels[prefix.AffinityLevel(r.Levels)].Tokens
	each := float64(suffix) / v.o.PrefillRate
	if slots := v.endpoints[t.preferred[0]].load.Slots; slots > 0 {
		each = max(each, v.serviceTime/float64(slots))
	}
	busy := t.rateAt(now) * float64(v.o.Daemons) * each
	return min(t.preferredCount, 1+int32(busy/maxPrefillShare))
}

// arrivalRate estimates the requests/s that the endpoint starts, from the number it has
// running.
func (v *View) arrivalRate(e *endpoint) float64 {
	return float64(e.load.Running+e.pendingCount) / v.serviceTime
}

// roundTrip returns the network time in seconds for the request and the first token.
func (v *View) roundTrip(c *candidate) float64 {
	return 2 * v.delayTo(&v.endpoints[c.endpoint]).Seconds()
}

// wait returns the expected time in seconds before the endpoint starts the request. A daemon
// that places all such requests knows from its own what waits there: without any, a wait that
// was observed earlier is over, and as long as it counts nothing is sent that could show so.
func (m *costModel) wait(v *View, now time.Time, ep int32) float64 {
	if m.exclusive && v.endpoints[ep].firstReservation == none {
		return v.queueWait(now, ep, m.priority)
	}
	return v.wait(now, ep, m.priority)
}

// wait returns the expected time in seconds before the endpoint starts a request of the
// priority, by its queue and by the waits that were observed.
func (v *View) wait(now time.Time, ep int32, p contract.Priority) float64 {
	return max(v.queueWait(now, ep, p), v.decayedWait(now, &v.endpoints[ep], p).Seconds())
}

// queueWait returns the expected wait in seconds by the reported queue ahead of a request of
// the priority, less the work done since, plus what was sent there since.
func (v *View) queueWait(now time.Time, ep int32, p contract.Priority) float64 {
	e := &v.endpoints[ep]
	queued := v.remainingTokens(float64(tokensAhead(&e.load, p)), e, now.Sub(e.loadAt).Seconds())
	wait := max(queued, 0) / e.prefillRate
	for urgent := range p + 1 {
		wait += float64(e.pending[urgent]) / e.prefillRate
	}
	waiting := v.remainingRequests(float64(e.load.Waiting), now.Sub(e.loadAt).Seconds())
	if over := float64(e.load.Running+e.pendingCount+1-e.load.Slots) + waiting; e.load.Slots > 0 && over > 0 {
		serviceTime := v.serviceTime
		if e.slotTime > 0 {
			serviceTime = e.slotTime
		}
		wait += over * serviceTime / float64(e.load.Slots)
	}
	return wait
}

// Backlog returns the expected time until the endpoint has worked off what it was sent, all
// priorities included.
func (v *View) Backlog(now time.Time, id fleet.EndpointID) time.Duration {
	i, ok := v.byID[id]
	if !ok {
		return 0
	}
	return seconds(v.wait(now, i, contract.PriorityCount-1))
}

// typicalWait returns the mean wait in seconds of the candidates, weighted by the freshness
// of their reports.
//
// An endpoint without a recent report must not count as idle. With many daemons most
// endpoints have had no report for seconds, and all daemons that look for a short queue
// would choose just those at once. An unknown load is therefore assumed to be typical.
func (v *View) typicalWait(now time.Time, p contract.Priority) float64 {
	sum, weight := 0.0, 0.0
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		f := v.freshness(now, &v.endpoints[c.endpoint], p)
		sum += f * v.wait(now, c.endpoint, p)
		weight += f
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// freshness returns the weight, from 1 down to 0, of the endpoint's last load report or
// observed wait. It does not decay if QueueHalfLife is 0, where queues change only by the
// endpoint's own work.
func (v *View) freshness(now time.Time, e *endpoint, p contract.Priority) float64 {
	if v.o.QueueHalfLife <= 0 {
		return 1
	}
	at := e.loadAt
	for urgent := range p + 1 {
		if e.waits[urgent].observedAt.After(at) {
			at = e.waits[urgent].observedAt
		}
	}
	if at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(at).Seconds()) / v.o.QueueHalfLife.Seconds())
}

// remainingTokens returns the expected rest of a reported queue after the elapsed seconds.
//
// An endpoint works off its queue, but where many daemons share it the others refill it
// meanwhile: in steady overload the last reported queue is the best estimate. Subtracting
// the work done since would make full endpoints appear empty to every daemon without a
// recent report.
func (v *View) remainingTokens(tokens float64, e *endpoint, elapsed float64) float64 {
	if v.o.QueueHalfLife <= 0 {
		return tokens - e.prefillRate*elapsed
	}
	return tokens * math.Exp2(-elapsed/v.o.QueueHalfLife.Seconds())
}

// remainingRequests returns the expected rest of a reported number of waiting requests
// after the elapsed seconds. It must decay: an endpoint that gets no requests from this
// daemon because of its queue reports nothing more, and would count as full for ever.
func (v *View) remainingRequests(requests, elapsed float64) float64 {
	if v.o.QueueHalfLife <= 0 {
		return requests
	}
	return requests * math.Exp2(-elapsed/v.o.QueueHalfLife.Seconds())
}

// tokensAhead returns the reported queued tokens that a request of the priority waits for.
// An endpoint that does not split its queue by priority is assumed to serve in order.
func tokensAhead(l *fleet.Load, p contract.Priority) int {
	if l.TokensAhead == [len(l.TokensAhead)]int{} {
		return l.WaitingTokens
	}
	return l.TokensAhead[min(int(p), len(l.TokensAhead)-1)]
}
