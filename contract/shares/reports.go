package shares

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportAfterShort is how long a daemon reports after the service was short at it.
	reportAfterShort = 2 * time.Second
	avoidPeriod      = 2 * time.Second // of an owner that sent no verdict
	alonePeriod      = time.Second     // without reports, after two such owners
	// quickReports are sent at a quarter of the interval, since the capacity that is divided
	// changes most when a shortage begins.
	quickReports = 4
	// A daemon whose work in flight grows faster than it is answered reports for alarmPeriod
	// before requests have waited, at most once in alarmPause.
	alarmPeriod = 300 * time.Millisecond
	alarmPause  = 2 * time.Second
	// certainChance is the probability of an alarm by chance at each tick above which the alarms
	// of one daemon do not suffice: all daemons report after an alarm, and must not while there
	// is capacity. An alarm above likelyChance sends no message.
	certainChance = 1e-7
	likelyChance  = 3e-5
	// likelyAlarms is the number of daemons with a likely alarm that suffices.
	likelyAlarms = 2
	// One in alarmRejections rejected requests is an alarm too.
	alarmRejections = 5
)

// reporting is the state of a daemon's reports on one service.
type reporting struct {
	until       time.Duration
	active      bool
	sent        int // in this period
	last        time.Duration
	sequence    uint64
	owner       string        // address of the last report
	silentSince time.Duration // first report to owner without a verdict; negative: none
	failed      int           // owners in a row without a verdict
	aloneUntil  time.Duration
	alarmUntil  time.Duration // of any kind
	// certainUntil is the end of an alarm that one daemon suffices for.
	certainUntil time.Duration
	nextAlarm    time.Duration
}

func (n *Node) reporting(now time.Duration, s *service) bool {
	return s.report.active && now < s.report.until
}

// startReporting makes the daemon report for a period from now on.
func (n *Node) startReporting(now time.Duration, s *service, period time.Duration) {
	r := &s.report
	r.until = max(r.until, now+period)
	if !r.active {
		r.active, r.sent, r.silentSince = true, 0, -1
		s.unreported, _ = s.window(now, shortWindow)
		n.sendReport(now, s)
	}
}

func (n *Node) tickReports(now time.Duration, s *service) {
	r := &s.report
	if a := n.alarm(now, s); a != noAlarm {
		if a == certainAlarm {
			r.certainUntil = now + alarmPeriod
		}
		r.alarmUntil, r.nextAlarm = now+alarmPeriod, now+alarmPause
		n.startReporting(now, s, alarmPeriod)
	}
	if !r.active {
		return
	}
	if now >= r.until {
		r.active = false
		return
	}
	interval := n.interval()
	// Owners send no verdicts after a shortage: only a daemon that needs one avoids its owner.
	needed := s.local.control.short || now < r.alarmUntil || n.decide(now, s).short
	if needed && r.silentSince >= 0 && now-r.silentSince > 2*interval {
		n.avoidOwner(now, s)
	}
	if r.sent < quickReports {
		interval /= 4
	}
	if now-r.last >= interval-TickInterval/2 {
		n.sendReport(now, s)
	}
}

// avoidOwner handles an owner that sent no verdict.
func (n *Node) avoidOwner(now time.Duration, s *service) {
	r := &s.report
	n.avoided[r.owner] = now + avoidPeriod
	r.silentSince, r.sent = -1, 0
	if r.failed++; r.failed >= 2 {
		r.failed, r.aloneUntil = 0, now+alonePeriod
	}
}

// alarm is a sign of a shortage before requests have waited long.
type alarm int

const (
	noAlarm      alarm = iota
	likelyAlarm        // the owner acts if another daemon has one too
	certainAlarm       // the owner acts
)

// alarm returns likelyAlarm or certainAlarm if the work in flight would make requests wait for a
// quarter of the allowed time, at the rate at which work was answered lately. With few
// requests at each of many daemons, chance alone often brings several together: their number
// must also be improbable for this daemon's load and for its even part of the slots. There is
// no alarm until this load has been observed for answeredWindow, as the first requests of a
// daemon that starts would raise one.
func (n *Node) alarm(now time.Duration, s *service) alarm {
	if now < s.report.nextAlarm || s.report.active || s.allowed == 0 || s.meanCost <= 0 || now-s.begun < answeredWindow {
		return noAlarm
	}
	// Where few requests may wait, endpoints reject them before they have waited.
	counts, _ := s.window(now, shortWindow)
	all := 0
	for _, c := range counts {
		all += c
	}
	rejected := counts[binRejected]
	found := noAlarm
	if alarmRejections*rejected >= all {
		switch {
		case rejected >= minObserved:
			return certainAlarm
		case rejected >= minObserved/2:
			found = likelyAlarm
		}
	}
	work, requests := s.flying()
	if requests < minObserved {
		return found
	}
	_, answered := s.window(now, answeredWindow)
	rate := max(answered, s.flownAnswered/residencyMean.Seconds(), s.slots/float64(len(n.daemons)))
	residency := s.residency()
	if work/rate-residency <= calmWait*s.allowed.Seconds() {
		return found
	}
	switch chance := poissonTail(requests, rate*residency/s.meanCost); {
	case chance < certainChance:
		return certainAlarm
	case chance < likelyChance:
		return likelyAlarm
	default:
		return found
	}
}

