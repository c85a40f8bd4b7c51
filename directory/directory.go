// Package directory derives the endpoints that may receive requests from the entries
// that endpoints register in the platform's metadata store.
//
// An entry may arrive late, may disappear with an expired lease while its endpoint is
// still running, and may have been written by a process that does not know the format.
// The package does no I/O and reads no clock. A Directory is not safe for concurrent use.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// State is the state that an endpoint reports in its entry.
type State uint8

// States of an endpoint.
const (
	Ready State = iota
	Draining
)

// Entry is the registration of one endpoint.
type Entry struct {
	ID      string // chosen by the endpoint; some keep it over a restart
	Born    int64  // start of the process, Unix milliseconds; 0: not reported
	Service string
	Address string // IP:port
	Zone    fleet.ZoneID
	Build   string // version of its software; empty: unknown
	Slots   int
	State   State
	Models  map[string]int64 // weight version by model
	Orders  int64            // number of orders that the process has accepted
}

// EqualExceptOrders reports whether the entries are equal apart from the number of accepted
// orders, which has no effect on routing.
func (e Entry) EqualExceptOrders(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Service == other.Service && e.Address == other.Address &&
		e.Zone == other.Zone && e.Build == other.Build && e.Slots == other.Slots && e.State == other.State && maps.Equal(e.Models, other.Models)
}

// Endpoint is one incarnation of an endpoint with the state derived from its entry.
type Endpoint struct {
	Entry
	Key             fleet.EndpointID // differs between incarnations with the same ID
	Removed         bool             // its entry was removed
	RemovedAt       time.Time        // when this daemon read of the removal
	earliestRemoval time.Time        // the earliest time at which it may have been removed
	// Versions holds the highest weight version seen of each model, in the entry or in
	// answers. An incarnation never returns to older weights. The map may be shared
	// between endpoints: it is replaced, never modified.
	Versions map[string]int64

	leaving       bool     // it has announced its shutdown in an answer
	unlisted      bool     // its entry was missing after a restore of the store
	usable        bool     // as last returned by Changes
	changed       bool     // it is in Directory.changed
	replaced      bool     // another incarnation has its ID
	lapsedService *service // the service that lists it in lapsed, or nil
}

// PutResult states how an entry differs from the previous one of the same endpoint.
type PutResult uint8

// Results of Put.
const (
	HeartbeatOnly  PutResult = iota // nothing but the number of orders
	DetailChanged                   // fields without effect on routing
	RoutingChanged                  // fields that decide where requests may go
)

// Change is an endpoint that has become usable or unusable, or is usable and differs
// from what Changes returned before.
type Change struct {
	Endpoint *Endpoint
	Usable   bool
}

// Parameters for removed entries.
const (
	// lapseWindow is the time within which removed entries are attributed to one outage
	// of the store, in which leases expire, rather than to endpoints that left.
	lapseWindow = 3 * time.Second
	// outageDivisor sets the fraction of a service's ready entries that must be removed
	// within lapseWindow to count as an outage: more than one in three.
	outageDivisor = 3
	// removedRetention is how long a removed endpoint is kept.
	removedRetention = time.Minute
	// leavingRetention is how long the announced shutdown of an endpoint without an entry
	// is remembered. Its entry may return after the store was unavailable.
	leavingRetention = 10 * time.Minute
)

// Directory holds the endpoints by ID. Create it with New.
//
// The cost of a change does not depend on the number of endpoints: Changes looks at the
// endpoints that changed and at entries that lapsed recently, never at all endpoints.
type Directory struct {
	byID          map[string]*Endpoint
	interned      interner
	grace         time.Duration
	services      map[string]*service
	readyVersions map[string]map[int64]int // number of ready engines, by model and version
	changed       []*Endpoint
	removed       []*Endpoint                    // in the order of RemovedAt
	leaving       map[fleet.EndpointID]time.Time // when the shutdown was last announced
}

// service holds the counts of one service that outages are detected by.
type service struct {
	live   int         // number of ready endpoints
	lapsed []*Endpoint // removed within lapseWindow while they were ready
}

// New returns an empty Directory. An endpoint whose entry lapsed together with others
// stays usable for the grace period, which starts at the earliest time at which it may
// have left. Running endpoints register again about two seconds after the store is
// back. An endpoint that really left must get no requests after the time allowed for
// leaving, so the grace period must be shorter than that.
func New(grace time.Duration) *Directory {
	return &Directory{
		byID: map[string]*Endpoint{}, grace: grace, services: map[string]*service{}, readyVersions: map[string]map[int64]int{},
		leaving: map[fleet.EndpointID]time.Time{},
	}
}

// Key returns the ID of one incarnation of an endpoint: its own ID with the start of
// the process.
func Key(id string, born int64) fleet.EndpointID {
	return fleet.EndpointID(id + keySeparator + strconv.FormatInt(born, 36))
}

const keySeparator = "@"

