package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/weights"
)

// Intervals and timeouts of the rollout leader.
const (
	// leaderInterval is how often the leader looks for engines that need an order.
	leaderInterval = 100 * time.Millisecond
	// loadPollInterval is how often the leader asks a loading engine whether it has
	// finished. The engine's own entry shows this more than a second later.
	loadPollInterval = 350 * time.Millisecond
	// claimStep is the time between the claims of two daemons that could both become
	// leader. A claim reaches all daemons within a tenth of a second when there was no
	// rollout before, and within leaseReadInterval during one. Of the daemons that
	// claim within that time, all but one call the store in vain.
	claimStep = 150 * time.Millisecond
	// maxClaimDelay bounds the delay of ordered claims. Later daemons claim after it
	// at a random time of up to the same length, as all the first ones may be down.
	maxClaimDelay = 3 * time.Second
	// claimRetryPause is the pause after a failed claim, plus a random time of up to
	// the same length.
	claimRetryPause = 400 * time.Millisecond
	// reportTimeout bounds the request for an engine's report.
	reportTimeout = 500 * time.Millisecond
)

// leader gives weight-loading orders to engines while it holds the lease.
type leader struct {
	router *Router
	lease  *weights.Lease
	plans  map[string]*weights.Plan

	mu           sync.Mutex // guards lease, plans, loading and unpublished
	loading      map[fleet.EndpointID]loadingEngine
	unpublished  []weights.EngineUpdate // updates for the other daemons, published with the next claim
	lastPoll     time.Duration
	nextClaim    time.Duration // earliest time of the next claim, after a failed one
	failedClaims int           // consecutive failed claims
	failedReads  int           // consecutive failed reads of the lease
	conflicts    int           // consecutive claims refused at the same offset
	conflictAt   int64         // that offset
	behindSince  time.Duration // when engines were first found behind; 0: none are
	claimDelay   time.Duration

	subscription *subscription // of the lease; used only by follow
}

// loadingEngine is an engine that was ordered to load a version. It is asked for its
// report until it has finished or until has passed.
type loadingEngine struct {
	engine  weights.Engine
	model   string
	version int64
	until   time.Duration
}

// runLeader follows the lease and, while some engine has outdated weights, claims it
// and gives orders.
func (r *Router) runLeader(ctx context.Context) {
	me := r.options.Settings.Name + "@" + r.options.Settings.CallerAddress
	l := &leader{
		router: r, lease: weights.NewLease(me, r.options.Settings.OrderLease),
		plans: map[string]*weights.Plan{}, loading: map[fleet.EndpointID]loadingEngine{},
		subscription: &subscription{neighbours: r.neighbours, topic: TopicLease},
	}
	go l.follow(ctx)
	for pause.Tick(ctx, leaderInterval) == nil {
		l.step(ctx)
	}
}

// logConflict logs claims that are refused at the same offset again and again: the daemon
// has another log in mind than the store.
func (l *leader) logConflict(at, end int64) {
	if at != l.conflictAt {
		l.conflictAt, l.conflicts = at, 0
	}
	l.conflicts++
	if l.conflicts == maxConflicts {
		l.router.log.Warn("Rollout lease is refused repeatedly.", "offset", feed.Position(at), "end", feed.Position(end))
	}
}

// maxConflicts is the number of claims refused at one offset above which this is logged.
// Daemons that claim at the same time are refused once.
const maxConflicts = 3

// step gives the orders that are due. A daemon that is cut off from the engines leaves the
// lease to others: orders are not relayed, as engines tell leaders apart by their address.
func (l *leader) step(ctx context.Context) {
	outdated := l.outdatedModels()
	now := l.router.clock()
	if len(outdated) == 0 {
		l.behindSince = 0
		l.finishLoads(ctx, now)
		if len(l.unpublishedUpdates()) > 0 {
			l.claim(ctx, nil)
		}
		return
	}
	if l.behindSince == 0 {
		l.behindSince, l.claimDelay = now, l.router.claimDelay(l.holdsLease())
	}
	l.mu.Lock()
	due := max(l.behindSince, l.lease.ClaimableAt(now)) + l.claimDelay
	l.mu.Unlock()
	if now < due || l.router.shuttingDown.Load() || l.router.paths.Isolated() {
		return
	}
	l.finishLoads(ctx, now)
	for _, model := range outdated {
		l.orderModel(ctx, model, l.router.state.engines(time.Now(), l.router.clock(), l.router.options.Settings.VersionWithin, model))
	}
}

// holdsLease reports whether the newest claim was made by this daemon.
func (l *leader) holdsLease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Holder() == l.lease.Name()
}

