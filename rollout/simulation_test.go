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
	w := &simulation{t: t, now: epoch, planner: NewPlanner(Options{}), minServing: count}
	w.manifest = declared(limit, "v1")
	for i := range count {
		r := &runner{}
		r.member.ID = fleet.EndpointID(fmt.Sprintf("runner-%02d", i))
		r.member.Class = "large"
		r.status = Status{Incarnation: 1, Models: []Model{{ID: "model-0", Version: "v1"}}}
		w.runners = append(w.runners, r)
	}
	w.loseAnswer = func() bool { return false }
	w.changeHolder(1)
	return w
}

// changeHolder replaces the planner by that of a new holder without any state.
func (s *simulation) changeHolder(fence int) {
	s.planner = NewPlanner(Options{})
	s.in.Fence++
	s.in.HeldSince = s.now
	_ = fence
}

func (s *simulation) members() []fleet.Member {
	var out []fleet.Member
	for _, r := range s.runners {
		out = append(out, r.member)
	}
	return out
}

func (s *simulation) runner(id fleet.EndpointID) *runner {
	for _, r := range s.runners {
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
func (s *simulation) step() Plan {
	s.now = s.now.Add(tick)
	for _, r := range s.runners {
		r.advance(s.now)
	}
	s.in.Manifest, s.in.Endpoints = s.manifest, s.members()
	plan := s.planner.Plan(s.now, s.in)
	for _, id := range plan.Read {
		if r := s.runner(id); r.unreachable {
			s.planner.ReadFailed(s.now, id)
		} else {
			s.planner.Observed(s.now, s.now, id, r.status)
		}
	}
	for _, o := range plan.Orders {
		s.planner.Sent(s.now, o)
		r := s.runner(o.Endpoint)
		if r.unreachable {
			continue
		}
		r.execute(s.now, o)
		if !s.loseAnswer() {
			s.planner.Answered(o)
		}
	}
	s.checkLimits()
	return plan
}

// checkLimits fails the test if the runners exceed the limit of loads.
func (s *simulation) checkLimits() {
	loads, up := 0, 0
	for _, r := range s.runners {
		r.uncounted = r.status.Loading != nil && (r.uncounted || r.unreachable)
		if r.status.Loading != nil && !r.uncounted {
			loads++
		}
		if len(r.status.Models) > 0 {
			up++
		}
	}
	s.maxLoads, s.minServing = max(s.maxLoads, loads), min(s.minServing, up)
	if loads > s.manifest.Fleet.LoadsAtOnce {
		s.t.Fatalf("%d loads at once after %v", loads, s.now.Sub(epoch))
	}
}

// finish steps until the given number of runners is in the declared state, and
// returns the simulated time that it took.
func (s *simulation) finish(want int) time.Duration {
	began := s.now
	for s.now.Sub(began) < 12*time.Hour {
		if p := s.step(); p.Done >= want {
			return s.now.Sub(began)
		}
	}
	s.t.Fatalf("not finished: %+v", s.step())
	return 0
}

func (s *simulation) serving(version string) int {
	n := 0
	for _, r := range s.runners {
		if m := r.status.model("model-0"); m != nil && m.Version == version {
			n++
		}
	}
	return n
}
