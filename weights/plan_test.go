package weights

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

func engines(versions ...int64) []Engine {
	var out []Engine
	for i, v := range versions {
		key := fleet.EndpointID(fmt.Sprint("e", i))
		out = append(out, Engine{Target: Target{Key: key, ID: string(key)}, Zone: fleet.ZoneID(fmt.Sprint("z", i%3)), Version: v, UsableFor: time.Hour})
	}
	return out
}

func TestPlanBoundsOrderedEngines(t *testing.T) {
	p := NewPlan()
	all := engines(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	first := p.Next(0, all, 2)
	if len(first) != 3 {
		t.Fatalf("%d ordered at once", len(first))
	}
	for _, e := range first {
		p.Replied(0, e.Key, 2, Accepted)
	}
	if more := p.Next(time.Second, all, 2); len(more) != 0 {
		t.Errorf("%d more ordered while three load", len(more))
	}
	for i := range all {
		if slices.ContainsFunc(first, func(e Engine) bool { return e.Key == all[i].Key }) {
			all[i].Version = 2
		}
	}
	// The three engines had no requests to finish, so their absence was load time alone.
	if more := p.Next(3*time.Second, all, 2); len(more) != 2 {
		t.Errorf("%d ordered after three have loaded", len(more))
	}
}

// A version is named while an older one is still being rolled out. Engines not ordered yet
// must skip the older one: each load takes an engine out of service for seconds.
func TestPlanSkipsSupersededVersions(t *testing.T) {
	p := NewPlan()
	next := p.Next(0, engines(3, 2, 1, 2, 3, 3), 4)
	if len(next) != 1 || next[0].Version != 1 {
		t.Errorf("next %v", next)
	}
}

// An order without an answer may be carried out seconds later. The engine counts as loading
// for a moment and must then be ordered again.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	p := NewPlan()
	all := engines(1)
	p.Replied(0, "e0", 2, Unanswered)
	if len(p.Next(time.Second, all, 2)) != 0 {
		t.Error("ordered again at once")
	}
	if len(p.Next(2*time.Second, all, 2)) != 1 {
		t.Error("never ordered again")
	}
}

// An engine accepts an order and never reports again. The rollout must continue with the
// others.
func TestSilentEngineDoesNotBlockRollout(t *testing.T) {
	p := NewPlan()
	p.Replied(0, "e0", 2, Accepted)
	if len(p.Next(10*time.Second, engines(1, 1), 2)) != 1 {
		t.Error("no further engine is ordered")
	}
}

// One engine is idle, one has a queue of two seconds, and the weights of a third may no
// longer be used. The third is ordered first, since it serves no requests anyway, then the
// idle one: the busy one, ordered first, would reject callers for seconds while the others
// wait for their turn.
func TestPlanOrdersSmallestBacklogFirst(t *testing.T) {
	all := engines(3, 3, 2)
	all[0].Backlog, all[2].Backlog = 2*time.Second, time.Second
	all[2].UsableFor = -time.Second
	p := NewPlan()
	for _, want := range []fleet.EndpointID{"e2", "e1", "e0"} {
		next := p.Next(0, all, 4)
		if len(next) != 1 || next[0].Key != want {
			t.Fatalf("next %v, want %s", next, want)
		}
		for i := range all {
			if all[i].Key == want {
				all[i].Version = 4
			}
		}
	}
}

// rollout simulates a fleet that loads new weights. Each engine first finishes its requests
// and then loads, at a speed that it shares with the others above a number of loads.
type rollout struct {
	finishTimes    []time.Duration // of each engine, until it can load
	load           time.Duration   // alone
	fullSpeedLoads int             // engines that load at full speed
	fixedOrders    int             // engines under an order at a time; 0: as the plan decides
	now            time.Duration
	remaining      []time.Duration // remaining load time; -1: not ordered
	totalAbsence   time.Duration
	engines        []Engine
}