// claimDelay returns the delay of this daemon's claim of the lease after the lease
// becomes free. The previous leader continues at once; the others follow in an order
// that all of them compute.
func (r *Router) claimDelay(holds bool) time.Duration {
	if holds {
		return 0
	}
	before, _ := r.neighbours.rank("orders") // 0 while the list is unknown, as no other daemon can be awaited
	if wait := time.Duration(before) * claimStep; wait < maxClaimDelay {
		return wait
	}
	return maxClaimDelay + time.Duration(r.placer.randomFraction()*float64(maxClaimDelay))
}

// outdatedModels returns the models for which some engines have older weights than named.
func (l *leader) outdatedModels() []string {
	var out []string
	for model, n := range l.router.state.namedVersions() {
		if l.router.state.hasOutdatedEngine(model, n.newest()) {
			out = append(out, model)
		}
	}
	return out
}

// orderModel gives the orders for one model.
func (l *leader) orderModel(ctx context.Context, model string, engines []weights.Engine) {
	version := l.router.state.namedVersions()[model].newest()
	l.mu.Lock()
	plan := l.plans[model]
	if plan == nil {
		plan = weights.NewPlan()
		l.plans[model] = plan
	}
	next := plan.Next(l.router.clock(), engines, version)
	renew := l.lease.RenewDue(l.router.clock())
	l.mu.Unlock()
	if len(next) == 0 && !renew && len(l.unpublishedUpdates()) == 0 {
		return
	}
	// The claim is appended first: it proves that the lease is held, and other daemons
	// stop sending prompts to the engines that are about to load.
	var updates []weights.EngineUpdate
	for _, e := range next {
		updates = append(updates, weights.EngineUpdate{Engine: string(e.Key), Model: model, Version: version, Loading: true})
	}
	if !l.claim(ctx, updates) {
		return
	}
	l.router.state.applyEngineUpdates(time.Now(), updates)
	l.router.dispatch.sendLoads(updates)
	l.mu.Lock()
	for _, e := range next {
		plan.Sent(l.router.clock(), e.Key, version)
	}
	l.mu.Unlock()
	// Not awaited: an engine that does not answer would keep the others from getting
	// orders until the timeout.
	for _, e := range next {
		go l.orderOne(ctx, plan, e, model, version)
	}
}

// claim appends a claim of the lease with updates for the other daemons, and reports
// whether the lease is held.
func (l *leader) claim(ctx context.Context, updates []weights.EngineUpdate) bool {
	if l.router.clock() < l.nextClaim {
		return false
	}
	l.mu.Lock()
	at := l.lease.NextOffset()
	published := l.unpublished
	c, ok := l.lease.Claim(l.router.clock(), weights.Claim{
		Nonce:        l.router.placer.randomNumber(),
		Updates:      append(published[:len(published):len(published)], updates...),
		VersionTimes: l.router.state.namedTimes(l.router.clock(), time.Now()),
	})
	l.mu.Unlock()
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	sent, record := l.router.clock(), c.Encode()
	err := l.router.options.Lease.AppendLease(call, at, record)
	var conflict *AppendConflictError
	switch {
	case err == nil:
		l.failedClaims = 0
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unpublished = l.unpublished[len(published):]
		if l.lease.NextOffset() == at {
			l.lease.ClaimAppended(l.router.clock())
			// Otherwise neighbours that read through this daemon would find a gap and
			// all call the store.
			l.router.feeds[TopicLease].Add(feed.Batch{
				From: at, Records: []Record{{Value: record, Offset: at}}, Next: at + 1, Complete: true, Confirmed: sent,
			})
		}
		return l.lease.MayOrder(l.router.clock())
	case errors.As(err, &conflict):
		// Another daemon claimed first; read its claim.
		l.logConflict(at, conflict.End)
		_ = l.readLease(ctx, at, 0)
		if l.nextOffset() == at {
			l.claimFailed(err) // nothing was read that explains the conflict
		}
		return false
	default:
		l.claimFailed(err)
	}
	// The claim may have been appended although the call failed, which a read shows.
	// Without it, a store that loses many answers would keep every daemon from giving
	// orders.
	if err := l.readLease(ctx, at, 0); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.MayOrder(l.router.clock()) || !l.lease.ClaimSettled() {
		return false
	}
	l.unpublished = l.unpublished[len(published):]
	return true
}

func (l *leader) nextOffset() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.NextOffset()
}

