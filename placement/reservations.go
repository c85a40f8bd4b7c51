package placement

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// reservation is work that was sent to an endpoint and is not in a load report yet.
//
// Load reports lag behind. Without reservations a daemon would send everything to the
// endpoint that was idle in the last report until the next one arrives. A reservation that
// is never released would make an idle endpoint look busy for ever. So each has an owner,
// the request, and an expiry, and ends with the first of: a later load report, the answer,
// the failure, the expiry.
type reservation struct {
	owner        uint64
	endpoint     int32
	tokens       int
	priority     contract.Priority
	placedAt     time.Time
	firstTokenAt time.Time // arrival of the answer's first token
	expiresAt    time.Time
	covered      bool // by a load report or the answer
	exclusive    bool // ended only by its own answer, see Request.Exclusive
	prev         int32
	next         int32 // in the endpoint's list
}

// expiriesPerReservation bounds the expiry queue, which also holds entries of requests that
// have finished since.
const expiriesPerReservation = 4

func (v *View) reserve(now time.Time, r *Request, ep int32, tokens int) {
	owner := r.ID
	if old, ok := v.byOwner[owner]; ok {
		v.release(old)
	}
	if len(v.byOwner) >= v.o.MaxReservations {
		v.releaseOldest()
	}
	i := v.freeReservation()
	v.reservations[i] = reservation{
		owner: owner, endpoint: ep, tokens: tokens, priority: r.Priority, placedAt: now,
		expiresAt: now.Add(v.o.ReservationTTL), prev: none, next: none, exclusive: r.Exclusive,
	}
	v.byOwner[owner] = i
	if v.expiries.size >= expiriesPerReservation*v.o.MaxReservations {
		a, _ := v.expiries.pop()
		v.releaseExpired(a)
	}
	v.expiries.push(expiry{owner: owner, at: v.reservations[i].expiresAt})
	e := &v.endpoints[ep]
	v.reservations[i].prev = e.lastReservation
	if e.lastReservation == none {
		e.firstReservation = i
	} else {
		v.reservations[e.lastReservation].next = i
	}
	e.lastReservation = i
	e.pending[r.Priority] += tokens
	e.pendingCount++
	e.underWay++
}

// PendingPrompts returns the number of prompts that this daemon sent to the endpoint and
// that are not known to be prefilled.
func (v *View) PendingPrompts(id fleet.EndpointID) int {
	n := 0
	if at, ok := v.byID[id]; ok {
		for i := v.endpoints[at].firstReservation; i != none; i = v.reservations[i].next {
			n++
		}
	}
	return n
}

// Idle reports whether the endpoint has no requests in progress: according to its last load
// report, if this daemon sent it nothing since, or by this daemon's own count if it has
// reported no load.
func (v *View) Idle(id fleet.EndpointID) bool {
	e := v.endpointOf(id)
	switch {
	case e == nil:
		return false
	case e.loadAt.IsZero():
		return e.underWay == 0
	}
	return e.load.Running+e.load.Waiting == 0 && e.firstReservation == none
}

func (v *View) freeReservation() int32 {
	if n := len(v.freeReservations); n > 0 {
		i := v.freeReservations[n-1]
		v.freeReservations = v.freeReservations[:n-1]
		return i
	}
	v.reservations = append(v.reservations, reservation{})
	return int32(len(v.reservations) - 1)
}

// cover removes the reservation from its endpoint's sums. Its owner stays registered until
// the request ends.
func (v *View) cover(e *endpoint, i int32) {
	r := &v.reservations[i]
	if r.covered {
		return
	}
	r.covered = true
	if r.prev == none {
		e.firstReservation = r.next
	} else {
		v.reservations[r.prev].next = r.next
	}
	if r.next == none {
		e.lastReservation = r.prev
	} else {
		v.reservations[r.next].prev = r.prev
	}
	e.pending[r.priority] -= r.tokens
	e.pendingCount--
}

func (v *View) release(i int32) {
	r := &v.reservations[i]
	e := &v.endpoints[r.endpoint]
	v.cover(e, i)
	e.underWay--
	delete(v.byOwner, r.owner)
	*r = reservation{}
	v.freeReservations = append(v.freeReservations, i)
}

func (v *View) releaseOldest() {
	for {
		a, ok := v.expiries.pop()
		if !ok {
			return
		}
		if v.releaseExpired(a) {
			return
		}
	}
}

// releaseExpired releases the reservation that the queue entry belongs to, and reports
// whether it did. It does nothing if the reservation has ended or its owner has placed
// again since.
func (v *View) releaseExpired(a expiry) bool {
	i, ok := v.byOwner[a.owner]
	if !ok || !v.reservations[i].expiresAt.Equal(a.at) {
		return false
	}
	v.release(i)
	return true
}

func (v *View) dropReservationsOf(ep int32) {
	for owner, i := range v.byOwner {
		if v.reservations[i].endpoint == ep {
			v.release(v.byOwner[owner])
		}
	}
}

// Expire releases reservations whose owners never reported a result. Call it about once a
// second; its cost is proportional to the number released.
func (v *View) Expire(now time.Time) {
	for {
		a, ok := v.expiries.peek()
		if !ok || a.at.After(now) {
			return
		}
		v.expiries.pop()
		v.releaseExpired(a)
	}
}

// expiry is the expiry of one reservation. All reservations have the same lifetime, so the
// queue is in order of expiry.
type expiry struct {
	owner uint64
	at    time.Time
}

// expiryQueue is a ring buffer that grows and keeps its memory.
type expiryQueue struct {
	ring []expiry
	head int
	size int
}

func (q *expiryQueue) push(a expiry) {
	if q.size == len(q.ring) {
		grown := make([]expiry, max(64, 2*len(q.ring)))
		for i := range q.size {
			grown[i] = q.ring[(q.head+i)%len(q.ring)]
		}
		q.ring, q.head = grown, 0
	}
	q.ring[(q.head+q.size)%len(q.ring)] = a
	q.size++
}

func (q *expiryQueue) peek() (expiry, bool) {
	if q.size == 0 {
		return expiry{}, false
	}
	return q.ring[q.head], true
}

func (q *expiryQueue) pop() (expiry, bool) {
	a, ok := q.peek()
	if ok {
		q.head = (q.head + 1) % len(q.ring)
		q.size--
	}
	return a, ok
}
