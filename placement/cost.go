package placement

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// costModel is what all candidates of one request have in common.
type costModel struct {
	id       uint64 // of the request
	priority contract.Priority
	tokens   float64 // of the prompt
	shared   float64 // tokens of the level that the request is placed by
	stored   float64 // tokens that the KV store probably has
	homes    int32   // endpoints that count as home
	known    float64 // how sure some candidate holds the shared level
	usual    float64 // wait in seconds among the candidates that were heard of lately
	slack    float64 // wait in seconds that a cold prefix takes to be at home
	held     *PrefixLocations
	sole     bool
}

func (v *View) costModel(now time.Time, r *Request, home *entry) costModel {
	m := costModel{
		id: r.ID, priority: r.Priority, tokens: float64(r.Tokens), homes: 1, stored: v.storedTokens(now, r),
		held: r.Locations, sole: r.Exclusive,
	}
	if home == nil {
		return m
	}
	m.homes = v.homesFor(now, home, r)
	m.shared = float64(r.Levels[prefix.AffinityLevel(r.Levels)].Tokens)
	for i := range v.scratch.candidates {
		m.known = max(m.known, min(1, v.scratch.candidates[i].cached/m.shared))
	}
	if m.held != nil {
		m.known = max(m.known, min(1, float64(m.held.MaxTokens)/m.shared))
	}
	m.slack = min(homeSlack, wasteWeight*m.shared/v.o.PrefillRate)
	return m
}

// reach is how many tokens of the prompt need not be read at the candidate: those
// that it holds, or that it can fetch.
func (m *costModel) reach(c *candidate) float64 {
	if m.held == nil {
		return c.expected
	}
	return max(c.expected, float64(m.held.MaxTokens))
}

// prepare works out the time in seconds until the candidate has the prompt.
func (m *costModel) prepare(v *View, e *endpoint, c *candidate) float64 {
	reach := m.reach(c)
	if reach <= c.expected || m.held.FetchRate <= 0 {
		t, _ := v.computeTime(e, m.tokens-c.expected, m.stored-c.expected)
		return t
	}
	fetch := v.o.ImportLatency.Seconds() + (reach-c.expected)/m.held.FetchRate
	return min((m.tokens-c.expected)/e.rate, fetch+(m.tokens-reach)/e.rate)
}

// weigh works out the cost of a candidate in seconds.
func (m *costModel) weigh(v *View, now time.Time, c *candidate) {
	e := &v.endpoints[c.endpoint]
	c.expected = c.cached
	if c.rank < m.homes && !c.told {
		c.expected = max(c.cached, (1-m.known)*v.prior(now, e)*m.shared)
	}
	c.wait = v.wait(now, c.endpoint, m.priority) + (1-v.fresh(now, e, m.priority))*m.usual
	c.compute = m.prepare(v, e, c)
	c.cost = c.wait + c.compute + v.travel(c) + rankCost*float64(max(0, c.rank-m.homes+1))
	if c.rank >= m.homes || m.homes == 1 {
		c.cost += wasteWeight * (m.tokens - m.reach(c)) / e.rate
	}
	c.cost += fillCost * filled(e)
	if !m.sole {
		c.cost += v.doubt(now, e, c.endpoint, m.id)
	}
	c.cost += crowdWeight * v.arrivals(e) * c.compute * c.compute / 2
	if c.rank >= m.homes {
		c.cost += (1 - m.known) * m.slack
	}
}

// filled is the part of the endpoint's batch that is taken.
func filled(e *endpoint) float64 {
	if e.load.Slots <= 0 {
		return 0
	}
	return min(1, float64(e.load.Running+e.queued)/float64(e.load.Slots))
}

// doubt is a cost drawn for the request and the endpoint, the wider the older what
// the endpoint last said is. An endpoint that never said anything has none: its
// requests are the first.
func (v *View) doubt(now time.Time, e *endpoint, ep int32, id uint64) float64 {
	if e.loadAt.IsZero() {
		return 0
	}
	width := min(mostDoubt, doubt*now.Sub(e.loadAt).Seconds())
	return width * float64(mix(id^uint64(ep)<<32)) / math.MaxUint64
}

// prior is how likely a home has a prefix of which nothing is known there.
//
// A daemon that has followed the endpoint's events for a while would know, and
// a cold prefix may go wherever the wait is short. One that has just restarted
// knows nothing, and relies on the others having used the home. An endpoint
// whose cache was lost has nothing, and fills up again over time.
func (v *View) prior(now time.Time, e *endpoint) float64 {
	filled := 1.0
	if !e.emptied.IsZero() {
		filled -= math.Exp2(-max(0, now.Sub(e.emptied).Seconds()) / v.o.CacheHalfLife.Seconds())
	}
	if !e.follows {
		return v.o.PreferredPrior * filled
	}
	return v.o.PreferredPrior * filled * math.Exp2(-now.Sub(e.since).Seconds()/priorLife)
}

