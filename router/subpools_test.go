package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/pools"
)

// testEngines returns n endpoints with the prefix and their number as id.
func testEngines(prefix string, n int) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i := range n {
		out = append(out, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint(prefix, i))})
	}
	return out
}

// During a rollout, engines with both weight versions serve. If each version had a short
// subpool of its own, the one of the older version would be idle while long prompts are
// refused.
func TestShortSubpoolUsesNewestWeightsFirst(t *testing.T) {
	for _, c := range []struct {
		older, newer, k        int
		shortOlder, shortNewer int
	}{
		{14, 4, 2, 0, 2},
		{17, 1, 2, 1, 1},
		{0, 18, 3, 0, 3},
		{18, 0, 3, 3, 0},
	} {
		engines := map[int64][]fleet.Endpoint{6: testEngines("o", c.older), 7: testEngines("n", c.newer)}
		short, long := splitVersions(engines, c.k, nil)
		if len(short[6]) != c.shortOlder || len(short[7]) != c.shortNewer || len(long[6]) != c.older-c.shortOlder || len(long[7]) != c.newer-c.shortNewer {
			t.Errorf("%+v: %d and %d engines in the short subpool, %d and %d in the long one", c, len(short[6]), len(short[7]), len(long[6]), len(long[7]))
		}
	}
}

// The maximum output length that callers set is many times the actual length. Counted as
// work, it would reserve a third of the fleet for short prompts that keep it a tenth busy.
func TestShortFractionFollowsReadTokens(t *testing.T) {
	s := subpoolSplit{meanAnswer: [subpoolCount]float64{subpoolShort: 0.15, subpoolLong: 0.8}}
	short, long := s.estimateWork(subpoolShort, 370, 24), s.estimateWork(subpoolLong, 17_000, 24)
	if n := pools.ShortCount(short/(short+long*47.5/189), 18); n < 2 || n > 3 {
		t.Errorf("%d of 18 engines in the short subpool", n)
	}
}

// With 16 batch slots per engine, 300 short prompts a second whose answers stream for a
// quarter of a second need the slots of five engines, though two could read the prompts.
// On two engines, half of the callers would wait for a slot beyond their objective.
func TestShortFractionFollowsBatchSlots(t *testing.T) {
	var s subpoolSplit
	now := time.Unix(1_800_000_000, 0)
	for range 3000 {
		now = now.Add(3 * time.Millisecond)
		s.addRequest(now, subpoolShort, 370, 16)
		s.addAnswer(subpoolShort, 250*time.Millisecond)
	}
	for range 450 {
		s.addRequest(now, subpoolLong, 17_000, 16)
		s.addAnswer(subpoolLong, 800*time.Millisecond)
	}
	if n := pools.ShortCount(s.shortFraction(), 14); n < 4 || n > 6 {
		t.Errorf("%d of 14 engines in the short subpool", n)
	}
}

// Guards against assigning an engine with a request limit to the short subpool, whose
// requests are many.
func TestLimitedEnginesServeLongPrompts(t *testing.T) {
	all := testEngines("a", 6)
	short, _ := split(all, 2, nil)
	limited := map[fleet.EndpointID]bool{short[0].ID: true}
	next, long := split(all, 2, limited)
	if len(next) != 2 || len(long) != 4 || next[0].ID != short[1].ID || limited[next[1].ID] {
		t.Errorf("short subpool %v", next)
	}
	for _, e := range all {
		limited[e.ID] = true
	}
	if next, _ := split(all, 2, limited); len(next) != 2 {
		t.Errorf("%d engines in the short subpool if all have a limit", len(next))
	}
}
