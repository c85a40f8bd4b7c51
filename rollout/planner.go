package rollout

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Options configures a Planner. Zero fields take the defaults.
type Options struct {
	// MaxOrderTime is the maximum time that an order takes to reach an endpoint.
	// After it, an order without an answer has taken effect or never will.
	MaxOrderTime time.Duration
	// StatusMaxAge is the age at which an endpoint's status is read again.
	StatusMaxAge time.Duration
	// UnreadGrace is how long a new holder of the lease delays its first order
	// while there are endpoints that it has not read.
	UnreadGrace time.Duration
	// FailedOrderDelay is the delay before an order that failed is sent again.
	FailedOrderDelay time.Duration
	// StoreBusyDelay is how long no load is started after the weight store was
	// busy, if the endpoint reported no time.
	StoreBusyDelay time.Duration
	// UnreachableTimeout is how long an endpoint that cannot be read counts as
	// loading.
	UnreachableTimeout time.Duration
	// LoadFailureDelay is how long no further endpoint is interrupted for a load
	// after a load has failed and none has succeeded since.
	LoadFailureDelay time.Duration
	// MaxUnavailableFraction is the fraction of a model's endpoints, from 0 to 1,
	// that may be out of service at a time. At least one endpoint may be.
	MaxUnavailableFraction float64
}

// Defaults of Options.
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

// Input is the information that Plan needs in addition to the observed statuses.
type Input struct {
	Manifest *manifest.Manifest
	Revision ports.Offset // offset of the manifest
	Fence    ports.Offset // fencing token of the lease held
	// HeldSince is the time from which this holder plans: orders of the previous
	// holder cannot be in progress by then. Statuses read earlier are ignored.
	HeldSince time.Time
	Endpoints []fleet.Member
}

// HoldReason is the reason why an endpoint gets no order now.
type HoldReason string

// Reasons why an endpoint gets no order now.
const (
	HoldUnread       HoldReason = "not read"        // the status of the endpoint is not known
	HoldLoading      HoldReason = "loading"         // the endpoint is executing an order
	HoldUnconfirmed  HoldReason = "order unsettled" // an order was sent and its effect has not been read
	HoldLoadLimit    HoldReason = "load limit"      // the fleet executes as many loads as the manifest allows
	HoldStore        HoldReason = "store busy"      // the weight store reported that it is busy
	HoldNeeded       HoldReason = "needed"          // too few other endpoints serve its models
	HoldFailed       HoldReason = "failed"          // the order failed within FailedOrderDelay
	HoldInitialReads HoldReason = "reading others"  // a new holder reads all endpoints first
)

// Held is an endpoint that differs from its declared state and gets no order now.
type Held struct {
	Endpoint fleet.EndpointID
	Reason   HoldReason `json:"Hold"`
}

// Plan lists the actions to take and summarises the progress of the rollout.
type Plan struct {
	Read    []fleet.EndpointID // endpoints whose status to read, in this order
	Orders  []Order            // orders to send; Planner.Sent must be called before each
	Held    []Held
	Loading int // loads in progress in the fleet, without those in Orders
	Done    int // endpoints in their declared state
	Total   int // endpoints with a declared state that are not leaving
}

// Planner keeps the observed state of endpoints and plans the next orders. It is
// not safe for concurrent use.
type Planner struct {
	opt             Options
	endpoints       map[fleet.EndpointID]*endpointState
	storeBusyUntil  time.Time
	lastLoadSuccess time.Time // time of the last successful load
	lastFailure     time.Time // time when an endpoint's loads last started to fail
	lastRetry       time.Time // time when an endpoint was last interrupted despite failed loads
}

// endpointState is the observed state of one endpoint.
type endpointState struct {
	status        Status
	statusAt      time.Time // time when status was requested; zero: never
	readAttemptAt time.Time // time of the last attempt to read the status
	sent          *Order    // order whose effect has not been read; nil: none
	sentAt        time.Time
	answered      bool // the endpoint answered the order in sent
	failedOrder   string
	failedUntil   time.Time
	failingSince  time.Time // time since which its loads fail; zero: they do not
}

// NewPlanner returns a planner without any observed state.
func NewPlanner(o Options) *Planner {
	return &Planner{opt: o.withDefaults(), endpoints: map[fleet.EndpointID]*endpointState{}}
}

