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
	// homePrior is how likely a home has the prefix when nothing is learnt:
	// other daemons have probably sent it there.
	homePrior = 0.9
	// priorLife is how fast that fades once the daemon follows the events of an
	// endpoint: the half-life in seconds.
	priorLife = 2.0
	// wasteWeight counts a recomputed token as this many more, since it also
	// delays whoever comes next. With a low weight a loaded fleet collapses:
	// waits send prompts to cold endpoints, where they are computed once more,
	// which makes the waits longer.
	wasteWeight = 8.0
	// rankCost separates endpoints that are otherwise equal. It is above the
	// two-way delay between zones: daemons of different zones must agree
	// where a cold prefix goes.
	rankCost = 0.004
	// homeShare is the part of one endpoint's prefill time that a prefix may
	// take before it gets another home.
	homeShare = 0.5
)

// candidate is an endpoint that is being weighed.
type candidate struct {
	endpoint int32
	rank     int32 // in the rendezvous order; MaxHomes: behind all homes
	present  float64
	cached   float64 // expected tokens
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
	p := v.pools[r.Pool]
	if p == nil {
		return Decision{}, ErrUnknownPool
	}
	var home *entry
	if i := prefix.Affinity(r.Levels); i >= 0 {
		home = v.prefixes.touch(r.Levels[i].Key)
		home.warm(now)
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
	d, missing := v.choose(now, &r, home, reason)
	ep := v.byID[d.Endpoint]
	v.reserve(now, &r, ep, missing)
	v.note(now, ep, &r)
	return d, nil
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
func (v *View) choose(now time.Time, r *Request, home *entry, reason Reason) (Decision, int) {
	homes, shared := int32(1), 0
	if home != nil {
		homes = v.homesFor(now, home, r)
		shared = r.Levels[prefix.Affinity(r.Levels)].Tokens
	}
	best, bestCost := -1, 0.0
	var bestWait, bestMissing float64
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		if c.rank < homes {
			c.cached = max(c.cached, v.prior(now, c)*float64(shared))
		}
		wait, missing := v.wait(now, c.endpoint, r.Priority), float64(r.Tokens)-c.cached
		cost := wait + v.prefill(c, missing)*(1+wasteWeight)
		cost += v.travel(c) + rankCost*float64(max(0, c.rank-homes+1))
		if best < 0 || cost < bestCost {
			best, bestCost, bestWait, bestMissing = i, cost, wait, missing
		}
	}
	c := &v.scratch.candidates[best]
	e := &v.endpoints[c.endpoint]
	d := Decision{
		Endpoint: e.id, Incarnation: e.incarnation, ExpectedCached: int(c.cached),
		ExpectedWait:  seconds(bestWait),
		ExpectedFirst: seconds(bestWait + v.prefill(c, bestMissing) + v.travel(c)),
		Reason:        reason,
	}
	switch {
	case reason == ReasonPanic:
	case c.present > 0:
		d.Reason = ReasonHolder
	case c.rank >= homes:
		d.Reason = ReasonSpill
	}
	v.weighImport(now, r, c, &d)
	return d, int(bestMissing)
}

// prior is how likely a home has a prefix of which nothing is known there.
//
// A daemon that has followed the endpoint's events for a while would know, and
// a cold prefix may go wherever the wait is short. One that has just restarted
// knows nothing, and relies on the others having used the home.
func (v *View) prior(now time.Time, c *candidate) float64 {
	e := &v.endpoints[c.endpoint]
	if !e.follows {
		return homePrior
	}
	return homePrior * math.Exp2(-now.Sub(e.since).Seconds()/priorLife)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// homesFor is the number of endpoints that the prefix's heat asks for.
func (v *View) homesFor(now time.Time, t *entry, r *Request) int32 {
	suffix := r.Tokens - r.Levels[prefix.Affinity(r.Levels)].Tokens
	busy := t.heatNow(now) * float64(v.o.Daemons) * float64(suffix) / v.o.PrefillRate
	return min(t.homeCount, 1+int32(busy/homeShare))
}

func (v *View) prefill(c *candidate, tokens float64) float64 {
	return tokens / v.endpoints[c.endpoint].rate
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
	queued := float64(ahead(&e.load, p)) - e.rate*now.Sub(e.loadAt).Seconds()
	wait := max(queued, 0) / e.rate
	for urgent := range p + 1 {
		wait += float64(e.pending[urgent]) / e.rate
	}
	if over := e.load.Running + e.load.Waiting + e.queued + 1 - e.load.Slots; e.load.Slots > 0 && over > 0 {
		wait += float64(over) * v.service / float64(e.load.Slots)
	}
	return wait
}

// ahead is the part of the reported queue that a request of the priority waits
// for. An endpoint that does not split its queue is taken to serve in order.
func ahead(l *fleet.Load, p contract.Priority) int {
	if l.TokensAhead == [len(l.TokensAhead)]int{} {
		return l.WaitingTokens
	}
	return l.TokensAhead[min(int(p), len(l.TokensAhead)-1)]
}

// storeLife is how long the KV store is thought to keep a prefix.
const storeLife = time.Minute

// weighImport takes the KV store if it brings the missing tokens sooner than
// the endpoint computes them.
func (v *View) weighImport(now time.Time, r *Request, c *candidate, d *Decision) {
	if v.store == "" {
		return
	}
	for i := shared(r.Levels) - 1; i >= 0; i-- {
		t := v.prefixes.find(r.Levels[i].Key)
		if t == nil || t.stored.IsZero() || now.Sub(t.stored) > storeLife {
			continue
		}
		gain := float64(r.Levels[i].Tokens) - c.cached
		if v.prefill(c, gain) > v.o.ImportLatency.Seconds()+gain/v.o.ImportRate {
			d.ImportFrom = v.store
		}
		return
	}
}
