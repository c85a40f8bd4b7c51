package quota

import (
	"math"
	"time"
)

// bucket is the owner's token bucket for one organisation.
type bucket struct {
	limit Limit
	level float64 // units; negative after an overdraft
	at    time.Duration
	// initialUntil is when new pledges cease to add to the level.
	initialUntil time.Duration
	// promisedRetries is the cost in units of the rejected requests that are
	// expected to be retried after their Retry-After.
	promisedRetries float64
	lent            float64 // units/s, smoothed
	// excess is the requested units, also those of rejected requests, less the units that
	// accrued. It is positive if the organisation requests more than its limit.
	excess   float64
	denied   int // asks denied in the current denialWindow
	deniedAt time.Duration
}

// denialWindow is the time over which denied asks are counted.
const denialWindow = 100 * time.Millisecond

// accrue adds the units accrued since the last call at the given fraction of the
// limit, which is at most 1.
func (b *bucket) accrue(now time.Duration, fraction float64, t Tolerance) {
	dt := min(now-b.at, maxAccrual).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.level = min(b.level+b.limit.PerSecond*fraction*dt, b.capacity(fraction, t))
	b.excess = max(b.excess-b.limit.PerSecond*fraction*dt, -b.capacity(fraction, t))
	b.promisedRetries = max(0, b.promisedRetries-b.retryRate(fraction)*dt)
	b.lent *= math.Exp(-dt / smoothingTime.Seconds())
}

// capacity returns the largest level. It includes the overage: tokens that lie at daemons
// or are on their way are missing here, and an organisation would be refused below its
// limit.
func (b *bucket) capacity(fraction float64, t Tolerance) float64 {
	return b.limit.Burst * (1 + t.Overage) * fraction
}

// grantInitial adds the initial units of a newly pledged fraction to a new bucket. Without
// them, all organisations are refused after a restart of all daemons until the limits have
// accrued, since the bucket starts empty.
func (b *bucket) grantInitial(now time.Duration, fraction float64, t Tolerance) {
	if now < b.initialUntil {
		b.level += fraction * min(b.limit.Burst, t.Slack*initialSlackFraction)
	}
}

// lowest returns the lowest level at which the need is lent. It may be below zero, so that
// a large request that overdraws the bucket does not cause small ones to be rejected that
// a single bucket would admit. Below zero only the whole need is lent, since a daemon can't
// use a part of a request. The rest of the overdraft is left for large requests, which
// small ones would otherwise starve.
func (b *bucket) lowest(fraction float64, t Tolerance, need float64) float64 {
	allowed := min(t.overdraft()/2, b.limit.Burst*maxBurstOverdraft) * fraction
	return min(0, max(-allowed, need-t.overdraft()*fraction))
}

// used returns the fraction of the limit that was recently lent.
func (b *bucket) used() float64 { return b.lent / b.limit.PerSecond }

// lend takes units for waiting requests and, if units are left, for expected ones.
// It returns the units lent and, if they are fewer than needed, when to ask again
// and the Retry-After for callers.
func (b *bucket) lend(now time.Duration, fraction float64, t Tolerance, e *askEntry) (lent float64, again, retry time.Duration) {
	b.promisedRetries += e.Rejected
	b.countRequested(e.Need+e.Rejected, fraction)
	defer func() { b.lent += lent / smoothingTime.Seconds() }()
	lowest := b.lowest(fraction, t, e.Need)
	if b.level >= lowest {
		lent = max(0, min(e.Need, b.level+t.overdraft()*fraction))
		b.level -= lent
	}
	if short := e.Need - lent; short > 0 {
		b.promisedRetries += short
		return lent, b.askAfter(now, fraction, lowest), b.retryAfter(fraction, lowest)
	}
	if spare := b.level - b.capacity(fraction, t)/2; spare > 0 {
		ahead := min(e.Expected, spare/2)
		b.level -= ahead
		b.countRequested(ahead, fraction)
		lent += ahead
	}
	return lent, 0, 0
}

// askAfter returns when a denied daemon may ask again: once the level reaches
// the lowest one that suffices, spread over the denied daemons.
func (b *bucket) askAfter(now time.Duration, fraction, lowest float64) time.Duration {
	if now-b.deniedAt > denialWindow {
		b.deniedAt, b.denied = now, 0
	}
	b.denied++
	return min(b.timeToReach(lowest, fraction)+time.Duration(b.denied)*denialStep, denialWindow)
}

// retryRate returns the rate in units/s at which retries can be admitted: the part of
// the limit that was not lent recently, at least minRetryFraction of the limit. New
// requests take the rest: at the whole rate, retries would only be rejected again.
func (b *bucket) retryRate(fraction float64) float64 {
	rate := b.limit.PerSecond * fraction
	return max(rate-b.lent, rate*minRetryFraction)
}

// retryAfter returns the time until the limit can cover all promised retries, at most
// maxRetryAfter.
func (b *bucket) retryAfter(fraction, lowest float64) time.Duration {
	after := maxRetryAfter
	if rate := b.retryRate(fraction); rate > 0 {
		after = time.Duration(min(b.promisedRetries/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return max(after, b.timeToReach(lowest, fraction))
}

// timeToReach returns the time until the level reaches the given one, at most
// maxRetryAfter.
func (b *bucket) timeToReach(level, fraction float64) time.Duration {
	rate := b.limit.PerSecond * fraction
	if rate <= 0 {
		return maxRetryAfter
	}
	s := math.Min((level-b.level)/rate, maxRetryAfter.Seconds())
	return time.Duration(max(0, s) * float64(time.Second))
}
