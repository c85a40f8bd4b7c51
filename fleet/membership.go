package fleet

import (
	"slices"
	"strings"
	"time"
)

// MembershipOptions holds the times and bounds by which a Membership joins
// the platform's list with what endpoints say. Zero fields take the defaults.
type MembershipOptions struct {
	// ProbeAfter is how long an endpoint may say nothing before it is asked.
	ProbeAfter time.Duration
	// SilentAfter is how long an endpoint that was asked may give no answer
	// before it gets no new work.
	SilentAfter time.Duration
	// RefusedFor is how long a refused connection keeps new work away, unless
	// the endpoint speaks before.
	RefusedFor time.Duration
	// MissingAfter is how long the list must go without an endpoint that is
	// silent too before it is forgotten.
	MissingAfter time.Duration
	// ReturnAfter is how long the list must call an endpoint live again that it
	// had called leaving.
	ReturnAfter time.Duration
	// NeighbourMargin is how much newer a neighbour's evidence must be than the
	// own before it counts: more than a digest's time on the way.
	NeighbourMargin time.Duration
	// MinTriedFraction is the share of a class's endpoints in a zone that are tried at
	// the least, although they are silent or refused.
	MinTriedFraction float64
	// MaxEndpoints bounds the table; entries of the list beyond it are dropped.
	MaxEndpoints int
}

// The defaults of MembershipOptions.
const (
	DefaultProbeAfter       = time.Second
	DefaultSilentAfter      = 1800 * time.Millisecond
	DefaultRefusedFor       = 2 * time.Second
	DefaultMissingAfter     = 30 * time.Second
	DefaultReturnAfter      = 10 * time.Second
	DefaultNeighbourMargin  = time.Second
	DefaultMinTriedFraction = 0.5
	DefaultMaxEndpoints     = 16384
)

