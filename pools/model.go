package pools

import (
	"cmp"
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
)

// model holds the engines of one model of a service.
//
// The engines of each version have an order that is the same in all daemons. The first ones
// serve short prompts, the others long ones. A change moves the bounds between the subpools
// by an engine or two, and only the engines in between change pools.
type model struct {
	key      modelKey
	usable   int        // usable engines
	versions []*version // newest first
	counts   Counts
}

// version holds the engines that have one weight version.
type version struct {
	number    int64
	pool      [SubpoolCount]string
	active    []*member // engines that get requests
	suspended []*member // engines that get no requests for now; they are in the pools of both subpools
	// shortEnd and longFrom bound the subpools in active: engines before shortEnd serve
	// short prompts, those from longFrom on long ones.
	shortEnd, longFrom int
	hasPool            [SubpoolCount]bool // the subpool has a usable engine
}

func subpoolHash(id fleet.EndpointID) uint64 { return hash.Text("lane/" + string(id)) }

// compare orders the engines of a version.
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

// insert adds an engine to the subpool that its position falls into. rebalance must follow.
func (m *model) insert(e *member, number int64, sink Sink) {
	i, found := m.find(number)
	if !found {
		v := &version{number: number}
		for s := range v.pool {
			v.pool[s] = ModelPool(m.key.service, m.key.model, number, Subpool(s))
		}
		m.versions = slices.Insert(m.versions, i, v)
	}
	v := m.versions[i]
	if e.suspended {
		v.suspended = append(v.suspended, e)
		for s, usable := range v.hasPool {
			if usable {
				sink.Join(v.pool[s], e.Endpoint)
			}
		}
		return
	}
	m.usable++
	at, _ := slices.BinarySearchFunc(v.active, e, compare)
	v.active = slices.Insert(v.active, at, e)
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

// remove removes an engine. rebalance must follow.
func (m *model) remove(e *member, number int64, sink Sink) {
	i, found := m.find(number)
	if !found {
		return
	}
	v := m.versions[i]
	if e.suspended {
		v.suspended = slices.DeleteFunc(v.suspended, func(o *member) bool { return o == e })
		for s, usable := range v.hasPool {
			if usable {
				sink.Leave(v.pool[s], e.ID)
			}
		}
		return
	}
	at, found := slices.BinarySearchFunc(v.active, e, compare)
	if !found {
		return
	}
	m.usable--
	v.active = slices.Delete(v.active, at, at+1)
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

// rebalance divides the engines among the subpools. The newest versions come first in the
// short subpool: short prompts have no cached prefix that favours older weights, and during
// a rollout engines of both versions would otherwise be reserved for them. A single engine
// serves both subpools.
func (m *model) rebalance(fraction float64, sink Sink) {
	k := ShortCount(fraction, m.usable)
	for _, v := range m.versions {
		n := len(v.active)
		short := min(k, n)
		k -= short
		if m.usable == 1 {
			v.setBounds(n, 0, sink)
		} else {
			v.setBounds(short, short, sink)
		}
		v.updateSuspended(sink)
		m.updateCounts(v)
	}
	m.versions = slices.DeleteFunc(m.versions, func(v *version) bool { return len(v.active)+len(v.suspended) == 0 })
}

// setBounds moves the bounds between the subpools.
func (v *version) setBounds(shortEnd, longFrom int, sink Sink) {
	for ; v.shortEnd < shortEnd; v.shortEnd++ {
		sink.Join(v.pool[Short], v.active[v.shortEnd].Endpoint)
	}
	for ; v.longFrom > longFrom; v.longFrom-- {
		sink.Join(v.pool[Long], v.active[v.longFrom-1].Endpoint)
	}
	for ; v.shortEnd > shortEnd; v.shortEnd-- {
		sink.Leave(v.pool[Short], v.active[v.shortEnd-1].ID)
	}
	for ; v.longFrom < longFrom; v.longFrom++ {
		sink.Leave(v.pool[Long], v.active[v.longFrom].ID)
	}
}

// updateSuspended keeps suspended engines in the pools of both subpools, so that they keep
// their position while they get no requests. A subpool without a usable engine has no pool.
func (v *version) updateSuspended(sink Sink) {
	for s, n := range v.sizes() {
		usable := n > 0
		if usable == v.hasPool[s] {
			continue
		}
		v.hasPool[s] = usable
		for _, e := range v.suspended {
			if usable {
				sink.Join(v.pool[s], e.Endpoint)
			} else {
				sink.Leave(v.pool[s], e.ID)
			}
		}
	}
}

// sizes returns the number of usable engines of each subpool.
func (v *version) sizes() [SubpoolCount]int {
	return [SubpoolCount]int{Short: v.shortEnd, Long: len(v.active) - v.longFrom}
}

func (m *model) updateCounts(v *version) {
	setCount(m.counts.ByVersion, v.number, len(v.active))
	for s, n := range v.sizes() {
		setCount(m.counts.BySubpool[s], v.number, n)
	}
}

func setCount(counts map[int64]int, version int64, n int) {
	if n > 0 {
		counts[version] = n
	} else {
		delete(counts, version)
	}
}
