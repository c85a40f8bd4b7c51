package shares

import "testing"

// Guards against a shortage that never ends because its last observations were long waits and
// no requests follow.
func TestShortageEndsWithoutRequests(t *testing.T) {
	for _, slots := range []float64{0, 10} {
		n := node(1)
		n.SetSlots(tested, slots)
		now := sec
		for ; now < 3*sec; now += 10 * ms {
			n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.1, Objective: sec})
			n.Observe(now, tested, Wait{Waited: sec, Allowed: sec, Cost: 0.1})
			if now%TickInterval == 0 {
				n.Tick(now)
			}
		}
		if !n.Short(tested) {
			t.Fatalf("slots %v: the service is not short", slots)
		}
		for ; now < 10*sec; now += TickInterval {
			n.Tick(now)
		}
		s := n.services[tested]
		if n.Short(tested) || s.local.control.short || s.report.active || s.owner != nil {
			t.Errorf("slots %v: short %v, by own observations %v, reports %v, owner %v", slots, n.Short(tested), s.local.control.short, s.report.active, s.owner != nil)
		}
	}
}
