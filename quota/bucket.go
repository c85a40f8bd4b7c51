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
	promised float64
	lent     float64 // units/s, smoothed
	denied   int     // questions in the present interval of denialSpan
	deniedAt time.Duration
}

// denialSpan is the time over which the daemons that were denied are counted.
const denialSpan = 100 * time.Millisecond

// advance accrues the given part of the limit, at most 1.
func (b *bucket) advance(now time.Duration, part float64) {
	dt := min(now-b.at, accrueMost).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.level = min(b.level+b.limit.PerSecond*part*dt, b.limit.Burst*part)
	b.promised = max(0, b.promised-b.limit.PerSecond*part*dt)
	b.lent *= math.Exp(-dt / demandMemory.Seconds())
}

// used is the part of the limit that was lent lately.
func (b *bucket) used() float64 { return b.lent / b.limit.PerSecond }

// lend takes units for requests that wait and, if there is room, for those to
// come. It returns what is lent and, if that is less than needed, when to ask
// again and when callers may come back.
func (b *bucket) lend(now time.Duration, part float64, overdraft float64, e *askEntry) (lent float64, again, retry time.Duration) {
	b.promised += e.Refused
	defer func() { b.lent += lent / demandMemory.Seconds() }()
	if b.level >= 0 {
		lent = max(0, min(e.Need, b.level+overdraft*part))
		b.level -= lent
	}
	if short := e.Need - lent; short > 0 {
		b.promised += short
		return lent, b.askAgain(now, part), b.comeBack(part)
	}
	if spare := b.level - b.limit.Burst*part/2; spare > 0 {
		ahead := min(e.Ahead, spare/2)
		b.level -= ahead
		lent += ahead
	}
	return lent, 0, 0
}

// askAgain is when a daemon that was denied may ask again: once there is
// something to lend, and not all of them at once.
func (b *bucket) askAgain(now time.Duration, part float64) time.Duration {
	if now-b.deniedAt > denialSpan {
		b.deniedAt, b.denied = now, 0
	}
	b.denied++
	return min(b.until(0, part)+time.Duration(b.denied)*denialStep, denialSpan)
}

// comeBack is when the limit has room for all that were told to come back.
func (b *bucket) comeBack(part float64) time.Duration {
	return min(b.until(b.promised, part), retryMost)
}

// until is the time in which the level reaches the given one.
func (b *bucket) until(level, part float64) time.Duration {
	rate := b.limit.PerSecond * part
	if rate <= 0 {
		return retryMost
	}
	s := math.Min((level-b.level)/rate, retryMost.Seconds())
	return time.Duration(max(0, s) * float64(time.Second))
}
