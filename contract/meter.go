package contract

import "math"

// meter is an exponentially decayed rate in tokens a second.
type meter struct {
	rate float64
	at   float64 // seconds on the admission's clock
}

func (m *meter) add(now, tokens, constant float64) {
	m.decay(now, constant)
	m.rate += tokens / constant
}

func (m *meter) decay(now, constant float64) {
	if now > m.at {
		m.rate *= math.Exp((m.at - now) / constant)
		m.at = now
	}
}

func (m *meter) value(now, constant float64) float64 {
	m.decay(now, constant)
	return m.rate
}

// demand is what the organisation asks of this daemon. Soon after the start the
// meters have seen only a part of their time, and a daemon that took them at
// their word would count itself as one with few callers, spend little of the
// fleet and refuse most of them.
func (a *Admission) demand(o *organisation) float64 {
	constant := a.opts.MeterConstant.Seconds()
	filled := 1 - math.Exp(-max(a.clock, meterMinAge)/constant)
	return o.demand.value(a.clock, constant) / filled
}

const meterMinAge = 1 // seconds
