package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	tick     = 500 * time.Millisecond
	loadTime = 90 * time.Second
)

// runner is a simulated endpoint; a load takes it loadTime.
type runner struct {
	member      fleet.Member
	status      Status
	ends        time.Time
	failsLoads  bool // every load fails
	unreachable bool // status reads and orders fail
	uncounted   bool // was unreachable during its load, so that the planner need not count the load
}

// simulation is a fleet with one planner, in simulated time.
type simulation struct {
	t          interface{ Fatalf(string, ...any) }
	now        time.Time
	planner    *Planner
	manifest   *manifest.Manifest
	in         Input
	runners    []*runner
	loseAnswer func() bool // reports whether the next answer to an order is lost
	maxLoads   int
	minServing int
}

func declared(limit int, versions ...string) *manifest.Manifest {
	m := &manifest.Manifest{Fleet: manifest.Fleet{LoadsAtOnce: limit}}
	class := manifest.Class{ID: "large", Kind: fleet.KindModel}
	for i, v := range versions {
		id := fmt.Sprintf("model-%d", i)
		m.Models = append(m.Models, manifest.Model{ID: id, Version: v})
		class.Models = append(class.Models, id)
	}
	m.Classes = []manifest.Class{class}
	return m
}

func newSimulation(t interface{ Fatalf(string, ...any) }, count, limit int) *simulation {
	sim := &simulation{t: t, now: epoch, planner: NewPlanner(Options{}), minServing: count}
	sim.manifest = declared(limit, "v1")
	for i := range count {
		r := &runner{}
		r.member.ID = fleet.EndpointID(fmt.Sprintf("runner-%02d", i))
		r.member.Class = "large"
		r.status = Status{Incarnation: 1, Models: []Model{{ID: "model-0", Version: "v1"}}}
		sim.runners = append(sim.runners, r)
	}
	sim.loseAnswer = func() bool { return false }
	sim.changeHolder(1)
	return sim
}

// changeHolder replaces the planner by that of a new holder without any state.
func (sim *simulation) changeHolder(fence int) {
	sim.planner = NewPlanner(Options{})
	sim.in.Fence++
	sim.in.HeldSince = sim.now
	_ = fence
}

func (sim *simulation) members() []fleet.Member {
	var out []fleet.Member
	for _, r := range sim.runners {
		out = append(out, r.member)
	}
	return out
}

func (sim *simulation) runner(id fleet.EndpointID) *runner {
	for _, r := range sim.runners {
		if r.member.ID == id {
			return r
		}
	}
	return nil
}

// execute starts an order as an engine does.
func (r *runner) execute(now time.Time, o Order) {
	if o.Incarnation != r.status.Incarnation || r.status.Loading != nil {
		return
	}
	switch o.Kind {
	case KindLoad, KindLoadAdapter:
		r.status.Loading, r.ends = &o, now.Add(loadTime)
		if o.Kind == KindLoad {
			r.drop(o.Model)
		}
	case KindUnload:
		r.drop(o.Model)
		r.status.Last = &Result{Order: o.ID, Done: true}
	case KindRole:
		r.status.Role = o.Role
		r.status.Last = &Result{Order: o.ID, Done: true}
	case KindUnloadAdapter:
		m := r.status.model(o.Model)
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a Adapter) bool { return a.ID == o.Adapter })
		r.status.Last = &Result{Order: o.ID, Done: true}
	}
}

func (r *runner) drop(model string) {
	r.status.Models = slices.DeleteFunc(slices.Clone(r.status.Models), func(m Model) bool { return m.ID == model })
}

// advance completes a load whose time has passed.
func (r *runner) advance(now time.Time) {
	o := r.status.Loading
	if o == nil || now.Before(r.ends) {
		return
	}
	r.status.Loading = nil
	r.status.Last = &Result{Order: o.ID, Done: !r.failsLoads}
	if r.failsLoads {
		return
	}
	if o.Kind == KindLoad {
		r.status.Models = append(slices.Clone(r.status.Models), Model{ID: o.Model, Version: o.Version})
		return
	}
	m := r.status.model(o.Model)
	m.Adapters = append(slices.Clone(m.Adapters), Adapter{ID: o.Adapter, Version: o.Version})
}

// restart starts a new incarnation of the runner without models.
func (r *runner) restart() {
	r.status = Status{Incarnation: r.status.Incarnation + 1}
}

// step advances the time by a tick and executes the plan.
func (sim *simulation) step() Plan {
	sim.now = sim.now.Add(tick)
	for _, r := range sim.runners {
		r.advance(sim.now)
	}
	sim.in.Manifest, sim.in.Endpoints = sim.manifest, sim.members()
	plan := sim.planner.Plan(sim.now, sim.in)
	for _, id := range plan.Read {
		if r := sim.runner(id); r.unreachable {
			sim.planner.ReadFailed(sim.now, id)
		} else {
			sim.planner.Observed(sim.now, sim.now, id, r.status)
		}
	}
	for _, o := range plan.Orders {
		sim.planner.Sent(sim.now, o)
		r := sim.runner(o.Endpoint)
		if r.unreachable {
			continue
		}
		r.execute(sim.now, o)
		if !sim.loseAnswer() {
			sim.planner.Answered(o)
		}
	}
	sim.checkLimits()
	return plan
}

// checkLimits fails the test if the runners exceed the limit of loads.
func (sim *simulation) checkLimits() {
	loads, up := 0, 0
	for _, r := range sim.runners {
		r.uncounted = r.status.Loading != nil && (r.uncounted || r.unreachable)
		if r.status.Loading != nil && !r.uncounted {
			loads++
		}
		if len(r.status.Models) > 0 {
			up++
		}
	}
	sim.maxLoads, sim.minServing = max(sim.maxLoads, loads), min(sim.minServing, up)
	if loads > sim.manifest.Fleet.LoadsAtOnce {
		sim.t.Fatalf("%d loads at once after %v", loads, sim.now.Sub(epoch))
	}
}

// finish steps until the given number of runners is in the declared state, and
// returns the simulated time that it took.
func (sim *simulation) finish(want int) time.Duration {
	began := sim.now
	for sim.now.Sub(began) < 12*time.Hour {
		if p := sim.step(); p.Done >= want {
			return sim.now.Sub(began)
		}
	}
	sim.t.Fatalf("not finished: %+v", sim.step())
	return 0
}

func (sim *simulation) serving(version string) int {
	n := 0
	for _, r := range sim.runners {
		if m := r.status.model("model-0"); m != nil && m.Version == version {
			n++
		}
	}
	return n
}
