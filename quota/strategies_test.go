package quota

import (
	"testing"
	"time"
)

// fractionLimiter is a baseline without owners: each daemon has a fraction of the limit,
// either equal for all or proportional to its recent demand.
type fractionLimiter struct {
	// byDemand makes the fractions follow the demand, which all daemons know with a
	// delay of half a second.
	byDemand bool
	// overdraft admits a request that is larger than the remaining units.
	overdraft bool

	level  map[Key][]float64
	demand map[Key][]float64
	known  map[Key][]float64 // demand as last exchanged
}

func newFractionLimiter(sim *simulation, byDemand, overdraft bool) *fractionLimiter {
	p := &fractionLimiter{byDemand: byDemand, overdraft: overdraft, level: map[Key][]float64{}, demand: map[Key][]float64{}, known: map[Key][]float64{}}
	for key := range sim.limits {
		p.level[key], p.demand[key], p.known[key] = make([]float64, len(sim.nodes)), make([]float64, len(sim.nodes)), make([]float64, len(sim.nodes))
	}
	return p
}

// step accrues the limits for one millisecond.
func (p *fractionLimiter) step(sim *simulation) {
	for key, l := range sim.limits {
		sum := 0.0
		for _, d := range p.known[key] {
			sum += d
		}
		for i := range p.level[key] {
			fraction := 1 / float64(len(sim.nodes))
			if p.byDemand && sum > 0 {
				fraction = p.known[key][i] / sum
			}
			p.level[key][i] = min(l.Burst*fraction, p.level[key][i]+l.PerSecond*fraction/1000)
			p.demand[key][i] *= 0.999
		}
		if sim.now%(500*time.Millisecond) == 0 {
			copy(p.known[key], p.demand[key])
		}
	}
}

func (p *fractionLimiter) admit(i int, key Key, cost float64) bool {
	p.demand[key][i] += cost
	level := &p.level[key][i]
	if *level >= cost || p.overdraft && *level > 0 {
		*level -= cost
		return true
	}
	return false
}

// Compares the strategies to enforce a token limit across many daemons on the same
// traffic: within the limits, and with three organisations at several times their usual
// traffic. Only lending by owners keeps both wrong refusals and overuse within bounds.
func TestLimitingStrategies(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{73, 295} {
		limits, traffic := organisations(0.55, sizes...)
		hot := append(scaleTraffic(traffic[:2], 7.5), scaleTraffic(traffic[8:9], 7.5)...)
		hot = append(hot, traffic[2:8]...)
		lost, over := map[string]float64{}, map[string]float64{}
		for name, newFractions := range map[string]func(sim *simulation) *fractionLimiter{
			"lent by owners":                    func(*simulation) *fractionLimiter { return nil },
			"equal fractions":                   func(sim *simulation) *fractionLimiter { return newFractionLimiter(sim, false, false) },
			"equal fractions and one request":   func(sim *simulation) *fractionLimiter { return newFractionLimiter(sim, false, true) },
			"fractions by demand":               func(sim *simulation) *fractionLimiter { return newFractionLimiter(sim, true, false) },
			"fractions by demand and a request": func(sim *simulation) *fractionLimiter { return newFractionLimiter(sim, true, true) },
		} {
			sim := newSimulation(t, 5, daemons, limits)
			sim.fractions = newFractions(sim)
			sim.run(time.Second, nil)
			sim.run(5*time.Second, traffic)
			fraction, _, _ := sim.wrongRejections()
			sim.run(9*time.Second, hot)
			most := 0.0
			for _, h := range sim.use {
				most = max(most, h.peakUse()/allowedUse(h.limit, sim.tol, window))
			}
			lost[name], over[name] = fraction, most
			t.Logf("%d daemons, %-30s %.4f rejected below the limit, %.2f of what is allowed used", daemons, name, fraction, most)
		}
		if lost["lent by owners"] > maxWrongRejections || over["lent by owners"] > 1 {
			t.Errorf("%d daemons: lending by owners rejects %.4f below the limit and uses %.2f of what is allowed", daemons, lost["lent by owners"], over["lent by owners"])
		}
		if lost["equal fractions"] < maxWrongRejections && over["equal fractions and one request"] < 1 {
			t.Error("equal fractions would suffice")
		}
	}
}
