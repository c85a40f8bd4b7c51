package orders

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/ports"
)

// Lease is the lease of the giver of orders, kept in the platform's log.
// *logio.LeaseKeeper is one; it renews the lease by itself.
type Lease interface {
	// Holding returns the lease if it may be relied on at the given time. It is
	// called by any goroutine.
	Holding(now time.Time) (logio.HeldLease, bool)
	// Release gives the lease up, so that the next holder need not wait for its
	// end.
	Release(ctx context.Context)
}

// tenure is the time for which one grant of the lease is held, by its fencing
// number.
type tenure struct {
	fence ports.Offset
	since time.Time // see rollout.Input.Since
	lost  bool      // an endpoint has shown that another one holds the lease
}

// begin looks at the lease and tells whether it is held, and whether it was
// taken anew since the last call. Each taking starts from nothing: another
// holder may have given orders between two of them.
func (g *Giver) begin(now time.Time) (held, taken bool) {
	h, ok := g.o.Lease.Holding(now)
	if !ok {
		g.end(ErrLapsed)
		return false, false
	}
	if h.Fence == g.tenure.fence {
		return !g.tenure.lost, false
	}
	g.end(ErrLapsed)
	g.tenure = tenure{fence: h.Fence, since: now.Add(g.o.Rollout.LongestOrder)}
	g.o.Observe(Event{Kind: EventTaken, Fence: h.Fence})
	return true, true
}

// end marks that orders are no longer given under the present fencing number.
func (g *Giver) end(reason error) {
	if g.tenure.fence == 0 || g.tenure.lost {
		return
	}
	g.tenure.lost = true
	g.o.Observe(Event{Kind: EventLost, Fence: g.tenure.fence, Err: reason})
}

// allowed returns a function that tells whether an order may leave now, with
// the time that it needs until its answer. It asks the lease anew each time: a
// holder that was paused must find out that its lease has lapsed at the last
// moment before the bytes leave. It may be called by any goroutine.
func (g *Giver) allowed() func() bool {
	fence := g.tenure.fence
	return func() bool {
		h, ok := g.o.Lease.Holding(time.Now().Add(g.o.SendTimeout))
		return ok && h.Fence == fence
	}
}
