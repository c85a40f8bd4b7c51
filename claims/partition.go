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

// opBytes is about what an operation without a result takes in a record.
const opBytes = 220

// markRetry is the longest wait after a mark that the log did not take.
const markRetry = 2 * time.Second

// partition follows and writes one claim stream.
type partition struct {
	opt    Options
	stream ports.Stream
	tail   *logio.Tail
	batch  *logio.Batcher[ledger.ClaimOp]
	wake   chan struct{}

	mu      sync.Mutex // guards what follows
	fold    *ledger.Claims
	waiting map[ledger.ID]*waiter // by attempt
	marked  time.Time             // when this daemon's last mark was read back
	applied time.Time             // when the last record was read, by this process's clock
	news    chan struct{}         // closed when the fold has changed
}

type waiter struct {
	decided chan ledger.ClaimDecision
	failed  chan error
}

func newPartition(o Options, i int) *partition {
	p := &partition{
		opt: o, stream: ledger.StreamClaims(i), fold: ledger.NewClaims(o.Layout),
		waiting: make(map[ledger.ID]*waiter), news: make(chan struct{}), wake: make(chan struct{}, 1),
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
	g.Go(func() error { return p.mark(ctx) })
	return g.Wait()
}

// mark appends empty batches. They show other daemons this one's layout, and
// the first one read back shows that the stream was read to its end.
func (p *partition) mark(ctx context.Context) error {
	every := time.Duration(p.opt.Layout.Window) / marksPerWindow
	again := p.opt.Poll
	for {
		wait := every
		if !p.append(ctx) {
			wait = again
			again = min(2*again, markRetry)
		} else {
			again = p.opt.Poll
			p.look()
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

func (p *partition) append(ctx context.Context) bool {
	data, err := p.encode(nil)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, logio.DefaultAppendTimeout)
	defer cancel()
	_, err = p.opt.Log.Append(ctx, p.stream, data)
	return err == nil
}

// ready tells whether a mark of this daemon was read back within the last two
// of the marks that fit in a window. A daemon that could not mark for longer
// may have neighbours that do not know its layout.
func (p *partition) ready(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.marked.IsZero() && now.Sub(p.marked) < 2*time.Duration(p.opt.Layout.Window)/marksPerWindow
}

func (p *partition) poisoned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Poisoned()
}

func (p *partition) whole(keyTime time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Whole(keyTime)
}

// early tells whether a claim for a key of the given time might reach the log
// before the log's clock is near enough. The log's clock is at least the last
// record's time and what has passed here since it was read; this process's own
// idea of the hour does not count. A claim that came early would be refused
// by the fold, and so would its abandonment, and could yet arrive once more
// when the key no longer is early, to hold it for nobody.
func (p *partition) early(keyTime, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := p.fold.Clock().Add(now.Sub(p.applied))
	return keyTime.After(least.Add(ledger.MaxKeySkew))
}

func (p *partition) lookup(scope ledger.ID) (view ledger.ClaimView, keys int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Lookup(scope), p.fold.Len()
}

// look makes the tail read at once.
func (p *partition) look() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// nextChange is closed when the fold changes next.
func (p *partition) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.news
}

// await waits for news while it reads more often, and is false when the
// context ends first.
func (p *partition) await(ctx context.Context, news <-chan struct{}) bool {
	ticker := time.NewTicker(awaitPoll)
	defer ticker.Stop()
	for {
		p.look()
		select {
		case <-news:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// claim queues a claim and returns who is told of its fate.
func (p *partition) claim(op ledger.ClaimOp, deadline time.Time) *waiter {
	w := &waiter{decided: make(chan ledger.ClaimDecision, 1), failed: make(chan error, 1)}
	p.mu.Lock()
	p.waiting[op.Attempt] = w
	p.mu.Unlock()
	done := func(err error) {
		if err != nil {
			w.failed <- err
			return
		}
		p.look()
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
	delete(p.waiting, attempt)
}

// abandon gives a claim up in the background, for as long as it takes.
func (p *partition) abandon(claim ledger.ClaimOp) {
	// A full queue loses it; the key then stays "outcome unknown", which is
	// safe.
	_ = p.batch.Add(logio.Item[ledger.ClaimOp]{Value: abandonment(claim), Bytes: opBytes, Done: func(error) { p.look() }})
}

// write queues an operation that must reach the log and waits for it.
func (p *partition) write(ctx context.Context, op ledger.ClaimOp) error {
	done := make(chan error, 1)
	size := opBytes
	if op.Result != nil {
		size += len(op.Result.Body) * 4 / 3
	}
	err := p.batch.Add(logio.Item[ledger.ClaimOp]{Value: op, Bytes: size, Done: func(err error) { done <- err; p.look() }})
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

// result reads the result of a call back from the log.
func (p *partition) result(ctx context.Context, at ledger.Ref) (*ledger.Result, error) {
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
	return p.fold.Next()
}

// Gap implements logio.Sink.
func (p *partition) Gap(first ports.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.Gap(first)
}

// CaughtUp implements logio.Sink.
func (p *partition) CaughtUp(ports.Offset) {}

// Apply implements logio.Sink.
func (p *partition) Apply(r ports.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decisions := p.fold.Apply(r)
	p.applied = time.Now()
	for _, d := range decisions {
		p.decide(d)
	}
	if len(decisions) == 0 {
		p.ownMark(r)
		return
	}
	close(p.news)
	p.news = make(chan struct{})
}

func (p *partition) decide(d ledger.ClaimDecision) {
	if d.Op != ledger.VerbClaim {
		return
	}
	if w := p.waiting[d.Attempt]; w != nil {
		delete(p.waiting, d.Attempt)
		w.decided <- d
	}
}

func (p *partition) ownMark(r ports.Record) {
	_, body, err := ledger.Decode(r.Data)
	b, ok := body.(*ledger.ClaimBatch)
	if err == nil && ok && len(b.Ops) == 0 && b.Writer == p.opt.Owner {
		p.marked = time.Now()
	}
}
