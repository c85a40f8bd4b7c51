package router

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/freshness"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/roster"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/weights"
)

// Timeouts of the state.
const (
	// refusalSuspension is how long an engine that rejected a request although it had free
	// slots is excluded, as it is loading new weights.
	refusalSuspension = 400 * time.Millisecond
	// unreachableSuspension is how long an endpoint that accepts no connection is
	// excluded. A crash lasts a second or more.
	unreachableSuspension = 800 * time.Millisecond
	// loadingUpdateLifetime is how long another daemon's report that an engine is
	// loading remains valid.
	loadingUpdateLifetime = 6 * time.Second
	// lapseGraceFraction is how long an endpoint stays usable after its entry lapsed
	// together with others, as a fraction of Settings.DrainWithin. The rest covers the
	// interval after which the lapse is noticed, and requests on their way.
	lapseGraceFraction = 0.75
	// savedLifetime is how long a segment that was saved to the store is assumed to be
	// there and not saved again.
	savedLifetime = 12 * time.Second
)

// state is the daemon's local view of the configuration, endpoints and weight versions.
type state struct {
	table     atomic.Pointer[routes.Table]
	operator  freshness.Tracker // reads of the operator topic
	endpoints freshness.Tracker
	// limited is the set of endpoints that report a limit. It is replaced, never
	// modified.
	limited atomic.Pointer[map[fleet.EndpointID]bool]

	mu             sync.Mutex
	roster         *roster.Roster
	named          map[string]versionHistory
	reported       map[string]versionHistory // by model, until its first named version is read
	savedAt        map[prefix.Key]time.Time  // when a segment was last saved to the store
	subpools       subpoolSplit
	appliedLimited *map[fleet.EndpointID]bool // the value of limited last passed to the roster
	// weightsChanged is called with mu for an engine that loads weights or has finished.
	weightsChanged func(fleet.EndpointID)

	view    *placement.SharedView
	changes *viewChanges // forwards the roster's changes to view
}

// viewChanges forwards the roster's changes to placement. The changes of one refresh
// are applied as a batch: otherwise an engine that moves from one pool to another would
// be in neither for a moment, and a request placed just then would be refused. It is
// guarded by state.mu.
type viewChanges struct {
	shared *placement.SharedView
	batch  *placement.View // nil: no batch is in progress
}

// Join implements roster.PlacementSink.
func (c *viewChanges) Join(pool string, e fleet.Endpoint) {
	if c.batch != nil {
		c.batch.Join(pool, e)
		return
	}
	c.shared.Join(pool, e)
}

// Leave implements roster.PlacementSink.
func (c *viewChanges) Leave(pool string, id fleet.EndpointID) {
	if c.batch != nil {
		c.batch.Leave(pool, id)
		return
	}
	c.shared.Leave(pool, id)
}

// SetAvailability implements roster.PlacementSink.
func (c *viewChanges) SetAvailability(id fleet.EndpointID, g placement.Availability) {
	if c.batch != nil {
		c.batch.SetAvailability(id, g)
		return
	}
	c.shared.SetAvailability(id, g)
}

func newState(set *Settings, rng *rand.Rand) *state {
	view := placement.NewSharedView(placement.Options{
		Zone: set.Zone, PrefillRate: prefillRate, ImportLatency: importLatency, ReservationTTL: reservationTTL,
		QueueHalfLife: queueHalfLife, PreferredPrior: cachedPrior,
	})
	changes := &viewChanges{shared: view}
	return &state{
		roster: roster.New(roster.Options{
			Grace:         time.Duration(lapseGraceFraction * float64(set.DrainWithin)),
			Health:        health.Options{Rand: rng, Failures: ejectionFailures, Ejection: ejectionDuration, MaxEjection: maxEjection},
			ShortFraction: initialShortFraction, Placement: changes,
		}),
		weightsChanged: func(fleet.EndpointID) {},
		named:          map[string]versionHistory{}, reported: map[string]versionHistory{},
		savedAt: map[prefix.Key]time.Time{},
		view:    view, changes: changes,
	}
}

// Assumptions about engines that they do not report.
const (
	// prefillRate is the assumed rate, in tokens/s, at which an engine that also
	// generates for other requests reads prompts. It is about what a present
	// accelerator achieves for a model of some ten billion parameters. If an engine is
	// slower, requests that wait longer than expected show this within a second
	// (placement.View.ObserveWait). If it is faster, nothing shows it, and callers that
	// it could serve are refused.
	prefillRate   = 80_000
	importLatency = 5 * time.Millisecond // until a fetch from another engine or a store begins
	// cachedPrior is the assumed probability that a preferred endpoint caches a shared
	// segment of which this daemon has no record. It is well below one half, as each
	// new weight version and each isolated organisation reads all segments anew, and an
	// engine's memory holds no more prompts than it runs.
	cachedPrior = 0.35
	// queueHalfLife is the half-life of an engine's reported queue. Some of it is
	// processed before the next report arrives, and other requests join it.
	queueHalfLife = 1500 * time.Millisecond
	// reservationTTL exceeds the longest time limit of a route.
	reservationTTL = 15 * time.Second
)

