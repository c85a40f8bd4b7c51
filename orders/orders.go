// Package orders gives endpoints the orders that package rollout plans, under
// a lease in the platform's log.
//
// Three things keep two holders apart. The fencing number lets an endpoint
// that checks it refuse a holder whose lease has lapsed. For one that does
// not, the holder checks its lease on the monotonic clock while it writes an
// order, and a new holder gives none before the old one's longest has ended.
// What then still slips through was planned from an accepted manifest, names
// the life of the endpoint that is meant, and is found when the endpoint's
// status is read before its next order.
//
// A Giver is one loop; only reads of status run beside it, and each of them
// touches nothing but its own result.
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

// FleetState is what a daemon knows when it plans.
type FleetState struct {
	Manifest  *manifest.Manifest // accepted and in force; nil: none yet
	Revision  ports.Offset
	Endpoints []fleet.Member
}

// Options holds what a Giver needs. Zero durations take the defaults.
type Options struct {
	Lease Lease
	// FleetState is asked anew for each round.
	FleetState func(now time.Time) FleetState
	// Transport sends orders and reads statuses. It must not repeat requests
	// by itself; nil: one made by NewTransport.
	Transport http.RoundTripper
	// Dial opens the connections of the transport that New makes; nil: TCP.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Rollout rollout.Options
	Observe func(Event) // may be nil

	Tick        time.Duration // between rounds
	SendTimeout time.Duration // for sending an order and its answer
	ReadTimeout time.Duration // for reading a status
	MaxReads    int           // statuses read at once
}

// Defaults of Options.
const (
	DefaultTick        = time.Second
	DefaultSendTimeout = 2 * time.Second
	DefaultReadTimeout = 2 * time.Second
	DefaultMaxReads    = 16
)

// maxReadsInRound bounds the statuses read in one round, so that a round of a
// large fleet ends before the lease must be renewed.
const maxReadsInRound = 256

// Errors of the package, for errors.Is.
var (
	// ErrLeaseExpired says that the lease ended before an order was sent.
	ErrLeaseExpired = errors.New("orders: lease has lapsed")
	// ErrFenced says that an endpoint has seen a higher fencing number.
	ErrFenced = errors.New("orders: endpoint has seen a higher fencing number")
	// ErrStoreBusy says that the weight store is at its limit.
	ErrStoreBusy = errors.New("orders: weight store is busy")
	// ErrRefused says that an endpoint refused an order for another reason.
	ErrRefused = errors.New("orders: endpoint refused the order")
	// ErrNotSent says that no byte of an order left.
	ErrNotSent = errors.New("orders: not sent")
	// ErrUnknown says that an order may have taken effect.
	ErrUnknown = errors.New("orders: outcome unknown")
)

// EventKind names what happened.
type EventKind string

// The kinds of Event.
const (
	EventLeaseAcquired EventKind = "lease taken"
	EventLeaseLost     EventKind = "lease lost"
	EventOrder         EventKind = "order"       // sent, or tried
	EventStatusFailed  EventKind = "read failed" // of a status
)

// Event is something worth a log line or a metric.
type Event struct {
	Kind     EventKind
	Fence    ports.Offset
	Endpoint fleet.EndpointID
	Order    *rollout.Order
	Err      error
}

// Leader gives orders while it holds the lease.
type Leader struct {
	o       Options
	tenure  tenure
	planner *rollout.Planner
	sender  sender
	last    atomic.Pointer[Report]
}

// Report is the newest plan, for the administration API.
type Report struct {
	At    time.Time
	Fence ports.Offset // of the lease under which it was made; 0: not held
	Plan  rollout.Plan
}

// Report returns the newest plan. It may be called by any goroutine.
func (g *Leader) Report() Report {
	if r := g.last.Load(); r != nil {
		return *r
	}
	return Report{}
}

// New returns a giver that does not hold the lease yet.
func New(o Options) *Leader {
	o = o.withDefaults()
	return &Leader{
		o:       o,
		planner: rollout.NewPlanner(o.Rollout),
		sender:  sender{transport: o.Transport, sendTimeout: o.SendTimeout, readTimeout: o.ReadTimeout},
	}
}

