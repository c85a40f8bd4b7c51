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
	DefaultPoll = time.Second // an idle read takes 324 bytes on the wire
	pageLimit   = 256         // records asked for in one read
)

// Sink takes what a Tail reads. Its methods are called from one goroutine.
type Sink interface {
	// Next is the offset to read next. It may move forward by itself, when a
	// neighbour's proof makes reading needless, never back.
	Next() ports.Offset
	// Apply takes one record.
	Apply(ports.Record)
	// Gap says that the records from Next up to first have expired unread.
	Gap(first ports.Offset)
	// CaughtUp says that everything before next has been delivered.
	CaughtUp(next ports.Offset)
}

// TailOptions of a Tail.
type TailOptions struct {
	Log    ports.Log
	Stream ports.Stream
	Sink   Sink
	Poll   time.Duration // between two reads at the end of the stream
	Seed   uint64        // of the jitter
	// Wake makes the tail read at once, for a reader that waits for its own
	// append. May be nil.
	Wake <-chan struct{}
}

// Tail follows one stream and hands each record on in order. It never skips:
// records that have expired are reported as a gap, and records delivered
// twice are left to the sink, which knows the offset it wants.
type Tail struct {
	opt    TailOptions
	back   backoff
	limit  int          // records asked for in the next read
	failed atomic.Int64 // reads since the last good one
	bytes  atomic.Int64
}

// NewTail returns a tail; Run does the work.
func NewTail(o TailOptions) *Tail {
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	return &Tail{opt: o, limit: pageLimit, back: backoff{random: newRand(o.Seed)}}
}

// Failures is the number of reads that failed since the last good one.
func (t *Tail) Failures() int { return int(t.failed.Load()) }

// Bytes is the number of record bytes read.
func (t *Tail) Bytes() int64 { return t.bytes.Load() }

// Run follows the stream until the context ends, and returns its error.
func (t *Tail) Run(ctx context.Context) error {
	for {
		more, err := t.read(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			t.failed.Add(1)
			err = t.back.wait(ctx)
		default:
			t.failed.Store(0)
			t.back.reset()
			if !more {
				err = t.idle(ctx)
			}
		}
		if err != nil {
			return err
		}
	}
}

// read takes one page and tells whether there is more at once.
func (t *Tail) read(ctx context.Context) (bool, error) {
	from := t.opt.Sink.Next()
	page, err := t.opt.Log.Read(ctx, t.opt.Stream, from, t.limit)
	var truncated *ports.TruncatedError
	if errors.As(err, &truncated) {
		t.opt.Sink.Gap(truncated.First)
		return true, nil
	}
	if errors.Is(err, ports.ErrTooLong) {
		// A page of whole manifests can be longer than is taken. Asked for the
		// same again, the log would give the same, and the reader would stand
		// still for ever.
		t.limit = max(1, t.limit/2)
	}
	if err != nil {
		return false, err
	}
	t.limit = min(2*t.limit, pageLimit)
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
	timer := time.NewTimer(t.opt.Poll - time.Duration(t.back.random.int64n(spread+1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-t.opt.Wake:
	}
	return nil
}
