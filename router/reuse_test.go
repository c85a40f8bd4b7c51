package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/caches"
	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/routes"
)

// reuseFleet describes a simulated fleet and its load of prompts that share prefixes.
type reuseFleet struct {
	engines      int
	readRate     float64 // tokens/s of an engine
	linkRate     float64 // tokens/s between engines
	sharedTokens int     // tokens of a shared prefix
	ownTokens    int     // average tokens of a prompt after the shared prefix
	prefixes     int     // number of different shared prefixes
	loadFraction float64 // fraction of the engines' read capacity that the load takes if nothing is reused
}

// drawFleet returns a random fleet, so that the test does not depend on the figures of one
// deployment.
func drawFleet(seed uint64) reuseFleet {
	rng := rand.New(rand.NewPCG(seed, 9))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	return reuseFleet{
		engines: 6 + rng.IntN(14), readRate: between(30_000, 120_000), linkRate: between(150_000, 2_500_000),
		sharedTokens: int(between(500, 12_000)), ownTokens: int(between(1000, 8000)), prefixes: 20 + rng.IntN(200), loadFraction: between(0.6, 0.9),
	}
}

// Parameters of the simulation.
const (
	// reuseEventDelay is the time until daemons receive a cache event.
	reuseEventDelay = 150 * time.Millisecond
	// reuseFetchOverhead is the time to start a fetch.
	reuseFetchOverhead = 3 * time.Millisecond
	// reuseTarget is the latency objective.
	reuseTarget = 800 * time.Millisecond
)

// reuseEngine simulates an engine that reads one prompt at a time and keeps all prefixes
// that it has read.
type reuseEngine struct {
	busyUntil time.Duration
	prefixes  map[int]time.Duration // when each prefix was read
}

// placementMode is the information that placement uses.
type placementMode int

const (
	byWait        placementMode = iota // expected waits only
	byPreferred                        // also the preferred endpoint of the prefix; other engines fetch the prefix from it
	byCacheEvents                      // also the cache contents that engines report
)

// reuseStats is the result of a simulation run.
type reuseStats struct {
	inTime, all  int
	rereadTokens int // prefix tokens that were read though some engine cached them
}

// run simulates some seconds of the load.
func (f *reuseFleet) run(seconds int, by placementMode) reuseStats {
	rng := rand.New(rand.NewPCG(3, 1))
	engines := make([]reuseEngine, f.engines)
	var members []fleet.Endpoint
	for i := range engines {
		engines[i].prefixes = map[int]time.Duration{}
		members = append(members, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Zone: "z", State: fleet.VMLive})
	}
	const daemons = 8
	var views []*placement.View
	for range daemons {
		v := placement.NewView(placement.Options{Zone: "z", PrefillRate: f.readRate, QueueHalfLife: queueHalfLife, PreferredPrior: cachedPrior})
		v.SetPool("all", members)
		views = append(views, v)
	}
	var out reuseStats
	rate := f.loadFraction * float64(f.engines) * f.readRate / float64(f.sharedTokens+f.ownTokens)
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		prefixID, own := rng.IntN(f.prefixes), 1+rng.IntN(2*f.ownTokens)
		request := placement.Request{ID: rng.Uint64(), Pool: "all", Tokens: f.sharedTokens + own}
		if by != byWait {
			request.Levels = prefix.SegmentLevels(prefix.Seed{}, []prefix.Segment{{ID: fmt.Sprint(prefixID), Tokens: f.sharedTokens}, {ID: fmt.Sprint("own", request.ID), Tokens: own}})
		}
		if by == byCacheEvents {
			request.Locations = f.cacheLocations(engines, members, prefixID, now)
		}
		at := time.Unix(1_800_000_000, 0).Add(now)
		v := views[rng.IntN(daemons)]
		d, err := v.Place(at, request)
		if err != nil {
			panic(err)
		}
		e := &engines[indexOf(members, d.Endpoint)]
		fetches := request.Locations != nil && request.Locations.MaxTokens > 0
		if preferred := indexOf(members, d.AlternateEndpoint); by == byPreferred && d.Reason == placement.ReasonSpill && preferred >= 0 {
			at, ok := engines[preferred].prefixes[prefixID]
			fetches = ok && at <= now
		}
		took := f.readPrompt(engines, e, prefixID, own, now, fetches, &out)
		begin := max(now, e.busyUntil)
		e.busyUntil = begin + took
		out.all++
		if e.busyUntil-now <= reuseTarget {
			out.inTime++
		}
		wait := fleet.Load{At: at, WaitingTokens: int((e.busyUntil - now).Seconds() * f.readRate), Slots: 64}
		v.Answered(at, placement.Answer{ID: request.ID, Endpoint: d.Endpoint, Load: &wait})
		v.Finished(at, request.ID)
	}
	return out
}

