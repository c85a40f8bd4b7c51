package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// surgeTraffic returns the limits of 16 organisations, a few of them large, and their
// traffic. factor multiplies the long prompts. Limits are 1.8 times the usual use.
func surgeTraffic(factor float64) (map[Key]Limit, []demand) {
	limits := map[Key]Limit{}
	var traffic []demand
	weights := []float64{24, 16, 10, 7, 5, 4, 3, 3, 2, 2, 1, 1, 1, 0.5, 0.3, 0.2}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		w /= sum
		key := KeyOf(fmt.Sprintf("org-%d", i))
		rate := max(47_000, 1.8*w*(62*17_000+718*380+200*200))
		limits[key] = Limit{PerSecond: rate, Burst: rate, Unit: Tokens, DefaultCost: 200}
		traffic = append(traffic, demand{key: key, long: w * 62 * factor, short: w * 718, plain: w * 200})
	}
	return limits, traffic
}

// conforming is a token bucket that is charged for all requests of an organisation, the
// rejected ones too. While it has units, the organisation requests less than its limit.
type conforming struct {
	level float64
	at    time.Duration
}

func (c *conforming) request(now time.Duration, l Limit, cost float64) bool {
	c.level = min(l.Burst, c.level+l.PerSecond*(now-c.at).Seconds())
	c.at = now
	c.level -= cost
	return c.level >= 0
}

// Long prompts come 2.6 times as often for 7 s, and the daemons, short of CPU time,
// handle messages of others late. Replies later than a timeout were discarded with the
// tokens that they lent, and daemons turned to other owners, to which hardly any
// fractions were pledged: requests of organisations below their limits were rejected.
func TestSurgeAtSlowDaemonsRejectsNothingBelowLimit(t *testing.T) {
	runSurgeBelowLimit(t, false)
}

// Less urgent long prompts were rejected below the limit when they yielded because of an
// empty bucket, or when urgent requests that arrived later used the units lent for them.
func TestSurgeOfLessUrgentRequestsBelowLimitIsAdmitted(t *testing.T) {
	runSurgeBelowLimit(t, true)
}

func runSurgeBelowLimit(t *testing.T, preferUrgent bool) {
	t.Helper()
	for _, delay := range []int{0, 50, 100, 150} {
		asked, rejected, firstTwo, bytes := map[Key]int{}, map[Key]int{}, 0, 0
		const seeds, span = 3, 7 * time.Second
		for seed := range uint64(seeds) {
			limits, traffic := surgeTraffic(1)
			_, surge := surgeTraffic(2.6)
			sim := newSimulation(t, 200+seed, 61, limits)
			if preferUrgent {
				sim.longPriority = 2
				sim.setPreferUrgent()
			}
			sim.run(warmUp, nil)
			sim.run(5*time.Second, traffic)
			sim.delay = func(*simDaemon) time.Duration {
				return time.Duration(sim.rng.IntN(delay+1)) * time.Millisecond
			}
			reference := map[Key]*conforming{}
			for key, h := range sim.use {
				reference[key] = &conforming{level: h.level, at: h.at}
			}
			began, before := sim.now, sim.bytes
			sim.onVerdict = func(key Key, cost float64, v Verdict) {
				if !reference[key].request(sim.now, limits[key], cost) {
					return
				}
				asked[key]++
				if !v.Admitted {
					rejected[key]++
					if sim.now-began < 2*time.Second {
						firstTwo++
					}
				}
			}
			sim.run(span, surge)
			bytes += sim.bytes - before
			sim.check()
		}
		sum, lost, worst := 0, 0, 0.0
		for key, n := range asked {
			sum, lost = sum+n, lost+rejected[key]
			if n >= 200 {
				worst = max(worst, float64(rejected[key])/float64(n))
			}
		}
		each := float64(bytes) / seeds / span.Seconds() / 61
		t.Logf("delays up to %d ms: %d of %d requests below the limit rejected (worst organisation %.5f), %d of them in the first 2 s; %.0f bytes/s per daemon", delay, lost, sum, worst, firstTwo, each)
		if worst > maxWrongRejections {
			t.Errorf("delays up to %d ms: %.4f of an organisation's requests below its limit were rejected, allowed is 1 in 200", delay, worst)
		}
		if each > maxBytesPerSecond {
			t.Errorf("delays up to %d ms: %.0f bytes/s per daemon", delay, each)
		}
	}
}

// retryRun is the result of 5 s above the limit and 10 s without further requests.
type retryRun struct {
	longest, last      time.Duration // Retry-After: longest, mean of the fifth second
	admitted, rejected int
	peakOffered        float64 // largest of one second, as a fraction of the limits
}

func runAboveLimit(t *testing.T, factor float64, callersRetry bool) retryRun {
	t.Helper()
	limits, traffic := organisations(factor, 600e3, 100e3, 47e3)
	sim := newSimulation(t, 300, 61, limits)
	sim.callersRetry = callersRetry
	sim.run(warmUp, nil)
	began := sim.now
	var offered [15]float64
	var r retryRun
	sum, n := time.Duration(0), 0
	sim.onVerdict = func(_ Key, cost float64, v Verdict) {
		second := int((sim.now - began - 1) / time.Second)
		offered[second] += cost / (600e3 + 100e3 + 47e3)
		if v.Admitted {
			r.admitted++
			return
		}
		r.rejected++
		r.longest = max(r.longest, v.RetryAfter)
		if second == 4 {
			sum, n = sum+v.RetryAfter, n+1
		}
	}
	sim.run(5*time.Second, traffic)
	sim.run(10*time.Second, nil)
	sim.check()
	r.last = sum / time.Duration(max(n, 1))
	r.peakOffered = slices.Max(offered[2:])
	t.Logf("%.2f of the limit, callers retry: %v: %+v", factor, callersRetry, r)
	return r
}

