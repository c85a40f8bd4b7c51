package logio

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/ports"
)

// Defaults of a Tail.
const (
	DefaultPoll    = time.Second // an idle read takes 324 bytes on the wire
	maxPageRecords = 256         // records requested in one read
)

// Sink receives the records that a Tail reads. Its methods are called from one
// goroutine.
type Sink interface {
	// Next returns the offset to read next. It never decreases, and may advance
	// without Apply when a neighbour's checkpoint replaces the records before it.
	Next() ports.Offset
	// Apply is called with each record, in the order of offsets.
	Apply(ports.Record)
	// Gap is called when the records from Next up to, but not including, first
	// have expired unread.
	Gap(first ports.Offset)
	// CaughtUp is called at the end of the stream, when all records before next
	// have been delivered.
	CaughtUp(next ports.Offset)
}

// TailOptions configures a Tail.
type TailOptions struct {
	Log    ports.Log
	Stream ports.Stream
	Sink   Sink
	Poll   time.Duration // between two reads at the end of the stream; 0 means DefaultPoll
	Seed   uint64        // of the jitter
	// Wake makes the Tail read at once, for a caller that waits for its own
	// append. May be nil.
	Wake <-chan struct{}
}

// Tail follows one stream and delivers its records to a Sink in order. It never
// skips records silently: expired ones are reported as a gap. The Sink ignores
// duplicates by their offset.
type Tail struct {
	opt      TailOptions
	backoff  backoff
	limit    int          // records requested in the next read
	failures atomic.Int64 // failed reads since the last successful one
	bytes    atomic.Int64
}

// NewTail returns a Tail; Run follows the stream.
func NewTail(o TailOptions) *Tail {
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	return &Tail{opt: o, limit: maxPageRecords, backoff: backoff{random: newRand(o.Seed)}}
}

// Failures returns the number of failed reads since the last successful one.
func (t *Tail) Failures() int { return int(t.failures.Load()) }

// Bytes returns the number of record bytes read.
func (t *Tail) Bytes() int64 { return t.bytes.Load() }

// Run follows the stream until the context ends, and returns the context's error.
func (t *Tail) Run(ctx context.Context) error {
	for {
		more, err := t.read(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			t.failures.Add(1)
			err = t.backoff.wait(ctx)
		default:
			t.failures.Store(0)
			t.backoff.reset()
			if !more {
				err = t.idle(ctx)
			}
		}
		if err != nil {
			return err
		}
	}
}

// read delivers one page and reports whether more can be read at once.
func (t *Tail) read(ctx context.Context) (bool, error) {
	from := t.opt.Sink.Next()
	page, err := t.opt.Log.Read(ctx, t.opt.Stream, from, t.limit)
	var truncated *ports.TruncatedError
	if errors.As(err, &truncated) {
		t.opt.Sink.Gap(truncated.First)
		return true, nil
	}
	if errors.Is(err, ports.ErrTooLong) {
		// A page of complete manifests can exceed the size limit. The same request
		// would fail again for ever, so the next one is for fewer records.
		t.limit = max(1, t.limit/2)
	}
	if err != nil {
		return false, err
	}
	t.limit = min(2*t.limit, maxPageRecords)
	for _, r := range page.Records {
		t.bytes.Add(int64(len(r.Data)))
		t.opt.Sink.Apply(r)
	}
	next := t.opt.Sink.Next()
	if next < page.Next {
		return true, nil
	}
	t.opt.Sink.CaughtUp(page.Next)
	return false, nil
}

// idle waits for the poll interval, shortened by up to a tenth, or for Wake.
func (t *Tail) idle(ctx context.Context) error {
	spread := int64(t.opt.Poll) / 10
	timer := time.NewTimer(t.opt.Poll - time.Duration(t.backoff.random.int64n(spread+1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-t.opt.Wake:
	}
	return nil
}