// unknownAge stands for a load that was never told.
const unknownAge = -time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// homesFor is the number of endpoints that the prefix's heat asks for: those
// that its requests would keep busy, by prefill or by batch slots.
func (v *View) homesFor(now time.Time, t *entry, r *Request) int32 {
	suffix := r.Tokens - r.Levels[prefix.AffinityLevel(r.Levels)].Tokens
	each := float64(suffix) / v.o.PrefillRate
	if slots := v.endpoints[t.homes[0]].load.Slots; slots > 0 {
		each = max(each, v.service/float64(slots))
	}
	busy := t.heatNow(now) * float64(v.o.Daemons) * each
	return min(t.homeCount, 1+int32(busy/homeShare))
}

// arrivals estimates the requests/s that the endpoint begins, by those that it
// has running.
func (v *View) arrivals(e *endpoint) float64 {
	return float64(e.load.Running+e.queued) / v.service
}

// travel is the time for the request to get there and the first token back.
func (v *View) travel(c *candidate) float64 {
	return 2 * v.delayTo(&v.endpoints[c.endpoint]).Seconds()
}

// wait is the expected time in seconds before the endpoint begins a request of
// the priority: what the last report said goes before it, less what has been
// worked off since, and what was sent there since.
func (v *View) wait(now time.Time, ep int32, p contract.Priority) float64 {
	e := &v.endpoints[ep]
	queued := v.stillQueued(float64(ahead(&e.load, p)), e, now.Sub(e.loadAt).Seconds())
	wait := max(queued, 0) / e.rate
	for urgent := range p + 1 {
		wait += float64(e.pending[urgent]) / e.rate
	}
	waiting := v.stillWaiting(float64(e.load.Waiting), now.Sub(e.loadAt).Seconds())
	if over := float64(e.load.Running+e.queued+1-e.load.Slots) + waiting; e.load.Slots > 0 && over > 0 {
		wait += over * v.service / float64(e.load.Slots)
	}
	return max(wait, v.observed(now, e, p).Seconds())
}

// Backlog is how long the endpoint is expected to work on what it has.
func (v *View) Backlog(now time.Time, id fleet.EndpointID) time.Duration {
	i, ok := v.byID[id]
	if !ok {
		return 0
	}
	return seconds(v.wait(now, i, contract.PriorityCount-1))
}

// usualWait is the mean wait in seconds of the candidates, by how lately each was
// heard of.
//
// What an endpoint said loses its meaning within seconds, and an endpoint of which
// nothing is known would count as idle. With many daemons most endpoints are not
// heard of for seconds, and whoever looks for a short queue would go to just
// those, all at once. What is not known is taken to be as usual.
func (v *View) usualWait(now time.Time, p contract.Priority) float64 {
	sum, weight := 0.0, 0.0
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		f := v.fresh(now, &v.endpoints[c.endpoint], p)
		sum += f * v.wait(now, c.endpoint, p)
		weight += f
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// fresh is what is left of the worth of what the endpoint last showed, from 1 to
// 0. Where the endpoints' queues change by their own work alone it does not age.
func (v *View) fresh(now time.Time, e *endpoint, p contract.Priority) float64 {
	if v.o.QueueHalfLife <= 0 {
		return 1
	}
	at := e.loadAt
	for urgent := range p + 1 {
		if e.waits[urgent].at.After(at) {
			at = e.waits[urgent].at
		}
	}
	if at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(at).Seconds()) / v.o.QueueHalfLife.Seconds())
}

// stillQueued is what is left of a reported queue after a while.
//
// An endpoint works its queue off, but where many daemons share it the others
// fill it up again meanwhile: in steady overload the queue of the last report is
// the best guess, and to subtract the work done since would show full endpoints
// as empty to every daemon that has not heard of them for a moment.
func (v *View) stillQueued(tokens float64, e *endpoint, elapsed float64) float64 {
	if v.o.QueueHalfLife <= 0 {
		return tokens - e.rate*elapsed
	}
	return tokens * math.Exp2(-elapsed/v.o.QueueHalfLife.Seconds())
}

// stillWaiting is what is left of a reported number of waiting requests after a while.
// An endpoint that gets no requests from here because of its queue tells nothing
// more, and would count as full for ever.
func (v *View) stillWaiting(requests, elapsed float64) float64 {
	if v.o.QueueHalfLife <= 0 {
		return requests
	}
	return requests * math.Exp2(-elapsed/v.o.QueueHalfLife.Seconds())
}

// ahead is the part of the reported queue that a request of the priority waits
// for. An endpoint that does not split its queue is taken to serve in order.
func ahead(l *fleet.Load, p contract.Priority) int {
	if l.TokensAhead == [len(l.TokensAhead)]int{} {
		return l.WaitingTokens
	}
	return l.TokensAhead[min(int(p), len(l.TokensAhead)-1)]
}
