package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

func TestRolloutRespectsLimits(t *testing.T) {
	for _, c := range []struct{ count, limit, leastUp int }{{18, 3, 15}, {9, 2, 7}, {3, 3, 2}, {1, 2, 0}} {
		t.Run(fmt.Sprintf("%d by %d", c.count, c.limit), func(t *testing.T) {
			sim := newSimulation(t, c.count, c.limit)
			sim.manifest = declared(c.limit, "v2")
			took := sim.finish(c.count)
			t.Logf("%d runners, %d loads at once: %v in loads of %v", c.count, c.limit, took, loadTime)
			if sim.serving("v2") != c.count || sim.minServing < c.leastUp {
				t.Errorf("%d serve v2; at the least %d served anything", sim.serving("v2"), sim.minServing)
			}
		})
	}
}

// Answers to orders are lost after the engine has accepted the order. The planner
// must count these loads, or it would exceed the limit of loads.
func TestLostAnswersCountAsLoads(t *testing.T) {
	sim := newSimulation(t, 18, 3)
	n := 0
	sim.loseAnswer = func() bool { n++; return n%2 == 0 }
	sim.manifest = declared(3, "v2")
	sim.finish(18)
}

// An engine restarts during a load, without models. It must be ordered to load
// again although the first order was accepted.
func TestEngineRestartDuringLoad(t *testing.T) {
	sim := newSimulation(t, 6, 2)
	sim.manifest = declared(2, "v2")
	for sim.serving("v1") == 6 {
		sim.step()
	}
	for _, r := range sim.runners {
		if r.status.Loading != nil {
			r.restart()
		}
	}
	sim.finish(6)
	if sim.serving("v2") != 6 {
		t.Errorf("%d serve v2", sim.serving("v2"))
	}
}

// Operators publish another version during a rollout and then return to the first
// one. All endpoints must return to it; some have never left it.
func TestManifestChangeDuringRollout(t *testing.T) {
	sim := newSimulation(t, 18, 3)
	sim.manifest = declared(3, "v2")
	for sim.serving("v2") < 6 {
		sim.step()
	}
	sim.manifest, sim.in.Revision = declared(3, "v3"), 2
	for sim.serving("v3") < 3 {
		sim.step()
	}
	sim.manifest, sim.in.Revision = declared(3, "v1"), 3
	kept := sim.serving("v1")
	sim.finish(18)
	if sim.serving("v1") != 18 || kept == 0 {
		t.Errorf("%d serve v1, %d had kept it", sim.serving("v1"), kept)
	}
}

// The holder of the lease changes during a rollout. The new holder must observe
// the loads in progress before it starts any.
func TestNewHolderCountsLoadsUnderWay(t *testing.T) {
	sim := newSimulation(t, 18, 3)
	sim.manifest = declared(3, "v2")
	for holder := range 5 {
		for range 40 + 31*holder {
			sim.step()
		}
		sim.changeHolder(holder)
	}
	sim.finish(18)
}

// Two runners cannot be reached when a new holder starts. It may wait for them
// for a limited time only, or an unreachable runner would block every rollout.
func TestUnreachableEndpointsDoNotBlockRollout(t *testing.T) {
	sim := newSimulation(t, 9, 2)
	sim.runners[0].unreachable, sim.runners[1].unreachable = true, true
	sim.manifest = declared(2, "v2")
	took := sim.finish(7)
	if took > 20*loadTime {
		t.Errorf("took %v", took)
	}
}

// Runners become unreachable during their loads and remain listed. Their loads
// must stop counting after UnreachableTimeout, or the rollout would never end.
func TestUnreachableLoadTimesOut(t *testing.T) {
	sim := newSimulation(t, 9, 2)
	sim.manifest = declared(2, "v2")
	cut := 0
	for cut < 2 {
		sim.step()
		for _, r := range sim.runners {
			if r.status.Loading != nil && !r.unreachable {
				r.unreachable, r.ends = true, epoch.Add(1000*time.Hour)
				cut++
			}
		}
	}
	sim.finish(7)
}

// Each load fails on one engine. The others must be loaded, and the retries of
// the failing one must not use up the fleet's limit of loads.
func TestFailingEngineDoesNotBlockOthers(t *testing.T) {
	sim := newSimulation(t, 6, 1)
	sim.runners[2].failsLoads = true
	sim.manifest = declared(1, "v2")
	sim.finish(5)
}

func TestAdaptersModelsAndRoles(t *testing.T) {
	sim := newSimulation(t, 4, 2)
	m := declared(2, "v1", "v7")
	m.Models[0].Adapters = []manifest.Adapter{{ID: "a", Version: "1"}, {ID: "b", Version: "1"}}
	m.Classes[0].Role = "prefill"
	sim.manifest = m
	sim.finish(4)
	s := sim.runners[0].status
	if s.Role != "prefill" || s.model("model-1") == nil || len(s.model("model-0").Adapters) != 2 {
		t.Errorf("status %+v", s)
	}
	m = declared(2, "v1")
	m.Models[0].Adapters = []manifest.Adapter{{ID: "a", Version: "1"}}
	sim.manifest, sim.in.Revision = m, 2
	sim.finish(4)
	s = sim.runners[0].status
	if s.model("model-1") != nil || len(s.model("model-0").Adapters) != 1 {
		t.Errorf("status %+v", s)
	}
}

