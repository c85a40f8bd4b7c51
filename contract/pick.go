package contract

import "math"

// interactiveMeter follows how many interactive requests run at a time, so
// that as many places are kept free of work that lasts long.
type interactiveMeter struct {
	running int
	peak    float64
	at      float64
}

const interactivePeakConstant = 30 // seconds

func (m *interactiveMeter) decay(now float64) {
	if now > m.at {
		m.peak *= math.Exp((m.at - now) / interactivePeakConstant)
		m.at = now
	}
}

func (m *interactiveMeter) started(now float64) {
	m.decay(now)
	m.running++
	m.peak = max(m.peak, float64(m.running))
}

func (m *interactiveMeter) ended(now float64) {
	m.decay(now)
	m.running--
}

// localSlots is how many requests this daemon may have running.
func (a *Admission) localSlots() int {
	return min(max(int(math.Round(a.slots*a.part)), 1), a.opts.Running)
}

func (a *Admission) localRate() float64 { return a.tokensPerSecond * a.part }

// reserve is the number of places that only interactive requests may take. A
// fleet filled with long batch work can't be taken back when a driver asks:
// engines finish what runs, and the driver would wait for whole
// specification sheets. It follows the recent peak of interactive requests, so
// that a fleet without any gives nothing away.
func (a *Admission) reserve(slots int) int {
	a.reserved.decay(a.clock)
	want := int(math.Round(a.reserved.peak))
	return min(want, int(math.Ceil(a.opts.Reserve*float64(slots))), slots-1)
}

// overcommit is how many interactive requests may go beyond the slots, for the
// first ones after a quiet time. The engines put them first in their own
// queues.
func overcommit(slots int) int { return 1 + slots/overcommitPart }

const overcommitPart = 20

func (a *Admission) hasPlace(p Priority) bool {
	slots := a.localSlots()
	if p == PriorityInteractive {
		return a.running < min(slots+overcommit(slots), a.opts.Running)
	}
	others := a.running - a.reserved.running
	return a.running < slots && others < slots-a.reserve(slots)
}

// lead is how far in virtual time an organisation may be ahead of the least
// served one and still have its priorities count.
func (a *Admission) lead() float64 {
	weight := a.backlog.weight
	if weight <= 0 {
		return math.Inf(1)
	}
	return a.opts.Lead.Seconds() * a.localRate() / weight
}

// pick is the queued request to run next, or nil when there is none or no
// place for it. The most urgent priority goes first among the organisations
// that keep to their contract; one that is ahead of it by more than the lead
// takes what those leave. Without that second rule an organisation that floods
// the fleet with interactive requests would starve the standard and batch work
// which others have paid for.
func (a *Admission) pick() *entry {
	if a.backlog.queued == 0 {
		return nil
	}
	least, _ := a.backlog.least()
	limit := least + a.lead()
	for p := PriorityInteractive; p < PriorityCount; p++ {
		if e := a.head(p); e != nil && e.org.tag <= limit {
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

func (a *Admission) head(p Priority) *entry {
	heap := &a.backlog.heaps[p]
	if heap.len() == 0 || !a.hasPlace(p) {
		return nil
	}
	return heap.min().queues[p].head
}

// startsAtOnce reports whether a request of the organisation may run before
// everything that waits. What waits with a lower priority is no hindrance to
// an organisation that keeps to its contract; else only what has no place
// itself is passed.
func (a *Admission) startsAtOnce(o *organisation, p Priority) bool {
	if !a.hasPlace(p) {
		return false
	}
	if a.backlog.queued == 0 {
		return true
	}
	least, _ := a.backlog.least()
	within := o.tag <= least+a.lead()
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
