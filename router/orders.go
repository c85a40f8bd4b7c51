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

// Times of giving orders.
const (
	// leaseWait is how long a read of the lease waits for a record while there
	// is nothing to order.
	leaseWait = 20 * time.Second
	// leaseRelayWait is how long it waits for the daemon that reads for its zone. What
	// it knows is up to two waits old, and its neighbours leave it past leaseAge.
	leaseRelayWait = 10 * time.Second
	// leaseEvery is the least time between two reads of the lease, which every
	// daemon makes during a rollout. Requests that meet an engine which loads
	// meanwhile are turned away by it.
	leaseEvery = 1000 * time.Millisecond
	// orderTick is how often a holder looks for engines to order.
	orderTick = 100 * time.Millisecond
	// reportEvery is how often the holder asks an engine that loads whether it
	// is done. An engine's own entry tells it over a second later.
	reportEvery = 350 * time.Millisecond
	// contendStep lies between the claims of two daemons that could both give orders.
	// A claim is known everywhere within a tenth of a second after a calm time, and
	// within leaseEvery in a rollout. Of daemons that claim within that time all but one
	// call the store in vain.
	contendStep = 150 * time.Millisecond
	// contendMost bounds the time in which every daemon has claimed, and as long again
	// at random: the first ones may all be gone.
	contendMost = 3 * time.Second
	// claimPause, and as long again at random, lies between a claim that failed
	// and the next.
	claimPause = 400 * time.Millisecond
	reportTime = 500 * time.Millisecond
)

// leader gives orders while it holds the lease.
type leader struct {
	r     *Router
	lease *weights.Lease
	plans map[string]*weights.Plan

	mu      sync.Mutex // guards lease, plans, loading and untold
	loading map[fleet.EndpointID]loadingEngine
	untold  []weights.News // for the other daemons, with the next claim
	asked   time.Duration
	claimAt time.Duration // no claim before, after one that failed
	failed  int           // claims in a row
	since   time.Duration // when work was first seen; 0: none
	wait    time.Duration

	sub *subscription // of the lease; for follow alone
}

type loadingEngine struct {
	engine  weights.Engine
	model   string
	version int64
	until   time.Duration
}

// leadOrders follows the lease and, while some engine is behind, claims it and
// gives orders.
func (r *Router) leadOrders(ctx context.Context) {
	me := r.o.Settings.Name + "@" + r.o.Settings.CallerAddress
	l := &leader{
		r: r, lease: weights.NewLease(me, r.o.Settings.OrderLease),
		plans: map[string]*weights.Plan{}, loading: map[fleet.EndpointID]loadingEngine{},
		sub: &subscription{n: r.neighbours, topic: TopicLease},
	}
	go l.follow(ctx)
	for pause.Tick(ctx, orderTick) == nil {
		l.step(ctx)
	}
}

// follow reads the lease as it changes.
func (l *leader) follow(ctx context.Context) {
	l.r.neighbours.await(ctx)
	for ctx.Err() == nil {
		_ = pause.For(ctx, l.followOnce(ctx))
	}
}

// followOnce makes one read, through a neighbour or of the store, and returns the
// time until the next.
func (l *leader) followOnce(ctx context.Context) time.Duration {
	l.mu.Lock()
	from := l.lease.Next()
	l.mu.Unlock()
	got, confirmed, ok := l.sub.read(ctx, from, "")
	l.r.feeds[TopicLease].RecordProgress(l.sub.progress)
	l.r.feeds[TopicLease].SetDetached(l.sub.detached)
	if ok {
		var records [][]byte
		for _, r := range got.Records {
			records = append(records, r.Value)
		}
		l.sub.confirm(confirmed)
		l.take(from, records, got.Next, confirmed)
		return relayPause
	}
	if ctx.Err() != nil {
		return 0
	}
	if l.sub.rests() {
		return minPause
	}
	sent := l.r.clock()
	if err := l.readLease(ctx, from, l.storeWait()); err != nil {
		l.sub.failed()
		return leaseEvery + maxPause
	}
	l.sub.confirm(sent)
	l.sub.answered()
	l.r.feeds[TopicLease].SetDetached(false)
	return leaseEvery
}

// storeWait is how long a read of the lease waits for a record at the store.
func (l *leader) storeWait() time.Duration {
	switch {
	case !l.sub.some || l.sub.stale():
		return 0 // whoever reads through this daemon waits for it
	case l.r.neighbours.relays(TopicLease):
		return leaseRelayWait
	default:
		return leaseWait
	}
}

// readLease reads the lease at the store.
func (l *leader) readLease(ctx context.Context, from int64, wait time.Duration) error {
	call, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	sent := l.r.clock()
	records, end, err := l.r.o.Lease.LeaseRecords(call, from, wait)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lease.Gap(l.r.clock(), gone.First)
		return nil
	}
	if err != nil {
		return err
	}
	l.take(from, records, end, sent)
	return nil
}