// claimFailed delays the next claim. The store rejects calls above its rate limits, and
// a daemon that retries ten times a second uses up the limit for the others.
func (l *leader) claimFailed(err error) {
	if l.failedClaims == 0 {
		l.router.log.Warn("Rollout lease cannot be claimed.", "error", err.Error())
	}
	l.failedClaims++
	l.nextClaim = l.router.clock() + claimRetryPause + time.Duration(l.router.placer.randomFraction()*float64(claimRetryPause))
}

// orderOne asks an engine for its report, which holds its order count, and sends it an
// order if it needs one.
func (l *leader) orderOne(ctx context.Context, plan *weights.Plan, e weights.Engine, model string, version int64) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	report, err := l.router.engines.Report(call, e.Target, model)
	cancel()
	reply := weights.Refused
	switch {
	case err != nil:
		l.router.log.Warn("Engine did not return a report.", "endpoint", e.ID, "error", err.Error())
	case report.Leaving:
		l.router.placer.endpointLeaving(time.Now(), e.Key, e.ID)
	case report.Version >= version, report.Version > e.Version && !report.Busy:
		// An engine whose entry was older than its weights gives way to those with the
		// oldest ones.
		l.recordLoaded(e, model, report.Version)
		reply = weights.AlreadyHolds
	case report.Busy:
		reply = weights.Accepted
	default:
		reply = l.send(ctx, e, model, version, report.AcceptedOrders)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.clock()
	plan.Replied(now, e.Key, version, reply)
	if reply == weights.Accepted || reply == weights.Unanswered {
		l.loading[e.Key] = loadingEngine{engine: e, model: model, version: version, until: now + loadingUpdateLifetime}
	}
}

// send sends the order if the lease is valid for longer than the order may take to
// arrive.
func (l *leader) send(ctx context.Context, e weights.Engine, model string, version, expected int64) weights.Reply {
	l.mu.Lock()
	held, token, me := l.lease.MayOrder(l.router.clock()), l.lease.FencingToken(), l.lease.Name()
	l.mu.Unlock()
	if !held {
		return weights.Refused
	}
	call, cancel := context.WithTimeout(ctx, weights.OrderTimeout)
	defer cancel()
	reply, err := l.router.engines.Order(call, e.Target, weights.Order{
		Model: model, Version: version, Running: weights.FinishRunning, Holder: me, Token: token, ExpectedOrders: expected,
	})
	fields := []any{"endpoint", e.ID, "model", model, "version", version, "token", token, "expected", expected, "reply", reply.String()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	l.router.log.Info("Order was sent.", fields...)
	l.router.metrics.orders.Inc(1)
	return reply
}

// finishLoads asks loading engines whether they have finished.
func (l *leader) finishLoads(ctx context.Context, now time.Duration) {
	if now-l.lastPoll < loadPollInterval {
		return
	}
	l.lastPoll = now
	var all sync.WaitGroup
	for _, e := range l.pendingLoads(now) {
		all.Add(1)
		go func() {
			defer all.Done()
			call, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			report, err := l.router.engines.Report(call, e.engine.Target, e.model)
			if err != nil || report.Busy || report.Version <= e.engine.Version {
				return
			}
			if report.Version >= e.version || l.endSuperseded(e) {
				l.recordLoaded(e.engine, e.model, report.Version)
			}
		}()
	}
	all.Wait()
}

// endSuperseded ends the order to an engine that has loaded older weights than ordered. It
// returns false if another order was sent to the engine since e was listed.
func (l *leader) endSuperseded(e loadingEngine) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loading[e.engine.Key] == e && l.plans[e.model].EndSuperseded(l.router.clock(), e.engine.Key, e.version)
}

// pendingLoads returns the engines that were ordered to load and are not known to have
// finished.
func (l *leader) pendingLoads(now time.Duration) []loadingEngine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []loadingEngine
	for key, e := range l.loading {
		if now > e.until {
			delete(l.loading, key)
			continue
		}
		out = append(out, e)
	}
	return out
}

// unpublishedUpdates returns the updates not yet published to the other daemons.
func (l *leader) unpublishedUpdates() []weights.EngineUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unpublished
}

// recordLoaded records that an engine has loaded its weights. The other daemons receive
// this with the next claim.
func (l *leader) recordLoaded(e weights.Engine, model string, version int64) {
	update := weights.EngineUpdate{Engine: string(e.Key), Model: model, Version: version}
	l.mu.Lock()
	delete(l.loading, e.Key)
	l.unpublished = append(l.unpublished, update)
	l.mu.Unlock()
	l.router.log.Info("Engine has loaded its weights.", "endpoint", e.ID, "model", model, "version", version)
	l.router.dispatch.sendLoads([]weights.EngineUpdate{update})
	l.router.state.applyEngineUpdates(time.Now(), []weights.EngineUpdate{update})
}
