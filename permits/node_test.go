package permits

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
)

var target = Target{ID: "e", Service: "s", Slots: 4}

func alone() *Node {
	return NewNode(Options{Self: gossip.Peer{Name: "a", Address: "a:1"}, Nonce: 7, Rand: rand.New(rand.NewPCG(1, 2))})
}

func brittle(perSecond float64) *float64 { return &perSecond }

// load is a reported load of an endpoint of 4 slots.
func load(running, waiting int) *fleet.Load {
	return &fleet.Load{Running: running, Waiting: waiting, Slots: 4}
}

// ask asks for a permit and returns 0 if it was not granted at once.
func (n *Node) ask(now time.Duration) ID {
	granted := false
	id := n.Ask(now, target, 0, 0, func(ok bool) { granted = ok })
	if !granted {
		return 0
	}
	return id
}

// known returns a daemon that knows from an answer at 1 s that all slots are free.
func known() *Node {
	n := alone()
	n.Answered(time.Second, target, 0, Answer{Limit: brittle(5), Load: load(0, 0)})
	return n
}

// Guards against requests that wait for permits of endpoints that are not brittle, or not any
// more.
func TestPermitsAreRequiredWhileReported(t *testing.T) {
	n := alone()
	n.Answered(time.Second, target, 0, Answer{Rejected: true, Load: load(4, 2)})
	if n.Brittle() || n.Required(time.Second, target) {
		t.Error("a permit is required without a report")
	}
	if !n.Answered(time.Second, target, 0, Answer{Limit: brittle(5)}).Began {
		t.Error("the beginning is not reported")
	}
	returned := Target{ID: "e2", Service: "s"}
	if !n.Required(2*time.Second, target) || !n.Required(2*time.Second, returned) || n.Required(2*time.Second, Target{ID: "x", Service: "other"}) {
		t.Error("a permit is required for the endpoint and others of its service only")
	}
	n.Answered(3*time.Second, target, 0, Answer{})
	if n.Required(3*time.Second, target) {
		t.Error("a permit is required after an answer without a report")
	}
	if n.Required(time.Second+noticeTTL, returned) {
		t.Error("a permit is required long after the last report")
	}
}

// Guards against a daemon that sends freely because it had no answer of a brittle endpoint
// itself, or answers of the time before only.
func TestDaemonsWithoutAnswersLearn(t *testing.T) {
	a, b := alone(), NewNode(Options{Self: gossip.Peer{Name: "b", Address: "b:1"}, Rand: rand.New(rand.NewPCG(1, 2))})
	a.SetPeers([]gossip.Peer{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}})
	a.Outbox()
	a.Answered(time.Second, target, 0, Answer{Limit: brittle(5)})
	b.Answered(time.Second, target, 0, Answer{})
	for _, m := range a.Outbox() {
		if err := b.Receive(time.Second, "a:1", m.Data); err != nil {
			t.Fatal(err)
		}
	}
	if !b.Required(time.Second+ownAnswerTTL, target) {
		t.Error("a permit is not required")
	}
}

// Guards against an owner that has just begun and lends all slots, which others still use.
func TestOwnerBeginsWithOnePermit(t *testing.T) {
	n := alone()
	first := n.ask(time.Second)
	if first == 0 || n.ask(time.Second) != 0 {
		t.Fatal("one permit is lent at first")
	}
	n.Answered(time.Second, target, first, Answer{Limit: brittle(5), Load: load(4, 0)})
	n.Release(time.Second, first, false)
	if n.ask(time.Second) == 0 || n.ask(time.Second) != 0 {
		t.Error("three requests without a permit run, so that one is lent")
	}
}

