package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// maxRetired is the number of earlier incarnations remembered for an endpoint, so that a
// late message of a crashed engine is not taken for a new incarnation.
const maxRetired = 4

// lateMessageWindow is how late a message of an ended incarnation may arrive.
const lateMessageWindow = 5 * time.Second

// none marks the end of a list or an unused index.
const none = int32(-1)

// endpoint is the View's state of one endpoint.
type endpoint struct {
	id       fleet.EndpointID
	zone     fleet.ZoneID
	hash     uint64
	pools    int // number of pools it is a member of; 0: the slot is free
	assigned Availability
	listed   Availability // by the platform's list
	draining bool         // by its own load report

	incarnation fleet.Incarnation
	lastMessage time.Time // time of the newest message's content
	// generation changes whenever the recorded contents of the cache become invalid: a new
	// incarnation, a failure, a cleared cache, another endpoint in the slot. Holders carry
	// the generation they were recorded in.
	generation       uint32
	cacheLostAt      time.Time // when the generation last changed
	connectionLostAt time.Time // when a lost connection was last recorded

	*reported
	prefillRate  float64 // prefill tokens/s
	slotTime     float64 // seconds that a request occupies a slot; 0: View.serviceTime
	idleHalfLife time.Duration

	nextSeq          uint64    // of the cache events; 0: none seen
	eventGaps        uint32    // incremented when events are lost
	followsEvents    bool      // events of the present incarnation have been received
	followedSince    time.Time // events received without a large gap since then
	firstReservation int32     // oldest reservation that no load report covers
	lastReservation  int32
	pending          [contract.PriorityCount]int // prompt tokens of those reservations
	pendingCount     int                         // their number
	underWay         int                         // reservations, of requests that have not ended
}

// reported is the state of an endpoint that exists only after a report or a request. All
// other endpoints share noReport to save memory, since a daemon of a large fleet sends
// requests to few of them: call ownReport before each change.
type reported struct {
	load    fleet.Load
	loadAt  time.Time
	retired [maxRetired]fleet.Incarnation
	waits   [contract.PriorityCount]observedWait
	// rejections counts the rejections for want of room since the last answer. Until
	// fullUntil other endpoints are preferred.
	rejections int
	fullUntil  time.Time
}

var noReport = &reported{}

// ownReport replaces the shared noReport by an instance of the endpoint's own.
func (e *endpoint) ownReport() {
	if e.reported == noReport {
		e.reported = &reported{}
	}
}

// observedWait is the last wait observed at an endpoint.
type observedWait struct {
	wait       time.Duration
	observedAt time.Time
	answered   bool // the wait is over
}

// sentAt returns when the request that waited was sent.
func (w *observedWait) sentAt() time.Time { return w.observedAt.Add(-w.wait) }

// pool is the set of endpoints that can serve one kind of request.
type pool struct {
	members []int32 // in order
	epoch   uint32  // changes with the members
}

func (v *View) endpointOf(id fleet.EndpointID) *endpoint {
	i, ok := v.byID[id]
	if !ok {
		return nil
	}
	return &v.endpoints[i]
}

// SetPool sets the members of a pool: the endpoints that can serve one kind of request, for
// example those that have one model loaded. The state of endpoints that stay is kept.
// Endpoints beyond MaxEndpoints are ignored.
func (v *View) SetPool(name string, members []fleet.Endpoint) {
	p := v.pools[name]
	if p == nil {
		p = &pool{}
		v.pools[name] = p
	}
	old := p.members
	p.members = make([]int32, 0, len(members))
	for _, m := range members {
		if i := v.join(m); i != none {
			p.members = append(p.members, i)
		}
	}
	slices.Sort(p.members)
	for i := len(p.members) - 1; i > 0; i-- {
		if p.members[i] == p.members[i-1] {
			v.leave(p.members[i])
			p.members = slices.Delete(p.members, i, i+1)
		}
	}
	for _, i := range old {
		v.leave(i)
	}
	v.lastEpoch++
	p.epoch = v.lastEpoch
	v.scratch.grow(len(v.endpoints))
}

// Join adds an endpoint to a pool, at a cost that hardly grows with the pool. The state of
// an endpoint that is in another pool is kept.
func (v *View) Join(name string, m fleet.Endpoint) {
	p := v.pools[name]
	if p == nil {
		p = &pool{}
		v.pools[name] = p
	}
	i := v.join(m)
	if i == none {
		return
	}
	at, member := slices.BinarySearch(p.members, i)
	if member {
		v.leave(i) // join counted it twice
		return
	}
	p.members = slices.Insert(p.members, at, i)
	v.lastEpoch++
	p.epoch = v.lastEpoch
	v.scratch.grow(len(v.endpoints))
}

// Leave removes an endpoint from a pool. A pool without endpoints is deleted, and so is the
// state of an endpoint without pools.
func (v *View) Leave(name string, id fleet.EndpointID) {
	p, i, known := v.pools[name], int32(0), false
	if p != nil {
		i, known = v.byID[id]
	}
	if !known {
		return
	}
	at, member := slices.BinarySearch(p.members, i)
	if !member {
		return
	}
	p.members = slices.Delete(p.members, at, at+1)
	v.lastEpoch++
	p.epoch = v.lastEpoch
	v.leave(i)
	if len(p.members) == 0 {
		delete(v.pools, name)
	}
}