// cacheLocations returns the cached tokens of a prefix by engine, as far as daemons have
// received the cache events.
func (f *reuseFleet) cacheLocations(engines []reuseEngine, members []fleet.Endpoint, prefixID int, now time.Duration) *placement.PrefixLocations {
	h := &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}, FetchRate: f.linkRate}
	for i := range engines {
		h.Tokens[members[i].ID] = 0
		if at, ok := engines[i].prefixes[prefixID]; ok && now-at > reuseEventDelay {
			h.Tokens[members[i].ID], h.MaxTokens = f.sharedTokens, f.sharedTokens
		}
	}
	return h
}

// readPrompt returns how long the engine takes for a prompt, and records the prefix as
// cached there.
func (f *reuseFleet) readPrompt(engines []reuseEngine, e *reuseEngine, prefixID, own int, now time.Duration, fetches bool, out *reuseStats) time.Duration {
	seconds := float64(own) / f.readRate
	done := max(now, e.busyUntil)
	_, has := e.prefixes[prefixID]
	switch {
	case has:
	case fetches:
		seconds += reuseFetchOverhead.Seconds() + float64(f.sharedTokens)/f.linkRate
	default:
		seconds += float64(f.sharedTokens) / f.readRate
		for i := range engines {
			if at, ok := engines[i].prefixes[prefixID]; ok && at <= done {
				out.rereadTokens += f.sharedTokens
				break
			}
		}
	}
	took := time.Duration(seconds * float64(time.Second))
	if !has {
		e.prefixes[prefixID] = done + took
	}
	return took
}

func indexOf(members []fleet.Endpoint, id fleet.EndpointID) int {
	for i := range members {
		if members[i].ID == id {
			return i
		}
	}
	return -1
}

// Eight daemons, each of which knows only the prompts that it placed itself, receive
// prompts with shared prefixes. Placed by the expected wait alone, a prefix is read at one
// engine after another, and callers wait for work that was done elsewhere. If engines
// report their cache contents, it is fetched instead. If they do not, most prefixes are
// cached at their preferred endpoint, which is the same for all daemons.
func TestSharedPrefixesAreFetchedFromHolders(t *testing.T) {
	for seed := range uint64(6) {
		f := drawFleet(seed)
		byWaits, preferred, reported := f.run(20, byWait), f.run(20, byPreferred), f.run(20, byCacheEvents)
		t.Logf("%+v: tokens read again: %d by wait, %d by preferred endpoint, %d by cache events; in time: %d, %d, %d of %d", f, byWaits.rereadTokens, preferred.rereadTokens, reported.rereadTokens, byWaits.inTime, preferred.inTime, reported.inTime, reported.all)
		if reported.rereadTokens*4 > byWaits.rereadTokens || reported.inTime < byWaits.inTime {
			t.Errorf("seed %d: by wait and by cache events: read again %d and %d tokens, in time %d and %d of %d", seed, byWaits.rereadTokens, reported.rereadTokens, byWaits.inTime, reported.inTime, reported.all)
		}
		if preferred.rereadTokens*2 > byWaits.rereadTokens || preferred.inTime < byWaits.inTime {
			t.Errorf("seed %d: by wait and by preferred endpoint: read again %d and %d tokens, in time %d and %d of %d", seed, byWaits.rereadTokens, preferred.rereadTokens, byWaits.inTime, preferred.inTime, preferred.all)
		}
	}
}

// trackerWithHolders returns a cache tracker that follows two engines, near in zone a and
// far in zone b, and a store in zone a.
func trackerWithHolders(t *testing.T, now *time.Duration) *cacheTracker {
	t.Helper()
	c := newCacheTracker(nil, func() time.Duration { return *now }, nil)
	for _, s := range []cacheSource{
		{name: "near", address: "1:1", zone: "a", rate: 100},
		{name: "far", address: "2:1", zone: "b", rate: 100},
		{name: "store", address: "3:1", zone: "a", rate: 50},
	} {
		c.followed[s.name] = &followedHolder{cacheSource: s}
	}
	return c
}

// addCacheEvents applies events of a holder that caches the segments with the ids, of 500
// tokens each.
func addCacheEvents(c *cacheTracker, name string, ids ...string) {
	var b caches.Batch
	for i, id := range ids {
		b.Events = append(b.Events, caches.Event{Sequence: int64(i), Segment: caches.NewSegmentKey("v1", id), Tokens: 500})
	}
	c.applyEvents(context.Background(), c.followed[name], b)
}

