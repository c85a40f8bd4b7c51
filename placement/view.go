package placement

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// View is what one daemon believes of the fleet. Make it with NewView.
type View struct {
	o Options

	endpoints     []endpoint
	freeEndpoints []int32
	byID          map[fleet.EndpointID]int32
	pools         map[string]*pool
	store         fleet.EndpointID
	lives         uint32 // last life given out
	epochs        uint32 // last pool epoch given out

	prefixes table

	reservations     []reservation
	freeReservations []int32
	byOwner          map[uint64]int32
	ages             ageQueue
	service          float64 // seconds from first token to last, averaged

	imports  importBudget
	outbox   outbox
	peerWork uint64 // reservations made for other daemons
	scratch  scratch
}

// NewView returns an empty View.
func NewView(o Options) *View {
	o = o.withDefaults()
	v := &View{
		o:        o,
		byID:     map[fleet.EndpointID]int32{},
		pools:    map[string]*pool{},
		prefixes: newTable(o.MaxPrefixes),
		byOwner:  map[uint64]int32{},
		service:  DefaultServiceTime.Seconds(),
	}
	v.SetDaemons(o.Daemons)
	return v
}

// SetDaemons sets how many daemons share the fleet, this one included.
func (v *View) SetDaemons(n int) {
	v.o.Daemons = max(n, 1)
	v.imports.rate = importPart * v.o.ImportRate / float64(v.o.Daemons)
}

// importPart is how much of the store's link the daemons use together.
const importPart = 1.5

// SetStore names the KV store that prefixes may be imported from; empty: none.
func (v *View) SetStore(id fleet.EndpointID) { v.store = id }

// Answered takes the beginning of an answer: where it was cached, and the load.
func (v *View) Answered(now time.Time, a Answer) {
	i, owned := v.byOwner[a.ID]
	if owned {
		v.reservations[i].first = now
	}
	e := v.endpointOf(a.Endpoint)
	if e == nil || !v.meet(e, a.Incarnation, now) {
		return
	}
	if a.Load != nil {
		v.takeLoad(e, *a.Load)
	}
	if owned && (a.Load == nil || v.reservations[i].sole) {
		v.cover(&v.endpoints[v.reservations[i].endpoint], i)
	}
	v.learn(now, e, a)
}

// ObserveWait takes how long a request waited at the endpoint before its prompt was
// read. With answered false it is still waiting, and has for at least so long.
//
// A full endpoint answers late, so what it says of its load is old when it
// comes, and callers who give up get no answer at all. The requests that have
// been waiting for long tell at once.
func (v *View) ObserveWait(now time.Time, id fleet.EndpointID, p contract.Priority, wait time.Duration, answered bool) {
	e := v.endpointOf(id)
	if e == nil {
		return
	}
	if answered || wait > v.observed(now, e, p) {
		e.own()
		e.waits[p] = observedWait{wait: max(wait, 0), at: now}
	}
}

// observed is what is left of the last observed wait for a priority. What the
// less urgent wait says nothing of the more urgent, who go first.
func (v *View) observed(now time.Time, e *endpoint, p contract.Priority) time.Duration {
	longest := time.Duration(0)
	for urgent := range p + 1 {
		if w := e.waits[urgent]; w.wait > 0 && v.o.QueueHalfLife > 0 {
			left := float64(w.wait) * math.Exp2(-now.Sub(w.at).Seconds()/v.o.QueueHalfLife.Seconds())
			longest = max(longest, time.Duration(left))
		}
	}
	return longest
}

// StalePreferred returns the endpoints of the pool that a prompt would go to first and
// whose load was last told before the given time, at most n of the first n
// homes. It is for a shell that asks them before it places a long prompt.
func (v *View) StalePreferred(r Request, before time.Time, n int) []fleet.EndpointID {
	p := v.pools[r.Pool]
	at := prefix.AffinityLevel(r.Levels)
	if p == nil || at < 0 {
		return nil
	}
	home := v.prefixes.touch(r.Levels[at].Key)
	v.setHomes(home, p)
	var out []fleet.EndpointID
	for _, ep := range home.homes[:min(home.homeCount, int32(n))] {
		if e := &v.endpoints[ep]; e.gated() == Available && e.loadAt.Before(before) {
			out = append(out, e.id)
		}
	}
	return out
}

