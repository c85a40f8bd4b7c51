package shares

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	ownerAfterShort  = 2 * time.Second // verdicts after the last report of a daemon that is short
	reportValid      = time.Second
	reportIntervals  = 3
	firstEvaluation  = 50 * time.Millisecond
	maxReports       = 4096
	plausibleFactor  = 1000
	plausibleUnknown = 1e6 // slot-seconds per second if the slots are unknown
	plausibleSeconds = 60  // of work at the largest plausible rate that may be in flight
)

// knownReport is the last report of a daemon.
type knownReport struct {
	report
	at time.Duration
}

// ownership is the state of a service at its owner.
type ownership struct {
	reports     map[string]*knownReport // by address; empty: this daemon
	activeUntil time.Duration
	control     control
	counts      [bins]int // since they were last used
	late        float64   // work that became late since the last evaluation, slot-seconds
	evaluateAt  time.Duration
	sentAt      time.Duration
	evaluated   bool
	verdict     verdict
	entries     []verdictEntry
}

// ingest handles a report to this daemon as the owner.
func (n *Node) ingest(now time.Duration, s *service, from string, m *report) {
	if !plausible(m, s.slots) {
		n.counters.Implausible++
		return
	}
	if s.owner == nil {
		if !m.short && !m.alarm && from == "" {
			return
		}
		s.owner = &ownership{reports: map[string]*knownReport{}, verdict: verdict{service: s.id, rest: 1}}
	}
	w := s.owner
	known := w.reports[from]
	switch {
	case known == nil && len(w.reports) >= maxReports:
		return
	case known != nil && known.nonce == m.nonce && m.sequence <= known.sequence:
		n.counters.Old++
		return
	}
	w.reports[from] = &knownReport{report: *m, at: now}
	for i, c := range m.counts {
		w.counts[i] += c
	}
	w.late += float64(m.counts[binLate]) * m.meanCost
	s.lastUsed = now
	active := now < w.activeUntil || w.control.short
	short := m.short || active && m.alarm || m.alarm && w.alarms(now) >= min(likelyAlarms, len(n.daemons))
	if short {
		w.activeUntil = now + ownerAfterShort
	}
	switch {
	case short && !active:
		// All daemons report when they receive a verdict.
		w.evaluated, w.evaluateAt, w.counts = false, now+firstEvaluation, m.counts
		w.verdict = verdict{service: s.id, rest: 1}
		w.entries = nil
		n.startReporting(now, s, 2*n.interval()+2*TickInterval)
		n.broadcast(now, s)
	case known == nil && from != "" && active:
		// Without a shortage there is no answer: daemons report after each verdict, so that the
		// messages would never end.
		n.sendVerdict(s, from)
	}
	if now < w.activeUntil && !w.evaluated && len(w.reports) >= len(n.daemons) {
		n.evaluate(now, s)
	}
}

// alarms returns the number of daemons that lately reported an alarm.
func (w *ownership) alarms(now time.Duration) int {
	count := 0
	for _, r := range w.reports {
		if r.alarm && now-r.at < alarmPeriod {
			count++
		}
	}
	return count
}

// plausible reports whether the figures of a report are possible.
func plausible(m *report, slots float64) bool {
	most := plausibleRate(slots)
	offered := map[Organisation]float64{}
	for _, e := range m.entries {
		offered[e.organisation] += e.offered
		if offered[e.organisation] > most {
			return false
		}
	}
	return m.answered <= most && m.inFlight <= most*plausibleSeconds
}

// plausibleRate is the largest rate of work, in slot-seconds per second, that a report may name.
func plausibleRate(slots float64) float64 {
	if slots > 0 {
		return plausibleFactor * slots
	}
	return plausibleUnknown
}

func (n *Node) tickOwner(now time.Duration, s *service) {
	w := s.owner
	if w == nil {
		return
	}
	life := max(reportValid, reportIntervals*n.interval())
	for from, r := range w.reports {
		if now-r.at > life {
			delete(w.reports, from)
		}
	}
	if now >= w.activeUntil && !w.control.short || len(w.reports) == 0 {
		if len(w.reports) == 0 {
			s.owner = nil
		}
		return
	}
	n.startReporting(now, s, 2*n.interval()+2*TickInterval)
	if now >= w.evaluateAt {
		n.evaluate(now, s)
	}
}

