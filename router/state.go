package router

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/freshness"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
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
	operator  freshness.Confirmed // reads of the operator's topic
	endpoints freshness.Confirmed
	// limited are the endpoints that name a limit. It is replaced as a whole.
	limited atomic.Pointer[map[fleet.EndpointID]bool]

	mu        sync.Mutex
	directory *directory.Directory
	named     map[string]named
	health    *health.Tracker
	resting   map[fleet.EndpointID]time.Time
	gated     map[fleet.EndpointID]bool                // placement was told that they get no work
	places    map[fleet.EndpointID]*directory.Endpoint // usable ones
	pools     *pools.Table
	saved     map[prefix.Key]time.Time // when a part was sent to the store
	lanes     laneSplit
	dirty     bool                       // some endpoint's version or state changed
	split     *map[fleet.EndpointID]bool // the limited endpoints, as the pools have them
	checked   []fleet.EndpointID         // memory of recheck

	view *placement.Shared
}

func newState(set *Settings, rng *rand.Rand) *state {
	view := placement.NewShared(placement.Options{
		Zone: set.Zone, PrefillRate: prefillRate, ImportLatency: importLatency, ReservationTTL: reservationTTL,
		QueueLife: queueLife, HomePrior: homePrior,
	})
	return &state{
		directory: directory.New(time.Duration(lapsePart * float64(set.DrainWithin))),
		named:     map[string]named{},
		health:    health.New(health.Options{Rand: rng, Failures: ejectAfter, Ejection: ejectFor, MaxEjection: ejectAtMost}),
		resting:   map[fleet.EndpointID]time.Time{},
		gated:     map[fleet.EndpointID]bool{},
		places:    map[fleet.EndpointID]*directory.Endpoint{},
		pools:     pools.New(view, firstShort),
		saved:     map[prefix.Key]time.Time{},
		view:      view,
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
	// prompts than it runs. With 0.9 queues were taken to be a third as long as they were.
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
// Call it with mu held after each change, and on a tick. It costs what changed, however
// many endpoints there are.
func (s *state) refresh(now time.Time) {
	s.dirty = false
	for _, c := range s.directory.Changes(now) {
		if c.Usable {
			s.put(now, c.Endpoint)
		} else {
			s.drop(now, c.Endpoint.Key)
		}
	}
	s.splitLimited()
	s.pools.SetPart(s.lanes.short())
	s.recheck(now)
}

// put has an endpoint get work, or takes what changed of it.
func (s *state) put(now time.Time, e *directory.Endpoint) {
	s.places[e.Key] = e
	member := fleet.Endpoint{ID: e.Key, Zone: e.Zone, Class: e.Service, Address: e.Address, State: fleet.VMLive}
	s.health.List(now, member)
	s.pools.Put(pools.Endpoint{Endpoint: member, Versions: e.Versions}, s.unusable(now, e.Key), s.split != nil && (*s.split)[e.Key])
	if s.unusable(now, e.Key) {
		s.gate(e.Key)
	}
}

// drop has an endpoint get no work any more.
func (s *state) drop(now time.Time, key fleet.EndpointID) {
	delete(s.places, key)
	delete(s.gated, key)
	s.pools.Remove(key)
	s.health.Missing(now, key)
}

// splitLimited takes which endpoints name a limit now.
func (s *state) splitLimited() {
	next := s.limited.Load()
	if next == s.split {
		return
	}
	if s.split != nil {
		for key := range *s.split {
			if next == nil || !(*next)[key] {
				s.pools.SetLimited(key, false)
			}
		}
	}
	if next != nil {
		for key := range *next {
			s.pools.SetLimited(key, true)
		}
	}
	s.split = next
}

// recheck looks at the endpoints that get no work for the moment, or may not: those
// that rest, and those that health has ejected or keeps in spite of that.
func (s *state) recheck(now time.Time) {
	s.checked = s.health.AppendAway(s.checked[:0])
	for key := range s.resting {
		s.checked = append(s.checked, key)
	}
	for key := range s.gated {
		s.checked = append(s.checked, key)
	}
	for _, key := range s.checked {
		out := s.unusable(now, key)
		s.pools.SetOut(key, out)
		if out {
			s.gate(key)
		} else {
			delete(s.gated, key)
			s.view.SetGate(key, placement.GateOpen)
		}
	}
	for key, until := range s.resting {
		if now.After(until) {
			delete(s.resting, key)
		}
	}
}

// gate tells placement that an endpoint gets no work for the moment.
func (s *state) gate(key fleet.EndpointID) {
	s.gated[key] = true
	s.view.SetGate(key, placement.GateEjected)
}

// settle puts changes of the directory into force before a request is placed. A
// daemon that has just become ready would else refuse its first callers until
// the next tick.
func (s *state) settle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dirty {
		s.refresh(now)
	}
}

// usable tells whether an endpoint may be given work.
func (s *state) usable(key fleet.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.places[key] != nil
}

// unusable tells whether an endpoint gets no work for the moment.
func (s *state) unusable(now time.Time, key fleet.EndpointID) bool {
	return now.Before(s.resting[key]) || s.health.Status(now, key) == health.Ejected
}

// rest leaves an endpoint alone for a while.
func (s *state) rest(now time.Time, key fleet.EndpointID, d time.Duration) {
	if until := now.Add(d); until.After(s.resting[key]) {
		s.resting[key] = until
	}
	s.gate(key)
}

// learn takes the version that an endpoint was seen to have.
func (s *state) learn(now time.Time, key fleet.EndpointID, model string, version int64) bool {
	e := s.places[key]
	if e == nil || !s.directory.Learn(key, e.ID, model, version) {
		return false
	}
	s.refresh(now)
	return true
}

// news takes what the holder of the order lease tells of engines.
func (s *state) news(now time.Time, all []weights.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range all {
		key := fleet.EndpointID(n.Engine)
		e := s.places[key]
		if e == nil {
			continue
		}
		switch {
		case n.Loading && e.Versions[n.Model] < n.Version:
			s.rest(now, key, loadingNews)
		case !n.Loading:
			delete(s.resting, key)
			s.learn(now, key, n.Model, n.Version)
		}
	}
	s.refresh(now)
}

// behind tells whether an engine has older weights of the model than the version.
func (s *state) behind(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Behind(model, version)
}

// engines lists the engines that serve the model, for the plan of orders.
func (s *state) engines(now time.Time, clock, bound time.Duration, model string) []weights.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []weights.Engine
	for _, e := range s.directory.Ready(model) {
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
