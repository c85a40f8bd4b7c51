package measure

import (
	"fmt"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/rollout"
)

// RolloutOptions configure a simulated rollout in virtual time.
type RolloutOptions struct {
	Runners    int
	MaxLoading int           // runners that may load weights at once
	LoadTime   time.Duration // of the weights on one runner
}

// RolloutResult holds the outcome of a simulated rollout.
type RolloutResult struct {
	Duration   time.Duration
	MinServing int // minimum of runners that served some version
	MaxLoading int // maximum of runners that loaded weights at once
	Orders     int
}

// The simulated fleet has one model and one class.
const (
	model = "code"
	class = "large"
)

func rolloutManifest(limit int) *manifest.Manifest {
	return &manifest.Manifest{
		Fleet:   manifest.Fleet{LoadsAtOnce: limit},
		Models:  []manifest.Model{{ID: model, Version: "v2"}},
		Classes: []manifest.Class{{ID: class, Kind: fleet.KindModel, Models: []string{model}}},
	}
}

func newRunners(count int) []fleet.Member {
	members := make([]fleet.Member, 0, count)
	for i := range count {
		members = append(members, fleet.Member{Endpoint: fleet.Endpoint{
			ID:    fleet.EndpointID(fmt.Sprintf("runner-%04d", i)),
			Class: class,
			Zone:  fleet.ZoneID(fmt.Sprintf("zone-%d", i%5)),
			State: fleet.VMLive,
		}})
	}
	return members
}

// RolloutPlanner returns a function that plans one round for a fleet of count
// runners whose statuses are known and of which every other one has the new
// version.
func RolloutPlanner(count int) func() rollout.Plan {
	now := time.Unix(1000, 0)
	in := rollout.Input{Manifest: rolloutManifest(3), Revision: 2, HeldSince: now, Endpoints: newRunners(count)}
	planner := rollout.NewPlanner(rollout.Options{})
	for i, e := range in.Endpoints {
		version := fmt.Sprintf("v%d", 1+i%2)
		planner.Observed(now, now, e.ID, rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: version}}})
	}
	return func() rollout.Plan { return planner.Plan(now, in) }
}

// NewMembership returns a membership with count endpoints that have all reported
// their load, and the time of these reports.
func NewMembership(count int) (*fleet.Membership, time.Time) {
	now := time.Unix(1000, 0)
	m := fleet.NewMembership(fleet.MembershipOptions{})
	var list []fleet.Endpoint
	for _, e := range newRunners(count) {
		list = append(list, e.Endpoint)
	}
	m.SetList(now, list)
	for _, e := range list {
		m.ApplyReport(now, e.ID, fleet.Load{At: now, Incarnation: 1})
	}
	return m, now
}

// planInterval is the virtual time between two rounds of the planner.
const planInterval = time.Second

// SimulateRollout rolls out a new version of one model to a fleet whose runners
// follow every order.
func SimulateRollout(o RolloutOptions) RolloutResult {
	m := rolloutManifest(o.MaxLoading)
	status := map[fleet.EndpointID]rollout.Status{}
	loadEnds := map[fleet.EndpointID]time.Time{}
	members := newRunners(o.Runners)
	for _, e := range members {
		status[e.ID] = rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: "v1"}}}
	}
	began := time.Unix(0, 0)
	planner := rollout.NewPlanner(rollout.Options{})
	result := RolloutResult{MinServing: o.Runners}
	for now := began; ; now = now.Add(planInterval) {
		serving, loading := 0, 0
		for id, s := range status {
			if s.Loading != nil && !now.Before(loadEnds[id]) {
				s = rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: s.Loading.Version}}}
				status[id] = s
			}
			if s.Loading != nil {
				loading++
			} else {
				serving++
			}
		}
		result.MinServing, result.MaxLoading = min(result.MinServing, serving), max(result.MaxLoading, loading)
		plan := planner.Plan(now, rollout.Input{Manifest: m, Revision: 2, Fence: 1, HeldSince: began, Endpoints: members})
		if plan.Done == o.Runners {
			result.Duration = now.Sub(began)
			return result
		}
		for _, order := range plan.Orders {
			result.Orders++
			planner.Sent(now, order)
			status[order.Endpoint] = rollout.Status{Incarnation: 1, Loading: &order}
			loadEnds[order.Endpoint] = now.Add(o.LoadTime)
			planner.Answered(order)
		}
		for _, id := range plan.Read {
			planner.Observed(now, now, id, status[id])
		}
	}
}
