package quota

import (
	"testing"
	"time"
)

// warmUp is the simulated time before the traffic, for the first pledges.
const warmUp = 3 * time.Second

// All traffic of an organisation comes to a few daemons, and seconds later to
// others. Fractions that follow the demand would stay with the former daemons for a
// while; the organisation must get its limit at any daemon.
func TestLimitFollowsTraffic(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 3, 73, limits)
	sim.run(warmUp, nil)
	for _, at := range [][]int{{1, 2, 3, 4}, {40, 41, 42}, {70, 5}} {
		some := scaleTraffic(traffic, 1)
		for i := range some {
			some[i].at = at
		}
		sim.run(6*time.Second, some)
	}
	checkWrongRejections(t, sim)
	sim.check()
}

// A fifth of the daemons is isolated for 8 s, but still receives requests and reaches
// the engines. No side knows what the other admits. Together they must stay within
// the limit, also while organisations send several times their usual traffic.
func TestPartitionedDaemonsStayWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	for seed := range uint64(4) {
		sim := newSimulation(t, 10+seed, 73, limits)
		sim.run(warmUp, nil)
		sim.run(3*time.Second, traffic)
		apart := func(i int) bool { return (uint64(i)+seed)%5 == 0 }
		sim.partitioned = func(a, b int) bool { return apart(a) || apart(b) }
		sim.run(8*time.Second, scaleTraffic(traffic, 5))
		sim.partitioned = nil
		sim.run(6*time.Second, scaleTraffic(traffic, 5))
		sim.check()
	}
}

// A network partition divides the daemons into two halves. Each half chooses an owner
// of its own for each organisation; if both lent the whole limit, twice the limit
// would be used.
func TestEvenPartitionStaysWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 20, 73, limits)
	sim.run(warmUp, nil)
	sim.partitioned = func(a, b int) bool { return a%2 != b%2 }
	sim.run(14*time.Second, scaleTraffic(traffic, 6))
	sim.partitioned = nil
	sim.run(8*time.Second, scaleTraffic(traffic, 6))
	sim.check()
}

// Owners crash one after the other while they lend to organisations at their limit.
// Their successors do not know what was lent.
func TestOwnerCrashGrantsNoSecondBurst(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 30, 73, limits)
	sim.run(warmUp, nil)
	for range 6 {
		owner := sim.byAddr[sim.nodes[50].node.shards[0].owner.Address]
		sim.run(1500*time.Millisecond, scaleTraffic(traffic, 6))
		owner.down = true
		sim.run(1500*time.Millisecond, scaleTraffic(traffic, 6))
		sim.restart(owner)
	}
	sim.check()
}

// An owner is paused with unread asks in its sockets, others replace it, and it resumes
// and replies. The units that it then lends must not be used.
func TestPausedOwnerLendsNothingTwice(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 40, 73, limits)
	sim.run(warmUp, nil)
	for range 3 {
		var frozen []*simDaemon
		for s := range Shards {
			if m := sim.byAddr[sim.nodes[50].node.shards[s].owner.Address]; !m.paused && m.index != 50 {
				m.paused = true
				frozen = append(frozen, m)
			}
		}
		sim.run(4*time.Second, scaleTraffic(traffic, 4))
		for _, m := range frozen {
			sim.resume(m)
		}
		sim.run(2*time.Second, scaleTraffic(traffic, 4))
	}
	sim.check()
}

// All daemons crash at the same time and start again, several times within a window.
// A start must not grant another burst.
func TestRestartOfAllDaemonsGrantsNoSecondBurst(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 50, 73, limits)
	sim.run(warmUp, nil)
	for range 3 {
		sim.run(2*time.Second, scaleTraffic(traffic, 7))
		for _, m := range sim.nodes {
			sim.restart(m)
		}
	}
	sim.run(8*time.Second, scaleTraffic(traffic, 7))
	sim.check()
	if h := sim.use[traffic[0].key]; h.peakUse() < 0.7*h.limit.PerSecond*window.Seconds() {
		t.Errorf("after the restarts only %.0f of %.0f units a second were used", h.peakUse()/window.Seconds(), h.limit.PerSecond)
	}
}

// Three quarters more daemons are added while organisations are at their limits. The
// lists are updated at different times, so daemons pledge different fractions.
func TestAddedDaemonsStayWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 60, 73, limits)
	sim.run(warmUp, nil)
	sim.run(4*time.Second, scaleTraffic(traffic, 5))
	for i := 73; i < 128; i++ {
		sim.add(i)
		m := sim.nodes[i]
		m.node.SetDaemons(sim.list())
		m.node.SetLimits(sim.now, limits)
	}
	for _, m := range sim.nodes {
		sim.run(5*time.Millisecond, scaleTraffic(traffic, 5))
		m.node.SetDaemons(sim.list())
	}
	sim.run(8*time.Second, scaleTraffic(traffic, 5))
	sim.check()
}

