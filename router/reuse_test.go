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

// reuseFleet is a fleet under a load of prompts that share their beginnings.
type reuseFleet struct {
	engines  int
	readRate float64 // tokens/s of an engine
	linkRate float64 // tokens/s between engines
	shared   int     // tokens of a shared beginning
	own      int     // tokens of the rest, on average
	subjects int     // different beginnings
	part     float64 // of the engines' reading that the load would take with nothing shared
}

// drawFleet draws a fleet, so that no figure of one deployment decides.
func drawFleet(seed uint64) reuseFleet {
	rng := rand.New(rand.NewPCG(seed, 9))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	return reuseFleet{
		engines: 6 + rng.IntN(14), readRate: between(30_000, 120_000), linkRate: between(150_000, 2_500_000),
		shared: int(between(500, 12_000)), own: int(between(1000, 8000)), subjects: 20 + rng.IntN(200), part: between(0.6, 0.9),
	}
}

// Times of the model: an engine's word of its cache, and a fetch until it begins.
const (
	reuseLag    = 150 * time.Millisecond
	reuseSetup  = 3 * time.Millisecond
	reuseTarget = 800 * time.Millisecond
)

// reuseEngine reads one prompt at a time and keeps what it has read.
type reuseEngine struct {
	free  time.Duration
	parts map[int]time.Duration // subject to when it was read
}

// knowledge is what a daemon has to go by.
type knowledge int

const (
	waitsOnly knowledge = iota // prompts go where the wait is shortest
	homesOnly                  // and to the home of their beginning, or fetch from there
	allTold                    // engines tell what they hold
)

// reuseResult is what became of a run.
type reuseResult struct {
	inTime, all int
	again       int // shared tokens that were read though some engine had them
}

// run plays some seconds of the load.
func (f *reuseFleet) run(seconds int, by knowledge) reuseResult {
	rng := rand.New(rand.NewPCG(3, 1))
	engines := make([]reuseEngine, f.engines)
	var members []fleet.Endpoint
	for i := range engines {
		engines[i].parts = map[int]time.Duration{}
		members = append(members, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Zone: "z", State: fleet.VMLive})
	}
	const daemons = 8
	var views []*placement.View
	for range daemons {
		v := placement.NewView(placement.Options{Zone: "z", PrefillRate: f.readRate, QueueHalfLife: queueHalfLife, PreferredPrior: cachedPrior})
		v.SetPool("all", members)
		views = append(views, v)
	}
	var out reuseResult
	rate := f.part * float64(f.engines) * f.readRate / float64(f.shared+f.own)
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		subject, own := rng.IntN(f.subjects), 1+rng.IntN(2*f.own)
		request := placement.Request{ID: rng.Uint64(), Pool: "all", Tokens: f.shared + own}
		if by != waitsOnly {
			request.Levels = prefix.SegmentLevels(prefix.Seed{}, []prefix.Segment{{ID: fmt.Sprint(subject), Tokens: f.shared}, {ID: fmt.Sprint("own", request.ID), Tokens: own}})
		}
		if by == allTold {
			request.Locations = f.held(engines, members, subject, now)
		}
		at := time.Unix(1_800_000_000, 0).Add(now)
		v := views[rng.IntN(daemons)]
		d, err := v.Place(at, request)
		if err != nil {
			panic(err)
		}
		e := &engines[indexOf(members, d.Endpoint)]
		fetches := request.Locations != nil && request.Locations.MaxTokens > 0
		if home := indexOf(members, d.AlternateEndpoint); by == homesOnly && d.Reason == placement.ReasonSpill && home >= 0 {
			at, ok := engines[home].parts[subject]
			fetches = ok && at <= now
		}
		took := f.read(engines, e, subject, own, now, fetches, &out)
		begin := max(now, e.free)
		e.free = begin + took
		out.all++
		if e.free-now <= reuseTarget {
			out.inTime++
		}
		wait := fleet.Load{At: at, WaitingTokens: int((e.free - now).Seconds() * f.readRate), Slots: 64}
		v.Answered(at, placement.Answer{ID: request.ID, Endpoint: d.Endpoint, Load: &wait})
		v.Finished(at, request.ID)
	}
	return out
}

// held is what the engines told until now.
func (f *reuseFleet) held(engines []reuseEngine, members []fleet.Endpoint, subject int, now time.Duration) *placement.PrefixLocations {
	h := &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}, FetchRate: f.linkRate}
	for i := range engines {
		h.Tokens[members[i].ID] = 0
		if at, ok := engines[i].parts[subject]; ok && now-at > reuseLag {
			h.Tokens[members[i].ID], h.MaxTokens = f.shared, f.shared
		}
	}
	return h
}