func newRollout(seed uint64, n int, load, ends time.Duration) *rollout {
	rng := rand.New(rand.NewPCG(seed, 5))
	r := &rollout{load: load, fullSpeedLoads: (n + 4) / 5}
	for range n {
		r.finishTimes = append(r.finishTimes, time.Duration(2*rng.Float64()*float64(ends)))
	}
	return r
}

// run brings all engines to the named version and returns how long that took.
func (r *rollout) run(p *Plan, named int64) time.Duration {
	n := len(r.finishTimes)
	r.engines = engines(make([]int64, n)...)
	r.remaining = make([]time.Duration, n)
	until := make([]time.Duration, n)
	for i := range r.engines {
		r.engines[i].Version = named - 1
		r.engines[i].Backlog = r.finishTimes[i]
		r.remaining[i] = -1
	}
	const step = 10 * time.Millisecond
	began := r.now
	for ; CountOutdated(r.engines, named) > 0; r.now += step {
		under, loading := 0, 0
		for i := range n {
			if r.remaining[i] >= 0 {
				under++
				if r.now >= until[i] {
					loading++
				}
			}
		}
		next := p.Next(r.now, r.engines, named)
		if r.fixedOrders > 0 {
			next = next[:min(len(next), max(0, r.fixedOrders-under))]
		}
		for _, e := range next {
			i := slices.IndexFunc(r.engines, func(o Engine) bool { return o.Key == e.Key })
			p.Replied(r.now, e.Key, named, Accepted)
			if r.remaining[i] < 0 {
				r.remaining[i], until[i] = r.load, r.now+r.finishTimes[i]
			}
		}
		for i := range n {
			if r.remaining[i] < 0 {
				continue
			}
			r.totalAbsence += step
			if r.now < until[i] {
				continue
			}
			r.remaining[i] -= time.Duration(float64(step) * min(1, float64(r.fullSpeedLoads)/float64(max(loading, 1))))
			if r.remaining[i] <= 0 {
				r.remaining[i], r.engines[i].Version = -1, named
			}
		}
	}
	return r.now - began
}

// Weights are named repeatedly while engines have requests to finish. Where that takes
// longer than the load, a fixed fifth of the engines under an order would leave the link
// idle and double the time for which callers get answers of replaced weights. Where the
// load takes longer, ordering more engines would only extend their absence. The fleets are
// random; the lower bound is the time of the loads alone.
func TestRolloutKeepsLoadingFraction(t *testing.T) {
	for seed, c := range []struct {
		n          int
		load, ends time.Duration
		faster     bool
	}{
		{9, 430 * time.Millisecond, time.Second, true},
		{60, 500 * time.Millisecond, 1500 * time.Millisecond, true},
		{24, 300 * time.Millisecond, 900 * time.Millisecond, true},
		{18, 1800 * time.Millisecond, 900 * time.Millisecond, false},
		{9, 2500 * time.Millisecond, 500 * time.Millisecond, false},
		{40, 4 * time.Second, 200 * time.Millisecond, false},
	} {
		simulate := func(fixed int) (took, away time.Duration) {
			r := newRollout(uint64(seed), c.n, c.load, c.ends)
			r.fixedOrders = fixed
			p := NewPlan()
			for named := range int64(6) {
				took = r.run(p, named+2) // the last result counts: the plan has measured by then
			}
			return took, r.totalAbsence / 6
		}
		before, awayBefore := simulate(max(1, int(math.Round(0.22*float64(c.n)))))
		after, awayAfter := simulate(0)
		least := time.Duration(float64(c.load) * float64(c.n) / float64((c.n+4)/5))
		t.Logf("%d engines, load %v, ends in %v: %v and %v, at least %v; away %v and %v in all", c.n, c.load, c.ends, before, after, least, awayBefore, awayAfter)
		if c.faster && after > before*8/10 {
			t.Errorf("%d engines: %v, with a fixed fraction %v", c.n, after, before)
		}
		if !c.faster && (after > before*13/10 || awayAfter > awayBefore*13/10) {
			t.Errorf("%d engines: %v, away %v; with a fixed fraction %v, away %v", c.n, after, awayAfter, before, awayBefore)
		}
	}
}

