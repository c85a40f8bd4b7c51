// Package roster holds the endpoints that may receive requests: those that are
// registered, without those that health checks ejected or that are suspended. It updates
// placement's pools accordingly.
//
// The cost of a change does not depend on the number of endpoints: nothing is rebuilt
// from all of them, and Refresh looks at those that changed or are due. The package does
// no I/O and reads no clock. A Roster is not safe for concurrent use.
package roster

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
)

// PlacementSink receives the changes on behalf of placement.
type PlacementSink interface {
	pools.Sink
	SetAvailability(id fleet.EndpointID, g placement.Availability)
}

// Options configures a Roster.
type Options struct {
	// Grace is how long an endpoint stays usable whose entry lapsed together with others,
	// see package directory.
	Grace         time.Duration
	Health        health.Options
	ShortFraction float64 // initial fraction of the engines for short prompts
	Placement     PlacementSink
}

// Roster combines registration, health and suspensions of the endpoints. Create it with
// New.
type Roster struct {
	directory *directory.Directory
	health    *health.Tracker
	pools     *pools.Table
	placement PlacementSink

	usable      map[fleet.EndpointID]*directory.Endpoint
	addresses   map[fleet.EndpointID]string // of the usable endpoints
	byAddress   map[string]int              // number of usable endpoints at an address
	builds      builds
	pausedUntil [pauseReasons]map[fleet.EndpointID]time.Time
	backedOff   map[fleet.EndpointID]bool // they have answered no request since their last backoff
	unavailable map[fleet.EndpointID]bool // not available to placement
	limited     map[fleet.EndpointID]bool // they report a request limit
	changed     bool                      // there are changes for Refresh
	recheckBuf  []fleet.EndpointID        // reused by recheck
}

// pauseReason is why an endpoint gets no requests for a time. Pauses for different reasons
// end independently.
type pauseReason uint8

const (
	suspended  pauseReason = iota // by this daemon
	backingOff                    // the endpoint asked for it
	doubted                       // a restored store lists it, contrary to newer knowledge
	pauseReasons
)

// New returns a Roster without endpoints.
func New(o Options) *Roster {
	r := &Roster{
		directory: directory.New(o.Grace), health: health.New(o.Health), pools: pools.New(o.Placement, o.ShortFraction), placement: o.Placement,
		usable: map[fleet.EndpointID]*directory.Endpoint{}, addresses: map[fleet.EndpointID]string{}, byAddress: map[string]int{}, builds: newBuilds(), backedOff: map[fleet.EndpointID]bool{}, unavailable: map[fleet.EndpointID]bool{},
	}
	for reason := range r.pausedUntil {
		r.pausedUntil[reason] = map[fleet.EndpointID]time.Time{}
	}
	return r
}

// Put adds or updates an endpoint, see directory.Directory.Put.
func (r *Roster) Put(e directory.Entry) directory.PutResult {
	result := r.directory.Put(e)
	r.markChanged(result == directory.RoutingChanged)
	return result
}

// restoredEntryDoubt is how long an entry of a restored store that contradicts a newer one
// is not believed. Endpoints write again within two seconds what the store lost, and the
// entry of one that is gone lapses after three heartbeats.
const restoredEntryDoubt = 5 * time.Second

// PutRestored is Put for an entry of the first snapshot after the store was restored from a
// copy. The copy may be older than what was read before: an endpoint that drained or was
// gone then gets no requests until the entry had the time to be corrected.
func (r *Roster) PutRestored(now time.Time, e directory.Entry) directory.PutResult {
	if r.directory.EndedBefore(e) {
		r.pause(doubted, directory.Key(e.ID, e.Born), now.Add(restoredEntryDoubt))
	}
	return r.Put(e)
}

// RetainRestored removes entries, see directory.Directory.RetainRestored.
func (r *Roster) RetainRestored(now time.Time, present map[string]bool) []string {
	missing := r.directory.RetainRestored(now, present)
	r.markChanged(len(missing) > 0)
	return missing
}

// Remove marks an entry as removed, see directory.Directory.Remove.
func (r *Roster) Remove(now, since time.Time, id string) bool {
	return r.markChanged(r.directory.Remove(now, since, id))
}

// Retain removes all entries whose ID is not present and returns their IDs.
func (r *Roster) Retain(now, since time.Time, present map[string]bool) []string {
	removed := r.directory.Retain(now, since, present)
	r.markChanged(len(removed) > 0)
	return removed
}

func (r *Roster) markChanged(changed bool) bool {
	r.changed = r.changed || changed
	return changed
}

// Changed reports whether there are changes for Refresh. A daemon that has just become
// ready checks it, as it would otherwise refuse requests until the next tick.
func (r *Roster) Changed() bool { return r.changed }

// Refresh applies what changed since the last call, including changes by the passing of
// time. Call it after changes and periodically.
func (r *Roster) Refresh(now time.Time) {
	r.changed = false
	for _, c := range r.directory.Changes(now) {
		if c.Usable {
			r.addUsable(now, c.Endpoint)
		} else {
			r.removeUsable(now, c.Endpoint.Key)
		}
	}
	r.recheck(now)
}

