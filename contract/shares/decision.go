package shares

import "time"

const (
	verdictValid          = 1500 * time.Millisecond
	verdictValidIntervals = 2.5
	localInterval         = 200 * time.Millisecond
)

// localDecision is what a daemon decides on its own observations.
type localDecision struct {
	control    control
	allocation allocation
}

// receivedVerdict is the last verdict of an owner.
type receivedVerdict struct {
	verdict
	at    time.Duration
	from  string // address; empty: this daemon
	owner string // name; empty: there is no verdict
	alone bool   // this daemon is the owner and no other one reports to it
	echo  uint64 // highest sequence number of a report that a verdict of this owner answered
}

// decisionState is the state that applies to the requests of a service.
type decisionState struct {
	short    bool
	owner    string // empty: this daemon by itself
	age      time.Duration
	capacity float64
	wait     float64
	level    float64
	rest     float64 // admitted of limited organisations that are not listed
	listed   listing
}

// listing holds the fractions of organisations.
type listing interface {
	of(id Organisation) (fractions [Priorities]float64, listed bool)
}

// verdictLife is the time for which a verdict is valid.
func (n *Node) verdictLife() time.Duration {
	return max(verdictValid, time.Duration(verdictValidIntervals*float64(n.interval())))
}

// decide returns the state that applies: that of a valid verdict, or else this daemon's own.
func (n *Node) decide(now time.Duration, s *service) decisionState {
	v := &s.verdict
	age := now - v.at
	if v.owner != "" && age < n.verdictLife() {
		d := decisionState{
			short: v.short, owner: v.owner, age: age, capacity: v.capacity, wait: v.wait, level: v.level, rest: v.rest, listed: &v.verdict,
		}
		if v.alone {
			d.owner = ""
		}
		// An owner repeats that a service is not short only while it gets reports. Later, a
		// shortage may have begun.
		if v.short || v.covers && age < 2*n.interval() {
			return d
		}
	}
	c := &s.local.control
	return decisionState{
		short: c.short, capacity: c.capacity, wait: c.wait, level: s.local.allocation.level, rest: 1, listed: &s.local.allocation,
	}
}

// fractions returns the fraction of each priority of an organisation's work that is
// admitted.
func (d *decisionState) fractions(n *Node, now time.Duration, id Organisation, o *organisation) [Priorities]float64 {
	all := [Priorities]float64{1, 1, 1}
	if !d.short {
		return all
	}
	if f, ok := d.listed.of(id); ok {
		return f
	}
	var offered [Priorities]float64
	for p := range offered {
		offered[p] = o.offered[p].rate(now, offeredMean)
	}
	share := n.weight(id) * d.level
	switch local := o.offeredRate(now); {
	case local > share:
		return split(offered, share)
	case d.rest < 1 && local*float64(len(n.daemons)) > share:
		// There are more limited organisations than a verdict lists. This one is taken for one
		// of them if it offers more than its share when other daemons get as much of it.
		return [Priorities]float64{d.rest, d.rest, d.rest}
	}
	return all
}

// Offer decides on a request. It must be called once for each request of a caller, before
// an endpoint is chosen.
func (n *Node) Offer(now time.Duration, w *Work) Decision {
	s := n.service(now, w.Service)
	if s == nil {
		return Decision{Admitted: true, Fraction: 1}
	}
	s.lastUsed = now
	cost := s.costOf(w)
	o, id := s.organisation(now, w.Organisation)
	d := n.decide(now, s)
	x, returned := n.refused.find(w)
	if d.short && returned && now < x.due-retryTolerance {
		// The request counts as offered only at its time: an organisation must gain nothing
		// by repeating it, and lose nothing either.
		f := d.fractions(n, now, id, o)
		return Decision{RetryAfter: x.due - now, Short: true, Fraction: f[w.priority()], Owner: d.owner, Age: d.age}
	}
	o.offered[w.priority()].add(now, offeredMean, cost)
	o.surge[w.priority()].add(now, surgeMean, cost)
	if !d.short {
		// Credit and debt of one shortage do not count in the next one.
		o.begun = [Priorities]bool{}
	}
	fraction := d.fractions(n, now, id, o)[w.priority()]
	decision := Decision{Short: d.short, Fraction: fraction, Owner: d.owner, Age: d.age}
	if !d.short || fraction >= 1 || o.admit(now, n.o.Rand, w.priority(), cost, fraction, returned && x.promised) {
		decision.Admitted = true
		o.admitted.add(now, admittedMean, cost)
		s.launch(now, cost)
		if returned {
			n.refused.remove(w)
		}
		return decision
	}
	// An organisation of which nothing is admitted at present is expected to get its even
	// part of the level later.
	rate := max(o.admitted.rate(now, admittedMean), n.weight(id)*d.level/float64(len(n.daemons)))
	if d.owner == "" {
		rate = max(rate, n.weight(id)*d.level)
	}
	x = o.schedule(now, n.o.Rand, w, cost, rate)
	n.refused.add(w, x)
	decision.RetryAfter = x.due - now
	return decision
}