// learn notes that the endpoint now holds the prompt, and how long entries
// last there.
func (v *View) learn(now time.Time, e *endpoint, a Answer) {
	ep := v.byID[a.Endpoint]
	h := holder{endpoint: ep, life: e.life, gaps: e.gaps, seen: now}
	for i := range shared(a.Levels) {
		l := &a.Levels[i]
		t := v.prefixes.touch(l.Key)
		v.learnLife(now, e, t, ep, l.Tokens <= a.CachedTokens)
		t.hold(h)
		t.stored = now
	}
}

// shared is the number of leading levels worth remembering. The last one is
// the question, which only this request has.
func shared(levels []prefix.Level) int { return max(len(levels)-1, min(len(levels), 1)) }

// lifeGain is the weight of one observation of how long cache entries last.
const lifeGain = 0.1

// learnLife compares a belief with what the answer said of it.
func (v *View) learnLife(now time.Time, e *endpoint, t *entry, ep int32, hit bool) {
	for _, h := range t.holders {
		if h.endpoint != ep || h.life != e.life {
			continue
		}
		age := now.Sub(h.seen)
		if hit == (age > e.idleLife) {
			e.idleLife += time.Duration(lifeGain * float64(age-e.idleLife))
		}
		e.idleLife = max(e.idleLife, minCacheLife)
		return
	}
}

const minCacheLife = 200 * time.Millisecond

// Finished ends a request whose whole answer has come.
func (v *View) Finished(now time.Time, id uint64) {
	i, ok := v.byOwner[id]
	if !ok {
		return
	}
	if first := v.reservations[i].first; !first.IsZero() {
		v.service += lifeGain * (now.Sub(first).Seconds() - v.service)
	}
	v.release(i)
}

// Failed ends an attempt without a whole answer.
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

// EventsLost notes that an endpoint's events cannot be followed for now, so
// that what they said counts by its age, as after a hole in the sequence.
//
// Nothing else shows it: with no event there is no hole to see, and a daemon
// whose stream broke would go on counting on prefixes evicted since.
func (v *View) EventsLost(id fleet.EndpointID) {
	e := v.endpointOf(id)
	if e == nil || !e.follows {
		return
	}
	e.follows, e.nextSeq = false, 0
	e.gaps++
}

// CacheEvents takes events of one endpoint. A hole in the sequence makes all
// that events said of that endpoint uncertain, not absent and not present: it
// then counts as what an answer said, by its age.
func (v *View) CacheEvents(b EventBatch) {
	e := v.endpointOf(b.Endpoint)
	if e == nil || !v.meet(e, b.Incarnation, b.At) {
		return
	}
	if e.follows && b.Seq < e.nextSeq {
		return
	}
	if !e.follows || b.Seq > e.nextSeq+smallGap {
		e.since = b.At
	}
	if !e.follows || b.Seq != e.nextSeq {
		e.gaps++
	}
	e.follows = true
	e.nextSeq = b.Seq + uint64(len(b.Events))
	for _, ev := range b.Events {
		v.event(e, v.byID[b.Endpoint], b.At, ev)
	}
}

// smallGap is the number of lost events up to which a prefix that nothing is
// known of is still taken to be absent: few can have been stored in the gap.
const smallGap = 256

func (v *View) event(e *endpoint, ep int32, at time.Time, ev Event) {
	switch ev.Kind {
	case EventCleared:
		seq := e.nextSeq
		v.forgetCache(e, at)
		e.follows, e.nextSeq = true, seq
	case EventStored:
		t := v.prefixes.touch(ev.Key)
		t.hold(holder{endpoint: ep, life: e.life, gaps: e.gaps, event: true, seen: at})
		if t.stored.Before(at) {
			t.stored = at
		}
	case EventRemoved:
		if t := v.prefixes.find(ev.Key); t != nil {
			t.drop(ep, at)
		}
	}
}

// eventTrust is how sure a cache event that no removal and no gap followed is.
// The removal may be on its way.
const eventTrust = 0.97

// belief is the probability that the holder still has the prefix.
func (v *View) belief(now time.Time, h *holder) float64 {
	e := &v.endpoints[h.endpoint]
	if h.life != e.life {
		return 0
	}
	if e.follows && h.gaps == e.gaps && !h.coming {
		return eventTrust
	}
	return math.Exp2(-now.Sub(h.seen).Seconds() / e.idleLife.Seconds())
}
