package orders

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/platform"
)

// Grant is a lease as its holder may rely on it.
type Grant struct {
	Fence platform.Offset // of the record that took it
	// Until is when it ends, on this process's monotonic clock, reckoned from
	// before the record was sent, so that it ends here before it ends for
	// anyone who goes by the log's times.
	Until time.Time
}

// Lease is the lease of the giver of orders, kept in the platform's log.
type Lease interface {
	// Acquire takes the lease if nobody holds it. It returns ErrHeld when
	// another daemon does.
	Acquire(ctx context.Context) (Grant, error)
	// Renew extends a grant under the same fencing number. It returns ErrHeld
	// when the lease has gone to another daemon.
	Renew(ctx context.Context, g Grant) (Grant, error)
	// Release gives the lease up.
	Release(ctx context.Context, g Grant) error
}

// keeper takes the lease and renews it. It is used by one goroutine.
type keeper struct {
	lease   Lease
	renew   time.Duration
	observe func(Event)

	held    bool
	grant   Grant
	since   time.Time // see rollout.Input.Since
	renewed time.Time
	settle  time.Duration
}

// allowed returns a function that tells whether the present grant lasts for
// the given time to come. It reads the clock anew each time: a holder that was
// paused must find out that its lease has lapsed at the last moment before an
// order leaves. The function may be called by any goroutine.
func (k *keeper) allowed(margin time.Duration) func() bool {
	until := k.grant.Until
	return func() bool { return time.Now().Add(margin).Before(until) }
}

// keep takes or renews the lease when that is due, and tells whether a new one
// was taken.
func (k *keeper) keep(ctx context.Context) (taken bool) {
	now := time.Now()
	if k.held && !now.Before(k.grant.Until) {
		k.drop(ErrLapsed)
	}
	if !k.held {
		return k.acquire(ctx)
	}
	if now.Sub(k.renewed) < k.renew {
		return false
	}
	k.renewed = now
	g, err := k.lease.Renew(ctx, k.grant)
	if err != nil {
		k.observe(Event{Kind: EventLease, Err: err})
		if heldElsewhere(err) {
			k.drop(err)
		}
		return false
	}
	k.grant = g
	return false
}

func (k *keeper) acquire(ctx context.Context) bool {
	g, err := k.lease.Acquire(ctx)
	if err != nil {
		if !heldElsewhere(err) {
			k.observe(Event{Kind: EventLease, Err: err})
		}
		return false
	}
	now := time.Now()
	k.held, k.grant, k.renewed = true, g, now
	k.since = now.Add(k.settle)
	k.observe(Event{Kind: EventTaken, Fence: g.Fence})
	return true
}

// drop forgets the lease without a word to the log: it is not ours any more.
func (k *keeper) drop(reason error) {
	k.held = false
	k.observe(Event{Kind: EventLost, Fence: k.grant.Fence, Err: reason})
}

// release gives the lease up, so that the next holder need not wait for its
// end.
func (k *keeper) release(ctx context.Context) {
	if !k.held {
		return
	}
	k.held = false
	if err := k.lease.Release(ctx, k.grant); err != nil {
		k.observe(Event{Kind: EventLease, Err: err})
	}
}