// take folds records of the lease that begin at the offset, and keeps them for the
// neighbours. The log had no more than up to end when it was confirmed.
func (l *leader) take(from int64, records [][]byte, end int64, confirmed time.Duration) {
	b := feed.Batch{From: from, Next: from + int64(len(records)), Confirmed: confirmed}
	for i, r := range records {
		b.Records = append(b.Records, Record{Value: r, Offset: from + int64(i)})
	}
	b.Complete = b.Next >= end
	l.r.feeds[TopicLease].Add(b)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(records) == 0 && end > from {
		l.lease.Gap(l.r.clock(), end)
	}
	before := l.lease.Holder()
	claims := l.lease.Observe(l.r.clock(), from, records)
	if after := l.lease.Holder(); after != before {
		l.r.log.Info("Lease of orders changed hands.", "holder", after, "offset", l.lease.Next()-1)
	}
	for _, c := range claims {
		l.r.s.news(time.Now(), c.News)
		l.r.s.namedAt(l.r.clock(), time.Now(), c.Named)
	}
}

// step gives the orders that are due.
func (l *leader) step(ctx context.Context) {
	behind := l.behind()
	now := l.r.clock()
	if len(behind) == 0 {
		l.since = 0
		l.finishLoads(ctx, now)
		if len(l.told()) > 0 {
			l.claim(ctx, nil)
		}
		return
	}
	if l.since == 0 {
		l.since, l.wait = now, l.r.contendAfter(l.holds())
	}
	l.mu.Lock()
	due := max(l.since, l.lease.FreeFrom()) + l.wait
	l.mu.Unlock()
	if now < due || l.r.leaving.Load() {
		return
	}
	l.finishLoads(ctx, now)
	for _, model := range behind {
		l.order(ctx, model, l.r.s.engines(time.Now(), l.r.clock(), l.r.o.Settings.VersionWithin, model))
	}
}

// holds tells whether the newest claim is this daemon's.
func (l *leader) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Holder() == l.lease.Me()
}

// contendAfter is how long after the others could this daemon claims the lease of
// orders. The one that gave orders last goes on at once; the others follow in an order
// that all of them know.
func (r *Router) contendAfter(holds bool) time.Duration {
	if holds {
		return 0
	}
	before, _ := r.neighbours.place("orders") // nobody known: nobody to wait for
	if wait := time.Duration(before) * contendStep; wait < contendMost {
		return wait
	}
	return contendMost + time.Duration(r.placer.fraction()*float64(contendMost))
}

// behind lists the models of which some engines have older weights than named.
func (l *leader) behind() []string {
	var out []string
	for model, n := range l.r.s.namedVersions() {
		if l.r.s.behind(model, n.newest()) {
			out = append(out, model)
		}
	}
	return out
}

// order gives the orders of one model.
func (l *leader) order(ctx context.Context, model string, engines []weights.Engine) {
	version := l.r.s.namedVersions()[model].newest()
	l.mu.Lock()
	plan := l.plans[model]
	if plan == nil {
		plan = weights.NewPlan()
		l.plans[model] = plan
	}
	next := plan.Next(l.r.clock(), engines, version)
	renew := l.lease.RenewDue(l.r.clock())
	l.mu.Unlock()
	if len(next) == 0 && !renew && len(l.told()) == 0 {
		return
	}
	// The claim goes first: it proves the lease and tells the other daemons to
	// send nothing to the engines that are about to load.
	var news []weights.News
	for _, e := range next {
		news = append(news, weights.News{Engine: string(e.Key), Model: model, Version: version, Loading: true})
	}
	if !l.claim(ctx, news) {
		return
	}
	l.r.s.news(time.Now(), news)
	l.r.dispatch.tellLoads(news)
	var all sync.WaitGroup
	for _, e := range next {
		all.Add(1)
		go func() {
			defer all.Done()
			l.orderOne(ctx, plan, e, model, version)
		}()
	}
	all.Wait()
}

