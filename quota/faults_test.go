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
	w := newSimulation(t, 3, 73, limits)
	w.run(warmUp, nil)
	for _, at := range [][]int{{1, 2, 3, 4}, {40, 41, 42}, {70, 5}} {
		some := scaleTraffic(traffic, 1)
		for i := range some {
			some[i].at = at
		}
		w.run(6*time.Second, some)
	}
	checkWrongRejections(t, w)
	w.check()
}

// A fifth of the daemons is isolated for 8 s, but still receives requests and reaches
// the engines. No side knows what the other admits. Together they must stay within
// the limit, also while organisations send several times their usual traffic.
func TestPartitionedDaemonsStayWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	for seed := range uint64(4) {
		w := newSimulation(t, 10+seed, 73, limits)
		w.run(warmUp, nil)
		w.run(3*time.Second, traffic)
		apart := func(i int) bool { return (uint64(i)+seed)%5 == 0 }
		w.partitioned = func(a, b int) bool { return apart(a) || apart(b) }
		w.run(8*time.Second, scaleTraffic(traffic, 5))
		w.partitioned = nil
		w.run(6*time.Second, scaleTraffic(traffic, 5))
		w.check()
	}
}

// A network partition divides the daemons into two halves. Each half chooses an owner
// of its own for each organisation; if both lent the whole limit, twice the limit
// would be used.
func TestEvenPartitionStaysWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 20, 73, limits)
	w.run(warmUp, nil)
	w.partitioned = func(a, b int) bool { return a%2 != b%2 }
	w.run(14*time.Second, scaleTraffic(traffic, 6))
	w.partitioned = nil
	w.run(8*time.Second, scaleTraffic(traffic, 6))
	w.check()
}

// Owners crash one after the other while they lend to organisations at their limit.
// Their successors do not know what was lent.
func TestOwnerCrashGrantsNoSecondBurst(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 30, 73, limits)
	w.run(warmUp, nil)
	for range 6 {
		owner := w.byAddr[w.nodes[50].node.shards[0].owner.Address]
		w.run(1500*time.Millisecond, scaleTraffic(traffic, 6))
		owner.down = true
		w.run(1500*time.Millisecond, scaleTraffic(traffic, 6))
		w.restart(owner)
	}
	w.check()
}

// An owner is paused with unread asks in its sockets, others replace it, and it resumes
// and replies. The units that it then lends must not be used.
func TestPausedOwnerLendsNothingTwice(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 40, 73, limits)
	w.run(warmUp, nil)
	for range 3 {
		var frozen []*simDaemon
		for s := range Shards {
			if m := w.byAddr[w.nodes[50].node.shards[s].owner.Address]; !m.paused && m.index != 50 {
				m.paused = true
				frozen = append(frozen, m)
			}
		}
		w.run(4*time.Second, scaleTraffic(traffic, 4))
		for _, m := range frozen {
			w.resume(m)
		}
		w.run(2*time.Second, scaleTraffic(traffic, 4))
	}
	w.check()
}

// All daemons crash at the same time and start again, several times within a window.
// A start must not grant another burst.
func TestRestartOfAllDaemonsGrantsNoSecondBurst(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 50, 73, limits)
	w.run(warmUp, nil)
	for range 3 {
		w.run(2*time.Second, scaleTraffic(traffic, 7))
		for _, m := range w.nodes {
			w.restart(m)
		}
	}
	w.run(8*time.Second, scaleTraffic(traffic, 7))
	w.check()
	if h := w.use[traffic[0].key]; h.peakUse() < 0.7*h.limit.PerSecond*window.Seconds() {
		t.Errorf("after the restarts only %.0f of %.0f units a second were used", h.peakUse()/window.Seconds(), h.limit.PerSecond)
	}
}

