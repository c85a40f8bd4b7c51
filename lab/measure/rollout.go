package measure

import (
	"fmt"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/rollout"
)

// RolloutOptions describe a rollout in virtual time.
type RolloutOptions struct {
	Runners    int
	MaxLoading int           // loads at once
	LoadTime   time.Duration // of one runner
}

// RolloutResult is how a rollout went.
type RolloutResult struct {
	Duration   time.Duration
	MinServing int // runners that served any version, at the least
	MaxLoading int // loads at once, at the most
	Orders     int
}

// The fleet of the measurements has one model and one class.
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

func runners(count int) []fleet.Member {
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

// RolloutPlanner returns one round of planning for a fleet that is read and half
// rolled out.
func RolloutPlanner(count int) func() rollout.Plan {
	now := time.Unix(1000, 0)
	in := rollout.Input{Manifest: rolloutManifest(3), Revision: 2, HeldSince: now, Endpoints: runners(count)}
	planner := rollout.NewPlanner(rollout.Options{})
	for i, e := range in.Endpoints {
		version := fmt.Sprintf("v%d", 1+i%2)
		planner.Observed(now, now, e.ID, rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: version}}})
	}
	return func() rollout.Plan { return planner.Plan(now, in) }
}

// NewMembership returns a membership of the given number of endpoints that have all
// been heard, and the time by which they were.
func NewMembership(count int) (*fleet.Membership, time.Time) {
	now := time.Unix(1000, 0)
	m := fleet.NewMembership(fleet.MembershipOptions{})
	var list []fleet.Endpoint
	for _, e := range runners(count) {
		list = append(list, e.Endpoint)
	}
	m.SetList(now, list)
	for _, e := range list {
		m.ApplyReport(now, e.ID, fleet.Load{At: now, Incarnation: 1})
	}
	return m, now
}

// rolloutTick is the time between two rounds of the planner.
const rolloutTick = time.Second

// SimulateRollout takes a fleet with one model from a version to the next, with
// runners that do what they are told.
func SimulateRollout(o RolloutOptions) RolloutResult {
	m := rolloutManifest(o.MaxLoading)
	status := map[fleet.EndpointID]rollout.Status{}
	ends := map[fleet.EndpointID]time.Time{}
	members := runners(o.Runners)
	for _, e := range members {
		status[e.ID] = rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: "v1"}}}
	}
	began := time.Unix(0, 0)
	planner := rollout.NewPlanner(rollout.Options{})
	result := RolloutResult{MinServing: o.Runners}
	for now := began; ; now = now.Add(rolloutTick) {
		up, loads := 0, 0
		for id, s := range status {
			if s.Loading != nil && !now.Before(ends[id]) {
				s = rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: s.Loading.Version}}}
				status[id] = s
			}
			if s.Loading != nil {
				loads++
			} else {
				up++
			}
		}
		result.MinServing, result.MaxLoading = min(result.MinServing, up), max(result.MaxLoading, loads)
		plan := planner.Plan(now, rollout.Input{Manifest: m, Revision: 2, Fence: 1, HeldSince: began, Endpoints: members})
		if plan.Done == o.Runners {
			result.Duration = now.Sub(began)
			return result
		}
		for _, order := range plan.Orders {
			result.Orders++
			planner.Sent(now, order)
			status[order.Endpoint] = rollout.Status{Incarnation: 1, Loading: &order}
			ends[order.Endpoint] = now.Add(o.LoadTime)
			planner.Answered(order)
		}
		for _, id := range plan.Read {
			planner.Observed(now, now, id, status[id])
		}
	}
}
