package contract

import "math"

// concurrencyMeter averages the number of urgent requests that run at a time,
// from which reserve computes the slots kept free of long-running work.
type concurrencyMeter struct {
	running   int
	mean      float64
	updatedAt float64
}

const concurrencyTimeConstant = 10 // seconds

func (m *concurrencyMeter) update(now float64) {
	if now > m.updatedAt {
		keep := math.Exp((m.updatedAt - now) / concurrencyTimeConstant)
		m.mean = m.mean*keep + float64(m.running)*(1-keep)
		m.updatedAt = now
	}
}

func (m *concurrencyMeter) started(now float64) {
	m.update(now)
	m.running++
}

func (m *concurrencyMeter) ended(now float64) {
	m.update(now)
	m.running--
}

// localSlots returns how many requests this daemon may run at a time.
func (a *Admission) localSlots() int {
	return min(max(int(math.Round(a.slots*a.fleetFraction)), 1), a.opts.MaxRunning)
}

func (a *Admission) localRate() float64 { return a.tokensPerSecond * a.fleetFraction }

// reserve returns the number of slots that only urgent requests may take. Engines
// don't preempt running requests, so that an interactive request would otherwise
// wait for long batch work to finish. The number is the recent mean of running
// urgent requests plus reserveDeviations times its standard deviation, taken over
// all daemons, as they share the engines and requests arrive independently of each
// other. Without urgent requests nothing is reserved.
func (a *Admission) reserve(slots int) int {
	a.urgentMeter.update(a.clock)
	mean := a.urgentMeter.mean
	spread := reserveDeviations * math.Sqrt(mean/(1+a.otherDaemons))
	want := int(math.Round(mean + spread))
	return min(want, int(math.Ceil(a.opts.MaxReserve*float64(slots))), slots-1)
}

// overcommit returns how many urgent requests may run beyond the slots, for the
// first ones after a time without any. Engines put them first in their own queues.
func overcommit(slots int) int { return 1 + slots/overcommitDivisor }

// reserveDeviations trades the latency of first tokens for throughput: see
// docs/measurements/limits.md for other values.
const reserveDeviations = 0.5

const overcommitDivisor = 20

// urgent reports whether a request of the organisation may use the reserved slots:
// an interactive one, if the organisation isn't ahead of its contract. Otherwise
// its requests would raise the reserve further and further, and starve the batch
// work that others have paid for.
func (a *Admission) urgent(o *organisation, p Priority) bool {
	return p == PriorityInteractive && a.withinContract(o)
}

func (a *Admission) withinContract(o *organisation) bool {
	return o.tag <= a.virtualTime+a.allowedLead()
}

// underserved reports whether the organisation is behind its contract by more than
// the allowed lead. Its prompts don't wait for the prefill of other organisations'
// pending prompts, which urgent ones overtake at the engines all the time.
func (a *Admission) underserved(o *organisation) bool {
	return o.tag < a.virtualTime-a.allowedLead()
}

func (a *Admission) hasSlot(o *organisation, p Priority) bool {
	urgent := a.urgent(o, p)
	if !a.hasPrefillCapacity(urgent || a.underserved(o)) {
		return false
	}
	slots := a.localSlots()
	if urgent {
		return a.running < min(slots+overcommit(slots), a.opts.MaxRunning)
	}
	others := a.running - a.urgentMeter.running
	return a.running < slots && others < slots-a.reserve(slots)
}

// allowedLead returns how far, in virtual time, an organisation may be ahead of the
// least served one before its priorities are ignored.
func (a *Admission) allowedLead() float64 {
	weight := a.backlog.weight
	if weight <= 0 {
		return math.Inf(1)
	}
	return a.opts.MaxLead.Seconds() * a.localRate() / weight
}

// selectNext returns the queued request to run next, or nil when there is none or
// no slot for it. The most urgent priority goes first among the organisations
// within their contract; one that is ahead of it by more than the allowed lead
// gets what those leave. Without that second rule an organisation that floods
// the fleet with interactive requests would starve the standard and batch work
// that others have paid for.
func (a *Admission) selectNext() *entry {
	if a.backlog.queued == 0 {
		return nil
	}
	for p := PriorityInteractive; p < PriorityCount; p++ {
		if e := a.head(p); e != nil && a.withinContract(e.org) {
			return e
		}
	}
	for p := PriorityInteractive; p < PriorityCount; p++ {
		if e := a.head(p); e != nil {
			return e
		}
	}
	return nil
}

// head returns the first queued request of the priority, or nil if there is none
// or no slot for it.
func (a *Admission) head(p Priority) *entry {
	heap := &a.backlog.heaps[p]
	if heap.len() == 0 {
		return nil
	}
	o := heap.min()
	if !a.hasSlot(o, p) {
		return nil
	}
	return o.queues[p].head
}

// canStartNow reports whether a new request of the organisation may start before all
// queued ones. An organisation within its contract overtakes requests of lower
// priorities; other queued requests are overtaken only if there is no slot for
// them.
func (a *Admission) canStartNow(o *organisation, p Priority) bool {
	if !a.hasSlot(o, p) {
		return false
	}
	if a.backlog.queued == 0 {
		return true
	}
	within := a.withinContract(o)
	for q := PriorityInteractive; q < PriorityCount; q++ {
		if q > p && within {
			return true
		}
		if a.head(q) != nil {
			return false
		}
	}
	return true
}
