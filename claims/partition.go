package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/ports"
)

// opBytes is the approximate encoded size of an operation without a result.
const opBytes = 220

// maxMarkerRetryDelay is the maximum delay before a marker that the log did not
// accept is appended again.
const maxMarkerRetryDelay = 2 * time.Second

// partition reads and writes one claim stream.
type partition struct {
	opt    Options
	stream ports.Stream
	tail   *logio.Tail
	batch  *logio.Batcher[ledger.ClaimOp]
	wake   chan struct{}

	mu        sync.Mutex // guards the fields below
	state     *ledger.Claims
	waiters   map[ledger.ID]*waiter // by attempt
	markedAt  time.Time             // when this daemon's last marker was read back
	appliedAt time.Time             // when the last record was applied, by the local clock
	changed   chan struct{}         // closed after the next operation is applied
}

type waiter struct {
	decided chan ledger.ClaimDecision
	failed  chan error
}

func newPartition(o Options, i int) *partition {
	p := &partition{
		opt: o, stream: ledger.ClaimStream(i), state: ledger.NewClaims(o.Layout),
		waiters: make(map[ledger.ID]*waiter), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	p.tail = logio.NewTail(logio.TailOptions{
		Log: o.Log, Stream: p.stream, Sink: p, Poll: o.Poll, Seed: o.Seed + uint64(i), Wake: p.wake,
	})
	p.batch = logio.NewBatcher(logio.BatchOptions[ledger.ClaimOp]{
		Log: o.Log, Stream: p.stream, Encode: p.encode, MaxItems: o.BatchItems, Linger: o.Linger, Seed: o.Seed + uint64(i),
	})
	return p
}

func (p *partition) encode(ops []ledger.ClaimOp) ([]byte, error) {
	return ledger.Encode(ledger.RulesVersion, &ledger.ClaimBatch{Writer: p.opt.Owner, Layout: p.opt.Layout, Ops: ops})
}

func (p *partition) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.tail.Run(ctx) })
	g.Go(func() error { return p.batch.Run(ctx) })
	g.Go(func() error { return p.appendMarkers(ctx) })
	return g.Wait()
}