// An organisation sends 1.25 or 1.5 times its limit for 5 s. New requests use the limit
// up, so that retries after a few milliseconds are only rejected again.
func TestRetryAfterFollowsRejectedWork(t *testing.T) {
	for factor, maxOffered := range map[float64]float64{1.25: 1.7, 1.5: 2.1} {
		if r := runAboveLimit(t, factor, false); r.last < time.Second || r.longest > maxRetryAfter {
			t.Errorf("after 5 s at %.2f of the limit, Retry-After is %v on average, the longest was %v", factor, r.last, r.longest)
		}
		if r := runAboveLimit(t, factor, true); r.rejected > r.admitted/2 || r.peakOffered > maxOffered {
			t.Errorf("at %.2f of the limit, %d requests were admitted after %d rejections, with up to %.2f of the limit requested in a second", factor, r.admitted, r.rejected, r.peakOffered)
		}
	}
	if r := runAboveLimit(t, 5, true); r.longest > maxRetryAfter {
		t.Errorf("Retry-After is %v", r.longest)
	}
}

// The reply of a slow owner to the first copy of an ask must be accepted after the ask
// was repeated, and the repetition must not be lent for again.
func TestRepeatedAskIsLentForOnce(t *testing.T) {
	key := KeyOf("org")
	limits := map[Key]Limit{key: {PerSecond: 100_000, Burst: 100_000, Unit: Tokens}}
	sim := newSimulation(t, 1, 2, limits)
	sim.run(warmUp, nil)
	asking := sim.nodes[0]
	if asking.node.shards[uint64(key)%Shards].owner == asking.me {
		asking = sim.nodes[1]
	}
	owner := sim.byAddr[asking.node.shards[uint64(key)%Shards].owner.Address]
	b := owner.node.shards[uint64(key)%Shards].lender.buckets[key]
	before := b.level
	sim.delay = func(*simDaemon) time.Duration { return 100 * time.Millisecond }
	sim.request(asking, key, 17_000)
	sim.run(450*time.Millisecond, nil)
	if h := sim.use[key]; len(h.admitted) != 1 || h.waits[0] > 210*time.Millisecond {
		t.Errorf("%d requests admitted, waits %v", len(h.admitted), h.waits)
	}
	// The bucket was full and has accrued the rest.
	if lent := b.lent * smoothingTime.Seconds(); lent > 17_001 || before < 90_000 {
		t.Errorf("%.0f units lent for a request of 17000", lent)
	}
}

// A charge between an ask and its reply takes the tokens that the reply lends. The owner
// has more: the request must be asked for again, not rejected.
func TestChargeDuringAskDoesNotReject(t *testing.T) {
	key := KeyOf("org")
	sim := newSimulation(t, 1, 2, map[Key]Limit{key: {PerSecond: 100_000, Burst: 100_000, Unit: Tokens}})
	sim.run(warmUp, nil)
	asking := sim.nodes[0]
	if asking.node.shards[uint64(key)%Shards].owner == asking.me {
		asking = sim.nodes[1]
	}
	sim.request(asking, key, 17_000)
	asking.node.Charge(key, 17_000)
	sim.run(100*time.Millisecond, nil)
	if h := sim.use[key]; len(h.admitted) != 1 {
		t.Errorf("%d of %d requests rejected below the limit", h.rejected, h.asked)
	}
}

// Below zero, an owner lends a need entirely or not at all. A daemon can't use a part of a
// request: with limits of a few requests per second, most lent units would expire.
func TestOverdrawnBucketLendsNoPartOfNeed(t *testing.T) {
	tol := Tolerance{Overage: 0.2, Slack: 2}
	b := bucket{limit: Limit{PerSecond: 20, Burst: 4}, level: -0.5}
	if lent, again, _ := b.lend(0, 1, tol, &askEntry{Need: 1}); lent != 0 || again < 25*time.Millisecond {
		t.Errorf("lent %.2f of a need of 1, next ask after %v", lent, again)
	}
	if lent, _, _ := b.lend(0, 1, tol, &askEntry{Need: 0.5}); lent != 0.5 {
		t.Errorf("lent %.2f of a need of 0.5", lent)
	}
}

// The reply is lost. The reply to the repetition must be the same.
func TestLostReplyIsRepeated(t *testing.T) {
	o := newShardOwner()
	key := KeyOf("org")
	o.setLimits(0, map[Key]Limit{key: {PerSecond: 1000, Burst: 1000}})
	q := ask{Nonce: 1, Seq: 1, Fraction: 1, PledgeTTL: time.Second, Entries: []askEntry{{Key: key, Need: 700}}}
	first, _ := o.lend(100*time.Millisecond, tolerance, "a", &q)
	level := o.buckets[key].level
	q.PledgeTTL = 900 * time.Millisecond
	second, ok := o.lend(200*time.Millisecond, tolerance, "a", &q)
	if !ok || len(second.Entries) != 1 || second.Entries[0] != first.Entries[0] || o.buckets[key].level != level {
		t.Errorf("replied %+v, then %+v; level %.0f, then %.0f", first, second, level, o.buckets[key].level)
	}
	q.Seq = 0
	if _, ok := o.lend(300*time.Millisecond, tolerance, "a", &q); ok {
		t.Error("replied to an older ask")
	}
}
