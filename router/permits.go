package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/permits"
)

const (
	// maxPermitAsks is how many endpoints are asked for a free permit, one after another,
	// before a request waits for one.
	maxPermitAsks = 3
	// permitWaitFraction is the fraction of the latency objective, and of the time left, that
	// a request waits for a permit at most; defaultPermitWait applies without an objective.
	permitWaitFraction = 0.5
	defaultPermitWait  = 100 * time.Millisecond
	// rejectionsPerSecond bounds the log lines of rejections by brittle endpoints.
	rejectionsPerSecond = 20
)

// endpointPermits is a permits.Node that is safe for concurrent use.
type endpointPermits struct {
	clock        func() time.Duration
	send         func(to string, data []byte)
	log          *logging.Logger
	scope        tally.Scope
	rejectionLog lineLimiter

	brittle atomic.Bool // whether some endpoint may be brittle

	mu   sync.Mutex
	node *permits.Node
}

// newEndpointPermits returns the permits of a daemon without other daemons.
func newEndpointPermits(self gossip.Peer, clock func() time.Duration, log *logging.Logger, rng *rand.Rand) *endpointPermits {
	return &endpointPermits{
		clock: clock, send: func(string, []byte) {}, log: log, scope: tally.NoopScope, rejectionLog: lineLimiter{perSecond: rejectionsPerSecond},
		node: permits.NewNode(permits.Options{Self: self, Nonce: rng.Uint32(), Rand: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}),
	}
}

// connect sets how metrics are counted and messages are sent. It must be called before use.
func (e *endpointPermits) connect(scope tally.Scope, send func(to string, data []byte)) {
	e.scope, e.send = scope, send
}

// run performs periodic work until the context ends.
func (e *endpointPermits) run(ctx context.Context) {
	for pause.Tick(ctx, e.interval()) == nil {
		e.do(func(now time.Duration) { e.node.Tick(now) })
	}
}

func (e *endpointPermits) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.node.Active() {
		return permits.ActiveTick
	}
	return permits.IdleTick
}

// do runs a call to the node, and sends and logs what it brought about.
func (e *endpointPermits) do(call func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call(e.clock())
	e.brittle.Store(e.node.Brittle())
	for _, d := range e.node.Outbox() {
		e.send(d.To, d.Data)
	}
	for _, name := range e.node.Silent() {
		e.log.Info("Owner of permits did not answer.", "owner", name)
	}
}

func (e *endpointPermits) setPeers(all []gossip.Peer) {
	e.do(func(time.Duration) { e.node.SetPeers(all) })
}

func (e *endpointPermits) receive(from string, data []byte) {
	e.do(func(now time.Duration) {
		if err := e.node.Receive(now, from, data); err != nil {
			e.log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
		}
	})
}

// required reports whether a request to the endpoint needs a permit.
func (e *endpointPermits) required(to permits.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.Required(e.clock(), to)
}

// obtain requests a permit and waits for the verdict. It returns 0 if there is none.
func (e *endpointPermits) obtain(ctx context.Context, to permits.Target, wait time.Duration, priority byte) permits.ID {
	got := make(chan bool, 1)
	var id permits.ID
	e.do(func(now time.Duration) {
		id = e.node.Ask(now, to, wait, priority, func(granted bool) { got <- granted })
	})
	select {
	case granted := <-got:
		if !granted {
			e.scope.Counter("permits_denied").Inc(1)
			return 0
		}
		e.scope.Counter("permits_granted").Inc(1)
		return id
	case <-ctx.Done():
	}
	e.do(func(now time.Duration) {
		e.node.Cancel(now, id)
		e.node.Release(now, id, false)
	})
	return 0
}

func (e *endpointPermits) release(id permits.ID, lost bool) {
	e.do(func(now time.Duration) { e.node.Release(now, id, lost) })
}

func (e *endpointPermits) answered(to permits.Target, id permits.ID, a permits.Answer) (out permits.Observation) {
	e.do(func(now time.Duration) { out = e.node.Answered(now, to, id, a) })
	return out
}

// retain removes the endpoints that are not known any more, and updates the metrics.
func (e *endpointPermits) retain(known func(fleet.EndpointID) bool) {
	var owned permits.Usage
	e.do(func(now time.Duration) {
		e.node.Retain(now, known)
		owned = e.node.Usage(now)
	})
	e.scope.Gauge("permits_lent").Update(float64(owned.Lent))
	e.scope.Gauge("permits_capacity").Update(float64(owned.Capacity))
	e.scope.Gauge("permits_waiting").Update(float64(owned.Waiting))
}

// permitTarget returns an endpoint as package permits names it.
func permitTarget(e *directory.Endpoint) permits.Target {
	return permits.Target{ID: e.Key, Service: e.Service, Slots: e.Slots}
}

