package pools

import (
	"cmp"
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
)

// model is the engines of one model of a service.
//
// The engines of a version stand in one order, which is the same for all daemons. The
// first of them are for short prompts, the others for long ones. A change moves the
// bounds between the lanes by an engine or two, and only the engines in between change
// their pools.
type model struct {
	key      modelKey
	in       int        // usable engines
	versions []*version // newest first
	counts   Counts
}

// version is the engines that have one weight version.
type version struct {
	number  int64
	pool    [SubpoolCount]string
	ordered []*member // that get work
	out     []*member // that get none for the moment; they are in the pools of both lanes
	// shortEnd and longFrom bound the lanes in ordered: engines before shortEnd are for
	// short prompts, those from longFrom on for long ones.
	shortEnd, longFrom int
	filled             [SubpoolCount]bool // the lane has a usable engine
}

func laneHash(id fleet.EndpointID) uint64 { return hash.Text("lane/" + string(id)) }

// compare is the order of the engines of a version.
func compare(a, b *member) int {
	if a.limited != b.limited {
		if a.limited {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

func (m *model) find(number int64) (int, bool) {
	return slices.BinarySearchFunc(m.versions, number, func(v *version, n int64) int { return cmp.Compare(n, v.number) })
}

// insert adds an engine, for the lane whose engines it comes between. spread has to
// follow.
func (m *model) insert(e *member, number int64, sink Sink) {
	i, found := m.find(number)
	if !found {
		v := &version{number: number}
		for l := range v.pool {
			v.pool[l] = ModelPool(m.key.service, m.key.model, number, Subpool(l))
		}
		m.versions = slices.Insert(m.versions, i, v)
	}
	v := m.versions[i]
	if e.out {
		v.out = append(v.out, e)
		for l, filled := range v.filled {
			if filled {
				sink.Join(v.pool[l], e.Endpoint)
			}
		}
		return
	}
	m.in++
	at, _ := slices.BinarySearchFunc(v.ordered, e, compare)
	v.ordered = slices.Insert(v.ordered, at, e)
	if at < v.shortEnd {
		v.shortEnd++
		sink.Join(v.pool[Short], e.Endpoint)
	}
	if at >= v.longFrom {
		sink.Join(v.pool[Long], e.Endpoint)
	} else {
		v.longFrom++
	}
}

// remove takes an engine out. spread has to follow.
func (m *model) remove(e *member, number int64, sink Sink) {
	i, found := m.find(number)
	if !found {
		return
	}
	v := m.versions[i]
	if e.out {
		v.out = slices.DeleteFunc(v.out, func(o *member) bool { return o == e })
		for l, filled := range v.filled {
			if filled {
				sink.Leave(v.pool[l], e.ID)
			}
		}
		return
	}
	at, found := slices.BinarySearchFunc(v.ordered, e, compare)
	if !found {
		return
	}
	m.in--
	v.ordered = slices.Delete(v.ordered, at, at+1)
	if at < v.shortEnd {
		v.shortEnd--
		sink.Leave(v.pool[Short], e.ID)
	}
	if at >= v.longFrom {
		sink.Leave(v.pool[Long], e.ID)
	} else {
		v.longFrom--
	}
}

// spread parts the engines among the lanes. The newest come first: short prompts have
// nothing in a cache that speaks for older weights, and while a rollout is under way
// engines of both would be kept for them. A single engine serves both lanes.
func (m *model) spread(part float64, sink Sink) {
	k := ShortCount(part, m.in)
	for _, v := range m.versions {
		n := len(v.ordered)
		short := min(k, n)
		k -= short
		if m.in == 1 {
			v.setBounds(n, 0, sink)
		} else {
			v.setBounds(short, short, sink)
		}
		v.fill(sink)
		m.count(v)
	}
	m.versions = slices.DeleteFunc(m.versions, func(v *version) bool { return len(v.ordered)+len(v.out) == 0 })
}

// setBounds moves the bounds between the lanes.
func (v *version) setBounds(shortEnd, longFrom int, sink Sink) {
	for ; v.shortEnd < shortEnd; v.shortEnd++ {
		sink.Join(v.pool[Short], v.ordered[v.shortEnd].Endpoint)
	}
	for ; v.longFrom > longFrom; v.longFrom-- {
		sink.Join(v.pool[Long], v.ordered[v.longFrom-1].Endpoint)
	}
	for ; v.shortEnd > shortEnd; v.shortEnd-- {
		sink.Leave(v.pool[Short], v.ordered[v.shortEnd-1].ID)
	}
	for ; v.longFrom < longFrom; v.longFrom++ {
		sink.Leave(v.pool[Long], v.ordered[v.longFrom].ID)
	}
}

// fill keeps the engines that get no work for the moment in the pools of both lanes, so
// that they keep their place while they are away. A lane without a usable engine has no
// pool.
func (v *version) fill(sink Sink) {
	for l, n := range v.lanes() {
		filled := n > 0
		if filled == v.filled[l] {
			continue
		}
		v.filled[l] = filled
		for _, e := range v.out {
			if filled {
				sink.Join(v.pool[l], e.Endpoint)
			} else {
				sink.Leave(v.pool[l], e.ID)
			}
		}
	}
}

// lanes is the number of usable engines of each lane.
func (v *version) lanes() [SubpoolCount]int {
	return [SubpoolCount]int{Short: v.shortEnd, Long: len(v.ordered) - v.longFrom}
}

func (m *model) count(v *version) {
	setCount(m.counts.ByVersion, v.number, len(v.ordered))
	for l, n := range v.lanes() {
		setCount(m.counts.BySubpool[l], v.number, n)
	}
}

func setCount(counts map[int64]int, version int64, n int) {
	if n > 0 {
		counts[version] = n
	} else {
		delete(counts, version)
	}
}
