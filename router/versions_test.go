package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/weights"
)

const versionBound = 15 * time.Second

// mayBegin reports whether a request may still be placed on the version.
func (h versionHistory) mayBegin(version int64, now time.Duration) bool {
	return h.timeToBegin(version, now, versionBound) > minBeginTime
}

// Version 3 is named, and 13 seconds later version 4. The bound for version 2 counts from
// the naming of version 3, not of version 4. Otherwise callers would get answers from
// weights that were replaced 16 seconds before.
func TestReplacedVersionStillBoundsOlderOnes(t *testing.T) {
	n := versionHistory{{version: 3, since: 10 * time.Second}, {version: 4, since: 23 * time.Second}}
	at := 26 * time.Second
	if n.mayBegin(2, at) {
		t.Error("a request may begin on version 2")
	}
	if !n.mayBegin(3, at) || !n.mayBegin(4, at) {
		t.Error("a request may not begin on version 3 or 4")
	}
}

// A daemon restarts 14 seconds after a version was named and reads the record without its
// time. Without the time reported by the rollout leader it would use a guess, and the
// previous weights for another 12 seconds.
func TestVersionAgeSurvivesRestart(t *testing.T) {
	boot, wall := time.Hour, time.UnixMilli(1_800_000_000_000)
	n := versionHistory{{version: 2, since: boot - time.Duration(guessedAgeFraction*float64(versionBound)), guessed: true}}
	if !n.mayBegin(1, boot) {
		t.Fatal("the previous version may not begin with a guessed time")
	}
	n = n.withReported(boot, wall, weights.VersionTime{Version: 2, UnixMs: wall.Add(-14 * time.Second).UnixMilli()})
	if n.mayBegin(1, boot) {
		t.Error("the previous version may begin after the reported time was applied")
	}
	fresh := versionHistory{{version: 2, since: boot}}
	if got := fresh.withReported(boot, wall, weights.VersionTime{Version: 2, UnixMs: 0}); !got.mayBegin(1, boot) {
		t.Error("a time that was observed, not guessed, was replaced by another daemon's")
	}
}

// A version was replaced before the daemon started, so that only the rollout lease
// contains it.
func TestReplacedVersionIsReadFromLease(t *testing.T) {
	boot, wall := time.Hour, time.UnixMilli(1_800_000_000_000)
	n := versionHistory{{version: 5, since: boot}}
	n = n.withReported(boot, wall, weights.VersionTime{Version: 4, UnixMs: wall.Add(-13 * time.Second).UnixMilli()})
	if n.mayBegin(3, boot) || !n.mayBegin(4, boot) || n.newest() != 5 {
		t.Errorf("named versions %v", n)
	}
}

func TestChooseVersions(t *testing.T) {
	all := func(int64) bool { return true }
	newOnly := func(v int64) bool { return v >= 2 }
	for _, c := range []struct {
		name    string
		engines map[int64]int
		allowed func(int64) bool
		hash    uint64
		want    int64
	}{
		{"rollout complete", map[int64]int{2: 4}, all, math.MaxUint64, 2},
		{"low hash chooses the new version", map[int64]int{1: 8, 2: 4}, all, 0, 2},
		{"high hash chooses the old version", map[int64]int{1: 8, 2: 4}, all, math.MaxUint64, 1},
		{"old version not allowed", map[int64]int{1: 8, 2: 1}, newOnly, math.MaxUint64, 2},
		{"no engine with an allowed version", map[int64]int{1: 8}, newOnly, 0, 0},
		{"no engines", nil, all, 0, 0},
		{"no usable engine with the new version", map[int64]int{1: 3, 2: 0}, all, 0, 1},
	} {
		if got := chooseVersions(c.engines, c.allowed, c.hash, newestVersionFactor); got.first != c.want {
			t.Errorf("%s: %d, want %d", c.name, got.first, c.want)
		}
	}
}

