package placement

import "time"

// storeLife is how long the KV store is thought to keep a prefix.
const storeLife = time.Minute

// storedTokens is how much of the prompt the KV store probably has.
func (v *View) storedTokens(now time.Time, r *Request) float64 {
	if v.store == "" {
		return 0
	}
	for i := shared(r.Levels) - 1; i >= 0; i-- {
		t := v.prefixes.find(r.Levels[i].Key)
		if t != nil && !t.stored.IsZero() && now.Sub(t.stored) < storeLife {
			return float64(r.Levels[i].Tokens)
		}
	}
	return 0
}

// computeTime is the time in seconds for the missing tokens, of which some
// could come from the KV store, and whether fetching those is the faster way.
func (v *View) computeTime(e *endpoint, missing, stored float64) (float64, bool) {
	prefill := missing / e.rate
	if stored <= 0 {
		return prefill, false
	}
	fetched := prefill - stored/e.rate + v.o.ImportLatency.Seconds() + stored/v.o.ImportRate
	return min(prefill, fetched), fetched < prefill
}

// importBudget keeps the daemon's imports within its part of the store's link.
//
// The link is shared by the whole fleet and reports no load. If every daemon
// imports whatever looks cheaper to fetch, transfers queue up, the runners
// that wait for them fall behind, and more prefixes are missing elsewhere. A
// daemon that takes no more than its part needs nobody's word to avoid that.
type importBudget struct {
	rate   float64 // tokens/s
	tokens float64 // that may be taken now; below zero after a large import
	at     time.Time
}

// take allows an import and charges it, unless earlier ones are not yet paid.
func (b *importBudget) take(now time.Time, tokens float64) bool {
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 0 {
		return false
	}
	b.tokens -= tokens
	return true
}
