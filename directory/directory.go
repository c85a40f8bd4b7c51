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

// SaysAs tells whether the entry says the same as another but for the orders, which
// change with no consequence for where work may go.
func (e Entry) SaysAs(other Entry) bool {
	return e.ID == other.ID && e.Born == other.Born && e.Service == other.Service && e.Address == other.Address &&
		e.Zone == other.Zone && e.Slots == other.Slots && e.State == other.State && maps.Equal(e.Models, other.Models)
}

// Endpoint is one life of an endpoint with what is known of it.
type Endpoint struct {
	Entry
	Key     fleet.EndpointID // differs between two lives under one ID
	Gone    bool             // its entry was removed
	Removed time.Time        // when that was read
	left    time.Time        // the earliest moment at which it may have been removed
	// Versions are the newest weight versions seen of this life, from its entry
	// or its answers. A life never goes back to older weights.
	Versions map[string]int64
}

// Times of the fold.
const (
	// lapseTogether is the time within which entries that vanish are taken to
	// have lapsed by one outage of the store rather than left one by one.
	lapseTogether = 3 * time.Second
	// lapsePart is the part of a service's entries that has to vanish together.
	lapsePart = 3
)

// Directory holds the endpoints. Make it with New.
type Directory struct {
	byID  map[string]*Endpoint
	grace time.Duration
}

// New returns an empty Directory. An endpoint whose entry lapsed together with
// others still counts for the grace after the earliest moment at which it may
// have left. Endpoints that live are back about two seconds after the store; one
// that left must get no work past the bound on leaving, so the grace lies below
// that bound.
func New(grace time.Duration) *Directory {
	return &Directory{byID: map[string]*Endpoint{}, grace: grace}
}

// Key names one life of an endpoint.
func Key(id string, born int64) fleet.EndpointID {
	return fleet.EndpointID(id + "@" + strconv.FormatInt(born, 36))
}

// Put takes an entry. It returns false if nothing changed but the sequence.
func (d *Directory) Put(e Entry) bool {
	key := Key(e.ID, e.Born)
	old := d.byID[e.ID]
	if old == nil || old.Key != key {
		d.byID[e.ID] = &Endpoint{Entry: e, Key: key, Versions: newest(nil, e.Models)}
		return true
	}
	changed := old.Gone || old.State != e.State || old.Service != e.Service ||
		old.Address != e.Address || behind(old.Versions, e.Models)
	old.Entry, old.Gone = e, false
	old.Versions = newest(old.Versions, e.Models)
	return changed
}

// Remove takes that the entry of the id is gone, or can't be read any more. since
// is the earliest moment at which that may have happened: a list that is read
// every second tells of it up to a second late.
func (d *Directory) Remove(now, since time.Time, id string) bool {
	e := d.byID[id]
	if e == nil || e.Gone {
		return false
	}
	e.Gone, e.Removed, e.left = true, now, since
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

// Learn takes the weight version that an answer of this life named.
func (d *Directory) Learn(key fleet.EndpointID, id, model string, version int64) bool {
	e := d.byID[id]
	if e == nil || e.Key != key || e.Versions[model] >= version {
		return false
	}
	e.Versions[model] = version
	return true
}

// Find returns the present life of the endpoint with the id.
func (d *Directory) Find(id string) *Endpoint { return d.byID[id] }

// Expire forgets endpoints that have long been gone, so that the table stays
// bounded by the endpoints of the last minute.
func (d *Directory) Expire(now time.Time) {
	for id, e := range d.byID {
		if e.Gone && now.Sub(e.Removed) > time.Minute {
			delete(d.byID, id)
		}
	}
}

// Usable lists the endpoints of the service that may be given new work, by key.
//
// An entry that vanishes alone means that its endpoint left. When many of a
// service vanish at once, the store's leases ran out in an outage: nobody left,
// and to believe it would refuse all work until the entries are back.
func (d *Directory) Usable(now time.Time, service string) []*Endpoint {
	var live, lapsed []*Endpoint
	for _, e := range d.byID {
		switch {
		case e.Service != service || e.State != Ready:
		case !e.Gone:
			live = append(live, e)
		case now.Sub(e.Removed) < lapseTogether:
			lapsed = append(lapsed, e)
		}
	}
	if len(lapsed) > 1 && len(lapsed)*lapsePart > len(live)+len(lapsed) {
		for _, e := range lapsed {
			if now.Sub(e.left) < d.grace {
				live = append(live, e)
			}
		}
	}
	slices.SortFunc(live, func(a, b *Endpoint) int { return cmp.Compare(a.Key, b.Key) })
	return live
}

// Services lists the services that some endpoint is registered for.
func (d *Directory) Services() []string {
	var out []string
	for _, e := range d.byID {
		if !slices.Contains(out, e.Service) {
			out = append(out, e.Service)
		}
	}
	slices.Sort(out)
	return out
}

// All lists every endpoint that is registered now, by key.
func (d *Directory) All() []*Endpoint {
	var out []*Endpoint
	for _, e := range d.byID {
		if !e.Gone {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *Endpoint) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func newest(known, said map[string]int64) map[string]int64 {
	if known == nil {
		known = make(map[string]int64, len(said))
	}
	for model, v := range said {
		known[model] = max(known[model], v)
	}
	return known
}

func behind(known, said map[string]int64) bool {
	for model, v := range said {
		if v > known[model] {
			return true
		}
	}
	return false
}
