package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/ports"
)

const leaseTTL = 15 * time.Second

// giver is a daemon that gives orders to endpoints while it holds the lease.
type giver struct {
	log    *plog.View
	keeper *logio.LeaseKeeper
	kill   context.CancelFunc
	paused bool
	// trusting makes it go on with a lease once held, whatever the time.
	trusting bool
	fence    ports.Offset
}

// holding is the fencing number that the giver would send now.
func (g *giver) holding() (ports.Offset, bool) {
	h, ok := g.keeper.Holding(time.Now())
	if ok {
		g.fence = h.Fence
	}
	if g.trusting && g.fence != 0 {
		return g.fence, true
	}
	return h.Fence, ok
}

// orders is a number of givers and two endpoints, one of which refuses an old
// fencing number while the other takes every order.
type orders struct {
	t      *testing.T
	log    *plog.Log
	rec    *Recorder
	givers []*giver
	taken  int
	newest ports.Offset // at the endpoint that checks
}

func newOrders(t *testing.T, n int) *orders {
	o := &orders{t: t, log: plog.New(plog.Options{Retention: Retention}), rec: NewRecorder()}
	for i := range n {
		o.givers = append(o.givers, o.open(fmt.Sprintf("life-%d", i), uint64(i)))
	}
	return o
}

func (o *orders) open(life string, seed uint64) *giver {
	ctx, cancel := context.WithCancel(o.t.Context())
	g := &giver{log: o.log.View(), kill: cancel}
	g.keeper = logio.NewLeaseKeeper(logio.LeaseOptions{
		Log: g.log, Name: "orders", Holder: life, TTL: leaseTTL, Poll: 500 * time.Millisecond, Seed: seed,
	})
	go func() { _ = g.keeper.Run(ctx) }()
	return g
}

// pause stops a giver as a suspended VM stops: it reads and writes nothing.
func (g *giver) pause(on bool) {
	g.paused = on
	if on {
		g.log.Disconnect()
	} else {
		g.log.Reconnect()
	}
}

// run lets time pass, in which every giver that holds the lease gives orders.
func (o *orders) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, g := range o.givers {
			if fence, ok := g.holding(); ok && !g.paused {
				o.take(i, fence)
			}
		}
	}
}

func (o *orders) take(client int, fence ports.Offset) {
	o.taken++
	o.rec.Add(client, o.rec.Now(), ordered{endpoint: "takes all", fence: fence}, nil)
	time.Sleep(time.Microsecond)
	if fence >= o.newest {
		o.newest = fence
		o.rec.Add(client, o.rec.Now(), ordered{endpoint: "checks", fence: fence}, nil)
		time.Sleep(time.Microsecond)
	}
}

func (o *orders) holds() bool { return holds(fenced, o.rec.Events()) }

func (o *orders) stop() {
	for _, g := range o.givers {
		g.kill()
	}
	synctest.Wait()
}

func (o *orders) holder() int {
	for i, g := range o.givers {
		if _, ok := g.keeper.Holding(time.Now()); ok {
			return i
		}
	}
	return -1
}

func TestAPausedHolderGivesNoOrderAfterItWakes(t *testing.T) {
	// The VM that holds the lease is suspended for a minute; another takes
	// over and gives orders. The first wakes up and must not order weights
	// that the second has just replaced, not even at an endpoint that takes
	// every order.
	for _, trusting := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			o := newOrders(t, 3)
			o.run(30 * time.Second)
			first := o.holder()
			if first < 0 {
				t.Fatal("nobody holds the lease")
			}
			for _, g := range o.givers {
				g.trusting = trusting
			}
			o.givers[first].pause(true)
			o.run(time.Minute)
			if second := o.holder(); second < 0 || second == first {
				t.Fatalf("held by %d after %d was paused", second, first)
			}
			o.givers[first].pause(false)
			o.run(time.Minute)
			if o.holds() == trusting {
				t.Fatalf("the checker says %v of holders that trust an old lease: %v", o.holds(), trusting)
			}
			o.stop()
		})
	}
}

func TestLeasesUnderSeededPairsOfFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, o := rand.New(rand.NewPCG(seed, 5)), newOrders(t, 3)
				for range 15 {
					o.fault(r)
					o.fault(r)
					o.run(time.Duration(r.IntN(40)) * time.Second)
					o.log.SetDelay(0)
					o.givers[r.IntN(3)].pause(false)
				}
				o.log.SetOutage(false)
				for _, g := range o.givers {
					g.pause(false)
				}
				before := o.taken
				o.run(8 * time.Minute)
				if !o.holds() || o.taken == before {
					t.Fatalf("history holds: %v, orders after the faults: %d", o.holds(), o.taken-before)
				}
				o.stop()
			})
		})
	}
}

func (o *orders) fault(r *rand.Rand) {
	i := r.IntN(len(o.givers))
	switch r.IntN(8) {
	case 0:
		o.log.LoseAnswers(1 + r.IntN(4))
	case 1:
		o.log.LateAppends(1+r.IntN(4), time.Duration(r.IntN(40))*time.Second)
	case 2:
		o.log.OutageFor(time.Duration(r.IntN(60)) * time.Second)
	case 3:
		o.log.SetDelay(time.Duration(r.IntN(8000)) * time.Millisecond)
	case 4:
		o.log.RepeatReads(r.IntN(20))
	case 5:
		o.givers[i].pause(true)
	case 6:
		o.givers[i].kill()
		o.givers[i] = o.open(fmt.Sprintf("life-%d-%d", i, o.taken), r.Uint64())
	case 7:
		o.log.TruncateAll()
	}
}

func TestALeaseIsTakenOverWhenTheWholeStreamHasExpired(t *testing.T) {
	// All daemons are replaced after a long rest and find an empty stream that
	// does not begin at its first record. They wait out the longest lease that
	// could be lost, and then one of them holds it.
	synctest.Test(t, func(t *testing.T) {
		o := newOrders(t, 0)
		for i := range 3 {
			if _, err := o.log.Append(t.Context(), "leases", []byte{byte(i)}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * Retention)
		for i := range 3 {
			o.givers = append(o.givers, o.open(fmt.Sprintf("new-%d", i), uint64(i)))
		}
		o.run(8 * time.Minute)
		if o.holder() < 0 || !o.holds() {
			t.Fatalf("held by %d", o.holder())
		}
		o.stop()
	})
}
