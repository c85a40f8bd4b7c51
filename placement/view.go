package placement

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// View is one daemon's local state of the fleet. Create it with NewView.
type View struct {
	o Options

	endpoints      []endpoint
	freeEndpoints  []int32
	byID           map[fleet.EndpointID]int32
	pools          map[string]*pool
	store          fleet.EndpointID
	lastGeneration uint32 // last cache generation assigned
	lastEpoch      uint32 // last pool epoch assigned

	prefixes prefixTable

	reservations     []reservation
	freeReservations []int32
	byOwner          map[uint64]int32
	expiries         expiryQueue
	serviceTime      float64 // mean seconds from the first token to the last

	imports          importBudget
	outbox           outbox
	peerReservations uint64 // number of reservations made for other daemons
	scratch          scratch
}

// NewView returns an empty View.
func NewView(o Options) *View {
	o = o.withDefaults()
	v := &View{
		o:           o,
		byID:        map[fleet.EndpointID]int32{},
		pools:       map[string]*pool{},
		prefixes:    newPrefixTable(o.MaxPrefixes),
		byOwner:     map[uint64]int32{},
		serviceTime: DefaultServiceTime.Seconds(),
	}
	v.SetDaemons(o.Daemons)
	return v
}

// SetDaemons sets the number of daemons that share the fleet, including this one.
func (v *View) SetDaemons(n int) {
	v.o.Daemons = max(n, 1)
	v.imports.rate = importShare * v.o.ImportRate / float64(v.o.Daemons)
}

// importShare is the fraction of the store's link that all daemons' import budgets add up
// to.
const importShare = 1.5

// SetStore sets the KV store that prefixes may be imported from; empty: none.
func (v *View) SetStore(id fleet.EndpointID) { v.store = id }

// Answered applies the beginning of an answer: the tokens cached at the endpoint and its
// load.
func (v *View) Answered(now time.Time, a Answer) {
	i, owned := v.byOwner[a.ID]
	if owned {
		v.reservations[i].firstTokenAt = now
	}
	e := v.endpointOf(a.Endpoint)
	if e == nil || !v.accept(e, a.Incarnation, now) {
		return
	}
	if e.rejections > 0 {
		e.rejections = 0
	}
	if a.Load != nil {
		v.applyLoad(e, *a.Load)
	}
	if owned && (a.Load == nil || v.reservations[i].exclusive) {
		v.cover(&v.endpoints[v.reservations[i].endpoint], i)
	}
	v.recordCached(now, e, a)
}

// ObserveWait records how long a request waited at the endpoint before its prompt was read.
// With answered false it is still waiting, and wait is a lower bound.
//
// A full endpoint answers late, so its load report is old when it arrives, and callers that
// give up get no answer at all. Requests that have been waiting for long show the queue
// without delay. Of answers the one to the request that was sent last shows the present
// queue: after a pause of the endpoint all arrive at once, in any order.
func (v *View) ObserveWait(now time.Time, id fleet.EndpointID, p contract.Priority, wait time.Duration, answered bool) {
	e := v.endpointOf(id)
	if e == nil {
		return
	}
	wait = max(wait, 0)
	if answered && e.waits[p].answered && e.waits[p].sentAt().After(now.Add(-wait)) {
		return
	}
	if answered || wait > v.decayedWait(now, e, p) {
		e.ownReport()
		e.waits[p] = observedWait{wait: wait, observedAt: now, answered: answered}
	}
}

// ForgetWaits drops the observed waits of an endpoint. They were none of the endpoint's if
// the path to it was lost.
func (v *View) ForgetWaits(id fleet.EndpointID) {
	if e := v.endpointOf(id); e != nil {
		clear(e.waits[:])
	}
}

// decayedWait returns the last observed wait for the priority or a more urgent one, decayed
// by its age. Waits of less urgent requests are ignored, since more urgent ones are served
// first.
func (v *View) decayedWait(now time.Time, e *endpoint, p contract.Priority) time.Duration {
	longest := time.Duration(0)
	for urgent := range p + 1 {
		if w := e.waits[urgent]; w.wait > 0 && v.o.QueueHalfLife > 0 {
			left := float64(w.wait) * math.Exp2(-now.Sub(w.observedAt).Seconds()/v.o.QueueHalfLife.Seconds())
			longest = max(longest, time.Duration(left))
		}
	}
	return longest
}

// StalePreferred returns those of the first n preferred endpoints of a prompt whose last
// load report is older than before. The caller can query their load before it places a long
// prompt.
func (v *View) StalePreferred(r Request, before time.Time, n int) []fleet.EndpointID {
	p := v.pools[r.Pool]
	at := prefix.AffinityLevel(r.Levels)
	if p == nil || at < 0 {
		return nil
	}
	affinity := v.prefixes.touch(r.Levels[at].Key)
	v.rankPreferred(affinity, p)
	var out []fleet.EndpointID
	for _, ep := range affinity.preferred[:min(affinity.preferredCount, int32(n))] {
		if e := &v.endpoints[ep]; e.availability() == Available && e.loadAt.Before(before) {
			out = append(out, e.id)
		}
	}
	return out
}

