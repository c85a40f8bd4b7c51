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
	// promisedRetries is the cost in units of the rejected requests that are
	// expected to be retried after their Retry-After.
	promisedRetries float64
	lent            float64 // units/s, smoothed
	denied          int     // asks denied in the current denialWindow
	deniedAt        time.Duration
}

// denialWindow is the time over which denied asks are counted.
const denialWindow = 100 * time.Millisecond

// accrue adds the units accrued since the last call at the given fraction of the
// limit, which is at most 1.
func (b *bucket) accrue(now time.Duration, fraction float64) {
	dt := min(now-b.at, maxAccrual).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.level = min(b.level+b.limit.PerSecond*fraction*dt, b.limit.Burst*fraction)
	b.promisedRetries = max(0, b.promisedRetries-b.limit.PerSecond*fraction*dt)
	b.lent *= math.Exp(-dt / smoothingTime.Seconds())
}

// used returns the fraction of the limit that was recently lent.
func (b *bucket) used() float64 { return b.lent / b.limit.PerSecond }

// lend takes units for waiting requests and, if units are left, for expected ones.
// It returns the units lent and, if they are fewer than needed, when to ask again
// and the Retry-After for callers.
func (b *bucket) lend(now time.Duration, fraction float64, overdraft float64, e *askEntry) (lent float64, again, retry time.Duration) {
	b.promisedRetries += e.Rejected
	defer func() { b.lent += lent / smoothingTime.Seconds() }()
	if b.level >= 0 {
		lent = max(0, min(e.Need, b.level+overdraft*fraction))
		b.level -= lent
	}
	if short := e.Need - lent; short > 0 {
		b.promisedRetries += short
		return lent, b.askAfter(now, fraction), b.retryAfter(fraction)
	}
	if spare := b.level - b.limit.Burst*fraction/2; spare > 0 {
		ahead := min(e.Expected, spare/2)
		b.level -= ahead
		lent += ahead
	}
	return lent, 0, 0
}

// askAfter returns when a denied daemon may ask again: once there are units to
// lend, spread over the denied daemons.
func (b *bucket) askAfter(now time.Duration, fraction float64) time.Duration {
	if now-b.deniedAt > denialWindow {
		b.deniedAt, b.denied = now, 0
	}
	b.denied++
	return min(b.timeToReach(0, fraction)+time.Duration(b.denied)*denialStep, denialWindow)
}

// retryAfter returns the time until the limit can cover all promised retries.
func (b *bucket) retryAfter(fraction float64) time.Duration {
	return min(b.timeToReach(b.promisedRetries, fraction), maxRetryAfter)
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
