package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/internal/pause"
)

// Intervals and timeouts for following the store.
const (
	// operatorReadFraction is how long a read of the operator topic waits for a record,
	// as a fraction of Settings.RevokeWithin. Each answer confirms the keys again.
	// Frequent reads load the store, but keys must still be fresh when one read is lost
	// and the next one is answered.
	operatorReadFraction = 0.3
	// answerTimeout is how long a read may take in addition to its wait. Answers
	// usually take a few milliseconds; a connection that went silent is detected only
	// by this timeout.
	answerTimeout = 900 * time.Millisecond
	// endpointsReadFraction is the interval between reads of the list of endpoints, as
	// a fraction of Settings.DrainWithin. The list changes constantly, so a read that
	// waited for a change would return at once.
	endpointsReadFraction = 0.45
	// relayEndpointsReadFraction is the same for the daemon that reads for its zone. It
	// is shorter, so that what that daemon relays is not too old for the others before
	// its next read.
	relayEndpointsReadFraction = 0.36
	// minRetryPause and maxRetryPause bound the time between a failed read and the next
	// one.
	minRetryPause = 60 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// storeBackoffPerDaemon is how long a daemon that reads through neighbours does not
	// call the store after a failed read, for each daemon of its zone, plus or minus
	// one half. The daemon that reads for the zone therefore detects first that the
	// store is back, and the calls of a zone do not grow with its number of daemons.
	storeBackoffPerDaemon = 100 * time.Millisecond
)

// errStoreBackoff is returned while the store is not called because a read failed or
// because neighbours that are starting will soon have the data.
var errStoreBackoff = errors.New("router: the store is not called during a backoff")

// follower reads one topic of the store, directly or through neighbours.
type follower struct {
	router       *Router
	subscription *subscription
	next         int64
	complete     bool
	fullRead     *fullRead // in progress; nil: none
	// restored reports that the store was restored from a copy since the last full read,
	// so that the next one may find older records than those that were applied.
	restored bool
	// apply applies a record. It returns the record as relayed to neighbours, and
	// whether it differs from the previous one.
	apply         func(Record) (relayed Record, changed bool)
	answeredReads int
	failedReads   int // consecutive failures
	// knownAt is the latest time on the boot clock at which this daemon had all
	// records.
	knownAt time.Duration
	// onSnapshot, if set, is called with the keys present after a full read.
	onSnapshot func(present map[string]bool)
	// relayed reports whether the last answer came from a neighbour.
	relayed bool
}

func (r *Router) newFollower(t Topic) *follower {
	return &follower{router: r, subscription: &subscription{neighbours: r.neighbours, topic: t}}
}

func (f *follower) feed() *feed.Feed { return f.router.feeds[f.subscription.topic] }

// readResult is the outcome of a successful read.
type readResult struct {
	more  bool // more records are available already
	newer bool // the store confirmed the complete state at a later time than before
}

// read makes one read, through a neighbour or from the store itself, and applies the
// result.
func (f *follower) read(ctx context.Context, wait time.Duration) (readResult, error) {
	from, after := f.next, ""
	if f.needsFullRead() {
		from, after = -1, f.pageAfter(true)
	}
	got, confirmed, ok := f.subscription.read(ctx, from, after)
	f.feed().RecordProgress(f.subscription.progress)
	f.feed().SetDetached(f.subscription.detached)
	f.relayed = ok
	switch {
	case ok && got.Snapshot:
		return f.applyPage(after, confirmed, Page{Records: got.Records, End: got.Next, More: got.More})
	case ok:
		return f.applyBatch(feed.Batch{From: f.next, Records: got.Records, Next: got.Next, Complete: !got.More, Confirmed: confirmed}), nil
	case ctx.Err() != nil:
		return readResult{}, ctx.Err() // the request was cancelled, no neighbour is at fault
	case f.subscription.storeBackedOff():
		return readResult{}, errStoreBackoff
	}
	return f.readStore(ctx, wait)
}

