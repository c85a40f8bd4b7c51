package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// retiredLives is how many earlier incarnations of an endpoint are told from a
// new one, so that a late message of a dead engine does not bring it back.
const retiredLives = 4

// lateMessages is how late a message of a life that is over may come.
const lateMessages = 5 * time.Second

// none marks the end of a list or an unused index.
const none = int32(-1)

// endpoint is the View's record of one endpoint.
type endpoint struct {
	id     fleet.EndpointID
	zone   fleet.ZoneID
	hash   uint64
	pools  int // pools it is a member of; 0: the slot is free
	gate   Availability
	listed Availability // from the platform's list
	drains bool         // from its own load report

	incarnation fleet.Incarnation
	heard       time.Time // when the newest message of it was true
	// life changes whenever what was learnt of the cache stops being true: a
	// new incarnation, a failure, a cleared cache, another endpoint in the
	// slot. Holders carry the life they were learnt in.
	life    uint32
	emptied time.Time // when that happened last
	lost    time.Time // when a connection to it was last lost

	*told
	rate     float64 // prefill tokens/s
	idleLife time.Duration

	nextSeq  uint64    // of the cache events; 0: none seen
	gaps     uint32    // changes when events were lost
	follows  bool      // events of the present life have been seen
	since    time.Time // with no large gap
	firstRes int32     // oldest reservation that no load report covers
	lastRes  int32
	pending  [contract.PriorityCount]int // prompt tokens of those reservations
	queued   int                         // their number
}

// told is what an endpoint said or showed of itself. Those that never did share one,
// as a daemon of a large fleet deals with few endpoints: own comes before each change.
type told struct {
	load    fleet.Load
	loadAt  time.Time
	retired [retiredLives]fleet.Incarnation
	waits   [contract.PriorityCount]observedWait
}

var nothingTold = &told{}

func (e *endpoint) own() {
	if e.told == nothingTold {
		e.told = &told{}
	}
}

// observedWait is how long requests were last seen to wait at an endpoint.
type observedWait struct {
	wait time.Duration
	at   time.Time
}

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

// SetPool sets the endpoints that can serve a kind of request, for example
// those that have one model loaded. What was learnt of endpoints that stay is
// kept. Endpoints over MaxEndpoints are left out.
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
	v.epochs++
	p.epoch = v.epochs
	v.scratch.grow(len(v.endpoints))
}

// Join adds an endpoint to a pool, at a cost that hardly grows with the pool. What was
// learnt of an endpoint of another pool is kept.
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
		v.leave(i) // it was counted twice
		return
	}
	p.members = slices.Insert(p.members, at, i)
	v.epochs++
	p.epoch = v.epochs
	v.scratch.grow(len(v.endpoints))
}

// Leave takes an endpoint out of a pool. A pool without endpoints is forgotten, and so
// is an endpoint without pools.
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
	v.epochs++
	p.epoch = v.epochs
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
		v.lives++
		v.endpoints[i] = endpoint{
			id: m.ID, hash: xxhash.Sum64String(string(m.ID)), life: v.lives,
			rate: v.o.PrefillRate, idleLife: v.o.CacheHalfLife, firstRes: none, lastRes: none, told: nothingTold,
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
	v.lives++
	*e = endpoint{life: v.lives, told: nothingTold}
	v.freeEndpoints = append(v.freeEndpoints, i)
}

// SetAvailability tells whether an endpoint may be given work. It does not change the
// rendezvous order, so an ejected endpoint gets its own prefixes back when it
// returns and no others move.
func (v *View) SetAvailability(id fleet.EndpointID, g Availability) {
	if e := v.endpointOf(id); e != nil {
		e.gate = g
	}
}

func (e *endpoint) gated() Availability {
	if e.drains {
		return Draining
	}
	return max(e.gate, e.listed)
}

// meet notes the incarnation that a message came from, and when what it says
// was true. It returns false for a message of a life that is over, or from
// before the endpoint's cache was lost.
//
// An engine that crashed comes back empty under the same address. Requests
// would be sent there for a cache that is gone, and recompute it all in one
// queue. A new incarnation therefore ends everything learnt before. The ones
// before it are remembered for a while, since a late message of the dead
// engine would otherwise look like the next life.
func (v *View) meet(e *endpoint, in fleet.Incarnation, at time.Time) bool {
	if in == 0 || in == e.incarnation {
		if at.Before(e.emptied) {
			return false
		}
		e.heard = later(e.heard, at)
		return true
	}
	if slices.Contains(e.retired[:], in) {
		return false
	}
	if e.incarnation != 0 {
		e.own()
		copy(e.retired[1:], e.retired[:])
		e.retired[0] = e.incarnation
		v.forgetCache(e, at)
		e.load, e.loadAt = fleet.Load{}, time.Time{}
	}
	e.incarnation = in
	e.heard = at
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// forgetCache ends the life that holders of the endpoint were learnt in.
func (v *View) forgetCache(e *endpoint, at time.Time) {
	v.lives++
	e.emptied = at
	e.life = v.lives
	e.follows, e.nextSeq = false, 0
}

// revive takes back that a life is over.
//
// A daemon that never heard of a life may take its late message for the next
// one, and the living one for retired. It would then ignore all that the
// endpoint says. So a retired life that still reports its load when the present
// one has long been silent is the present one.
func (e *endpoint) revive(l *fleet.Load) {
	i := slices.Index(e.retired[:], l.Incarnation)
	if i >= 0 && l.At.After(e.heard.Add(lateMessages)) {
		e.own()
		e.retired[i] = 0
	}
}

// LoadReported takes a report that did not come with an answer.
func (v *View) LoadReported(id fleet.EndpointID, l fleet.Load) {
	e := v.endpointOf(id)
	if e == nil {
		return
	}
	e.revive(&l)
	if !v.meet(e, l.Incarnation, l.At) {
		return
	}
	v.takeLoad(e, l)
}

// takeLoad replaces the older report and lets go of the reservations that the
// new one counts already.
func (v *View) takeLoad(e *endpoint, l fleet.Load) {
	if l.At.Before(e.loadAt) {
		return
	}
	e.own()
	e.load, e.loadAt = l, l.At
	e.drains = l.Draining
	for i := e.firstRes; i != none; {
		r := &v.reservations[i]
		if r.placed.Add(v.delayTo(e)).After(l.At) {
			return
		}
		next := r.next
		if !r.sole {
			v.cover(e, i)
		}
		i = next
	}
}

// delayTo is the one-way delay between the daemon and the endpoint.
func (v *View) delayTo(e *endpoint) time.Duration {
	if e.zone == v.o.Zone {
		return 0
	}
	return v.o.ZoneDelay
}
