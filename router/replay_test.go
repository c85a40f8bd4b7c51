package router

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// These tests replay, in virtual time, the peak load of a fleet with a few long prompts
// among many short ones, placed by several daemons.

// engineModel simulates an engine that reads one prompt at a time, in order of priority.
type engineModel struct {
	id        fleet.EndpointID
	queue     []promptJob
	current   promptJob     // the prompt being read; its id is 0 if there is none
	busyUntil time.Duration // when the current prompt is read
}

// promptJob is a prompt that waits at an engine or is read there.
type promptJob struct {
	arrived  time.Duration
	tokens   int
	priority contract.Priority
	daemon   int
	id       uint64
}

const (
	readRate    = 80_000 // tokens/s of an engine
	daemonCount = 9
)

// replay simulates engines and the daemons that place prompts on them.
type replay struct {
	rng             *rand.Rand
	engines         []*engineModel
	views           []*placement.View
	maxExpectedWait time.Duration                    // long prompts with a longer expected wait are refused; 0: none
	candidates      func(segment string) []candidate // of a long prompt with the given segment; nil: the pool "long" only
	hotFraction     float64                          // fraction of the long prompts that share one segment
	reportWaits     bool                             // daemons observe the waits of their unanswered requests

	waits     [2][]time.Duration // of short and of long prompts, until they were read
	refused   int
	abandoned int // prompts whose caller left before the first event
}

// callerPatience is how long a caller waits for the first event before it leaves.
const callerPatience = 2400 * time.Millisecond

// newReplay returns a replay with daemonCount daemons. shortFraction is the fraction of
// the engines reserved for short prompts; 0: all engines read both.
func newReplay(engines int, o placement.Options, shortFraction float64) *replay {
	return newReplayWithDaemons(daemonCount, engines, o, shortFraction)
}

