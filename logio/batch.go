package logio

import (
	"context"
	"errors"
	"time"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/ports"

	"github.com/merlindock/merlindock/internal/pause"
)

// Defaults of a Batcher.
const (
	DefaultMaxBatchItems = 100
	DefaultMaxBatchBytes = 1 << 20
	DefaultLinger        = 2 * time.Millisecond
	DefaultAppendTimeout = time.Second
	DefaultMaxQueued     = 4096
)

// ErrQueueFull is returned for an item that was not queued, as items arrive
// faster than the log takes them.
var ErrQueueFull = errors.New("logio: too many items wait for the log")

// Item is a value to append in one record with others.
type Item[T any] struct {
	Value T
	Bytes int // approximate size in a record
	// Deadline after which the item is dropped. Zero: retried until it is in
	// the log, however long that takes.
	Deadline time.Time
	// Done is called once: with nil when the item is in the log, with
	// ports.ErrNotAppended when it certainly is not and never will be, and
	// with ports.ErrUnavailable when the outcome is unknown.
	Done func(error)

	ambiguous bool
}

// BatchOptions configures a Batcher.
type BatchOptions[T any] struct {
	Log       ports.Log
	Stream    ports.Stream
	Encode    func([]T) ([]byte, error)
	MaxItems  int           // in one record; 0 means DefaultMaxBatchItems
	MaxBytes  int           // approximate bound of one record; 0 means DefaultMaxBatchBytes
	Linger    time.Duration // wait for further items; 0 means DefaultLinger, negative: none
	Timeout   time.Duration // of one append; 0 means DefaultAppendTimeout
	MaxQueued int           // items; 0 means DefaultMaxQueued
	Seed      uint64
}

// Batcher combines many items into one append. The next batch is collected while
// an append is in flight, so that batches grow as the log slows down.
//
// It also paces its appends: each refused one lengthens the interval between
// appends, and each accepted one shortens it a little. All daemons together then
// stay near the rate that the log accepts, without knowing that rate or their
// number. Without the pacing, a few daemons below the load that full batches can
// carry already exceed the rate that the log accepts, and the backoff after each
// refusal delays callers by seconds.
//
// A batch whose answer was lost is appended again, so items must be idempotent.
type Batcher[T any] struct {
	opt     BatchOptions[T]
	queue   chan *Item[T]
	backoff backoff
	spacing spacing
}

// spacing controls the interval between two appends.
type spacing struct {
	interval   time.Duration
	lastAppend time.Time // time of the last attempt
	refusals   int       // failed attempts since the last accepted append
}

// Parameters of the spacing.
const (
	minSpacing     = 10 * time.Millisecond
	maxSpacing     = 5 * time.Second // for a thousand daemons and a few hundred appends per second
	narrowingTime  = 4 * time.Second // of accepted appends, in which the interval shrinks to a third
	widenDivisor   = 4               // a refused append adds the interval over this to the interval
	outageRefusals = 12              // refusals in a row from which on the log counts as down and backoff applies
)

func (s *spacing) accepted(now time.Time) {
	s.refusals = 0
	passed := min(now.Sub(s.lastAppend), narrowingTime)
	s.interval -= time.Duration(float64(s.interval) * passed.Seconds() / narrowingTime.Seconds())
	if s.interval < minSpacing {
		s.interval = 0
	}
	s.lastAppend = now
}

func (s *spacing) refused(now time.Time) {
	s.refusals++
	s.interval = min(max(s.interval+s.interval/widenDivisor, minSpacing), maxSpacing)
	s.lastAppend = now
}

// remaining returns how long to wait before the next append, with jitter of up to a
// quarter of the interval so that daemons do not append in step.
func (s *spacing) remaining(now time.Time, random *lockedRand) time.Duration {
	if s.interval == 0 {
		return 0
	}
	return s.interval + time.Duration(random.int64n(int64(s.interval)/4+1)) - now.Sub(s.lastAppend)
}

// NewBatcher returns a Batcher, which appends while Run is called.
func NewBatcher[T any](o BatchOptions[T]) *Batcher[T] {
	if o.MaxItems == 0 {
		o.MaxItems = DefaultMaxBatchItems
	}
	o.MaxItems = min(o.MaxItems, ledger.MaxClaimOps)
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBatchBytes
	}
	if o.Linger == 0 {
		o.Linger = DefaultLinger
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultAppendTimeout
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	return &Batcher[T]{opt: o, queue: make(chan *Item[T], o.MaxQueued), backoff: backoff{random: newRand(o.Seed)}}
}