// The weight store reports that it is busy. No load may start for the given time,
// since it would slow down the loads in progress.
func TestBusyStorePausesLoads(t *testing.T) {
	sim := newSimulation(t, 4, 2)
	for range 20 {
		sim.step()
	}
	sim.manifest = declared(2, "v2")
	sim.planner.StoreBusy(sim.now, time.Minute)
	for until := sim.now.Add(59 * time.Second); sim.now.Before(until); {
		if p := sim.step(); len(p.Orders) > 0 {
			t.Fatalf("orders %v while the store is busy", p.Orders)
		}
	}
	sim.finish(4)
}

// Two daemons that both assume to hold the lease observe the same fleet. They must
// plan the same orders, so that the second order has no effect.
func TestHoldersPlanSameOrders(t *testing.T) {
	sim := newSimulation(t, 9, 2)
	other := NewPlanner(Options{})
	sim.manifest = declared(2, "v2")
	sim.in.Manifest, sim.in.Endpoints = sim.manifest, sim.members()
	for _, r := range sim.runners {
		sim.planner.Observed(sim.now, sim.now, r.member.ID, r.status)
		other.Observed(sim.now, sim.now, r.member.ID, r.status)
	}
	a := sim.planner.Plan(sim.now, sim.in)
	slices.Reverse(sim.in.Endpoints)
	b := other.Plan(sim.now, sim.in)
	if len(a.Orders) != 2 || !slices.Equal(a.Orders, b.Orders) {
		t.Errorf("%v and %v", a.Orders, b.Orders)
	}
}

// Restarts, lost answers, unreachable runners, new holders and new manifests
// occur in random order. The limit of loads must hold throughout, and the state
// declared last must be reached after the faults end.
func TestRolloutUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "runners")
		sim := newSimulation(t, count, rapid.IntRange(1, 3).Draw(t, "limit"))
		limit := sim.manifest.Fleet.LoadsAtOnce
		lossy := true
		sim.loseAnswer = func() bool { return lossy && rapid.Bool().Draw(t, "lost") }
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			r := sim.runners[rapid.IntRange(0, count-1).Draw(t, "runner")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				r.restart()
			case 1:
				sim.manifest = declared(limit, fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(t, "version")))
				sim.in.Revision++
			case 2:
				sim.changeHolder(i)
			case 3:
				r.failsLoads = !r.failsLoads
			case 4:
				r.unreachable = !r.unreachable
			case 5:
				r.member.Leaving = !r.member.Leaving
			}
			for range rapid.IntRange(1, 200).Draw(t, "ticks") {
				sim.step()
			}
		}
		lossy = false
		for _, r := range sim.runners {
			r.failsLoads, r.unreachable, r.member.Leaving = false, false, false
		}
		sim.finish(count)
	})
}

func TestChooseVersionMovesKeysOnce(t *testing.T) {
	m := declared(3, "v2")
	members := make([]fleet.Member, 18)
	for i := range members {
		members[i].LastReport = epoch
		members[i].ID = fleet.EndpointID(fmt.Sprint(i))
		members[i].Class = "large"
		members[i].Load.Weights = []fleet.Weights{{Model: "model-0", Version: "v1"}}
	}
	moved := map[uint64]bool{}
	for done := range len(members) {
		members[done].Load.Weights = []fleet.Weights{{Model: "model-0", Version: "v2"}}
		groups := GroupByVersion(m, "model-0", members)
		for i := range 100 {
			key := uint64(i) * (1 << 64 / 100)
			s, ok := ChooseVersion(groups, "v2", key)
			if !ok || moved[key] && s.Version != "v2" {
				t.Fatalf("key %d bound to %q with %d done", key, s.Version, done+1)
			}
			moved[key] = s.Version == "v2"
		}
	}
	if len(moved) != 100 {
		t.Errorf("%d keys", len(moved))
	}
	if _, ok := ChooseVersion(nil, "v2", 1); ok {
		t.Error("bound without endpoints")
	}
}

// A daemon restarts in the middle of a rollout and has statuses of three runners.
// The others must be assumed to serve the most common version; with the declared
// one, many of them would refuse the requests sent to them.
func TestGroupByVersionUnreportedEndpoints(t *testing.T) {
	m := declared(3, "v2")
	var members []fleet.Member
	for i, version := range []string{"v1", "v1", "v2", "", ""} {
		e := fleet.Member{Endpoint: fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint(i)), Class: "large"}}
		if version != "" {
			e.LastReport = epoch
			e.Load.Weights = []fleet.Weights{{Model: "model-0", Version: version}}
		}
		members = append(members, e)
	}
	for _, c := range []struct {
		members []fleet.Member
		want    map[string]int
	}{
		{members, map[string]int{"v1": 4, "v2": 1}},
		{members[3:], map[string]int{"v2": 2}},
		{members[1:], map[string]int{"v1": 1, "v2": 3}},
	} {
		for _, s := range GroupByVersion(m, "model-0", c.members) {
			if len(s.Endpoints) != c.want[s.Version] {
				t.Errorf("%d of %d endpoints for %s, want %d", len(s.Endpoints), len(c.members), s.Version, c.want[s.Version])
			}
		}
	}
}
