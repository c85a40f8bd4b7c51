package replay

import (
	"time"

	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// exportDelay is the time from the computation of a prefix until it is in the
// KV store.
const exportDelay = 500 * time.Millisecond

// store is a fake of the KV store: larger and slower than a runner's own cache,
// with one link that all imports share.
type store struct {
	b          *bench
	cache      *cache // nil if the fleet has no KV store
	linkFreeAt time.Time
}

func newStore(b *bench) *store {
	s := &store{b: b}
	if b.fleet.StoreTokens > 0 {
		s.cache = newCache(b.fleet.StoreTokens, func(prefix.Key, bool) {})
	}
	return s
}

func (s *store) match(j *job) int {
	if s.cache == nil {
		return 0
	}
	return s.cache.match(j.levels)
}

// transfer reserves the link for an import that begins now, and returns the
// time until it is complete.
func (s *store) transfer(now time.Time, tokens int) time.Duration {
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(seconds(float64(tokens) / placement.DefaultImportRate))
	return s.linkFreeAt.Sub(now) + placement.DefaultImportLatency
}

func (s *store) export(j *job) {
	if s.cache == nil || len(j.levels) < 2 {
		return
	}
	s.b.clock.after(exportDelay, func() { s.cache.store(j.levels[:len(j.levels)-1]) })
}