func newReplayWithDaemons(daemons, engines int, o placement.Options, shortFraction float64) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(11, 4))}
	for i := range engines {
		r.engines = append(r.engines, &engineModel{id: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	members := r.members()
	short, long := members, members
	if shortFraction > 0 {
		short, long = split(members, int(math.Round(shortFraction*float64(engines))), nil)
	}
	for range daemons {
		v := placement.NewView(o)
		v.SetPool("short", short)
		v.SetPool("long", long)
		r.views = append(r.views, v)
	}
	return r
}

func (r *replay) members() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range r.engines {
		out = append(out, fleet.Endpoint{ID: e.id, Zone: "z", State: fleet.VMLive})
	}
	return out
}

func (r *replay) engine(id fleet.EndpointID) *engineModel {
	return r.engines[slices.IndexFunc(r.engines, func(e *engineModel) bool { return e.id == id })]
}

// load returns the load that the engine reports. It counts waiting prompts at the average
// length of long ones.
func (e *engineModel) load(now time.Time) fleet.Load {
	return fleet.Load{At: now, Waiting: len(e.queue), WaitingTokens: len(e.queue) * 17_000, Slots: 128}
}

func (r *replay) wallTime(at time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(at) }

// run simulates some seconds with the given arrival rates of short and long prompts, in
// prompts/s.
func (r *replay) run(seconds int, shortRate, longRate float64) {
	step := time.Millisecond
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += step {
		for _, e := range r.engines {
			r.advance(now, e)
		}
		if r.reportWaits && now%(100*step) == 0 {
			r.reportWaiting(now)
		}
		if r.rng.Float64() < shortRate/1000 {
			r.arrive(now, 380, contract.PriorityInteractive)
		}
		if r.rng.Float64() < longRate/1000 {
			r.arrive(now, 6000+r.rng.IntN(24_000), contract.PriorityStandard)
		}
	}
}

func (r *replay) arrive(now time.Duration, tokens int, p contract.Priority) {
	daemon := r.rng.IntN(len(r.views))
	request := placement.Request{ID: r.rng.Uint64(), Pool: "short", Tokens: tokens, Priority: p}
	if tokens > maxShortTokens {
		request.Pool = "long"
		request.Levels = segmentLevels(r.drawSegment(), tokens)
	}
	d := r.place(now, daemon, &request)
	if r.maxExpectedWait > 0 && tokens > maxShortTokens && d.ExpectedWait > r.maxExpectedWait {
		r.views[daemon].Finished(r.wallTime(now), request.ID)
		r.refused++
		return
	}
	e := r.engine(d.Endpoint)
	e.queue = append(e.queue, promptJob{now, tokens, p, daemon, request.ID})
}

// drawSegment returns the id of a random shared segment of a long prompt.
func (r *replay) drawSegment() string {
	if r.hotFraction > 0 && r.rng.Float64() < r.hotFraction {
		return "hot"
	}
	return fmt.Sprint(r.rng.IntN(200))
}

func segmentLevels(segment string, tokens int) []prefix.Level {
	return prefix.SegmentLevels(prefix.Seed{}, []prefix.Segment{{ID: segment, Tokens: tokens * 3 / 4}, {ID: "own", Tokens: tokens / 4}})
}

// place selects an engine for a request and reserves it, among the candidates if the
// replay has them.
func (r *replay) place(now time.Duration, daemon int, request *placement.Request) placement.Decision {
	v := r.views[daemon]
	if r.candidates == nil || request.Pool != "long" {
		d, err := v.Place(r.wallTime(now), *request)
		if err != nil {
			panic(err)
		}
		return d
	}
	all := r.candidates(request.Levels[0].Key.String())
	for i := range all {
		all[i].levels = func() []prefix.Level { return request.Levels }
	}
	first := *request
	first.Pool = all[0].pool
	for _, id := range v.StalePreferred(first, r.wallTime(now-freshLoadAge), maxQueriedEngines) {
		v.LoadReported(id, r.engine(id).load(r.wallTime(now)))
	}
	best, err := bestCandidate(r.wallTime(now), v, *request, all, replayTarget)
	if err != nil {
		panic(err)
	}
	v.Reserve(r.wallTime(now), best.request, &best.decision)
	return best.decision
}

// replayTarget is the latency objective of prompts that have several candidates.
const replayTarget = 500 * time.Millisecond

// advance answers the engine's current prompt if it was read, drops prompts whose callers
// have left, and starts the next one.
func (r *replay) advance(now time.Duration, e *engineModel) {
	if now < e.busyUntil {
		return
	}
	if e.current.id != 0 {
		r.finish(now, e, e.current)
		e.current = promptJob{}
	}
	e.queue = slices.DeleteFunc(e.queue, func(j promptJob) bool {
		if now-j.arrived < callerPatience {
			return false
		}
		r.views[j.daemon].Finished(r.wallTime(now), j.id)
		r.abandoned++
		return true
	})
	if len(e.queue) == 0 {
		return
	}
	first := 0
	for i, j := range e.queue {
		if j.priority < e.queue[first].priority {
			first = i
		}
	}
	e.current = e.queue[first]
	e.queue = slices.Delete(e.queue, first, first+1)
	e.busyUntil = now + time.Duration(float64(e.current.tokens)/readRate*float64(time.Second))
}

func (r *replay) finish(now time.Duration, e *engineModel, j promptJob) {
	kind := 0
	if j.tokens > maxShortTokens {
		kind = 1
	}
	r.waits[kind] = append(r.waits[kind], now-j.arrived)
	v := r.views[j.daemon]
	load := e.load(r.wallTime(now))
	if kind == 0 {
		load.WaitingTokens = len(e.queue) * 380
	}
	v.Answered(r.wallTime(now), placement.Answer{ID: j.id, Endpoint: e.id, Load: &load})
	v.Finished(r.wallTime(now), j.id)
	if r.reportWaits && kind == 1 {
		reading := time.Duration(float64(j.tokens) / readRate * float64(time.Second))
		v.ObserveWait(r.wallTime(now), e.id, j.priority, now-j.arrived-reading, true)
	}
}

// reportWaiting passes the waits of queued requests to their daemons, as
// placer.reportWaiting does.
func (r *replay) reportWaiting(now time.Duration) {
	for _, e := range r.engines {
		for _, j := range e.queue {
			r.views[j.daemon].ObserveWait(r.wallTime(now), e.id, j.priority, now-j.arrived, false)
		}
	}
}

// countWithin returns how many prompts of a kind (0: short, 1: long) were read within the
// time.
func (r *replay) countWithin(kind int, d time.Duration) int {
	n := 0
	for _, w := range r.waits[kind] {
		if w <= d {
			n++
		}
	}
	return n
}

func placementOptions() placement.Options {
	return placement.Options{Zone: "z", PrefillRate: readRate, QueueHalfLife: queueHalfLife}
}

// A short prompt that arrives at an engine after a long one waits until that was read.
// With a subpool of their own, nearly all short prompts must be read within 50 ms.
func TestSubpoolsShortenWaitOfShortPrompts(t *testing.T) {
	mixed, divided := newReplay(9, placementOptions(), 0), newReplay(9, placementOptions(), 0.2)
	mixed.run(20, 200, 20)
	divided.run(20, 200, 20)
	all := len(divided.waits[0])
	before, after := mixed.countWithin(0, 50*time.Millisecond), divided.countWithin(0, 50*time.Millisecond)
	t.Logf("short prompts in time: %d of %d in one pool, %d of %d with subpools", before, len(mixed.waits[0]), after, all)
	if after < all*97/100 || before > all*90/100 {
		t.Errorf("in time: %d in one pool, %d with subpools of %d", before, after, all)
	}
}

// Long prompts arrive faster than engines can read them. If prompts with a long expected
// wait are refused, engines read fewer prompts whose callers leave, and more callers get
// their first event within the objective than if all prompts are accepted.
func TestEarlyRefusalServesMoreInTime(t *testing.T) {
	accepting := newReplay(6, placementOptions(), 0)
	accepting.reportWaits = true
	accepting.run(30, 0, 50)
	refusing := newReplay(6, placementOptions(), 0)
	refusing.reportWaits, refusing.maxExpectedWait = true, 600*time.Millisecond
	refusing.run(30, 0, 50)
	before, after := accepting.countWithin(1, 800*time.Millisecond), refusing.countWithin(1, 800*time.Millisecond)
	t.Logf("in time: %d when accepting all (%d abandoned), %d when refusing (%d abandoned, %d refused)", before, accepting.abandoned, after, refusing.abandoned, refusing.refused)
	if after < before*3/2 || refusing.abandoned > accepting.abandoned/2 {
		t.Errorf("in time %d and %d, abandoned %d and %d", before, after, accepting.abandoned, refusing.abandoned)
	}
}

// Seventy daemons place 160 long prompts a second on 58 engines, half of what these can
// read. As none knows of the others' prompts before an engine reports its load, several
// prompts are sent to the same engine and at least a sixth are late. A single daemon that
// places all prompts avoids most of these collisions.
func TestCentralPlacementSpreadsPrompts(t *testing.T) {
	o := placementOptions()
	o.PreferredPrior = cachedPrior
	late := func(daemons int) float64 {
		r := newReplayWithDaemons(daemons, 58, o, 0)
		r.reportWaits = true
		r.candidates = func(string) []candidate {
			return []candidate{{pool: "long"}, {pool: "long", nonPreferred: true, penalty: nonPreferredPenalty}}
		}
		r.run(20, 0, 160)
		return 1 - float64(r.countWithin(1, replayTarget))/float64(len(r.waits[1])+r.abandoned)
	}
	seventy, one := late(70), late(1)
	t.Logf("fraction late: %.3f placed by seventy daemons, %.3f by one", seventy, one)
	if seventy < 1.0/6 || one > seventy/3 {
		t.Errorf("fraction late: %.3f placed by seventy daemons, %.3f by one", seventy, one)
	}
}

// Under overload, a daemon that sees only the load reported by answers to its own requests
// underestimates the queues of engines. Once the waits of unanswered requests count as
// well, at most half as many callers may leave before the first event.
func TestReportedWaitsImproveRefusals(t *testing.T) {
	answersOnly := placementOptions()
	answersOnly.QueueHalfLife = 0
	without := newReplay(6, answersOnly, 0)
	without.maxExpectedWait = 600 * time.Millisecond
	without.run(30, 0, 50)
	with := newReplay(6, placementOptions(), 0)
	with.reportWaits, with.maxExpectedWait = true, 600*time.Millisecond
	with.run(30, 0, 50)
	t.Logf("abandoned before the first event: %d without reported waits, %d with them", without.abandoned, with.abandoned)
	if with.abandoned > without.abandoned/2 {
		t.Errorf("abandoned: %d without reported waits, %d with them", without.abandoned, with.abandoned)
	}
}

// Guards against daemons that divide the same engines differently.
func TestSplitIsDeterministic(t *testing.T) {
	var members []fleet.Endpoint
	for i := range 10 {
		members = append(members, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	short, long := split(members, 3, nil)
	slices.Reverse(members)
	again, _ := split(members, 3, nil)
	if len(short) != 3 || len(long) != 7 || !slices.Equal(short, again) {
		t.Errorf("%d short and %d long, short %v and %v in reverse order", len(short), len(long), short, again)
	}
	if s, l := split(members[:1], 1, nil); len(s) != 1 || len(l) != 1 {
		t.Error("a single engine is not in both subpools")
	}
	versions := map[int64][]fleet.Endpoint{2: members[:1], 1: members[1:]}
	if s, l := splitVersions(versions, 1, nil); len(s[2]) != 1 || len(l[2]) != 0 {
		t.Error("the first engine of the newer version is not in the short subpool, or also in the long one")
	}
}

func TestShortFractionFollowsWork(t *testing.T) {
	var s subpoolSplit
	now := time.Unix(1_800_000_000, 0)
	if got := s.shortFraction(); got != initialShortFraction {
		t.Errorf("short fraction %v before any request", got)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		s.addRequest(now, subpoolShort, 600, 1000)
		s.addRequest(now, subpoolLong, 2700, 1000)
	}
	if got := s.shortFraction(); got < 0.2 || got > 0.3 {
		t.Errorf("short fraction %v, want 0.25", got)
	}
}
