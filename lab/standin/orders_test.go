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
func TestPausedHolderWakesUp(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12, fences)
				first, _ := f.holder()
				time.Sleep(30 * time.Second)
				first.pause(5*time.Minute, 0)
				f.publish("v2")
				time.Sleep(5 * time.Second)
				f.publish("v3")
				f.holder()
				time.Sleep(6 * time.Minute)
				f.wait("v3")
				f.noneTaken("v2")
				if f.store.MaxConcurrentLoads() > 2 {
					t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
				}
			})
		})
	}
}

func (f *fleetOf) noneTaken(version string) {
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
func TestOrderArrivesAfterTheLeaseWentElsewhere(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12, fences)
				first, stop := f.holder()
				time.Sleep(30 * time.Second)
				first.pause(0, 5*time.Minute)
				f.publish("v2")
				time.Sleep(5 * time.Second)
				stop()
				f.publish("v3")
				f.holder()
				time.Sleep(6 * time.Minute)
				f.wait("v3")
				if f.store.MaxConcurrentLoads() > 3 {
					t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
				}
				if late := first.late.Load().(string); fences != f.tookOnly(late, "v3") {
					t.Errorf("runner that fences %v: took %v", fences, f.runners[late].ExecutedOrders())
				}
			})
		})
	}
}

// A daemon stops while its last order is still on its way to a runner, and gives
// the lease up. The next holder, who thinks that this runner is leaving, must not
// fill the loads of the fleet before that order has arrived or never will.
func TestNextHolderWaitsOutTheLastOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, false)
		first := &path{f: f}
		stop := f.give(first, held(1), held(1).run)
		time.Sleep(30 * time.Second)
		first.pause(0, 4*time.Second)
		f.publish("v2")
		time.Sleep(1500 * time.Millisecond)
		stop()
		f.leaving(first.late.Load().(string), true)
		f.give(&path{f: f}, held(2), held(2).run)
		time.Sleep(30 * time.Second)
		f.leaving(first.late.Load().(string), false)
		f.wait("v2")
		if f.store.MaxConcurrentLoads() > 2 {
			t.Errorf("%d loads at once", f.store.MaxConcurrentLoads())
		}
	})
}

// Six daemons start at once and all want to give orders. If two did, the weight
// store would see twice the loads that it bears.
func TestManyDaemonsOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for range 6 {
			f.holder()
		}
		f.publish("v2")
		t.Logf("12 runners, 2 loads of %v at once: %v", loadTime, f.wait("v2"))
		if f.store.MaxConcurrentLoads() != 2 {
			t.Errorf("%d loads at once, want 2", f.store.MaxConcurrentLoads())
		}
	})
}

// Answers are lost after orders took effect, a runner crashes in mid-load and
// comes back empty. The rollout ends, within the limit of loads.
func TestRolloutWithLostAnswersAndACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, true)
		for _, r := range f.runners {
			r.DropAnswers(1)
		}
		f.holder()
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
		f.wait("v2")
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
		f.holder()
		f.publish("v2")
		f.wait("v2")
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
		f.holder()
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
		f.wait("v2")
	})
}
