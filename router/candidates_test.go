package router

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/routes"
)

// preferredOptions returns placementOptions with the production prior of preferred
// endpoints.
func preferredOptions() placement.Options {
	o := placementOptions()
	o.PreferredPrior = cachedPrior
	return o
}

// New weights were named a few seconds ago, and three of twelve engines have them. These
// receive more than their share of the long prompts and fill up while the others have free
// capacity. A prompt restricted to the new version would wait over a second or be refused
// though other engines are idle.
func TestPromptsSpillFromFullNewVersionEngines(t *testing.T) {
	run := func(count int) *replay {
		r := newReplay(12, preferredOptions(), 0)
		for _, v := range r.views {
			members := r.members()
			v.SetPool("new", members[:3])
			v.SetPool("old", members[3:])
		}
		r.reportWaits = true
		r.candidates = func(segment string) []candidate {
			v := chooseVersions(map[int64]int{1: 9, 2: 3}, func(int64) bool { return true }, hash.Text(segment), newestVersionFactor)
			poolOf := map[int64]string{1: "old", 2: "new"}
			return []candidate{{pool: poolOf[v.first]}, {pool: poolOf[v.others[0].version], penalty: v.others[0].penalty}}[:count]
		}
		r.run(20, 0, 34)
		return r
	}
	one, both := run(1), run(2)
	before, after := one.countWithin(1, replayTarget), both.countWithin(1, replayTarget)
	t.Logf("in time: %d of %d with one version, %d with both as candidates", before, len(one.waits[1])+one.abandoned, after)
	if after < before*11/10 {
		t.Errorf("in time: %d with one version, %d with both as candidates", before, after)
	}
}

// Two fifths of the long prompts share one segment, whose preferred endpoint receives more
// than it can read while half of the engines are idle. Without a second engine, most of
// these callers would get their first event too late.
func TestHotSegmentUsesSecondEngine(t *testing.T) {
	run := func(count int) *replay {
		r := newReplay(8, preferredOptions(), 0)
		r.reportWaits, r.hotFraction = true, 0.4
		r.candidates = func(string) []candidate {
			return []candidate{{pool: "long"}, {pool: "long", nonPreferred: true, penalty: nonPreferredPenalty}}[:count]
		}
		r.run(20, 0, 16)
		return r
	}
	preferred, second := run(1), run(2)
	before, after := preferred.countWithin(1, replayTarget), second.countWithin(1, replayTarget)
	t.Logf("in time: %d of %d at the preferred endpoint only, %d with a second engine", before, len(preferred.waits[1])+preferred.abandoned, after)
	if after < before*11/10 {
		t.Errorf("in time: %d at the preferred endpoint only, %d with a second engine", before, after)
	}
}

// fakePools implements evaluator with a fixed expected wait for each pool.
type fakePools map[string]time.Duration

func (f fakePools) Select(_ time.Time, r placement.Request) (placement.Decision, error) {
	wait, ok := f[r.Pool]
	if !ok {
		return placement.Decision{}, placement.ErrUnknownPool
	}
	return placement.Decision{ExpectedWait: wait, ExpectedFirstToken: wait}, nil
}

// A prompt must be placed on the newer weights if their wait is short, and on the older
// ones if these are faster by more than the penalty.
func TestBestCandidate(t *testing.T) {
	const target = 500 * time.Millisecond
	none := func() []prefix.Level { return nil }
	all := []candidate{{pool: "new", levels: none}, {pool: "old", levels: none, penalty: oldVersionPenalty}}
	for _, c := range []struct {
		name     string
		new, old time.Duration
		want     string
	}{
		{"both idle", 0, 0, "new"},
		{"easy", 90 * time.Millisecond, 0, "new"},
		{"wait below the penalty", 140 * time.Millisecond, 0, "new"},
		{"wait above the penalty", 200 * time.Millisecond, 0, "old"},
		{"both full", time.Second, time.Second, "new"},
	} {
		got, err := bestCandidate(time.Time{}, fakePools{"new": c.new, "old": c.old}, placement.Request{}, all, target)
		if err != nil || got.pool != c.want {
			t.Errorf("%s: pool %q, error %v", c.name, got.pool, err)
		}
	}
	if got, err := bestCandidate(time.Time{}, fakePools{"old": time.Minute}, placement.Request{}, all, target); err != nil || got.pool != "old" {
		t.Errorf("no engine for the first candidate: pool %q, error %v", got.pool, err)
	}
	if _, err := bestCandidate(time.Time{}, fakePools{}, placement.Request{}, all, target); err == nil {
		t.Error("a candidate was chosen though there are no engines")
	}
}

// The only engine of the long subpool fails, or the only one of the short subpool. Prompts
// of that subpool must be placed on the engine of the other one instead of being refused.
func TestLastEngineServesBothSubpools(t *testing.T) {
	short := fakePools{}
	req := &forward.PlacementRequest{In: &forward.RequestInfo{Model: "m"}, Service: &routes.Service{Name: "s"}}
	short[pools.ModelPool("s", "m", 3, subpoolShort)] = time.Second
	got, err := bestCandidate(time.Time{}, short, placement.Request{}, listCandidates(req, versionChoice{first: 3}, subpoolLong, nil), replayTarget)
	if err != nil || got.pool != pools.ModelPool("s", "m", 3, subpoolShort) {
		t.Errorf("long prompt: pool %q, error %v", got.pool, err)
	}
	long := fakePools{pools.ModelPool("s", "m", 2, subpoolLong): time.Second}
	got, err = bestCandidate(time.Time{}, long, placement.Request{}, listCandidates(req, versionChoice{first: 3, others: []otherVersion{{version: 2}}}, subpoolShort, nil), replayTarget)
	if err != nil || got.version != 2 {
		t.Errorf("short prompt: pool %q, error %v", got.pool, err)
	}
}
