package router

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/freshness"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/placement"
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
	places    map[fleet.EndpointID]*directory.Endpoint // usable ones
	versions  map[string]map[int64]int                 // usable engines by version, of a laneKey and of a modelKey
	pools     map[string]bool
	saved     map[prefix.Key]time.Time // when a part was sent to the store
	lanes     laneSplit
	part      float64                    // of the engines for short prompts, as the pools have it
	usable    int                        // engines that were neither resting nor ejected then
	dirty     bool                       // some endpoint's version or state changed
	split     *map[fleet.EndpointID]bool // the limited endpoints, as the pools have them

	view *placement.Shared
}

func newState(set *Settings, rng *rand.Rand) *state {
	return &state{
		directory: directory.New(time.Duration(lapsePart * float64(set.DrainWithin))),
		named:     map[string]named{},
		health:    health.New(health.Options{Rand: rng, Failures: ejectAfter, Ejection: ejectFor, MaxEjection: ejectAtMost}),
		resting:   map[fleet.EndpointID]time.Time{},
		places:    map[fleet.EndpointID]*directory.Endpoint{},
		versions:  map[string]map[int64]int{},
		pools:     map[string]bool{},
		saved:     map[prefix.Key]time.Time{},
		view: placement.NewShared(placement.Options{
			Zone: set.Zone, PrefillRate: prefillRate, ImportLatency: importLatency, ReservationTTL: reservationTTL,
			QueueLife: queueLife, HomePrior: homePrior,
		}),
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

func plainPool(service string) string { return service }

func modelKey(service, model string) string { return service + "\x00" + model }

func laneKey(model string, l lane) string { return model + "\x00" + laneNames[l] }

func modelPool(service, model string, version int64, l lane) string {
	return modelKey(service, model) + "\x00" + strconv.FormatInt(version, 10) + "\x00" + laneNames[l]
}

// servedModel names the engines of a service that have a model.
type servedModel struct{ service, model string }

// refresh rebuilds the pools from the directory. Call it with mu held after
// each change, and on a tick, as entries that lapsed stop counting with time.
func (s *state) refresh(now time.Time) {
	places := map[fleet.EndpointID]*directory.Endpoint{}
	versions := map[string]map[int64]int{}
	pools := map[string][]fleet.Endpoint{}
	engines, out := map[servedModel]map[int64][]fleet.Endpoint{}, map[servedModel]map[int64][]fleet.Endpoint{}
	var listed []fleet.Endpoint
	for _, service := range s.directory.Services() {
		for _, e := range s.directory.Usable(now, service) {
			places[e.Key] = e
			member := fleet.Endpoint{ID: e.Key, Zone: e.Zone, Class: service, Address: e.Address, State: fleet.VMLive}
			listed = append(listed, member)
			pools[plainPool(service)] = append(pools[plainPool(service)], member)
			for model, v := range e.Versions {
				key := servedModel{service, model}
				if engines[key] == nil {
					engines[key], out[key] = map[int64][]fleet.Endpoint{}, map[int64][]fleet.Endpoint{}
				}
				into := engines[key]
				if s.unusable(now, e.Key) {
					into = out[key]
				}
				into[v] = append(into[v], member)
			}
		}
	}
	part := s.lanes.short()
	if limited := s.limited.Load(); limited != s.split {
		s.split, s.dirty = limited, true
	}
	var limited map[fleet.EndpointID]bool
	if s.split != nil {
		limited = *s.split
	}
	usable := 0
	for key, byVersion := range engines {
		n := 0
		for _, members := range byVersion {
			n += len(members)
		}
		usable += n
		name := modelKey(key.service, key.model)
		short, long := splitVersions(byVersion, shortCount(part, n), n == 1, limited)
		versions[name] = map[int64]int{}
		for version, members := range byVersion {
			if len(members) > 0 {
				versions[name][version] = len(members)
			}
		}
		for l, parted := range [laneCount]map[int64][]fleet.Endpoint{laneShort: short, laneLong: long} {
			counts := map[int64]int{}
			versions[laneKey(name, lane(l))] = counts
			for version, members := range parted {
				if len(members) == 0 {
					continue
				}
				counts[version] = len(members)
				pools[modelPool(key.service, key.model, version, lane(l))] = append(members[:len(members):len(members)], out[key][version]...)
			}
		}
	}
	if part != s.part || usable != s.usable {
		s.part, s.usable, s.dirty = part, usable, true
	}
	s.versions = versions
	if sameMembers(s.places, places) && !s.dirty {
		s.regate(now)
		return
	}
	s.dirty = false
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		s.view.SetPool(name, pools[name])
	}
	for name := range s.pools {
		if _, ok := pools[name]; !ok {
			s.view.SetPool(name, nil)
		}
	}
	s.pools = map[string]bool{}
	for name := range pools {
		s.pools[name] = true
	}
	s.places = places
	s.health.Sync(now, listed)
	s.regate(now)
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

func sameMembers(a, b map[fleet.EndpointID]*directory.Endpoint) bool {
	return maps.EqualFunc(a, b, func(x, y *directory.Endpoint) bool { return x == y })
}

// unusable tells whether an endpoint gets no work for the moment.
func (s *state) unusable(now time.Time, key fleet.EndpointID) bool {
	return now.Before(s.resting[key]) || s.health.Status(now, key) == health.Ejected
}

// regate tells placement which endpoints are out for the moment.
func (s *state) regate(now time.Time) {
	for key := range s.places {
		gate := placement.GateOpen
		if s.unusable(now, key) {
			gate = placement.GateEjected
		}
		s.view.SetGate(key, gate)
	}
	for key, until := range s.resting {
		if now.After(until) {
			delete(s.resting, key)
		}
	}
}

// rest leaves an endpoint alone for a while.
func (s *state) rest(now time.Time, key fleet.EndpointID, d time.Duration) {
	if until := now.Add(d); until.After(s.resting[key]) {
		s.resting[key] = until
	}
	s.view.SetGate(key, placement.GateEjected)
}

// learn takes the version that an endpoint was seen to have.
func (s *state) learn(now time.Time, key fleet.EndpointID, model string, version int64) bool {
	e := s.places[key]
	if e == nil || !s.directory.Learn(key, e.ID, model, version) {
		return false
	}
	s.dirty = true
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
	s.dirty = true
	s.refresh(now)
}

// engines lists the engines that serve the model, for the plan of orders.
func (s *state) engines(now time.Time, clock, bound time.Duration, model string) []weights.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []weights.Engine
	for _, e := range s.directory.All() {
		v, serves := e.Versions[model]
		if !serves || e.State != directory.Ready {
			continue
		}
		out = append(out, weights.Engine{
			Target: weights.Target{Key: e.Key, ID: e.ID, Address: e.Address}, Zone: e.Zone, Version: v,
			Backlog: s.view.Backlog(now, e.Key), Left: s.named[model].left(v, clock, bound),
		})
	}
	slices.SortFunc(out, func(a, b weights.Engine) int { return cmp.Compare(a.Key, b.Key) })
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
