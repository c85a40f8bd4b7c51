// Package pools derives from the usable endpoints the pools that placement chooses
// from: one of each service, and for each model, weight version and lane of a service
// one of its engines.
//
// A Table takes one endpoint's change at a time and tells a Sink what changes in the
// pools, so that a change costs the same however many endpoints there are. It does no
// I/O and reads no clock, and is not safe for concurrent use.
package pools

import (
	"math"
	"strconv"

	"github.com/merlindock/merlindock/fleet"
)

// Subpool is the kind of engines that a prompt goes to.
type Subpool uint8

// The lanes.
const (
	Long Subpool = iota
	Short
	SubpoolCount
)

var laneNames = [SubpoolCount]string{"long", "short"}

// ServicePool is the pool of all endpoints of a service.
func ServicePool(service string) string { return service }

// ModelPool is the pool of the engines of a service that have a version of a model, for
// one lane.
func ModelPool(service, model string, version int64, l Subpool) string {
	return service + "\x00" + model + "\x00" + strconv.FormatInt(version, 10) + "\x00" + laneNames[l]
}

// Sink takes changes of pools.
type Sink interface {
	Join(pool string, e fleet.Endpoint)
	Leave(pool string, id fleet.EndpointID)
}

// Endpoint is an endpoint with the weight version of each of its models.
type Endpoint struct {
	fleet.Endpoint
	Versions map[string]int64
}

// Counts are the usable engines of a model by version.
type Counts struct {
	ByVersion map[int64]int
	BySubpool [SubpoolCount]map[int64]int
}

// Table is the pools. Make it with New.
type Table struct {
	sink    Sink
	part    float64 // of the engines for short prompts
	members map[fleet.EndpointID]*member
	models  map[modelKey]*model
}

// modelKey names the engines of a service that have a model.
type modelKey struct{ service, model string }

// member is an endpoint as it is in the pools.
type member struct {
	fleet.Endpoint
	out     bool // it gets no work for the moment
	limited bool // it names a limit
	hash    uint64
	engines []engine
}

// engine is a member's place among the engines of one model.
type engine struct {
	of      *model
	version int64
}

// New returns a Table without endpoints. part is the part of the engines that is for
// short prompts.
func New(sink Sink, part float64) *Table {
	return &Table{sink: sink, part: part, members: map[fleet.EndpointID]*member{}, models: map[modelKey]*model{}}
}

// Put adds an endpoint, or replaces what is known of it. out says that it gets no work
// for the moment, limited that it names a limit of requests.
func (t *Table) Put(e Endpoint, out, limited bool) {
	old := t.members[e.ID]
	if old != nil && (old.Class != e.Class || old.Zone != e.Zone || old.Address != e.Address) {
		t.Remove(e.ID)
		old = nil
	}
	if old == nil {
		old = &member{Endpoint: e.Endpoint, hash: laneHash(e.ID)}
		t.members[e.ID] = old
		t.sink.Join(ServicePool(e.Class), e.Endpoint)
	}
	if old.out == out && old.limited == limited && old.has(e.Versions) {
		return
	}
	t.withdraw(old)
	old.out, old.limited = out, limited
	for name, version := range e.Versions {
		t.enter(old, modelKey{e.Class, name}, version)
	}
}

// enter puts a member into the pools of a model.
func (t *Table) enter(m *member, key modelKey, version int64) {
	of := t.modelOf(key)
	m.engines = append(m.engines, engine{of, version})
	of.insert(m, version, t.sink)
	of.spread(t.part, t.sink)
}

// has tells whether the member's engines are those of the versions.
func (m *member) has(versions map[string]int64) bool {
	if len(m.engines) != len(versions) {
		return false
	}
	for _, e := range m.engines {
		if v, ok := versions[e.of.key.model]; !ok || v != e.version {
			return false
		}
	}
	return true
}

// Remove takes an endpoint out of all pools.
func (t *Table) Remove(id fleet.EndpointID) {
	m := t.members[id]
	if m == nil {
		return
	}
	t.withdraw(m)
	t.sink.Leave(ServicePool(m.Class), id)
	delete(t.members, id)
}

// withdraw takes a member out of the pools of its models.
func (t *Table) withdraw(m *member) {
	for _, e := range m.engines {
		e.of.remove(m, e.version, t.sink)
		e.of.spread(t.part, t.sink)
		if len(e.of.versions) == 0 {
			delete(t.models, e.of.key)
		}
	}
	m.engines = m.engines[:0]
}

// SetSuspended says whether an endpoint gets work for the moment.
func (t *Table) SetSuspended(id fleet.EndpointID, out bool) {
	if m := t.members[id]; m != nil && m.out != out {
		t.move(m, func() { m.out = out })
	}
}

// SetLimited says whether an endpoint names a limit of requests. Those that do come
// last among the engines for short prompts: they serve few long prompts a second, and
// many short ones.
func (t *Table) SetLimited(id fleet.EndpointID, limited bool) {
	if m := t.members[id]; m != nil && m.limited != limited {
		t.move(m, func() { m.limited = limited })
	}
}

// move changes what decides on the pools of a member's models.
func (t *Table) move(m *member, change func()) {
	engines := append([]engine(nil), m.engines...)
	t.withdraw(m)
	change()
	for _, e := range engines {
		t.enter(m, e.of.key, e.version)
	}
}

// SetShortFraction sets the part of the engines that is for short prompts.
func (t *Table) SetShortFraction(part float64) {
	if part == t.part {
		return
	}
	t.part = part
	for _, m := range t.models {
		m.spread(part, t.sink)
	}
}

// Counts returns the usable engines of a model. Its maps are the Table's own.
func (t *Table) Counts(service, name string) Counts {
	m := t.models[modelKey{service, name}]
	if m == nil {
		return Counts{}
	}
	return m.counts
}

// EngineCount is the number of usable engines of a model.
func (t *Table) EngineCount(service, name string) int {
	if m := t.models[modelKey{service, name}]; m != nil {
		return m.in
	}
	return 0
}

func (t *Table) modelOf(key modelKey) *model {
	m := t.models[key]
	if m == nil {
		m = &model{key: key, counts: Counts{ByVersion: map[int64]int{}}}
		for l := range m.counts.BySubpool {
			m.counts.BySubpool[l] = map[int64]int{}
		}
		t.models[key] = m
	}
	return m
}

// ShortCount is how many of n engines are for short prompts.
func ShortCount(part float64, n int) int {
	return max(1, min(int(math.Round(part*float64(n))), n-1))
}