func (o Options) withDefaults() Options {
	setDuration(&o.Tick, DefaultTick)
	setDuration(&o.SendTimeout, DefaultSendTimeout)
	setDuration(&o.ReadTimeout, DefaultReadTimeout)
	setDuration(&o.Rollout.LongestOrder, rollout.DefaultLongestOrder)
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

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run gives orders until ctx ends, then gives the lease up.
func (g *Leader) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.o.Tick)
	defer ticker.Stop()
	defer g.release(ctx)
	for {
		g.Round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// release gives the lease up after the last order has been answered.
func (g *Leader) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.o.SendTimeout)
	defer cancel()
	g.o.Lease.Release(ctx)
}

// Round plans and gives the next orders if the lease is held. Its plan is then
// in the report.
func (g *Leader) Round(ctx context.Context) {
	held, taken := g.begin(time.Now())
	if taken {
		g.planner = rollout.NewPlanner(g.o.Rollout)
	}
	if !held {
		g.last.Store(&Report{At: time.Now()})
		return
	}
	now := time.Now()
	s := g.o.FleetState(now)
	if s.Manifest == nil {
		return
	}
	plan := g.planner.Plan(now, rollout.Input{
		Manifest:  s.Manifest,
		Revision:  s.Revision,
		Fence:     g.tenure.fence,
		Since:     g.tenure.since,
		Endpoints: s.Endpoints,
	})
	g.last.Store(&Report{At: now, Fence: g.tenure.fence, Plan: plan})
	addresses := map[fleet.EndpointID]string{}
	for _, e := range s.Endpoints {
		addresses[e.ID] = e.Address
	}
	g.give(ctx, plan.Orders, addresses)
	g.read(ctx, plan.Read, addresses)
}

// give sends the orders one by one. The first that shows the lease to be lost
// ends the round.
func (g *Leader) give(ctx context.Context, planned []rollout.Order, addresses map[fleet.EndpointID]string) {
	for _, o := range planned {
		err := g.send(ctx, o, addresses[o.Endpoint])
		g.o.Observe(Event{Kind: EventOrder, Fence: o.Fence, Endpoint: o.Endpoint, Order: &o, Err: err})
		if errors.Is(err, ErrFenced) || errors.Is(err, ErrLeaseExpired) {
			g.end(err)
			return
		}
	}
}

// send sends one order and tells the planner what became of it.
func (g *Leader) send(ctx context.Context, o rollout.Order, address string) error {
	allowed := g.allowed()
	if !allowed() {
		return ErrLeaseExpired
	}
	g.planner.Sent(time.Now(), o)
	pause, err := g.sender.order(ctx, o, address, allowed)
	switch {
	case errors.Is(err, ErrUnknown):
		// It stays under way until the endpoint's status settles it.
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrLeaseExpired):
		g.planner.NotSent(o)
	case errors.Is(err, ErrStoreBusy):
		g.planner.StoreBusy(time.Now(), pause)
		g.planner.Answered(o)
	default:
		g.planner.Answered(o)
	}
	return err
}

// reading is the result of reading one status.
type reading struct {
	asked  time.Time
	status rollout.Status
	err    error
}

// read reads statuses, a bounded number at once.
func (g *Leader) read(ctx context.Context, ids []fleet.EndpointID, addresses map[fleet.EndpointID]string) {
	ids = ids[:min(len(ids), maxReadsInRound)]
	readings := make([]reading, len(ids))
	var group errgroup.Group
	group.SetLimit(g.o.MaxReads)
	for i, id := range ids {
		group.Go(func() error {
			readings[i].asked = time.Now()
			readings[i].status, readings[i].err = g.sender.status(ctx, addresses[id])
			return nil
		})
	}
	_ = group.Wait() // each reading has its own error
	now := time.Now()
	for i, id := range ids {
		if r := readings[i]; r.err == nil {
			g.planner.Observed(r.asked, now, id, r.status)
			continue
		}
		g.planner.ReadFailed(now, id)
		g.o.Observe(Event{Kind: EventStatusFailed, Endpoint: id, Err: readings[i].err})
	}
}
