package fleet

import (
	"math"
	"slices"
	"time"
)

// cell is a group of endpoints for which the floor is kept.
type cell struct {
	class string
	zone  ZoneID
}

// Usable returns the endpoints that may get new work, by id.
//
// A leaving endpoint is never among them. A silent or refused one is, marked
// Doubtful, where fewer than the floor of its class and zone would be left:
// when this daemon's own network is at fault every endpoint looks dead, and
// trying them costs less than refusing everything.
func (m *Membership) Usable(now time.Time) []Member {
	all := m.All(now)
	total, clear := map[cell]int{}, map[cell]int{}
	for i := range all {
		e := &all[i]
		if e.Leaving {
			continue
		}
		c := cell{e.Class, e.Zone}
		total[c]++
		if !e.Doubtful {
			clear[c]++
		}
	}
	return slices.DeleteFunc(all, func(e Member) bool {
		c := cell{e.Class, e.Zone}
		floor := int(math.Ceil(m.o.FloorShare * float64(total[c])))
		return e.Leaving || e.Doubtful && clear[c] >= floor
	})
}

// All returns every endpoint of the table, by id.
func (m *Membership) All(now time.Time) []Member {
	all := make([]Member, 0, len(m.order))
	for _, id := range m.order {
		r := m.members[id]
		all = append(all, Member{
			Endpoint:    r.Endpoint,
			Incarnation: r.Incarnation,
			Load:        r.load,
			Heard:       r.heard,
			Leaving:     r.leaving || r.Draining,
			Doubtful:    m.doubtful(now, r),
			Listed:      !r.missing,
		})
	}
	return all
}

// Probes returns up to limit endpoints that should be asked for their load, the
// ones asked longest ago first. Every answer to a request counts as a word
// too, so that a busy endpoint is never asked.
func (m *Membership) Probes(now time.Time, limit int) []Endpoint {
	var due []*member
	for _, id := range m.order {
		r := m.members[id]
		last := r.asked
		if r.heard.After(last) {
			last = r.heard
		}
		if now.Sub(last) >= m.o.ProbeAfter {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *member) int { return a.asked.Compare(b.asked) })
	due = due[:min(limit, len(due))]
	probes := make([]Endpoint, 0, len(due))
	for _, r := range due {
		probes = append(probes, r.Endpoint)
	}
	return probes
}

// News returns up to limit pieces of evidence that changed within the given
// time, the newest first: what a digest to the neighbours carries. Evidence
// that has not changed is not sent again, since at thousands of endpoints it
// would fill the budget for control.
func (m *Membership) News(now time.Time, within time.Duration, limit int) []Evidence {
	var rows []*member
	for _, id := range m.order {
		r := m.members[id]
		if !r.changed.IsZero() && now.Sub(r.changed) <= within {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b *member) int { return b.changed.Compare(a.changed) })
	rows = rows[:min(limit, len(rows))]
	news := make([]Evidence, 0, len(rows))
	for _, r := range rows {
		news = append(news, r.Evidence)
	}
	return news
}
