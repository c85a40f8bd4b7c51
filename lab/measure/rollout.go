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
	Runners int
	Limit   int           // loads at once
	Load    time.Duration // of one runner
}

// RolloutResult is how a rollout went.
type RolloutResult struct {
	Took     time.Duration
	LeastUp  int // runners that served any version, at the least
	MostLoad int // loads at once, at the most
	Orders   int
}

// rolloutTick is the time between two rounds of the planner.
const rolloutTick = time.Second

// Rollout takes a fleet with one model from a version to the next, with
// runners that do what they are told.
func Rollout(o RolloutOptions) RolloutResult {
	const model, class = "code", "large"
	m := &manifest.Manifest{
		Fleet:   manifest.Fleet{LoadsAtOnce: o.Limit},
		Models:  []manifest.Model{{ID: model, Version: "v2"}},
		Classes: []manifest.Class{{ID: class, Kind: fleet.KindModel, Models: []string{model}}},
	}
	status := map[fleet.EndpointID]rollout.Status{}
	ends := map[fleet.EndpointID]time.Time{}
	var members []fleet.Member
	for i := range o.Runners {
		id := fleet.EndpointID(fmt.Sprintf("runner-%04d", i))
		members = append(members, fleet.Member{Endpoint: fleet.Endpoint{ID: id, Class: class}})
		status[id] = rollout.Status{Incarnation: 1, Models: []rollout.Model{{ID: model, Version: "v1"}}}
	}
	began := time.Unix(0, 0)
	planner := rollout.NewPlanner(rollout.Options{})
	result := RolloutResult{LeastUp: o.Runners}
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
		result.LeastUp, result.MostLoad = min(result.LeastUp, up), max(result.MostLoad, loads)
		plan := planner.Plan(now, rollout.Input{Manifest: m, Revision: 2, Fence: 1, Since: began, Endpoints: members})
		if plan.Done == o.Runners {
			result.Took = now.Sub(began)
			return result
		}
		for _, order := range plan.Orders {
			result.Orders++
			planner.Sent(now, order)
			status[order.Endpoint] = rollout.Status{Incarnation: 1, Loading: &order}
			ends[order.Endpoint] = now.Add(o.Load)
			planner.Answered(order)
		}
		for _, id := range plan.Read {
			planner.Observed(now, now, id, status[id])
		}
	}
}
