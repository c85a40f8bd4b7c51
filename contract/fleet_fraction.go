package contract

import (
	"cmp"
	"slices"
)

// fleetDemand is one organisation's demand on the whole fleet, with its weight in the
// contract.
type fleetDemand struct {
	weight float64
	total  float64 // tokens/s at all daemons
	local  float64 // tokens/s at this daemon
}

// computeFleetFraction returns the fraction of the fleet's capacity that this
// daemon may use: for each organisation its max-min fair rate, times the
// fraction of its demand that arrives here. priorFraction of the capacity is
// divided evenly whatever the demand, so that a daemon without callers has slots
// for the first ones.
func (a *Admission) computeFleetFraction() float64 {
	a.fleetDemands = a.fleetDemands[:0]
	for _, o := range a.activeList {
		local := a.demand(o)
		remote := a.estimateRemoteDemand(o.hash, local)
		if len(a.peers) == 0 || a.collidingHashes[o.hash] {
			remote = local * a.otherDaemons
		}
		delete(a.peerDemands, o.hash)
		if local > 0 && o.contractWeight > 0 {
			a.fleetDemands = append(a.fleetDemands, fleetDemand{weight: o.contractWeight, local: local, total: local + remote})
		}
	}
	for hash, s := range a.peerDemands {
		if weight := a.weightByHash[hash]; weight > 0 && s.demand > 0 {
			a.fleetDemands = append(a.fleetDemands, fleetDemand{weight: weight, total: s.demand})
		}
	}
	level := waterLevel(a.fleetDemands, a.tokensPerSecond)
	total := priorFraction * a.tokensPerSecond
	local := total / (1 + a.otherDaemons)
	for _, d := range a.fleetDemands {
		granted := min(d.total, d.weight*level)
		total += granted
		local += granted * d.local / d.total
	}
	return local / total
}

// waterLevel returns the rate per unit of weight at which the demands exhaust
// the capacity, with each demand bounding its own rate (weighted max-min fairness
// by water-filling).
func waterLevel(demands []fleetDemand, capacity float64) float64 {
	slices.SortFunc(demands, func(x, y fleetDemand) int {
		return cmp.Or(
			cmp.Compare(x.total/x.weight, y.total/y.weight),
			cmp.Compare(x.weight, y.weight),
			cmp.Compare(x.local, y.local),
		)
	})
	weight := 0.0
	for _, d := range demands {
		weight += d.weight
	}
	level := 0.0
	for _, d := range demands {
		if weight <= 0 {
			return level
		}
		level = max(capacity/weight, 0)
		if d.total > d.weight*level {
			return level
		}
		level = d.total / d.weight
		capacity -= d.total
		weight -= d.weight
	}
	return level
}
