// Package roster holds which endpoints may be given work: those that are listed, less
// those that fail or are left alone for the moment. It keeps placement's pools by that.
//
// A change costs what it changes, however many endpoints there are: nothing is made anew
// from all of them, and Refresh looks at what was touched and at what is due. The
// package does no I/O and reads no clock. A Roster is not safe for concurrent use.
package roster

import (
	"iter"
	"maps"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
)

// View is the part of placement that is told of changes.
type View interface {
	pools.Sink
	SetGate(id fleet.EndpointID, g placement.Gate)
}

// Options set up a Roster.
type Options struct {
	// Grace is how long an endpoint counts whose entry lapsed together with others, see
	// package directory.
	Grace  time.Duration
	Health health.Options
	Part   float64 // of the engines for short prompts, at first
	View   View
}

// Roster is what a daemon knows of the endpoints. Make it with New.
type Roster struct {
	directory *directory.Directory
	health    *health.Tracker
	pools     *pools.Table
	view      View

	usable  map[fleet.EndpointID]*directory.Endpoint
	resting map[fleet.EndpointID]time.Time // until when they are left alone
	gated   map[fleet.EndpointID]bool      // placement was told that they get no work
	limited map[fleet.EndpointID]bool      // they name a limit of requests
	changed bool                           // something waits for Refresh
	due     []fleet.EndpointID             // memory of recheck
}

// New returns a Roster without endpoints.
func New(o Options) *Roster {
	return &Roster{
		directory: directory.New(o.Grace), health: health.New(o.Health), pools: pools.New(o.View, o.Part), view: o.View,
		usable: map[fleet.EndpointID]*directory.Endpoint{}, resting: map[fleet.EndpointID]time.Time{},
		gated: map[fleet.EndpointID]bool{},
	}
}

// Put takes an entry.
func (r *Roster) Put(e directory.Entry) directory.News {
	news := r.directory.Put(e)
	r.note(news == directory.Changed)
	return news
}

// Remove takes that the entry of the id is gone, see directory.Directory.Remove.
func (r *Roster) Remove(now, since time.Time, id string) bool {
	return r.note(r.directory.Remove(now, since, id))
}

// Retain takes the ids of all entries that there are, and returns those that are gone.
func (r *Roster) Retain(now, since time.Time, present map[string]bool) []string {
	gone := r.directory.Retain(now, since, present)
	r.note(len(gone) > 0)
	return gone
}

func (r *Roster) note(changed bool) bool {
	r.changed = r.changed || changed
	return changed
}

// Changed tells whether something waits for Refresh. A daemon that has just become ready
// would else refuse its first callers until the next tick.
func (r *Roster) Changed() bool { return r.changed }

// Refresh puts into force what changed since it was called last, with time as well. Call
// it after changes and on a tick.
func (r *Roster) Refresh(now time.Time) {
	r.changed = false
	for _, c := range r.directory.Changes(now) {
		if c.Usable {
			r.put(now, c.Endpoint)
		} else {
			r.drop(now, c.Endpoint.Key)
		}
	}
	r.recheck(now)
}

// put adds a usable endpoint to the pools, or updates it there.
func (r *Roster) put(now time.Time, e *directory.Endpoint) {
	r.usable[e.Key] = e
	member := fleet.Endpoint{ID: e.Key, Zone: e.Zone, Class: e.Service, Address: e.Address, State: fleet.VMLive}
	r.health.SetListed(now, member)
	out := r.Unusable(now, e.Key)
	r.pools.Put(pools.Endpoint{Endpoint: member, Versions: e.Versions}, out, r.limited[e.Key])
	if out {
		r.gate(e.Key)
	}
}

// drop takes an endpoint out of the pools.
func (r *Roster) drop(now time.Time, key fleet.EndpointID) {
	delete(r.usable, key)
	delete(r.gated, key)
	r.pools.Remove(key)
	r.health.SetMissing(now, key)
}