// read returns how long the engine takes for a prompt, and keeps its beginning.
func (f *reuseFleet) read(engines []reuseEngine, e *reuseEngine, subject, own int, now time.Duration, fetches bool, out *reuseResult) time.Duration {
	seconds := float64(own) / f.readRate
	done := max(now, e.free)
	_, has := e.parts[subject]
	switch {
	case has:
	case fetches:
		seconds += reuseSetup.Seconds() + float64(f.shared)/f.linkRate
	default:
		seconds += float64(f.shared) / f.readRate
		for i := range engines {
			if at, ok := engines[i].parts[subject]; ok && at <= done {
				out.again += f.shared
				break
			}
		}
	}
	took := time.Duration(seconds * float64(time.Second))
	if !has {
		e.parts[subject] = done + took
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

// Prompts with shared beginnings come at eight daemons, each of which knows only
// what it sent itself. Placed by the wait alone, a beginning is read at one engine
// after the other, and callers wait for work that was done elsewhere. Where engines
// tell what they hold, it is fetched. Fleets are drawn: reading rates, links,
// lengths, numbers of subjects. Where they tell nothing, the home of a beginning, which
// all daemons compute alike, has most of them.
func TestBeginningsAreFetchedFromWhoeverHoldsThem(t *testing.T) {
	for seed := range uint64(6) {
		f := drawFleet(seed)
		blind, homes, told := f.run(20, waitsOnly), f.run(20, homesOnly), f.run(20, allTold)
		t.Logf("%+v: read again %d, %d by homes, %d told; in time %d, %d, %d of %d", f, blind.again, homes.again, told.again, blind.inTime, homes.inTime, told.inTime, told.all)
		if told.again*4 > blind.again || told.inTime < blind.inTime {
			t.Errorf("seed %d: told, read again %d and %d tokens, in time %d and %d of %d", seed, blind.again, told.again, blind.inTime, told.inTime, told.all)
		}
		if homes.again*2 > blind.again || homes.inTime < blind.inTime {
			t.Errorf("seed %d: by homes, read again %d and %d tokens, in time %d and %d of %d", seed, blind.again, homes.again, blind.inTime, homes.inTime, homes.all)
		}
	}
}

// watchOf returns a watch of two engines and a store.
func watchOf(t *testing.T, now *time.Duration) *cacheTracker {
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

func tell(c *cacheTracker, name string, ids ...string) {
	var b caches.Batch
	for i, id := range ids {
		b.Events = append(b.Events, caches.Event{Sequence: int64(i), Segment: caches.NewSegmentKey("v1", id), Tokens: 500})
	}
	c.applyEvents(context.Background(), c.followed[name], b)
}

// Several holders have the beginning of a prompt. It comes from the one that has
// most of it, of equal ones from the nearest, and never from one that has said
// nothing for a while: it may be gone, and the prompt would wait for it.
func TestSourceOfABeginning(t *testing.T) {
	now := time.Hour
	c := watchOf(t, &now)
	w := &forward.PlacementRequest{In: &forward.RequestInfo{Parts: []prefix.Segment{{ID: "x", Tokens: 500}, {ID: "y", Tokens: 500}, {ID: "q", Tokens: 9}}}}
	all := func(string) bool { return true }
	if h := c.locate(w, "v1"); h != nil {
		t.Errorf("%+v though nobody told anything", h)
	}
	tell(c, "far", "x")
	tell(c, "store", "x")
	tell(c, "near", "x")
	if got, n := c.bestSource(w, "v1", "a", all); got != "1:1" || n != 500 {
		t.Errorf("%q has %d", got, n)
	}
	if got, _ := c.bestSource(w, "v1", "b", all); got != "2:1" {
		t.Errorf("%q is nearest to zone b", got)
	}
	if got, _ := c.bestSource(w, "v1", "a", func(name string) bool { return name != "near" }); got != "3:1" {
		t.Errorf("%q without the nearest", got)
	}
	if got, n := c.bestSource(w, "v2", "a", all); got != "" || n != 0 {
		t.Errorf("%q has %d tokens of other weights", got, n)
	}
	now += time.Second
	tell(c, "far", "x", "y")
	if got, n := c.bestSource(w, "v1", "a", all); got != "2:1" || n != 1000 {
		t.Errorf("%q has %d", got, n)
	}
	if h := c.locate(w, "v1"); h == nil || h.MaxTokens != 1000 || h.Tokens["near"] != 500 || h.Tokens["far"] != 1000 {
		t.Errorf("held %+v", h)
	}
	now += maxEventAge - 500*time.Millisecond
	if h := c.locate(w, "v1"); h == nil || len(h.Tokens) != 1 {
		t.Errorf("held %+v when two of three are silent", h)
	}
}

// More daemons run than an engine answers questions for. All come to the same
// choice of those that follow it, without a word to each other.
func TestDaemonsDivideTheHolders(t *testing.T) {
	var all []Neighbour
	for i := range 40 {
		all = append(all, Neighbour{Name: fmt.Sprint("d", i), Zone: "z"})
	}
	for _, holder := range []string{"e1", "e2", "e3"} {
		followers := 0
		for _, d := range all {
			n := newNeighbours(d, &Settings{}, forward.Dialer(), fixed(0), quiet())
			if n.isChosen(holder, 6) {
				t.Errorf("%s follows before it knows the others", d.Name)
			}
			n.set(all)
			if n.isChosen(holder, 6) {
				followers++
			}
		}
		if followers != 6 {
			t.Errorf("%d follow %s", followers, holder)
		}
	}
}

// Sixty engines tell of their caches. Following them all would cost a daemon more
// than all other control together, so it follows none and goes by homes.
func TestLargeFleetsAreNotFollowed(t *testing.T) {
	sources := func(engines int) int {
		set := Settings{Zone: "z"}
		r := &Router{clock: fixed(time.Second), state: newState(&set, rand.New(rand.NewPCG(1, 2))), neighbours: newNeighbours(Neighbour{Name: "d"}, &set, forward.Dialer(), fixed(0), quiet())}
		r.neighbours.set([]Neighbour{{Name: "d", Zone: "z"}})
		r.state.table.Store(&routes.Table{Services: map[string]*routes.Service{"s": {Name: "s", Engine: &routes.Engine{MaxFollowers: 8}}}})
		for i := range engines {
			r.state.roster.Put(directory.Entry{ID: fmt.Sprint("e", i), Service: "s"})
		}
		r.state.refresh(time.Now())
		if len(r.cacheSources()) > 0 {
			t.Error("followed before the list is known")
		}
		r.state.endpoints.RecordAnswer(r.clock(), r.clock())
		return len(r.cacheSources())
	}
	if small, large := sources(18), sources(60); small != 18 || large != 0 {
		t.Errorf("%d of 18 and %d of 60 followed", small, large)
	}
}
