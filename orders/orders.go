// Package orders sends endpoints the orders planned by package rollout, under a
// lease in the platform's log.
//
// Three mechanisms prevent two lease holders from interfering. Endpoints that check
// the fencing token refuse a holder whose lease has expired. For endpoints that do
// not, the holder checks its lease on the monotonic clock while it writes an order,
// and a new holder sends none before the longest order of the previous one has
// ended. An order that is sent late nevertheless was planned from an accepted
// manifest, states the incarnation of its endpoint, and is detected when the
// endpoint's status is read before its next order.
//
// A Leader runs a single loop. Only the reads of statuses are concurrent, and each
// of them writes to its own result.
package orders

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/rollout"
)

// FleetState is the local state that a plan is made from.
type FleetState struct {
	Manifest  *manifest.Manifest // accepted and in force; nil: none yet
	Revision  ports.Offset
	Endpoints []fleet.Member
}

// Options configure a Leader. Zero durations mean the defaults.
type Options struct {
	Lease Lease
	// FleetState returns the current state. It is called once per round.
	FleetState func(now time.Time) FleetState
	// Transport sends orders and reads statuses. It must not retry requests by
	// itself; nil: one returned by NewTransport.
	Transport http.RoundTripper
	// Dial opens the connections if Transport is nil; nil: TCP.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Rollout rollout.Options
	Observe func(Event) // may be nil

	Tick        time.Duration // between rounds
	SendTimeout time.Duration // for an order and its answer
	ReadTimeout time.Duration // for a status
	MaxReads    int           // concurrent reads of statuses
}

// Defaults of Options.
const (
	DefaultTick        = time.Second
	DefaultSendTimeout = 2 * time.Second
	DefaultReadTimeout = 2 * time.Second
	DefaultMaxReads    = 16
)

// maxReadsPerRound bounds the statuses read in one round, so that in a large fleet a
// round ends before the lease must be renewed.
const maxReadsPerRound = 256

// Errors of the package, for errors.Is.
var (
	// ErrLeaseExpired reports that the lease expired before an order was sent.
	ErrLeaseExpired = errors.New("orders: lease has expired")
	// ErrFenced reports that an endpoint has seen a higher fencing token.
	ErrFenced = errors.New("orders: endpoint has seen a higher fencing token")
	// ErrStoreBusy reports that the weight store is at its limit.
	ErrStoreBusy = errors.New("orders: weight store is busy")
	// ErrRefused reports that an endpoint refused an order for another reason.
	ErrRefused = errors.New("orders: endpoint refused the order")
	// ErrNotSent reports that no byte of an order was sent.
	ErrNotSent = errors.New("orders: not sent")
	// ErrUnknown reports that an order may or may not have taken effect.
	ErrUnknown = errors.New("orders: outcome unknown")
)

// EventKind is the type of an Event.
type EventKind string

// Values of EventKind.
const (
	EventLeaseAcquired EventKind = "lease taken"
	EventLeaseLost     EventKind = "lease lost"
	EventOrder         EventKind = "order" // sent, or failed to send
	EventStatusFailed  EventKind = "read failed"
)

// Event is an occurrence to be logged or counted.
type Event struct {
	Kind     EventKind
	Fence    ports.Offset
	Endpoint fleet.EndpointID
	Order    *rollout.Order
	Err      error
}

// Leader plans and sends orders while it holds the lease.
type Leader struct {
	o          Options
	term       leaseTerm
	planner    *rollout.Planner
	sender     sender
	lastReport atomic.Pointer[Report]
}

// Report is the latest plan, for the administration API.
type Report struct {
	At    time.Time
	Fence ports.Offset // fencing token of the plan; 0: lease not held
	Plan  rollout.Plan
}

// Report returns the latest plan. It is safe for concurrent use.
func (l *Leader) Report() Report {
	if r := l.lastReport.Load(); r != nil {
		return *r
	}
	return Report{}
}