// recheck looks at the endpoints whose state may change with time: those that rest, and
// those that health has ejected or keeps in spite of that.
func (r *Roster) recheck(now time.Time) {
	r.due = r.health.AppendEjected(r.due[:0])
	for key := range r.resting {
		r.due = append(r.due, key)
	}
	for key := range r.gated {
		r.due = append(r.due, key)
	}
	for _, key := range r.due {
		out := r.Unusable(now, key)
		r.pools.SetOut(key, out)
		if out {
			r.gate(key)
		} else {
			delete(r.gated, key)
			r.view.SetGate(key, placement.GateOpen)
		}
	}
	for key, until := range r.resting {
		if now.After(until) {
			delete(r.resting, key)
		}
	}
}

// gate tells placement to send an endpoint no work for the moment.
func (r *Roster) gate(key fleet.EndpointID) {
	r.gated[key] = true
	r.view.SetGate(key, placement.GateEjected)
}

// SetLimited takes which endpoints name a limit of requests. It keeps the map.
func (r *Roster) SetLimited(limited map[fleet.EndpointID]bool) {
	for key := range r.limited {
		if !limited[key] {
			r.pools.SetLimited(key, false)
		}
	}
	for key := range limited {
		r.pools.SetLimited(key, true)
	}
	r.limited = limited
}

// SetPart sets the part of the engines that is for short prompts.
func (r *Roster) SetPart(part float64) { r.pools.SetPart(part) }

// Rest withholds work from an endpoint for a while.
func (r *Roster) Rest(now time.Time, key fleet.EndpointID, d time.Duration) {
	if until := now.Add(d); until.After(r.resting[key]) {
		r.resting[key] = until
	}
	r.gate(key)
}

// Wake ends a rest.
func (r *Roster) Wake(key fleet.EndpointID) { delete(r.resting, key) }

// Learn takes the weight version that an endpoint was seen to have.
func (r *Roster) Learn(key fleet.EndpointID, model string, version int64) bool {
	e := r.usable[key]
	return e != nil && r.note(r.directory.Learn(key, e.ID, model, version))
}

// Failed takes an attempt that the endpoint failed.
func (r *Roster) Failed(now time.Time, key fleet.EndpointID) {
	r.health.RecordFailure(now, key, 0)
	r.close(now, key)
}

// Answered takes a whole answer of the endpoint that is not an error.
func (r *Roster) Answered(now time.Time, key fleet.EndpointID) {
	r.health.RecordSuccess(now, key, 0, 0)
	r.close(now, key)
}

func (r *Roster) close(now time.Time, key fleet.EndpointID) {
	if r.Unusable(now, key) {
		r.gate(key)
	}
}

// Unusable tells whether an endpoint gets no work for the moment.
func (r *Roster) Unusable(now time.Time, key fleet.EndpointID) bool {
	return now.Before(r.resting[key]) || r.health.Status(now, key) == health.Ejected
}

// MayTry tells whether an endpoint may have a request: one that is due back after
// failures is tried by one request at a time.
func (r *Roster) MayTry(now time.Time, key fleet.EndpointID, repeatable bool) bool {
	if r.usable[key] == nil || now.Before(r.resting[key]) {
		return false
	}
	return r.health.Status(now, key) != health.Trial || r.health.Allow(now, key, repeatable)
}

// Find returns an endpoint that may be given work, as listed; nil: it may not.
func (r *Roster) Find(key fleet.EndpointID) *directory.Endpoint { return r.usable[key] }

// All goes over the endpoints that may be given work.
func (r *Roster) All() iter.Seq2[fleet.EndpointID, *directory.Endpoint] { return maps.All(r.usable) }

// Ready lists the engines that are listed and ready and have the model, by key.
func (r *Roster) Ready(model string) []*directory.Endpoint { return r.directory.Ready(model) }

// Behind tells whether one of them has weights older than the version.
func (r *Roster) Behind(model string, version int64) bool { return r.directory.Behind(model, version) }

// Counts returns the usable engines of a model. Its maps change with the Roster.
func (r *Roster) Counts(service, model string) pools.Counts { return r.pools.Counts(service, model) }

// Engines is the number of usable engines of a model.
func (r *Roster) Engines(service, model string) int { return r.pools.Engines(service, model) }

// Expire forgets what is long gone. Call it about once a second.
func (r *Roster) Expire(now time.Time) {
	r.directory.Expire(now)
	r.health.Expire(now)
}
