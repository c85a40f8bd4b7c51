package router

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/directory"
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
	// daemon that reads for the zone finds the store again first. With 65 daemons a
	// zone asks ten times a second for each topic; each on its own pace asked 300 times.
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
	// apply takes a record, and tells whether it says more than the one before it.
	apply  func(Record) bool
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

// progress is what a read brought.
type progress struct {
	more  bool // more is there already
	newer bool // the store confirmed that this is all at a later time than before
}

// read makes one read and applies it.
func (f *follower) read(ctx context.Context, wait time.Duration) (progress, error) {
	b, err := f.ask(ctx, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.loaded = false
		f.r.log.Info("History of the store is gone, reading the newest of each key.", "topic", f.sub.topic.String(), "next", f.next)
		return progress{more: true}, nil
	}
	if err != nil {
		return progress{}, err
	}
	until := f.r.clock()
	if f.relayed {
		until = b.confirmed
	}
	b.records = f.fold(b)
	f.known = max(f.known, until)
	f.r.feeds[f.sub.topic].add(b)
	f.next, f.loaded = b.next, true
	f.reads++
	return progress{more: !b.whole, newer: b.whole && f.sub.confirm(b.confirmed)}, nil
}

// fold applies the records of a read and returns those that neighbours need.
func (f *follower) fold(b batch) []Record {
	var told []Record
	for _, record := range b.records {
		if f.apply(record) || b.all {
			told = append(told, record)
		}
	}
	if b.all && f.snapshot != nil {
		f.snapshot(keysOf(b.records))
	}
	return told
}

func keysOf(records []Record) map[string]bool {
	out := make(map[string]bool, len(records))
	for _, r := range records {
		out[r.Key] = true
	}
	return out
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

// ask reads through a neighbour or the store itself.
func (f *follower) ask(ctx context.Context, wait time.Duration) (batch, error) {
	from := f.next
	if !f.loaded {
		from = -1
	}
	if got, confirmed, ok := f.sub.read(ctx, from); ok {
		f.relayed = true
		return batch{from: f.next, all: got.All, records: got.Records, next: got.Next, whole: true, confirmed: confirmed}, nil
	}
	f.relayed = false
	if err := ctx.Err(); err != nil {
		return batch{}, err // the question was cut off, no neighbour is at fault
	}
	if f.sub.rests() {
		return batch{}, errResting
	}
	sent := f.r.clock()
	got, err := f.askStore(ctx, wait)
	if err != nil {
		return batch{}, err
	}
	f.sub.answered()
	return batch{from: f.next, all: !f.loaded, records: got.Records, next: got.Next, whole: got.End <= got.Next, confirmed: sent}, nil
}

func (f *follower) askStore(ctx context.Context, wait time.Duration) (Records, error) {
	call, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	if f.loaded {
		return f.r.o.Store.Read(call, f.sub.topic, f.next, wait)
	}
	return f.r.o.Store.Newest(call, f.sub.topic)
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
	f.apply = func(record Record) bool {
		r.operatorRecord(record, !f.loaded && f.reads == 0, f.unseen())
		return true
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
			r.s.operator.Answered(f.sub.confirmed, r.clock())
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
	said := map[string]directory.Entry{}
	f.apply = func(record Record) bool { return r.endpointRecord(record, f.unseen(), said) }
	f.snapshot = func(present map[string]bool) {
		r.endpointsPresent(present, f.unseen())
		// An entry that is missing counts as said no more, or its return would be taken for
		// a repeat and kept from the daemons that read through this one.
		maps.DeleteFunc(said, func(id string, _ directory.Entry) bool { return !present[id] })
	}
	return f
}

// followEndpoints keeps the list of endpoints.
func (r *Router) followEndpoints(ctx context.Context) {
	f := r.newEndpointsFollower()
	r.neighbours.await(ctx)
	for ctx.Err() == nil {
		p, err := f.read(ctx, 0)
		f.note(err)
		if err != nil {
			f.pauseAfter(ctx)
			continue
		}
		if p.newer {
			r.s.endpoints.Answered(f.sub.confirmed, r.clock())
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

// endpointRecord folds an entry of an endpoint. unseen is how long before now it
// may have changed. It returns whether the entry says more than the one that said
// holds of the endpoint, and puts it there.
func (r *Router) endpointRecord(record Record, unseen time.Duration, said map[string]directory.Entry) bool {
	now := time.Now()
	since := now.Add(-unseen)
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if len(record.Value) == 0 {
		delete(said, record.Key)
		if r.s.roster.Remove(now, since, record.Key) {
			r.log.Info("Endpoint's entry is gone.", "endpoint", record.Key, "offset", record.Offset, "unseen_ms", unseen.Milliseconds())
		}
		return true
	}
	entry, err := r.o.Codec.Endpoint(record.Key, record.Value)
	if err != nil {
		delete(said, record.Key)
		r.s.roster.Remove(now, since, record.Key)
		r.log.Warn("Entry names no endpoint that can be used.", "endpoint", record.Key, "offset", record.Offset, "error", err.Error())
		return true
	}
	if r.s.roster.Put(entry) {
		r.log.Info("Endpoint changed.", "endpoint", entry.ID, "born", entry.Born, "service", entry.Service,
			"state", int(entry.State), "zone", string(entry.Zone), "offset", record.Offset)
	}
	old, some := said[entry.ID]
	said[entry.ID] = entry
	return !some || !entry.SaysAs(old)
}
