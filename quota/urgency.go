package quota

import (
	"math"
	"time"
)

// Intervals and limits of the preference for urgent requests.
const (
	// priorities is the number of priorities that are distinguished; larger ones count as
	// the last.
	priorities = 8
	// urgentMemory is how long less urgent requests yield after a more urgent one. It spans
	// the pauses between the urgent requests of a small organisation at one of many daemons.
	urgentMemory = 10 * time.Minute
	// yieldTime is the mean time for which less urgent requests are rejected without an ask
	// after an owner lent nothing for one. It bounds the messages while callers retry early.
	yieldTime = 100 * time.Millisecond
	// maxYieldEntries is the number of yielding requests of an organisation in an ask.
	maxYieldEntries = 8
	// maxExcess bounds bucket.excess, as a fraction of the burst, so that requests soon
	// cease to yield when the organisation requests less than its limit again.
	maxExcess = 0.5
	// yieldReserve is the fraction of the bucket that a request with rank 1 leaves, in
	// addition to the overdraft, and the increase for each further rank.
	yieldReserve = 0.1
	// maxYieldLevel is the largest level that a yielding request needs, as a fraction of the
	// bucket: a level that is never reached would starve large requests.
	maxYieldLevel = 0.8
	// urgentAhead is the time whose expected urgent demand is asked for together with
	// waiting urgent requests while less urgent ones yield. Each urgent request would be
	// asked for by itself otherwise, since an owner at its limit lends nothing in advance.
	urgentAhead = 100 * time.Millisecond
)

// urgency is what an account keeps to prefer its more urgent requests. Requests yield if
// more urgent ones of the organisation were seen recently at this daemon. An owner lends
// for a yielding request only if enough units for more urgent ones are left.
//
// An ask has an entry for each yielding request, after the account's own entry and with
// the same key. Expected is the cost, and Rejected is the rank. Owners of releases without
// this rule lend for it what they can spare in advance.
type urgency struct {
	seenUntil   [priorities]time.Duration // when the last request of the priority is forgotten
	yieldsUntil [priorities]time.Duration // rejected without an ask before
	demand      float64                   // units/s of requests that do not yield, smoothed
	yieldedAt   time.Duration             // when an owner last lent nothing; 0: never
	retryAfter  time.Duration             // of yielding requests, reported by the owner
}

func clampPriority(p int) int { return min(max(p, 0), priorities-1) }

// rank returns the number of more urgent priorities of which requests were seen recently.
func (u *urgency) rank(now time.Duration, priority int) int {
	n := 0
	for _, until := range u.seenUntil[:priority] {
		if now < until {
			n++
		}
	}
	return n
}

// yield makes requests of the priority and less urgent ones be rejected for some time.
func (n *Node) yield(now time.Duration, a *account, priority int) {
	until := now + yieldTime/2 + time.Duration(n.o.Rand.Float64()*float64(yieldTime))
	a.urgency.yieldedAt = now
	for p := priority; p < priorities; p++ {
		a.urgency.yieldsUntil[p] = max(a.urgency.yieldsUntil[p], until)
	}
}

// reserve returns the lent units that are left to requests that do not yield. Messages
// round needed units up: a fraction would be lent as a whole unit and expire.
func (a *account) reserve(now time.Duration) float64 {
	if a.urgency.yieldedAt == 0 || now-a.urgency.yieldedAt > smoothingTime {
		return 0
	}
	return math.Floor(a.urgency.demand * urgentAhead.Seconds())
}

// spendRanked takes the cost of a request from the lent tokens. A request that yields
// leaves the reserve.
func (a *account) spendRanked(now time.Duration, cost float64, rank int) bool {
	if rank > 0 && a.balance() < cost+a.reserve(now)-roundingError {
		return false
	}
	return a.spend(cost)
}

// rejectLessUrgent returns the verdict for a rejected request that yields, and adds its
// cost to the rejected units of the next ask.
func (n *Node) rejectLessUrgent(now time.Duration, a *account, cost float64, priority int, owner string) Verdict {
	a.rejected += cost
	v := n.rejection(now, a, max(a.urgency.yieldsUntil[priority], now+a.urgency.retryAfter), owner)
	v.LessUrgent = true
	return v
}

// yieldEntries returns at most so many entries of the account's yielding requests.
func (a *account) yieldEntries(most int) (out []askEntry) {
	for i := range a.waiters {
		w := &a.waiters[i]
		if w.rank > 0 && len(out) < most {
			w.asked = true
			out = append(out, askEntry{Key: a.key, Expected: w.cost, Rejected: float64(w.rank)})
		}
	}
	return out
}

// addYielding adds the units lent for yielding requests, by the entries that follow the
// account's own, and returns their sum.
func (a *account) addYielding(entries []replyEntry) (lent float64) {
	a.urgency.retryAfter = 0
	for _, e := range entries {
		if e.Key != a.key {
			break
		}
		lent += e.Lent
		a.urgency.retryAfter = max(a.urgency.retryAfter, e.RetryAfter)
	}
	a.add(lent)
	return lent
}

// resolveYielding decides on the yielding requests of an ask. lent is the sum lent for them.
// It is called before waiting requests that were not included in the ask use the units.
func (n *Node) resolveYielding(now time.Duration, a *account, lent float64, owner string) {
	waiting := a.waiters
	a.waiters = nil
	rejected := false // also rejects the following, which are not more urgent
	for _, w := range waiting {
		switch {
		case w.rank == 0 || !w.asked && !rejected:
			a.waiters = append(a.waiters, w)
		case w.asked && w.cost <= lent+roundingError:
			lent -= w.cost
			if !a.spend(w.cost) { // a charge has made the balance negative
				a.waiters = append(a.waiters, w)
				continue
			}
			a.countDemand(now, w.cost)
			w.done(Verdict{Admitted: true, Owner: owner, Used: a.used})
		default:
			rejected = true
			n.yield(now, a, w.priority)
			w.done(n.rejectLessUrgent(now, a, w.cost, w.priority, owner))
		}
	}
}

// lendYielding takes the units of one yielding request, or none. It returns the units lent
// and, if there are none, the Retry-After for callers.
func (b *bucket) lendYielding(fraction float64, t Tolerance, e *askEntry) (lent float64, retry time.Duration) {
	lowest := max(b.lowest(fraction, t, e.Expected), e.Expected-t.overdraft()*fraction)
	// An organisation that requests less than its limit may have an empty bucket: that of a
	// new owner starts empty, and units that are on their way to daemons are missing in it.
	if b.excess > 0 {
		lowest = max(lowest, b.yieldLevel(fraction, t, e))
	}
	if b.level < lowest {
		return 0, b.retryAfter(fraction, lowest)
	}
	b.level -= e.Expected
	b.lent += e.Expected / smoothingTime.Seconds()
	b.countRequested(e.Expected, fraction)
	return e.Expected, 0
}

// countRequested adds requested units to the excess.
func (b *bucket) countRequested(units, fraction float64) {
	b.excess = min(b.excess+units, b.limit.Burst*maxExcess*fraction)
}

// yieldLevel returns the lowest level at which units are lent for a yielding request. Where
// the bucket is large enough, urgent requests are still lent for afterwards.
func (b *bucket) yieldLevel(fraction float64, t Tolerance, e *askEntry) float64 {
	full := b.capacity(fraction, t)
	return min(max(yieldReserve*e.Rejected*full, e.Expected+b.lowest(fraction, t, 0)), maxYieldLevel*full)
}