// Put adds or updates the endpoint of an entry and returns how the entry differs from
// the previous one.
func (d *Directory) Put(e Entry) PutResult {
	old := d.byID[e.ID]
	if old != nil && !old.Removed && old.EqualExceptOrders(e) {
		old.Orders = e.Orders
		return HeartbeatOnly
	}
	d.interned.intern(&e)
	if key := Key(e.ID, e.Born); old == nil || old.Key != key {
		if old != nil {
			d.uncount(old)
			old.replaced = true
			d.markChanged(old)
		}
		_, leaving := d.leaving[key]
		next := &Endpoint{Entry: e, Key: key, Versions: e.Models, leaving: leaving}
		d.byID[e.ID] = next
		d.count(next)
		d.markChanged(next)
		return RoutingChanged
	}
	changed := old.Removed || old.State != e.State || old.Service != e.Service ||
		old.Address != e.Address || old.Build != e.Build || hasNewer(old.Versions, e.Models)
	d.uncount(old)
	old.Entry, old.Removed, old.unlisted = e, false, false
	old.Versions = mergeNewest(old.Versions, e.Models)
	d.count(old)
	d.markChanged(old)
	if changed {
		return RoutingChanged
	}
	return DetailChanged
}

// ready reports whether the endpoint's entry is present, current and in state Ready, and
// its shutdown is not announced.
func (e *Endpoint) ready() bool { return !e.Removed && !e.replaced && e.wasReady() }

// wasReady reports whether the endpoint was ready as of its last entry and answers.
func (e *Endpoint) wasReady() bool { return e.State == Ready && !e.leaving }

func (d *Directory) serviceOf(e *Endpoint) *service {
	s := d.services[e.Service]
	if s == nil {
		s = &service{}
		d.services[e.Service] = s
	}
	return s
}

// count adds a ready endpoint to the counts of its service and models.
func (d *Directory) count(e *Endpoint) { d.addToCounts(e, 1) }

// uncount removes it from them. Call it before modifying the endpoint.
func (d *Directory) uncount(e *Endpoint) { d.addToCounts(e, -1) }

func (d *Directory) addToCounts(e *Endpoint, n int) {
	if !e.ready() {
		return
	}
	d.serviceOf(e).live += n
	for model, v := range e.Versions {
		versions := d.readyVersions[model]
		if versions == nil {
			versions = map[int64]int{}
			d.readyVersions[model] = versions
		}
		if versions[v] += n; versions[v] == 0 {
			delete(versions, v)
		}
	}
}

func (d *Directory) markChanged(e *Endpoint) {
	if !e.changed {
		e.changed = true
		d.changed = append(d.changed, e)
	}
}

// Remove marks the endpoint's entry as removed, or as no longer readable. since is the
// earliest time at which that may have happened: a list that is read every second shows
// a removal up to a second late. It returns false if there is no such entry.
func (d *Directory) Remove(now, since time.Time, id string) bool {
	e := d.byID[id]
	if e == nil || e.Removed {
		return false
	}
	d.uncount(e)
	e.Removed, e.RemovedAt, e.earliestRemoval = true, now, since
	d.removed = append(d.removed, e)
	if s := d.serviceOf(e); e.wasReady() && e.lapsedService != s {
		e.lapsedService = s
		s.lapsed = append(s.lapsed, e)
	}
	d.markChanged(e)
	return true
}

