package fleet

import (
	"slices"
	"strings"
	"time"
)

// MembershipOptions holds the timeouts and limits by which a Membership combines the
// platform's list with the reports of endpoints. Zero fields take the defaults.
type MembershipOptions struct {
	// ProbeAfter is how long an endpoint may send no report before it is probed.
	ProbeAfter time.Duration
	// SilentAfter is how long a probe may stay unanswered before the endpoint is doubtful.
	SilentAfter time.Duration
	// RefusedFor is how long an endpoint is doubtful after it refused a connection, unless
	// it sends a report before.
	RefusedFor time.Duration
	// MissingAfter is how long a doubtful endpoint must be missing from the list before it
	// is removed.
	MissingAfter time.Duration
	// ReturnAfter is how long the list must show an endpoint as live after it had shown it
	// as leaving, before the endpoint may receive requests again.
	ReturnAfter time.Duration
	// NeighbourMargin is how much newer than the own evidence a neighbour's must be to be
	// applied. It must exceed the time that a digest takes to arrive.
	NeighbourMargin time.Duration
	// MinTriedFraction is the fraction of a class's endpoints in a zone below which
	// doubtful endpoints are usable too.
	MinTriedFraction float64
	// MaxEndpoints limits the table; further entries of the list are dropped.
	MaxEndpoints int
}

// Defaults of MembershipOptions.
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

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of Change.
const (
	ChangeJoined    ChangeKind = "joined"    // first seen
	ChangeMoved     ChangeKind = "moved"     // other VM, class, zone or address
	ChangeLeaving   ChangeKind = "leaving"   // receives no new requests from now on
	ChangeReturned  ChangeKind = "returned"  // may receive requests again
	ChangeRestarted ChangeKind = "restarted" // another incarnation: its cache is empty
	ChangeRemoved   ChangeKind = "gone"      // removed from the table
)

// Change is a change of the membership, for tables keyed by endpoint.
type Change struct {
	Kind        ChangeKind
	Endpoint    EndpointID
	Incarnation Incarnation // after the change
}

// Member is an endpoint with its state as known to this daemon.
type Member struct {
	Endpoint
	Incarnation Incarnation
	Load        Load
	LastReport  time.Time `json:"Heard"` // time of the last report to this daemon; zero: none
	Leaving     bool      // draining by its own report, or leaving by the list
	Doubtful    bool      // silent or refusing; used only below MinTriedFraction
	Listed      bool      // present in the newest list
}

// member is a row of the table.
type member struct {
	Endpoint
	reportState
	load            Load
	lastReport      time.Time // last report to this daemon
	lastProbe       time.Time // last probe
	unansweredSince time.Time // first probe since the last report; zero: none
	refusedUntil    time.Time // end of RefusedFor
	lastListed      time.Time // time of the last list with it
	liveSince       time.Time // start of the period in which all lists show it as live
	leaving         bool      // by the list, with ReturnAfter applied
	unlisted        bool      // missing from the newest list
	group           int       // index in Membership.counts
}

// Membership combines the platform's list of VMs, which lags, with the reports of
// endpoints in their answers, and determines the endpoints that may receive new
// requests. It is not safe for concurrent use.
type Membership struct {
	o       MembershipOptions
	members map[EndpointID]*member
	rows    []*member    // the members, sorted by ID
	counts  []groupCount // by member.group; reused by AppendUsable
	dropped int          // number of entries of the newest list beyond MaxEndpoints
}

// NewMembership returns a membership without endpoints.
func NewMembership(o MembershipOptions) *Membership {
	return &Membership{o: o.withDefaults(), members: map[EndpointID]*member{}}
}

// Len returns the number of endpoints in the table.
func (m *Membership) Len() int { return len(m.members) }

// Dropped returns the number of entries of the newest list that exceeded MaxEndpoints.
func (m *Membership) Dropped() int { return m.dropped }

// SetList applies a list of the platform and returns the changes. An empty list is taken
// for a failure and ignored: the fleet is fixed, so the fault is in the list, and applying
// it would refuse every request at once.
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

// applyListEntry applies one entry of the list.
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
		// The ID now belongs to another process, to which earlier reports do not apply.
		*r = member{Endpoint: e, liveSince: now, lastListed: now, leaving: e.State == VMLeaving}
		return append(changes, Change{ChangeMoved, e.ID, 0})
	}
	return m.applyListState(now, r, e.State, changes)
}

func moved(a, b Endpoint) bool {
	return a.Address != b.Address || a.VM != b.VM || a.Class != b.Class || a.Zone != b.Zone
}

// applyListState applies the state in the list to a known endpoint. An outdated replica of
// the list may show a leaving VM as live for a moment, and requests sent to it would be
// cut off when the VM stops. The endpoint is therefore leaving until the list has shown
// it as live for ReturnAfter, or the endpoint reports another incarnation.
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

// ApplyReport applies the load that an endpoint reported to this daemon; l.At is the time
// of the report by this daemon's clock. Reports older than the newest one are dropped, as
// they may come from an ended incarnation.
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
		return nil // a neighbour has newer evidence on this incarnation
	}
	return m.applyEvidence(now, r, Evidence{id, l.Incarnation, l.Draining, l.At}, nil)
}

// applyEvidence applies newer evidence and appends the resulting changes.
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

// RecordRefusal records that the endpoint refused the connection, or read nothing of the
// request.
func (m *Membership) RecordRefusal(now time.Time, id EndpointID) {
	if r, known := m.members[id]; known {
		r.refusedUntil = now.Add(m.o.RefusedFor)
	}
}

// RecordDraining records that the endpoint rejected a request because it is draining.
func (m *Membership) RecordDraining(now time.Time, id EndpointID) []Change {
	r, known := m.members[id]
	if !known {
		return nil
	}
	r.lastReport, r.unansweredSince = now, time.Time{}
	return m.applyEvidence(now, r, Evidence{id, r.Incarnation, true, now}, nil)
}

// RecordProbe records that a probe was sent to the endpoint, see Probes.
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

// ApplyNeighbourEvidence applies the evidence of a neighbour. An incarnation that has
// ended according to this daemon is never revived by it, whatever the neighbour's clock
// is. Reports to this daemon take precedence, see ApplyReport.
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

// neighbourMargin returns how much newer than the own evidence a neighbour's must be.
// There is no margin for evidence that the same incarnation is draining: if it is applied
// wrongly, the endpoint gets no requests until its next report; if it is ignored wrongly,
// a request fails.
func (m *Membership) neighbourMargin(r *member, e Evidence) time.Duration {
	if e.Draining && e.Incarnation == r.Incarnation {
		return time.Nanosecond
	}
	return m.o.NeighbourMargin
}

// Expire removes endpoints that have been silent and missing from the list for long
// enough. Call it every few hundred milliseconds.
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

// canRemove reports whether the endpoint has been missing from the list for MissingAfter
// and is doubtful as well. Neither suffices alone: a list that lost half of its rows would
// remove half of the fleet, and an endpoint that this daemon cannot reach may become
// reachable again.
func (m *Membership) canRemove(now time.Time, r *member) bool {
	if !r.unlisted || now.Sub(r.lastListed) < m.o.MissingAfter {
		return false
	}
	return m.doubtful(now, r)
}

// doubtful reports whether the endpoint refused a connection within RefusedFor or left a
// probe unanswered for SilentAfter.
func (m *Membership) doubtful(now time.Time, r *member) bool {
	if now.Before(r.refusedUntil) {
		return true
	}
	return !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= m.o.SilentAfter
}

// rebuildRows rebuilds the rows and their groups from the members.
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