// recordCached records that the endpoint caches the prompt, and updates the estimate of how
// long entries last there.
func (v *View) recordCached(now time.Time, e *endpoint, a Answer) {
	ep := v.byID[a.Endpoint]
	h := holder{endpoint: ep, generation: e.generation, eventGaps: e.eventGaps, confirmedAt: now}
	for i := range sharedCount(a.Levels) {
		l := &a.Levels[i]
		t := v.prefixes.touch(l.Key)
		v.updateHalfLife(now, e, t, ep, l.Tokens <= a.CachedTokens)
		t.addHolder(h)
		t.storedAt = now
	}
}

// sharedCount returns the number of leading levels worth recording. The last level is the
// question, which no other request shares.
func sharedCount(levels []prefix.Level) int { return max(len(levels)-1, min(len(levels), 1)) }

// smoothingGain is the weight of one observation in the averages of cache lifetime and
// service time.
const smoothingGain = 0.1

// updateHalfLife adjusts the endpoint's half-life by whether the answer confirmed a
// recorded holder.
func (v *View) updateHalfLife(now time.Time, e *endpoint, t *prefixEntry, ep int32, hit bool) {
	for _, h := range t.holders {
		if h.endpoint != ep || h.generation != e.generation {
			continue
		}
		age := now.Sub(h.confirmedAt)
		if hit == (age > e.idleHalfLife) {
			e.idleHalfLife += time.Duration(smoothingGain * float64(age-e.idleHalfLife))
		}
		e.idleHalfLife = max(e.idleHalfLife, minHalfLife)
		return
	}
}

const minHalfLife = 200 * time.Millisecond

// minServiceTime bounds the mean time from the first token to the last. Answers that arrive
// all at once would bring it to 0, and the rates that are derived from it to infinity.
const minServiceTime = time.Microsecond

// Finished ends a request whose complete answer has arrived.
func (v *View) Finished(now time.Time, id uint64) {
	i, ok := v.byOwner[id]
	if !ok {
		return
	}
	if first := v.reservations[i].firstTokenAt; !first.IsZero() {
		v.serviceTime = max(minServiceTime.Seconds(), v.serviceTime+smoothingGain*(now.Sub(first).Seconds()-v.serviceTime))
	}
	v.release(i)
}

// Failed ends an attempt without a complete answer.
func (v *View) Failed(now time.Time, f Failure) {
	if i, ok := v.byOwner[f.ID]; ok {
		v.release(i)
	}
	e := v.endpointOf(f.Endpoint)
	if e == nil || !f.ConnectionLost {
		return
	}
	if v.loseCache(e, now) {
		v.outbox.push(Announcement{Endpoint: e.id, Incarnation: e.incarnation, CacheLost: true, At: now})
	}
}

// EventsLost records that an endpoint's event stream is interrupted. What its events showed
// is then weighted by age, as after a gap in the sequence.
//
// Nothing else shows it: without events no gap is visible, and a daemon whose stream broke
// would go on relying on prefixes evicted since.
func (v *View) EventsLost(id fleet.EndpointID) {
	e := v.endpointOf(id)
	if e == nil || !e.followsEvents {
		return
	}
	e.followsEvents, e.nextSeq = false, 0
	e.eventGaps++
}

// CacheEvents applies events of one endpoint. A gap in the sequence makes everything that
// earlier events of the endpoint showed uncertain, neither absent nor present: it is then
// weighted by age, as what an answer showed.
func (v *View) CacheEvents(b EventBatch) {
	e := v.endpointOf(b.Endpoint)
	if e == nil || !v.accept(e, b.Incarnation, b.At) {
		return
	}
	if e.followsEvents && b.Seq < e.nextSeq {
		return
	}
	if !e.followsEvents || b.Seq > e.nextSeq+smallGap {
		e.followedSince = b.At
	}
	if !e.followsEvents || b.Seq != e.nextSeq {
		e.eventGaps++
	}
	e.followsEvents = true
	e.nextSeq = b.Seq + uint64(len(b.Events))
	for _, ev := range b.Events {
		v.applyEvent(e, v.byID[b.Endpoint], b.At, ev)
	}
}

// smallGap is the number of lost events up to which an unknown prefix is still assumed to
// be absent: few can have been stored in the gap.
const smallGap = 256

func (v *View) applyEvent(e *endpoint, ep int32, at time.Time, ev Event) {
	switch ev.Kind {
	case EventCleared:
		seq := e.nextSeq
		v.forgetCache(e, at)
		e.followsEvents, e.nextSeq = true, seq
	case EventStored:
		t := v.prefixes.touch(ev.Key)
		t.addHolder(holder{endpoint: ep, generation: e.generation, eventGaps: e.eventGaps, fromEvent: true, confirmedAt: at})
		if t.storedAt.Before(at) {
			t.storedAt = at
		}
	case EventRemoved:
		if t := v.prefixes.find(ev.Key); t != nil {
			t.dropHolder(ep, at)
		}
	}
}

// eventConfidence is the probability that a prefix is cached if a cache event reported it
// and no removal and no gap followed. The removal may be on its way.
const eventConfidence = 0.97

// probability returns the probability that the holder still caches the prefix.
func (v *View) probability(now time.Time, h *holder) float64 {
	e := &v.endpoints[h.endpoint]
	if h.generation != e.generation {
		return 0
	}
	if e.followsEvents && h.eventGaps == e.eventGaps && !h.inFlight {
		return eventConfidence
	}
	return math.Exp2(-now.Sub(h.confirmedAt).Seconds() / e.idleHalfLife.Seconds())
}