// addUsable adds a usable endpoint to the pools or updates it there.
func (r *Roster) addUsable(now time.Time, e *directory.Endpoint) {
	r.usable[e.Key] = e
	r.forgetAddress(e.Key)
	r.addresses[e.Key] = e.Address
	r.byAddress[e.Address]++
	r.builds.put(now, e)
	member := fleet.Endpoint{ID: e.Key, Zone: e.Zone, Class: e.Service, Address: e.Address, State: fleet.VMLive}
	r.health.SetListed(now, member)
	unusable := r.Unusable(now, e.Key)
	r.pools.Put(pools.Endpoint{Endpoint: member, Versions: e.Versions}, unusable, r.limited[e.Key])
	if unusable {
		r.setUnavailable(now, e.Key)
	}
}

// removeUsable removes an endpoint from the pools.
func (r *Roster) removeUsable(now time.Time, key fleet.EndpointID) {
	r.forgetAddress(key)
	r.builds.remove(now, key)
	delete(r.usable, key)
	delete(r.unavailable, key)
	delete(r.backedOff, key)
	r.pools.Remove(key)
	r.health.SetMissing(now, key)
}

// forgetAddress removes an endpoint from the index of addresses. Its entry may name another
// address by now.
func (r *Roster) forgetAddress(key fleet.EndpointID) {
	address, indexed := r.addresses[key]
	if !indexed {
		return
	}
	delete(r.addresses, key)
	if r.byAddress[address]--; r.byAddress[address] <= 0 {
		delete(r.byAddress, address)
	}
}

// HasAddress reports whether a usable endpoint has the address.
func (r *Roster) HasAddress(address string) bool { return r.byAddress[address] > 0 }

// recheck updates the endpoints whose state may change with time: those that are
// suspended or in a backoff, and those that health ejected or retains despite failures.
func (r *Roster) recheck(now time.Time) {
	r.recheckBuf = r.health.AppendEjected(r.recheckBuf[:0])
	for _, paused := range r.pausedUntil {
		for key := range paused {
			r.recheckBuf = append(r.recheckBuf, key)
		}
	}
	for key := range r.unavailable {
		r.recheckBuf = append(r.recheckBuf, key)
	}
	for _, key := range r.recheckBuf {
		unusable := r.Unusable(now, key)
		r.pools.SetSuspended(key, unusable)
		if unusable {
			r.setUnavailable(now, key)
		} else {
			delete(r.unavailable, key)
			r.placement.SetAvailability(key, placement.Available)
		}
	}
	for _, paused := range r.pausedUntil {
		for key, until := range paused {
			if now.After(until) {
				delete(paused, key)
			}
		}
	}
}

// setUnavailable makes placement send no requests to an endpoint until recheck finds it
// usable. Only an ejected endpoint may be tried if no other is left.
func (r *Roster) setUnavailable(now time.Time, key fleet.EndpointID) {
	r.unavailable[key] = true
	if r.paused(now, key) {
		r.placement.SetAvailability(key, placement.Paused)
	} else {
		r.placement.SetAvailability(key, placement.Ejected)
	}
}

// SetLimited sets the endpoints that report a request limit, see package limits. The
// Roster keeps the map.
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

// SetShortFraction sets the fraction of the engines that is for short prompts.
func (r *Roster) SetShortFraction(fraction float64) { r.pools.SetShortFraction(fraction) }

// Suspend keeps requests from an endpoint for the given time, or for longer if it is
// suspended already.
func (r *Roster) Suspend(now time.Time, key fleet.EndpointID, d time.Duration) {
	r.pause(suspended, key, now.Add(d))
	r.setUnavailable(now, key)
}

// pause pauses an endpoint until the time, or for longer if it is paused for this reason
// already.
func (r *Roster) pause(reason pauseReason, key fleet.EndpointID, until time.Time) {
	if until.After(r.pausedUntil[reason][key]) {
		r.pausedUntil[reason][key] = until
	}
}

// Resume ends a suspension. It does not end a backoff.
func (r *Roster) Resume(key fleet.EndpointID) { delete(r.pausedUntil[suspended], key) }

// maxBackoff bounds a backoff. Endpoints recover from overload within minutes; a longer
// time is probably an error of the endpoint, and would take it out of use until it
// restarts.
const maxBackoff = time.Hour

// BackOff keeps requests from an endpoint for the time that it asked for, or for longer if
// it asked for that before. Neither a success nor Resume ends a backoff, as it is the
// endpoint that knows when it can take requests again. It reports whether the endpoint was
// in no backoff before.
func (r *Roster) BackOff(now time.Time, key fleet.EndpointID, d time.Duration) bool {
	before := r.pausedUntil[backingOff][key]
	r.pause(backingOff, key, now.Add(min(d, maxBackoff)))
	if r.usable[key] != nil {
		r.backedOff[key] = true
	}
	r.setUnavailable(now, key)
	return !now.Before(before)
}