// Guards against permits that are not returned when a request is given up, while it waits and
// after it was granted.
func TestCancelledRequestsHoldNoPermit(t *testing.T) {
	n := known()
	var all []ID
	for range 4 {
		all = append(all, n.ask(time.Second))
	}
	waiting := n.Ask(time.Second, target, time.Second, 0, func(bool) { t.Error("a cancelled request was decided") })
	n.Cancel(time.Second, waiting)
	if got := n.Usage(time.Second); got.Waiting != 0 {
		t.Errorf("%d requests wait after one was cancelled", got.Waiting)
	}
	for _, id := range all {
		n.Release(time.Second, id, false)
	}
	if got := n.Usage(time.Second); got.Lent != 0 || got.Waiting != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against slots that stay unused after the daemon that held their permits has ended,
// and against permits that end while their requests run.
func TestPermitsOfEndedDaemonsExpire(t *testing.T) {
	n := known()
	if err := n.Receive(time.Second, "b:1", (&ask{key: target.key(), id: 1<<32 + 1}).encode()); err != nil {
		t.Fatal(err)
	}
	own := n.ask(time.Second)
	for now := time.Second; now < 10*time.Second; now += ActiveTick {
		n.Tick(now)
		if lent := n.Usage(now).Lent; now < permitTTL && lent != 2 {
			t.Fatalf("%d permits lent after %v", lent, now)
		}
	}
	if lent := n.Usage(10 * time.Second).Lent; lent != 1 || n.held[own] == nil {
		t.Errorf("%d permits lent, the own one is held", lent)
	}
}

// Guards against slots that stay unused after a daemon has restarted, and against a late
// message of the incarnation before that ends permits of the present one.
func TestPermitsOfRestartedDaemonsEnd(t *testing.T) {
	n := known()
	request := func(id ID) {
		if err := n.Receive(time.Second, "b:1", (&ask{key: target.key(), id: id}).encode()); err != nil {
			t.Fatal(err)
		}
	}
	request(1<<32 + 1)
	request(1<<32 + 2)
	request(2<<32 + 1)
	n.Tick(time.Second)
	if lent := n.Usage(time.Second).Lent; lent != 1 {
		t.Errorf("%d permits lent after the restart", lent)
	}
	request(1<<32 + 3)
	n.Tick(time.Second)
	if lent := n.Usage(time.Second).Lent; lent != 2 {
		t.Errorf("%d permits lent after a late message", lent)
	}
}

// Guards against a permit that is lent anew while the endpoint still runs the request, whose
// connection was lost.
func TestPermitOutlastsLostConnection(t *testing.T) {
	n := known()
	first := n.ask(time.Second)
	for range 100 {
		n.Release(2*time.Second, first, false)
		first = n.ask(time.Second)
	}
	n.Release(2*time.Second, first, true)
	n.Tick(2 * time.Second)
	if lent := n.Usage(2 * time.Second).Lent; lent != 1 {
		t.Errorf("%d permits lent", lent)
	}
	n.Tick(4 * time.Second)
	if lent := n.Usage(4 * time.Second).Lent; lent != 0 {
		t.Errorf("%d permits lent later", lent)
	}
}

// Guards against urgent requests that wait behind others, and against waits without a bound.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	n := known()
	var held []ID
	for range 4 {
		held = append(held, n.ask(time.Second))
	}
	order := ""
	for i, priority := range []byte{2, 0, 1, 0} {
		n.Ask(time.Second, target, time.Second, priority, func(granted bool) {
			if granted {
				order += string(rune('a' + i))
			}
		})
	}
	refused := false
	n.Ask(time.Second, target, time.Second, 0, func(granted bool) { refused = !granted })
	if !refused {
		t.Error("more requests wait than slots are there")
	}
	for _, id := range held {
		n.Release(time.Second, id, false)
	}
	if order != "bdca" {
		t.Errorf("served %s", order)
	}
}

// Guards against rejections of which the log does not tell what the daemon knew.
func TestRejectionsAreExplained(t *testing.T) {
	n := alone()
	rejected := Answer{Limit: brittle(5), Rejected: true, Load: load(4, 2)}
	if got := n.Answered(time.Second, target, 0, rejected).Rejection; got == nil || got.Known || got.Permitted || got.AnswerAge >= 0 || got.RejectionAge >= 0 {
		t.Errorf("first answer: %+v", got)
	}
	id := n.ask(3 * time.Second)
	if got := n.Answered(3*time.Second, target, id, rejected).Rejection; got == nil || !got.Known || !got.Permitted || got.Owner != "a" || got.UnderWay != 1 || got.AnswerAge != 2*time.Second {
		t.Errorf("second answer: %+v", got)
	}
}

// Guards against rejections that go on because their answers report free slots, as reports of
// engines are some time old.
func TestRejectionCountsWhateverLoadIsReported(t *testing.T) {
	n := known()
	for range 5 {
		n.Answered(time.Second, target, 0, Answer{Limit: brittle(5), Rejected: true, Load: load(0, 0)})
	}
	if n.ask(time.Second) != 0 {
		t.Error("a permit is lent after as many rejections as the endpoint survives")
	}
	if n.ask(time.Second+rejectionInterval) == 0 {
		t.Error("no permit is lent later")
	}
}

