package placement

import "time"

// storeTTL is how long the KV store is assumed to keep a prefix.
const storeTTL = time.Minute

// storedTokens returns how many leading tokens of the prompt the KV store probably has.
func (v *View) storedTokens(now time.Time, r *Request) float64 {
	if v.store == "" {
		return 0
	}
	for i := sharedCount(r.Levels) - 1; i >= 0; i-- {
		t := v.prefixes.find(r.Levels[i].Key)
		if t != nil && !t.storedAt.IsZero() && now.Sub(t.storedAt) < storeTTL {
			return float64(r.Levels[i].Tokens)
		}
	}
	return 0
}

// computeTime returns the time in seconds to obtain the missing tokens, of which stored
// ones could come from the KV store, and whether importing those is faster than computing
// them.
func (v *View) computeTime(e *endpoint, missing, stored float64) (float64, bool) {
	prefill := missing / e.prefillRate
	if stored <= 0 {
		return prefill, false
	}
	fetched := prefill - stored/e.prefillRate + v.o.ImportLatency.Seconds() + stored/v.o.ImportRate
	return min(prefill, fetched), fetched < prefill
}

// importBudget limits the daemon's imports to its share of the store's link.
//
// The whole fleet shares the link, and the link reports no load. If every daemon imported
// whatever is cheaper to import than to compute, transfers would queue up, the runners that
// wait for them would fall behind, and more prefixes would be missing elsewhere. A daemon
// that keeps to its share avoids that without coordination.
type importBudget struct {
	rate       float64 // tokens/s
	tokens     float64 // available now; negative after a large import
	refilledAt time.Time
}

// take reports whether an import is allowed, and charges it. It is refused while the budget
// is negative from earlier imports.
func (b *importBudget) take(now time.Time, tokens float64) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 0 {
		return false
	}
	b.tokens -= tokens
	return true
}
