package rollout

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Options holds the planner's times and shares. Zero fields take the defaults.
type Options struct {
	// MaxOrderTime is how long an order may be under way to an endpoint; after
	// it, an order without an answer has either taken effect or never will.
	MaxOrderTime time.Duration
	// StatusMaxAge is the age at which an endpoint's status is read again.
	StatusMaxAge time.Duration
	// UnreadGrace is how long a new holder waits for endpoints that it could
	// not read yet before it gives its first order.
	UnreadGrace time.Duration
	// FailedOrderDelay is how long an order that failed is not given again.
	FailedOrderDelay time.Duration
	// StoreBusyDelay is how long no load is begun after the weight store was busy,
	// when the endpoint named no time.
	StoreBusyDelay time.Duration
	// UnreachableTimeout is how long an endpoint that cannot be read any more counts as
	// loading.
	UnreachableTimeout time.Duration
	// LoadFailureDelay is how long no further endpoint is taken out of service for a
	// load after loads have failed and none has succeeded since.
	LoadFailureDelay time.Duration
	// MaxUnavailableFraction is the share of a model's endpoints that may serve nothing at
	// once, of which at least one endpoint.
	MaxUnavailableFraction float64
}

// The defaults of Options.
const (
	DefaultMaxOrderTime           = 5 * time.Second
	DefaultStatusMaxAge           = 5 * time.Second
	DefaultUnreadGrace            = 20 * time.Second
	DefaultFailedOrderDelay       = 30 * time.Second
	DefaultStoreBusyDelay         = 15 * time.Second
	DefaultUnreachableTimeout     = 15 * time.Minute
	DefaultLoadFailureDelay       = 10 * time.Minute
	DefaultMaxUnavailableFraction = 0.25
)