// appendMarkers appends empty batches periodically. They announce this daemon's
// layout to other daemons, and reading the first one back shows that the stream
// was read up to the time of its append.
func (p *partition) appendMarkers(ctx context.Context) error {
	interval := time.Duration(p.opt.Layout.Window) / markersPerWindow
	retryDelay := p.opt.Poll
	for {
		wait := interval
		if !p.appendMarker(ctx) {
			wait = retryDelay
			retryDelay = min(2*retryDelay, maxMarkerRetryDelay)
		} else {
			retryDelay = p.opt.Poll
			p.readNow()
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (p *partition) appendMarker(ctx context.Context) bool {
	data, err := p.encode(nil)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, logio.DefaultAppendTimeout)
	defer cancel()
	_, err = p.opt.Log.Append(ctx, p.stream, data)
	return err == nil
}

// ready reports whether a marker of this daemon was read back within the last two
// marker intervals. If not, other daemons may not know this daemon's layout.
func (p *partition) ready(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.markedAt.IsZero() && now.Sub(p.markedAt) < 2*time.Duration(p.opt.Layout.Window)/markersPerWindow
}

func (p *partition) layoutConflict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.LayoutConflict()
}

func (p *partition) canDecide(keyTime time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.CanDecide(keyTime)
}

// early reports whether a claim for a key with the given time could be appended
// while that time is still more than MaxKeySkew ahead of the log's clock. The
// log's clock is at least the last record time plus the time elapsed here since
// that record was applied; the local wall clock is not used. An early claim
// would be refused, and so would its abandon operation; if the claim arrived a
// second time after the key had become valid, it would hold the key although no
// request uses it.
func (p *partition) early(keyTime, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	minLogTime := p.state.Clock().Add(now.Sub(p.appliedAt))
	return keyTime.After(minLogTime.Add(ledger.MaxKeySkew))
}

func (p *partition) lookup(scope ledger.ID) (view ledger.ClaimView, keys int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Lookup(scope), p.state.Len()
}

// readNow makes the tail read immediately.
func (p *partition) readNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// nextChange returns a channel that is closed after the next operation is applied.
func (p *partition) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// await waits until changed is closed and makes the tail read every awaitPoll
// meanwhile. It returns false if the context is done first.
func (p *partition) await(ctx context.Context, changed <-chan struct{}) bool {
	ticker := time.NewTicker(awaitPoll)
	defer ticker.Stop()
	for {
		p.readNow()
		select {
		case <-changed:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// claim queues a claim and returns a waiter that receives the decision on it or
// the error of its append.
func (p *partition) claim(op ledger.ClaimOp, deadline time.Time) *waiter {
	w := &waiter{decided: make(chan ledger.ClaimDecision, 1), failed: make(chan error, 1)}
	p.mu.Lock()
	p.waiters[op.Attempt] = w
	p.mu.Unlock()
	done := func(err error) {
		if err != nil {
			w.failed <- err
			return
		}
		p.readNow()
	}
	err := p.batch.Add(logio.Item[ledger.ClaimOp]{Value: op, Bytes: opBytes, Deadline: deadline, Done: done})
	if err != nil {
		w.failed <- err
	}
	return w
}

func (p *partition) forget(attempt ledger.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, attempt)
}

// abandon queues an abandon operation without a deadline and does not wait for it.
func (p *partition) abandon(claim ledger.ClaimOp) {
	// If the queue is full the operation is dropped. The outcome of the key
	// then stays unknown, which is safe.
	_ = p.batch.Add(logio.Item[ledger.ClaimOp]{Value: abandonOp(claim), Bytes: opBytes, Done: func(error) { p.readNow() }})
}

// write queues an operation without a deadline and waits until it is in the log
// or the context is done.
func (p *partition) write(ctx context.Context, op ledger.ClaimOp) error {
	done := make(chan error, 1)
	size := opBytes
	if op.Result != nil {
		size += len(op.Result.Body) * 4 / 3
	}
	err := p.batch.Add(logio.Item[ledger.ClaimOp]{Value: op, Bytes: size, Done: func(err error) { done <- err; p.readNow() }})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// result reads the result of a call from the log.
func (p *partition) result(ctx context.Context, at ledger.OpRef) (*ledger.Result, error) {
	page, err := p.opt.Log.Read(ctx, p.stream, at.Offset, 1)
	if err != nil {
		return nil, err
	}
	for _, r := range page.Records {
		_, body, err := ledger.Decode(r.Data)
		b, ok := body.(*ledger.ClaimBatch)
		if err != nil || !ok || r.Offset != at.Offset || at.Index >= len(b.Ops) || b.Ops[at.Index].Result == nil {
			continue
		}
		return b.Ops[at.Index].Result, nil
	}
	return nil, fmt.Errorf("claims: offset %d of %s holds no result", at.Offset, p.stream)
}

// Next implements logio.Sink.
func (p *partition) Next() ports.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Next()
}

// Gap implements logio.Sink.
func (p *partition) Gap(first ports.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Gap(first)
}

// CaughtUp implements logio.Sink.
func (p *partition) CaughtUp(ports.Offset) {}

// Apply implements logio.Sink.
func (p *partition) Apply(r ports.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decisions := p.state.Apply(r)
	p.appliedAt = time.Now()
	for _, d := range decisions {
		p.deliver(d)
	}
	if len(decisions) == 0 {
		p.checkOwnMarker(r)
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *partition) deliver(d ledger.ClaimDecision) {
	if d.Op != ledger.VerbClaim {
		return
	}
	if w := p.waiters[d.Attempt]; w != nil {
		delete(p.waiters, d.Attempt)
		w.decided <- d
	}
}

func (p *partition) checkOwnMarker(r ports.Record) {
	_, body, err := ledger.Decode(r.Data)
	b, ok := body.(*ledger.ClaimBatch)
	if err == nil && ok && len(b.Ops) == 0 && b.Writer == p.opt.Owner {
		p.markedAt = time.Now()
	}
}
