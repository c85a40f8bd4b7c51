package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mixedLoad is the load of an organisation above its limit: short prompts of priority 0
// and long ones of priority 2.
type mixedLoad struct {
	daemons      int
	rate         float64 // limit in tokens/s
	urgent, less float64 // demand, as fractions of the limit
	middle       float64 // the same for prompts of 2,000 tokens with priority 1
	atOne        bool    // nine tenths arrive at one daemon
	retryAtOnce  bool    // callers retry rejected requests after 20 ms
	delay        int     // largest additional delay of a message in ms
}

// mixedResult is the result from 1 s after the load began to its end.
type mixedResult struct {
	urgentRejected, middleRejected, lessRejected float64 // fractions of the requests
	urgentUsed, middleUsed, lessUsed             float64 // fractions of the limit
	wronglyMarked                                int     // verdicts with LessUrgent for priority 0, or without Retry-After
	bytes                                        float64 // per second and daemon
}

func (r mixedResult) String() string {
	return fmt.Sprintf("rejected %.4f, %.4f, %.4f by priority; used %.3f, %.3f, %.3f of the limit; %.0f bytes/s per daemon",
		r.urgentRejected, r.middleRejected, r.lessRejected, r.urgentUsed, r.middleUsed, r.lessUsed, r.bytes)
}

func (r *mixedResult) used() float64 { return r.urgentUsed + r.middleUsed + r.lessUsed }

func (l *mixedLoad) run(t *testing.T, seed uint64, preferUrgent bool) mixedResult {
	t.Helper()
	const span = 11 * time.Second
	key := KeyOf("org")
	limits := map[Key]Limit{key: {PerSecond: l.rate, Burst: l.rate, Unit: Tokens, DefaultCost: 200}}
	sim := newSimulation(t, seed, l.daemons, limits)
	sim.longPriority = 2
	if preferUrgent {
		sim.setPreferUrgent()
	}
	load := func(urgent, middle, less float64) []demand {
		whole := demand{key: key, short: urgent * l.rate / 390, middle: middle * l.rate / 2000, long: less * l.rate / 17_000}
		if !l.atOne {
			return []demand{whole}
		}
		one, others := whole, whole
		one.at = []int{0}
		one.short, one.middle, one.long = 0.9*whole.short, 0.9*whole.middle, 0.9*whole.long
		others.short, others.middle, others.long = 0.1*whole.short, 0.1*whole.middle, 0.1*whole.long
		return []demand{one, others}
	}
	sim.run(warmUp, nil)
	sim.run(4*time.Second, load(0.3, 0, 0.2))
	if l.delay > 0 {
		sim.delay = func(*simDaemon) time.Duration {
			return time.Duration(sim.rng.IntN(l.delay+1)) * time.Millisecond
		}
	}
	began, before := sim.now, sim.bytes
	var r mixedResult
	var asked, rejected, used [3]float64
	sim.onVerdict = func(_ Key, cost float64, v Verdict) {
		class := 2
		switch cost {
		case 390:
			class = 0
		case 2000:
			class = 1
		}
		if !v.Admitted && (v.RetryAfter <= 0 || class == 0 && v.LessUrgent) {
			r.wronglyMarked++
		}
		if sim.now-began < time.Second {
			return
		}
		asked[class]++
		if v.Admitted {
			used[class] += cost / (l.rate * (span - time.Second).Seconds())
		} else {
			rejected[class]++
		}
	}
	if l.retryAtOnce {
		sim.callersRetry, sim.retryAfter = true, 20*time.Millisecond
	}
	sim.run(span, load(l.urgent, l.middle, l.less))
	sim.check()
	r.urgentRejected, r.middleRejected, r.lessRejected = rejected[0]/max(asked[0], 1), rejected[1]/max(asked[1], 1), rejected[2]/max(asked[2], 1)
	r.urgentUsed, r.middleUsed, r.lessUsed = used[0], used[1], used[2]
	r.bytes = float64(sim.bytes-before) / span.Seconds() / float64(l.daemons)
	return r
}

// mean returns the mean results of three seeds.
func (l *mixedLoad) mean(t *testing.T, preferUrgent bool) (m mixedResult) {
	t.Helper()
	const seeds = 5
	for seed := range uint64(seeds) {
		r := l.run(t, 400+seed, preferUrgent)
		m.urgentRejected += r.urgentRejected / seeds
		m.middleRejected += r.middleRejected / seeds
		m.lessRejected += r.lessRejected / seeds
		m.urgentUsed += r.urgentUsed / seeds
		m.middleUsed += r.middleUsed / seeds
		m.lessUsed += r.lessUsed / seeds
		m.wronglyMarked += r.wronglyMarked
		m.bytes += r.bytes / seeds
	}
	return m
}

// maxUrgentRejections is the fraction of the urgent requests that may be rejected while
// the limit covers them.
const maxUrgentRejections = 1.0 / 200