// Retain removes all entries whose ID is not present and returns their IDs, sorted. It
// is for snapshots: the records of the removals may have been lost together with the
// store's history.
func (d *Directory) Retain(now, since time.Time, present map[string]bool) []string {
	var removed []string
	for id := range d.byID {
		if !present[id] && d.Remove(now, since, id) {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// RetainRestored is Retain for the first snapshot after the store was restored from a
// copy. The entries that are missing were probably lost with the records after the copy,
// and their endpoints register again, so they stay usable for the grace period.
func (d *Directory) RetainRestored(now time.Time, present map[string]bool) []string {
	missing := d.Retain(now, now, present)
	for _, id := range missing {
		d.byID[id].unlisted = true
	}
	return missing
}

// EndedBefore reports whether the entry, in state ready, contradicts what was read before:
// that this incarnation drains or is gone.
func (d *Directory) EndedBefore(e Entry) bool {
	old := d.byID[e.ID]
	return old != nil && old.Key == Key(e.ID, e.Born) && e.State == Ready && (old.Removed && !old.unlisted || old.State == Draining)
}

// ObserveVersion records the weight version in an answer of this incarnation, and
// reports whether it is higher than the known one.
func (d *Directory) ObserveVersion(key fleet.EndpointID, id, model string, version int64) bool {
	e := d.byID[id]
	if e == nil || e.Key != key || e.Versions[model] >= version {
		return false
	}
	d.uncount(e)
	e.Versions = mergeNewest(e.Versions, map[string]int64{model: version})
	d.count(e)
	d.markChanged(e)
	return true
}

// MarkLeaving records that this incarnation announced its shutdown in an answer, and
// reports whether that is new. The announcement holds until the incarnation ends: its
// entry may say for a long time that it is ready, as entries lag behind answers.
func (d *Directory) MarkLeaving(now time.Time, key fleet.EndpointID, id string) bool {
	_, known := d.leaving[key]
	d.leaving[key] = now
	if known {
		return false
	}
	if e := d.byID[id]; e != nil && e.Key == key {
		d.uncount(e)
		e.leaving = true
		d.markChanged(e)
	}
	return true
}

// Find returns the current incarnation of the endpoint with the ID, or nil.
func (d *Directory) Find(id string) *Endpoint { return d.byID[id] }

// ReadyCount returns the number of ready endpoints of a service.
func (d *Directory) ReadyCount(service string) int {
	if s := d.services[service]; s != nil {
		return s.live
	}
	return 0
}

// HasOlderVersion reports whether a ready engine has the model with weights older than
// the version.
func (d *Directory) HasOlderVersion(model string, version int64) bool {
	for v, n := range d.readyVersions[model] {
		if n > 0 && v < version {
			return true
		}
	}
	return false
}

// Expire drops endpoints that were removed more than a minute ago, so that replaced
// endpoints do not accumulate.
func (d *Directory) Expire(now time.Time) {
	for len(d.removed) > 0 && now.Sub(d.removed[0].RemovedAt) > removedRetention {
		e := d.removed[0]
		d.removed = d.removed[1:]
		if e.Removed && d.byID[e.ID] == e && now.Sub(e.RemovedAt) > removedRetention {
			delete(d.byID, e.ID)
		}
	}
	for key, at := range d.leaving {
		id := key[:strings.LastIndex(string(key), keySeparator)]
		if e := d.byID[string(id)]; (e == nil || e.Key != key) && now.Sub(at) > leavingRetention {
			delete(d.leaving, key)
		}
	}
}

// Changes returns what changed since the last call, including changes by the passing of
// time. Call it after each modification of the directory, and periodically.
//
// An entry that is removed alone means that its endpoint left. If many entries of a
// service are removed at once, the store's leases expired in an outage and the endpoints
// are still running; dropping them would refuse all requests until they have registered
// again.
func (d *Directory) Changes(now time.Time) []Change {
	var out []Change
	for _, s := range d.services {
		if len(s.lapsed) > 0 {
			out = s.updateLapsed(now, d.grace, out)
		}
	}
	for _, e := range d.changed {
		e.changed = false
		if e.Removed && !e.replaced && e.wasReady() && now.Sub(e.RemovedAt) < lapseWindow {
			continue // handled by updateLapsed
		}
		wasUsable := e.usable
		e.usable = e.ready()
		if wasUsable || e.usable {
			out = append(out, Change{Endpoint: e, Usable: e.usable})
		}
	}
	d.changed = d.changed[:0]
	return out
}

// updateLapsed determines which of the recently lapsed entries are still usable, and
// appends the endpoints for which that changed.
func (s *service) updateLapsed(now time.Time, grace time.Duration, out []Change) []Change {
	kept := s.lapsed[:0]
	for _, e := range s.lapsed {
		if e.lapsedService != s {
			continue // its entry has named another service since
		}
		if !e.Removed || e.replaced || !e.wasReady() {
			e.lapsedService = nil // registered again, replaced by another incarnation, or leaving
			continue
		}
		if now.Sub(e.RemovedAt) >= lapseWindow {
			e.lapsedService = nil
			if e.usable {
				e.usable = false
				out = append(out, Change{Endpoint: e})
			}
			continue
		}
		kept = append(kept, e)
	}
	clear(s.lapsed[len(kept):])
	s.lapsed = kept
	outage := len(kept) > 1 && len(kept)*outageDivisor > s.live+len(kept)
	for _, e := range kept {
		usable := (outage || e.unlisted) && now.Sub(e.earliestRemoval) < grace
		if usable != e.usable {
			e.usable = usable
			out = append(out, Change{Endpoint: e, Usable: usable})
		}
	}
	return out
}

// Ready returns the ready endpoints that have the model, sorted by key.
func (d *Directory) Ready(model string) []*Endpoint {
	var out []*Endpoint
	for _, e := range d.byID {
		if _, serves := e.Versions[model]; serves && e.ready() {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Endpoint) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// mergeNewest returns the highest version of each model. It modifies neither map.
func mergeNewest(known, reported map[string]int64) map[string]int64 {
	if !hasNewer(known, reported) {
		return known
	}
	out := make(map[string]int64, len(known)+len(reported))
	maps.Copy(out, known)
	for model, v := range reported {
		out[model] = max(out[model], v)
	}
	return out
}

// hasNewer reports whether reported has a model that is not known, or a higher version.
func hasNewer(known, reported map[string]int64) bool {
	for model, v := range reported {
		if has, known := known[model]; !known || v > has {
			return true
		}
	}
	return false
}
