package orders

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/ports"
)

// Lease is the lease of the rollout leader, stored in the platform's log.
// *logio.LeaseKeeper implements it and renews the lease by itself.
type Lease interface {
	// Holding returns the lease if it is valid at the given time. It is safe for
	// concurrent use.
	Holding(now time.Time) (logio.HeldLease, bool)
	// Release releases the lease, so that the next holder need not wait for its
	// expiry.
	Release(ctx context.Context)
}

// leaseTerm is a period for which the lease is held under one fencing token.
type leaseTerm struct {
	fence ports.Offset
	since time.Time // see rollout.Input.Since
	lost  bool      // the lease expired, or an endpoint saw a higher fencing token
}

// checkLease reports whether the lease is held, and whether it was acquired since
// the last call. No state is kept across acquisitions: another holder may have sent
// orders in between.
func (l *Leader) checkLease(now time.Time) (held, taken bool) {
	h, ok := l.o.Lease.Holding(now)
	if !ok {
		l.loseLease(ErrLeaseExpired)
		return false, false
	}
	if h.Fence == l.term.fence {
		return !l.term.lost, false
	}
	l.loseLease(ErrLeaseExpired)
	l.term = leaseTerm{fence: h.Fence, since: now.Add(l.o.Rollout.MaxOrderTime)}
	l.o.Observe(Event{Kind: EventLeaseAcquired, Fence: h.Fence})
	return true, true
}

// loseLease marks the current term as lost, so that no more orders are sent in it.
func (l *Leader) loseLease(reason error) {
	if l.term.fence == 0 || l.term.lost {
		return
	}
	l.term.lost = true
	l.o.Observe(Event{Kind: EventLeaseLost, Fence: l.term.fence, Err: reason})
}

// sendGuard returns a function that reports whether an order may be sent now, that
// is, whether the lease remains valid for SendTimeout. It checks the lease on each
// call: a process that was paused must notice that its lease has expired right
// before the bytes are written. The function is safe for concurrent use.
func (l *Leader) sendGuard() func() bool {
	fence := l.term.fence
	return func() bool {
		h, ok := l.o.Lease.Holding(time.Now().Add(l.o.SendTimeout))
		return ok && h.Fence == fence
	}
}
