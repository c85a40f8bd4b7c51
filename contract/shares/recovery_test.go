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

// Guards against messages that continue after a shortage has ended, and against verdicts
// that name a service other than that of the report.
func TestNoTrafficAfterAShortage(t *testing.T) {
	for _, daemons := range []int{1, 3, 12, 72, 295} {
		s := newSim(t, simConfig{
			daemons: daemons, endpoints: 6, slots: 6, limit: 24, service: 60 * ms, objective: 300 * ms, listed: 1, seed: 16,
			callers: []*simCaller{{name: "a", load: between(2*sec, 5*sec, 3, 0.2)}},
		})
		s.run(30 * sec)
		if got := s.trafficPerDaemon(12*sec, 30*sec); got > 0 {
			t.Errorf("%d daemons: traffic of %.1f B/s per daemon 7 s after the shortage, want none", daemons, got)
		}
		for i, n := range s.nodes {
			if len(n.services) != 1 {
				t.Fatalf("%d daemons: daemon %d has state for %d services, want 1", daemons, i, len(n.services))
			}
		}
	}
}

// Guards against a capacity that fell to almost nothing while endpoints did not answer, and
// that the few requests admitted since cannot raise.
func TestCapacityRecoversAfterAnOutage(t *testing.T) {
	for _, listed := range []float64{0, 1} {
		for _, daemons := range []int{1, 12, 72} {
			s := newSim(t, simConfig{
				daemons: daemons, endpoints: 6, slots: 6, limit: 24, service: 60 * ms, objective: 300 * ms, listed: listed, seed: 17,
				callers: []*simCaller{{name: "a", load: constant(0.6)}},
			})
			s.run(3 * sec)
			for _, e := range s.ends {
				e.slow = 50 // 3 s for a request
			}
			s.run(13 * sec)
			for _, e := range s.ends {
				e.slow = 1
			}
			s.run(31 * sec)
			if got := s.inTime("a", 28*sec, 30*sec); got < 0.95 {
				t.Errorf("slots × %v, %d daemons: in time 15 s after the outage: %.3f, want 0.95", listed, daemons, got)
			}
		}
	}
}
