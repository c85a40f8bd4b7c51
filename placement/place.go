package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/prefix"
)

// Parameters of the cost model, in seconds unless stated otherwise. How each was determined
// is described in docs/measurements/decide.md.
const (
	// fullScanLimit is the pool size up to which every endpoint is a candidate. In a larger
	// pool only preferred endpoints, holders and a few random samples are.
	fullScanLimit = 128
	// sampleCount is the number of random candidates in a large pool.
	sampleCount = 4
	// maxCandidates is the largest number of candidates for one request.
	maxCandidates = 160
	// priorHalfLife is the half-life, in seconds, with which PreferredPrior decays once the
	// daemon follows the cache events of an endpoint.
	priorHalfLife = 2.0
	// recomputeWeight is the number of additional tokens that each recomputed token counts
	// as, since recomputing also delays the requests that follow. With a low weight a
	// loaded fleet collapses: queues divert prompts to endpoints without a cached prefix,
	// where they are computed again, which makes the queues longer.
	recomputeWeight = 24.0
	// rankCost separates endpoints that are otherwise equal. It exceeds the round-trip
	// delay between zones, because daemons in different zones must agree on the endpoint
	// for an uncached prefix.
	rankCost = 0.004
	// maxPreferredWait is the longest wait in seconds that is accepted to place an uncached
	// prefix on a preferred endpoint. Daemons that restart together know only the preferred
	// endpoints. For a short prefix the wait is limited to the cost of recomputing it
	// elsewhere.
	maxPreferredWait = 3.0
	// delayWeight weights the delay that the prefill of a prompt causes for requests that
	// arrive at the endpoint meanwhile.
	delayWeight = 0.2
	// batchFillCost is the cost of a full batch in addition to the wait: each request in
	// the batch slows the token rate of the others, and the next burst finds no free slot.
	batchFillCost = 0.03
	// stalenessCostRate is the range of the random cost added for each second of a load
	// report's age. Without it, daemons that received the same report of an idle endpoint
	// would all send their next requests there.
	stalenessCostRate = 0.1
	// maxStalenessCost is the upper bound of that range, in seconds.
	maxStalenessCost = 0.06
	// fullCost is the cost of an endpoint that has just rejected a request for want of room.
	// It exceeds that of recomputing a long prompt elsewhere: a rejection leads there too,
	// later and at the expense of the retry budget.
	fullCost = 10.0
	// unreportedCost is the cost of each request that this daemon has under way at an
	// endpoint that never reported its load, and the range of the random cost that separates
	// such endpoints.
	unreportedCost = 0.004
	// maxPrefillShare is the fraction of one endpoint's prefill time that a prefix may use
	// before another preferred endpoint is added for it.
	maxPrefillShare = 0.5
)

// Pauses after rejections for want of room. Places become free all the time, so that the
// first pause is short.
const (
	minFullPause     = 10 * time.Millisecond
	maxFullPause     = 160 * time.Millisecond
	maxFullDoublings = 4
)

// candidate is an endpoint considered for one request.
type candidate struct {
	endpoint       int32
	rank           int32   // position in the rendezvous order; MaxPreferred: not in it
	present        float64 // probability that it caches some level of the prompt
	reportsCache   bool    // the endpoint itself reports what it caches
	cached         float64 // estimated tokens in its cache
	expectedCached float64 // cached, or the prior for a preferred endpoint if that is more
	wait           float64 // in its queue, in seconds
	prepareTime    float64 // until the prompt is prefilled, in seconds
	cost           float64
}