// Guards against an engine that is ordered twice while its first order is on its way, and
// against a load that counts as shorter than it was because its order was repeated.
func TestOrderOnItsWayCounts(t *testing.T) {
	p, all := NewPlan(), engines(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	first := p.Next(0, all, 2)
	for _, e := range first {
		p.Sent(0, e.Key, 2)
	}
	if again := p.Next(100*time.Millisecond, all, 2); len(again) > 0 {
		t.Errorf("%d engines are ordered while %d orders are on their way", len(again), len(first))
	}
	p.Replied(800*time.Millisecond, first[0].Key, 2, Refused)
	if next := p.Next(800*time.Millisecond, all, 2); len(next) != 1 || next[0].Key == first[0].Key {
		t.Errorf("%v are ordered after a refusal", next)
	}
	key := first[1].Key
	p.Replied(800*time.Millisecond, key, 2, Unanswered)
	p.Sent(2400*time.Millisecond, key, 2)
	p.Replied(2500*time.Millisecond, key, 2, Accepted)
	if o := p.orders[key]; o.sent != 800*time.Millisecond {
		t.Errorf("the load counts from %v", o.sent)
	}
	if got := p.Next(maxReplyTime+time.Second, all, 2); len(got) == 0 {
		t.Error("orders without any reply hold up the rollout")
	}
}

// Guards against orders left unanswered that take the place of others, and against half of
// the engines or more that load at once because all such orders are carried out late.
func TestUnansweredOrdersLeaveRoom(t *testing.T) {
	all := engines(slices.Repeat([]int64{1}, 12)...)
	p := NewPlan()
	at := p.Next(0, all, 2)
	for _, e := range at {
		p.Replied(0, e.Key, 2, Unanswered)
	}
	if next := p.Next(0, all, 2); len(next) != len(at) {
		t.Errorf("%d engines are ordered beside %d unanswered orders", len(next), len(at))
	}
	ordered := len(at)
	for range 12 {
		for _, e := range p.Next(0, all, 2) {
			p.Replied(0, e.Key, 2, Unanswered)
			ordered++
		}
	}
	if want := int(maxOrderedFraction * float64(len(all))); ordered != want {
		t.Errorf("%d of %d engines have unanswered orders, want %d", ordered, len(all), want)
	}
}

// Guards against an engine that holds up others after it has loaded older weights than
// ordered, against an absence that includes that load, and against an engine that is ordered
// again while the reply to an order is awaited.
func TestEndSupersededMakesRoomForOthers(t *testing.T) {
	p, all := NewPlan(), engines(1, 1)
	first := p.Next(0, all, 3)[0].Key
	p.Sent(0, first, 3)
	if p.EndSuperseded(100*time.Millisecond, first, 3) || len(p.Next(100*time.Millisecond, all, 3)) > 0 {
		t.Error("an order was ended while its reply was awaited")
	}
	p.Replied(200*time.Millisecond, first, 3, Accepted)
	if p.EndSuperseded(time.Second, first, 2) || len(p.Next(time.Second, all, 3)) > 0 {
		t.Error("the order was ended as one to another version")
	}
	if !p.EndSuperseded(2*time.Second, first, 3) {
		t.Error("the order was not ended")
	}
	if next := p.Next(2*time.Second, all, 3); len(next) != 1 || next[0].Key == first {
		t.Errorf("%v are ordered after the load of older weights", next)
	}
	p.Sent(4*time.Second, first, 3)
	if o := p.orders[first]; o.sent != 4*time.Second {
		t.Errorf("the absence counts from %v", o.sent)
	}
}
