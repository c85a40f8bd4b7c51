package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/internal/pause"
)

// Times of following the store.
const (
	// operatorPart is how long a read of the operator's topic waits for a
	// record, as a part of Settings.RevokeWithin. Each answer confirms the keys
	// anew. Calls cost; but keys must still be fresh when a read was lost and
	// the next one answered.
	operatorPart = 0.3
	// answerTime is what a read may take beyond its wait. Answers usually take
	// a few milliseconds; a connection that fell silent shows only by this.
	answerTime = 900 * time.Millisecond
	// endpointsPart is how often the list of endpoints is read, as a part of
	// Settings.DrainWithin. The list changes all the time, so a read that waited
	// for a change would return at once.
	endpointsPart = 0.45
	// relayEndpointsPart is that part for the daemon that reads for its zone, so that
	// what it passes on is not too old for the others before the next read.
	relayEndpointsPart = 0.36
	// minPause and maxPause bound the time between a failed read and the next.
	minPause = 60 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// restEach is how long a daemon that reads through neighbours leaves the store
	// alone after a failed read, for each daemon of its zone, give or take a half. The
	// daemon that reads for the zone finds the store again first, and the calls of a zone
	// do not grow with its daemons.
	restEach = 100 * time.Millisecond
)

// errResting says that the store is left alone: a read failed, or neighbours that
// start will know soon.
var errResting = errors.New("router: the store is left alone for now")

// follower reads one topic.
type follower struct {
	r      *Router
	sub    *subscription
	next   int64
	loaded bool
	load   *load // of everything, that is under way; nil: none
	// apply takes a record. It returns what neighbours are told of it, and whether it
	// says more than the one before it.
	apply  func(Record) (told Record, more bool)
	reads  int // answered
	failed int // reads of the store in a row
	// known is until when, by the boot clock, the newest answer tells all there was.
	known time.Duration
	// snapshot, if set, takes the keys of a read of everything.
	snapshot func(present map[string]bool)
	// relayed says that the newest answer came from a neighbour.
	relayed bool
}

func (r *Router) newFollower(t Topic) *follower {
	return &follower{r: r, sub: &subscription{n: r.neighbours, topic: t}}
}

func (f *follower) feed() *feed.Feed { return f.r.feeds[f.sub.topic] }

// progress is what a read brought.
type progress struct {
	more  bool // more is there already
	newer bool // the store confirmed that this is all at a later time than before
}

// read makes one read, through a neighbour or of the store itself, and applies it.
func (f *follower) read(ctx context.Context, wait time.Duration) (progress, error) {
	from, after := f.next, ""
	if f.loading() {
		from, after = -1, f.pageAfter(true)
	}
	got, confirmed, ok := f.sub.read(ctx, from, after)
	f.feed().RecordProgress(f.sub.progress)
	f.feed().SetDetached(f.sub.detached)
	f.relayed = ok
	switch {
	case ok && got.Snapshot:
		return f.takePage(after, confirmed, Page{Records: got.Records, End: got.Next, More: got.More}), nil
	case ok:
		return f.take(feed.Batch{From: f.next, Records: got.Records, Next: got.Next, Complete: !got.More, Confirmed: confirmed}), nil
	case ctx.Err() != nil:
		return progress{}, ctx.Err() // the question was cut off, no neighbour is at fault
	case f.sub.rests():
		return progress{}, errResting
	}
	return f.readStore(ctx, wait)
}

// readStore makes one read of the store. A read of everything has a time for each page
// and none for all: a small link would otherwise never get to the end.
func (f *follower) readStore(ctx context.Context, wait time.Duration) (progress, error) {
	sent := f.r.clock()
	if f.loading() {
		call, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		after := f.pageAfter(false)
		page, err := f.r.o.Store.Newest(call, f.sub.topic, after)
		if err != nil {
			return progress{}, err
		}
		f.answered()
		f.feed().RecordProgress(f.r.clock())
		return f.takePage(after, sent, page), nil
	}
	call, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	got, err := f.r.o.Store.Read(call, f.sub.topic, f.next, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.loaded = false
		f.r.log.Info("History of the store is gone, reading the newest of each key.", "topic", f.sub.topic.String(), "next", f.next)
		return progress{more: true}, nil
	}
	if err != nil {
		return progress{}, err
	}
	f.answered()
	return f.take(feed.Batch{From: f.next, Records: got.Records, Next: got.Next, Complete: got.End <= got.Next, Confirmed: sent}), nil
}

// answered takes that the store itself answered.
func (f *follower) answered() {
	f.sub.answered()
	f.feed().SetDetached(false)
}

