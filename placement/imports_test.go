package placement

import (
	"testing"
	"time"
)

// After a crash or restart, many runners lack a prefix that the KV store has. If all
// imported it at once, the store's single link would delay every runner for longer than
// computing it takes.
func TestImportBudgetBoundsImports(t *testing.T) {
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