// BackedOff returns the endpoints that have answered no request since their last backoff,
// which may still last. They may still be overloaded.
func (r *Roster) BackedOff() []fleet.EndpointID {
	return slices.Collect(maps.Keys(r.backedOff))
}

// BackingOff returns the usable endpoints of a service that asked for a backoff.
func (r *Roster) BackingOff(now time.Time, service string) []fleet.EndpointID {
	var out []fleet.EndpointID
	for key, until := range r.pausedUntil[backingOff] {
		if e := r.usable[key]; e != nil && e.Service == service && now.Before(until) {
			out = append(out, key)
		}
	}
	return out
}

// AllBackingOffFor returns how long it takes until the first endpoint of a service ends its
// backoff. It returns 0 if an endpoint is in none.
func (r *Roster) AllBackingOffFor(now time.Time, service string) time.Duration {
	all := r.BackingOff(now, service)
	if len(all) == 0 || len(all) < r.directory.ReadyCount(service) {
		return 0
	}
	first := maxBackoff
	for _, key := range all {
		first = min(first, r.pausedUntil[backingOff][key].Sub(now))
	}
	return first
}

// ObserveVersion records the weight version in an answer of the endpoint, and
// reports whether it is higher than the known one.
func (r *Roster) ObserveVersion(key fleet.EndpointID, model string, version int64) bool {
	e := r.usable[key]
	return e != nil && r.markChanged(r.directory.ObserveVersion(key, e.ID, model, version))
}

// MarkLeaving records that an endpoint announced its shutdown, see
// directory.Directory.MarkLeaving.
func (r *Roster) MarkLeaving(now time.Time, key fleet.EndpointID, id string) bool {
	return r.markChanged(r.directory.MarkLeaving(now, key, id))
}

// RecordFailure records an attempt that failed at the endpoint.
func (r *Roster) RecordFailure(now time.Time, key fleet.EndpointID) {
	r.health.RecordFailure(now, key, 0)
	r.updateAvailability(now, key)
}

// RecordSuccess records a complete answer of the endpoint that is not an error.
func (r *Roster) RecordSuccess(now time.Time, key fleet.EndpointID) {
	delete(r.backedOff, key)
	r.health.RecordSuccess(now, key, 0, 0)
	r.updateAvailability(now, key)
}

// updateAvailability makes an endpoint unavailable to placement at once if health ejected
// it. An endpoint that is usable again is made available by recheck.
func (r *Roster) updateAvailability(now time.Time, key fleet.EndpointID) {
	if r.Unusable(now, key) {
		r.setUnavailable(now, key)
	}
}

// Unusable reports whether an endpoint is paused or ejected.
func (r *Roster) Unusable(now time.Time, key fleet.EndpointID) bool {
	return r.paused(now, key) || r.health.Status(now, key) == health.Ejected
}

// paused reports whether an endpoint gets no requests for now.
func (r *Roster) paused(now time.Time, key fleet.EndpointID) bool {
	for _, until := range r.pausedUntil {
		if now.Before(until[key]) {
			return true
		}
	}
	return false
}

// MayTry reports whether a request may be sent to an endpoint. An endpoint on trial after
// an ejection gets one request at a time.
func (r *Roster) MayTry(now time.Time, key fleet.EndpointID, repeatable bool) bool {
	if r.usable[key] == nil || r.paused(now, key) {
		return false
	}
	return r.health.Status(now, key) != health.Trial || r.health.Allow(now, key, repeatable)
}

// Find returns a usable endpoint, or nil.
func (r *Roster) Find(key fleet.EndpointID) *directory.Endpoint { return r.usable[key] }

// All iterates over the usable endpoints.
func (r *Roster) All() iter.Seq2[fleet.EndpointID, *directory.Endpoint] { return maps.All(r.usable) }

// Ready returns the ready engines that have the model, sorted by key. Suspended and
// ejected ones are among them.
func (r *Roster) Ready(model string) []*directory.Endpoint { return r.directory.Ready(model) }

// HasOlderVersion reports whether a ready engine has weights older than the version.
func (r *Roster) HasOlderVersion(model string, version int64) bool {
	return r.directory.HasOlderVersion(model, version)
}

// Counts returns the counts of usable engines of a model. Its maps are those of the
// Roster and change with it.
func (r *Roster) Counts(service, model string) pools.Counts { return r.pools.Counts(service, model) }

// Engines returns the number of usable engines of a model.
func (r *Roster) Engines(service, model string) int { return r.pools.EngineCount(service, model) }

// Subpool returns the subpool of an engine, see pools.Table.Subpool.
func (r *Roster) Subpool(key fleet.EndpointID) pools.Subpool { return r.pools.Subpool(key) }

// buildRetention is how long a software version that no endpoint has is remembered. OnlyBuild
// must not be asked for a longer time.
const buildRetention = time.Minute

// Expire drops state of endpoints that were removed long ago. Call it about once a
// second.
func (r *Roster) Expire(now time.Time) {
	r.directory.Expire(now)
	r.builds.expire(now.Add(-buildRetention))
	r.health.Expire(now)
}
