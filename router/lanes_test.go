package router

import (
	"fmt"
	"testing"

	"github.com/merlindock/merlindock/fleet"
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
		short, long := splitVersions(engines, c.k, false)
		if len(short[6]) != c.shortOlder || len(short[7]) != c.shortNewer || len(long[6]) != c.older-c.shortOlder || len(long[7]) != c.newer-c.shortNewer {
			t.Errorf("%+v: short %d and %d, long %d and %d", c, len(short[6]), len(short[7]), len(long[6]), len(long[7]))
		}
	}
}

// Callers state how many tokens they take at most, which is many times what they
// get. Counted as work, that once gave a third of the fleet to short prompts that
// kept it a tenth busy.
func TestShortPartFollowsWhatIsRead(t *testing.T) {
	part := workOf(370, 180, 24) / (workOf(370, 180, 24) + workOf(17_000, 474, 24)*47.5/189)
	if n := shortCount(part, 18); n < 2 || n > 3 {
		t.Errorf("%d engines of 18", n)
	}
}