func (o MembershipOptions) withDefaults() MembershipOptions {
	setDuration(&o.ProbeAfter, DefaultProbeAfter)
	setDuration(&o.SilentAfter, DefaultSilentAfter)
	setDuration(&o.RefusedFor, DefaultRefusedFor)
	setDuration(&o.MissingAfter, DefaultMissingAfter)
	setDuration(&o.ReturnAfter, DefaultReturnAfter)
	setDuration(&o.NeighbourMargin, DefaultNeighbourMargin)
	if o.MinTriedFraction <= 0 {
		o.MinTriedFraction = DefaultMinTriedFraction
	}
	if o.MaxEndpoints <= 0 {
		o.MaxEndpoints = DefaultMaxEndpoints
	}
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// ChangeKind tells what happened to an endpoint.
type ChangeKind string

// The kinds of Change.
const (
	ChangeJoined    ChangeKind = "joined"    // first seen
	ChangeMoved     ChangeKind = "moved"     // other VM, class, zone or address
	ChangeLeaving   ChangeKind = "leaving"   // gets no new work from now on
	ChangeReturned  ChangeKind = "returned"  // may get work again
	ChangeRestarted ChangeKind = "restarted" // other incarnation: its cache is empty
	ChangeRemoved   ChangeKind = "gone"      // forgotten
)

// Change is one event of the membership, for tables keyed by endpoint.
type Change struct {
	Kind        ChangeKind
	Endpoint    EndpointID
	Incarnation Incarnation // after the change
}

// Member is an endpoint with what is known of it.
type Member struct {
	Endpoint
	Incarnation Incarnation
	Load        Load
	LastReport  time.Time `json:"Heard"` // when it last spoke to this daemon; zero: never
	Leaving     bool      // by its own word or by the list's
	Doubtful    bool      // silent or refused; tried only to keep the floor
	Listed      bool      // the newest list has it
}

// member is a row of the table.
type member struct {
	Endpoint
	reportState
	load            Load
	lastReport      time.Time // last word to this daemon
	lastProbe       time.Time // last probe
	unansweredSince time.Time // first probe since the last word; zero: none open
	refusedUntil    time.Time // until when refused
	lastListed      time.Time // last list that had it
	liveSince       time.Time // since when the list says live without a break
	leaving         bool      // by the list, with ReturnAfter applied
	unlisted        bool      // not in the newest list
	group           int       // place in Membership.counts
}

// Membership joins the platform's lagging list of VMs with what endpoints say
// in their answers, and gives the endpoints that may get new work. It is not
// safe for concurrent use.
type Membership struct {
	o       MembershipOptions
	members map[EndpointID]*member
	rows    []*member    // the members by id
	counts  []groupCount // by member.cell; scratch of AppendUsable
	dropped int          // entries of the newest list beyond MaxEndpoints
}

// NewMembership returns a membership without endpoints.
func NewMembership(o MembershipOptions) *Membership {
	return &Membership{o: o.withDefaults(), members: map[EndpointID]*member{}}
}

// Len is the number of endpoints in the table.
func (m *Membership) Len() int { return len(m.members) }

// Dropped is the number of entries that did not fit in the newest list.
func (m *Membership) Dropped() int { return m.dropped }

// SetList takes an answer of the platform. An empty one counts as failed: the
// fleet is fixed, so a list without endpoints is the list's fault, which shows
// as every request refused at once; ignoring it keeps the fleet serving.
func (m *Membership) SetList(now time.Time, list []Endpoint) []Change {
	if len(list) == 0 {
		return m.Expire(now)
	}
	m.dropped = 0
	for _, r := range m.members {
		r.unlisted = true
	}
	var changes []Change
	for _, e := range list {
		changes = m.applyListEntry(now, e, changes)
	}
	m.rebuildRows()
	return append(changes, m.Expire(now)...)
}

// applyListEntry takes one entry of the list.
func (m *Membership) applyListEntry(now time.Time, e Endpoint, changes []Change) []Change {
	r, known := m.members[e.ID]
	if !known {
		if len(m.members) >= m.o.MaxEndpoints {
			m.dropped++
			return changes
		}
		r = &member{Endpoint: e, liveSince: now, lastListed: now, leaving: e.State == VMLeaving}
		m.members[e.ID] = r
		return append(changes, Change{ChangeJoined, e.ID, 0})
	}
	r.unlisted, r.lastListed = false, now
	if moved(r.Endpoint, e) {
		// Another process stands behind the name: nothing heard holds for it.
		*r = member{Endpoint: e, liveSince: now, lastListed: now, leaving: e.State == VMLeaving}
		return append(changes, Change{ChangeMoved, e.ID, 0})
	}
	return m.applyListState(now, r, e.State, changes)
}

func moved(a, b Endpoint) bool {
	return a.Address != b.Address || a.VM != b.VM || a.Class != b.Class || a.Zone != b.Zone
}

// applyListState takes the list's word on a known endpoint. A stale page of the list
// may call a leaving VM live for a moment; work sent then would be cut when the
// VM goes, so "live" must last before it counts, unless the endpoint shows a
// new life.
func (m *Membership) applyListState(now time.Time, r *member, s VMState, changes []Change) []Change {
	was := r.State
	r.State = s
	if s == VMLeaving {
		r.liveSince = time.Time{}
		if r.leaving {
			return changes
		}
		r.leaving = true
		return append(changes, Change{ChangeLeaving, r.ID, r.Incarnation})
	}
	if was == VMLeaving || r.liveSince.IsZero() {
		r.liveSince = now
	}
	if r.leaving && now.Sub(r.liveSince) >= m.o.ReturnAfter {
		r.leaving = false
		return append(changes, Change{ChangeReturned, r.ID, r.Incarnation})
	}
	return changes
}

// ApplyReport takes what an endpoint said of itself to this daemon; l.At is when
// it was true by this daemon's clock. A report that is older than the newest
// one is dropped: it may come from a life that has ended.
func (m *Membership) ApplyReport(now time.Time, id EndpointID, l Load) []Change {
	r, known := m.members[id]
	if !known {
		return nil
	}
	if l.At.IsZero() || l.At.After(now) {
		l.At = now
	}
	if l.At.Before(r.load.At) || l.At.Before(r.At) && l.Incarnation != r.Incarnation {
		return nil
	}
	r.load, r.lastReport = l, l.At
	r.unansweredSince, r.refusedUntil = time.Time{}, time.Time{}
	if l.At.Before(r.At) {
		return nil // a neighbour heard something newer of this life
	}
	return m.applyEvidence(now, r, Evidence{id, l.Incarnation, l.Draining, l.At}, nil)
}

// applyEvidence adopts newer evidence and names what changed by it.
func (m *Membership) applyEvidence(now time.Time, r *member, e Evidence, changes []Change) []Change {
	before := r.Evidence
	r.apply(now, e)
	if before.Incarnation != 0 && before.Incarnation != r.Incarnation {
		changes = append(changes, Change{ChangeRestarted, r.ID, r.Incarnation})
		if r.leaving && r.State == VMLive {
			r.leaving = false
			changes = append(changes, Change{ChangeReturned, r.ID, r.Incarnation})
		}
	}
	switch {
	case r.Draining && !before.Draining:
		changes = append(changes, Change{ChangeLeaving, r.ID, r.Incarnation})
	case !r.Draining && before.Draining:
		changes = append(changes, Change{ChangeReturned, r.ID, r.Incarnation})
	}
	return changes
}

// RecordRefusal says that the endpoint took no connection, or none of the request.
func (m *Membership) RecordRefusal(now time.Time, id EndpointID) {
	if r, known := m.members[id]; known {
		r.refusedUntil = now.Add(m.o.RefusedFor)
	}
}

// RecordDraining says that the endpoint refused work since it is leaving.
func (m *Membership) RecordDraining(now time.Time, id EndpointID) []Change {
	r, known := m.members[id]
	if !known {
		return nil
	}
	r.lastReport, r.unansweredSince = now, time.Time{}
	return m.applyEvidence(now, r, Evidence{id, r.Incarnation, true, now}, nil)
}

// RecordProbe says that the endpoint was sent a probe, see Probes.
func (m *Membership) RecordProbe(now time.Time, id EndpointID) {
	r, known := m.members[id]
	if !known {
		return
	}
	r.lastProbe = now
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

// ApplyNeighbourEvidence takes what a neighbour heard. A life that has ended here is never
// taken up again on a neighbour's word, whatever its clock says; an
// endpoint's own word to this daemon always counts more, see Reported.
func (m *Membership) ApplyNeighbourEvidence(now time.Time, es []Evidence) []Change {
	var changes []Change
	for _, e := range es {
		r, known := m.members[e.Endpoint]
		if !known || e.Incarnation == 0 || r.hasEnded(e.Incarnation) {
			continue
		}
		if e.At.After(now) {
			e.At = now
		}
		if !r.At.IsZero() && e.At.Sub(r.At) < m.neighbourMargin(r, e) {
			continue
		}
		changes = m.applyEvidence(now, r, e, changes)
	}
	return changes
}

// neighbourMargin is how much newer than the own evidence a neighbour's must be. That the
// same life now leaves counts without one: taken wrongly it costs the endpoint
// some work until it speaks again, left out wrongly it costs a request.
func (m *Membership) neighbourMargin(r *member, e Evidence) time.Duration {
	if e.Draining && e.Incarnation == r.Incarnation {
		return time.Nanosecond
	}
	return m.o.NeighbourMargin
}

// Expire applies what the passing of time alone decides. The shell calls it
// every few hundred milliseconds.
func (m *Membership) Expire(now time.Time) []Change {
	var changes []Change
	for _, r := range m.rows {
		if !m.canRemove(now, r) {
			continue
		}
		delete(m.members, r.ID)
		changes = append(changes, Change{ChangeRemoved, r.ID, r.Incarnation})
	}
	if len(changes) > 0 {
		m.rebuildRows()
	}
	return changes
}

// canRemove tells whether both the list and the endpoint have been silent
// for long enough. One of them alone is not enough: a list that lost half of
// its rows would take half of the fleet away, and an endpoint that is cut off
// from this daemon may come back.
func (m *Membership) canRemove(now time.Time, r *member) bool {
	if !r.unlisted || now.Sub(r.lastListed) < m.o.MissingAfter {
		return false
	}
	return m.doubtful(now, r)
}

// doubtful tells whether the endpoint was asked and gave no answer.
func (m *Membership) doubtful(now time.Time, r *member) bool {
	if now.Before(r.refusedUntil) {
		return true
	}
	return !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= m.o.SilentAfter
}

// rebuildRows brings the rows and their cells in line with the table.
func (m *Membership) rebuildRows() {
	m.rows = m.rows[:0]
	cells := map[group]int{}
	for _, r := range m.members {
		m.rows = append(m.rows, r)
		c := group{r.Class, r.Zone}
		if _, known := cells[c]; !known {
			cells[c] = len(cells)
		}
		r.group = cells[c]
	}
	m.counts = make([]groupCount, len(cells))
	slices.SortFunc(m.rows, func(a, b *member) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