// Versions are named every few seconds while there is no rollout leader. Fifty of sixty
// engines have weights that were replaced twice. If only the newest two versions were
// candidates, these would be idle while all prompts queue at the other ten.
func TestWeightsReplacedTwiceStillGetPrompts(t *testing.T) {
	engines := map[int64]int{3: 50, 4: 3, 5: 7}
	first := map[int64]int{}
	for i := range uint64(1000) {
		v := chooseVersions(engines, func(int64) bool { return true }, i*(math.MaxUint64/1000), newestVersionFactor)
		first[v.first]++
		if len(v.others) != 2 {
			t.Fatalf("%d other versions are candidates", len(v.others))
		}
	}
	if first[3] < 700 || first[4] > 100 || first[5] < 100 {
		t.Errorf("prompts by version: %v", first)
	}
}

// During a rollout, the only engine with the newest weights is the whole short subpool. If
// it fails or is full, short prompts must be placed on the dozen engines with the older
// weights instead of being refused.
func TestOlderWeightsAreCandidatesForShortPrompts(t *testing.T) {
	all := func(int64) bool { return true }
	short := chooseVersions(map[int64]int{2: 1}, all, 0, newestVersionFactor)
	model := chooseVersions(map[int64]int{1: 12, 2: 1}, all, 0, newestVersionFactor)
	if v := short.fillFrom(model); v.first != 2 || !slices.Equal(v.others, []otherVersion{{version: 1, penalty: oldVersionPenalty}}) {
		t.Errorf("versions %+v", v)
	}
	if v := (versionChoice{}).fillFrom(model); v.first == 0 {
		t.Error("no version for a subpool without engines")
	}
	if v := short.fillFrom(versionChoice{first: 2}); len(v.others) != 0 {
		t.Errorf("other versions though the model has none: %+v", v)
	}
}

// One of two engines is suspended. The other must serve short and long prompts.
func TestSingleUsableEngineServesBothSubpools(t *testing.T) {
	engines := map[int64][]fleet.Endpoint{5: testEngines("a", 1), 4: nil}
	short, long := splitVersions(engines, pools.ShortCount(0.3, 1), nil)
	if len(short[5]) != 1 || len(long[5]) != 1 {
		t.Errorf("%d engines in the short subpool, %d in the long one", len(short[5]), len(long[5]))
	}
	if n := pools.ShortCount(0.5, 2); n != 1 {
		t.Errorf("%d of two engines in the short subpool", n)
	}
}

// The engines with the newest weights are full, and one with older weights, whose time
// bound ends soon, has a short wait. A repeatable prompt may be placed there. One that must
// not run twice may not, if its wait could exceed the bound: it would be withdrawn from the
// engine's queue at the bound and lost.
func TestOlderWeightsAreAvoidedNearTheirBound(t *testing.T) {
	none := func() []prefix.Level { return nil }
	waits := fakePools{"new": time.Second, "old": 200 * time.Millisecond}
	for _, c := range []struct {
		name string
		left time.Duration
		once bool
		want string
	}{
		{"long before the bound", 2 * time.Second, true, "old"},
		{"no bound", noTimeLimit, true, "old"},
		{"repeatable, near the bound", 400 * time.Millisecond, false, "old"},
		{"not repeatable, near the bound", 400 * time.Millisecond, true, "new"},
		{"repeatable, too close to the bound", 250 * time.Millisecond, false, "new"},
	} {
		all := []candidate{{pool: "new", levels: none, beginWithin: noTimeLimit}, {pool: "old", levels: none, beginWithin: c.left, notRepeatable: c.once}}
		got, err := bestCandidate(time.Time{}, waits, placement.Request{}, all, 500*time.Millisecond)
		if err != nil || got.pool != c.want {
			t.Errorf("%s: pool %q, error %v", c.name, got.pool, err)
		}
	}
}

