package contract

import "math"

// interactiveMeter follows how many interactive requests run at a time, so
// that as many places are kept free of work that lasts long.
type interactiveMeter struct {
	running int
	mean    float64
	at      float64
}

const interactiveConstant = 10 // seconds

func (m *interactiveMeter) settle(now float64) {
	if now > m.at {
		keep := math.Exp((m.at - now) / interactiveConstant)
		m.mean = m.mean*keep + float64(m.running)*(1-keep)
		m.at = now
	}
}

func (m *interactiveMeter) started(now float64) {
	m.settle(now)
	m.running++
}

func (m *interactiveMeter) ended(now float64) {
	m.settle(now)
	m.running--
}

// localSlots is how many requests this daemon may have running.
func (a *Admission) localSlots() int {
	return min(max(int(math.Round(a.slots*a.part)), 1), a.opts.MaxRunning)
}

func (a *Admission) localRate() float64 { return a.tokensPerSecond * a.part }

// reserve is the number of places that only urgent requests may take. A fleet
// filled with long batch work can't be taken back when a driver asks: engines
// finish what runs, and the driver would wait for whole specification sheets.
// It is the recent mean of urgent requests and a part of its standard deviation
// over all daemons, as engines are shared and requests come independently of
// each other. A fleet without any gives nothing away.
func (a *Admission) reserve(slots int) int {
	a.reserved.settle(a.clock)
	mean := a.reserved.mean
	spread := reserveDeviations * math.Sqrt(mean/(1+a.others))
	want := int(math.Round(mean + spread))
	return min(want, int(math.Ceil(a.opts.MaxReserve*float64(slots))), slots-1)
}

// overcommit is how many urgent requests may go beyond the slots, for the first
// ones after a quiet time. The engines put them first in their own queues.
func overcommit(slots int) int { return 1 + slots/overcommitPart }

// reserveDeviations weighs first tokens against work done: see
// docs/measurements/limits.md for other values.
const reserveDeviations = 0.5

const overcommitPart = 20

// urgent reports whether an interactive request of the organisation may use the
// places kept for such. One that is ahead of its contract may not: its requests
// would have more and more places kept, and starve the batch work which others
// have paid for.
func (a *Admission) urgent(o *organisation, p Priority) bool {
	return p == PriorityInteractive && a.withinContract(o)
}

func (a *Admission) withinContract(o *organisation) bool {
	return o.tag <= a.virtual+a.lead()
}

// owed reports whether the organisation is behind its contract by more than the
// lead. What was sent ahead for others, and is passed by urgent prompts at the
// engines all the time, doesn't hold it back.
func (a *Admission) owed(o *organisation) bool {
	return o.tag < a.virtual-a.lead()
}

func (a *Admission) hasPlace(o *organisation, p Priority) bool {
	urgent := a.urgent(o, p)
	if !a.roomToPrefill(urgent || a.owed(o)) {
		return false
	}
	slots := a.localSlots()
	if urgent {
		return a.running < min(slots+overcommit(slots), a.opts.MaxRunning)
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
	return a.opts.MaxLead.Seconds() * a.localRate() / weight
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

// head is the first request of the priority, or nil if there is none or no
// place for it.
func (a *Admission) head(p Priority) *entry {
	heap := &a.backlog.heaps[p]
	if heap.len() == 0 {
		return nil
	}
	o := heap.min()
	if !a.hasPlace(o, p) {
		return nil
	}
	return o.queues[p].head
}

// startsAtOnce reports whether a request of the organisation may run before
// everything that waits. What waits with a lower priority is no hindrance to
// an organisation that keeps to its contract; else only what has no place
// itself is passed.
func (a *Admission) startsAtOnce(o *organisation, p Priority) bool {
	if !a.hasPlace(o, p) {
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