// New returns a Leader that does not hold the lease yet.
func New(o Options) *Leader {
	o = o.withDefaults()
	return &Leader{
		o:       o,
		planner: rollout.NewPlanner(o.Rollout),
		sender:  sender{transport: o.Transport, sendTimeout: o.SendTimeout, readTimeout: o.ReadTimeout},
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.SendTimeout, DefaultSendTimeout)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.Rollout.MaxOrderTime, rollout.DefaultMaxOrderTime)
	if o.MaxReads <= 0 {
		o.MaxReads = DefaultMaxReads
	}
	if o.Transport == nil {
		o.Transport = NewTransport(o.Dial)
	}
	if o.Observe == nil {
		o.Observe = func(Event) {}
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run runs rounds until ctx ends, then releases the lease.
func (l *Leader) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.o.Tick)
	defer ticker.Stop()
	defer l.release(ctx)
	for {
		l.Round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// release releases the lease, after the last order has been answered.
func (l *Leader) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.o.SendTimeout)
	defer cancel()
	l.o.Lease.Release(ctx)
}

// Round plans and sends the next orders if the lease is held, and stores the plan for
// Report.
func (l *Leader) Round(ctx context.Context) {
	held, taken := l.checkLease(time.Now())
	if taken {
		l.planner = rollout.NewPlanner(l.o.Rollout)
	}
	if !held {
		l.lastReport.Store(&Report{At: time.Now()})
		return
	}
	now := time.Now()
	s := l.o.FleetState(now)
	if s.Manifest == nil {
		return
	}
	plan := l.planner.Plan(now, rollout.Input{
		Manifest:  s.Manifest,
		Revision:  s.Revision,
		Fence:     l.term.fence,
		HeldSince: l.term.since,
		Endpoints: s.Endpoints,
	})
	l.lastReport.Store(&Report{At: now, Fence: l.term.fence, Plan: plan})
	addresses := map[fleet.EndpointID]string{}
	for _, e := range s.Endpoints {
		addresses[e.ID] = e.Address
	}
	l.sendOrders(ctx, plan.Orders, addresses)
	l.readStatuses(ctx, plan.Read, addresses)
}

// sendOrders sends the orders one by one. It stops at the first one whose error shows
// that the lease is lost.
func (l *Leader) sendOrders(ctx context.Context, planned []rollout.Order, addresses map[fleet.EndpointID]string) {
	for _, o := range planned {
		err := l.sendOrder(ctx, o, addresses[o.Endpoint])
		l.o.Observe(Event{Kind: EventOrder, Fence: o.Fence, Endpoint: o.Endpoint, Order: &o, Err: err})
		if errors.Is(err, ErrFenced) || errors.Is(err, ErrLeaseExpired) {
			l.loseLease(err)
			return
		}
	}
}

// sendOrder sends one order and reports the result to the planner.
func (l *Leader) sendOrder(ctx context.Context, o rollout.Order, address string) error {
	allowed := l.sendGuard()
	if !allowed() {
		return ErrLeaseExpired
	}
	l.planner.Sent(time.Now(), o)
	pause, err := l.sender.postOrder(ctx, o, address, allowed)
	switch {
	case errors.Is(err, ErrUnknown):
		// The order stays pending until the endpoint's status is read.
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrLeaseExpired):
		l.planner.NotSent(o)
	case errors.Is(err, ErrStoreBusy):
		l.planner.StoreBusy(time.Now(), pause)
		l.planner.Answered(o)
	default:
		l.planner.Answered(o)
	}
	return err
}

// statusResult is the result of one read of a status.
type statusResult struct {
	asked  time.Time
	status rollout.Status
	err    error
}

// readStatuses reads statuses, at most MaxReads concurrently.
func (l *Leader) readStatuses(ctx context.Context, ids []fleet.EndpointID, addresses map[fleet.EndpointID]string) {
	ids = ids[:min(len(ids), maxReadsPerRound)]
	readings := make([]statusResult, len(ids))
	var group errgroup.Group
	group.SetLimit(l.o.MaxReads)
	for i, id := range ids {
		group.Go(func() error {
			readings[i].asked = time.Now()
			readings[i].status, readings[i].err = l.sender.readStatus(ctx, addresses[id])
			return nil
		})
	}
	_ = group.Wait() // errors are in the results
	now := time.Now()
	for i, id := range ids {
		if r := readings[i]; r.err == nil {
			l.planner.Observed(r.asked, now, id, r.status)
			continue
		}
		l.planner.ReadFailed(now, id)
		l.o.Observe(Event{Kind: EventStatusFailed, Endpoint: id, Err: readings[i].err})
	}
}