// take applies the records since the read before.
func (f *follower) take(b feed.Batch) progress {
	b.Records = f.fold(b.Records)
	return f.finish(b)
}

// fold applies records and returns those that neighbours need.
func (f *follower) fold(records []Record) []Record {
	var told []Record
	for _, record := range records {
		if record, more := f.apply(record); more {
			told = append(told, record)
		}
	}
	return told
}

// finish keeps what a read brought for the neighbours.
func (f *follower) finish(b feed.Batch) progress {
	until := f.r.clock()
	if f.relayed || b.Snapshot {
		until = b.Confirmed
	}
	f.known = max(f.known, until)
	f.feed().Add(b)
	f.next, f.loaded = b.Next, true
	f.reads++
	return progress{more: !b.Complete, newer: b.Complete && f.sub.confirm(b.Confirmed)}
}

// unseen is how long the topic may have been otherwise than this daemon knew,
// when a read shows it. After failed reads it is zero: entries lapse while the
// store is away, and nothing but the return of the store begins their time.
func (f *follower) unseen() time.Duration {
	if f.failed > 0 || f.reads == 0 {
		return 0
	}
	return max(0, f.r.clock()-f.known)
}

// note logs that the store was lost or is back.
func (f *follower) note(err error) {
	if err == nil {
		if f.failed > 0 {
			f.r.log.Info("Store answers again.", "topic", f.sub.topic.String(), "failed_reads", f.failed)
		}
		f.failed = 0
		return
	}
	if errors.Is(err, errResting) || errors.Is(err, context.Canceled) {
		return // nothing failed, or the failed read before it was logged
	}
	f.sub.failed()
	if f.failed == 0 {
		f.r.log.Warn("Store can't be read.", "topic", f.sub.topic.String(), "error", err.Error())
	}
	f.failed++
	f.r.metrics.storeFailures.Inc(1)
}

// pauseAfter spreads the reads that follow a failed one: daemons that lost the
// store together would otherwise come back to it together.
func (f *follower) pauseAfter(ctx context.Context) {
	longest := min(minPause<<min(f.failed, 4), maxPause)
	if f.sub.rests() {
		longest = 0 // only neighbours are asked meanwhile
	}
	_ = pause.For(ctx, minPause+time.Duration(rand.Float64()*float64(longest)))
}

// followOperator keeps the configuration and the named versions.
func (r *Router) followOperator(ctx context.Context) {
	f := r.newFollower(TopicOperator)
	f.apply = func(record Record) (Record, bool) {
		r.operatorRecord(record, !f.loaded && f.reads == 0, f.unseen())
		return record, true
	}
	r.neighbours.await(ctx)
	for ctx.Err() == nil {
		p, err := f.read(ctx, f.operatorWait())
		f.note(err)
		if err != nil {
			f.pauseAfter(ctx)
			continue
		}
		if p.newer {
			r.s.operator.RecordAnswer(f.sub.confirmed, r.clock())
		}
	}
}

// operatorWait is how long a read of the store waits for a record. Keys that are old
// already are confirmed first.
func (f *follower) operatorWait() time.Duration {
	set := &f.r.o.Settings
	switch {
	case f.failed > 0 || f.sub.stale():
		return 0
	case f.r.neighbours.relays(TopicOperator):
		return time.Duration(relayWaitPart * float64(set.ConfigWithin))
	default:
		return time.Duration(operatorPart * float64(set.RevokeWithin))
	}
}

// newEndpointsFollower returns the follower of the endpoints' entries.
func (r *Router) newEndpointsFollower() *follower {
	f := r.newFollower(TopicEndpoints)
	f.apply = func(record Record) (Record, bool) {
		return r.endpointRecord(record, f.relayed, f.unseen(), f.load != nil)
	}
	f.snapshot = func(present map[string]bool) {
		r.log.Info("Endpoints were read.", "endpoints", len(present), "through_neighbour", f.relayed)
		r.endpointsPresent(present, f.unseen())
	}
	return f
}

// followEndpoints keeps the list of endpoints.
func (r *Router) followEndpoints(ctx context.Context) {
	r.keepReading(ctx, r.newEndpointsFollower())
}

// keepReading reads a topic that changes all the time.
func (r *Router) keepReading(ctx context.Context, f *follower) {
	r.neighbours.await(ctx)
	for ctx.Err() == nil {
		p, err := f.read(ctx, 0)
		f.note(err)
		if err != nil {
			f.pauseAfter(ctx)
			continue
		}
		if p.newer {
			r.s.endpoints.RecordAnswer(f.sub.confirmed, r.clock())
		}
		if p.more {
			continue
		}
		_ = pause.For(ctx, f.endpointsPause())
	}
}

