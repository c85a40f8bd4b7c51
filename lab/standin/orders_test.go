package standin_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// The rollout leader is suspended for minutes right before it sends an order, for
// example by garbage collection or a migration of its VM. Its lease expires and
// another daemon rolls out a newer manifest. When the first one resumes, it still
// assumes that it holds the lease; it must not send the outdated order.
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
					t.Errorf("%d concurrent loads", f.store.MaxConcurrentLoads())
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
				f.t.Errorf("%s executed an order for %s", id, version)
			}
		}
	}
}

// The bytes of an order are delayed in the network for minutes, longer than any
// timeout. A runner that checks fencing tokens refuses the order. One that does not
// loads the outdated version; the current leader reads its status and corrects it,
// with at most one load above the limit. Requests never run on the wrong version,
// since they name theirs.
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
					t.Errorf("%d concurrent loads", f.store.MaxConcurrentLoads())
				}
				if late := first.lateAddress.Load().(string); fences != f.executedOnly(late, "v3") {
					t.Errorf("runner with fences %v executed %v", fences, f.runners[late].ExecutedOrders())
				}
			})
		})
	}
}

// A leader stops and releases its lease while its last order is still in transit.
// The next leader regards the runner that the order goes to as leaving. It must not
// start as many loads as the limit allows before the order has arrived or can no
// longer arrive.
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
			t.Errorf("%d concurrent loads", f.store.MaxConcurrentLoads())
		}
	})
}

// Six daemons start at once and compete for the rollout lease. Two leaders would
// start twice the number of loads that the weight store allows.
func TestSingleLeaderAmongManyDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for range 6 {
			f.startLeader()
		}
		f.publish("v2")
		t.Logf("12 runners, 2 concurrent loads of %v: %v", loadTime, f.waitForVersion("v2"))
		if f.store.MaxConcurrentLoads() != 2 {
			t.Errorf("%d concurrent loads, want 2", f.store.MaxConcurrentLoads())
		}
	})
}

// Answers are lost after orders took effect, and a runner crashes during a load and
// restarts empty. The rollout must still end, within the limit of concurrent loads.
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
			t.Errorf("%d concurrent loads", f.store.MaxConcurrentLoads())
		}
	})
}

// Another user of the weight store takes up its capacity, so that it refuses loads.
// The leader must wait for the time that Retry-After states.
func TestWeightStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, true)
		f.store.Refuse = 1
		f.startLeader()
		f.publish("v2")
		f.waitForVersion("v2")
		if f.store.MaxConcurrentLoads() != 1 {
			t.Errorf("%d concurrent loads, want 1", f.store.MaxConcurrentLoads())
		}
	})
}

// The weight store is down for ten minutes, so that each load fails at its end. At
// most a quarter of the runners may be without weights meanwhile; the rest must
// keep serving.
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
