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

// DefaultLeaseTTL is how long a lease lasts without renewal.
const DefaultLeaseTTL = 15 * time.Second

// Parts of a lease's time.
const (
	renewParts  = 3  // a holder renews after this part of the TTL
	marginParts = 10 // a holder stops this part of the TTL early, against clocks that run unlike
	maxPending  = 16 // own records whose decision has not been read
)

// HeldLease is a lease as its holder may rely on it.
type HeldLease struct {
	Fence      ports.Offset // goes with each order
	ValidUntil time.Time    // by this process's clock; rely on nothing after
}

// LeaseOptions of a LeaseKeeper.
type LeaseOptions struct {
	Log    ports.Log
	Name   string
	Holder string        // unique to this life of the process
	TTL    time.Duration // 0 takes DefaultLeaseTTL
	Poll   time.Duration
	Seed   uint64
	// ShouldHold tells whether this process should hold the lease now. May be nil,
	// which means always.
	ShouldHold func() bool
}

// LeaseKeeper competes for one lease and renews it while it is held.
//
// A holder judges its lease by the time at which it sent the record that was
// accepted, so that it stops before any reader of the log can see another
// holder. It takes the later of monotonic and wall clock: a suspended VM's
// monotonic clock stands still, and the holder would wake up believing that
// its lease still runs.
type LeaseKeeper struct {
	opt  LeaseOptions
	tail *Tail
	wake chan struct{}

	mu      sync.Mutex // guards what follows
	fold    *ledger.Leases
	caught  bool
	serial  int
	pending map[int]time.Time // send times of own records by serial
	fence   ports.Offset      // 0: not held
	valid   time.Time         // of the lease held
	quiet   time.Time         // no attempt before, since another may hold it
}

// NewLeaseKeeper returns a keeper that holds nothing.
func NewLeaseKeeper(o LeaseOptions) *LeaseKeeper {
	if o.TTL == 0 {
		o.TTL = DefaultLeaseTTL
	}
	if o.ShouldHold == nil {
		o.ShouldHold = func() bool { return true }
	}
	k := &LeaseKeeper{opt: o, fold: ledger.NewLeases(), pending: make(map[int]time.Time), wake: make(chan struct{}, 1)}
	k.tail = NewTail(TailOptions{Log: o.Log, Stream: ledger.StreamLeases, Sink: k, Poll: o.Poll, Seed: o.Seed, Wake: k.wake})
	return k
}

// Holding returns the lease if it may be relied on at now. Ask right before
// each order.
func (k *LeaseKeeper) Holding(now time.Time) (HeldLease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 || passed(now, k.valid) {
		return HeldLease{}, false
	}
	return HeldLease{Fence: k.fence, ValidUntil: k.valid}, true
}

// passed compares by both clocks and believes the later one.
func passed(now, until time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// CurrentLease returns who holds the lease, as far as the log says.
func (k *LeaseKeeper) CurrentLease() (ledger.Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok, _ := k.fold.Holder(k.opt.Name, k.fold.Clock())
	return l, ok
}

// Run competes for the lease until the context ends.
func (k *LeaseKeeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.tail.Run(ctx) })
	g.Go(func() error { return k.compete(ctx) })
	return g.Wait()
}

// Release ends the lease early, so that another need not wait it out. Call it
// after the last order has been answered.
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
	step := k.opt.TTL / (2 * renewParts)
	for {
		if err := pause.For(ctx, step-time.Duration(k.tail.back.random.int64n(int64(step)/4+1))); err != nil {
			return err
		}
		if r, ok := k.next(time.Now()); ok {
			call, cancel := context.WithTimeout(ctx, k.opt.TTL/renewParts)
			k.send(call, r)
			cancel()
		}
	}
}

// next is the record to append at now, if any.
func (k *LeaseKeeper) next(now time.Time) (ledger.LeaseRecord, bool) {
	want := k.opt.ShouldHold()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence != 0 && passed(now, k.valid) {
		k.fence = 0
	}
	k.forget(now)
	switch {
	case !want || !k.caught || len(k.pending) >= maxPending:
		return ledger.LeaseRecord{}, false
	case k.fence != 0 && k.valid.Sub(now) < k.opt.TTL*(renewParts-1)/renewParts:
		return ledger.LeaseRecord{Op: ledger.LeaseRenew, Fence: k.fence}, true
	case k.fence == 0 && now.After(k.quiet):
		return ledger.LeaseRecord{Op: ledger.LeaseAcquire}, true
	default:
		return ledger.LeaseRecord{}, false
	}
}

func (k *LeaseKeeper) forget(now time.Time) {
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
	return k.fold.Next()
}

// Gap implements Sink.
func (k *LeaseKeeper) Gap(first ports.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fold.Gap(first)
}

// CaughtUp implements Sink.
func (k *LeaseKeeper) CaughtUp(ports.Offset) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.caught = true
}

// Apply implements Sink.
func (k *LeaseKeeper) Apply(r ports.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.fold.Apply(r)
	if d.Record.Name != k.opt.Name {
		return
	}
	if d.Record.Holder == k.opt.Holder {
		k.own(d)
		return
	}
	if d.Outcome == ledger.Accepted && d.Record.Op == ledger.LeaseRelease {
		k.quiet = time.Now().Add(k.spread())
	} else if d.Outcome != ledger.Refused {
		k.hush(d)
	}
}

// hush waits out a record that holds the lease, or may hold it behind a gap.
// Attempts before would be refused; behind a gap each would also prolong the
// time for which nobody can tell who holds the lease.
func (k *LeaseKeeper) hush(d ledger.LeaseDecision) {
	k.quiet = time.Now().Add(time.Duration(d.Record.TTL) + k.spread())
}

// spread keeps keepers from asking in step for a lease that came free.
func (k *LeaseKeeper) spread() time.Duration {
	return time.Duration(k.tail.back.random.int64n(int64(k.opt.TTL) / renewParts))
}

// own takes the decision on one of this keeper's records.
func (k *LeaseKeeper) own(d ledger.LeaseDecision) {
	sent, known := k.pending[d.Record.Serial]
	delete(k.pending, d.Record.Serial)
	switch {
	case d.Outcome == ledger.Refused:
		k.fence = 0
		k.quiet = time.Now().Add(k.opt.TTL / renewParts)
	case d.Outcome == ledger.Undecided:
		k.hush(d)
	case d.Outcome == ledger.Accepted && known:
		k.hold(d, sent.Add(time.Duration(d.Record.TTL)-k.opt.TTL/marginParts))
	}
}

// hold takes an acceptance. A renewal that the log took late may be read after
// a later one, whose time then stands.
func (k *LeaseKeeper) hold(d ledger.LeaseDecision, until time.Time) {
	if k.fence == d.Fence && until.Before(k.valid) {
		return
	}
	k.fence, k.valid = d.Fence, until
}
