package shares

import (
	"math"
	"time"
)

const (
	minFactor, maxFactor = 0.1, 4 // bounds of the capacity as a multiple of the slots
	// targetWait is the median normalised wait at which the capacity is kept. Waits vary
	// among endpoints: with a median of half of the allowed wait, the longest ones would be
	// late.
	targetWait = 0.35
	// leastTarget is the lowest target. The target falls to it while endpoints reject more than
	// fewRejections of the requests, since fewer may wait there than the target needs.
	leastTarget   = 0.2
	fewRejections = 0.02
	longWait      = 0.5 // above it, the capacity is too large
	calmWait      = 0.25
	calmLoad      = 0.9 // of the capacity
	calmPeriod    = time.Second
	// leadPeriod is the time after a service became short in which the expected wait of the
	// work in flight is used without reservation: observed waits lag behind it.
	leadPeriod = 500 * time.Millisecond
	// farOff is the ratio of the work answered to the capacity, or the reverse, that shows
	// that the slots are listed wrongly.
	farOff    = 1.3
	minMedian = 8 // observations for the median wait of an owner
	// maxUnused is the time after which fewer observations are used, or none count as no wait.
	// Otherwise, long waits would count until enough requests are admitted, which they prevent.
	maxUnused = time.Second
)

// measured is what a control is given at each evaluation. Rates are in slot-seconds per
// second.
type measured struct {
	slots     float64 // 0: unknown
	offered   float64
	answered  float64
	inFlight  float64 // admitted work without an answer, slot-seconds
	late      float64 // work that passed the allowed wait since the last evaluation, slot-seconds
	meanCost  float64
	residency float64 // time to the first byte without waits, in seconds
	allowed   float64 // wait, in seconds
	counts    [bins]int
	least     int // observations that suffice for the median
	interval  time.Duration
}

// leastRate is the lowest capacity. Where the slots are unknown, it is one request of mean cost
// per second: a lower one, after endpoints did not answer, would not be raised, since there
// would be no answers to raise it.
func (m *measured) leastRate() float64 {
	if m.slots > 0 {
		return 1e-3
	}
	return max(m.meanCost, 1e-3)
}

// control finds the capacity at which requests wait less than is allowed. The waits are the
// integral of the excess of admitted work over the capacity. A slowly adapted capacity
// (rate) is therefore combined with a correction in proportion to the wait, which damps it.
type control struct {
	short     bool
	since     time.Duration // the service is short
	evaluated time.Duration
	usedAt    time.Duration // last use of observations, or of the absence of any for maxUnused
	calmSince time.Duration
	longFor   time.Duration // the wait was above longWait, less the time in which it was not
	lateSince time.Duration // most requests were observed as late; 0: they were not
	settles   time.Duration // until then, the work answered includes a time before a change
	slots     float64       // for which rate was found
	rate      float64
	quick     int     // evaluations in a row in which the capacity was raised
	target    float64 // normalised wait at which the capacity is kept
	// observedWait is the last median normalised wait.
	observedWait float64
	// answered is the mean of the work answered over about the time that requests take:
	// endpoints that were filled at once also finish their requests at once.
	answered   float64
	answeredAt time.Duration
	// late is an estimate of the work that passed the allowed wait and still waits.
	late     float64
	wait     float64 // normalised, expected for a request admitted now
	capacity float64
	history  []flight // the oldest first, of the last historyPeriod
}

// flight is the work in flight at a time.
type flight struct {
	at   time.Duration
	work float64
}

const (
	historyPeriod = 4 * time.Second
	maxWait       = 1.5 // expected; longer ones need no other reaction
)

func (c *control) enter(now time.Duration, m *measured) {
	*c = control{
		short: true, since: now, evaluated: now, usedAt: now, calmSince: now, settles: now + c.answeredMean(m),
		observedWait: c.observedWait, target: targetWait, wait: c.wait, slots: m.slots,
		history: c.history, answered: c.answered, answeredAt: c.answeredAt, late: c.late,
	}
	c.rate = max(c.answered, m.leastRate())
	if c.answeredAt == 0 {
		c.rate = max(m.answered, m.leastRate())
	}
	if m.slots > 0 {
		// More work than the slots could have answered shows that too few are listed. Engines
		// answer when a request begins, and thus more than they serve while idle slots fill.
		c.rate = m.slots
		if c.answered > farOff*farOff*farOff*m.slots {
			c.rate = min(c.answered, maxFactor*m.slots)
		}
	}
	c.correct(now, m)
}

