// Package pools derives the pools that placement chooses from: one of all endpoints of each
// service, and one of the engines for each model, weight version and subpool of a service.
//
// A Table applies changes of single endpoints and reports the resulting pool changes to a
// Sink, so that the cost of a change does not depend on the number of endpoints. The
// package does no I/O and reads no clock. A Table is not safe for concurrent use.
package pools

import (
	"math"
	"slices"
	"strconv"

	"github.com/merlindock/merlindock/fleet"
)

// Subpool is the part of a model's engines that serves prompts of one length class.
type Subpool uint8

// Subpools of a model.
const (
	Long Subpool = iota
	Short
	SubpoolCount
)

var subpoolNames = [SubpoolCount]string{"long", "short"}

// ServicePool returns the name of the pool of all endpoints of a service.
func ServicePool(service string) string { return service }

// ModelPool returns the name of the pool of a service's engines that have a version of a
// model and belong to the subpool.
func ModelPool(service, model string, version int64, s Subpool) string {
	return service + "\x00" + model + "\x00" + strconv.FormatInt(version, 10) + "\x00" + subpoolNames[s]
}

// Sink receives pool changes.
type Sink interface {
	Join(pool string, e fleet.Endpoint)
	Leave(pool string, id fleet.EndpointID)
}

// Endpoint is an endpoint with the weight version of each of its models.
type Endpoint struct {
	fleet.Endpoint
	Versions map[string]int64
}

// Counts are the numbers of usable engines of a model by weight version.
type Counts struct {
	ByVersion map[int64]int
	BySubpool [SubpoolCount]map[int64]int
}

// Table holds the pools. Create it with New.
type Table struct {
	sink          Sink
	shortFraction float64 // of the engines, for short prompts
	members       map[fleet.EndpointID]*member
	models        map[modelKey]*model
}

// modelKey identifies the engines of a service that have a model.
type modelKey struct{ service, model string }

// member is an endpoint's membership in the pools.
type member struct {
	fleet.Endpoint
	suspended bool // it gets no requests for now
	limited   bool // it reports a request limit
	hash      uint64
	engines   []modelEngine
}

// modelEngine is a member's entry among the engines of one model.
type modelEngine struct {
	model   *model
	version int64
}

// New returns a Table without endpoints. fraction is the share of the engines that
// serves short prompts.
func New(sink Sink, fraction float64) *Table {
	return &Table{sink: sink, shortFraction: fraction, members: map[fleet.EndpointID]*member{}, models: map[modelKey]*model{}}
}

// Put adds an endpoint or replaces its state. A suspended endpoint gets no requests for
// now; a limited one reports a request limit.
func (t *Table) Put(e Endpoint, suspended, limited bool) {
	old := t.members[e.ID]
	if old != nil && (old.Class != e.Class || old.Zone != e.Zone || old.Address != e.Address) {
		t.Remove(e.ID)
		old = nil
	}
	if old == nil {
		old = &member{Endpoint: e.Endpoint, hash: subpoolHash(e.ID)}
		t.members[e.ID] = old
		t.sink.Join(ServicePool(e.Class), e.Endpoint)
	}
	if old.suspended == suspended && old.limited == limited && old.hasVersions(e.Versions) {
		return
	}
	t.removeFromModels(old)
	old.suspended, old.limited = suspended, limited
	for name, version := range e.Versions {
		t.insert(old, modelKey{e.Class, name}, version)
	}
}

// insert adds a member to the pools of a model.
func (t *Table) insert(m *member, key modelKey, version int64) {
	target := t.modelOf(key)
	m.engines = append(m.engines, modelEngine{target, version})
	target.insert(m, version, t.sink)
	target.rebalance(t.shortFraction, t.sink)
}

// hasVersions reports whether the member's engines match the versions.
func (m *member) hasVersions(versions map[string]int64) bool {
	if len(m.engines) != len(versions) {
		return false
	}
	for _, e := range m.engines {
		if v, ok := versions[e.model.key.model]; !ok || v != e.version {
			return false
		}
	}
	return true
}

// Remove removes an endpoint from all pools.
func (t *Table) Remove(id fleet.EndpointID) {
	m := t.members[id]
	if m == nil {
		return
	}
	t.removeFromModels(m)
	t.sink.Leave(ServicePool(m.Class), id)
	delete(t.members, id)
}

// removeFromModels removes a member from the pools of its models.
func (t *Table) removeFromModels(m *member) {
	for _, e := range m.engines {
		e.model.remove(m, e.version, t.sink)
		e.model.rebalance(t.shortFraction, t.sink)
		if len(e.model.versions) == 0 {
			delete(t.models, e.model.key)
		}
	}
	m.engines = m.engines[:0]
}

// SetSuspended sets whether an endpoint gets no requests for now.
func (t *Table) SetSuspended(id fleet.EndpointID, suspended bool) {
	if m := t.members[id]; m != nil && m.suspended != suspended {
		t.reinsert(m, func() { m.suspended = suspended })
	}
}

// SetLimited sets whether an endpoint reports a request limit. Limited engines come last in
// the order, so that they are the last to serve short prompts: an engine serves few long
// prompts a second, and many short ones.
func (t *Table) SetLimited(id fleet.EndpointID, limited bool) {
	if m := t.members[id]; m != nil && m.limited != limited {
		t.reinsert(m, func() { m.limited = limited })
	}
}

// reinsert applies a change that affects a member's position in the pools of its models.
func (t *Table) reinsert(m *member, change func()) {
	engines := append([]modelEngine(nil), m.engines...)
	t.removeFromModels(m)
	change()
	for _, e := range engines {
		t.insert(m, e.model.key, e.version)
	}
}

// SetShortFraction sets the fraction of the engines that serves short prompts.
func (t *Table) SetShortFraction(fraction float64) {
	if fraction == t.shortFraction {
		return
	}
	t.shortFraction = fraction
	for _, m := range t.models {
		m.rebalance(fraction, t.sink)
	}
}

// Counts returns the numbers of usable engines of a model. The maps belong to the Table and
// must not be changed.
func (t *Table) Counts(service, name string) Counts {
	m := t.models[modelKey{service, name}]
	if m == nil {
		return Counts{}
	}
	return m.counts
}

// EngineCount returns the number of usable engines of a model.
func (t *Table) EngineCount(service, name string) int {
	if m := t.models[modelKey{service, name}]; m != nil {
		return m.usable
	}
	return 0
}

// Subpool returns the subpool of an engine among those of its first model. Of an engine that
// belongs to both or none, and of an endpoint without models, it returns Long.
func (t *Table) Subpool(id fleet.EndpointID) Subpool {
	m := t.members[id]
	if m == nil || len(m.engines) == 0 {
		return Long
	}
	e := m.engines[0]
	i, found := e.model.find(e.version)
	if !found {
		return Long
	}
	v := e.model.versions[i]
	if at, active := slices.BinarySearchFunc(v.active, m, compare); active && at < v.shortEnd && at < v.longFrom {
		return Short
	}
	return Long
}

func (t *Table) modelOf(key modelKey) *model {
	m := t.models[key]
	if m == nil {
		m = &model{key: key, counts: Counts{ByVersion: map[int64]int{}}}
		for s := range m.counts.BySubpool {
			m.counts.BySubpool[s] = map[int64]int{}
		}
		t.models[key] = m
	}
	return m
}

// ShortCount returns how many of n engines serve short prompts.
func ShortCount(fraction float64, n int) int {
	return max(1, min(int(math.Round(fraction*float64(n))), n-1))
}