// findPermitTarget returns permitTarget of a usable endpoint.
func (p *placer) findPermitTarget(key fleet.EndpointID) (to permits.Target, usable bool) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	e := p.state.roster.Find(key)
	if e == nil {
		return permits.Target{}, false
	}
	return permitTarget(e), true
}

// placePermitted chooses an endpoint. A request for a brittle endpoint is sent only with a
// permit. While there is none at the endpoints that suit it best, it waits briefly for one.
func (d *dispatchPlacer) placePermitted(ctx context.Context, req *forward.PlacementRequest) (forward.Placement, error) {
	if req.Service.Engine != nil && req.In.Model != "" {
		d.recordArrival(time.Now(), req)
	}
	try := *req
	for range maxPermitAsks {
		p, err := d.choose(ctx, &try)
		if err != nil && len(try.Excluded) == len(req.Excluded) {
			return p, err
		}
		if err != nil {
			break
		}
		if d.permit(ctx, req, &p, 0) {
			return p, nil
		}
		try.Excluded = append(slices.Clone(try.Excluded), p.Target.Key)
	}
	p, err := d.choose(ctx, req)
	if err != nil || d.permit(ctx, req, &p, permitWait(time.Now(), req)) {
		return p, err
	}
	return forward.Placement{}, &forward.RefusedError{Code: codeAtLimits, RetryAfter: d.overloadRetryAfter(), Endpoint: string(p.Target.Key)}
}

// permitWait returns how long a request waits for a permit at most. The caller of a stream
// that resumes has received a part of it.
func permitWait(now time.Time, req *forward.PlacementRequest) time.Duration {
	left := time.Duration(permitWaitFraction * float64(req.Deadline.Sub(now)))
	objective := time.Duration(permitWaitFraction * float64(req.Route.TargetLatency))
	switch {
	case req.Resuming:
		return left
	case objective <= 0:
		objective = defaultPermitWait
	}
	return min(objective, left)
}

// permit obtains the permit that a placement needs. If there is none, it ends the placement
// and returns false.
func (d *dispatchPlacer) permit(ctx context.Context, req *forward.PlacementRequest, p *forward.Placement, wait time.Duration) bool {
	if !d.permits.brittle.Load() {
		return true
	}
	to, usable := d.findPermitTarget(p.Target.Key)
	if !usable || !d.permits.required(to) {
		return true
	}
	priority := priorityOf(req.Route.EffectivePriority(req.Organisation))
	if id := d.permits.obtain(ctx, to, max(0, wait), byte(priority)); id != 0 {
		p.Notes.Permit = uint64(id)
		return true
	}
	if p.Notes.Dispatcher == "" {
		d.releaseLimit(p.Target.Key)
	}
	d.AttemptEnded(p, forward.AttemptEnd{Left: true})
	return false
}

// observePermits passes an answer on to the permits of brittle endpoints.
func (p *placer) observePermits(pl *forward.Placement, info *forward.AnswerInfo) {
	if info.Misplaced || info.RejectionLimit == nil && !p.permits.brittle.Load() {
		return
	}
	to, usable := p.findPermitTarget(pl.Target.Key)
	if !usable {
		return
	}
	got := p.permits.answered(to, permits.ID(pl.Notes.Permit), permits.Answer{
		Rejected: info.NotRun, Limit: info.RejectionLimit, Load: info.Load,
	})
	if got.Began {
		p.log.Info("Endpoint reports that rejections crash it.", "endpoint", string(to.ID), "limit", *info.RejectionLimit)
	}
	if got.Rejection != nil {
		p.permits.reportRejection(pl, info, got.Rejection)
	}
}

// reportRejection logs and counts a rejection by a brittle endpoint, with what this daemon
// knew of the endpoint.
func (e *endpointPermits) reportRejection(pl *forward.Placement, info *forward.AnswerInfo, r *permits.Rejection) {
	knowledge := "unknown"
	switch {
	case r.Permitted:
		knowledge = "permitted"
	case r.Known:
		knowledge = "known"
	}
	e.scope.Tagged(map[string]string{"knowledge": knowledge}).Counter("brittle_rejections").Inc(1)
	write, suppressed := e.rejectionLog.allow(time.Now())
	if !write {
		return
	}
	fields := []any{
		"endpoint", string(pl.Target.Key), "limit", *info.RejectionLimit, "knowledge", knowledge, "owner", r.Owner, "under_way", r.UnderWay,
		"answer_age_ms", ageMs(r.AnswerAge), "rejection_age_ms", ageMs(r.RejectionAge), "dispatcher", pl.Notes.Dispatcher,
	}
	if l := info.Load; l != nil {
		fields = append(fields, "running", l.Running, "waiting", l.Waiting, "slots", l.Slots)
	}
	if suppressed > 0 {
		fields = append(fields, "suppressed", suppressed)
	}
	e.log.Info("Brittle endpoint rejected a request.", fields...)
}

// ageMs returns an age in milliseconds; -1 for a negative one.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