// scratch holds buffers that are reused from one placement to the next.
type scratch struct {
	candidates []candidate
	slot       []int32  // candidate index by endpoint
	stamp      []uint32 // round in which the endpoint's slot was set
	round      uint32
	spreads    []spread // of the candidates, while all daemons know the same loads
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

// Place chooses the endpoint for a request and reserves capacity there. The reservation
// belongs to the request until Finished, Failed or its expiry. Place returns ErrUnknownPool
// or ErrNoEndpoint.
func (v *View) Place(now time.Time, r Request) (Decision, error) {
	d, err := v.Select(now, r)
	if err == nil {
		v.Reserve(now, r, &d)
	}
	return d, err
}

// Select chooses the endpoint for a request without a reservation, for a caller that
// compares several pools. It returns ErrUnknownPool or ErrNoEndpoint.
func (v *View) Select(now time.Time, r Request) (Decision, error) {
	p := v.pools[r.Pool]
	if p == nil {
		return Decision{}, ErrUnknownPool
	}
	var affinity *prefixEntry
	if i := prefix.AffinityLevel(r.Levels); i >= 0 {
		affinity = v.prefixes.touch(r.Levels[i].Key)
		v.rankPreferred(affinity, p)
	}
	reason := ReasonPreferred
	v.collectCandidates(p, affinity, &r, Available)
	if len(v.scratch.candidates) == 0 {
		reason = ReasonPanic
		v.collectCandidates(p, affinity, &r, Ejected)
	}
	if len(v.scratch.candidates) == 0 {
		return Decision{}, ErrNoEndpoint
	}
	v.estimateCached(now, &r)
	return v.choose(now, &r, affinity, reason), nil
}

// Reserve reserves capacity on the endpoint that Select chose.
func (v *View) Reserve(now time.Time, r Request, d *Decision) {
	ep, ok := v.byID[d.Endpoint]
	if !ok {
		return // removed between the two calls; the attempt will fail
	}
	if i := prefix.AffinityLevel(r.Levels); i >= 0 {
		v.prefixes.touch(r.Levels[i].Key).countRequest(now)
	}
	missing := r.Tokens - d.ExpectedCached
	v.reserve(now, &r, ep, missing)
	v.recordPlacement(now, ep, &r, missing)
}

// rankPreferred computes the rendezvous order of the prefix over the pool.
//
// Every daemon computes the same order without communication, and the removal of an
// endpoint moves only the prefixes that it was preferred for.
func (v *View) rankPreferred(t *prefixEntry, p *pool) {
	if t.preferredEpoch == p.epoch {
		return
	}
	var scores [MaxPreferred]uint64
	key, n := t.key.Uint64(), 0
	for _, ep := range p.members {
		score := hash.Mix(key ^ v.endpoints[ep].hash)
		if n == MaxPreferred && score <= scores[n-1] {
			continue
		}
		if n < MaxPreferred {
			n++
		}
		j := n - 1
		for ; j > 0 && scores[j-1] < score; j-- {
			scores[j], t.preferred[j] = scores[j-1], t.preferred[j-1]
		}
		scores[j], t.preferred[j] = score, ep
	}
	t.preferredCount, t.preferredEpoch = int32(n), p.epoch
}

// collectCandidates lists the endpoints to compare: the preferred ones first, then all
// others of a small pool, or holders and samples of a large one.
func (v *View) collectCandidates(p *pool, affinity *prefixEntry, r *Request, minAvailability Availability) {
	v.scratch.begin()
	if affinity != nil {
		for _, ep := range affinity.preferred[:affinity.preferredCount] {
			v.addCandidate(ep, r, minAvailability)
		}
	}
	for i := range v.scratch.candidates {
		v.scratch.candidates[i].rank = int32(i)
	}
	if len(p.members) <= fullScanLimit {
		for _, ep := range p.members {
			v.addCandidate(ep, r, minAvailability)
		}
		return
	}
	v.collectHolders(p, r, minAvailability)
	v.collectReporting(p, r, minAvailability)
	if r.Only != nil {
		v.collectOnly(p, r, minAvailability)
		return
	}
	for i := range uint64(sampleCount) {
		at := hash.Mix(r.ID^i<<32) % uint64(len(p.members))
		v.addCandidate(p.members[at], r, minAvailability)
	}
}

// collectHolders adds endpoints that probably cache one of the levels, deepest level first.
func (v *View) collectHolders(p *pool, r *Request, minAvailability Availability) {
	for i := len(r.Levels) - 1; i >= 0; i-- {
		t := v.prefixes.find(r.Levels[i].Key)
		if t == nil {
			continue
		}
		for _, h := range t.holders {
			if v.endpoints[h.endpoint].generation == h.generation && v.inPool(p, h.endpoint) {
				v.addCandidate(h.endpoint, r, minAvailability)
			}
		}
		if len(v.scratch.candidates) > fullScanLimit {
			return
		}
	}
}

// collectReporting adds the endpoints that reported the beginning of the prompt as cached.
// The few samples of a large pool would miss them.
func (v *View) collectReporting(p *pool, r *Request, minAvailability Availability) {
	if r.Locations == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.Locations.Tokens)) {
		if ep, known := v.byID[id]; known && v.inPool(p, ep) {
			v.addCandidate(ep, r, minAvailability)
		}
	}
}

// allows reports whether the request may be placed on the endpoint.
func (r *Request) allows(id fleet.EndpointID) bool {
	if r.Only == nil {
		return true
	}
	_, ok := slices.BinarySearch(r.Only, id)
	return ok
}

// collectOnly adds endpoints of the request's own choice, in an order that depends on the
// request. Samples of a large pool would miss a few endpoints.
func (v *View) collectOnly(p *pool, r *Request, minAvailability Availability) {
	if len(r.Only) == 0 {
		return
	}
	first := int(hash.Mix(r.ID) % uint64(len(r.Only)))
	for i := range r.Only {
		if ep, known := v.byID[r.Only[(first+i)%len(r.Only)]]; known && v.inPool(p, ep) {
			v.addCandidate(ep, r, minAvailability)
		}
	}
}

