package logio

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"

	"github.com/merlindock/merlindock/internal/pause"
)

// DefaultLeaseTTL is the default duration of a lease without renewal.
const DefaultLeaseTTL = 15 * time.Second

// Timing and bounds of a LeaseKeeper.
const (
	renewDivisor  = 3  // a holder renews after TTL/renewDivisor
	marginDivisor = 10 // a holder stops TTL/marginDivisor early, as clocks run at different rates
	maxPending    = 16 // own records without a decision read from the log
)

// HeldLease is a lease held by this process.
type HeldLease struct {
	Fence      ports.Offset // fencing token, sent with each order
	ValidUntil time.Time    // by this process's clock; the lease must not be relied on afterwards
}

// LeaseOptions configures a LeaseKeeper.
type LeaseOptions struct {
	Log    ports.Log
	Name   string
	Holder string        // unique to this run of the process
	TTL    time.Duration // 0 means DefaultLeaseTTL
	Poll   time.Duration
	Seed   uint64
	// ShouldHold reports whether this process should hold the lease now; nil means
	// always.
	ShouldHold func() bool
}

// LeaseKeeper competes for one lease and renews it while it is held.
//
// A holder counts its lease from the time at which it sent the accepted record,
// so that it stops before any reader of the log can see another holder. A lease
// expires by the monotonic or the wall clock, whichever is earlier: the monotonic
// clock of a suspended VM stops, and by it alone the holder would consider
// its lease valid after it is resumed.
type LeaseKeeper struct {
	opt  LeaseOptions
	tail *Tail
	wake chan struct{}

	mu         sync.Mutex // guards the fields below
	state      *ledger.Leases
	caughtUp   bool
	serial     int
	pending    map[int]time.Time // send times of own records by serial
	fence      ports.Offset      // 0: not held
	validUntil time.Time         // of the held lease
	notBefore  time.Time         // no acquisition before, as another may hold the lease
}

// NewLeaseKeeper returns a LeaseKeeper without a lease; Run competes for it.
func NewLeaseKeeper(o LeaseOptions) *LeaseKeeper {
	if o.TTL == 0 {
		o.TTL = DefaultLeaseTTL
	}
	if o.ShouldHold == nil {
		o.ShouldHold = func() bool { return true }
	}
	k := &LeaseKeeper{opt: o, state: ledger.NewLeases(), pending: make(map[int]time.Time), wake: make(chan struct{}, 1)}
	k.tail = NewTail(TailOptions{Log: o.Log, Stream: ledger.StreamLeases, Sink: k, Poll: o.Poll, Seed: o.Seed, Wake: k.wake})
	return k
}

// Holding returns the lease if it is held and valid at now. Call it right before each
// order.
func (k *LeaseKeeper) Holding(now time.Time) (HeldLease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 || expired(now, k.validUntil) {
		return HeldLease{}, false
	}
	return HeldLease{Fence: k.fence, ValidUntil: k.validUntil}, true
}

// expired reports whether until has passed by the monotonic or the wall clock.
func expired(now, until time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// CurrentLease returns the lease by the records read so far, whoever holds it, and
// false if nobody does.
func (k *LeaseKeeper) CurrentLease() (ledger.Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok, _ := k.state.Holder(k.opt.Name, k.state.Clock())
	return l, ok
}

// Run competes for the lease until the context ends, and returns the context's
// error.
func (k *LeaseKeeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.tail.Run(ctx) })
	g.Go(func() error { return k.compete(ctx) })
	return g.Wait()
}

// Release ends the lease early, so that the next holder need not wait for its
// expiry. Call it after the last order has been answered.
func (k *LeaseKeeper) Release(ctx context.Context) {
	k.mu.Lock()
	fence := k.fence
	k.fence = 0
	k.mu.Unlock()
	if fence != 0 {
		k.send(ctx, ledger.LeaseRecord{Op: ledger.LeaseRelease, Fence: fence})
	}
}

func (k *LeaseKeeper) compete(ctx context.Context) error {
	step := k.opt.TTL / (2 * renewDivisor)
	for {
		if err := pause.For(ctx, step-time.Duration(k.tail.backoff.random.int64n(int64(step)/4+1))); err != nil {
			return err
		}
		if r, ok := k.nextRecord(time.Now()); ok {
			sendCtx, cancel := context.WithTimeout(ctx, k.opt.TTL/renewDivisor)
			k.send(sendCtx, r)
			cancel()
		}
	}
}