func (o Options) withDefaults() Options {
	setDuration(&o.MaxOrderTime, DefaultMaxOrderTime)
	setDuration(&o.StatusMaxAge, DefaultStatusMaxAge)
	setDuration(&o.StatusMaxAge, DefaultStatusMaxAge)
	setDuration(&o.UnreadGrace, DefaultUnreadGrace)
	setDuration(&o.FailedOrderDelay, DefaultFailedOrderDelay)
	setDuration(&o.StoreBusyDelay, DefaultStoreBusyDelay)
	setDuration(&o.UnreachableTimeout, DefaultUnreachableTimeout)
	setDuration(&o.LoadFailureDelay, DefaultLoadFailureDelay)
	if o.MaxUnavailableFraction <= 0 {
		o.MaxUnavailableFraction = DefaultMaxUnavailableFraction
	}
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Input is what Plan works from besides what was observed.
type Input struct {
	Manifest *manifest.Manifest
	Revision ports.Offset // of the manifest
	Fence    ports.Offset // of the lease held
	// HeldSince is when this holder began: the old holder's longest order had ended
	// by then. Nothing read before counts.
	HeldSince time.Time
	Endpoints []fleet.Member
}

// HoldReason tells why an endpoint is not given its next order.
type HoldReason string

// The reasons, besides an order under way.
const (
	HoldUnread       HoldReason = "not read"        // its state is not known
	HoldLoading      HoldReason = "loading"         // carries an order out
	HoldUnconfirmed  HoldReason = "order unsettled" // sent, and not yet read back
	HoldLoadLimit    HoldReason = "load limit"      // as many loads as the fleet may have
	HoldStore        HoldReason = "store busy"      // the weight store asked for a pause
	HoldNeeded       HoldReason = "needed"          // too few others serve its models
	HoldFailed       HoldReason = "failed"          // the order failed a moment ago
	HoldInitialReads HoldReason = "reading others"  // a new holder reads the fleet first
)

// Held is an endpoint that is not as declared and not given an order now.
type Held struct {
	Endpoint fleet.EndpointID
	Reason   HoldReason
}

// Plan is what to do now.
type Plan struct {
	Read    []fleet.EndpointID // read their status, the longest unread first
	Orders  []Order            // send these; each after Planner.Sent
	Held    []Held
	Loading int // loads under way in the fleet, without those of Orders
	Done    int // endpoints that are as declared
	Total   int // endpoints that have something declared and are not leaving
}

// Planner keeps what it observed of endpoints and plans the next orders. It is
// not safe for concurrent use.
type Planner struct {
	o          Options
	rows       map[fleet.EndpointID]*row
	storeUntil time.Time
	loaded     time.Time // when a load last succeeded
	failed     time.Time // when an endpoint last began to fail
	probed     time.Time // when an endpoint was last taken away in spite of failures
}

// row is what is known of one endpoint.
type row struct {
	status     Status
	read       time.Time // when status was asked for; zero: never
	tried      time.Time // last attempt to read
	sent       *Order    // not yet read back
	sentAt     time.Time
	answered   bool // the endpoint answered the sent order
	failed     string
	failedTill time.Time
	failing    time.Time // since when its loads fail; zero: they do not
}

// NewPlanner returns a planner that has observed nothing.
func NewPlanner(o Options) *Planner {
	return &Planner{o: o.withDefaults(), rows: map[fleet.EndpointID]*row{}}
}

func (p *Planner) row(id fleet.EndpointID) *row {
	r, known := p.rows[id]
	if !known {
		r = &row{}
		p.rows[id] = r
	}
	return r
}

// Observed takes a status that was asked for at the given time. It settles an
// order sent before: if the endpoint answered that order, or if the order can
// no longer be under way, the status shows whether it took effect.
func (p *Planner) Observed(asked, now time.Time, id fleet.EndpointID, s Status) {
	r := p.row(id)
	if asked.Before(r.read) {
		return // an answer overtaken by a newer one
	}
	r.read, r.tried = asked, asked
	p.ended(now, r, &s)
	r.status = s
	if r.sent != nil && p.settled(r, asked) {
		p.settle(now, r)
	}
}

// ended takes note of how a load went, which tells of the endpoint and of the
// weight store.
func (p *Planner) ended(now time.Time, r *row, s *Status) {
	if s.Loading != nil || s.Last == nil {
		return
	}
	was := r.status.Loading
	fresh := was != nil && was.ID == s.Last.Order
	if s.Last.Done {
		r.failing = time.Time{}
		if fresh && was.loads() {
			p.loaded = now
		}
		return
	}
	if r.failing.IsZero() {
		r.failing, p.failed = now, now
	}
	if fresh {
		r.failed, r.failedTill = was.ID, now.Add(p.o.FailedOrderDelay)
	}
}

// settled tells whether the status shows what became of the order sent. The
// result alone does not if the endpoint has not answered, since it may be of
// an earlier try of the same order.
func (p *Planner) settled(r *row, asked time.Time) bool {
	if asked.Sub(r.sentAt) >= p.o.MaxOrderTime || r.status.Incarnation != r.sent.Incarnation {
		return true
	}
	if r.status.Loading != nil && r.status.Loading.ID == r.sent.ID {
		return true
	}
	return r.answered && asked.After(r.sentAt)
}

func (p *Planner) settle(now time.Time, r *row) {
	last := r.status.Last
	if last != nil && last.Order == r.sent.ID && !last.Done {
		r.failed, r.failedTill = r.sent.ID, now.Add(p.o.FailedOrderDelay)
	}
	r.sent = nil
}

// ReadFailed says that an endpoint could not be read.
func (p *Planner) ReadFailed(now time.Time, id fleet.EndpointID) { p.row(id).tried = now }

// Sent says that an order is about to be sent. From then on it counts as under
// way until it is settled, even if sending it seems to fail: its answer may
// be lost after it took effect.
func (p *Planner) Sent(now time.Time, o Order) {
	r := p.row(o.Endpoint)
	r.sent, r.sentAt, r.answered = &o, now, false
}

// Answered says that the endpoint took the order, or refused it for good; the
// next status will tell which.
func (p *Planner) Answered(o Order) {
	r := p.row(o.Endpoint)
	if r.sent != nil && r.sent.ID == o.ID {
		r.answered = true
	}
}

// NotSent says that no byte of the order left.
func (p *Planner) NotSent(o Order) {
	r := p.row(o.Endpoint)
	if r.sent != nil && r.sent.ID == o.ID {
		r.sent = nil
	}
}

// StoreBusy says that the weight store is at its limit. No load begins for the
// given time, or for the default when it is zero: more loads would slow down
// those under way and serve nobody earlier.
func (p *Planner) StoreBusy(now time.Time, pause time.Duration) {
	if pause <= 0 {
		pause = p.o.StoreBusyDelay
	}
	if until := now.Add(pause); until.After(p.storeUntil) {
		p.storeUntil = until
	}
}

// Status returns the newest status of an endpoint and when it was asked for.
func (p *Planner) Status(id fleet.EndpointID) (Status, time.Time) {
	if r, known := p.rows[id]; known {
		return r.status, r.read
	}
	return Status{}, time.Time{}
}
