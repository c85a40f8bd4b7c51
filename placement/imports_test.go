package placement

import (
	"testing"
	"time"
)

// Many runners lack a prefix at once, after a crash or a restart, and the KV
// store has it. Were all of it fetched at once, the store's one link would make
// every runner wait, longer than computing would have taken.
func TestImportsStayWithinTheDaemonsPartOfTheLink(t *testing.T) {
	b := importBudget{rate: 1000}
	now, taken := epoch, 0
	for range 100 {
		if b.take(now, 5000) {
			taken += 5000
		}
		now = now.Add(time.Second)
	}
	if limit := 100*1000 + 5000; taken > limit || taken < limit/2 {
		t.Errorf("imported %d tokens in 100 s, limit %d", taken, limit)
	}
}