// endpointsPause is the time from a read to the next.
func (f *follower) endpointsPause() time.Duration {
	within := float64(f.r.o.Settings.DrainWithin)
	switch {
	case f.relayed:
		return relayPause
	case f.r.neighbours.relays(TopicEndpoints):
		return time.Duration(relayEndpointsPart * within)
	default:
		return time.Duration(endpointsPart * within)
	}
}

// operatorRecord puts a configuration or a version into force. Neither ever
// goes back: records may be repeated or rewritten. first says that the record
// was there when the daemon started, unseen how long before now it may have been
// written.
func (r *Router) operatorRecord(record Record, first bool, unseen time.Duration) {
	if len(record.Value) == 0 {
		return
	}
	change, err := r.o.Codec.Operator(record.Key, record.Value)
	if err != nil {
		r.log.Error("Record of the operator can't be read, the one before stays in force.",
			"key", record.Key, "offset", record.Offset, "error", err.Error())
		return
	}
	if t := change.Table; t != nil {
		if old := r.s.table.Load(); old != nil && old.Version >= t.Version {
			return
		}
		r.s.table.Store(t)
		r.limits.setLimits(t)
		r.log.Info("Configuration is in force.", "version", t.Version, "offset", record.Offset,
			"routes", len(t.Routes), "services", len(t.Services), "keys", len(t.Organisations))
		return
	}
	if change.Model == "" {
		return
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if r.s.named[change.Model].newest() >= change.Weights {
		return
	}
	// A read that waits may bring the record a second late. Counted from the reading,
	// requests would begin on the weights before it past their bound.
	n := naming{version: change.Weights, since: r.clock() - unseen}
	if first {
		n.since -= time.Duration(guessAge * float64(r.o.Settings.VersionWithin))
		n.guessed = true
	}
	r.s.named[change.Model] = r.s.named[change.Model].add(n)
	r.log.Info("Weights are named.", "model", change.Model, "version", change.Weights, "offset", record.Offset, "unseen_ms", unseen.Milliseconds())
}

// endpointsPresent drops the endpoints that a read of all entries does not name.
func (r *Router) endpointsPresent(present map[string]bool, unseen time.Duration) {
	now := time.Now()
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for _, id := range r.s.roster.Retain(now, now.Add(-unseen), present) {
		r.log.Info("Endpoint's entry is missing.", "endpoint", id, "unseen_ms", unseen.Milliseconds())
	}
}

// endpointRecord folds an entry of an endpoint, and returns it as neighbours are told
// of it and whether it says more than the one before it. unseen is how long before now
// it may have changed. One of many has no line of its own.
func (r *Router) endpointRecord(record Record, relayed bool, unseen time.Duration, oneOfMany bool) (Record, bool) {
	now := time.Now()
	since := now.Add(-unseen)
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if len(record.Value) == 0 {
		if r.s.roster.Remove(now, since, record.Key) {
			r.log.Info("Endpoint's entry is gone.", "endpoint", record.Key, "offset", record.Offset, "unseen_ms", unseen.Milliseconds())
		}
		return record, true
	}
	decode := r.o.Codec.Endpoint
	if relayed {
		decode = directory.DecodeEntry
	}
	entry, err := decode(record.Key, record.Value)
	if err != nil {
		r.s.roster.Remove(now, since, record.Key)
		r.log.Warn("Entry names no endpoint that can be used.", "endpoint", record.Key, "offset", record.Offset, "error", err.Error())
		record.Value = nil
		return record, true
	}
	news := r.s.roster.Put(entry)
	if news == directory.RoutingChanged && !oneOfMany {
		r.noteEndpoint(now, &entry, record.Offset)
	}
	more := news != directory.HeartbeatOnly
	if !relayed && (more || oneOfMany) {
		record.Value = entry.Append(nil)
	}
	return record, more
}

// noteEndpoint writes the line of an endpoint that changed. When thousands register
// within seconds, those that are ready are counted but for the first ones of a second.
func (r *Router) noteEndpoint(now time.Time, entry *directory.Entry, offset int64) {
	if entry.State == directory.Ready {
		write, leftOut := r.registered.take(now)
		if leftOut > 0 {
			r.log.Info("Endpoints that changed and are ready were counted only.", "endpoints", leftOut)
		}
		if !write {
			return
		}
	}
	r.log.Info("Endpoint changed.", "endpoint", entry.ID, "born", entry.Born, "service", entry.Service,
		"state", int(entry.State), "zone", string(entry.Zone), "offset", offset)
}
