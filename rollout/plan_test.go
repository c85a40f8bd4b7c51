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

func TestRolloutKeepsToTheLimits(t *testing.T) {
	for _, c := range []struct{ count, limit, leastUp int }{{18, 3, 15}, {9, 2, 7}, {3, 3, 2}, {1, 2, 0}} {
		t.Run(fmt.Sprintf("%d by %d", c.count, c.limit), func(t *testing.T) {
			w := newWorld(t, c.count, c.limit)
			w.manifest = declared(c.limit, "v2")
			took := w.finish(c.count)
			t.Logf("%d runners, %d loads at once: %v in loads of %v", c.count, c.limit, took, loadTime)
			if w.serving("v2") != c.count || w.leastUp < c.leastUp {
				t.Errorf("%d serve v2; at the least %d served anything", w.serving("v2"), w.leastUp)
			}
		})
	}
}

// The answer to an order is lost after the engine has taken it. A planner that
// believed the order lost would begin a load elsewhere, and the weight store
// would slow down all of them.
func TestLostAnswersDoNotRaiseTheLoads(t *testing.T) {
	w := newWorld(t, 18, 3)
	n := 0
	w.lose = func() bool { n++; return n%2 == 0 }
	w.manifest = declared(3, "v2")
	w.finish(18)
}

// An engine crashes in the middle of a load and comes back empty. Nobody would
// load it again if the order counted as given.
func TestEngineRestartsInMidLoad(t *testing.T) {
	w := newWorld(t, 6, 2)
	w.manifest = declared(2, "v2")
	for w.serving("v1") == 6 {
		w.step()
	}
	for _, r := range w.runners {
		if r.status.Loading != nil {
			r.restart()
		}
	}
	w.finish(6)
	if w.serving("v2") != 6 {
		t.Errorf("%d serve v2", w.serving("v2"))
	}
}

// The operators publish another manifest while a rollout runs, and then go back to
// the first version. Engines that never left it are not loaded again.
func TestManifestChangesInMidRollout(t *testing.T) {
	w := newWorld(t, 18, 3)
	w.manifest = declared(3, "v2")
	for w.serving("v2") < 6 {
		w.step()
	}
	w.manifest, w.in.Revision = declared(3, "v3"), 2
	for w.serving("v3") < 3 {
		w.step()
	}
	w.manifest, w.in.Revision = declared(3, "v1"), 3
	kept := w.serving("v1")
	w.finish(18)
	if w.serving("v1") != 18 || kept == 0 {
		t.Errorf("%d serve v1, %d had kept it", w.serving("v1"), kept)
	}
}

// The holder dies in the middle of a rollout and another daemon takes the lease.
// It must find the loads under way before it begins any.
func TestNewHolderCountsLoadsUnderWay(t *testing.T) {
	w := newWorld(t, 18, 3)
	w.manifest = declared(3, "v2")
	for holder := range 5 {
		for range 40 + 31*holder {
			w.step()
		}
		w.hold(holder)
	}
	w.finish(18)
}

// Two runners of a new holder's fleet are dead. It may wait for them a while, and
// must go on then, or a dead runner would stop every rollout.
func TestDeadRunnersDoNotStopARollout(t *testing.T) {
	w := newWorld(t, 9, 2)
	w.runners[0].cut, w.runners[1].cut = true, true
	w.manifest = declared(2, "v2")
	took := w.finish(7)
	if took > 20*loadTime {
		t.Errorf("took %v", took)
	}
}

// Runners die in the middle of their loads and stay on the list. If each of them
// kept its place among the loads for ever, the rollout would never end.
func TestRunnersThatDieLoadingGiveTheirPlaceBack(t *testing.T) {
	w := newWorld(t, 9, 2)
	w.manifest = declared(2, "v2")
	cut := 0
	for cut < 2 {
		w.step()
		for _, r := range w.runners {
			if r.status.Loading != nil && !r.cut {
				r.cut, r.ends = true, epoch.Add(1000*time.Hour)
				cut++
			}
		}
	}
	w.finish(7)
}

// One engine's disk is full and each load fails there. The others must be
// loaded, and the broken one must not take the loads of the fleet for itself.
func TestFailingEngineDoesNotHoldUpTheOthers(t *testing.T) {
	w := newWorld(t, 6, 1)
	w.runners[2].refuses = true
	w.manifest = declared(1, "v2")
	w.finish(5)
}

