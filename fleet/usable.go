package fleet

import (
	"math"
	"slices"
	"time"
)

// group identifies the endpoints to which MinTriedFraction applies together.
type group struct {
	class string
	zone  ZoneID
}

// groupCount counts the endpoints of a group that are not leaving, and those of them that
// are not doubtful.
type groupCount struct{ staying, responsive int }

// needsDoubtful reports whether doubtful endpoints of the group are usable.
func (c groupCount) needsDoubtful(fraction float64) bool {
	return c.responsive < int(math.Ceil(fraction*float64(c.staying)))
}

// Usable returns the endpoints that may receive new requests, sorted by ID.
//
// Leaving endpoints are never included. Doubtful ones are included, marked as such, if
// the fraction of other endpoints of their class and zone is below MinTriedFraction: if
// this daemon's own network fails, all endpoints appear to be down, and trying them is
// better than refusing all requests.
func (m *Membership) Usable(now time.Time) []Member {
	return m.AppendUsable(make([]Member, 0, len(m.rows)), now)
}

// AppendUsable is like Usable but appends to a slice, for frequent calls.
func (m *Membership) AppendUsable(to []Member, now time.Time) []Member {
	clear(m.counts)
	for _, r := range m.rows {
		if r.notLeaving() {
			m.counts[r.group].staying++
			if !m.doubtful(now, r) {
				m.counts[r.group].responsive++
			}
		}
	}
	for _, r := range m.rows {
		if !r.notLeaving() {
			continue
		}
		doubtful := m.doubtful(now, r)
		if !doubtful || m.counts[r.group].needsDoubtful(m.o.MinTriedFraction) {
			to = append(to, r.snapshot(doubtful))
		}
	}
	return to
}

// All returns all endpoints of the table, sorted by ID.
func (m *Membership) All(now time.Time) []Member {
	return m.AppendAll(make([]Member, 0, len(m.rows)), now)
}

// AppendAll is like All but appends to a slice, for frequent calls.
func (m *Membership) AppendAll(to []Member, now time.Time) []Member {
	for _, r := range m.rows {
		to = append(to, r.snapshot(m.doubtful(now, r)))
	}
	return to
}

// notLeaving reports whether neither the list nor the endpoint reports that it is leaving.
func (r *member) notLeaving() bool { return !r.leaving && !r.Draining }

func (r *member) snapshot(doubtful bool) Member {
	return Member{
		Endpoint:    r.Endpoint,
		Incarnation: r.Incarnation,
		Load:        r.load,
		LastReport:  r.lastReport,
		Leaving:     !r.notLeaving(),
		Doubtful:    doubtful,
		Listed:      !r.unlisted,
	}
}

// Probes returns up to limit endpoints whose load should be requested, those with the
// oldest probe first. Answers to requests carry reports too, so busy endpoints are not
// probed.
func (m *Membership) Probes(now time.Time, limit int) []Endpoint {
	var due []*member
	for _, r := range m.rows {
		last := r.lastProbe
		if r.lastReport.After(last) {
			last = r.lastReport
		}
		if now.Sub(last) >= m.o.ProbeAfter {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *member) int { return a.lastProbe.Compare(b.lastProbe) })
	due = due[:min(limit, len(due))]
	probes := make([]Endpoint, 0, len(due))
	for _, r := range due {
		probes = append(probes, r.Endpoint)
	}
	return probes
}

// RecentEvidence returns up to limit evidence entries that changed within the given time,
// newest first, for digests to the neighbours. Unchanged evidence is not repeated: with
// thousands of endpoints it would exceed the budget for control traffic.
func (m *Membership) RecentEvidence(now time.Time, within time.Duration, limit int) []Evidence {
	var rows []*member
	for _, r := range m.rows {
		if !r.lastChange.IsZero() && now.Sub(r.lastChange) <= within {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b *member) int { return b.lastChange.Compare(a.lastChange) })
	rows = rows[:min(limit, len(rows))]
	out := make([]Evidence, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.Evidence)
	}
	return out
}
