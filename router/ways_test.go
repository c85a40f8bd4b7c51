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

func waysOptions() placement.Options {
	o := options()
	o.PreferredPrior = cachedPrior
	return o
}

// New weights were named a few seconds ago, and three of twelve engines have
// them. These get more than their part of the long prompts, and fill up while the
// others have room. A caller whose prompt belongs to the new ones would wait over
// a second or be turned away, beside engines that idle.
func TestPromptsLeaveFullEnginesOfTheNewWeights(t *testing.T) {
	run := func(count int) *replay {
		r := newReplay(12, waysOptions(), 0)
		for _, v := range r.views {
			members := r.members()
			v.SetPool("new", members[:3])
			v.SetPool("old", members[3:])
		}
		r.waited = true
		r.ways = func(part string) []candidate {
			v := chooseVersions(map[int64]int{1: 9, 2: 3}, func(int64) bool { return true }, hash.Text(part), newestVersionFactor)
			pools := map[int64]string{1: "old", 2: "new"}
			return []candidate{{pool: pools[v.first]}, {pool: pools[v.others[0].version], penalty: v.others[0].penalty}}[:count]
		}
		r.run(20, 0, 34)
		return r
	}
	one, both := run(1), run(2)
	before, after := one.within(1, replayTarget), both.within(1, replayTarget)
	t.Logf("in time: %d of %d bound to one version, %d with both weighed", before, len(one.waits[1])+one.lost, after)
	if after < before*11/10 {
		t.Errorf("in time: %d bound to one version, %d with both weighed", before, after)
	}
}

// Two fifths of the long prompts share one part, so that its home has more to
// read than it can, while half of the engines idle. Most of these callers would
// get their first event too late.
func TestHotPartUsesASecondEngine(t *testing.T) {
	run := func(count int) *replay {
		r := newReplay(8, waysOptions(), 0)
		r.waited, r.hot = true, 0.4
		r.ways = func(string) []candidate {
			return []candidate{{pool: "long"}, {pool: "long", nonPreferred: true, penalty: nonPreferredPenalty}}[:count]
		}
		r.run(20, 0, 16)
		return r
	}
	home, second := run(1), run(2)
	before, after := home.within(1, replayTarget), second.within(1, replayTarget)
	t.Logf("in time: %d of %d at home only, %d with a second engine", before, len(home.waits[1])+home.lost, after)
	if after < before*11/10 {
		t.Errorf("in time: %d at home only, %d with a second engine", before, after)
	}
}

// fakePools answers with one wait for each pool.
type fakePools map[string]time.Duration

func (f fakePools) Select(_ time.Time, r placement.Request) (placement.Decision, error) {
	wait, ok := f[r.Pool]
	if !ok {
		return placement.Decision{}, placement.ErrUnknownPool
	}
	return placement.Decision{ExpectedWait: wait, ExpectedFirstToken: wait}, nil
}

// Newer weights are worth a short wait, and no more than that.
func TestBestWay(t *testing.T) {
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
		{"worth the wait", 140 * time.Millisecond, 0, "new"},
		{"too long", 200 * time.Millisecond, 0, "old"},
		{"both full", time.Second, time.Second, "new"},
	} {
		got, err := bestCandidate(time.Time{}, fakePools{"new": c.new, "old": c.old}, placement.Request{}, all, target)
		if err != nil || got.pool != c.want {
			t.Errorf("%s: %q, %v", c.name, got.pool, err)
		}
	}
	if got, err := bestCandidate(time.Time{}, fakePools{"old": time.Minute}, placement.Request{}, all, target); err != nil || got.pool != "old" {
		t.Errorf("no engine of the first way: %q, %v", got.pool, err)
	}
	if _, err := bestCandidate(time.Time{}, fakePools{}, placement.Request{}, all, target); err == nil {
		t.Error("a place without engines")
	}
}

// The only engine for long prompts fails, or the only one for short prompts. Both
// kinds still have an engine, whose lane is the other one; refused, callers would
// get nothing while it idles.
func TestLastEngineServesBothLanes(t *testing.T) {
	short := fakePools{}
	w := &forward.PlacementRequest{In: &forward.RequestInfo{Model: "m"}, Service: &routes.Service{Name: "s"}}
	short[pools.ModelPool("s", "m", 3, subpoolShort)] = time.Second
	got, err := bestCandidate(time.Time{}, short, placement.Request{}, listCandidates(w, versionChoice{first: 3}, subpoolLong, nil), replayTarget)
	if err != nil || got.pool != pools.ModelPool("s", "m", 3, subpoolShort) {
		t.Errorf("long prompt: %q, %v", got.pool, err)
	}
	long := fakePools{pools.ModelPool("s", "m", 2, subpoolLong): time.Second}
	got, err = bestCandidate(time.Time{}, long, placement.Request{}, listCandidates(w, versionChoice{first: 3, others: []otherVersion{{version: 2}}}, subpoolShort, nil), replayTarget)
	if err != nil || got.version != 2 {
		t.Errorf("short prompt: %q, %v", got.pool, err)
	}
}
