package contract

import "github.com/merlindock/merlindock/internal/maxmin"

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
			a.fleetDemands = append(a.fleetDemands, maxmin.Demand{Weight: o.contractWeight, Local: local, Total: local + remote})
		}
	}
	for hash, s := range a.peerDemands {
		if weight := a.weightByHash[hash]; weight > 0 && s.demand > 0 {
			a.fleetDemands = append(a.fleetDemands, maxmin.Demand{Weight: weight, Total: s.demand})
		}
	}
	level := maxmin.Level(a.fleetDemands, a.tokensPerSecond)
	total := priorFraction * a.tokensPerSecond
	local := total / (1 + a.otherDaemons)
	for _, d := range a.fleetDemands {
		granted := min(d.Total, d.Weight*level)
		total += granted
		local += granted * d.Local / d.Total
	}
	return local / total
}
