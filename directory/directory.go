// Package directory folds the entries that endpoints register in the platform's
// store to the endpoints that may be given work.
//
// An entry may be late, may vanish with the store's leases while its endpoint
// lives, and may come from a writer that does not know the format. The package
// does no I/O and reads no clock. A Directory is not safe for concurrent use.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// State is what an endpoint says of itself.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
)

// Entry is what one endpoint registered.
type Entry struct {
	ID      string // chosen by the endpoint, the same after some restarts
	Born    int64  // start of the process, Unix milliseconds; 0: not told
	Service string
	Address string // IP:port
	Zone    fleet.ZoneID
	Slots   int
	State   State
	Models  map[string]int64 // weight version by model
	Orders  int64            // orders that the process has accepted
}

// EqualExceptOrders tells whether the entry says the same as another but for the orders, which
// change with no consequence for where work may go.
func (e Entry) EqualExceptOrders(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Service == other.Service && e.Address == other.Address &&
		e.Zone == other.Zone && e.Slots == other.Slots && e.State == other.State && maps.Equal(e.Models, other.Models)
}

// Endpoint is one life of an endpoint with what is known of it.
type Endpoint struct {
	Entry
	Key             fleet.EndpointID // differs between two lives under one ID
	Removed         bool             // its entry was removed
	RemovedAt       time.Time        // when that was read
	earliestRemoval time.Time        // the earliest moment at which it may have been removed
	// Versions are the newest weight versions seen of this life, from its entry
	// or its answers. A life never goes back to older weights. They may be shared and
	// are replaced as a whole.
	Versions map[string]int64

	usable        bool     // as Changes last told
	changed       bool     // it is in Directory.touched
	replaced      bool     // another life has its id
	lapsedService *service // whose lapsed entries it is among; nil: none's
}

// PutResult is what an entry says beyond the one before it.
type PutResult uint8

// The kinds of news.
const (
	HeartbeatOnly PutResult = iota // nothing but the count of orders
	DetailChanged                  // something that does not decide where work may go
	RoutingChanged
)

// Change is an endpoint that may be given work from now on, may not any more, or
// differs from what was told of it.
type Change struct {
	Endpoint *Endpoint
	Usable   bool
}

// Times of the fold.
const (
	// lapseWindow is the time within which entries that vanish are taken to
	// have lapsed by one outage of the store rather than left one by one.
	lapseWindow = 3 * time.Second
	// minLapsedDivisor is the part of a service's entries that has to vanish together.
	minLapsedDivisor = 3
	// removedRetention is how long an endpoint that is gone is remembered.
	removedRetention = time.Minute
)

// Directory holds the endpoints. Make it with New.
//
// One change costs the same however many endpoints there are: Changes looks at what
// was touched and at entries that lapsed lately, never at all endpoints.
type Directory struct {
	byID          map[string]*Endpoint
	interned      interner
	grace         time.Duration
	services      map[string]*service
	readyVersions map[string]map[int64]int // engines that are listed and ready, by model and version
	changed       []*Endpoint
	removed       []*Endpoint // in the order of Removed
}

// service is what the fold needs to know of the endpoints of one service.
type service struct {
	live   int         // listed and ready
	lapsed []*Endpoint // removed within lapseTogether while they were ready
}

// New returns an empty Directory. An endpoint whose entry lapsed together with
// others still counts for the grace after the earliest moment at which it may
// have left. Endpoints that live are back about two seconds after the store; one
// that left must get no work past the bound on leaving, so the grace lies below
// that bound.
func New(grace time.Duration) *Directory {
	return &Directory{
		byID: map[string]*Endpoint{}, grace: grace, services: map[string]*service{}, readyVersions: map[string]map[int64]int{},
	}
}

// Key names one life of an endpoint.
func Key(id string, born int64) fleet.EndpointID {
	return fleet.EndpointID(id + "@" + strconv.FormatInt(born, 36))
}

// Put takes an entry.
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
		next := &Endpoint{Entry: e, Key: key, Versions: e.Models}
		d.byID[e.ID] = next
		d.count(next)
		d.markChanged(next)
		return RoutingChanged
	}
	changed := old.Removed || old.State != e.State || old.Service != e.Service ||
		old.Address != e.Address || hasNewer(old.Versions, e.Models)
	d.uncount(old)
	old.Entry, old.Removed = e, false
	old.Versions = mergeNewest(old.Versions, e.Models)
	d.count(old)
	d.markChanged(old)
	if changed {
		return RoutingChanged
	}
	return DetailChanged
}