// Of several holders of a prompt's prefix, the one with most of it must be chosen, and of
// equal ones the nearest. A holder whose last event is too old must not be chosen, as it may
// have ended, and the prompt would wait for it.
func TestBestSourceOfPrefix(t *testing.T) {
	now := time.Hour
	c := trackerWithHolders(t, &now)
	req := &forward.PlacementRequest{In: &forward.RequestInfo{Parts: []prefix.Segment{{ID: "x", Tokens: 500}, {ID: "y", Tokens: 500}, {ID: "q", Tokens: 9}}}}
	all := func(string) bool { return true }
	if h := c.locate(req, "v1"); h != nil {
		t.Errorf("locations %+v without any cache event", h)
	}
	addCacheEvents(c, "far", "x")
	addCacheEvents(c, "store", "x")
	addCacheEvents(c, "near", "x")
	if got, n := c.bestSource(req, "v1", "a", all); got != "1:1" || n != 500 {
		t.Errorf("%q was chosen with %d tokens", got, n)
	}
	if got, _ := c.bestSource(req, "v1", "b", all); got != "2:1" {
		t.Errorf("%q was chosen as nearest to zone b", got)
	}
	if got, _ := c.bestSource(req, "v1", "a", func(name string) bool { return name != "near" }); got != "3:1" {
		t.Errorf("%q was chosen without the nearest", got)
	}
	if got, n := c.bestSource(req, "v2", "a", all); got != "" || n != 0 {
		t.Errorf("%q was chosen with %d tokens of another weight version", got, n)
	}
	now += time.Second
	addCacheEvents(c, "far", "x", "y")
	if got, n := c.bestSource(req, "v1", "a", all); got != "2:1" || n != 1000 {
		t.Errorf("%q was chosen with %d tokens", got, n)
	}
	if h := c.locate(req, "v1"); h == nil || h.MaxTokens != 1000 || h.Tokens["near"] != 500 || h.Tokens["far"] != 1000 {
		t.Errorf("locations %+v", h)
	}
	now += maxEventAge - 500*time.Millisecond
	if h := c.locate(req, "v1"); h == nil || len(h.Tokens) != 1 {
		t.Errorf("locations %+v when the last events of two of three holders are old", h)
	}
}

// There are more daemons than may follow the cache events of one engine. All daemons must
// choose the same followers without communication.
func TestDaemonsDivideCacheHolders(t *testing.T) {
	var all []Neighbour
	for i := range 40 {
		all = append(all, Neighbour{Name: fmt.Sprint("d", i), Zone: "z"})
	}
	for _, holder := range []string{"e1", "e2", "e3"} {
		followers := 0
		for _, d := range all {
			n := newNeighbours(d, &Settings{}, forward.Dialer(), fixedClock(0), discardLog())
			if n.isChosen(holder, 6) {
				t.Errorf("%s follows before it knows the other daemons", d.Name)
			}
			n.set(all)
			if n.isChosen(holder, 6) {
				followers++
			}
		}
		if followers != 6 {
			t.Errorf("%d daemons follow %s", followers, holder)
		}
	}
}

// Following the cache events of sixty engines would cost a daemon more than all other
// control traffic. It must follow none and use preferred endpoints instead.
func TestCachesOfLargeFleetAreNotFollowed(t *testing.T) {
	sources := func(engines int) int {
		set := Settings{Zone: "z"}
		r := &Router{clock: fixedClock(time.Second), state: newState(&set, rand.New(rand.NewPCG(1, 2))), neighbours: newNeighbours(Neighbour{Name: "d"}, &set, forward.Dialer(), fixedClock(0), discardLog())}
		r.neighbours.set([]Neighbour{{Name: "d", Zone: "z"}})
		r.state.table.Store(&routes.Table{Services: map[string]*routes.Service{"s": {Name: "s", Engine: &routes.Engine{MaxFollowers: 8}}}})
		for i := range engines {
			r.state.roster.Put(directory.Entry{ID: fmt.Sprint("e", i), Service: "s"})
		}
		r.state.refresh(time.Now())
		if len(r.cacheSources()) > 0 {
			t.Error("caches are followed before the list of endpoints is known")
		}
		r.state.endpoints.RecordAnswer(r.clock(), r.clock())
		return len(r.cacheSources())
	}
	if small, large := sources(18), sources(60); small != 18 || large != 0 {
		t.Errorf("%d of 18 and %d of 60 engines are followed", small, large)
	}
}
