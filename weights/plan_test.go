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

func TestFewAtATime(t *testing.T) {
	p := NewPlan()
	all := engines(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	first := p.Next(0, all, 2)
	if len(first) != 3 {
		t.Fatalf("%d at once", len(first))
	}
	for _, e := range first {
		p.Replied(0, e.Key, 2, Accepted)
	}
	if more := p.Next(time.Second, all, 2); len(more) != 0 {
		t.Errorf("%d more while three load", len(more))
	}
	for i := range all {
		if slices.ContainsFunc(first, func(e Engine) bool { return e.Key == all[i].Key }) {
			all[i].Version = 2
		}
	}
	// All three were away for as long: they had nothing to end, only to load.
	if more := p.Next(3*time.Second, all, 2); len(more) != 2 {
		t.Errorf("%d after three are done", len(more))
	}
}

// A version is named while an older one is still being rolled out. Engines that
// wait must skip it: each load takes an engine out for seconds.
func TestOvertakenVersionIsSkippedAndTheOldestGoFirst(t *testing.T) {
	p := NewPlan()
	next := p.Next(0, engines(3, 2, 1, 2, 3, 3), 4)
	if len(next) != 1 || next[0].Version != 1 {
		t.Errorf("next %v", next)
	}
}

// An order has no answer. It may be carried out seconds later, so the engine
// counts as loading for a moment and is then asked again; it must not be
// forgotten.
func TestUnansweredOrderIsGivenAgain(t *testing.T) {
	p := NewPlan()
	all := engines(1)
	p.Replied(0, "e0", 2, Unanswered)
	if len(p.Next(time.Second, all, 2)) != 0 {
		t.Error("asked again at once")
	}
	if len(p.Next(2*time.Second, all, 2)) != 1 {
		t.Error("never asked again")
	}
}

// An engine accepted an order and is never heard of again. Others must not wait
// for it for ever.
func TestSilentLoadEnds(t *testing.T) {
	p := NewPlan()
	p.Replied(0, "e0", 2, Accepted)
	if len(p.Next(10*time.Second, engines(1, 1), 2)) != 1 {
		t.Error("the plan stands still")
	}
}

// One engine idles, one has a queue of two seconds, and the weights of a third may
// not be used any more. The third goes first, since nobody misses it, then the one
// that idles: ordered first, the busy one would turn callers away for three
// seconds while the others wait for their turn.
func TestWhoHasLeastToEndIsOrderedFirst(t *testing.T) {
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

// rollout is a fleet that takes new weights. Each engine first ends its requests,
// and then loads at a speed that it shares with the others above a number.
type rollout struct {
	ends      []time.Duration // of each engine, until it can load
	load      time.Duration   // alone
	full      int             // engines that load at full speed
	fixed     int             // under an order at a time; 0: as the plan says
	now       time.Duration
	left      []time.Duration // of the load; -1: not ordered
	awayInAll time.Duration
	engines   []Engine
}

func newRollout(seed uint64, n int, load, ends time.Duration) *rollout {
	rng := rand.New(rand.NewPCG(seed, 5))
	r := &rollout{load: load, full: (n + 4) / 5}
	for range n {
		r.ends = append(r.ends, time.Duration(2*rng.Float64()*float64(ends)))
	}
	return r
}

// run brings all engines to the named version and returns how long that took.
func (r *rollout) run(p *Plan, named int64) time.Duration {
	n := len(r.ends)
	r.engines = engines(make([]int64, n)...)
	r.left = make([]time.Duration, n)
	until := make([]time.Duration, n)
	for i := range r.engines {
		r.engines[i].Version = named - 1
		r.engines[i].Backlog = r.ends[i]
		r.left[i] = -1
	}
	const step = 10 * time.Millisecond
	began := r.now
	for ; CountOutdated(r.engines, named) > 0; r.now += step {
		under, loading := 0, 0
		for i := range n {
			if r.left[i] >= 0 {
				under++
				if r.now >= until[i] {
					loading++
				}
			}
		}
		next := p.Next(r.now, r.engines, named)
		if r.fixed > 0 {
			next = next[:min(len(next), max(0, r.fixed-under))]
		}
		for _, e := range next {
			i := slices.IndexFunc(r.engines, func(o Engine) bool { return o.Key == e.Key })
			p.Replied(r.now, e.Key, named, Accepted)
			if r.left[i] < 0 {
				r.left[i], until[i] = r.load, r.now+r.ends[i]
			}
		}
		for i := range n {
			if r.left[i] < 0 {
				continue
			}
			r.awayInAll += step
			if r.now < until[i] {
				continue
			}
			r.left[i] -= time.Duration(float64(step) * min(1, float64(r.full)/float64(max(loading, 1))))
			if r.left[i] <= 0 {
				r.left[i], r.engines[i].Version = -1, named
			}
		}
	}
	return r.now - began
}

// Weights are named again and again while engines have requests to end. Where these
// take longer than the load, a fixed fifth of the engines under an order leaves the
// link idle, and callers get answers of replaced weights for twice as long as they
// need to. Where the load takes longer, more at once would only be away for longer.
// Fleets are drawn; the bound from above is that of the loads alone.
func TestRolloutKeepsTheLoadsGoing(t *testing.T) {
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
		play := func(fixed int) (took, away time.Duration) {
			r := newRollout(uint64(seed), c.n, c.load, c.ends)
			r.fixed = fixed
			p := NewPlan()
			for named := range int64(6) {
				took = r.run(p, named+2) // the last: the plan has learnt by then
			}
			return took, r.awayInAll / 6
		}
		before, awayBefore := play(max(1, int(math.Round(0.22*float64(c.n)))))
		after, awayAfter := play(0)
		least := time.Duration(float64(c.load) * float64(c.n) / float64((c.n+4)/5))
		t.Logf("%d engines, load %v, ends in %v: %v and %v, at least %v; away %v and %v in all", c.n, c.load, c.ends, before, after, least, awayBefore, awayAfter)
		if c.faster && after > before*8/10 {
			t.Errorf("%d engines: %v, with a fixed part %v", c.n, after, before)
		}
		if !c.faster && (after > before*13/10 || awayAfter > awayBefore*13/10) {
			t.Errorf("%d engines: %v, away %v; with a fixed part %v, away %v", c.n, after, awayAfter, before, awayBefore)
		}
	}
}
