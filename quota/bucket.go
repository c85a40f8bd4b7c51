package quota

import (
	"math"
	"time"
)

// bucket is what an owner may lend of one organisation's limit.
type bucket struct {
	limit Limit
	level float64 // units; negative after an overdraft
	at    time.Duration
	// promised is the work of callers that were turned away and told when to
	// come back, in units.
	promisedRetries float64
	lent            float64 // units/s, smoothed
	denied          int     // questions in the present interval of denialSpan
	deniedAt        time.Duration
}

// denialWindow is the time over which the daemons that were denied are counted.
const denialWindow = 100 * time.Millisecond

// accrue accrues the given fraction of the limit, at most 1.
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

// used is the fraction of the limit that was lent lately.
func (b *bucket) used() float64 { return b.lent / b.limit.PerSecond }

// lend takes units for requests that wait and, if there is room, for those to
// come. It returns what is lent and, if that is less than needed, when to ask
// again and when callers may come back.
func (b *bucket) lend(now time.Duration, fraction float64, overdraft float64, e *askEntry) (lent float64, again, retry time.Duration) {
	b.promisedRetries += e.Rejected
	defer func() { b.lent += lent / smoothingTime.Seconds() }()
	if b.level >= 0 {
		lent = max(0, min(e.Need, b.level+overdraft*fraction))
		b.level -= lent
	}
	if short := e.Need - lent; short > 0 {
		b.promisedRetries += short
		return lent, b.askAgain(now, fraction), b.retryAfter(fraction)
	}
	if spare := b.level - b.limit.Burst*fraction/2; spare > 0 {
		ahead := min(e.Ahead, spare/2)
		b.level -= ahead
		lent += ahead
	}
	return lent, 0, 0
}

// askAgain is when a daemon that was denied may ask again: once there is
// something to lend, and not all of them at once.
func (b *bucket) askAgain(now time.Duration, fraction float64) time.Duration {
	if now-b.deniedAt > denialWindow {
		b.deniedAt, b.denied = now, 0
	}
	b.denied++
	return min(b.timeToReach(0, fraction)+time.Duration(b.denied)*denialStep, denialWindow)
}

// retryAfter is when the limit has room for all that were told to come back.
func (b *bucket) retryAfter(fraction float64) time.Duration {
	return min(b.timeToReach(b.promisedRetries, fraction), maxRetryAfter)
}

// timeToReach is the time in which the level reaches the given one.
func (b *bucket) timeToReach(level, fraction float64) time.Duration {
	rate := b.limit.PerSecond * fraction
	if rate <= 0 {
		return maxRetryAfter
	}
	s := math.Min((level-b.level)/rate, maxRetryAfter.Seconds())
	return time.Duration(max(0, s) * float64(time.Second))
}