// readStore makes one read from the store. A full read has a timeout for each page but
// none in total, as it would otherwise never finish over a slow link.
func (f *follower) readStore(ctx context.Context, wait time.Duration) (readResult, error) {
	sent := f.router.clock()
	if f.needsFullRead() {
		pageCtx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		after := f.pageAfter(false)
		page, err := f.router.options.Store.Newest(pageCtx, f.subscription.topic, after)
		if err != nil {
			return readResult{}, err
		}
		f.answered()
		f.feed().RecordProgress(f.router.clock())
		return f.applyPage(after, sent, page)
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	got, err := f.router.options.Store.Read(readCtx, f.subscription.topic, f.next, wait)
	var truncated *HistoryTruncatedError
	if errors.As(err, &truncated) {
		f.complete = false
		f.subscription.generation = max(f.subscription.generation, feed.Generation(truncated.First))
		f.router.log.Info("History of the store is no longer kept, reading the newest record of each key.",
			"topic", f.subscription.topic.String(), "generation", feed.Generation(f.next), "next", feed.Position(f.next))
		return readResult{more: true}, nil
	}
	if err != nil {
		return readResult{}, err
	}
	f.answered()
	return f.applyBatch(feed.Batch{From: got.From, Records: got.Records, Next: got.Next, Complete: got.End <= got.Next, Confirmed: sent}), nil
}

// answered records that the store itself answered.
func (f *follower) answered() {
	f.subscription.answered()
	f.feed().SetDetached(false)
}

// applyBatch applies the records that follow the previous read.
func (f *follower) applyBatch(b feed.Batch) readResult {
	b.Records = f.applyRecords(b.Records)
	return f.publish(b)
}

// applyRecords applies records and returns those that neighbours need.
func (f *follower) applyRecords(records []Record) []Record {
	var relayed []Record
	for _, record := range records {
		if record, changed := f.apply(record); changed {
			relayed = append(relayed, record)
		}
	}
	return relayed
}

// publish adds a batch to the feed that neighbours read, and records the progress of
// the read.
func (f *follower) publish(b feed.Batch) readResult {
	until := f.router.clock()
	if f.relayed || b.Snapshot {
		until = b.Confirmed
	}
	f.knownAt = max(f.knownAt, until)
	f.feed().Add(b)
	f.next, f.complete = b.Next, true
	f.subscription.generation = max(f.subscription.generation, feed.Generation(b.Next))
	f.router.generation.Store(f.subscription.generation)
	f.answeredReads++
	return readResult{more: !b.Complete, newer: b.Complete && f.subscription.confirm(b.Confirmed)}
}

// undetectedFor returns how long ago a change that a read reveals may have happened. It
// is zero after failed reads: entries lapse while the store is unavailable, and their
// grace period begins only when the store is back.
func (f *follower) undetectedFor() time.Duration {
	if f.failedReads > 0 || f.answeredReads == 0 {
		return 0
	}
	return max(0, f.router.clock()-f.knownAt)
}

// logStoreState counts a failed read, and logs when the store becomes unavailable and
// when it answers again.
func (f *follower) logStoreState(err error) {
	if err == nil {
		if f.failedReads > 0 {
			f.router.log.Info("Store answers again.", "topic", f.subscription.topic.String(), "failed_reads", f.failedReads)
		}
		f.failedReads = 0
		return
	}
	if errors.Is(err, errStoreBackoff) || errors.Is(err, context.Canceled) {
		return // not a failure, or logged with the failed read before it
	}
	f.subscription.failed()
	if f.failedReads == 0 {
		f.router.log.Warn("Store cannot be read.", "topic", f.subscription.topic.String(), "error", err.Error())
	}
	f.failedReads++
	f.router.metrics.storeFailures.Inc(1)
}

// pauseAfterFailure waits a random time after a failed read, so that daemons that lost
// the store together do not all call it again at the same time.
func (f *follower) pauseAfterFailure(ctx context.Context) {
	maxJitter := min(minRetryPause<<min(f.failedReads, 4), maxRetryPause)
	if f.subscription.storeBackedOff() {
		maxJitter = 0 // only neighbours are asked meanwhile
	}
	_ = pause.For(ctx, minRetryPause+time.Duration(rand.Float64()*float64(maxJitter)))
}

// followOperator maintains the configuration and the named weight versions.
func (r *Router) followOperator(ctx context.Context) {
	f := r.newFollower(TopicOperator)
	f.apply = func(record Record) (Record, bool) {
		r.operatorRecord(record, !f.complete && f.answeredReads == 0, f.undetectedFor())
		return record, true
	}
	r.neighbours.awaitList(ctx)
	for ctx.Err() == nil {
		p, err := f.read(ctx, f.operatorWait())
		f.logStoreState(err)
		if err != nil {
			f.pauseAfterFailure(ctx)
			continue
		}
		if p.newer {
			r.state.operator.RecordAnswer(f.subscription.confirmed, r.clock())
		}
	}
}

// operatorWait returns how long a read from the store waits for a record. The wait is
// zero if the keys are already out of date or the last read failed, so that they are
// confirmed first.
func (f *follower) operatorWait() time.Duration {
	set := &f.router.options.Settings
	switch {
	case f.failedReads > 0 || f.subscription.stale():
		return 0
	case f.router.neighbours.relays(TopicOperator):
		return time.Duration(relayStoreWaitFraction * float64(set.ConfigWithin))
	default:
		return time.Duration(operatorReadFraction * float64(set.RevokeWithin))
	}
}

// newEndpointsFollower returns the follower of the entries of endpoints.
func (r *Router) newEndpointsFollower() *follower {
	f := r.newFollower(TopicEndpoints)
	f.apply = func(record Record) (Record, bool) {
		return r.endpointRecord(record, &recordSource{
			relayed: f.relayed, unseen: f.undetectedFor(), fullRead: f.fullRead != nil, restored: f.restored,
		})
	}
	f.onSnapshot = func(present map[string]bool) {
		r.log.Info("Endpoints were read.", "endpoints", len(present), "through_neighbour", f.relayed)
		r.endpointsPresent(present, f.undetectedFor(), f.restored)
	}
	return f
}

// followEndpoints maintains the list of endpoints.
func (r *Router) followEndpoints(ctx context.Context) {
	r.pollTopic(ctx, r.newEndpointsFollower(), r.origins.listWanted)
}

// pollTopic reads a topic that changes constantly. A value on wanted interrupts a pause, or a
// read through a neighbour, for a read from the store.
func (r *Router) pollTopic(ctx context.Context, f *follower, wanted <-chan struct{}) {
	r.neighbours.awaitList(ctx)
	now := false // read from the store itself
	for ctx.Err() == nil {
		var p readResult
		var err error
		if now && f.mayReadNow() {
			now = false
			if p, err = f.readNow(ctx); err != nil {
				continue // the usual reads tell whether the store is lost
			}
		} else if p, now, err = f.readUnlessWanted(ctx, wanted); now {
			continue
		}
		f.logStoreState(err)
		if err != nil {
			f.pauseAfterFailure(ctx)
			continue
		}
		if p.newer {
			r.state.endpoints.RecordAnswer(f.subscription.confirmed, r.clock())
			r.origins.listed(f.subscription.confirmed)
		}
		if p.more {
			continue
		}
		now, _ = pause.Unless(ctx, f.endpointsPause(), wanted)
	}
}

// mayReadNow reports whether a read from the store may come before the usual one. It must not
// repeat a full read, nor be tried while the store is lost.
func (f *follower) mayReadNow() bool {
	return !f.needsFullRead() && f.failedReads == 0 && !f.subscription.storeBackedOff()
}

// readNow makes one read from the store for as long as it is of use to what wanted it.
func (f *follower) readNow(ctx context.Context) (readResult, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	relayed := f.relayed
	f.relayed = false
	p, err := f.readStore(ctx, 0)
	f.relayed = relayed
	return p, err
}

// readUnlessWanted makes one read. It ends early, with interrupted set, if a value is received
// from wanted during a read through neighbours.
func (f *follower) readUnlessWanted(ctx context.Context, wanted <-chan struct{}) (p readResult, interrupted bool, err error) {
	if !f.relayed || !f.mayReadNow() {
		p, err = f.read(ctx, 0)
		return p, false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var received atomic.Bool
	var waiting sync.WaitGroup
	waiting.Go(func() {
		select {
		case <-wanted:
			received.Store(true)
			cancel()
		case <-ctx.Done():
		}
	})
	p, err = f.read(ctx, 0)
	cancel()
	waiting.Wait()
	return p, received.Load() && err != nil, err
}

// endpointsPause returns the time between two reads of the list of endpoints.
func (f *follower) endpointsPause() time.Duration {
	within := float64(f.router.options.Settings.DrainWithin)
	switch {
	case f.relayed:
		return relayPause
	case f.router.neighbours.relays(TopicEndpoints):
		return time.Duration(relayEndpointsReadFraction * within)
	default:
		return time.Duration(endpointsReadFraction * within)
	}
}

// operatorRecord applies a configuration or a named weight version. Neither is ever
// replaced by an older one, as records may be repeated or rewritten. first reports
// whether the record existed when the daemon started; unseen is how long before now it
// may have been written.
func (r *Router) operatorRecord(record Record, first bool, unseen time.Duration) {
	if len(record.Value) == 0 {
		return
	}
	change, err := r.options.Codec.Operator(record.Key, record.Value)
	if err != nil {
		r.log.Error("Operator record cannot be decoded, the previous one stays in force.",
			"key", record.Key, "offset", feed.Position(record.Offset), "error", err.Error())
		return
	}
	if t := change.Table; t != nil {
		if old := r.state.table.Load(); old != nil && old.Version >= t.Version {
			return
		}
		r.state.table.Store(t)
		r.limits.setLimits(t)
		r.placer.admission.setConfiguration(t)
		r.log.Info("Configuration is in force.", "version", t.Version, "offset", feed.Position(record.Offset),
			"routes", len(t.Routes), "services", len(t.Services), "keys", len(t.Organisations))
		return
	}
	if change.Model == "" {
		return
	}
	// A waiting read may return the record a second late. If the time were counted from
	// the read, requests would begin on the previous weights after their bound.
	n := namedVersion{version: change.Weights, since: r.clock() - unseen}
	if first {
		n.since -= time.Duration(guessedAgeFraction * float64(r.options.Settings.VersionWithin))
		n.guessed = true
	}
	if !r.state.addNamed(change.Model, n) {
		return
	}
	r.log.Info("New weight version is named.", "model", change.Model, "version", change.Weights, "offset", feed.Position(record.Offset), "unseen_ms", unseen.Milliseconds())
}

// endpointsPresent removes the endpoints that are missing from a full read. If the store
// was restored, they are used for a while longer, as those that run register again.
func (r *Router) endpointsPresent(present map[string]bool, unseen time.Duration, restored bool) {
	now := time.Now()
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	var missing []string
	if restored {
		missing = r.state.roster.RetainRestored(now, present)
	} else {
		missing = r.state.roster.Retain(now, now.Add(-unseen), present)
	}
	for _, id := range missing {
		r.log.Info("Endpoint's entry is missing from a full read.", "endpoint", id, "unseen_ms", unseen.Milliseconds())
	}
}

// recordSource describes the read that returned a record.
type recordSource struct {
	relayed  bool          // a neighbour answered it
	unseen   time.Duration // how long before now the record may have changed
	fullRead bool
	restored bool // the full read follows a restore of the store from a copy
}

// endpointRecord applies an entry of an endpoint. It returns the record as relayed to
// neighbours, and whether it differs from the previous one. Changed entries that are part
// of a full read are not logged.
func (r *Router) endpointRecord(record Record, by *recordSource) (Record, bool) {
	now := time.Now()
	since := now.Add(-by.unseen)
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if len(record.Value) == 0 {
		if r.state.roster.Remove(now, since, record.Key) {
			r.log.Info("Endpoint's entry was removed.", "endpoint", record.Key, "offset", feed.Position(record.Offset), "unseen_ms", by.unseen.Milliseconds())
		}
		return record, true
	}
	decode := r.options.Codec.Endpoint
	if by.relayed {
		decode = directory.DecodeEntry
	}
	entry, err := decode(record.Key, record.Value)
	if err != nil {
		r.state.roster.Remove(now, since, record.Key)
		if write, suppressed := r.unusableLog.allow(now); write {
			r.log.Warn("Endpoint entry is not usable.", "endpoint", record.Key, "offset", feed.Position(record.Offset), "error", err.Error(), "suppressed", suppressed)
		}
		record.Value = nil
		return record, true
	}
	var change directory.PutResult
	if by.restored {
		change = r.state.roster.PutRestored(now, entry)
	} else {
		change = r.state.roster.Put(entry)
	}
	if change == directory.RoutingChanged && !by.fullRead {
		r.logEndpointChange(now, &entry, feed.Position(record.Offset))
	}
	changed := change != directory.HeartbeatOnly
	if !by.relayed && (changed || by.fullRead) {
		record.Value = entry.Append(nil)
	}
	return record, changed
}

// logEndpointChange logs a changed endpoint. When thousands register within seconds,
// only the first ready endpoints of each second are logged and the others counted.
func (r *Router) logEndpointChange(now time.Time, entry *directory.Entry, offset int64) {
	if entry.State == directory.Ready {
		write, suppressed := r.endpointLog.allow(now)
		if suppressed > 0 {
			r.log.Info("Log lines of ready endpoints that changed were suppressed.", "endpoints", suppressed)
		}
		if !write {
			return
		}
	}
	r.log.Info("Endpoint changed.", "endpoint", entry.ID, "born", entry.Born, "service", entry.Service, "build", entry.Build,
		"state", int(entry.State), "zone", string(entry.Zone), "offset", offset)
}