// Withdraw states that an admitted request was not sent to an endpoint after all.
func (n *Node) Withdraw(now time.Duration, w *Work) {
	s := n.services[w.Service]
	if s == nil {
		return
	}
	cost := s.costOf(w)
	o, _ := s.organisation(now, w.Organisation)
	if n.decide(now, s).short && o.begun[w.priority()] {
		c := &o.credit[w.priority()]
		*c = max(*c, min(*c+cost, cost)) // an offer may leave more than one request of credit
	}
	o.admitted.add(now, admittedMean, -cost)
	o.admitted.sum = max(o.admitted.sum, 0)
	s.unlaunch(cost)
}

// costOf returns the cost of a request; an invalid one counts as the mean.
func (s *service) costOf(w *Work) float64 {
	const unknown = 0.01 // slot-seconds of the first request
	switch {
	case validWeight(w.Cost):
		return min(w.Cost, maxCost)
	case s.meanCost > 0:
		return s.meanCost
	default:
		return unknown
	}
}

// measureLocal returns the observations of this daemon by itself. Its part of the slots is
// unknown, so that the capacity is the work answered.
func (n *Node) measureLocal(now time.Duration, s *service) *measured {
	m := &measured{offered: s.offeredRate(now), allowed: s.allowed.Seconds(), least: minObserved, interval: localInterval}
	m.counts, _ = s.window(now, localInterval)
	_, m.answered = s.window(now, answeredWindow)
	m.inFlight, _ = s.flying()
	m.residency, m.meanCost = s.residency(), s.meanCost
	return m
}

func (n *Node) enterLocal(now time.Duration, s *service) {
	m := n.measureLocal(now, s)
	// Most of the last second was before the shortage, when less work may have been offered.
	_, recent := s.window(now, localInterval)
	m.answered = max(m.answered, recent)
	s.local.control = control{}
	s.local.control.wait, _ = medianWait(m.counts)
	s.local.control.enter(now, m)
	n.allocateLocal(now, s)
	n.startReporting(now, s, reportAfterShort)
}

func (n *Node) tickLocal(now time.Duration, s *service) {
	c := &s.local.control
	if !c.short || now-c.evaluated < localInterval {
		return
	}
	c.update(now, n.measureLocal(now, s))
	if c.short {
		n.allocateLocal(now, s)
		n.startReporting(now, s, reportAfterShort)
	}
}

func (n *Node) allocateLocal(now time.Duration, s *service) {
	s.local.allocation = allocate(n.localDemands(now, s, false), s.local.control.rate, s.local.control.capacity, 0)
}

// localDemands returns the work offered at this daemon; with surge, averaged over a shorter
// time.
func (n *Node) localDemands(now time.Duration, s *service, surge bool) []demand {
	demands := make([]demand, 0, len(s.byID))
	for id, o := range s.byID {
		d := demand{organisation: id, weight: n.weight(id)}
		for p := range d.offered {
			if surge {
				d.offered[p] = o.surge[p].rate(now, surgeMean)
			} else {
				d.offered[p] = o.offered[p].rate(now, offeredMean)
			}
		}
		if d.total() > 1e-6 {
			demands = append(demands, d)
		}
	}
	return demands
}
