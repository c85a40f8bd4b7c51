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

// Times of the state.
const (
	// restAfterRefusal is how long an engine that turned a request away with
	// room to spare is left alone: it is taking new weights.
	restAfterRefusal = 400 * time.Millisecond
	// restUnreachable is how long an endpoint that takes no connection is left
	// alone. A crash lasts a second or more.
	restUnreachable = 800 * time.Millisecond
	// loadingNews is how long another daemon's word that an engine loads holds.
	loadingNews = 6 * time.Second
	// lapsePart is how long an endpoint counts whose entry lapsed together with
	// others, as a part of Settings.DrainWithin. The rest is for the tick on which
	// it is noticed, and for requests on their way.
	lapsePart = 0.75
	// savedFor is how long a part that was sent to the store is taken to be
	// there without being sent again.
	savedFor = 12 * time.Second
)

// state is what a daemon believes.
type state struct {
	table     atomic.Pointer[routes.Table]
	operator  freshness.Tracker // reads of the operator's topic
	endpoints freshness.Tracker
	// limited are the endpoints that name a limit. It is replaced as a whole.
	limited atomic.Pointer[map[fleet.EndpointID]bool]

	mu     sync.Mutex
	roster *roster.Roster
	named  map[string]named
	saved  map[prefix.Key]time.Time // when a part was sent to the store
	lanes  laneSplit
	split  *map[fleet.EndpointID]bool // the limited endpoints, as the roster has them

	view    *placement.Shared
	changes *viewChanges // of the roster
}

// viewChanges carries the roster's changes to placement. Those of one refresh are made
// together: an engine that moves from one pool to another would else be in neither for a
// moment, and a request that is placed just then refused. The state's lock guards it.
type viewChanges struct {
	shared *placement.Shared
	batch  *placement.View // while a batch is under way
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

// SetGate implements roster.PlacementSink.
func (c *viewChanges) SetGate(id fleet.EndpointID, g placement.Gate) {
	if c.batch != nil {
		c.batch.SetGate(id, g)
		return
	}
	c.shared.SetGate(id, g)
}

func newState(set *Settings, rng *rand.Rand) *state {
	view := placement.NewShared(placement.Options{
		Zone: set.Zone, PrefillRate: prefillRate, ImportLatency: importLatency, ReservationTTL: reservationTTL,
		QueueLife: queueLife, HomePrior: homePrior,
	})
	changes := &viewChanges{shared: view}
	return &state{
		roster: roster.New(roster.Options{
			Grace:         time.Duration(lapsePart * float64(set.DrainWithin)),
			Health:        health.Options{Rand: rng, Failures: ejectAfter, Ejection: ejectFor, MaxEjection: ejectAtMost},
			ShortFraction: firstShort, Placement: changes,
		}),
		named: map[string]named{},
		saved: map[prefix.Key]time.Time{},
		view:  view, changes: changes,
	}
}

// What engines do, which they tell nowhere.
const (
	// prefillRate is how fast an engine that generates for others as well is taken to
	// read, in tokens/s: about what one present accelerator does for a model of some ten
	// billion parameters. Of an engine that is slower the requests that wait longer than
	// was foretold tell within a second (placement.View.Waited); of one that is faster
	// nothing does, and callers are turned away whom it could serve.
	prefillRate   = 80_000
	importLatency = 5 * time.Millisecond // until a fetch from another engine or a store begins
	// homePrior is how likely a home has a shared part that this daemon knows
	// nothing of. It is well below one half, as each new version of the weights and each
	// isolated organisation reads all parts anew, and an engine's memory holds no more
	// prompts than it runs.
	homePrior = 0.35
	// queueLife is the half-life of what an engine said of its queue. Some of it
	// is worked off before the next answer comes, and others add to it.
	queueLife = 1500 * time.Millisecond
	// reservationTTL is above the longest time limit of a route.
	reservationTTL = 15 * time.Second
)

// Ejection of endpoints that fail: few failures are enough, as there are others
// and a wrong ejection costs little.
const (
	ejectAfter  = 3
	ejectFor    = 700 * time.Millisecond
	ejectAtMost = 4 * time.Second
)

// refresh puts into force what changed since it was called last, with time as well.
// Call it with mu held after changes, and on a tick.
func (s *state) refresh(now time.Time) {
	s.view.Batch(func(v *placement.View) {
		s.changes.batch = v
		defer func() { s.changes.batch = nil }()
		if limited := s.limited.Load(); limited != s.split {
			s.split = limited
			s.roster.SetLimited(*limited)
		}
		s.roster.SetShortFraction(s.lanes.short())
		s.roster.Refresh(now)
	})
}

// settle puts changes of the list into force before a request is placed.
func (s *state) settle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Changed() {
		s.refresh(now)
	}
}

// usable tells whether an endpoint may be given work.
func (s *state) usable(key fleet.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Find(key) != nil
}

// news takes what the holder of the order lease tells of engines.
func (s *state) news(now time.Time, all []weights.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range all {
		key := fleet.EndpointID(n.Engine)
		e := s.roster.Find(key)
		if e == nil {
			continue
		}
		switch {
		case n.Loading && e.Versions[n.Model] < n.Version:
			s.roster.Suspend(now, key, loadingNews)
		case !n.Loading:
			s.roster.Resume(key)
			s.roster.ObserveVersion(key, n.Model, n.Version)
		}
	}
	s.refresh(now)
}

// behind tells whether an engine has older weights of the model than the version.
func (s *state) behind(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.HasOlderVersion(model, version)
}

// engines lists the engines that serve the model, for the plan of orders.
func (s *state) engines(now time.Time, clock, bound time.Duration, model string) []weights.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []weights.Engine
	for _, e := range s.roster.Ready(model) {
		v := e.Versions[model]
		out = append(out, weights.Engine{
			Target: weights.Target{Key: e.Key, ID: e.ID, Address: e.Address}, Zone: e.Zone, Version: v,
			Backlog: s.view.Backlog(now, e.Key), Left: s.named[model].left(v, clock, bound),
		})
	}
	return out
}

// namedVersions copies what the operator named.
func (s *state) namedVersions() map[string]named {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.named)
}

// namedAt takes since when versions are named, by another daemon.
func (s *state) namedAt(now time.Duration, wall time.Time, all []weights.NamedAt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range all {
		s.named[at.Model] = s.named[at.Model].told(now, wall, at)
	}
}

// namedSince tells other daemons since when versions are named.
func (s *state) namedSince(now time.Duration, wall time.Time) []weights.NamedAt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []weights.NamedAt
	for model, all := range s.named {
		for _, n := range all {
			out = append(out, weights.NamedAt{Model: model, Version: n.version, UnixMs: wall.Add(n.since - now).UnixMilli()})
		}
	}
	return out
}