// claim appends a claim of the lease with news for the other daemons.
func (l *leader) claim(ctx context.Context, news []weights.News) bool {
	if l.r.clock() < l.claimAt {
		return false
	}
	l.mu.Lock()
	at := l.lease.Next()
	told := l.untold
	c, ok := l.lease.Claim(l.r.clock(), weights.Claim{
		Nonce: l.r.placer.number(),
		News:  append(told[:len(told):len(told)], news...),
		Named: l.r.s.namedSince(l.r.clock(), time.Now()),
	})
	l.mu.Unlock()
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	sent, record := l.r.clock(), c.Encode()
	err := l.r.o.Lease.AppendLease(call, at, record)
	var lost *LostRaceError
	switch {
	case err == nil:
		l.failed = 0
		l.mu.Lock()
		defer l.mu.Unlock()
		l.untold = l.untold[len(told):]
		if l.lease.Next() == at {
			l.lease.Granted(l.r.clock())
			// Neighbours that read through this daemon would find a gap otherwise, and
			// all turn to the store.
			l.r.feeds[TopicLease].Add(feed.Batch{
				From: at, Records: []Record{{Value: record, Offset: at}}, Next: at + 1, Complete: true, Confirmed: sent,
			})
		}
		return l.lease.Held(l.r.clock())
	case errors.As(err, &lost):
		// Somebody was first. Read who.
		_ = l.readLease(ctx, at, 0)
		return false
	default:
		l.claimFailed(err)
	}
	// It may have been appended all the same: the read shows it. A store that
	// loses many answers would otherwise keep every daemon from giving orders.
	if err := l.readLease(ctx, at, 0); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lease.Held(l.r.clock()) || !l.lease.Answered() {
		return false
	}
	l.untold = l.untold[len(told):]
	return true
}

// claimFailed keeps the daemon from claiming again at once. The store turns away
// what passes its rates, and a daemon that asks ten times a second takes them
// from the others.
func (l *leader) claimFailed(err error) {
	if l.failed == 0 {
		l.r.log.Warn("Lease of orders can't be claimed.", "error", err.Error())
	}
	l.failed++
	l.claimAt = l.r.clock() + claimPause + time.Duration(l.r.placer.fraction()*float64(claimPause))
}

// orderOne asks an engine for its count of orders and orders it.
func (l *leader) orderOne(ctx context.Context, plan *weights.Plan, e weights.Engine, model string, version int64) {
	call, cancel := context.WithTimeout(ctx, reportTime)
	report, err := l.r.o.Engines.Report(call, e.Target, model)
	cancel()
	reply := weights.Refused
	switch {
	case err != nil:
		l.r.log.Warn("Engine can't be asked.", "endpoint", e.ID, "error", err.Error())
	case report.Version >= version:
		l.done(e, model, report.Version)
		return
	case report.Busy:
		reply = weights.Accepted
	default:
		reply = l.send(ctx, e, model, version, report.Orders)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.r.clock()
	plan.Replied(now, e.Key, version, reply)
	if reply == weights.Accepted || reply == weights.Unanswered {
		l.loading[e.Key] = loadingEngine{engine: e, model: model, version: version, until: now + loadingNews}
	}
}

// send gives the order if the lease outlives its longest way.
func (l *leader) send(ctx context.Context, e weights.Engine, model string, version, expected int64) weights.Reply {
	l.mu.Lock()
	held, token, me := l.lease.Held(l.r.clock()), l.lease.Token(), l.lease.Me()
	l.mu.Unlock()
	if !held {
		return weights.Refused
	}
	call, cancel := context.WithTimeout(ctx, weights.OrderTime)
	defer cancel()
	reply, err := l.r.o.Engines.Order(call, e.Target, weights.Order{
		Model: model, Version: version, Running: weights.FinishFirst, Holder: me, Token: token, Expected: expected,
	})
	fields := []any{"endpoint", e.ID, "model", model, "version", version, "token", token, "expected", expected, "reply", reply.String()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	l.r.log.Info("Order was given.", fields...)
	l.r.metrics.orders.Inc(1)
	return reply
}

// finishLoads asks the engines that load whether they are done.
func (l *leader) finishLoads(ctx context.Context, now time.Duration) {
	if now-l.asked < reportEvery {
		return
	}
	l.asked = now
	var all sync.WaitGroup
	for _, e := range l.loads(now) {
		all.Add(1)
		go func() {
			defer all.Done()
			call, cancel := context.WithTimeout(ctx, reportTime)
			defer cancel()
			report, err := l.r.o.Engines.Report(call, e.engine.Target, e.model)
			if err == nil && !report.Busy && report.Version >= e.version {
				l.done(e.engine, e.model, report.Version)
			}
		}()
	}
	all.Wait()
}

// loads lists the engines that were ordered and are not known to be done.
func (l *leader) loads(now time.Duration) []loadingEngine {
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

// told is what the other daemons have not heard yet.
func (l *leader) told() []weights.News {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.untold
}

// done takes that an engine has its new weights. The other daemons hear of it
// with the next claim.
func (l *leader) done(e weights.Engine, model string, version int64) {
	news := weights.News{Engine: string(e.Key), Model: model, Version: version}
	l.mu.Lock()
	delete(l.loading, e.Key)
	l.untold = append(l.untold, news)
	l.mu.Unlock()
	l.r.log.Info("Engine has its weights.", "endpoint", e.ID, "model", model, "version", version)
	l.r.dispatch.tellLoads([]weights.News{news})
	l.r.s.news(time.Now(), []weights.News{news})
}