// nextRecord returns the record to append at now, and false if there is none.
func (k *LeaseKeeper) nextRecord(now time.Time) (ledger.LeaseRecord, bool) {
	shouldHold := k.opt.ShouldHold()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence != 0 && expired(now, k.validUntil) {
		k.fence = 0
	}
	k.expirePending(now)
	switch {
	case !shouldHold || !k.caughtUp || len(k.pending) >= maxPending:
		return ledger.LeaseRecord{}, false
	case k.fence != 0 && k.validUntil.Sub(now) < k.opt.TTL*(renewDivisor-1)/renewDivisor:
		return ledger.LeaseRecord{Op: ledger.LeaseRenew, Fence: k.fence}, true
	case k.fence == 0 && now.After(k.notBefore):
		return ledger.LeaseRecord{Op: ledger.LeaseAcquire}, true
	default:
		return ledger.LeaseRecord{}, false
	}
}

func (k *LeaseKeeper) expirePending(now time.Time) {
	for serial, sent := range k.pending {
		if now.Sub(sent) > k.opt.TTL {
			delete(k.pending, serial)
		}
	}
}

func (k *LeaseKeeper) send(ctx context.Context, r ledger.LeaseRecord) {
	k.mu.Lock()
	k.serial++
	r.Name, r.Holder, r.Serial = k.opt.Name, k.opt.Holder, k.serial
	if r.Op != ledger.LeaseRelease {
		r.TTL = manifest.Duration(k.opt.TTL)
		k.pending[r.Serial] = time.Now()
	}
	k.mu.Unlock()
	data, err := ledger.Encode(ledger.RulesVersion, &r)
	if err == nil {
		_, err = k.opt.Log.Append(ctx, ledger.StreamLeases, data)
	}
	if errors.Is(err, ports.ErrNotAppended) {
		k.mu.Lock()
		delete(k.pending, r.Serial)
		k.mu.Unlock()
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Next implements Sink.
func (k *LeaseKeeper) Next() ports.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Next()
}

// Gap implements Sink.
func (k *LeaseKeeper) Gap(first ports.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Gap(first)
}

// CaughtUp implements Sink.
func (k *LeaseKeeper) CaughtUp(ports.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.caughtUp = true
}

// Apply implements Sink.
func (k *LeaseKeeper) Apply(r ports.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.state.Apply(r)
	if d.Record.Name != k.opt.Name {
		return
	}
	if d.Record.Holder == k.opt.Holder {
		k.applyOwn(d)
		return
	}
	if d.Outcome == ledger.Accepted && d.Record.Op == ledger.LeaseRelease {
		k.notBefore = time.Now().Add(k.jitter())
	} else if d.Outcome != ledger.Refused {
		k.postpone(d)
	}
}

// postpone delays acquisition for the TTL of a record that holds the lease, or may
// hold it after a gap. Earlier attempts would be refused; after a gap each would
// also prolong the time during which the holder is unknown.
func (k *LeaseKeeper) postpone(d ledger.LeaseDecision) {
	k.notBefore = time.Now().Add(time.Duration(d.Record.TTL) + k.jitter())
}

// jitter returns a random delay, so that keepers do not compete in step for a lease
// that becomes free.
func (k *LeaseKeeper) jitter() time.Duration {
	return time.Duration(k.tail.backoff.random.int64n(int64(k.opt.TTL) / renewDivisor))
}

// applyOwn applies the decision on a record of this keeper.
func (k *LeaseKeeper) applyOwn(d ledger.LeaseDecision) {
	sent, known := k.pending[d.Record.Serial]
	delete(k.pending, d.Record.Serial)
	switch {
	case d.Outcome == ledger.Refused:
		k.fence = 0
		k.notBefore = time.Now().Add(k.opt.TTL / renewDivisor)
	case d.Outcome == ledger.Undecided:
		k.postpone(d)
	case d.Outcome == ledger.Accepted && known:
		k.accept(d, sent.Add(time.Duration(d.Record.TTL)-k.opt.TTL/marginDivisor))
	}
}

// accept applies an accepted record. A renewal that the log appended late may be
// read after a newer one, and then does not shorten the lease.
func (k *LeaseKeeper) accept(d ledger.LeaseDecision, until time.Time) {
	if k.fence == d.Fence && until.Before(k.validUntil) {
		return
	}
	k.fence, k.validUntil = d.Fence, until
}
