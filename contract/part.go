package contract

import (
	"cmp"
	"slices"
)

// claim is an organisation's demand over the whole fleet and what the contract
// gives it.
type claim struct {
	weight float64
	all    float64 // tokens a second, at all daemons
	here   float64 // at this one
}

// partOfFleet is the part of the fleet that this daemon spends: for each
// organisation what the contract gives it out of the whole fleet, times the
// fraction of its demand that comes here. A small part is spread evenly
// whatever the demand, so that a daemon with no callers yet has places for the
// first of them.
func (a *Admission) partOfFleet() float64 {
	a.claims = a.claims[:0]
	for _, o := range a.list {
		here := a.demand(o)
		there := a.elsewhere(o.hash, here)
		if len(a.peers) == 0 || a.clashes[o.hash] {
			there = here * a.others
		}
		delete(a.sums, o.hash)
		if here > 0 && o.share > 0 {
			a.claims = append(a.claims, claim{weight: o.share, here: here, all: here + there})
		}
	}
	for hash, s := range a.sums {
		if share := a.byHash[hash]; share > 0 && s.demand > 0 {
			a.claims = append(a.claims, claim{weight: share, all: s.demand})
		}
	}
	level := waterLevel(a.claims, a.tokensPerSecond)
	all := priorPart * a.tokensPerSecond
	here := all / (1 + a.others)
	for _, c := range a.claims {
		given := min(c.all, c.weight*level)
		all += given
		here += given * c.here / c.all
	}
	return here / all
}

// waterLevel is the rate for each unit of weight at which the claims use up the
// capacity, each taking no more than it asks for (weighted max-min fairness).
func waterLevel(claims []claim, capacity float64) float64 {
	slices.SortFunc(claims, func(x, y claim) int {
		return cmp.Or(
			cmp.Compare(x.all/x.weight, y.all/y.weight),
			cmp.Compare(x.weight, y.weight),
			cmp.Compare(x.here, y.here),
		)
	})
	weight := 0.0
	for _, c := range claims {
		weight += c.weight
	}
	level := 0.0
	for _, c := range claims {
		if weight <= 0 {
			return level
		}
		level = max(capacity/weight, 0)
		if c.all > c.weight*level {
			return level
		}
		level = c.all / c.weight
		capacity -= c.all
		weight -= c.weight
	}
	return level
}
