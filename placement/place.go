package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// Weights of the cost model, in seconds unless said otherwise. How each was
// found is in docs/measurements/decide.md.
const (
	// wholePool is the size up to which every endpoint of a pool is weighed.
	// In a larger one only homes, holders and a few samples are.
	wholePool = 128
	// sampled is the number of further endpoints weighed in a large pool.
	sampled = 4
	// maxCandidates bounds the endpoints weighed for one request.
	maxCandidates = 160
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
	// homeSlack is the longest wait in seconds that a cold prefix takes to be at
	// home. Daemons that restart together know nothing but the homes. A short prefix
	// takes no longer a wait than reading it elsewhere once more would count.
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
	told     bool    // the endpoint tells itself what it holds
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
	d, err := v.Select(now, r)
	if err == nil {
		v.Reserve(now, r, &d)
	}
	return d, err
}

// Select chooses the endpoint for a request without reserving anything there, for
// a caller that compares several pools. It returns ErrUnknownPool or
// ErrNoEndpoint.
func (v *View) Select(now time.Time, r Request) (Decision, error) {
	p := v.pools[r.Pool]
	if p == nil {
		return Decision{}, ErrUnknownPool
	}
	var home *entry
	if i := prefix.AffinityLevel(r.Levels); i >= 0 {
		home = v.prefixes.touch(r.Levels[i].Key)
		v.setHomes(home, p)
	}
	reason := ReasonPreferred
	v.gather(p, home, &r, Available)
	if len(v.scratch.candidates) == 0 {
		reason = ReasonPanic
		v.gather(p, home, &r, Ejected)
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
	if i := prefix.AffinityLevel(r.Levels); i >= 0 {
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
	var scores [MaxPreferred]uint64
	key, n := t.key.Uint64(), 0
	for _, ep := range p.members {
		score := mix(key ^ v.endpoints[ep].hash)
		if n == MaxPreferred && score <= scores[n-1] {
			continue
		}
		if n < MaxPreferred {
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
func (v *View) gather(p *pool, home *entry, r *Request, gate Availability) {
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
	v.gatherHeld(p, r, gate)
	for i := range uint64(sampled) {
		at := mix(r.ID^i<<32) % uint64(len(p.members))
		v.consider(p.members[at], r, gate)
	}
}

// gatherHolders adds those believed to hold the deeper levels.
func (v *View) gatherHolders(p *pool, r *Request, gate Availability) {
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

// gatherHeld adds those that hold the beginning by their own word. A few samples of a
// large pool would miss them.
func (v *View) gatherHeld(p *pool, r *Request, gate Availability) {
	if r.Locations == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.Locations.Tokens)) {
		if ep, known := v.byID[id]; known && v.serves(p, ep) {
			v.consider(ep, r, gate)
		}
	}
}

// serves tells whether the endpoint is a member of the pool.
func (v *View) serves(p *pool, ep int32) bool {
	_, ok := slices.BinarySearch(p.members, ep)
	return ok
}

func (v *View) consider(ep int32, r *Request, gate Availability) {
	s, e := &v.scratch, &v.endpoints[ep]
	if s.stamp[ep] == s.round || len(s.candidates) == maxCandidates {
		return
	}
	if e.gated() > gate || slices.Contains(r.Avoid, e.id) {
		return
	}
	s.stamp[ep], s.slot[ep] = s.round, int32(len(s.candidates))
	s.candidates = append(s.candidates, candidate{endpoint: ep, rank: MaxPreferred})
}

// expectCached works out how many tokens each candidate probably has. A level
// can only be used together with all levels before it, so whoever has a deep
// one has those too.
func (v *View) expectCached(now time.Time, r *Request) {
	if r.Locations != nil {
		v.takeHeld(r.Locations)
		defer v.atLeastHeld(r.Locations)
	}
	for i := len(r.Levels) - 1; i >= 0; i-- {
		if t := v.prefixes.find(r.Levels[i].Key); t != nil {
			for j := range t.holders {
				h := &t.holders[j]
				c := v.scratch.find(h.endpoint)
				if c != nil && (!c.told || h.coming && now.Sub(h.seen) < comingLife) {
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

// comingLife is how long a prefix that was sent to an endpoint may be missing from
// what the endpoint tells of its cache: it is read, and the word of it is on its
// way.
const comingLife = 1500 * time.Millisecond

// takeHeld marks the candidates that tell themselves what they hold.
func (v *View) takeHeld(h *PrefixLocations) {
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		_, c.told = h.Tokens[v.endpoints[c.endpoint].id]
	}
}

// atLeastHeld counts what the candidates hold by their own word.
func (v *View) atLeastHeld(h *PrefixLocations) {
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		if tokens, ok := h.Tokens[v.endpoints[c.endpoint].id]; ok {
			c.cached = max(c.cached, float64(tokens))
		}
	}
}

// choose takes the candidate of the lowest cost.
func (v *View) choose(now time.Time, r *Request, home *entry, reason Reason) Decision {
	m := v.costModel(now, r, home)
	if !r.Exclusive {
		m.usual = v.usualWait(now, r.Priority)
	}
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
		Endpoint: e.id, ExpectedCached: int(m.reach(best)),
		ExpectedWait:       seconds(best.wait),
		ExpectedFirstToken: seconds(best.wait + best.compute + v.travel(best)),
		LoadAge:            unknownAge,
		Reason:             reason,
	}
	if !e.loadAt.IsZero() {
		d.LoadAge = now.Sub(e.loadAt)
	}
	if home != nil {
		d.AlternateEndpoint = v.peer(home, best.endpoint)
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