func TestAdaptersModelsAndRoles(t *testing.T) {
	w := newWorld(t, 4, 2)
	m := declared(2, "v1", "v7")
	m.Models[0].Adapters = []manifest.Adapter{{ID: "a", Version: "1"}, {ID: "b", Version: "1"}}
	m.Classes[0].Role = "prefill"
	w.manifest = m
	w.finish(4)
	s := w.runners[0].status
	if s.Role != "prefill" || s.model("model-1") == nil || len(s.model("model-0").Adapters) != 2 {
		t.Errorf("status %+v", s)
	}
	m = declared(2, "v1")
	m.Models[0].Adapters = []manifest.Adapter{{ID: "a", Version: "1"}}
	w.manifest, w.in.Revision = m, 2
	w.finish(4)
	s = w.runners[0].status
	if s.model("model-1") != nil || len(s.model("model-0").Adapters) != 1 {
		t.Errorf("status %+v", s)
	}
}

// The weight store is at its limit and says so. Loads begun then slow down the
// ones that callers wait for.
func TestBusyStorePausesLoads(t *testing.T) {
	w := newWorld(t, 4, 2)
	for range 20 {
		w.step()
	}
	w.manifest = declared(2, "v2")
	w.planner.StoreBusy(w.now, time.Minute)
	for until := w.now.Add(59 * time.Second); w.now.Before(until); {
		if p := w.step(); len(p.Orders) > 0 {
			t.Fatalf("orders %v while the store is busy", p.Orders)
		}
	}
	w.finish(4)
}

// Two daemons that both believe that they hold the lease see the same fleet.
// They must say the same, so that the second order changes nothing.
func TestTwoHoldersPlanTheSame(t *testing.T) {
	w := newWorld(t, 9, 2)
	other := NewPlanner(Options{})
	w.manifest = declared(2, "v2")
	w.in.Manifest, w.in.Endpoints = w.manifest, w.members()
	for _, r := range w.runners {
		w.planner.Observed(w.now, w.now, r.member.ID, r.status)
		other.Observed(w.now, w.now, r.member.ID, r.status)
	}
	a := w.planner.Plan(w.now, w.in)
	slices.Reverse(w.in.Endpoints)
	b := other.Plan(w.now, w.in)
	if len(a.Orders) != 2 || !slices.Equal(a.Orders, b.Orders) {
		t.Errorf("%v and %v", a.Orders, b.Orders)
	}
}

// Crashes, lost answers, cut runners, new holders and new manifests come in any
// order. The limit of loads holds throughout, and what is declared last is
// reached once the faults end.
func TestRolloutUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "runners")
		w := newWorld(t, count, rapid.IntRange(1, 3).Draw(t, "limit"))
		limit := w.manifest.Fleet.LoadsAtOnce
		lossy := true
		w.lose = func() bool { return lossy && rapid.Bool().Draw(t, "lost") }
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			r := w.runners[rapid.IntRange(0, count-1).Draw(t, "runner")]
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				r.restart()
			case 1:
				w.manifest = declared(limit, fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(t, "version")))
				w.in.Revision++
			case 2:
				w.hold(i)
			case 3:
				r.refuses = !r.refuses
			case 4:
				r.cut = !r.cut
			case 5:
				r.member.Leaving = !r.member.Leaving
			}
			for range rapid.IntRange(1, 200).Draw(t, "ticks") {
				w.step()
			}
		}
		lossy = false
		for _, r := range w.runners {
			r.refuses, r.cut, r.member.Leaving = false, false, false
		}
		w.finish(count)
	})
}

func TestBindMovesPrefixesOneWay(t *testing.T) {
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
		shares := Shares(m, "model-0", members)
		for i := range 100 {
			key := uint64(i) * (1 << 64 / 100)
			s, ok := Bind(shares, "v2", key)
			if !ok || moved[key] && s.Version != "v2" {
				t.Fatalf("key %d bound to %q with %d done", key, s.Version, done+1)
			}
			moved[key] = s.Version == "v2"
		}
	}
	if len(moved) != 100 {
		t.Errorf("%d keys", len(moved))
	}
	if _, ok := Bind(nil, "v2", 1); ok {
		t.Error("bound without endpoints")
	}
}

// A daemon restarts when half of a rollout is done and has heard three runners.
// If it took the others for the declared version, most requests would be
// refused by the first runner that they meet.
func TestSharesOfUnheardEndpoints(t *testing.T) {
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
		for _, s := range Shares(m, "model-0", c.members) {
			if len(s.Endpoints) != c.want[s.Version] {
				t.Errorf("%d of %d endpoints for %s, want %d", len(s.Endpoints), len(c.members), s.Version, c.want[s.Version])
			}
		}
	}
}
