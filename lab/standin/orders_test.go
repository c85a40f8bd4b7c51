package standin_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// The daemon that gives orders stops for minutes right before it writes one:
// a garbage collection, or its VM is moved. Its lease lapses and another daemon
// rolls out a newer manifest. When the first wakes up it still believes that it
// holds the lease; the order that it was about to write must not leave.
func TestSuspendedLeaderSendsNoStaleOrder(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12, fences)
				first, _ := f.startLeader()
				time.Sleep(30 * time.Second)
				first.pause(5*time.Minute, 0)
				f.publish("v2")
				time.Sleep(5 * time.Second)
				f.publish("v3")
				f.startLeader()
				time.Sleep(6 * time.Minute)
				f.waitForVersion("v3")
				f.checkNoneExecuted("v2")
				if f.store.MaxConcurrentLoads() > 2 {
					t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
				}
			})
		})
	}
}

func (f *orderedFleet) checkNoneExecuted(version string) {
	f.t.Helper()
	for id, r := range f.runners {
		for _, o := range r.ExecutedOrders() {
			if o.Version == version {
				f.t.Errorf("%s took an order for %s", id, version)
			}
		}
	}
}

// The bytes of an order are on their way for minutes, longer than any timeout
// allows for. An engine that knows fencing numbers refuses them. Another one
// loads the older version; the present holder reads that back and puts it
// right, one load beyond the limit at the most, and requests never run on the
// wrong version, since they name theirs.
func TestOrderDelayedBeyondLease(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12, fences)
				first, stop := f.startLeader()
				time.Sleep(30 * time.Second)
				first.pause(0, 5*time.Minute)
				f.publish("v2")
				time.Sleep(5 * time.Second)
				stop()
				f.publish("v3")
				f.startLeader()
				time.Sleep(6 * time.Minute)
				f.waitForVersion("v3")
				if f.store.MaxConcurrentLoads() > 3 {
					t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
				}
				if late := first.lateAddress.Load().(string); fences != f.executedOnly(late, "v3") {
					t.Errorf("runner that fences %v: took %v", fences, f.runners[late].ExecutedOrders())
				}
			})
		})
	}
}

// A daemon stops while its last order is still on its way to a runner, and gives
// the lease up. The next holder, who thinks that this runner is leaving, must not
// fill the loads of the fleet before that order has arrived or never will.
func TestNewLeaderWaitsForOrderInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, false)
		first := &leaderTransport{f: f}
		stop := f.runLeader(first, fixedLease(1), fixedLease(1).run)
		time.Sleep(30 * time.Second)
		first.pause(0, 4*time.Second)
		f.publish("v2")
		time.Sleep(1500 * time.Millisecond)
		stop()
		f.setLeaving(first.lateAddress.Load().(string), true)
		f.runLeader(&leaderTransport{f: f}, fixedLease(2), fixedLease(2).run)
		time.Sleep(30 * time.Second)
		f.setLeaving(first.lateAddress.Load().(string), false)
		f.waitForVersion("v2")
		if f.store.MaxConcurrentLoads() > 2 {
			t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
		}
	})
}

// Six daemons start at once and all want to give orders. If two did, the weight
// store would see twice the loads that it bears.
func TestSingleLeaderAmongManyDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for range 6 {
			f.startLeader()
		}
		f.publish("v2")
		t.Logf("12 runners, 2 loads of %v at once: %v", loadTime, f.waitForVersion("v2"))
		if f.store.MaxConcurrentLoads() != 2 {
			t.Errorf("%d loads at once, want 2", f.store.MaxConcurrentLoads())
		}
	})
}

// Answers are lost after orders took effect, a runner crashes in mid-load and
// comes back empty. The rollout ends, within the limit of loads.
func TestRolloutWithLostAnswersAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for _, r := range f.runners {
			r.DropAnswers(1)
		}
		f.startLeader()
		f.publish("v2")
		crashed := false
		for !crashed {
			time.Sleep(10 * time.Second)
			for _, r := range f.runners {
				if r.Status().Loading != nil && !crashed {
					crashed = true
					r.Crash()
					r.Restart()
				}
			}
		}
		f.waitForVersion("v2")
		if f.store.MaxConcurrentLoads() > 2 {
			t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
		}
	})
}

// Another user of the weight store takes its capacity, so that it refuses loads.
// Orders wait as long as it asks for.
func TestWeightStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, true)
		f.store.Refuse = 1
		f.startLeader()
		f.publish("v2")
		f.waitForVersion("v2")
		if f.store.MaxConcurrentLoads() != 1 {
			t.Errorf("%d loads at once, want 1", f.store.MaxConcurrentLoads())
		}
	})
}

// The weight store is down for ten minutes and each load that was begun fails. A
// quarter of the runners at the most may wait for it; the rest serve on.
func TestWeightStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for _, r := range f.runners {
			r.FailLoads(true)
		}
		f.startLeader()
		time.Sleep(30 * time.Second)
		f.publish("v2")
		for range 60 {
			time.Sleep(10 * time.Second)
			serving := 0
			for _, r := range f.runners {
				serving += len(r.Status().Models)
			}
			if serving < 9 {
				t.Fatalf("%d of 12 runners serve", serving)
			}
		}
		for _, r := range f.runners {
			r.FailLoads(false)
		}
		f.waitForVersion("v2")
	})
}