// expectedWait returns the normalised wait that the work in flight causes.
func (c *control) expectedWait(m *measured) float64 {
	rate := c.rate
	switch {
	case c.short:
	case c.observedWait >= calmWait:
		// Requests wait, so that the work answered is what can be served.
		rate = c.answered
	case m.slots > 0:
		rate = max(m.slots, m.answered)
	default:
		return 0
	}
	if rate <= 0 || m.allowed <= 0 {
		return 0
	}
	return min(max(0, ((m.inFlight+c.late)/rate-m.residency)/m.allowed), maxWait)
}

// predictedWait returns the normalised wait of a request admitted now. Requests observed
// now were admitted one wait earlier; the work in flight has changed since then. Only its
// change counts, so that requests whose end is never observed do not matter.
func (c *control) predictedWait(now time.Duration, m *measured) float64 {
	if c.rate <= 0 || m.allowed <= 0 || len(c.history) == 0 {
		return c.observedWait
	}
	delay := m.interval.Seconds()/2 + m.residency + min(c.observedWait, 1)*m.allowed
	then := now - time.Duration(delay*float64(time.Second))
	past := c.history[0].work
	for _, f := range c.history {
		if f.at > then {
			break
		}
		past = f.work
	}
	return min(max(0, c.observedWait+(m.inFlight+c.late-past)/c.rate/m.allowed), maxWait)
}

// update evaluates the state and returns whether the counts were used.
func (c *control) update(now time.Duration, m *measured) (used bool) {
	median, observed := medianWait(m.counts)
	used = observed >= m.least || now-c.usedAt >= maxUnused
	for len(c.history) > 0 && now-c.history[0].at > historyPeriod {
		c.history = c.history[1:]
	}
	if used {
		c.observedWait, c.usedAt = median, now
	}
	c.track(now, m)
	c.history = append(c.history, flight{now, m.inFlight + c.late})
	if !c.short {
		c.wait = c.observedWait
		if m.slots == 0 || m.offered > calmLoad*m.slots {
			c.wait = max(c.wait, c.expectedWait(m))
		}
		surge := c.wait >= calmWait && m.slots > 0 && m.offered > 1.1*m.slots
		if c.wait >= longWait || surge {
			c.enter(now, m)
		}
		return used
	}
	c.rescale(now, m)
	elapsed := now - c.evaluated
	steps := min(float64(elapsed)/float64(m.interval), 2)
	c.evaluated = now
	c.wait = c.predictedWait(now, m)
	if now-c.since < leadPeriod {
		c.wait = max(c.wait, c.expectedWait(m))
	}
	switch {
	case !used || observed == 0:
	case float64(m.counts[binRejected]) > fewRejections*float64(observed):
		c.target = max(leastTarget, c.target*math.Pow(0.8, steps))
	default:
		c.target = min(targetWait, c.target*math.Pow(1.05, steps))
	}
	c.adapt(now, elapsed, m, steps)
	c.correct(now, m)
	if m.offered >= calmLoad*c.capacity || c.wait >= calmWait {
		c.calmSince = now
	}
	if now-c.calmSince >= calmPeriod {
		c.short = false
	}
	return used
}

// track updates the averages.
func (c *control) track(now time.Duration, m *measured) {
	elapsed := now - c.answeredAt
	switch {
	case c.answeredAt == 0:
		c.answered, elapsed = m.answered, 0
	case !c.mostlyLate():
		c.answered += (m.answered - c.answered) * -math.Expm1(-float64(elapsed)/float64(c.answeredMean(m)))
	}
	// What is served beyond the answers in time are late requests.
	rate := c.answered
	if c.short {
		rate = c.rate
	}
	c.late += m.late - max(0, rate*elapsed.Seconds()-max(0, m.answered*elapsed.Seconds()-m.late))
	c.late = min(max(c.late, 0), 2*rate*m.allowed)
	c.answeredAt = max(now, 1)
}