// ready tells whether the endpoint's entry is there and says that it is ready.
func (e *Endpoint) ready() bool { return !e.Removed && !e.replaced && e.State == Ready }

func (d *Directory) serviceOf(e *Endpoint) *service {
	s := d.services[e.Service]
	if s == nil {
		s = &service{}
		d.services[e.Service] = s
	}
	return s
}

// count adds a listed endpoint to the sums of its service and models.
func (d *Directory) count(e *Endpoint) { d.addToCounts(e, 1) }

// uncount takes it out again. Call it before the endpoint changes.
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

// Remove takes that the entry of the id is gone, or can't be read any more. since
// is the earliest moment at which that may have happened: a list that is read
// every second tells of it up to a second late.
func (d *Directory) Remove(now, since time.Time, id string) bool {
	e := d.byID[id]
	if e == nil || e.Removed {
		return false
	}
	d.uncount(e)
	e.Removed, e.RemovedAt, e.earliestRemoval = true, now, since
	d.removed = append(d.removed, e)
	if s := d.serviceOf(e); e.State == Ready && e.lapsedService != s {
		e.lapsedService = s
		s.lapsed = append(s.lapsed, e)
	}
	d.markChanged(e)
	return true
}

// Retain takes the ids of all entries there are, and returns those that are gone.
// The removals may have been lost together with the store's history.
func (d *Directory) Retain(now, since time.Time, present map[string]bool) []string {
	var gone []string
	for id := range d.byID {
		if !present[id] && d.Remove(now, since, id) {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// ObserveVersion takes the weight version that an answer of this life named.
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

// Find returns the present life of the endpoint with the id.
func (d *Directory) Find(id string) *Endpoint { return d.byID[id] }

// HasOlderVersion tells whether an engine that is listed and ready has the model with weights
// older than the version.
func (d *Directory) HasOlderVersion(model string, version int64) bool {
	for v, n := range d.readyVersions[model] {
		if n > 0 && v < version {
			return true
		}
	}
	return false
}

// Expire forgets endpoints that have long been gone, so that the table stays
// bounded by the endpoints of the last minute.
func (d *Directory) Expire(now time.Time) {
	for len(d.removed) > 0 && now.Sub(d.removed[0].RemovedAt) > removedRetention {
		e := d.removed[0]
		d.removed = d.removed[1:]
		if e.Removed && d.byID[e.ID] == e && now.Sub(e.RemovedAt) > removedRetention {
			delete(d.byID, e.ID)
		}
	}
}

// Changes returns what changed since it was called last, with time as well. Call it
// after each change of the directory, and on a tick.
//
// An entry that vanishes alone means that its endpoint left. When many of a
// service vanish at once, the store's leases ran out in an outage: nobody left,
// and to believe it would refuse all work until the entries are back.
func (d *Directory) Changes(now time.Time) []Change {
	var out []Change
	for _, s := range d.services {
		if len(s.lapsed) > 0 {
			out = s.updateLapsed(now, d.grace, out)
		}
	}
	for _, e := range d.changed {
		e.changed = false
		if e.Removed && !e.replaced && e.State == Ready && now.Sub(e.RemovedAt) < lapseWindow {
			continue // judged above, with the others that lapsed
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

// updateLapsed decides which of the entries that vanished lately still count, and adds the
// endpoints for which that changed.
func (s *service) updateLapsed(now time.Time, grace time.Duration, out []Change) []Change {
	kept := s.lapsed[:0]
	for _, e := range s.lapsed {
		if e.lapsedService != s {
			continue // its entry named another service meanwhile
		}
		if !e.Removed || e.replaced || e.State != Ready {
			e.lapsedService = nil // it is back, or another life has its id
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
	outage := len(kept) > 1 && len(kept)*minLapsedDivisor > s.live+len(kept)
	for _, e := range kept {
		usable := outage && now.Sub(e.earliestRemoval) < grace
		if usable != e.usable {
			e.usable = usable
			out = append(out, Change{Endpoint: e, Usable: usable})
		}
	}
	return out
}

// Ready lists every endpoint that is listed and ready and has the model, by key.
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

// mergeNewest merges versions, without a change to either map.
func mergeNewest(known, reported map[string]int64) map[string]int64 {
	if !hasNewer(known, reported) {
		return known
	}
	out := maps.Clone(known)
	for model, v := range reported {
		out[model] = max(out[model], v)
	}
	return out
}

func hasNewer(known, reported map[string]int64) bool {
	for model, v := range reported {
		if has, known := known[model]; !known || v > has {
			return true
		}
	}
	return false
}
