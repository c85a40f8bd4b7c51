package placement

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// reservation is the work that the daemon has sent to an endpoint and that no
// load report shows yet.
//
// Reports lag. Without reservations a daemon would send everything to the
// endpoint that looked idle in the last report until the next one comes. A
// reservation that nobody takes back would make an idle endpoint look busy for
// ever, so each has an owner, the request, and an expiry, and ends with the
// first of: a report taken after it, the answer, the failure, the expiry.
type reservation struct {
	owner    uint64
	endpoint int32
	tokens   int
	priority contract.Priority
	placed   time.Time
	first    time.Time // of the answer's first token
	expires  time.Time
	covered  bool // by a load report or the answer
	sole     bool // only its own answer shows that it was read, see Request.Sole
	prev     int32
	next     int32 // in the endpoint's list, or of free slots
}

// agesPerReservation bounds the queue of expiries, which also holds those of
// requests that have finished since.
const agesPerReservation = 4

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
		owner: owner, endpoint: ep, tokens: tokens, priority: r.Priority, placed: now,
		expires: now.Add(v.o.ReservationTTL), prev: none, next: none, sole: r.Exclusive,
	}
	v.byOwner[owner] = i
	if v.ages.size >= agesPerReservation*v.o.MaxReservations {
		a, _ := v.ages.pop()
		v.releaseAged(a)
	}
	v.ages.push(aged{owner: owner, expires: v.reservations[i].expires})
	e := &v.endpoints[ep]
	v.reservations[i].prev = e.lastRes
	if e.lastRes == none {
		e.firstRes = i
	} else {
		v.reservations[e.lastRes].next = i
	}
	e.lastRes = i
	e.pending[r.Priority] += tokens
	e.queued++
}

// PendingPrompts returns how many prompts this daemon sent to the endpoint that are not
// known to have been read.
func (v *View) PendingPrompts(id fleet.EndpointID) int {
	n := 0
	if at, ok := v.byID[id]; ok {
		for i := v.endpoints[at].firstRes; i != none; i = v.reservations[i].next {
			n++
		}
	}
	return n
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

// cover takes the reservation out of its endpoint's sum. Its owner is still
// remembered until it finishes.
func (v *View) cover(e *endpoint, i int32) {
	r := &v.reservations[i]
	if r.covered {
		return
	}
	r.covered = true
	if r.prev == none {
		e.firstRes = r.next
	} else {
		v.reservations[r.prev].next = r.next
	}
	if r.next == none {
		e.lastRes = r.prev
	} else {
		v.reservations[r.next].prev = r.prev
	}
	e.pending[r.priority] -= r.tokens
	e.queued--
}

func (v *View) release(i int32) {
	r := &v.reservations[i]
	v.cover(&v.endpoints[r.endpoint], i)
	delete(v.byOwner, r.owner)
	*r = reservation{}
	v.freeReservations = append(v.freeReservations, i)
}

func (v *View) releaseOldest() {
	for {
		a, ok := v.ages.pop()
		if !ok {
			return
		}
		if v.releaseAged(a) {
			return
		}
	}
}

// releaseAged ends the reservation that the record stands for, unless it has
// ended or its owner has placed again since.
func (v *View) releaseAged(a aged) bool {
	i, ok := v.byOwner[a.owner]
	if !ok || !v.reservations[i].expires.Equal(a.expires) {
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

// Expire drops reservations whose owner never reported back. Call it about
// once a second; it costs only what it drops.
func (v *View) Expire(now time.Time) {
	for {
		a, ok := v.ages.peek()
		if !ok || a.expires.After(now) {
			return
		}
		v.ages.pop()
		v.releaseAged(a)
	}
}

// aged is the expiry of one reservation. All live equally long, so the queue
// of them is in order.
type aged struct {
	owner   uint64
	expires time.Time
}

// ageQueue is a ring of expiries that keeps its memory.
type ageQueue struct {
	ring []aged
	head int
	size int
}

func (q *ageQueue) push(a aged) {
	if q.size == len(q.ring) {
		grown := make([]aged, max(64, 2*len(q.ring)))
		for i := range q.size {
			grown[i] = q.ring[(q.head+i)%len(q.ring)]
		}
		q.ring, q.head = grown, 0
	}
	q.ring[(q.head+q.size)%len(q.ring)] = a
	q.size++
}

func (q *ageQueue) peek() (aged, bool) {
	if q.size == 0 {
		return aged{}, false
	}
	return q.ring[q.head], true
}

func (q *ageQueue) pop() (aged, bool) {
	a, ok := q.peek()
	if ok {
		q.head = (q.head + 1) % len(q.ring)
		q.size--
	}
	return a, ok
}