// evaluate finds the capacity and its division, and sends the verdict to all daemons.
func (n *Node) evaluate(now time.Duration, s *service) {
	w := s.owner
	m, demands := n.summarise(s)
	w.late = 0
	if w.control.update(now, m) {
		w.counts = [bins]int{}
	}
	c := &w.control
	w.verdict = verdict{
		service: s.id, short: c.short, covers: 2*len(w.reports) >= len(n.daemons), capacity: c.capacity, wait: c.wait, rest: 1,
	}
	w.entries = w.entries[:0]
	if c.short {
		noise := 0.0
		if now-c.since < leadPeriod { // the demands are averaged over surgeMean
			noise = m.meanCost / (2 * surgeMean.Seconds())
		}
		a := allocate(demands, c.rate, c.capacity, noise)
		w.verdict.level, w.verdict.fractions = a.level, a.fractions
		w.entries, w.verdict.rest = limited(demands, a)
	}
	w.evaluated = true
	s.verdict = receivedVerdict{
		verdict: w.verdict, at: now, owner: n.o.Self.Name, alone: len(w.reports) == 1 && w.reports[""] != nil && len(n.daemons) > 1,
	}
	interval := n.interval()
	quick := !c.short || now-c.since < leadPeriod
	if quick {
		w.evaluateAt = now + max(TickInterval, interval/4)
	} else {
		w.evaluateAt = now + interval
	}
	w.evaluateAt -= TickInterval / 2 // ticks are not exact
	if c.short && quick || now-w.sentAt >= interval-TickInterval/2 {
		n.broadcast(now, s)
	}
}

// summarise adds up the reports. The demands include each organisation once.
func (n *Node) summarise(s *service) (*measured, []demand) {
	w := s.owner
	m := &measured{counts: w.counts, late: w.late, least: minMedian, interval: n.interval()}
	if 2*len(w.reports) >= len(n.daemons) {
		// With fewer reports, others use an unknown part of the slots.
		m.slots = s.slots
	}
	byID := map[Organisation]*demand{}
	rest, allowed, meanCost := 0, 0.0, 0.0
	// In a fixed order, because sums of floating-point numbers depend on it.
	for _, from := range slices.Sorted(maps.Keys(w.reports)) {
		r := w.reports[from]
		m.answered += r.answered
		m.inFlight += r.inFlight
		// Daemons count by their work, so that the means do not depend on idle ones.
		m.residency += r.residency * r.answered
		m.meanCost += r.meanCost * r.answered
		m.allowed += r.allowed.Seconds() * r.answered
		allowed = max(allowed, r.allowed.Seconds())
		meanCost = max(meanCost, r.meanCost)
		rest = max(rest, r.rest)
		for _, e := range r.entries {
			d := byID[e.organisation]
			if d == nil {
				d = &demand{organisation: e.organisation, weight: n.weight(e.organisation)}
				byID[e.organisation] = d
			}
			d.offered[e.priority] += e.offered
			m.offered += e.offered
		}
	}
	if m.answered > 0 {
		m.residency /= m.answered
		m.meanCost /= m.answered
		m.allowed /= m.answered
	} else {
		m.allowed, m.meanCost = allowed, meanCost
	}
	if d := byID[otherOrganisations]; d != nil {
		d.weight = n.defaultWeight * float64(max(1, rest))
	}
	demands := make([]demand, 0, len(byID))
	for _, d := range byID {
		demands = append(demands, *d)
	}
	return m, demands
}

// limited returns the entries of a verdict, which are organisations of which less than
// everything is admitted, the largest first, and the part that is admitted of the others.
func limited(demands []demand, a allocation) (entries []verdictEntry, rest float64) {
	largest := slices.DeleteFunc(slices.Clone(demands), func(d demand) bool {
		f := a.fractions[d.organisation]
		return slices.Min(f[:]) >= 1
	})
	slices.SortFunc(largest, func(x, y demand) int {
		return cmp.Or(cmp.Compare(y.total(), x.total()), cmp.Compare(x.organisation, y.organisation))
	})
	entries = make([]verdictEntry, 0, min(len(largest), maxVerdictEntries))
	offered, admitted := 0.0, 0.0
	for i := range largest {
		d := &largest[i]
		f := a.fractions[d.organisation]
		if d.organisation != otherOrganisations && len(entries) < maxVerdictEntries {
			entries = append(entries, verdictEntry{d.organisation, f})
			continue
		}
		for p, x := range d.offered {
			offered += x
			admitted += x * f[p]
		}
	}
	if offered == 0 {
		return entries, 1
	}
	return entries, admitted / offered
}

// broadcast sends the verdict to all daemons.
func (n *Node) broadcast(now time.Duration, s *service) {
	s.owner.sentAt = now
	for _, d := range n.daemons {
		if d.Name != n.o.Self.Name {
			n.sendVerdict(s, d.Address)
		}
	}
	for _, from := range slices.Sorted(maps.Keys(s.owner.reports)) {
		if _, listed := n.names[from]; !listed && from != "" {
			n.sendVerdict(s, from) // it is not in this daemon's list yet
		}
	}
}

func (n *Node) sendVerdict(s *service, to string) {
	w := s.owner
	sequence := uint64(0)
	if r := w.reports[to]; r != nil {
		sequence = r.sequence
	}
	n.outbox = append(n.outbox, Message{To: to, Data: w.verdict.encode(sequence, w.entries)})
}