func (p *Planner) state(id fleet.EndpointID) *endpointState {
	r, known := p.endpoints[id]
	if !known {
		r = &endpointState{}
		p.endpoints[id] = r
	}
	return r
}

// Observed records a status that was requested at the time asked. It also
// resolves the order sent before, if the endpoint answered that order or the
// order can no longer be in progress; the status then shows whether the order
// took effect.
func (p *Planner) Observed(asked, now time.Time, id fleet.EndpointID, s Status) {
	r := p.state(id)
	if asked.Before(r.statusAt) {
		return // a status requested later has been recorded
	}
	r.statusAt, r.readAttemptAt = asked, asked
	p.recordLoadResult(now, r, &s)
	r.status = s
	if r.sent != nil && p.orderResolved(r, asked) {
		p.resolveOrder(now, r)
	}
}

// recordLoadResult records whether the last load succeeded. Failures may be caused
// by the endpoint or by the weight store, see canRetryAfterFailure.
func (p *Planner) recordLoadResult(now time.Time, r *endpointState, s *Status) {
	if s.Loading != nil || s.Last == nil {
		return
	}
	was := r.status.Loading
	fresh := was != nil && was.ID == s.Last.Order
	if s.Last.Done {
		r.failingSince = time.Time{}
		if fresh && was.loads() {
			p.lastLoadSuccess = now
		}
		return
	}
	if r.failingSince.IsZero() {
		r.failingSince, p.lastFailure = now, now
	}
	if fresh {
		r.failedOrder, r.failedUntil = was.ID, now.Add(p.opt.FailedOrderDelay)
	}
}

// orderResolved reports whether the status shows the effect of the order sent. If
// the endpoint has not answered the order, a result in the status does not show
// it, since it may be that of an earlier attempt of the same order.
func (p *Planner) orderResolved(r *endpointState, asked time.Time) bool {
	if asked.Sub(r.sentAt) >= p.opt.MaxOrderTime || r.status.Incarnation != r.sent.Incarnation {
		return true
	}
	if r.status.Loading != nil && r.status.Loading.ID == r.sent.ID {
		return true
	}
	return r.answered && asked.After(r.sentAt)
}

func (p *Planner) resolveOrder(now time.Time, r *endpointState) {
	last := r.status.Last
	if last != nil && last.Order == r.sent.ID && !last.Done {
		r.failedOrder, r.failedUntil = r.sent.ID, now.Add(p.opt.FailedOrderDelay)
	}
	r.sent = nil
}

// ReadFailed records that the status of an endpoint could not be read.
func (p *Planner) ReadFailed(now time.Time, id fleet.EndpointID) { p.state(id).readAttemptAt = now }

// Sent records that an order is about to be sent. The order counts as in progress
// until a status resolves it, even if sending it appears to fail: it may have
// taken effect and only the answer was lost.
func (p *Planner) Sent(now time.Time, o Order) {
	r := p.state(o.Endpoint)
	r.sent, r.sentAt, r.answered = &o, now, false
}

// Answered records that the endpoint accepted the order or refused it
// permanently; the next status shows which.
func (p *Planner) Answered(o Order) {
	r := p.state(o.Endpoint)
	if r.sent != nil && r.sent.ID == o.ID {
		r.answered = true
	}
}

// NotSent records that no byte of the order was sent.
func (p *Planner) NotSent(o Order) {
	r := p.state(o.Endpoint)
	if r.sent != nil && r.sent.ID == o.ID {
		r.sent = nil
	}
}

// StoreBusy records that the weight store is at its limit. No load is started for
// the given time, or for StoreBusyDelay if it is zero: more loads would slow down
// those in progress without finishing any earlier.
func (p *Planner) StoreBusy(now time.Time, pause time.Duration) {
	if pause <= 0 {
		pause = p.opt.StoreBusyDelay
	}
	if until := now.Add(pause); until.After(p.storeBusyUntil) {
		p.storeBusyUntil = until
	}
}

// Status returns the newest status of an endpoint and the time when it was
// requested, and zero values if there is none.
func (p *Planner) Status(id fleet.EndpointID) (Status, time.Time) {
	if r, known := p.endpoints[id]; known {
		return r.status, r.statusAt
	}
	return Status{}, time.Time{}
}
