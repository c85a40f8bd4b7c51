package shares

import (
	"math"

	"github.com/merlindock/merlindock/internal/maxmin"
)

const (
	mostWithin   = 0.85
	leastLimited = 0.02 // of the rate, for organisations that offer more than their shares
)

// demand is the work offered by one organisation, in slot-seconds per second.
type demand struct {
	organisation Organisation
	weight       float64
	offered      [Priorities]float64
}

func (d *demand) total() float64 {
	sum := 0.0
	for _, x := range d.offered {
		sum += x
	}
	return sum
}

// allocation is the division of a capacity among organisations.
type allocation struct {
	level     float64 // slot-seconds per second for a weight of 1
	fractions map[Organisation][Priorities]float64
}

func (a *allocation) of(id Organisation) ([Priorities]float64, bool) {
	f, ok := a.fractions[id]
	return f, ok
}

// allocate divides a capacity by weighted max-min shares. Within a share, more urgent
// priorities are served first. rate is the capacity without the correction for requests that
// wait: organisations within their share of it keep all of their work, so that those that
// offer more bear the correction. noise is the variance of an offered rate divided by the
// rate, if that matters: organisations that seem to exceed their share by chance are taken to
// be within it.
func allocate(demands []demand, rate, capacity, noise float64) allocation {
	a := allocation{fractions: make(map[Organisation][Priorities]float64, len(demands))}
	sums := make([]maxmin.Demand, 0, len(demands))
	for i := range demands {
		if total := demands[i].total(); total > 0 {
			sums = append(sums, maxmin.Demand{Weight: demands[i].weight, Total: total})
		}
	}
	a.level = maxmin.Level(sums, capacity)
	limitedLevel := a.level
	if rate > capacity {
		level := maxmin.Level(sums, rate)
		within, weight := 0.0, 0.0
		for _, x := range sums {
			if x.Total <= x.Weight*level*tolerance(x.Total, noise) {
				within += x.Total
			} else {
				weight += x.Weight
			}
		}
		// If nearly all work is within its shares, the rate is too high to tell who offers
		// more than a share.
		if weight > 0 && within <= mostWithin*rate {
			a.level = level
			limitedLevel = max(capacity-within, leastLimited*rate) / weight
		}
	}
	for i := range demands {
		d := &demands[i]
		share := d.weight * a.level
		if d.total() <= share*tolerance(d.total(), noise) {
			a.fractions[d.organisation] = [Priorities]float64{1, 1, 1}
			continue
		}
		a.fractions[d.organisation] = split(d.offered, min(share, d.weight*limitedLevel))
	}
	return a
}

// tolerance is the ratio of an offered rate to a share up to which the rate may be within the
// share: one and a half standard deviations, but at most a half.
func tolerance(rate, noise float64) float64 {
	if rate <= 0 {
		return 1
	}
	return 1 + 1e-9 + min(1.5*math.Sqrt(noise/rate), 0.5)
}

// split returns the fraction of each priority that fits into a share. Nothing is admitted of
// priorities that follow one of which a part is refused, also if they have no work so far.
func split(offered [Priorities]float64, share float64) (fractions [Priorities]float64) {
	for p, x := range offered {
		if x > share {
			fractions[p] = max(share, 0) / x
			break
		}
		fractions[p] = 1
		share -= x
	}
	return fractions
}
