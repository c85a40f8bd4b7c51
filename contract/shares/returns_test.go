package shares

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// limitedNode returns a node without peers at which organisation 1 is admitted in part.
func limitedNode(t *testing.T) (*Node, time.Duration) {
	t.Helper()
	n := node(1)
	n.SetSlots(tested, 1)
	now := sec
	shortage(n, now)
	for ; now < 3*sec; now += 10 * ms {
		overload(n, now)
	}
	if !n.Short(tested) {
		t.Fatal("the service is not short")
	}
	return n, now
}

// overload offers 1.1 times the work that is answered, as new requests of organisation 1.
func overload(n *Node, now time.Duration) {
	n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.011, Objective: sec})
	n.Observe(now, tested, Wait{Waited: sec * 35 / 100, Allowed: sec, Cost: 0.01})
	if now%TickInterval == 0 {
		n.Tick(now)
	}
}

func refuse(t *testing.T, n *Node, now time.Duration, request uint64) Decision {
	t.Helper()
	d := n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.011, Objective: sec, Request: request})
	if d.Admitted {
		t.Fatal("admitted")
	}
	return d
}

// Guards against an advantage of callers that retry before the time they were given, and of
// precedence that is not kept.
func TestRetryAtTheTimeGivenTakesPrecedence(t *testing.T) {
	n, now := limitedNode(t)
	var due []time.Duration
	var requests []uint64
	for i := uint64(1); len(due) < 3; i++ {
		d := n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.011, Objective: sec, Request: i})
		if !d.Admitted {
			due, requests = append(due, now+d.RetryAfter), append(requests, i)
		}
	}
	if due[0] >= due[2] {
		t.Errorf("retry times %v are not successive", due)
	}
	early := refuse(t, n, now+10*ms, requests[0])
	if got := now + 10*ms + early.RetryAfter; got != due[0] {
		t.Errorf("an early retry was given %v, want %v", got, due[0])
	}
	for i, r := range requests {
		at := due[i] - 40*ms // within the tolerance
		for ; now < at; now += 10 * ms {
			overload(n, now)
		}
		if d := n.Offer(at, &Work{Service: tested, Organisation: 1, Cost: 0.011, Objective: sec, Request: r}); !d.Admitted {
			t.Errorf("retry %d at the time given was refused: %+v", i, d)
		}
	}
}

// Guards the bounds of retry times: a tenth of the objective, and 5 s.
func TestRetryTimesAreBounded(t *testing.T) {
	n, now := limitedNode(t)
	for i := range uint64(5000) {
		d := n.Offer(now, &Work{Service: tested, Organisation: 1, Cost: 0.011, Objective: sec, Request: i + 1})
		if !d.Admitted && (d.RetryAfter < sec/10 || d.RetryAfter > 5*sec) {
			t.Fatalf("%+v", d)
		}
	}
	if got := len(n.refused.byKey); got > maxRefusals {
		t.Errorf("%d refused requests are stored", got)
	}
	if got := len(n.refused.order); got > 2*maxRefusals {
		t.Errorf("%d refused requests are listed", got)
	}
}

// Guards requirement 3: callers that retry at the time given make at most 1.3 attempts per served
// request at twice the load, and cost the other organisation nothing.
func TestAttemptsOfCallersThatRetryAtTheTimeGiven(t *testing.T) {
	for _, daemons := range []int{3, 12, 72} {
		s := newSim(t, simConfig{
			daemons: daemons, endpoints: 6, slots: 6, limit: 24, service: 60 * ms, objective: 300 * ms, listed: 1, seed: 14,
			callers: []*simCaller{{name: "steady", load: constant(0.4), repeat: 1}, {name: "other", load: constant(1.6), repeat: 1}},
		})
		s.run(30 * sec)
		x := s.sum("", 6*sec, 20*sec)
		attempts := float64(x.attempts) / float64(x.served)
		t.Logf("%d daemons: %.3f attempts per served request, used %.3f, steady %.3f", daemons, attempts, s.used("", 6*sec, 20*sec), s.inTime("steady", 6*sec, 20*sec))
		if attempts > 1.3 {
			t.Errorf("%d daemons: %.3f attempts per served request, want 1.3", daemons, attempts)
		}
		if got := s.used("", 6*sec, 20*sec); got < 0.9 {
			t.Errorf("%d daemons: answered in time: %.3f of the slot capacity, want 0.9", daemons, got)
		}
		if got := s.inTime("steady", 6*sec, 20*sec); got < 0.95 {
			t.Errorf("%d daemons: steady organisation in time: %.3f, want 0.95", daemons, got)
		}
	}
}