// Three quarters more daemons are added while organisations are at their limits. The
// lists are updated at different times, so daemons pledge different fractions.
func TestAddedDaemonsStayWithinLimit(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 60, 73, limits)
	w.run(warmUp, nil)
	w.run(4*time.Second, scaleTraffic(traffic, 5))
	for i := 73; i < 128; i++ {
		w.add(i)
		m := w.nodes[i]
		m.node.SetDaemons(w.list())
		m.node.SetLimits(w.now, limits)
	}
	for _, m := range w.nodes {
		w.run(5*time.Millisecond, scaleTraffic(traffic, 5))
		m.node.SetDaemons(w.list())
	}
	w.run(8*time.Second, scaleTraffic(traffic, 5))
	w.check()
}

// A limit is lowered far below its use, and some daemons get the change two seconds
// late. From one window after the last update the lower limit must hold; the removal
// of a limit must take effect at once.
func TestChangedLimitsTakeEffect(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 70, 73, limits)
	w.run(warmUp, nil)
	w.run(3*time.Second, traffic)
	lower := map[Key]Limit{}
	for key, l := range limits {
		l.PerSecond, l.Burst = l.PerSecond/4, l.Burst/4
		lower[key] = l
	}
	for i, m := range w.nodes {
		if i%3 > 0 {
			m.node.SetLimits(w.now, lower)
		}
	}
	w.run(2*time.Second, traffic)
	for _, m := range w.nodes {
		m.node.SetLimits(w.now, lower)
	}
	w.run(window, traffic)
	for key, h := range w.use {
		h.admitted, h.limit = nil, lower[key]
	}
	w.run(window, traffic)
	w.check()
	for _, m := range w.nodes {
		m.node.SetLimits(w.now, nil)
	}
	before := w.use[traffic[0].key].rejected
	w.run(2*time.Second, scaleTraffic(traffic, 3))
	if h := w.use[traffic[0].key]; h.rejected > before {
		t.Errorf("%d requests rejected by a limit that was removed", h.rejected-before)
	}
}

// A twentieth of the messages is lost, some are duplicated and some arrive a second
// late. Owners must neither lend twice nor be considered unresponsive.
func TestLostDelayedAndDuplicatedMessages(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 80, 73, limits)
	w.loss, w.double, w.late = 0.05, 0.05, 0.01
	w.run(warmUp, nil)
	w.run(12*time.Second, traffic)
	checkWrongRejections(t, w)
	w.run(10*time.Second, scaleTraffic(traffic, 5))
	w.check()
}

// The clocks of the daemons are hours apart. Only differences of one clock may be used.
func TestIgnoresClockDifferences(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 90, 73, limits)
	for i, m := range w.nodes {
		m.skew = time.Duration(i%7) * time.Hour
	}
	w.run(warmUp, nil)
	w.run(8*time.Second, traffic)
	checkWrongRejections(t, w)
	w.run(10*time.Second, scaleTraffic(traffic, 6))
	w.check()
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
		if got, decided := n.Admit(now, key, 500, func(later Verdict) { v = later }); decided {
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
	w := newSimulation(t, 100, 1, limits)
	w.run(warmUp, nil)
	w.run(20*time.Second, traffic)
	checkWrongRejections(t, w)
	w.check()
	if w.sent > 0 {
		t.Errorf("%d messages sent without other daemons", w.sent)
	}
}

// The owners shut down. The other daemons must choose new owners at once, without
// requests that wait for a timeout.
func TestLeavingOwnerIsReplacedAtOnce(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	w := newSimulation(t, 110, 73, limits)
	w.run(warmUp, nil)
	w.run(3*time.Second, traffic)
	for s := range Shards {
		w.byAddr[w.nodes[50].node.shards[s].owner.Address].node.StopLending()
	}
	w.run(5*time.Second, traffic)
	for _, h := range w.use {
		for _, d := range h.waits {
			if d > replyTimeout {
				t.Fatalf("a request waited %v", d)
			}
		}
	}
	w.check()
}