// Requests of an organisation above its limit were rejected alike: a long prompt of low
// urgency took the tokens of 45 short urgent ones.
func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		mixedLoad
	}{
		{"urgent 0.8", mixedLoad{urgent: 0.8, less: 2}},
		{"urgent 0.67", mixedLoad{urgent: 1 / 1.5, less: 2}},
		{"nine tenths at one daemon", mixedLoad{urgent: 0.8, less: 2, atOne: true}},
		{"callers retry at once", mixedLoad{urgent: 0.8, less: 1.2, retryAtOnce: true}},
		{"slow messages", mixedLoad{urgent: 0.8, less: 2, delay: 100}},
	} {
		for _, daemons := range []int{1, 12, 61} {
			for _, rate := range []float64{100e3, 600e3, 2e6} {
				l := c.mixedLoad
				l.daemons, l.rate = daemons, rate
				t.Run(fmt.Sprintf("%s, %d daemons, %.0f per s", c.name, daemons, rate), func(t *testing.T) {
					t.Parallel()
					r := l.mean(t, true)
					t.Log(t.Name(), r)
					if r.urgentRejected > maxUrgentRejections {
						t.Errorf("%.4f of the urgent requests rejected, allowed is 1 in 200", r.urgentRejected)
					}
					if least := 0.8 * (1 - c.urgent); r.lessUsed < least {
						t.Errorf("less urgent requests got %.3f of the limit, at least %.3f must be left to them", r.lessUsed, least)
					}
					if r.used() < 0.9 {
						t.Errorf("%.3f of the limit used", r.used())
					}
					if r.wronglyMarked > 0 {
						t.Errorf("%d verdicts without Retry-After or with LessUrgent for an urgent request", r.wronglyMarked)
					}
					if r.bytes > maxBytesPerSecond {
						// Daemons with many requests above a limit exceed the bound without
						// the option, too.
						if before := l.mean(t, false).bytes; r.bytes > before {
							t.Errorf("%.0f bytes/s per daemon, %.0f without the option", r.bytes, before)
						}
					}
				})
			}
		}
	}
}

// While the urgent requests alone exceed the limit, less urgent ones must not displace
// them, and the limit must be used.
func TestUrgentRequestsBeyondLimitLeaveNothingToOthers(t *testing.T) {
	for _, daemons := range []int{1, 12, 61} {
		for _, atOne := range []bool{false, true} {
			l := mixedLoad{daemons: daemons, rate: 600e3, urgent: 1.5, less: 2, atOne: atOne}
			r := l.mean(t, true)
			t.Logf("%d daemons, nine tenths at one: %v: %v", daemons, atOne, r)
			if r.lessUsed > 0.02 {
				t.Errorf("%d daemons: less urgent requests got %.3f of the limit", daemons, r.lessUsed)
			}
			if r.used() < 0.9 {
				t.Errorf("%d daemons: %.3f of the limit used", daemons, r.used())
			}
			if r.wronglyMarked > 0 {
				t.Errorf("%d daemons: %d verdicts without Retry-After or with LessUrgent for an urgent request", daemons, r.wronglyMarked)
			}
		}
	}
}

// Requests of a middle priority must not be rejected for the least urgent ones.
func TestMiddlePriorityPrecedesLeastUrgent(t *testing.T) {
	for _, daemons := range []int{1, 12, 61} {
		l := mixedLoad{daemons: daemons, rate: 600e3, urgent: 0.5, middle: 0.3, less: 2}
		r := l.mean(t, true)
		t.Logf("%d daemons: %v", daemons, r)
		if r.urgentRejected > maxUrgentRejections || r.middleRejected > 0.1 {
			t.Errorf("%d daemons: %.4f of the urgent and %.3f of the middle requests rejected", daemons, r.urgentRejected, r.middleRejected)
		}
		if r.used() < 0.9 || r.lessUsed < 0.8*0.2 {
			t.Errorf("%d daemons: %.3f of the limit used, %.3f by the least urgent requests", daemons, r.used(), r.lessUsed)
		}
	}
}

// An organisation all of whose requests have one priority must get the same verdicts as
// without the option, whichever priority that is.
func TestOnePriorityIsNotAffected(t *testing.T) {
	type verdict struct {
		at   time.Duration
		cost float64
		v    Verdict
	}
	run := func(preferUrgent bool, priority int) (out []verdict) {
		limits, traffic := organisations(0.55, 600e3, 100e3)
		sim := newSimulation(t, 410, 12, limits)
		sim.longPriority, sim.shortPriority = priority, priority
		if preferUrgent {
			sim.setPreferUrgent()
		}
		sim.onVerdict = func(_ Key, cost float64, v Verdict) { out = append(out, verdict{sim.now, cost, v}) }
		sim.run(warmUp, nil)
		sim.run(2*time.Second, traffic)
		sim.run(3*time.Second, scaleTraffic(traffic, 5))
		return out
	}
	want := run(false, 0)
	for _, priority := range []int{0, 2} {
		if got := run(true, priority); !slices.Equal(got, want) {
			t.Errorf("priority %d: verdicts differ from those without the option", priority)
		}
	}
}

