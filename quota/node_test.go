package quota

import (
	"testing"
	"time"
)

// maxWrongRefusals is the part of the owed requests that may be refused.
const maxWrongRefusals = 1.0 / 200

// sizes are limits in tokens/s as a deployment with a few large organisations has
// them: the smallest takes less than three long prompts a second.
var sizes = []float64{2e6, 1e6, 600e3, 300e3, 150e3, 100e3, 60e3, 47e3, 47e3, 47e3}

func checkWrongRefusals(t *testing.T, w *world) {
	t.Helper()
	fraction, lost, owed := w.wrongRefusals()
	t.Logf("%d of %d owed requests refused (%.5f); %d messages, %.0f bytes a second and daemon", lost, owed, fraction, w.sent, float64(w.bytes)/w.now.Seconds()/float64(len(w.nodes)))
	if fraction > maxWrongRefusals {
		t.Errorf("%d of %d owed requests were refused, allowed is 1 in 200", lost, owed)
	}
}

// A long prompt takes as many tokens as a daemon's equal part of the limit brings in
// half a minute. With equal parts most of an organisation's long prompts would be
// refused, though it uses half of its limit.
func TestAdmitsLongPromptsWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newWorld(t, 1, 73, limits)
	w.play(3*time.Second, nil)
	w.play(30*time.Second, traffic)
	checkWrongRefusals(t, w)
	w.check()
}

// Three organisations send many times their usual at once. They must get their
// limit, no more and hardly less, and the others must not feel it.
func TestOverloadedOrganisationsGetTheirLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newWorld(t, 2, 73, limits)
	w.play(3*time.Second, nil)
	w.play(10*time.Second, traffic)
	hot := append(scaleTraffic(traffic[:2], 7.5), scaleTraffic(traffic[8:9], 7.5)...)
	w.play(12*time.Second, append(hot, append(traffic[2:8:8], traffic[9])...))
	w.play(8*time.Second, traffic)
	w.check()
	for _, i := range []int{0, 1, 8} {
		h := w.use[traffic[i].key]
		got := h.peakUse() / (h.limit.PerSecond * window.Seconds())
		t.Logf("organisation %d: %.3f of its limit in the fullest window, %d of %d refused, %d of them owed", i, got, h.refused, h.asked, h.wronglyRefused)
		if got < 0.95 {
			t.Errorf("organisation %d got %.2f of its limit", i, got)
		}
	}
	checkWrongRefusals(t, w)
}
