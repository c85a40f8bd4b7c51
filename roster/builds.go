package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
)

// build identifies the endpoints of a service that run one version of its software.
type build struct{ service, version string }

// builds indexes the usable endpoints by their software version.
type builds struct {
	endpoints map[build]map[fleet.EndpointID]bool
	of        map[fleet.EndpointID]build
	since     time.Time                    // when the first endpoint was listed
	goneAt    map[build]time.Time          // when the last endpoint with a version was no longer usable
	sorted    map[build][]fleet.EndpointID // the keys of endpoints, as far as they were asked for
}

func newBuilds() builds {
	return builds{endpoints: map[build]map[fleet.EndpointID]bool{}, of: map[fleet.EndpointID]build{}, goneAt: map[build]time.Time{}, sorted: map[build][]fleet.EndpointID{}}
}

// put adds a usable endpoint or updates it.
func (b *builds) put(now time.Time, e *directory.Endpoint) {
	if b.since.IsZero() {
		b.since = now
	}
	next := build{e.Service, e.Build}
	if before, indexed := b.of[e.Key]; indexed {
		if before == next {
			return
		}
		b.remove(now, e.Key)
	}
	b.of[e.Key] = next
	if b.endpoints[next] == nil {
		b.endpoints[next] = map[fleet.EndpointID]bool{}
	}
	b.endpoints[next][e.Key] = true
	delete(b.sorted, next)
}

// remove removes an endpoint that is not usable any more.
func (b *builds) remove(now time.Time, key fleet.EndpointID) {
	before, indexed := b.of[key]
	if !indexed {
		return
	}
	delete(b.of, key)
	delete(b.sorted, before)
	delete(b.endpoints[before], key)
	if len(b.endpoints[before]) == 0 {
		delete(b.endpoints, before)
		b.goneAt[before] = now
	}
}

// only returns the single version that a service has had since the time.
func (b *builds) only(since time.Time, service string) (string, bool) {
	if b.since.IsZero() || b.since.After(since) {
		return "", false
	}
	version, found := "", 0
	for k := range b.endpoints {
		if k.service == service {
			version = k.version
			found++
		}
	}
	for k, at := range b.goneAt {
		if k.service == service && at.After(since) && b.endpoints[k] == nil {
			version = k.version
			found++
		}
	}
	return version, found == 1 && version != ""
}

// expire forgets versions that no endpoint has had since the time.
func (b *builds) expire(since time.Time) {
	for k, at := range b.goneAt {
		if at.Before(since) {
			delete(b.goneAt, k)
		}
	}
}

// OnlyBuild returns the software version of a service if its usable endpoints have had no
// other one for the given time. ok is false if they had, if the version of some is unknown,
// or if the list of endpoints has been known for less.
func (r *Roster) OnlyBuild(now time.Time, service string, lasted time.Duration) (version string, ok bool) {
	return r.builds.only(now.Add(-lasted), service)
}

// HasOtherBuild reports whether a usable endpoint of a service has another software version.
func (r *Roster) HasOtherBuild(service, version string) bool {
	for k := range r.builds.endpoints {
		if k.service == service && k.version != version {
			return true
		}
	}
	return false
}

// WithBuild returns the usable endpoints of a service that run the version of its software,
// sorted. An unknown version has none. The result may be shared and must not be modified.
func (r *Roster) WithBuild(service, version string) []fleet.EndpointID {
	at := build{service, version}
	if version == "" || len(r.builds.endpoints[at]) == 0 {
		return nil
	}
	if r.builds.sorted[at] == nil {
		r.builds.sorted[at] = slices.Sorted(maps.Keys(r.builds.endpoints[at]))
	}
	return r.builds.sorted[at]
}