// Add queues an item. If the queue is full, it returns ErrQueueFull and the item's
// Done is not called.
func (b *Batcher[T]) Add(it Item[T]) error {
	select {
	case b.queue <- &it:
		return nil
	default:
		return ErrQueueFull
	}
}

// Run appends queued items until the context ends, and returns the context's
// error. Items that are not appended by then are dropped as if their deadline had
// passed.
func (b *Batcher[T]) Run(ctx context.Context) error {
	var batch []*Item[T]
	for {
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return b.stop(ctx, nil)
			case it := <-b.queue:
				batch = append(batch, it)
			}
			b.linger(ctx, &batch)
		}
		if err := b.pace(ctx); err != nil {
			return b.stop(ctx, batch)
		}
		b.gather(&batch)
		batch = expire(batch, time.Now())
		if len(batch) == 0 {
			continue
		}
		if b.append(ctx, batch) {
			batch = nil
			continue
		}
	}
}

// pace waits until the next append is due.
func (b *Batcher[T]) pace(ctx context.Context) error {
	if b.spacing.refusals >= outageRefusals {
		return b.backoff.wait(ctx)
	}
	if left := b.spacing.remaining(time.Now(), b.backoff.random); left > 0 {
		return pause.For(ctx, left)
	}
	return nil
}

// append appends the batch as one record and reports success. After a failure
// whose outcome is unknown it marks the items as ambiguous.
func (b *Batcher[T]) append(ctx context.Context, batch []*Item[T]) bool {
	values := make([]T, len(batch))
	for i, it := range batch {
		values[i] = it.Value
	}
	data, err := b.opt.Encode(values)
	if err == nil {
		appendCtx, cancel := context.WithTimeout(ctx, b.opt.Timeout)
		_, err = b.opt.Log.Append(appendCtx, b.opt.Stream, data)
		cancel()
	} else {
		err = errors.Join(ports.ErrNotAppended, err)
	}
	if err == nil {
		b.backoff.reset()
		b.spacing.accepted(time.Now())
		for _, it := range batch {
			it.Done(nil)
		}
		return true
	}
	b.spacing.refused(time.Now())
	if !errors.Is(err, ports.ErrNotAppended) {
		for _, it := range batch {
			it.ambiguous = true
		}
	}
	return false
}

func (b *Batcher[T]) linger(ctx context.Context, batch *[]*Item[T]) {
	if b.opt.Linger < 0 || b.opt.MaxItems == 1 {
		return
	}
	timer := time.NewTimer(b.opt.Linger)
	defer timer.Stop()
	for b.belowLimits(*batch) {
		select {
		case it := <-b.queue:
			*batch = append(*batch, it)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (b *Batcher[T]) gather(batch *[]*Item[T]) {
	for b.belowLimits(*batch) {
		select {
		case it := <-b.queue:
			*batch = append(*batch, it)
		default:
			return
		}
	}
}

func (b *Batcher[T]) belowLimits(batch []*Item[T]) bool {
	bytes := 0
	for _, it := range batch {
		bytes += it.Bytes
	}
	return len(batch) < b.opt.MaxItems && bytes < b.opt.MaxBytes
}

// expire drops the items whose deadline has passed and returns the others.
func expire[T any](batch []*Item[T], now time.Time) []*Item[T] {
	kept := batch[:0]
	for _, it := range batch {
		if it.Deadline.IsZero() || now.Before(it.Deadline) {
			kept = append(kept, it)
			continue
		}
		it.giveUp()
	}
	return kept
}

func (it *Item[T]) giveUp() {
	if it.ambiguous {
		it.Done(ports.ErrUnavailable)
		return
	}
	it.Done(ports.ErrNotAppended)
}

func (b *Batcher[T]) stop(ctx context.Context, batch []*Item[T]) error {
	for {
		for _, it := range batch {
			it.giveUp()
		}
		select {
		case it := <-b.queue:
			batch = []*Item[T]{it}
		default:
			return ctx.Err()
		}
	}
}