// Guards against absurd reports that stop all requests or allow any number of them.
func TestAbsurdReports(t *testing.T) {
	for _, limit := range []float64{0, 1e300, math.MaxFloat64} {
		for _, l := range []*fleet.Load{nil, {}, {Running: math.MaxInt, Waiting: 1, Slots: 1}, {Running: -5, Waiting: -5, Slots: -1}, load(1<<30, 0)} {
			n := alone()
			for now := time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
				id := n.ask(now)
				n.Answered(now, target, id, Answer{Limit: brittle(limit), Load: l})
				n.Release(now, id, false)
				n.Tick(now)
			}
			if n.ask(4*time.Second) == 0 {
				t.Errorf("limit %v, load %+v: no permit", limit, l)
			}
			for range 1000 {
				n.ask(4 * time.Second)
			}
			if lent := n.Usage(4 * time.Second).Lent; lent > 8 {
				t.Errorf("limit %v, load %+v: %d permits", limit, l, lent)
			}
		}
	}
}

// Guards against messages that are malformed, cut off or at random and stop a daemon.
func TestMalformedMessages(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	n := known()
	whole := [][]byte{
		(&ask{key: target.key(), id: 1<<32 + 1, wait: time.Second, slots: 4, limit: 5}).encode(), encodeVerdict(1, 2, granted),
		(&report{key: target.key(), id: 3, answered: true, reports: true, slots: 4}).encode(), encodeRenewals([]renewal{{1, 2}}), encodeNotices([]notice{{1, 0}}),
	}
	for _, m := range whole {
		for cut := 1; cut < len(m); cut++ {
			if err := n.Receive(time.Second, "b:1", m[:cut]); err == nil && m[0] < kindRenew {
				t.Errorf("%x cut off at %d is accepted", m, cut)
			}
		}
	}
	for range 20_000 {
		m := make([]byte, 1+rng.IntN(60))
		for i := range m {
			m[i] = byte(rng.Uint32())
		}
		m[0] = kindAsk + m[0]%6
		_ = n.Receive(time.Second, "b:1", m)
		n.Outbox()
	}
	n.Tick(2 * time.Second)
	if err := n.Receive(time.Second, "b:1", (&ask{key: 9, id: 1, limit: math.NaN()}).encode()); err != nil || n.owner.accounts[9].limit != 0 {
		t.Errorf("a limit that is no number: %v", err)
	}
}

// Guards against memory that grows with every endpoint that ever was.
func TestForgetsEndpoints(t *testing.T) {
	n := known()
	n.Retain(time.Second, func(fleet.EndpointID) bool { return true })
	if len(n.endpoints) != 1 {
		t.Error("a known endpoint is forgotten")
	}
	n.Retain(time.Minute, func(fleet.EndpointID) bool { return false })
	n.Tick(time.Minute)
	if len(n.endpoints)+len(n.owner.accounts) != 0 || n.Brittle() || n.Active() {
		t.Error("an endpoint that is gone is kept")
	}
}

// Guards against permits that stay few after the room has returned, with and without reports
// of the load, and whatever number of rejections the endpoint survives.
func TestPermitsGrowAgain(t *testing.T) {
	for name, l := range map[string]*fleet.Load{"load": load(1, 0), "no load": nil} {
		for _, limit := range []float64{0, 2, 5} {
			n := known()
			var held []ID
			for range 4 {
				held = append(held, n.ask(time.Second))
			}
			n.Answered(time.Second, target, held[0], Answer{Limit: brittle(limit), Rejected: true})
			for _, id := range held {
				n.Release(time.Second, id, false)
			}
			now := 2 * time.Second
			low := n.Usage(now).Capacity
			for range 100 {
				id := n.ask(now)
				n.Answered(now, target, id, Answer{Limit: brittle(limit), Load: l})
				n.Release(now, id, false)
				now += 50 * time.Millisecond
			}
			if high := n.Usage(now).Capacity; high < 4 && (l != nil || limit > 0) || low > 3 {
				t.Errorf("%s, limit %v: %d permits, %d after the rejection", name, limit, high, low)
			}
		}
	}
}

// Guards against an endpoint that stays idle because requests without a permit were rejected
// there when few permits were lent.
func TestRejectionsWithoutPermitLeavePermits(t *testing.T) {
	n := known()
	before := n.Usage(time.Second).Capacity
	n.Answered(time.Second, target, 0, Answer{Limit: brittle(5), Rejected: true})
	if after := n.Usage(time.Second).Capacity; after != before {
		t.Errorf("%d permits after the rejection, %d before", after, before)
	}
	for range 4 {
		n.Answered(time.Second, target, 0, Answer{Limit: brittle(5), Rejected: true})
	}
	if n.ask(time.Second) != 0 {
		t.Error("a permit is lent after as many rejections as the endpoint survives")
	}
}
