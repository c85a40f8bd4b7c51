package quota

import (
	"testing"
	"time"
)

// Guards against organisations that are refused below their limits after a restart of all
// daemons: their buckets start empty, and until a daemon knows the list of daemons it
// pledges a fraction that is too small.
func TestRestartOfAllDaemonsRejectsLittleBelowLimit(t *testing.T) {
	const listDelay = 60 * time.Millisecond // from a start until the list of daemons is known
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 51, 61, limits)
	sim.run(warmUp, nil)
	sim.run(4*time.Second, traffic)
	for _, m := range sim.nodes {
		m.node = sim.process(m)
		m.node.SetLimits(sim.now, limits)
	}
	rejected, asked := 0, 0
	sim.onVerdict = func(_ Key, _ float64, v Verdict) {
		asked++
		if !v.Admitted {
			rejected++
		}
	}
	sim.run(listDelay, traffic)
	for _, m := range sim.nodes {
		m.node.SetDaemons(sim.list())
	}
	sim.run(time.Second-listDelay, traffic)
	t.Logf("%d of %d requests rejected in the first second", rejected, asked)
	if rejected*10 > asked {
		t.Errorf("%d of %d requests below the limits rejected in the first second", rejected, asked)
	}
	sim.run(8*time.Second, scaleTraffic(traffic, 7))
	sim.check()
}
