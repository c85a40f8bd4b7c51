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

// leader is a daemon that sends orders to endpoints while it holds the lease.
type leader struct {
	log    *plog.View
	keeper *logio.LeaseKeeper
	kill   context.CancelFunc
	paused bool
	// ignoresExpiry makes it send orders with its last lease even after expiry.
	ignoresExpiry bool
	fence         ports.Offset
}

// currentFence returns the fencing token that the leader would send now, and
// whether it would send orders.
func (l *leader) currentFence() (ports.Offset, bool) {
	h, ok := l.keeper.Holding(time.Now())
	if ok {
		l.fence = h.Fence
	}
	if l.ignoresExpiry && l.fence != 0 {
		return l.fence, true
	}
	return h.Fence, ok
}

// leaseTest runs several leaders and two endpoints, one of which checks fencing
// tokens while the other accepts every order.
type leaseTest struct {
	t          *testing.T
	log        *plog.Log
	rec        *Recorder
	leaders    []*leader
	sentOrders int
	newest     ports.Offset // fencing token at the endpoint that checks it
}

func newLeaseTest(t *testing.T, n int) *leaseTest {
	lt := &leaseTest{t: t, log: plog.New(plog.Options{Retention: Retention}), rec: NewRecorder()}
	for i := range n {
		lt.leaders = append(lt.leaders, lt.start(fmt.Sprintf("life-%d", i), uint64(i)))
	}
	return lt
}

func (lt *leaseTest) start(holder string, seed uint64) *leader {
	ctx, cancel := context.WithCancel(lt.t.Context())
	l := &leader{log: lt.log.View(), kill: cancel}
	l.keeper = logio.NewLeaseKeeper(logio.LeaseOptions{
		Log: l.log, Name: "orders", Holder: holder, TTL: leaseTTL, Poll: 500 * time.Millisecond, Seed: seed,
	})
	go func() { _ = l.keeper.Run(ctx) }()
	return l
}

// pause suspends or resumes a leader. Like a suspended VM, a paused leader
// neither reads nor writes the log.
func (l *leader) pause(on bool) {
	l.paused = on
	if on {
		l.log.Disconnect()
	} else {
		l.log.Reconnect()
	}
}

// run runs for a duration in which every leader that holds the lease sends
// orders.
func (lt *leaseTest) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, l := range lt.leaders {
			if fence, ok := l.currentFence(); ok && !l.paused {
				lt.sendOrder(i, fence)
			}
		}
	}
}

func (lt *leaseTest) sendOrder(client int, fence ports.Offset) {
	lt.sentOrders++
	lt.rec.Add(client, lt.rec.Now(), acceptedOrder{endpoint: "accepts all", fence: fence}, nil)
	time.Sleep(time.Microsecond)
	if fence >= lt.newest {
		lt.newest = fence
		lt.rec.Add(client, lt.rec.Now(), acceptedOrder{endpoint: "checks", fence: fence}, nil)
		time.Sleep(time.Microsecond)
	}
}

func (lt *leaseTest) fencingHolds() bool { return satisfies(monotonicFence, lt.rec.Events()) }

func (lt *leaseTest) stop() {
	for _, l := range lt.leaders {
		l.kill()
	}
	synctest.Wait()
}

func (lt *leaseTest) holder() int {
	for i, l := range lt.leaders {
		if _, ok := l.keeper.Holding(time.Now()); ok {
			return i
		}
	}
	return -1
}

func TestPausedLeaseHolderSendsNoOrders(t *testing.T) {
	// The VM of the lease holder is suspended for a minute, and another daemon
	// takes the lease over and sends orders. After it resumes, the first holder
	// must send no orders, even to an endpoint that does not check fencing tokens.
	// With holders that ignore the expiry, the checker must detect a violation.
	for _, ignoresExpiry := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			lt := newLeaseTest(t, 3)
			lt.run(30 * time.Second)
			first := lt.holder()
			if first < 0 {
				t.Fatal("no daemon holds the lease")
			}
			for _, l := range lt.leaders {
				l.ignoresExpiry = ignoresExpiry
			}
			lt.leaders[first].pause(true)
			lt.run(time.Minute)
			if second := lt.holder(); second < 0 || second == first {
				t.Fatalf("lease held by %d after %d was paused", second, first)
			}
			lt.leaders[first].pause(false)
			lt.run(time.Minute)
			if lt.fencingHolds() == ignoresExpiry {
				t.Fatalf("fencing holds: %v, with holders that ignore the expiry: %v", lt.fencingHolds(), ignoresExpiry)
			}
			lt.stop()
		})
	}
}

func TestLeasesWithRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, lt := rand.New(rand.NewPCG(seed, 5)), newLeaseTest(t, 3)
				for range 15 {
					lt.injectFault(r)
					lt.injectFault(r)
					lt.run(time.Duration(r.IntN(40)) * time.Second)
					lt.log.SetDelay(0)
					lt.leaders[r.IntN(3)].pause(false)
				}
				lt.log.SetOutage(false)
				for _, l := range lt.leaders {
					l.pause(false)
				}
				before := lt.sentOrders
				lt.run(8 * time.Minute)
				if !lt.fencingHolds() || lt.sentOrders == before {
					t.Fatalf("history holds: %v, orders after the faults: %d", lt.fencingHolds(), lt.sentOrders-before)
				}
				lt.stop()
			})
		})
	}
}

func (lt *leaseTest) injectFault(r *rand.Rand) {
	i := r.IntN(len(lt.leaders))
	switch r.IntN(8) {
	case 0:
		lt.log.LoseAnswers(1 + r.IntN(4))
	case 1:
		lt.log.LateAppends(1+r.IntN(4), time.Duration(r.IntN(40))*time.Second)
	case 2:
		lt.log.OutageFor(time.Duration(r.IntN(60)) * time.Second)
	case 3:
		lt.log.SetDelay(time.Duration(r.IntN(8000)) * time.Millisecond)
	case 4:
		lt.log.RepeatReads(r.IntN(20))
	case 5:
		lt.leaders[i].pause(true)
	case 6:
		lt.leaders[i].kill()
		lt.leaders[i] = lt.start(fmt.Sprintf("life-%d-%d", i, lt.sentOrders), r.Uint64())
	case 7:
		lt.log.TruncateAll()
	}
}

func TestLeaseAfterStreamExpired(t *testing.T) {
	// All daemons are replaced after all records of the lease stream have expired,
	// so the stream is empty and does not begin at offset 1. The daemons must wait
	// for the longest lease that could be lost, and then one must get the lease.
	synctest.Test(t, func(t *testing.T) {
		lt := newLeaseTest(t, 0)
		for i := range 3 {
			if _, err := lt.log.Append(t.Context(), "leases", []byte{byte(i)}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * Retention)
		for i := range 3 {
			lt.leaders = append(lt.leaders, lt.start(fmt.Sprintf("new-%d", i), uint64(i)))
		}
		lt.run(8 * time.Minute)
		if lt.holder() < 0 || !lt.fencingHolds() {
			t.Fatalf("lease held by %d", lt.holder())
		}
		lt.stop()
	})
}