// poissonTail returns the probability of at least k events where mean are expected.
func poissonTail(k int, mean float64) float64 {
	if float64(k) <= mean {
		return 1
	}
	if mean <= 0 {
		return 0
	}
	// By logarithms, since exp(-mean) is 0 for means above 745.
	logFactorial, _ := math.Lgamma(float64(k) + 1)
	term := math.Exp(float64(k)*math.Log(mean) - mean - logFactorial)
	// Each further term is smaller by at least mean/(k+1).
	return min(term/(1-mean/float64(k+1)), 1)
}

// sendReport sends a report to the owner of the service, which may be this daemon.
func (n *Node) sendReport(now time.Duration, s *service) {
	r := &s.report
	if now < r.aloneUntil {
		return
	}
	address, self := n.Owner(now, s.id)
	r.sent++
	r.last = now
	r.sequence++
	m := n.buildReport(now, s)
	s.unreported = [bins]int{}
	if self {
		r.owner, r.silentSince, r.failed = "", -1, 0
		n.ingest(now, s, "", m)
		return
	}
	if address != r.owner || r.silentSince < 0 {
		r.owner, r.silentSince = address, now
	}
	n.outbox = append(n.outbox, Message{To: address, Data: m.encode(n.maxReportBytes(s, m))})
}

// maxReportBytes is the largest size of a report. At many daemons reports list fewer
// organisations, which keeps the mean traffic of a daemon below 1 KB/s with full verdicts. A
// daemon at which much of a service's work arrives lists all of them.
func (n *Node) maxReportBytes(s *service, m *report) int {
	const least, unscaled, large = 200, 160, 20
	daemons := len(n.daemons)
	offered := 0.0
	for _, e := range m.entries {
		offered += e.offered
	}
	if offered*float64(daemons) > large*s.slots && s.slots > 0 {
		return maxMessage
	}
	return max(least, maxMessage*unscaled/max(unscaled, daemons))
}

func (n *Node) buildReport(now time.Duration, s *service) *report {
	m := &report{
		nonce: n.o.Nonce, sequence: s.report.sequence, service: s.id, interval: n.interval(), counts: s.unreported,
		short: s.local.control.short || now < s.report.certainUntil, alarm: now < s.report.alarmUntil,
		allowed: s.allowed, residency: s.residency(), meanCost: s.meanCost,
	}
	_, m.answered = s.window(now, n.interval())
	m.inFlight, _ = s.flying()
	// A few requests of huge cost must not make the owner drop the report. It may know fewer
	// slots than this daemon.
	most := plausibleRate(s.slots) / 2
	m.answered, m.inFlight = min(m.answered, most), min(m.inFlight, most*plausibleSeconds)
	demands := n.localDemands(now, s, s.report.sent <= quickReports)
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.organisation, b.organisation))
	})
	for i := range demands {
		d := &demands[i]
		scale := min(1, most/d.total())
		for p, x := range d.offered {
			x *= scale
			if milli(x) == 0 {
				continue
			}
			m.entries = append(m.entries, reportEntry{d.organisation, p, x})
		}
	}
	return m
}

// milli returns a rate in thousandths, as in messages.
func milli(x float64) uint64 {
	if !(x > 0) {
		return 0
	}
	return uint64(math.Round(min(x*1000, maxMilli)))
}

// Receive handles a message of another daemon. It returns ErrMalformed for one that is not
// in the format of this release.
func (n *Node) Receive(now time.Duration, from string, data []byte) error {
	if len(data) == 0 {
		n.counters.Malformed++
		return ErrMalformed
	}
	switch data[0] {
	case kindReport:
		m, err := decodeReport(data)
		if err != nil {
			n.counters.Malformed++
			return err
		}
		if s := n.service(now, m.service); s != nil {
			n.ingest(now, s, from, m)
		}
	case kindVerdict:
		v, err := decodeVerdict(data)
		if err != nil {
			n.counters.Malformed++
			return err
		}
		if s := n.service(now, v.service); s != nil {
			n.receiveVerdict(now, s, from, v)
		}
	default:
		n.counters.Malformed++
		return ErrMalformed
	}
	return nil
}

func (n *Node) receiveVerdict(now time.Duration, s *service, from string, v *verdict) {
	name, known := n.names[from]
	if !known {
		return
	}
	// An owner that answers again is asked again.
	delete(n.avoided, from)
	r, last := &s.report, &s.verdict
	if from == r.owner {
		r.silentSince, r.failed = -1, 0
	}
	valid := last.owner != "" && now-last.at < n.verdictLife()
	echo := uint64(0)
	if v.sequence <= r.sequence { // larger ones answer a report of before a restart
		echo = v.sequence
	}
	switch {
	case valid && last.from == from && echo < last.echo:
		n.counters.Old++
		return
	case valid && last.from != from && from != r.owner:
		// Of two owners, the one that gets this daemon's reports decides.
	default:
		s.verdict = receivedVerdict{verdict: *v, at: now, from: from, owner: name, echo: echo}
	}
	n.startReporting(now, s, 2*n.interval()+2*TickInterval)
}
