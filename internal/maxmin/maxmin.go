// Package maxmin divides a capacity by weighted max-min fairness.
package maxmin

import (
	"cmp"
	"slices"
)

// Demand is one demand on a shared capacity. Weight must be above 0.
type Demand struct {
	Weight float64
	Total  float64 // in the unit of the capacity
	Local  float64 // the part of Total that arises at this daemon
}

// Level returns the rate per unit of weight at which the demands exhaust the
// capacity, with each demand bounding its own rate (water-filling). It sorts
// demands, so that sums over them do not depend on the order in which they were
// collected.
func Level(demands []Demand, capacity float64) float64 {
	slices.SortFunc(demands, func(x, y Demand) int {
		return cmp.Or(
			cmp.Compare(x.Total/x.Weight, y.Total/y.Weight),
			cmp.Compare(x.Weight, y.Weight),
			cmp.Compare(x.Local, y.Local),
		)
	})
	weight := 0.0
	for _, d := range demands {
		weight += d.Weight
	}
	level := 0.0
	for _, d := range demands {
		if weight <= 0 {
			return level
		}
		level = max(capacity/weight, 0)
		if d.Total > d.Weight*level {
			return level
		}
		level = d.Total / d.Weight
		capacity -= d.Total
		weight -= d.Weight
	}
	return level
}
