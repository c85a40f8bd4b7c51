package quota

import (
	"testing"
	"time"
)

// maxWrongRejections is the fraction of the requests within the limit that may be rejected.
const maxWrongRejections = 1.0 / 200

// sizes are the limits in tokens/s of a deployment with a few large organisations.
// The smallest allows less than three long prompts per second.
var sizes = []float64{2e6, 1e6, 600e3, 300e3, 150e3, 100e3, 60e3, 47e3, 47e3, 47e3}

func checkWrongRejections(t *testing.T, sim *simulation) {
	t.Helper()
	fraction, lost, owed := sim.wrongRejections()
	t.Logf("%d of %d requests within the limit rejected (%.5f); %d messages, %.0f bytes/s per daemon", lost, owed, fraction, sim.sent, float64(sim.bytes)/sim.now.Seconds()/float64(len(sim.nodes)))
	if fraction > maxWrongRejections {
		t.Errorf("%d of %d requests within the limit were rejected, allowed is 1 in 200", lost, owed)
	}
}

// A long prompt costs as many tokens as a daemon's equal fraction of the limit accrues
// in half a minute. With equal fractions, most long prompts of an organisation would be
// rejected although it uses only half of its limit.
func TestAdmitsLongPromptsWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 1, 73, limits)
	sim.run(3*time.Second, nil)
	sim.run(30*time.Second, traffic)
	checkWrongRejections(t, sim)
	sim.check()
}

// Three organisations send several times their usual traffic at once. They must get at
// least 95% of their limit and no more than allowed, and no other organisation may be
// affected.
func TestOverloadedOrganisationsGetTheirLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 2, 73, limits)
	sim.run(3*time.Second, nil)
	sim.run(10*time.Second, traffic)
	hot := append(scaleTraffic(traffic[:2], 7.5), scaleTraffic(traffic[8:9], 7.5)...)
	sim.run(12*time.Second, append(hot, append(traffic[2:8:8], traffic[9])...))
	sim.run(8*time.Second, traffic)
	sim.check()
	for _, i := range []int{0, 1, 8} {
		h := sim.use[traffic[i].key]
		got := h.peakUse() / (h.limit.PerSecond * window.Seconds())
		t.Logf("organisation %d: %.3f of its limit in the window of peak use, %d of %d rejected, %d of them within the limit", i, got, h.rejected, h.asked, h.wronglyRejected)
		if got < 0.95 {
			t.Errorf("organisation %d got %.2f of its limit", i, got)
		}
	}
	checkWrongRejections(t, sim)
}
