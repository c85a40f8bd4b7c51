package fleet

import (
	"math"
	"slices"
	"time"
)

// group is a group of endpoints for which the floor is kept.
type group struct {
	class string
	zone  ZoneID
}

// groupCount is how many endpoints of a cell stay, and how many are not doubtful.
type groupCount struct{ staying, responsive int }

// needsDoubtful tells whether doubtful endpoints of the cell are to be tried.
func (c groupCount) needsDoubtful(share float64) bool {
	return c.responsive < int(math.Ceil(share*float64(c.staying)))
}

// Usable returns the endpoints that may get new work, by id.
//
// A leaving endpoint is never among them. A silent or refused one is, marked
// Doubtful, where fewer than the floor of its class and zone would be left:
// when this daemon's own network is at fault every endpoint looks dead, and
// trying them costs less than refusing everything.
func (m *Membership) Usable(now time.Time) []Member {
	return m.AppendUsable(make([]Member, 0, len(m.rows)), now)
}

// AppendUsable is Usable with a slice to append to, for callers that ask often.
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

// All returns every endpoint of the table, by id.
func (m *Membership) All(now time.Time) []Member {
	return m.AppendAll(make([]Member, 0, len(m.rows)), now)
}

// AppendAll is All with a slice to append to, for callers that ask often.
func (m *Membership) AppendAll(to []Member, now time.Time) []Member {
	for _, r := range m.rows {
		to = append(to, r.snapshot(m.doubtful(now, r)))
	}
	return to
}

// notLeaving tells whether the endpoint is not leaving.
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

// Probes returns up to limit endpoints that should be asked for their load, the
// ones asked longest ago first. Every answer to a request counts as a word
// too, so that a busy endpoint is never asked.
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

// RecentEvidence returns up to limit pieces of evidence that changed within the given
// time, the newest first: what a digest to the neighbours carries. Evidence
// that has not changed is not sent again, since at thousands of endpoints it
// would fill the budget for control.
func (m *Membership) RecentEvidence(now time.Time, within time.Duration, limit int) []Evidence {
	var rows []*member
	for _, r := range m.rows {
		if !r.lastChange.IsZero() && now.Sub(r.lastChange) <= within {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b *member) int { return b.lastChange.Compare(a.lastChange) })
	rows = rows[:min(limit, len(rows))]
	news := make([]Evidence, 0, len(rows))
	for _, r := range rows {
		news = append(news, r.Evidence)
	}
	return news
}