// inPool reports whether the endpoint is a member of the pool.
func (v *View) inPool(p *pool, ep int32) bool {
	_, ok := slices.BinarySearch(p.members, ep)
	return ok
}

func (v *View) addCandidate(ep int32, r *Request, minAvailability Availability) {
	s, e := &v.scratch, &v.endpoints[ep]
	if s.stamp[ep] == s.round || len(s.candidates) == maxCandidates {
		return
	}
	if e.availability() > minAvailability || slices.Contains(r.Avoid, e.id) || !r.allows(e.id) {
		return
	}
	s.stamp[ep], s.slot[ep] = s.round, int32(len(s.candidates))
	s.candidates = append(s.candidates, candidate{endpoint: ep, rank: MaxPreferred})
}

// estimateCached estimates how many tokens of the prompt each candidate caches. A level is
// usable only together with all levels before it, so an endpoint that caches a level is
// assumed to cache the preceding ones as well.
func (v *View) estimateCached(now time.Time, r *Request) {
	if r.Locations != nil {
		v.markReporting(r.Locations)
		defer v.applyReported(r.Locations)
	}
	for i := len(r.Levels) - 1; i >= 0; i-- {
		if t := v.prefixes.find(r.Levels[i].Key); t != nil {
			for j := range t.holders {
				h := &t.holders[j]
				c := v.scratch.find(h.endpoint)
				if c != nil && (!c.reportsCache || h.inFlight && now.Sub(h.confirmedAt) < inFlightTTL) {
					c.present = max(c.present, v.probability(now, h))
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

// inFlightTTL is how long a prefix that was sent to an endpoint may be missing from the
// endpoint's own reports: it is still being prefilled, or the report is on its way.
const inFlightTTL = 1500 * time.Millisecond

// markReporting marks the candidates that report what they cache.
func (v *View) markReporting(h *PrefixLocations) {
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		_, c.reportsCache = h.Tokens[v.endpoints[c.endpoint].id]
	}
}

// applyReported raises the estimates to the cached tokens that the endpoints reported.
func (v *View) applyReported(h *PrefixLocations) {
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		if tokens, ok := h.Tokens[v.endpoints[c.endpoint].id]; ok {
			c.cached = max(c.cached, float64(tokens))
		}
	}
}

// choose returns the candidate with the lowest cost.
func (v *View) choose(now time.Time, r *Request, affinity *prefixEntry, reason Reason) Decision {
	m := v.costModel(now, r, affinity)
	if !r.Exclusive {
		m.typicalWait = v.typicalWait(now, r.Priority)
	}
	for i := range v.scratch.candidates {
		m.evaluate(v, now, &v.scratch.candidates[i])
	}
	if m.shared {
		v.spreadLoads(now, r)
		v.addSpreadCosts(r.ID)
	}
	var best *candidate
	for i := range v.scratch.candidates {
		c := &v.scratch.candidates[i]
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	e := &v.endpoints[best.endpoint]
	d := Decision{
		Endpoint: e.id, ExpectedCached: int(m.reusable(best)),
		ExpectedWait:       seconds(best.wait),
		ExpectedFirstToken: seconds(best.wait + best.prepareTime + v.roundTrip(best)),
		LoadAge:            unknownLoadAge,
		Reason:             reason,
	}
	if !e.loadAt.IsZero() {
		d.LoadAge = now.Sub(e.loadAt)
	}
	if affinity != nil {
		d.AlternateEndpoint = v.alternate(affinity, best.endpoint)
	}
	if best.cached > 0 {
		d.Incarnation = e.incarnation
	}
	switch {
	case reason == ReasonPanic:
	case best.present > 0:
		d.Reason = ReasonHolder
	case best.rank >= m.preferred:
		d.Reason = ReasonSpill
	}
	// Uses the cached estimate without the prior of preferred endpoints: an endpoint should
	// fetch only what it really lacks.
	lacks := m.storedTokens - best.cached
	if _, fetch := v.computeTime(e, m.tokens-best.cached, lacks); fetch && v.imports.take(now, lacks) {
		d.ImportFrom = v.store
	}
	return d
}

// alternate returns the first preferred endpoint of the prefix other than the given one, or
// "" if there is none.
func (v *View) alternate(affinity *prefixEntry, endpoint int32) fleet.EndpointID {
	for _, h := range affinity.preferred[:affinity.preferredCount] {
		if h != endpoint {
			return v.endpoints[h].id
		}
	}
	return ""
}