// Below the limit, less urgent requests must not yield, also while the bucket of a new
// owner fills: an empty bucket does not mean that the organisation is at its limit.
func TestLessUrgentRequestsBelowLimitAreAdmitted(t *testing.T) {
	limits, traffic := organisations(0.55, sizes...)
	sim := newSimulation(t, 411, 61, limits)
	sim.longPriority = 2
	sim.setPreferUrgent()
	sim.run(warmUp, nil)
	sim.run(10*time.Second, traffic)
	checkWrongRejections(t, sim)
	yielded := 0
	sim.onVerdict = func(_ Key, _ float64, v Verdict) {
		if v.LessUrgent {
			yielded++
		}
	}
	_, _, asked := sim.wrongRejections()
	for _, m := range sim.nodes[:30] {
		sim.restart(m)
	}
	sim.run(10*time.Second, traffic)
	_, _, after := sim.wrongRejections()
	t.Logf("after restarts: %d of %d requests rejected as less urgent", yielded, after-asked)
	if float64(yielded) > maxWrongRejections*float64(after-asked) {
		t.Errorf("after restarts, %d of %d requests below the limit were rejected as less urgent", yielded, after-asked)
	}
	sim.check()
}

// A yielding request needs all of its units, or the units lent for it would expire at the
// daemon, and it must leave units to urgent ones. An ask that claims a huge cost or rank
// must not take the bucket beyond the tolerance.
func TestOwnerLendsWholeCostOfYieldingRequests(t *testing.T) {
	o := newShardOwner()
	key := KeyOf("org")
	o.setLimits(0, map[Key]Limit{key: {PerSecond: 100_000, Burst: 100_000, Unit: Tokens}})
	b := o.buckets[key]
	b.excess = 60_000
	seq := uint64(0)
	lend := func(level float64, costs ...float64) []replyEntry {
		b.level, b.at = level, time.Second
		seq++
		q := ask{Nonce: 1, Seq: seq, Fraction: 1, PledgeTTL: time.Second, Entries: []askEntry{{Key: key, Need: 390}}}
		for _, cost := range costs {
			q.Entries = append(q.Entries, askEntry{Key: key, Expected: cost, Rejected: 1})
		}
		r, _ := o.lend(time.Second, tolerance, "a", &q)
		return r.Entries
	}
	for _, c := range []struct {
		level float64
		costs []float64
		lent  []float64
	}{
		{60_000, []float64{17_000, 17_000}, []float64{17_000, 17_000}},
		{28_000, []float64{17_000, 17_000}, []float64{17_000, 0}},
		{5000, []float64{17_000, 390}, []float64{0, 0}},
		{90_000, []float64{1 << 40, 17_000}, []float64{0, 17_000}},
	} {
		got := lend(c.level, c.costs...)
		if got[0].Lent < 390 {
			t.Errorf("level %.0f: %.0f lent for urgent requests", c.level, got[0].Lent)
		}
		for i, want := range c.lent {
			if e := got[i+1]; e.Lent != want || (want == 0) != (e.RetryAfter > 0) {
				t.Errorf("level %.0f: lent %.0f of %.0f, Retry-After %v; want %.0f", c.level, e.Lent, c.costs[i], e.RetryAfter, want)
			}
		}
		if b.level < -tolerance.overdraft() {
			t.Errorf("level is %.0f", b.level)
		}
	}
}

// Owners of releases without the option lend a part of the cost for a yielding request. The
// request must be rejected, and the units be used by later requests.
func TestPartLentForYieldingRequestIsKept(t *testing.T) {
	key := KeyOf("org")
	n := NewNode(Options{Self: Daemon{"a", "a:1"}, Tolerance: tolerance, Rand: rand.New(rand.NewPCG(1, 2)), PreferUrgent: true})
	n.SetDaemons([]Daemon{{"a", "a:1"}})
	n.SetLimits(0, map[Key]Limit{key: {PerSecond: 100_000, Burst: 100_000, Unit: Tokens}})
	a := n.accounts[key]
	a.urgency.seenUntil[0] = time.Hour
	s := &n.shards[a.shard]
	s.pendingAsk = inFlightAsk{seq: 7, to: Daemon{"b", "b:1"}} // of another owner
	var got *Verdict
	if _, decided := n.Admit(time.Second, key, 17_000, 2, func(v Verdict) { got = &v }); decided {
		t.Fatal("decided without an ask")
	}
	a.yieldEntries(maxYieldEntries)
	n.handleReply(time.Second, a.shard, &reply{Seq: 7, Shard: a.shard, Entries: []replyEntry{{Key: key}, {Key: key, Lent: 6000}}})
	if got == nil || got.Admitted || !got.LessUrgent || got.RetryAfter <= 0 {
		t.Errorf("verdict %+v", got)
	}
	if a.balance() != 6000 {
		t.Errorf("%.0f units are left", a.balance())
	}
}