func (v *View) join(m fleet.Endpoint) int32 {
	i, ok := v.byID[m.ID]
	if !ok {
		if i = v.freeSlot(); i == none {
			return none
		}
		v.byID[m.ID] = i
		v.lastGeneration++
		v.endpoints[i] = endpoint{
			id: m.ID, hash: xxhash.Sum64String(string(m.ID)), generation: v.lastGeneration,
			prefillRate: v.o.PrefillRate, idleHalfLife: v.o.CacheHalfLife, firstReservation: none, lastReservation: none, reported: noReport,
		}
	}
	e := &v.endpoints[i]
	e.pools++
	e.zone = m.Zone
	e.listed = Available
	if m.State == fleet.VMLeaving {
		e.listed = Draining
	}
	return i
}

func (v *View) freeSlot() int32 {
	if n := len(v.freeEndpoints); n > 0 {
		i := v.freeEndpoints[n-1]
		v.freeEndpoints = v.freeEndpoints[:n-1]
		return i
	}
	if len(v.endpoints) >= MaxEndpoints {
		return none
	}
	v.endpoints = append(v.endpoints, endpoint{})
	return int32(len(v.endpoints) - 1)
}

func (v *View) leave(i int32) {
	e := &v.endpoints[i]
	e.pools--
	if e.pools > 0 {
		return
	}
	v.dropReservationsOf(i)
	delete(v.byID, e.id)
	v.lastGeneration++
	*e = endpoint{generation: v.lastGeneration, reported: noReport}
	v.freeEndpoints = append(v.freeEndpoints, i)
}

// SetAvailability sets whether an endpoint may receive requests. It does not change the
// rendezvous order, so that an ejected endpoint gets its own prefixes back when it returns
// and no others move.
func (v *View) SetAvailability(id fleet.EndpointID, a Availability) {
	if e := v.endpointOf(id); e != nil {
		e.assigned = a
	}
}

func (e *endpoint) availability() Availability {
	if e.draining {
		return Draining
	}
	return max(e.assigned, e.listed)
}

// accept records the incarnation that a message came from and the time of its content. It
// returns false for a message of an ended incarnation, or from before the endpoint's cache
// was lost.
//
// An engine that crashed restarts with an empty cache under the same address. Requests sent
// there for the lost cache would all be recomputed in one queue. So a new incarnation
// invalidates everything recorded before. Earlier incarnations are remembered for a while,
// since a late message of the crashed engine would otherwise be taken for a new incarnation.
func (v *View) accept(e *endpoint, in fleet.Incarnation, at time.Time) bool {
	if in == 0 || in == e.incarnation {
		if at.Before(e.cacheLostAt) {
			return false
		}
		e.lastMessage = later(e.lastMessage, at)
		return true
	}
	if slices.Contains(e.retired[:], in) {
		return false
	}
	if e.incarnation != 0 {
		e.ownReport()
		copy(e.retired[1:], e.retired[:])
		e.retired[0] = e.incarnation
		v.forgetCache(e, at)
		e.load, e.loadAt = fleet.Load{}, time.Time{}
	}
	e.incarnation = in
	e.lastMessage = at
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// forgetCache starts a new generation, which invalidates the recorded holders of the
// endpoint.
func (v *View) forgetCache(e *endpoint, at time.Time) {
	v.lastGeneration++
	e.cacheLostAt = at
	e.generation = v.lastGeneration
	e.followsEvents, e.nextSeq = false, 0
}

// unretire accepts a retired incarnation again.
//
// A daemon that never received a message of an incarnation may take a late one of it for a
// new incarnation, and the running one for retired. It would then ignore all messages of
// the endpoint. So a retired incarnation that still reports its load when the recorded one
// has been silent for lateMessageWindow becomes acceptable again.
func (e *endpoint) unretire(l *fleet.Load) {
	i := slices.Index(e.retired[:], l.Incarnation)
	if i >= 0 && l.At.After(e.lastMessage.Add(lateMessageWindow)) {
		e.ownReport()
		e.retired[i] = 0
	}
}

// LoadReported applies a load report that did not arrive with an answer.
func (v *View) LoadReported(id fleet.EndpointID, l fleet.Load) {
	e := v.endpointOf(id)
	if e == nil {
		return
	}
	e.unretire(&l)
	if !v.accept(e, l.Incarnation, l.At) {
		return
	}
	v.applyLoad(e, l)
}

// SetSlotTime sets how long a request occupies a slot of the endpoint; 0: as long as answers
// take from the first token to the last, at all endpoints together. Plain endpoints send their
// answers at once, so that the latter would make requests that wait count for nothing.
func (v *View) SetSlotTime(id fleet.EndpointID, d time.Duration) {
	if e := v.endpointOf(id); e != nil {
		e.slotTime = d.Seconds()
	}
}

// Rejected records that the endpoint rejected a request for want of room. It is then avoided
// for a moment, and longer after each further rejection.
func (v *View) Rejected(now time.Time, id fleet.EndpointID) {
	e := v.endpointOf(id)
	if e == nil {
		return
	}
	e.ownReport()
	e.fullUntil = now.Add(min(minFullPause<<min(e.rejections, maxFullDoublings), maxFullPause))
	e.rejections++
}

// applyLoad replaces an older report and covers the reservations that the new one already
// counts.
func (v *View) applyLoad(e *endpoint, l fleet.Load) {
	if l.At.Before(e.loadAt) {
		return
	}
	e.ownReport()
	e.load, e.loadAt = l, l.At
	e.draining = l.Draining
	for i := e.firstReservation; i != none; {
		r := &v.reservations[i]
		if r.placedAt.Add(v.delayTo(e)).After(l.At) {
			return
		}
		next := r.next
		if !r.exclusive {
			v.cover(e, i)
		}
		i = next
	}
}

// delayTo returns the one-way network delay between the daemon and the endpoint.
func (v *View) delayTo(e *endpoint) time.Duration {
	if e.zone == v.o.Zone {
		return 0
	}
	return v.o.ZoneDelay
}
