package daemon

import (
	"github.com/merlindock/merlindock/cacheevents"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
)

// newFollower returns what follows the runners' cache events. It has a client
// of its own, with the bounds of those streams.
func newFollower(d *Daemon, sink cacheevents.Sink) *cacheevents.Follower {
	client := engine.New(engine.Options{
		DialContext:   d.o.Dial,
		MaxEventBytes: cacheevents.MaxMessageBytes,
		HeaderTimeout: cacheevents.HeaderTimeout,
		StallTimeout:  cacheevents.StallTimeout,
	})
	return cacheevents.New(cacheevents.Options{
		Client:       client,
		Sink:         sink,
		MaxEndpoints: d.o.Settings.Routing.EventEndpoints,
		Seed:         seedOf(d.o.Settings.Daemon.ID, d.life),
		Now:          d.o.Now,
	})
}

// runners returns the endpoints of the models' pools, each once; leaving ones
// are in none. The caller holds the lock.
func (v *fleetView) runners() []fleet.Endpoint {
	var list []fleet.Endpoint
	seen := make(map[fleet.EndpointID]bool)
	for _, shares := range v.shares {
		for _, s := range shares {
			for _, e := range s.Endpoints {
				if !seen[e.ID] {
					seen[e.ID] = true
					list = append(list, e)
				}
			}
		}
	}
	return list
}

// countEvents brings the metrics up to date.
func (v *fleetView) countEvents() {
	s, before := v.events.Stats(), v.counted
	v.counted = s
	scope := v.daemon.metrics.Scope
	scope.Counter("cache_event_bytes").Inc(s.Bytes - before.Bytes)
	scope.Counter("cache_events").Inc(s.Events - before.Events)
	scope.Counter("cache_event_gaps").Inc(s.Gaps - before.Gaps)
	scope.Counter("cache_event_failures").Inc(s.Failures - before.Failures)
	scope.Gauge("cache_event_streams").Update(float64(s.Streams))
}
