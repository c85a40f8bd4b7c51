// Package headroom limits the requests that a daemon has under way at endpoints that report
// that rejections for want of room crash them.
//
// All daemons together must not send such an endpoint more than it has room for, and the
// room may shrink at any time. Each daemon adjusts its own limit by the occupancy that the
// endpoint reports with its answers: it shrinks in proportion when requests wait for slots,
// and grows by a small amount while slots are free. So daemons converge to equal limits that
// together take about all slots, without messages between them. Below one request the limit
// is a fraction of the time.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package headroom

import (
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

const (
	// shrinkFactor applies when requests wait for slots, rejectionFactor after a rejection.
	shrinkFactor    = 0.87
	rejectionFactor = 0.5
	// growthFraction is the fraction of the slots by which the limits of all daemons
	// together grow while each of them has one round of requests answered.
	growthFraction = 0.25
	// shrinkInterval is the minimum time between two reductions. Answers that arrive
	// together tell of the same moment.
	shrinkInterval = 50 * time.Millisecond
	// minLimit keeps the daemon informed of the occupancy.
	minLimit = 0.05
	// maxPause bounds the time without requests to an endpoint.
	maxPause = 2 * time.Second
	// brittleTTL is how long an endpoint without an answer of its own is taken for brittle
	// after one of its service reported it.
	brittleTTL = 10 * time.Second
	// defaultSlots is assumed for an endpoint that reports none.
	defaultSlots = 1
)

// Target identifies an endpoint.
type Target struct {
	ID      fleet.EndpointID
	Service string
	Slots   int // as listed; 0: unknown
}

// window is the state of one endpoint.
type window struct {
	inFlight int
	brittle  bool
	answered bool // the endpoint answered, so that brittle is its own report
	slots    int
	limit    float64 // requests under way

	reached  bool          // the limit has kept a request away since it last grew
	shrunkAt time.Duration // last reduction
	freeAt   time.Duration // before it, no request may be sent
	sentAt   time.Duration // last request

	answeredAt, rejectedAt time.Duration // last answer and last rejection; 0: none
}

// Table holds the limits of one daemon. Times are those of one monotonic clock.
type Table struct {
	rng     *rand.Rand
	daemons int
	windows map[fleet.EndpointID]*window
	brittle map[string]brittleService
}

// brittleService is a service of which an endpoint reported that it is brittle.
type brittleService struct {
	reportedAt time.Duration
	slots      int
}

// New returns a Table without limits, for the only daemon.
func New(rng *rand.Rand) *Table {
	return &Table{rng: rng, daemons: 1, windows: map[fleet.EndpointID]*window{}, brittle: map[string]brittleService{}}
}

// SetDaemons sets the number of daemons that send requests.
func (t *Table) SetDaemons(n int) { t.daemons = max(1, n) }

func (t *Table) window(now time.Duration, to Target) *window {
	w := t.windows[to.ID]
	if w == nil {
		w = &window{slots: to.Slots}
		t.windows[to.ID] = w
	}
	if service, some := t.brittle[to.Service]; some && !w.answered && !w.brittle && now-service.reportedAt < brittleTTL {
		if w.slots == 0 {
			w.slots = service.slots
		}
		t.begin(w)
	}
	return w
}

// begin starts to limit an endpoint at the daemon's share of its slots, or at what it has
// under way there.
func (t *Table) begin(w *window) {
	w.brittle = true
	if w.slots <= 0 {
		w.slots = defaultSlots
	}
	w.limit = max(float64(w.slots)/float64(t.daemons), float64(w.inFlight), minLimit)
}

// full reports whether no further request may be sent now.
func (w *window) full(now time.Duration) bool {
	return w.brittle && (now < w.freeAt || w.inFlight > 0 && float64(w.inFlight+1) > w.limit)
}

// Acquire counts a request that is about to be sent. It returns false if the endpoint is at
// this daemon's limit.
func (t *Table) Acquire(now time.Duration, to Target) bool {
	w := t.window(now, to)
	if w.full(now) {
		w.reached = true
		return false
	}
	w.inFlight++
	w.sentAt = now
	return true
}

// Full returns the endpoints that are at this daemon's limit.
func (t *Table) Full(now time.Duration) []fleet.EndpointID {
	var out []fleet.EndpointID
	for id, w := range t.windows {
		if w.full(now) {
			w.reached = true
			out = append(out, id)
		}
	}
	return out
}

// Answer is what an answer shows of its endpoint.
type Answer struct {
	Rejected bool
	// Limit is the number of rejections/s that crash the endpoint; nil: it is not brittle.
	Limit *float64
	Load  *fleet.Load // nil: not reported
}

// Rejection is what the daemon knew of an endpoint that rejected a request for want of room.
type Rejection struct {
	Limited  bool    // the daemon limited its requests there
	InFlight int     // requests under way, with the rejected one
	Limit    float64 // on them
	// AnswerAge and RejectionAge are the times since the previous answer and the previous
	// rejection; negative: there was none.
	AnswerAge, RejectionAge time.Duration
}

// Observation is what an answer told of the limit of an endpoint.
type Observation struct {
	Began     bool       // the endpoint is limited from now on
	Rejection *Rejection // nil: it is not a rejection by a brittle endpoint
}

// Answered adjusts the limit of an endpoint by an answer.
func (t *Table) Answered(now time.Duration, to Target, a Answer) (out Observation) {
	if a.Limit == nil && t.windows[to.ID] == nil {
		return out
	}
	w := t.window(now, to)
	if a.Rejected && a.Limit != nil {
		out.Rejection = w.rejection(now)
		w.rejectedAt = now
	}
	w.answered, w.answeredAt = true, now
	if a.Load != nil && a.Load.Slots > 0 {
		w.slots = a.Load.Slots
	}
	if a.Limit == nil {
		w.brittle, w.freeAt = false, 0
		return out
	}
	t.brittle[to.Service] = brittleService{reportedAt: now, slots: w.slots}
	if !w.brittle {
		out.Began = true
		t.begin(w)
	}
	switch {
	case a.Rejected:
		t.shrink(now, w, rejectionFactor)
		w.freeAt = now + t.pause(*a.Limit)
	case a.Load != nil && a.Load.Running+a.Load.Waiting > w.slots:
		t.shrink(now, w, shrinkFactor)
	case w.reached && (a.Load != nil && a.Load.Running+a.Load.Waiting < w.slots || a.Load == nil && now-w.shrunkAt > t.pause(*a.Limit)):
		w.reached = false
		w.limit += growthFraction * float64(w.slots) / float64(t.daemons) / max(w.limit, 1)
	}
	return out
}

func (w *window) rejection(now time.Duration) *Rejection {
	return &Rejection{
		Limited: w.brittle, InFlight: w.inFlight, Limit: w.limit,
		AnswerAge: age(now, w.answeredAt), RejectionAge: age(now, w.rejectedAt),
	}
}

// age returns the time since at; negative if at is 0.
func age(now, at time.Duration) time.Duration {
	if at == 0 {
		return -1
	}
	return now - at
}

func (t *Table) shrink(now time.Duration, w *window, factor float64) {
	if now-w.shrunkAt < shrinkInterval {
		return
	}
	w.shrunkAt = now
	w.limit = max(minLimit, min(w.limit, float64(max(1, w.inFlight)))*factor)
}

// pause returns how long the daemon leaves an endpoint alone after a rejection, so that all
// daemons together cause half of the rejections that it survives.
func (t *Table) pause(perSecond float64) time.Duration {
	seconds := 2 * float64(t.daemons) / max(perSecond, 1) * (0.5 + t.rng.Float64())
	return min(time.Duration(seconds*float64(time.Second)), maxPause)
}

// Released records the end of a request for which Acquire returned true.
func (t *Table) Released(now time.Duration, id fleet.EndpointID) {
	w := t.windows[id]
	if w == nil || w.inFlight == 0 {
		return
	}
	w.inFlight--
	if !w.brittle {
		if w.inFlight == 0 && !w.answered {
			delete(t.windows, id)
		}
		return
	}
	if w.limit < 1 && w.inFlight == 0 {
		took := min(now-w.sentAt, maxPause)
		w.freeAt = max(w.freeAt, now+min(time.Duration(float64(took)*(1/w.limit-1)), maxPause))
	}
}

// Retain removes the endpoints that are neither known nor in use.
func (t *Table) Retain(now time.Duration, known func(fleet.EndpointID) bool) {
	for id, w := range t.windows {
		if w.inFlight == 0 && (!w.brittle || !known(id)) {
			delete(t.windows, id)
		}
	}
	for name, s := range t.brittle {
		if now-s.reportedAt >= brittleTTL {
			delete(t.brittle, name)
		}
	}
}
