package roster

import (
	"slices"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
)

// build identifies the endpoints of a service that run one version of its software.
type build struct{ service, version string }

// builds indexes the usable endpoints by their software version.
type builds struct {
	endpoints map[build]map[fleet.EndpointID]bool
	of        map[fleet.EndpointID]build
}

func newBuilds() builds {
	return builds{endpoints: map[build]map[fleet.EndpointID]bool{}, of: map[fleet.EndpointID]build{}}
}

// put adds a usable endpoint or updates it.
func (b *builds) put(e *directory.Endpoint) {
	next := build{e.Service, e.Build}
	if before, indexed := b.of[e.Key]; indexed {
		if before == next {
			return
		}
		b.remove(e.Key)
	}
	b.of[e.Key] = next
	if b.endpoints[next] == nil {
		b.endpoints[next] = map[fleet.EndpointID]bool{}
	}
	b.endpoints[next][e.Key] = true
}

// remove removes an endpoint that is not usable any more.
func (b *builds) remove(key fleet.EndpointID) {
	before, indexed := b.of[key]
	if !indexed {
		return
	}
	delete(b.of, key)
	delete(b.endpoints[before], key)
	if len(b.endpoints[before]) == 0 {
		delete(b.endpoints, before)
	}
}

// WithBuild returns the usable endpoints of a service that run the version of its software,
// sorted. An unknown version has none.
func (r *Roster) WithBuild(service, version string) []fleet.EndpointID {
	if version == "" {
		return nil
	}
	var out []fleet.EndpointID
	for key := range r.builds.endpoints[build{service, version}] {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}