// Ejection of failing endpoints. Few failures suffice, as there are other endpoints and
// a wrong ejection costs little.
const (
	ejectionFailures = 3
	ejectionDuration = 700 * time.Millisecond
	maxEjection      = 4 * time.Second
)

// refresh applies all changes since the previous call, including those due to time. The
// caller must hold mu. It is called after changes and periodically.
func (s *state) refresh(now time.Time) {
	s.view.Batch(func(v *placement.View) {
		s.changes.batch = v
		defer func() { s.changes.batch = nil }()
		if limited := s.limited.Load(); limited != s.appliedLimited {
			s.appliedLimited = limited
			s.roster.SetLimited(*limited)
		}
		s.roster.SetShortFraction(s.subpools.shortFraction())
		s.roster.Refresh(now)
	})
}

// refreshIfChanged applies pending changes of the list of endpoints before a request is
// placed.
func (s *state) refreshIfChanged(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Changed() {
		s.refresh(now)
	}
}

// markLeaving records that an endpoint announced its shutdown, and reports whether that is
// new.
func (s *state) markLeaving(now time.Time, key fleet.EndpointID, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.MarkLeaving(now, key, id)
}

// clearSlotTimes undoes placement.View.SetSlotTime.
func (s *state) clearSlotTimes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.roster.All() {
		s.view.SetSlotTime(key, 0)
	}
}

// usable reports whether an endpoint is on the list.
func (s *state) usable(key fleet.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Find(key) != nil
}

// hasEndpointAt reports whether a usable endpoint has the address.
func (s *state) hasEndpointAt(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.HasAddress(address)
}

// applyEngineUpdates applies the engine updates of the rollout leader.
func (s *state) applyEngineUpdates(now time.Time, updates []weights.EngineUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range updates {
		key := fleet.EndpointID(u.Engine)
		e := s.roster.Find(key)
		if e == nil {
			continue
		}
		if e.Versions[u.Model] < u.Version {
			s.weightsChanged(key)
		}
		switch {
		case u.Loading && e.Versions[u.Model] < u.Version:
			s.roster.Suspend(now, key, loadingUpdateLifetime)
		case !u.Loading:
			s.roster.Resume(key)
			s.roster.ObserveVersion(key, u.Model, u.Version)
		}
	}
	s.refresh(now)
}

// hasOutdatedEngine reports whether some engine has older weights of the model than the
// version.
func (s *state) hasOutdatedEngine(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.HasOlderVersion(model, version)
}

// engines returns the engines that serve the model, for the rollout plan.
func (s *state) engines(now time.Time, clock, bound time.Duration, model string) []weights.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []weights.Engine
	for _, e := range s.roster.Ready(model) {
		v := e.Versions[model]
		out = append(out, weights.Engine{
			Target: weights.Target{Key: e.Key, ID: e.ID, Address: e.Address}, Zone: e.Zone, Version: v,
			Backlog: s.view.Backlog(now, e.Key), UsableFor: s.named[model].timeToBegin(v, clock, bound),
		})
	}
	return out
}

// namedVersions returns a copy of the versions named by the operator, by model.
func (s *state) namedVersions() map[string]versionHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.named)
}

// applyNamedTimes applies the times at which versions were named, as reported by
// another daemon.
func (s *state) applyNamedTimes(now time.Duration, wall time.Time, reported []weights.VersionTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reported {
		if h := s.named[r.Model]; len(h) > 0 {
			s.named[r.Model] = h.withReported(now, wall, r)
			continue
		}
		if early := s.reported[r.Model]; early != nil || len(s.reported) < maxReportedModels {
			s.reported[r.Model] = early.put(reportedVersion(now, wall, r))
		}
	}
}

// maxReportedModels bounds the models with reported versions of which none was read from
// the operator's topic.
const maxReportedModels = 64

// addNamed adds a version that the operator named, with what was reported of its model
// before. It returns false if the version is not newer than the known ones.
func (s *state) addNamed(model string, n namedVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.named[model].newest() >= n.version {
		return false
	}
	h := s.named[model].add(n)
	for _, reported := range s.reported[model] {
		h = h.merge(reported)
	}
	delete(s.reported, model)
	s.named[model] = h
	return true
}

// namedTimes returns the times at which versions were named, for other daemons.
func (s *state) namedTimes(now time.Duration, wall time.Time) []weights.VersionTime {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []weights.VersionTime
	for model, history := range s.named {
		for _, n := range history {
			out = append(out, weights.VersionTime{Model: model, Version: n.version, UnixMs: wall.Add(n.since - now).UnixMilli(), Guessed: n.guessed})
		}
	}
	return out
}
