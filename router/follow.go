package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

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
	// minPause and maxPause bound the time between a failed read and the next.
	minPause = 60 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// follower reads one topic.
type follower struct {
	r      *Router
	topic  Topic
	next   int64
	loaded bool
	apply  func(Record)
	reads  int // answered
	failed int // reads in a row
	// known is until when, by the boot clock, the newest answer tells all there was.
	known time.Duration
	// snapshot, if set, takes the keys of a read of everything.
	snapshot func(present map[string]bool)
	// relayed says that the newest answer came from a neighbour.
	relayed bool
}

// read makes one read and applies it. It returns whether more is there already,
// and when the answered read was sent.
func (f *follower) read(ctx context.Context, wait time.Duration) (more bool, sent time.Duration, _ error) {
	sent = BootClock()
	got, err := f.ask(ctx, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.loaded = false
		f.r.log.Info("History of the store is gone, reading the newest of each key.", "topic", f.topic.String(), "next", f.next)
		return true, sent, nil
	}
	if err != nil {
		return false, sent, err
	}
	until := BootClock()
	if f.relayed {
		until = sent - got.Age
	}
	sent -= got.Age
	for _, record := range got.Records {
		f.apply(record)
	}
	if !f.loaded && f.snapshot != nil {
		f.snapshot(keysOf(got.Records))
	}
	f.known = until
	from := f.next
	if !f.loaded {
		from, got.Records = got.Next, nil
	}
	f.r.feeds[f.topic].add(from, got, sent)
	f.next, f.loaded = got.Next, true
	f.reads++
	return got.End > got.Next, sent, nil
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
	return max(0, BootClock()-f.known)
}

// ask reads through a neighbour or the store itself.
func (f *follower) ask(ctx context.Context, wait time.Duration) (Records, error) {
	f.relayed = false
	if f.loaded {
		if got, ok := f.r.neighbours.read(ctx, f.topic, f.next); ok {
			f.relayed = true
			return got, nil
		}
	}
	call, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	if f.loaded {
		return f.r.o.Store.Read(call, f.topic, f.next, wait)
	}
	return f.r.o.Store.Newest(call, f.topic)
}

// note logs that the store was lost or is back.
func (f *follower) note(err error) {
	if err == nil {
		if f.failed > 0 {
			f.r.log.Info("Store answers again.", "topic", f.topic.String(), "failed_reads", f.failed)
		}
		f.failed = 0
		return
	}
	if f.failed == 0 {
		f.r.log.Warn("Store can't be read.", "topic", f.topic.String(), "error", err.Error())
	}
	f.failed++
	f.r.metrics.storeFailures.Inc(1)
}

// pauseAfter spreads the reads that follow a failed one: daemons that lost the
// store together would otherwise come back to it together.
func (f *follower) pauseAfter(ctx context.Context) {
	longest := min(minPause<<min(f.failed, 4), maxPause)
	_ = pause.For(ctx, minPause+time.Duration(rand.Float64()*float64(longest)))
}

// followOperator keeps the configuration and the named versions.
func (r *Router) followOperator(ctx context.Context) {
	f := &follower{r: r, topic: TopicOperator}
	f.apply = func(record Record) { r.operatorRecord(record, !f.loaded && f.reads == 0, f.unseen()) }
	wait := time.Duration(operatorPart * float64(r.o.Settings.RevokeWithin))
	for ctx.Err() == nil {
		patience := wait
		if f.failed > 0 {
			// Confirm the keys first: they are old by now.
			patience = 0
		}
		more, sent, err := f.read(ctx, patience)
		f.note(err)
		if err != nil {
			f.pauseAfter(ctx)
			continue
		}
		if !more && f.loaded {
			r.s.operator.Answered(sent, BootClock())
		}
	}
}

// followEndpoints keeps the list of endpoints.
func (r *Router) followEndpoints(ctx context.Context) {
	f := &follower{r: r, topic: TopicEndpoints}
	f.apply = func(record Record) { r.endpointRecord(record, f.unseen()) }
	f.snapshot = func(present map[string]bool) { r.endpointsPresent(present, f.unseen()) }
	every := time.Duration(endpointsPart * float64(r.o.Settings.DrainWithin))
	for ctx.Err() == nil {
		more, sent, err := f.read(ctx, 0)
		f.note(err)
		if err != nil {
			f.pauseAfter(ctx)
			continue
		}
		if more || !f.loaded {
			continue
		}
		r.s.endpoints.Answered(sent, BootClock())
		if f.relayed {
			_ = pause.For(ctx, relayPause)
			continue
		}
		_ = pause.For(ctx, every)
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
	n := naming{version: change.Weights, since: BootClock() - unseen}
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
	for _, id := range r.s.directory.Retain(now, now.Add(-unseen), present) {
		r.s.dirty = true
		r.log.Info("Endpoint's entry is missing.", "endpoint", id, "unseen_ms", unseen.Milliseconds())
	}
}

// endpointRecord folds an entry of an endpoint. unseen is how long before now it
// may have changed.
func (r *Router) endpointRecord(record Record, unseen time.Duration) {
	now := time.Now()
	since := now.Add(-unseen)
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if len(record.Value) == 0 {
		if r.s.directory.Remove(now, since, record.Key) {
			r.s.dirty = true
			r.log.Info("Endpoint's entry is gone.", "endpoint", record.Key, "offset", record.Offset, "unseen_ms", unseen.Milliseconds())
		}
		return
	}
	entry, err := r.o.Codec.Endpoint(record.Key, record.Value)
	if err != nil {
		if r.s.directory.Remove(now, since, record.Key) {
			r.s.dirty = true
		}
		r.log.Warn("Entry names no endpoint that can be used.", "endpoint", record.Key, "offset", record.Offset, "error", err.Error())
		return
	}
	if r.s.directory.Put(entry) {
		r.s.dirty = true
		r.log.Info("Endpoint changed.", "endpoint", entry.ID, "born", entry.Born, "service", entry.Service,
			"state", int(entry.State), "zone", string(entry.Zone), "offset", record.Offset)
	}
}
