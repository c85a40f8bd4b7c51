package daemon

import (
	"github.com/merlindock/merlindock/cacheevents"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
)

// newEventFollower returns the follower of the model runners' cache events. It
// has its own client because event streams need other size limits and timeouts
// than answers.
func newEventFollower(d *Daemon, sink cacheevents.Sink) *cacheevents.Follower {
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
		Seed:         seedOf(d.o.Settings.Daemon.ID, d.startedAt),
		Now:          d.o.Now,
	})
}

// poolEndpoints returns the endpoints in the models' pools, each once. Leaving
// endpoints are in no pool. The caller holds v.mu.
func (v *fleetView) poolEndpoints() []fleet.Endpoint {
	var list []fleet.Endpoint
	seen := make(map[fleet.EndpointID]bool)
	for _, groups := range v.versionGroups {
		for _, group := range groups {
			for _, e := range group.Endpoints {
				if !seen[e.ID] {
					seen[e.ID] = true
					list = append(list, e)
				}
			}
		}
	}
	return list
}

// updateEventMetrics adds the changes of the follower's statistics since the
// last call to the metrics.
func (v *fleetView) updateEventMetrics() {
	s, before := v.events.Stats(), v.countedEvents
	v.countedEvents = s
	scope := v.daemon.metrics.Scope
	scope.Counter("cache_event_bytes").Inc(s.Bytes - before.Bytes)
	scope.Counter("cache_events").Inc(s.Events - before.Events)
	scope.Counter("cache_event_gaps").Inc(s.Gaps - before.Gaps)
	scope.Counter("cache_event_failures").Inc(s.Failures - before.Failures)
	scope.Gauge("cache_event_streams").Update(float64(s.Streams))
}
