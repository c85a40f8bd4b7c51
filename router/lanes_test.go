package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/pools"
)

func members(prefix string, n int) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i := range n {
		out = append(out, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint(prefix, i))})
	}
	return out
}

// During a rollout engines of both weights serve. If each version kept engines
// of its own for short prompts, those of the older one would idle while long
// prompts are turned away.
func TestShortPromptsTakeEnginesOfTheNewestWeightsFirst(t *testing.T) {
	for _, c := range []struct {
		older, newer, k        int
		shortOlder, shortNewer int
	}{
		{14, 4, 2, 0, 2},
		{17, 1, 2, 1, 1},
		{0, 18, 3, 0, 3},
		{18, 0, 3, 3, 0},
	} {
		engines := map[int64][]fleet.Endpoint{6: members("o", c.older), 7: members("n", c.newer)}
		short, long := splitVersions(engines, c.k, nil)
		if len(short[6]) != c.shortOlder || len(short[7]) != c.shortNewer || len(long[6]) != c.older-c.shortOlder || len(long[7]) != c.newer-c.shortNewer {
			t.Errorf("%+v: short %d and %d, long %d and %d", c, len(short[6]), len(short[7]), len(long[6]), len(long[7]))
		}
	}
}

// Callers state how many tokens they take at most, which is many times what they
// get. Counted as work, that once gave a third of the fleet to short prompts that
// kept it a tenth busy.
func TestShortPartFollowsWhatIsRead(t *testing.T) {
	l := subpoolSplit{meanAnswer: [subpoolCount]float64{subpoolShort: 0.15, subpoolLong: 0.8}}
	short, long := l.estimateWork(subpoolShort, 370, 24), l.estimateWork(subpoolLong, 17_000, 24)
	if n := pools.ShortCount(short/(short+long*47.5/189), 18); n < 2 || n > 3 {
		t.Errorf("%d engines of 18", n)
	}
}

// With 16 places in a batch, 300 short prompts a second that stream for a quarter
// of a second need five engines for their places, though two could read them. On
// two, half of the callers would wait for a place past their objective.
func TestShortPartFollowsThePlacesInTheBatch(t *testing.T) {
	var l subpoolSplit
	now := time.Unix(1_800_000_000, 0)
	for range 3000 {
		now = now.Add(3 * time.Millisecond)
		l.addRequest(now, subpoolShort, 370, 16)
		l.addAnswer(subpoolShort, 250*time.Millisecond)
	}
	for range 450 {
		l.addRequest(now, subpoolLong, 17_000, 16)
		l.addAnswer(subpoolLong, 800*time.Millisecond)
	}
	if n := pools.ShortCount(l.shortFraction(), 14); n < 4 || n > 6 {
		t.Errorf("%d engines of 14", n)
	}
}

// Guards against an engine that takes few requests a second and is kept for the short
// prompts, of which there are many.
func TestEnginesWithALimitServeLongPrompts(t *testing.T) {
	all := members("a", 6)
	short, _ := split(all, 2, nil)
	limited := map[fleet.EndpointID]bool{short[0].ID: true}
	now, long := split(all, 2, limited)
	if len(now) != 2 || len(long) != 4 || now[0].ID != short[1].ID || limited[now[1].ID] {
		t.Errorf("short prompts go to %v", now)
	}
	for _, e := range all {
		limited[e.ID] = true
	}
	if now, _ := split(all, 2, limited); len(now) != 2 {
		t.Errorf("%d engines for short prompts if all have a limit", len(now))
	}
}