// Guards against times of named versions that are lost because a daemon that starts reads
// the lease before the operator's topic. It would take old weights for usable, and order
// engines with them last.
func TestReportedTimesBeforeFirstVersion(t *testing.T) {
	boot, wall := time.Hour, time.UnixMilli(1_800_000_000_000)
	ago := func(d time.Duration) int64 { return wall.Add(-d).UnixMilli() }
	s := newState(&Settings{Zone: "z", VersionWithin: versionBound}, rand.New(rand.NewPCG(1, 2)))
	for range 2 * maxNamedVersions { // every claim repeats the times of those before it
		s.applyNamedTimes(boot, wall, []weights.VersionTime{{Model: "m", Version: 2, UnixMs: ago(3 * versionBound)}})
	}
	s.applyNamedTimes(boot, wall, []weights.VersionTime{
		{Model: "m", Version: 2, UnixMs: ago(3 * versionBound)},
		{Model: "m", Version: 3, UnixMs: ago(2 * versionBound)},
		{Model: "m", Version: 4, UnixMs: ago(versionBound / 4)},
		{Model: "m", Version: 6, UnixMs: ago(0)},
		{Model: "other", Version: 2, UnixMs: ago(0)},
	})
	if got := s.namedVersions()["m"].newest(); got != 0 {
		t.Errorf("version %d counts as named by a report alone", got)
	}
	if !s.addNamed("m", namedVersion{version: 4, since: boot - versionBound/2, guessed: true}) || s.addNamed("m", namedVersion{version: 3, since: boot}) {
		t.Error("the newest version is not added, or an older one is")
	}
	n := s.namedVersions()["m"]
	if n.newest() != 4 || len(n) != 3 {
		t.Fatalf("named versions %v", n)
	}
	if n.timeToBegin(1, boot, versionBound) > n.timeToBegin(2, boot, versionBound) || n.timeToBegin(2, boot, versionBound) >= 0 {
		t.Errorf("%v left to begin on version 1, %v on version 2", n.timeToBegin(1, boot, versionBound), n.timeToBegin(2, boot, versionBound))
	}
	if left, want := n.timeToBegin(3, boot, versionBound), 3*versionBound/4-beginSlack-clockSlack; left != want {
		t.Errorf("%v left to begin on version 3, want %v", left, want)
	}
}

// Guards against a daemon that takes its own guess of when a version was named for a fact,
// once it has published it with a claim, and so takes weights for older than the ones
// before them.
func TestGuessedTimeIsNotConfirmedByItself(t *testing.T) {
	boot, wall := time.Hour, time.UnixMilli(1_800_000_000_000)
	ago := func(d time.Duration) int64 { return wall.Add(-d).UnixMilli() }
	s := newState(&Settings{Zone: "z", VersionWithin: versionBound}, rand.New(rand.NewPCG(1, 2)))
	s.addNamed("m", namedVersion{version: 4, since: boot - versionBound/2, guessed: true})
	s.applyNamedTimes(boot, wall, []weights.VersionTime{
		{Model: "m", Version: 2, UnixMs: ago(12 * time.Second)}, {Model: "m", Version: 3, UnixMs: ago(6500 * time.Millisecond)},
	})
	for range 10 {
		s.applyNamedTimes(boot, wall, s.namedTimes(boot, wall)) // its own claim, read back
	}
	n := s.namedVersions()["m"]
	if !n[2].guessed || n[2].since < boot-versionBound/2 {
		t.Errorf("version 4 counts as named %v ago, guessed: %v", boot-n[2].since, n[2].guessed)
	}
	if one, two, three := n.timeToBegin(1, boot, versionBound), n.timeToBegin(2, boot, versionBound), n.timeToBegin(3, boot, versionBound); one > two || two > three {
		t.Errorf("left to begin on versions 1 to 3: %v, %v, %v", one, two, three)
	}
	// A daemon that has observed the naming knows better, one that started earlier too.
	s.applyNamedTimes(boot, wall, []weights.VersionTime{{Model: "m", Version: 4, UnixMs: ago(11 * time.Second), Guessed: true}})
	if n := s.namedVersions()["m"]; !n[2].guessed || n[2].since != boot-9500*time.Millisecond {
		t.Errorf("version 4 counts as named %v ago, guessed: %v", boot-n[2].since, n[2].guessed)
	}
	s.applyNamedTimes(boot, wall, []weights.VersionTime{{Model: "m", Version: 4, UnixMs: ago(time.Second)}})
	if n := s.namedVersions()["m"]; n[2].guessed || n[2].since != boot-time.Second-clockSlack {
		t.Errorf("version 4 counts as named %v ago, guessed: %v", boot-n[2].since, n[2].guessed)
	}
}
