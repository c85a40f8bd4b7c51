package router

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/weights"
)

const within = 15 * time.Second

// allowed tells whether a request may still be bound to the version.
func (n versionHistory) allowed(version int64, now time.Duration) bool {
	return n.timeToBegin(version, now, within) > minBeginTime
}

// Version 3 is named, and 13 seconds later version 4. An engine that still has
// version 2 must get no more requests once version 3 is too old, though version
// 4 is new: callers would get answers of weights that were replaced 16 seconds
// before.
func TestOvertakenVersionStillBoundsThoseBeforeIt(t *testing.T) {
	n := versionHistory{{version: 3, since: 10 * time.Second}, {version: 4, since: 23 * time.Second}}
	at := 26 * time.Second
	if n.allowed(2, at) {
		t.Error("version 2 is allowed")
	}
	if !n.allowed(3, at) || !n.allowed(4, at) {
		t.Error("version 3 or 4 is not allowed")
	}
}

// A daemon restarts 14 seconds after a version was named. It reads the record
// without its time; without the word of the daemon that gives orders it would
// take the version for new and use the weights before it for another 12 seconds.
func TestAgeOfAVersionSurvivesARestart(t *testing.T) {
	boot, wall := time.Hour, time.UnixMilli(1_800_000_000_000)
	n := versionHistory{{version: 2, since: boot - time.Duration(guessedAgeFraction*float64(within)), guessed: true}}
	if !n.allowed(1, boot) {
		t.Fatal("a guess refuses at once")
	}
	n = n.withReported(boot, wall, weights.VersionTime{Version: 2, UnixMs: wall.Add(-14 * time.Second).UnixMilli()})
	if n.allowed(1, boot) {
		t.Error("still allowed")
	}
	fresh := versionHistory{{version: 2, since: boot}}
	if got := fresh.withReported(boot, wall, weights.VersionTime{Version: 2, UnixMs: 0}); !got.allowed(1, boot) {
		t.Error("what was read as it was named gave way to another daemon's clock")
	}
}

// A version was overtaken before the daemon started, and only the lease tells
// of it.
func TestOvertakenVersionIsLearntFromTheLease(t *testing.T) {
	boot, wall := time.Hour, time.UnixMilli(1_800_000_000_000)
	n := versionHistory{{version: 5, since: boot}}
	n = n.withReported(boot, wall, weights.VersionTime{Version: 4, UnixMs: wall.Add(-13 * time.Second).UnixMilli()})
	if n.allowed(3, boot) || !n.allowed(4, boot) || n.newest() != 5 {
		t.Errorf("named %v", n)
	}
}

func TestChooseVersion(t *testing.T) {
	all := func(int64) bool { return true }
	none := func(v int64) bool { return v >= 2 }
	for _, c := range []struct {
		name    string
		engines map[int64]int
		allowed func(int64) bool
		hash    uint64
		want    int64
	}{
		{"all done", map[int64]int{2: 4}, all, math.MaxUint64, 2},
		{"low hash goes to the new ones", map[int64]int{1: 8, 2: 4}, all, 0, 2},
		{"high hash stays", map[int64]int{1: 8, 2: 4}, all, math.MaxUint64, 1},
		{"the old ones are not allowed", map[int64]int{1: 8, 2: 1}, none, math.MaxUint64, 2},
		{"nobody has what is allowed", map[int64]int{1: 8}, none, 0, 0},
		{"no engine at all", nil, all, 0, 0},
		{"engines that are out do not count", map[int64]int{1: 3, 2: 0}, all, 0, 1},
	} {
		if got := chooseVersions(c.engines, c.allowed, c.hash, newestVersionFactor); got.first != c.want {
			t.Errorf("%s: %d, want %d", c.name, got.first, c.want)
		}
	}
}

// Versions are named every few seconds, and nobody gives orders for a while. Fifty of
// sixty engines have weights that were replaced twice. If only the newest two versions
// counted, they would idle while all prompts queue at the other ten.
func TestWeightsReplacedTwiceStillServe(t *testing.T) {
	engines := map[int64]int{3: 50, 4: 3, 5: 7}
	first := map[int64]int{}
	for i := range uint64(1000) {
		v := chooseVersions(engines, func(int64) bool { return true }, i*(math.MaxUint64/1000), newestVersionFactor)
		first[v.first]++
		if len(v.others) != 2 {
			t.Fatalf("%d other versions are weighed", len(v.others))
		}
	}
	if first[3] < 700 || first[4] > 100 || first[5] < 100 {
		t.Errorf("prompts by version: %v", first)
	}
}

// A rollout has reached one engine, which is now the only one for short prompts.
// It fails or fills up, and callers would be turned away beside a dozen engines of
// the older weights.
func TestOlderWeightsAreAWayForShortPrompts(t *testing.T) {
	all := func(int64) bool { return true }
	lane := chooseVersions(map[int64]int{2: 1}, all, 0, newestVersionFactor)
	model := chooseVersions(map[int64]int{1: 12, 2: 1}, all, 0, newestVersionFactor)
	if v := lane.fillFrom(model); v.first != 2 || !slices.Equal(v.others, []otherVersion{{version: 1, penalty: oldVersionPenalty}}) {
		t.Errorf("versions %+v", v)
	}
	if v := (versionChoice{}).fillFrom(model); v.first == 0 {
		t.Error("no way for a lane without engines")
	}
	if v := lane.fillFrom(versionChoice{first: 2}); len(v.others) != 0 {
		t.Errorf("another version out of nothing: %+v", v)
	}
}

// Of two engines one is out. The other must take long prompts too.
func TestSingleUsableEngineServesBoth(t *testing.T) {
	engines := map[int64][]fleet.Endpoint{5: members("a", 1), 4: nil}
	short, long := splitVersions(engines, pools.ShortCount(0.3, 1), nil)
	if len(short[5]) != 1 || len(long[5]) != 1 {
		t.Errorf("short %d, long %d", len(short[5]), len(long[5]))
	}
	if n := pools.ShortCount(0.5, 2); n != 1 {
		t.Errorf("%d of two engines for short prompts", n)
	}
}

// Three engines have the newest weights and are full; one idles with weights whose
// bound ends in 400 ms, and another way there takes 300 ms to the first event. A
// prompt that may be placed anew may go there, one that may run once only must
// not: withdrawn from the engine's queue at the bound it would be lost.
func TestOlderWeightsAreLeftInTime(t *testing.T) {
	none := func() []prefix.Level { return nil }
	pools := fakePools{"new": time.Second, "old": 200 * time.Millisecond}
	for _, c := range []struct {
		name string
		left time.Duration
		once bool
		want string
	}{
		{"long before the bound", 2 * time.Second, true, "old"},
		{"no bound", noTimeLimit, true, "old"},
		{"may be placed anew", 400 * time.Millisecond, false, "old"},
		{"runs once", 400 * time.Millisecond, true, "new"},
		{"too late for both", 250 * time.Millisecond, false, "new"},
	} {
		all := []candidate{{pool: "new", levels: none, beginWithin: noTimeLimit}, {pool: "old", levels: none, beginWithin: c.left, notRepeatable: c.once}}
		got, err := bestCandidate(time.Time{}, pools, placement.Request{}, all, 500*time.Millisecond)
		if err != nil || got.pool != c.want {
			t.Errorf("%s: %q, %v", c.name, got.pool, err)
		}
	}
}
