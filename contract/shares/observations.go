package shares

import (
	"math"
	"time"
)

const (
	// bins of normalised waits: below 0.25, 0.5, 1, above; rejected.
	bins        = 5
	binLong     = 2 // first bin of waits of half of the allowed wait or longer
	binLate     = 3
	binRejected = 4

	// bucketCount times TickInterval covers the longest window, the interval of reports
	// at 1,100 daemons.
	bucketCount = 24
	shortWindow = 150 * time.Millisecond
	// answeredWindow is the period over which the work answered is measured for the
	// decision of a daemon by itself.
	answeredWindow = time.Second
	// residencyMean is the averaging time of the time to the first byte without waits.
	residencyMean = 10 * time.Second
	minObserved   = 4
)

// bucket holds what was observed in one TickInterval.
type bucket struct {
	at       int64
	counts   [bins]int
	answered float64 // slot-seconds
}

// unanswered is admitted work of one TickInterval without an answer.
type unanswered struct {
	at       int64
	work     float64
	requests int
}

// observations holds the waits observed at this daemon, and its work in flight.
type observations struct {
	buckets    [bucketCount]bucket
	inFlight   []unanswered  // the oldest first
	unreported [bins]int     // observations since the last report
	begun      time.Duration // first admitted request
	allowed    time.Duration
	meanCost   float64
	// The following sums decay with residencyMean: work in flight times time, work
	// answered, and work answered times its wait. By Little's law, the first over the
	// second is the mean time to the first byte.
	flown, flownAnswered, flownWait float64
	calmAnswered, calmWait          float64 // the last two at the last tick while not short
}

func bucketIndex(now time.Duration) int64 { return int64(now / TickInterval) }

func (o *observations) bucket(now time.Duration) *bucket {
	at := bucketIndex(now)
	b := &o.buckets[at%bucketCount]
	if b.at != at {
		*b = bucket{at: at}
	}
	return b
}

// binOf returns the bin of an observation, and its normalised wait.
func binOf(w Wait) (bin int, normalised float64) {
	if w.Rejected {
		return binRejected, 1
	}
	x := 0.0
	if w.Waited > 0 {
		x = 2
		if w.Allowed > 0 {
			x = float64(w.Waited) / float64(w.Allowed)
		}
	}
	switch {
	case x < 0.25:
		return 0, x
	case x < 0.5:
		return 1, x
	case x < 1:
		return 2, x
	default:
		return 3, x
	}
}

func (o *observations) observe(now time.Duration, w Wait) {
	bin, _ := binOf(w)
	b := o.bucket(now)
	b.counts[bin]++
	o.unreported[bin]++
	if w.Allowed > 0 {
		if o.allowed == 0 {
			o.allowed = w.Allowed
		}
		o.allowed += (w.Allowed - o.allowed) / 16
	}
	cost := w.Cost
	if !validWeight(cost) || cost > maxCost {
		cost = o.meanCost
	}
	if !w.Rejected || !w.Retried {
		ago := time.Duration(0)
		if !w.Rejected {
			ago = max(w.Waited, 0) + time.Duration(o.residency()*float64(time.Second))
		}
		o.land(now, ago, cost)
	}
	if w.Rejected {
		return
	}
	b.answered += cost
	o.flownAnswered += cost
	o.flownWait += cost * min(max(w.Waited, 0), max(w.Allowed, 0)).Seconds()
}

// launch adds an admitted request to the work in flight.
func (o *observations) launch(now time.Duration, cost float64) {
	if o.meanCost == 0 {
		o.begun, o.meanCost = now, cost
	}
	o.meanCost += (cost - o.meanCost) / 64
	at := bucketIndex(now)
	if l := len(o.inFlight); l == 0 || o.inFlight[l-1].at != at {
		o.inFlight = append(o.inFlight, unanswered{at: at})
	}
	last := &o.inFlight[len(o.inFlight)-1]
	last.work += cost
	last.requests++
}

// land removes the work of an answered request, which was sent the given time ago, from the
// work in flight. Taking the oldest instead would let requests whose end is not observed add
// up, as younger ones would be taken for them.
func (o *observations) land(now, ago time.Duration, cost float64) {
	if len(o.inFlight) == 0 {
		return
	}
	sent := bucketIndex(now - ago)
	i := 0
	for i+1 < len(o.inFlight) && o.inFlight[i+1].at <= sent {
		i++
	}
	u := &o.inFlight[i]
	u.requests--
	u.work = max(0, u.work-cost)
	if u.requests <= 0 {
		// Costs are means where they are unknown: the rest of the work ends with its last request.
		o.inFlight = append(o.inFlight[:i], o.inFlight[i+1:]...)
	}
}

