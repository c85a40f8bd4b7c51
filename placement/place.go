package placement

import (
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// Weights of the cost model, in seconds unless said otherwise. How each was
// found is in docs/measurements/decide.md.
const (
	// wholePool is the size up to which every endpoint of a pool is weighed.
	// In a larger one only homes, holders and a few samples are.
	wholePool = 64
	// sampled is the number of further endpoints weighed in a large pool.
	sampled = 4
	// maxCandidates bounds the endpoints weighed for one request.
	maxCandidates = 96
	// priorLife is how fast that fades once the daemon follows the events of an
	// endpoint: the half-life in seconds.
	priorLife = 2.0
	// wasteWeight counts a recomputed token as this many more, since it also
	// delays whoever comes next. With a low weight a loaded fleet collapses:
	// waits send prompts to cold endpoints, where they are computed once more,
	// which makes the waits longer.
	wasteWeight = 24.0
	// rankCost separates endpoints that are otherwise equal. It is above the
	// two-way delay between zones: daemons of different zones must agree
	// where a cold prefix goes.
	rankCost = 0.004
	// homeSlack is the wait in seconds that a cold prefix takes to be at home.
	// Daemons that restart together know nothing but the homes.
	homeSlack = 3.0
	// crowdWeight counts the waiting that a prompt brings to those who come to
	// the endpoint while it is prefilled there.
	crowdWeight = 0.2
	// fillCost is what a full batch costs beside the wait: each request in it slows
	// the tokens of the others, and the next burst finds no place there.
	fillCost = 0.03
	// doubt is how fast what an endpoint said of its load loses worth, in seconds of
	// cost for each second of its age. Daemons that all heard of the same idle
	// endpoint a while ago would else all send their next requests there.
	doubt = 0.1
	// mostDoubt bounds it, in seconds.
	mostDoubt = 0.06
	// homeShare is the part of one endpoint's prefill time that a prefix may
	// take before it gets another home.
	homeShare = 0.5
)

// candidate is an endpoint that is being weighed.
type candidate struct {
	endpoint int32
	rank     int32 // in the rendezvous order; MaxHomes: behind all homes
	present  float64
	cached   float64 // tokens believed to be in its cache
	expected float64 // the same, or what a home probably has
	wait     float64 // in its queue, in seconds
	compute  float64 // until the prompt is prefilled, in seconds
	cost     float64
}

// scratch is memory that Place uses again and again.
type scratch struct {
	candidates []candidate
	slot       []int32  // endpoint to its candidate
	stamp      []uint32 // request that slot is valid for
	round      uint32
}

func (s *scratch) grow(endpoints int) {
	if cap(s.candidates) == 0 {
		s.candidates = make([]candidate, 0, maxCandidates)
	}
	for len(s.slot) < endpoints {
		s.slot = append(s.slot, none)
		s.stamp = append(s.stamp, 0)
	}
}

func (s *scratch) begin() {
	s.candidates = s.candidates[:0]
	s.round++
	if s.round == 0 {
		clear(s.stamp)
		s.round = 1
	}
}

func (s *scratch) find(ep int32) *candidate {
	if s.stamp[ep] != s.round {
		return nil
	}
	return &s.candidates[s.slot[ep]]
}

// Place chooses the endpoint for a request and reserves its work there. The
// request owns the reservation until Finished, Failed or its expiry. Place
// returns ErrUnknownPool or ErrNoEndpoint.
func (v *View) Place(now time.Time, r Request) (Decision, error) {
	d, err := v.Weigh(now, r)
	if err == nil {
		v.Reserve(now, r, &d)
	}
	return d, err
}

// Weigh chooses the endpoint for a request without reserving anything there, for
// a caller that compares several pools. It returns ErrUnknownPool or
// ErrNoEndpoint.
func (v *View) Weigh(now time.Time, r Request) (Decision, error) {
	p := v.pools[r.Pool]
	if p == nil {
		return Decision{}, ErrUnknownPool
	}
	var home *entry
	if i := prefix.Affinity(r.Levels); i >= 0 {
		home = v.prefixes.touch(r.Levels[i].Key)
		v.setHomes(home, p)
	}
	reason := ReasonHome
	v.gather(p, home, &r, GateOpen)
	if len(v.scratch.candidates) == 0 {
		reason = ReasonPanic
		v.gather(p, home, &r, GateEjected)
	}
	if len(v.scratch.candidates) == 0 {
		return Decision{}, ErrNoEndpoint
	}
	v.expectCached(now, &r)
	return v.choose(now, &r, home, reason), nil
}

// Reserve takes the place that Weigh chose.
func (v *View) Reserve(now time.Time, r Request, d *Decision) {
	ep, ok := v.byID[d.Endpoint]
	if !ok {
		return // it left between the two calls; the attempt will show it
	}
	if i := prefix.Affinity(r.Levels); i >= 0 {
		v.prefixes.touch(r.Levels[i].Key).warm(now)
	}
	missing := r.Tokens - d.ExpectedCached
	v.reserve(now, &r, ep, missing)
	v.note(now, ep, &r, missing)
}

// setHomes works out the rendezvous order of the prefix over the pool.
//
// Every daemon gets the same order with no message, and an endpoint that
// leaves moves only the prefixes it was a home of.
func (v *View) setHomes(t *entry, p *pool) {
	if t.homesEpoch == p.epoch {
		return
	}
	var scores [MaxHomes]uint64
	key, n := t.key.Uint64(), 0
	for _, ep := range p.members {
		score := mix(key ^ v.endpoints[ep].hash)
		if n == MaxHomes && score <= scores[n-1] {
			continue
		}
		if n < MaxHomes {
			n++
		}
		j := n - 1
		for ; j > 0 && scores[j-1] < score; j-- {
			scores[j], t.homes[j] = scores[j-1], t.homes[j-1]
		}
		scores[j], t.homes[j] = score, ep
	}
	t.homeCount, t.homesEpoch = int32(n), p.epoch
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// gather lists the endpoints to weigh: homes first, then all of a small pool,
// or holders and samples of a large one.
func (v *View) gather(p *pool, home *entry, r *Request, gate Gate) {
	v.scratch.begin()
	if home != nil {
		for _, ep := range home.homes[:home.homeCount] {
			v.consider(ep, r, gate)
		}
	}
	for i := range v.scratch.candidates {
		v.scratch.candidates[i].rank = int32(i)
	}
	if len(p.members) <= wholePool {
		for _, ep := range p.members {
			v.consider(ep, r, gate)
		}
		return
	}
	v.gatherHolders(p, r, gate)
	for i := range uint64(sampled) {
		at := mix(r.ID^i<<32) % uint64(len(p.members))
		v.consider(p.members[at], r, gate)
	}
}

// gatherHolders adds those believed to hold the deeper levels.
func (v *View) gatherHolders(p *pool, r *Request, gate Gate) {
	for i := len(r.Levels) - 1; i >= 0; i-- {
		t := v.prefixes.find(r.Levels[i].Key)
		if t == nil {
			continue
		}
		for _, h := range t.holders {
			if v.endpoints[h.endpoint].life == h.life && v.serves(p, h.endpoint) {
				v.consider(h.endpoint, r, gate)
			}
		}
		if len(v.scratch.candidates) > wholePool {
			return
		}
	}
}

// serves tells whether the endpoint is a member of the pool.
func (v *View) serves(p *pool, ep int32) bool {
	_, ok := slices.BinarySearch(p.members, ep)
	return ok
}

func (v *View) consider(ep int32, r *Request, gate Gate) {
	s, e := &v.scratch, &v.endpoints[ep]
	if s.stamp[ep] == s.round || len(s.candidates) == maxCandidates {
		return
	}
	if e.gated() > gate || slices.Contains(r.Avoid, e.id) {
		return
	}
	s.stamp[ep], s.slot[ep] = s.round, int32(len(s.candidates))
	s.candidates = append(s.candidates, candidate{endpoint: ep, rank: MaxHomes})
}

// expectCached works out how many tokens each candidate probably has. A level
// can only be used together with all levels before it, so whoever has a deep
// one has those too.
func (v *View) expectCached(now time.Time, r *Request) {
	for i := len(r.Levels) - 1; i >= 0; i-- {
		if t := v.prefixes.find(r.Levels[i].Key); t != nil {
			for j := range t.holders {
				h := &t.holders[j]
				if c := v.scratch.find(h.endpoint); c != nil {
					c.present = max(c.present, v.belief(now, h))
				}
			}
		}
		from := 0
		if i > 0 {
			from = r.Levels[i-1].Tokens
		}
		piece := float64(r.Levels[i].Tokens - from)
		for j := range v.scratch.candidates {
			c := &v.scratch.candidates[j]
			c.cached += piece * c.present
		}
	}
}

// choose takes the candidate of the lowest cost.
func (v *View) choose(now time.Time, r *Request, home *entry, reason Reason) Decision {
	m := v.costModel(now, r, home)
	m.usual = v.usualWait(now, r.Priority)
	var best *candidate
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		m.weigh(v, now, c)
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	e := &v.endpoints[best.endpoint]
	d := Decision{
		Endpoint: e.id, ExpectedCached: int(best.expected),
		ExpectedWait:  seconds(best.wait),
		ExpectedFirst: seconds(best.wait + best.compute + v.travel(best)),
		LoadAge:       unknownAge,
		Reason:        reason,
	}
	if !e.loadAt.IsZero() {
		d.LoadAge = now.Sub(e.loadAt)
	}
	if home != nil {
		d.Peer = v.peer(home, best.endpoint)
	}
	if best.cached > 0 {
		d.Incarnation = e.incarnation
	}
	switch {
	case reason == ReasonPanic:
	case best.present > 0:
		d.Reason = ReasonHolder
	case best.rank >= m.homes:
		d.Reason = ReasonSpill
	}
	// What is believed counts here, without the prior of a home: an endpoint
	// fetches only what it really lacks.
	lacks := m.stored - best.cached
	if _, fetch := v.computeTime(e, m.tokens-best.cached, lacks); fetch && v.imports.take(now, lacks) {
		d.ImportFrom = v.store
	}
	return d
}

// peer is the first home of the prefix other than the endpoint, "" if none.
func (v *View) peer(home *entry, endpoint int32) fleet.EndpointID {
	for _, h := range home.homes[:home.homeCount] {
		if h != endpoint {
			return v.endpoints[h].id
		}
	}
	return ""
}

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
}

func (v *View) costModel(now time.Time, r *Request, home *entry) costModel {
	m := costModel{id: r.ID, priority: r.Priority, tokens: float64(r.Tokens), homes: 1, stored: v.storedTokens(now, r)}
	if home == nil {
		return m
	}
	m.homes = v.homesFor(now, home, r)
	m.shared = float64(r.Levels[prefix.Affinity(r.Levels)].Tokens)
	for i := range v.scratch.candidates {
		m.known = max(m.known, min(1, v.scratch.candidates[i].cached/m.shared))
	}
	return m
}

// weigh works out the cost of a candidate in seconds.
func (m *costModel) weigh(v *View, now time.Time, c *candidate) {
	e := &v.endpoints[c.endpoint]
	c.expected = c.cached
	if c.rank < m.homes {
		c.expected = max(c.cached, (1-m.known)*v.prior(now, e)*m.shared)
	}
	c.wait = v.wait(now, c.endpoint, m.priority) + (1-v.fresh(now, e, m.priority))*m.usual
	c.compute, _ = v.computeTime(e, m.tokens-c.expected, m.stored-c.expected)
	c.cost = c.wait + c.compute + v.travel(c) + rankCost*float64(max(0, c.rank-m.homes+1))
	if c.rank >= m.homes || m.homes == 1 {
		c.cost += wasteWeight * (m.tokens - c.expected) / e.rate
	}
	c.cost += fillCost*filled(e) + v.doubt(now, e, c.endpoint, m.id)
	c.cost += crowdWeight * v.arrivals(e) * c.compute * c.compute / 2
	if c.rank >= m.homes {
		c.cost += (1 - m.known) * homeSlack
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
		filled -= math.Exp2(-max(0, now.Sub(e.emptied).Seconds()) / v.o.CacheLife.Seconds())
	}
	if !e.follows {
		return v.o.HomePrior * filled
	}
	return v.o.HomePrior * filled * math.Exp2(-now.Sub(e.since).Seconds()/priorLife)
}

// unknownAge stands for a load that was never told.
const unknownAge = -time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// homesFor is the number of endpoints that the prefix's heat asks for: those
// that its requests would keep busy, by prefill or by batch slots.
func (v *View) homesFor(now time.Time, t *entry, r *Request) int32 {
	suffix := r.Tokens - r.Levels[prefix.Affinity(r.Levels)].Tokens
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
	if over := e.load.Running + e.load.Waiting + e.queued + 1 - e.load.Slots; e.load.Slots > 0 && over > 0 {
		wait += float64(over) * v.service / float64(e.load.Slots)
	}
	return max(wait, v.observed(now, e, p).Seconds())
}

// usualWait is the mean wait in seconds of the candidates, by how lately each was
// heard of.
//
// What an endpoint said loses its meaning within seconds, and an endpoint of which
// nothing is known would count as idle. With many daemons most endpoints are not
// heard of for seconds, and whoever looks for a short queue would go to just
// those: requests that left a full lane waited 0.7 to 2.3 s at engines that
// were expected to take 10 to 40 ms. What is not known is taken to be as usual.
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
	if v.o.QueueLife <= 0 {
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
	return math.Exp2(-max(0, now.Sub(at).Seconds()) / v.o.QueueLife.Seconds())
}

// stillQueued is what is left of a reported queue after a while.
//
// An endpoint works its queue off, but where many daemons share it the others
// fill it up again meanwhile: in steady overload the queue of the last report is
// the best guess, and to subtract the work done since would show full endpoints
// as empty to every daemon that has not heard of them for a moment.
func (v *View) stillQueued(tokens float64, e *endpoint, elapsed float64) float64 {
	if v.o.QueueLife <= 0 {
		return tokens - e.rate*elapsed
	}
	return tokens * math.Exp2(-elapsed/v.o.QueueLife.Seconds())
}

// ahead is the part of the reported queue that a request of the priority waits
// for. An endpoint that does not split its queue is taken to serve in order.
func ahead(l *fleet.Load, p contract.Priority) int {
	if l.TokensAhead == [len(l.TokensAhead)]int{} {
		return l.WaitingTokens
	}
	return l.TokensAhead[min(int(p), len(l.TokensAhead)-1)]
}
