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

// These tests replay, in virtual time, the load at its worst of a fleet with a
// few long prompts among many short ones, as nine daemons see it.

// engineModel reads one prompt at a time, the urgent first.
type engineModel struct {
	id    fleet.EndpointID
	queue []job
	now   job           // being read
	free  time.Duration // when it is read
}

type job struct {
	at       time.Duration
	tokens   int
	priority contract.Priority
	daemon   int
	id       uint64
}

const (
	readRate    = 80_000 // tokens/s
	daemonCount = 9
)

// replay is one run of the load.
type replay struct {
	rng     *rand.Rand
	engines []*engineModel
	views   []*placement.View
	limit   time.Duration                 // of the expected wait of a long prompt; 0: none
	ways    func(part string) []candidate // that a long prompt has; nil: the pool "long"
	hot     float64                       // part of the long prompts that share one part
	waited  bool                          // requests that wait tell of the queue

	waits   [2][]time.Duration // short, long: until the prompt was read
	refused int
	lost    int // long prompts whose caller left before the first event
}

// callerPatience is how long a caller waits for the first event.
const callerPatience = 2400 * time.Millisecond

func newReplay(engines int, o placement.Options, part float64) *replay {
	return newReplayOf(daemonCount, engines, o, part)
}

func newReplayOf(daemons, engines int, o placement.Options, part float64) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(11, 4))}
	for i := range engines {
		r.engines = append(r.engines, &engineModel{id: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	members := r.members()
	short, long := members, members
	if part > 0 {
		short, long = split(members, int(math.Round(part*float64(engines))), nil)
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

// load is what the engine says of itself when asked.
func (e *engineModel) load(now time.Time) fleet.Load {
	return fleet.Load{At: now, Waiting: len(e.queue), WaitingTokens: len(e.queue) * 17_000, Slots: 128}
}

func (r *replay) clock(at time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(at) }

// run plays the arrivals of some seconds.
func (r *replay) run(seconds int, shortRate, longRate float64) {
	step := time.Millisecond
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += step {
		for _, e := range r.engines {
			r.work(now, e)
		}
		if r.waited && now%(100*step) == 0 {
			r.tell(now)
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
		request.Levels = partLevels(r.part(), tokens)
	}
	d := r.place(now, daemon, &request)
	if r.limit > 0 && tokens > maxShortTokens && d.ExpectedWait > r.limit {
		r.views[daemon].Finished(r.clock(now), request.ID)
		r.refused++
		return
	}
	e := r.engine(d.Endpoint)
	e.queue = append(e.queue, job{now, tokens, p, daemon, request.ID})
}

// part draws the shared part of a long prompt.
func (r *replay) part() string {
	if r.hot > 0 && r.rng.Float64() < r.hot {
		return "hot"
	}
	return fmt.Sprint(r.rng.IntN(200))
}

func partLevels(part string, tokens int) []prefix.Level {
	return prefix.SegmentLevels(prefix.Seed{}, []prefix.Segment{{ID: part, Tokens: tokens * 3 / 4}, {ID: "own", Tokens: tokens / 4}})
}

// place reserves the place of a request, by the ways if the replay has them.
func (r *replay) place(now time.Duration, daemon int, request *placement.Request) placement.Decision {
	v := r.views[daemon]
	if r.ways == nil || request.Pool != "long" {
		d, err := v.Place(r.clock(now), *request)
		if err != nil {
			panic(err)
		}
		return d
	}
	all := r.ways(request.Levels[0].Key.String())
	for i := range all {
		all[i].levels = func() []prefix.Level { return request.Levels }
	}
	first := *request
	first.Pool = all[0].pool
	for _, id := range v.StalePreferred(first, r.clock(now-freshLoadAge), maxQueriedEngines) {
		v.LoadReported(id, r.engine(id).load(r.clock(now)))
	}
	best, err := bestCandidate(r.clock(now), v, *request, all, replayTarget)
	if err != nil {
		panic(err)
	}
	v.Reserve(r.clock(now), best.request, &best.decision)
	return best.decision
}

// replayTarget is the objective of the prompts that have ways.
const replayTarget = 500 * time.Millisecond

// work reads prompts, and answers those that are read.
func (r *replay) work(now time.Duration, e *engineModel) {
	if now < e.free {
		return
	}
	if e.now.id != 0 {
		r.answer(now, e, e.now)
		e.now = job{}
	}
	e.queue = slices.DeleteFunc(e.queue, func(j job) bool {
		if now-j.at < callerPatience {
			return false
		}
		r.views[j.daemon].Finished(r.clock(now), j.id)
		r.lost++
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
	e.now = e.queue[first]
	e.queue = slices.Delete(e.queue, first, first+1)
	e.free = now + time.Duration(float64(e.now.tokens)/readRate*float64(time.Second))
}

func (r *replay) answer(now time.Duration, e *engineModel, j job) {
	kind := 0
	if j.tokens > maxShortTokens {
		kind = 1
	}
	r.waits[kind] = append(r.waits[kind], now-j.at)
	v := r.views[j.daemon]
	load := e.load(r.clock(now))
	if kind == 0 {
		load.WaitingTokens = len(e.queue) * 380
	}
	v.Answered(r.clock(now), placement.Answer{ID: j.id, Endpoint: e.id, Load: &load})
	v.Finished(r.clock(now), j.id)
	if r.waited && kind == 1 {
		reading := time.Duration(float64(j.tokens) / readRate * float64(time.Second))
		v.ObserveWait(r.clock(now), e.id, j.priority, now-j.at-reading, true)
	}
}

// tell has the requests that wait tell of the queue, as placer.overdue does.
func (r *replay) tell(now time.Duration) {
	for _, e := range r.engines {
		for _, j := range e.queue {
			r.views[j.daemon].ObserveWait(r.clock(now), e.id, j.priority, now-j.at, false)
		}
	}
}

func (r *replay) within(kind int, d time.Duration) int {
	n := 0
	for _, w := range r.waits[kind] {
		if w <= d {
			n++
		}
	}
	return n
}

func options() placement.Options {
	return placement.Options{Zone: "z", PrefillRate: readRate, QueueHalfLife: queueHalfLife}
}

// Short prompts come among a few long ones, and each that meets one waits for as
// long as the long one is read. With engines of their own, nearly all short
// prompts are read in 50 ms.
func TestLanesKeepShortPromptsFromLongOnes(t *testing.T) {
	mixed, parted := newReplay(9, options(), 0), newReplay(9, options(), 0.2)
	mixed.run(20, 200, 20)
	parted.run(20, 200, 20)
	all := len(parted.waits[0])
	before, after := mixed.within(0, 50*time.Millisecond), parted.within(0, 50*time.Millisecond)
	t.Logf("short prompts in time: %d of %d mixed, %d of %d parted", before, len(mixed.waits[0]), after, all)
	if after < all*97/100 || before > all*90/100 {
		t.Errorf("in time: %d mixed, %d parted of %d", before, after, all)
	}
}

// Long prompts come faster than they can be read. Turned away by the expected
// wait, fewer are read in vain and more callers get their first event within the
// objective than when all are taken.
func TestRefusingEarlyServesMoreInTime(t *testing.T) {
	taken := newReplay(6, options(), 0)
	taken.waited = true
	taken.run(30, 0, 50)
	refusing := newReplay(6, options(), 0)
	refusing.waited, refusing.limit = true, 600*time.Millisecond
	refusing.run(30, 0, 50)
	before, after := taken.within(1, 800*time.Millisecond), refusing.within(1, 800*time.Millisecond)
	t.Logf("in time: %d of all taken (%d left), %d when refusing (%d left, %d refused)", before, taken.lost, after, refusing.lost, refusing.refused)
	if after < before*3/2 || refusing.lost > taken.lost/2 {
		t.Errorf("in time %d and %d, lost %d and %d", before, after, taken.lost, refusing.lost)
	}
}

// Seventy daemons place 160 long prompts a second on 58 engines, which is half of what
// these read. None knows of the others' prompts until an engine tells its load, and they
// meet: a sixth and more are late. One that places all for them knows where each went.
func TestOneDaemonThatPlacesAllKeepsPromptsApart(t *testing.T) {
	o := options()
	o.PreferredPrior = cachedPrior
	late := func(daemons int) float64 {
		r := newReplayOf(daemons, 58, o, 0)
		r.waited = true
		r.ways = func(string) []candidate {
			return []candidate{{pool: "long"}, {pool: "long", nonPreferred: true, penalty: nonPreferredPenalty}}
		}
		r.run(20, 0, 160)
		return 1 - float64(r.within(1, replayTarget))/float64(len(r.waits[1])+r.lost)
	}
	many, one := late(70), late(1)
	t.Logf("late: %.3f placed by seventy daemons, %.3f by one", many, one)
	if many < 1.0/6 || one > many/3 {
		t.Errorf("late: %.3f placed by seventy daemons, %.3f by one", many, one)
	}
}

// The same overload, seen only through what answers tell of the load, as if each
// daemon were alone. The requests that wait must make the difference.
func TestWaitingRequestsMakeRefusalsMeetTheOverload(t *testing.T) {
	alone := options()
	alone.QueueHalfLife = 0
	blind := newReplay(6, alone, 0)
	blind.limit = 600 * time.Millisecond
	blind.run(30, 0, 50)
	seeing := newReplay(6, options(), 0)
	seeing.waited, seeing.limit = true, 600*time.Millisecond
	seeing.run(30, 0, 50)
	t.Logf("left before the first event: %d blind, %d seeing", blind.lost, seeing.lost)
	if seeing.lost > blind.lost/2 {
		t.Errorf("left: %d blind, %d seeing", blind.lost, seeing.lost)
	}
}

func TestSplitIsTheSameForAllDaemons(t *testing.T) {
	var members []fleet.Endpoint
	for i := range 10 {
		members = append(members, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	short, long := split(members, 3, nil)
	slices.Reverse(members)
	again, _ := split(members, 3, nil)
	if len(short) != 3 || len(long) != 7 || !slices.Equal(short, again) {
		t.Errorf("%d and %d, %v and %v", len(short), len(long), short, again)
	}
	if s, l := split(members[:1], 1, nil); len(s) != 1 || len(l) != 1 {
		t.Error("the only engine must serve both")
	}
	versions := map[int64][]fleet.Endpoint{2: members[:1], 1: members[1:]}
	if s, l := splitVersions(versions, 1, nil); len(s[2]) != 1 || len(l[2]) != 0 {
		t.Error("the first engine of a version is for short prompts")
	}
}

func TestShortPartFollowsTheWork(t *testing.T) {
	var l subpoolSplit
	now := time.Unix(1_800_000_000, 0)
	if got := l.shortFraction(); got != initialShortFraction {
		t.Errorf("part %v before anything was seen", got)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		l.addRequest(now, subpoolShort, 600, 1000)
		l.addRequest(now, subpoolLong, 2700, 1000)
	}
	if got := l.shortFraction(); got < 0.2 || got > 0.3 {
		t.Errorf("part %v, want 0.25", got)
	}
}