// unlaunch removes an admitted request that was not sent from the latest in flight.
func (o *observations) unlaunch(cost float64) {
	if len(o.inFlight) == 0 {
		return
	}
	last := &o.inFlight[len(o.inFlight)-1]
	last.requests--
	last.work = max(0, last.work-cost)
	if last.requests <= 0 {
		o.inFlight = o.inFlight[:len(o.inFlight)-1]
	}
}

// tick expires requests that never got an answer, and averages the work in flight.
func (o *observations) tick(now time.Duration, short bool) {
	oldest := bucketIndex(now - max(2*o.allowed, time.Second))
	for len(o.inFlight) > 0 && o.inFlight[0].at < oldest {
		o.inFlight = o.inFlight[1:]
	}
	if len(o.inFlight) == 0 {
		o.inFlight = nil
	}
	if short {
		// Waits beyond the allowed one are not observed in full, so that the sums are not exact.
		o.flownAnswered, o.flownWait = o.calmAnswered, o.calmWait
		return
	}
	work, _ := o.flying()
	decay := 1 - float64(TickInterval)/float64(residencyMean)
	o.flown = o.flown*decay + work*TickInterval.Seconds()
	o.flownAnswered *= decay
	o.flownWait *= decay
	o.calmAnswered, o.calmWait = o.flownAnswered, o.flownWait
}

// flying returns the admitted work without an answer.
func (o *observations) flying() (work float64, requests int) {
	for _, u := range o.inFlight {
		work += u.work
		requests += u.requests
	}
	return work, requests
}

// residency returns the mean time to the first byte without waits, in seconds.
func (o *observations) residency() float64 {
	if o.flownAnswered <= 0 {
		return 0
	}
	return min(max(0, (o.flown-o.flownWait)/o.flownAnswered), 4*o.allowed.Seconds())
}

// window returns the counts of observations and the rate of work answered in a period,
// which begins with a whole bucket.
func (o *observations) window(now, period time.Duration) (counts [bins]int, answered float64) {
	at := bucketIndex(now)
	whole := int64((period + TickInterval - 1) / TickInterval)
	whole = min(whole, bucketCount-1)
	for _, b := range o.buckets {
		if b.at > at-whole && b.at <= at {
			for i, c := range b.counts {
				counts[i] += c
			}
			answered += b.answered
		}
	}
	covered := time.Duration(whole-1)*TickInterval + now%TickInterval
	return counts, answered / max(covered, TickInterval).Seconds()
}

// seemsShort reports whether most requests of the last shortWindow waited too long.
func (o *observations) seemsShort(now time.Duration) bool {
	counts, _ := o.window(now, shortWindow)
	all, long := 0, 0
	for i, c := range counts {
		all += c
		if i >= binLong {
			long += c
		}
	}
	return all >= minObserved && 2*long > all
}

// Endpoints that allow few requests to wait reject many before waits are long. The fraction
// of rejections times rejectionWait counts as a wait of up to maxRejectionWait; a larger
// one would reduce the capacity too far, since rejections end as soon as a place is free.
const (
	rejectionWait    = 7
	maxRejectionWait = 0.6
)

// medianWait returns the median normalised wait, interpolated within its bin. Waits in the
// open bin count as 1.25, rejections as 1, and many rejections as a longer wait.
func medianWait(counts [bins]int) (median float64, observed int) {
	ordered := [...]struct {
		low, high float64
		count     int
	}{{0, 0.25, counts[0]}, {0.25, 0.5, counts[1]}, {0.5, 1, counts[2]}, {1, 1, counts[4]}, {1.25, 1.25, counts[3]}}
	for _, c := range counts {
		observed += c
	}
	if observed == 0 {
		return 0, 0
	}
	least := min(rejectionWait*float64(counts[binRejected])/float64(observed), maxRejectionWait)
	rank := float64(observed) / 2
	for _, b := range ordered {
		if rank <= float64(b.count) && b.count > 0 {
			return max(least, b.low+(b.high-b.low)*rank/float64(b.count)), observed
		}
		rank -= float64(b.count)
	}
	return 1.25, observed
}

// rateMeter is a moving average of a rate with exponential weights.
type rateMeter struct {
	sum float64
	at  time.Duration
}

func (m *rateMeter) add(now, mean time.Duration, x float64) {
	m.sum = m.decayed(now, mean) + x
	m.at = max(now, m.at)
}

func (m *rateMeter) decayed(now, mean time.Duration) float64 {
	if m.sum == 0 || now <= m.at {
		return m.sum
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(mean))
}

// rate returns the rate per second.
func (m *rateMeter) rate(now, mean time.Duration) float64 {
	return m.decayed(now, mean) / mean.Seconds()
}