// Guards against callers that gain by repeating refused requests at once.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	for _, anonymous := range []bool{false, true} {
		s := newSim(t, simConfig{
			daemons: 12, endpoints: 6, slots: 6, limit: 24, service: 60 * ms, objective: 300 * ms, listed: 1, seed: 15,
			callers: []*simCaller{
				{name: "patient", load: constant(1)},
				{name: "hasty", load: constant(1), repeat: 20, hasty: true, anonymous: anonymous},
			},
		})
		s.run(10 * sec)
		for _, name := range []string{"patient", "hasty"} {
			if got := s.used(name, 3*sec, 10*sec); math.Abs(got-0.5) > 0.1 {
				t.Errorf("anonymous %v: %s was served %.3f of the capacity, want 0.5", anonymous, name, got)
			}
		}
	}
}

// Guards against bias in the admission of few requests at each of many daemons.
func TestCreditIsUnbiasedForFewRequests(t *testing.T) {
	for _, fraction := range []float64{0.01, 0.3, 0.9} {
		admitted, offered := 0, 0
		for i := range 20000 {
			n := node(i)
			o := &organisation{}
			for k := range 3 {
				offered++
				if o.admit(time.Duration(k)*sec, n.o.Rand, 0, 0.05, fraction, false) {
					admitted++
				}
			}
		}
		if got := float64(admitted) / float64(offered); math.Abs(got-fraction) > 0.01 {
			t.Errorf("fraction %v: %.4f were admitted", fraction, got)
		}
	}
}

// Guards the division: shares by weight, unused parts lent, priorities in order, and the
// correction for waits borne by those that offer more than their share.
func TestAllocate(t *testing.T) {
	demands := []demand{
		{1, 1, [Priorities]float64{2, 0, 0}},
		{2, 1, [Priorities]float64{1, 3, 20}},
		{3, 2, [Priorities]float64{0, 30, 0}},
	}
	a := allocate(demands, 11, 11, 0)
	for id, want := range map[Organisation][Priorities]float64{
		1: {1, 1, 1},
		2: {1, 2.0 / 3, 0},
		3: {1, 0.2, 0},
	} {
		for p := range want {
			if math.Abs(a.fractions[id][p]-want[p]) > 1e-9 {
				t.Errorf("organisation %d: fractions %v, want %v", id, a.fractions[id], want)
				break
			}
		}
	}
	a = allocate(demands, 11, 5, 0) // 3 of 5 are left for the weights 1 and 2
	if got := a.fractions[1]; got != [Priorities]float64{1, 1, 1} {
		t.Errorf("the organisation within its share has fractions %v", got)
	}
	if got := a.fractions[3][1]; math.Abs(got-2.0/30) > 1e-9 {
		t.Errorf("the largest organisation has fraction %v", got)
	}
}

// Guards against a withdrawn request that reduces the credit of its organisation.
func TestWithdrawKeepsCredit(t *testing.T) {
	n, now := limitedNode(t)
	credit := &n.services[tested].byID[1].credit[0]
	*credit = 0.1
	w := &Work{Service: tested, Organisation: 1, Cost: 0.01, Objective: sec}
	if d := n.Offer(now, w); !d.Admitted || d.Fraction >= 1 {
		t.Fatalf("%+v", d)
	}
	before := *credit
	if n.Withdraw(now, w); *credit < before {
		t.Errorf("credit %v after the withdrawal, %v before", *credit, before)
	}
}

// Guards against callers that return at the same moment because their organisation's backlog
// is beyond the longest Retry-After.
func TestRetriesBeyondTheLongestTimeAreSpread(t *testing.T) {
	o, rng := &organisation{}, rand.New(rand.NewPCG(1, 2))
	first, last := time.Hour, time.Duration(0)
	for i := range 100 {
		w := &Work{Request: uint64(i + 1), Cost: 1, Objective: 100 * ms}
		x := o.schedule(0, rng, w, w.Cost, 1e-9)
		first, last = min(first, x.due), max(last, x.due)
	}
	if last > maxRetryAfter || last-first < maxRetryAfter/20 {
		t.Errorf("retries are due from %v to %v after the refusals", first, last)
	}
}
