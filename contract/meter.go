package contract

import "math"

// meter is an exponentially decayed rate in tokens per second.
type meter struct {
	rate      float64
	updatedAt float64 // seconds on the Admission's clock
}

func (m *meter) add(now, tokens, constant float64) {
	m.decay(now, constant)
	m.rate += tokens / constant
}

func (m *meter) decay(now, constant float64) {
	if now > m.updatedAt {
		m.rate *= math.Exp((m.updatedAt - now) / constant)
		m.updatedAt = now
	}
}

func (m *meter) decayedRate(now, constant float64) float64 {
	m.decay(now, constant)
	return m.rate
}

// demand returns the rate in tokens per second that the organisation requests
// from this daemon. It corrects for meters that have run for less than their
// time constant: uncorrected, a daemon that has just started would underestimate
// its demand, use too small a fraction of the fleet and refuse most callers.
func (a *Admission) demand(o *organisation) float64 {
	constant := a.opts.MeterConstant.Seconds()
	filled := 1 - math.Exp(-max(a.clock, meterMinAge)/constant)
	return o.demand.decayedRate(a.clock, constant) / filled
}

const meterMinAge = 1 // seconds; bounds the correction of young meters
