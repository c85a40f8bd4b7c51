package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/weights"
)

// lastHolder returns the index of the daemon that gave the last order.
func (e *rolloutEngines) lastHolder() int {
	e.mu.Lock()
	holder := e.orders[len(e.orders)-1].holder
	e.mu.Unlock()
	e.zone.mu.Lock()
	defer e.zone.mu.Unlock()
	return slices.IndexFunc(e.zone.daemons, func(r *Router) bool {
		return r.options.Settings.Name+"@"+r.options.Settings.CallerAddress == holder
	})
}

// silence makes the first engines answer no orders.
func (e *rolloutEngines) silence(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range n {
		e.engines[fmt.Sprint("e", i)].silent = true
	}
}

// Guards against rollouts that stand still while an engine leaves its order unanswered: the
// others would get none for as long as the leader waits.
func TestUnansweredOrderDoesNotHoldUpOthers(t *testing.T) {
	rollout := func(silent int) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			_, e := newRolloutZone(t, 3, 18)
			e.silence(silent)
			time.Sleep(zoneSettleTime)
			e.name(2)
			began := time.Now()
			for e.behind(2) > silent && time.Since(began) < time.Minute {
				time.Sleep(50 * time.Millisecond)
			}
			took = time.Since(began)
			e.checkOrders(t)
		})
		return took
	}
	all, one := rollout(0), rollout(1)
	t.Logf("%v with all engines, %v with one that answers no order", all, one)
	// One of the orders given at a time is always that of the silent engine.
	if one > all*3/2 {
		t.Errorf("a rollout takes %v with one engine that answers no order, %v without", one, all)
	}
}

// Guards against a rollout that stands still for seconds: engines that are still loading an
// older version when they are due for an order would count as under that order long after
// the load has ended.
func TestEndedLoadOfOlderVersionLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := newRolloutZone(t, 3, 18)
		time.Sleep(zoneSettleTime)
		loading := map[string]bool{"e0": true, "e10": true, "e11": true, "e12": true} // the first four by key
		e.mu.Lock()
		for id := range loading {
			e.carryOut(id, weights.Order{Version: 2})
		}
		e.mu.Unlock()
		e.name(3)
		named := time.Now()
		time.Sleep(3 * zoneSettings.VersionWithin / 2)
		if n := e.behind(3); n > 0 {
			t.Errorf("%d engines are older than the named version", n)
		}
		e.checkOrders(t)
		e.mu.Lock()
		defer e.mu.Unlock()
		first := e.orders[0]
		t.Logf("the first order was given to %s after %v", first.to, first.at.Sub(named))
		if loading[first.to] {
			t.Errorf("%s got an order before engines with older weights", first.to)
		}
		// The next poll after a load shows its end.
		least, most := rolloutLoadTime, rolloutLoadTime+2*loadPollInterval
		if after := first.at.Sub(named); after < least || after > most {
			t.Errorf("the first order was given %v after the version was named, want %v to %v", after, least, most)
		}
	})
}

// Guards against engines with the oldest weights that wait for their orders while others get
// theirs first whose entries are older than their weights.
func TestOldestEnginesAreOrderedFirstByTheirReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, e := newRolloutZone(t, 3, 18)
		time.Sleep(zoneSettleTime)
		newer := map[string]bool{"e0": true, "e1": true, "e10": true, "e11": true}
		e.mu.Lock()
		for id := range newer {
			e.engines[id].version, e.engines[id].gone = 2, true
		}
		e.mu.Unlock()
		e.name(3)
		time.Sleep(3 * zoneSettings.VersionWithin)
		if n := e.behind(3); n > 0 {
			t.Errorf("%d engines are older than the named version", n)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		first := map[string]time.Time{}
		for _, o := range e.orders {
			if first[o.to].IsZero() {
				first[o.to] = o.at
			}
		}
		for id := range newer {
			for other, at := range first {
				if !newer[other] && first[id].Before(at) {
					t.Errorf("%s, whose weights are newer, got its order %v before %s", id, at.Sub(first[id]), other)
				}
			}
		}
	})
}

// Guards against rollouts that stand still because the leader is cut off from all engines
// and keeps the lease.
func TestLeaderCutFromEnginesPassesTheLease(t *testing.T) {
	// A rollout may take 15 s, and the lease lapses before another daemon claims it.
	bound := 15*time.Second + zoneSettings.OrderLease
	synctest.Test(t, func(t *testing.T) {
		z, e := newRolloutZone(t, 3, 18)
		time.Sleep(zoneSettleTime)
		e.name(2)
		time.Sleep(2 * time.Second)
		leader := z.daemons[e.lastHolder()].options.Settings.Name
		z.setFlag(z.cutOff, true, leader)
		e.name(3)
		time.Sleep(bound)
		if n := e.behind(3); n > 0 {
			t.Errorf("%d engines have older weights %v after a version was named, the leader was cut off from engines", n, bound)
		}
		e.checkOrders(t)
	})
}

// Guards against engines that are left behind when versions are named within seconds, half
// of the orders are carried out late, and the leader is frozen, then killed.
func TestRolloutsWithLateOrdersAndFailingLeaders(t *testing.T) {
	const bound = 15 * time.Second
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z, e := newRolloutZone(t, 6, 18)
				e.late = rand.New(rand.NewPCG(seed, 3))
				time.Sleep(zoneSettleTime)
				e.name(2)
				time.Sleep(2100 * time.Millisecond)
				frozen := z.daemons[e.lastHolder()].options.Settings.Name
				z.setFlag(z.frozen, true, frozen)
				time.Sleep(3200 * time.Millisecond)
				e.name(3)
				third := time.Now()
				time.Sleep(1900 * time.Millisecond)
				z.setFlag(z.frozen, false, frozen)
				time.Sleep(3400 * time.Millisecond)
				e.name(4)
				time.Sleep(600 * time.Millisecond)
				z.restart(e.lastHolder(), 500*time.Millisecond)
				time.Sleep(time.Until(third.Add(3 * bound / 2)))
				n := e.behind(3)
				t.Logf("%d of 18 engines are older than version 3 after %v, %d orders", n, 3*bound/2, len(e.orders))
				if n > 1 {
					t.Errorf("%d of 18 engines are older than a version named %v ago", n, 3*bound/2)
				}
				e.checkOrders(t)
			})
		})
	}
}