// A limit is lowered far below its use, and some daemons get the change two seconds
// late. From one window after the last update the lower limit must hold; the removal
// of a limit must take effect at once.
func TestChangedLimitsTakeEffect(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 70, 73, limits)
	sim.run(warmUp, nil)
	sim.run(3*time.Second, traffic)
	lower := map[Key]Limit{}
	for key, l := range limits {
		l.PerSecond, l.Burst = l.PerSecond/4, l.Burst/4
		lower[key] = l
	}
	for i, m := range sim.nodes {
		if i%3 > 0 {
			m.node.SetLimits(sim.now, lower)
		}
	}
	sim.run(2*time.Second, traffic)
	for _, m := range sim.nodes {
		m.node.SetLimits(sim.now, lower)
	}
	sim.run(window, traffic)
	for key, h := range sim.use {
		h.admitted, h.limit = nil, lower[key]
	}
	sim.run(window, traffic)
	sim.check()
	for _, m := range sim.nodes {
		m.node.SetLimits(sim.now, nil)
	}
	before := sim.use[traffic[0].key].rejected
	sim.run(2*time.Second, scaleTraffic(traffic, 3))
	if h := sim.use[traffic[0].key]; h.rejected > before {
		t.Errorf("%d requests rejected by a limit that was removed", h.rejected-before)
	}
}

// A twentieth of the messages is lost, some are duplicated and some arrive a second
// late. Owners must neither lend twice nor be considered unresponsive.
func TestLostDelayedAndDuplicatedMessages(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 80, 73, limits)
	sim.loss, sim.double, sim.late = 0.05, 0.05, 0.01
	sim.run(warmUp, nil)
	sim.run(12*time.Second, traffic)
	checkWrongRejections(t, sim)
	sim.run(10*time.Second, scaleTraffic(traffic, 5))
	sim.check()
}

// The clocks of the daemons are hours apart. Only differences of one clock may be used.
func TestIgnoresClockDifferences(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 90, 73, limits)
	for i, m := range sim.nodes {
		m.skew = time.Duration(i%7) * time.Hour
	}
	sim.run(warmUp, nil)
	sim.run(8*time.Second, traffic)
	checkWrongRejections(t, sim)
	sim.run(10*time.Second, scaleTraffic(traffic, 6))
	sim.check()
}

// A third of the admitted requests does not run and is refunded. The organisation must
// be able to use the refunded units.
func TestRefundedTokensAreReused(t *testing.T) {
	key := KeyOf("org")
	n := NewNode(Options{Self: Daemon{Name: "a", Address: "1.1.1.1:1"}, Tolerance: tolerance, Rand: newSimulation(t, 1, 1, nil).rng})
	n.SetDaemons([]Daemon{n.o.Self})
	n.SetLimits(0, map[Key]Limit{key: {PerSecond: 1000, Burst: 1000, Unit: Tokens}})
	now := time.Duration(0)
	for ; now < warmUp; now += 100 * time.Millisecond {
		n.Tick(now)
	}
	ran := 0
	for i := range 10_000 {
		var v Verdict
		if got, decided := n.Admit(now, key, 500, 0, func(later Verdict) { v = later }); decided {
			v = got
		}
		switch {
		case !v.Admitted:
			if ran < 1000 {
				t.Fatalf("rejected after %d tokens that ran", ran)
			}
			return
		case i%3 == 0:
			n.Refund(key, 500)
		default:
			ran += 500
		}
	}
	t.Error("never rejected")
}

// A request runs a second time after its first attempt failed. Both runs must be
// charged.
func TestChargesSecondRun(t *testing.T) {
	a := &account{limit: Limit{PerSecond: 100, Unit: Tokens}, expiresAt: time.Hour}
	a.add(100)
	n := &Node{accounts: map[Key]*account{1: a}}
	n.Charge(1, 80)
	if a.balance() != 20 || a.spend(30) {
		t.Errorf("%.0f tokens left", a.balance())
	}
	n.Refund(1, 80)
	if !a.spend(30) {
		t.Error("the refunded units are missing")
	}
}

// The only daemon of a deployment must have the whole limit.
func TestSingleDaemonHasWholeLimit(t *testing.T) {
	limits, traffic := organisations(0.8, 100_000)
	sim := newSimulation(t, 100, 1, limits)
	sim.run(warmUp, nil)
	sim.run(20*time.Second, traffic)
	checkWrongRejections(t, sim)
	sim.check()
	if sim.sent > 0 {
		t.Errorf("%d messages sent without other daemons", sim.sent)
	}
}

// The owners shut down. The other daemons must choose new owners at once, without
// requests that wait for a timeout.
func TestLeavingOwnerIsReplacedAtOnce(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 110, 73, limits)
	sim.run(warmUp, nil)
	sim.run(3*time.Second, traffic)
	for s := range Shards {
		sim.byAddr[sim.nodes[50].node.shards[s].owner.Address].node.StopLending()
	}
	sim.run(5*time.Second, traffic)
	for _, h := range sim.use {
		for _, d := range h.waits {
			if d > replyTimeout {
				t.Fatalf("a request waited %v", d)
			}
		}
	}
	sim.check()
}
