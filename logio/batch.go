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

// ErrQueueFull says that an item was not taken, since the log is slower than
// what comes in.
var ErrQueueFull = errors.New("logio: too many items wait for the log")

// Item is one thing to append together with others.
type Item[T any] struct {
	Value T
	Bytes int // about what it takes in a record
	// Deadline after which the item is given up. Zero: kept until it is in
	// the log, however long that takes.
	Deadline time.Time
	// Done is called once: with nil when the item is in the log, with
	// ports.ErrNotAppended when it certainly is not and never will be, and
	// with ports.ErrUnavailable when that is open.
	Done func(error)

	ambiguous bool
}

// BatchOptions of a Batcher.
type BatchOptions[T any] struct {
	Log       ports.Log
	Stream    ports.Stream
	Encode    func([]T) ([]byte, error)
	MaxItems  int           // most in one record; 0 takes DefaultBatchItems
	MaxBytes  int           // about the most in one record
	Linger    time.Duration // waited for company; 0 takes DefaultLinger, negative: none
	Timeout   time.Duration // of one append
	MaxQueued int           // items waiting
	Seed      uint64
}

// Batcher puts many items into one append. While an append is under way the
// next batch gathers, so that batches grow by themselves as the log slows.
//
// It also spaces its appends: each refused one widens the space, each taken
// one narrows it a little. All daemons together then stay near the rate that
// the log takes, without knowing it or how many they are. Without the spacing
// nine daemons offered the log three times its rate at half the calls that
// batches can carry, and the backoff after each refusal cost callers seconds.
//
// A batch whose answer was lost is appended again, so items must be such that
// a second time changes nothing.
type Batcher[T any] struct {
	opt   BatchOptions[T]
	queue chan *Item[T]
	back  backoff
	space spacing
}

// spacing is the pause between two appends.
type spacing struct {
	wide  time.Duration
	since time.Time // of the last append
	row   int       // refusals since the last append that was taken
}

// Figures of the spacing.
const (
	minSpacing   = 10 * time.Millisecond
	maxSpacing   = 5 * time.Second // a thousand daemons on a few hundred appends a second
	narrowOver   = 4 * time.Second // of appends that are taken, the space shrinks to a third
	widenPart    = 4               // of the space, for one that was refused
	outageInARow = 12              // refusals after which the log counts as out, and backoff applies
)

func (s *spacing) taken(now time.Time) {
	s.row = 0
	passed := min(now.Sub(s.since), narrowOver)
	s.wide -= time.Duration(float64(s.wide) * passed.Seconds() / narrowOver.Seconds())
	if s.wide < minSpacing {
		s.wide = 0
	}
	s.since = now
}

func (s *spacing) refused(now time.Time) {
	s.row++
	s.wide = min(max(s.wide+s.wide/widenPart, minSpacing), maxSpacing)
	s.since = now
}

// left is how long to wait still, spread by up to a quarter so that daemons
// do not append in step.
func (s *spacing) left(now time.Time, random *lockedRand) time.Duration {
	if s.wide == 0 {
		return 0
	}
	return s.wide + time.Duration(random.int64n(int64(s.wide)/4+1)) - now.Sub(s.since)
}

// NewBatcher returns a batcher; Run does the work.
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
	return &Batcher[T]{opt: o, queue: make(chan *Item[T], o.MaxQueued), back: backoff{random: newRand(o.Seed)}}
}

// Add queues an item. After ErrQueueFull its Done is not called.
func (b *Batcher[T]) Add(it Item[T]) error {
	select {
	case b.queue <- &it:
		return nil
	default:
		return ErrQueueFull
	}
}

// Run appends until the context ends. Items that wait then are given up as by
// their deadline.
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
	if b.space.row >= outageInARow {
		return b.back.wait(ctx)
	}
	if left := b.space.left(time.Now(), b.back.random); left > 0 {
		return pause.For(ctx, left)
	}
	return nil
}

// append appends the first items that fit one record, which is all of them
// but after a failure. It reports success.
func (b *Batcher[T]) append(ctx context.Context, batch []*Item[T]) bool {
	values := make([]T, len(batch))
	for i, it := range batch {
		values[i] = it.Value
	}
	data, err := b.opt.Encode(values)
	if err == nil {
		call, cancel := context.WithTimeout(ctx, b.opt.Timeout)
		_, err = b.opt.Log.Append(call, b.opt.Stream, data)
		cancel()
	} else {
		err = errors.Join(ports.ErrNotAppended, err)
	}
	if err == nil {
		b.back.reset()
		b.space.taken(time.Now())
		for _, it := range batch {
			it.Done(nil)
		}
		return true
	}
	b.space.refused(time.Now())
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
	for b.room(*batch) {
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
	for b.room(*batch) {
		select {
		case it := <-b.queue:
			*batch = append(*batch, it)
		default:
			return
		}
	}
}

func (b *Batcher[T]) room(batch []*Item[T]) bool {
	bytes := 0
	for _, it := range batch {
		bytes += it.Bytes
	}
	return len(batch) < b.opt.MaxItems && bytes < b.opt.MaxBytes
}

// expire gives up the items whose time is over.
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