// mostlyLate reports whether most requests were observed as late. Late requests have no
// answer yet: their rate is that of requests admitted earlier, not of work answered.
func (c *control) mostlyLate() bool { return c.observedWait > 1 }

// answeredMean is the averaging time of the work answered.
func (c *control) answeredMean(m *measured) time.Duration {
	return time.Duration(1.5 * min(m.meanCost, 0.7) * float64(time.Second))
}

// rescale keeps the factor between the capacity and the slots when the slots change.
func (c *control) rescale(now time.Duration, m *measured) {
	if m.slots != c.slots && m.slots > 0 && c.slots > 0 {
		// The work answered until now was that of the former slots.
		c.rate *= m.slots / c.slots
		c.answered *= m.slots / c.slots
		c.settles = now + 2*c.answeredMean(m)
	}
	c.slots = m.slots
	if m.slots > 0 {
		c.rate = min(max(c.rate, minFactor*m.slots), maxFactor*m.slots)
	}
}

// adapt changes the slowly adapted capacity.
func (c *control) adapt(now, elapsed time.Duration, m *measured, steps float64) {
	late := c.mostlyLate()
	if c.wait >= longWait {
		c.longFor = min(c.longFor+elapsed, 2*time.Second)
	} else {
		c.longFor = max(c.longFor-elapsed, 0)
	}
	switch {
	case !late:
		c.lateSince = 0
	case c.lateSince == 0:
		c.lateSince = now
	}
	settled := now > c.settles
	switch {
	case c.answered > farOff*c.rate && settled && !late:
		// More work is answered than the capacity that was assumed.
		c.rate = c.answered / 1.1
	case c.wait >= longWait:
		c.quick = 0
		// While requests wait, the work answered is what the endpoints can serve. The time
		// over which it was measured must not include one before.
		switch {
		case late:
			// The work answered until then may include a time before the shortage, so that it
			// is used only if it is far below.
			if now-c.lateSince < 2*m.interval {
				break
			}
			if c.rate *= math.Pow(0.9, steps); farOff*c.answered < c.rate {
				c.rate = 1.1 * c.answered
			}
		case c.observedWait >= longWait && farOff*c.answered < c.rate && c.longFor >= max(m.interval, c.answeredMean(m)):
			c.rate = 1.1 * c.answered
		case c.answered < c.rate && c.longFor >= 2*m.interval+c.answeredMean(m):
			c.rate = max(c.answered, c.rate*math.Pow(0.9, steps))
		}
	case c.wait < c.target && (m.offered > 0.88*c.capacity || m.slots == 0) && c.rate < 1.1*c.answered:
		step := 0.03 * (c.target - c.wait) / c.target
		// The work of the last increase must have been answered before a larger one.
		if c.observedWait < calmWait*0.6 && c.answered > 0.85*c.capacity && now-c.since > m.interval {
			c.quick++
			step = max(step, min(0.03*math.Pow(2, float64(c.quick-1)), 0.25))
		} else {
			c.quick = 0
		}
		c.rate *= 1 + step*min(steps, 1)
	default:
		c.quick = 0
	}
	if m.slots > 0 {
		c.rate = min(max(c.rate, minFactor*m.slots), maxFactor*m.slots)
	}
	c.rate = max(c.rate, m.leastRate())
}

// correct sets the capacity from the adapted one and the wait, so that the wait reaches its
// target in a time of a few delays between a change and its effect on the work in flight. A
// larger gain oscillates.
func (c *control) correct(now time.Duration, m *measured) {
	delay := m.interval*3/4 + TickInterval
	if now-c.since < leadPeriod {
		delay = m.interval/4 + TickInterval
	}
	gain := 0.3
	if m.allowed > 0 {
		gain = min(m.allowed/(2.2*delay.Seconds()), 1)
	}
	if c.observedWait >= 1 {
		gain *= 2 // until requests are in time again, it is not known what can be served
	}
	correction := gain * (c.target - c.wait)
	c.capacity = max(c.rate*(1+min(max(correction, -0.85), 0.1)), m.leastRate())
}
