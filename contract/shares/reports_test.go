package shares

import (
	"math"
	"testing"
)

// Guards against alarms because of the underflow of exp(-mean) at many requests in flight.
func TestPoissonTailOfLargeMeans(t *testing.T) {
	for _, mean := range []float64{10, 700, 740, 800, 1e4} {
		if got := poissonTail(int(mean)+1, mean); got < 0.3 {
			t.Errorf("mean %v: probability %v of one event more, want above 0.3", mean, got)
		}
		if got := poissonTail(int(2*mean)+30, mean); !(got < certainChance) {
			t.Errorf("mean %v: probability %v of 30 + twice as many", mean, got)
		}
	}
	if got, want := poissonTail(4, 0.08), 1.6e-6; math.Abs(got-want) > 0.1e-6 {
		t.Errorf("probability %v of 4 events where 0.08 are expected, want %v", got, want)
	}
	if got := poissonTail(4, 0); got != 0 {
		t.Errorf("probability %v of 4 events where none is expected, want 0", got)
	}
}

// Guards against a request of huge cost that makes the owner drop its daemon's reports, so that the
// daemon gets no verdict.
func TestHugeCostsAreReported(t *testing.T) {
	n := node(1)
	n.SetSlots(tested, 10)
	for now := sec; now < 3*sec; now += 10 * ms {
		n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 1e9, Objective: sec})
		n.Observe(now, tested, Wait{Waited: sec, Allowed: sec, Cost: 0.01})
		n.Tick(now)
	}
	if n.Counters().Implausible != 0 || n.services[tested].owner == nil {
		t.Errorf("%+v; the owner has a report: %v", n.Counters(), n.services[tested].owner != nil)
	}
}
