package replay

import (
	"time"

	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// exportDelay is how long after its computation a prefix is in the KV store.
const exportDelay = 500 * time.Millisecond

// store is the fake of the KV store: slower than a runner's own cache, larger,
// and one link that all imports share.
type store struct {
	b     *bench
	cache *cache // nil: there is none
	free  time.Time
}

func newStore(b *bench) *store {
	s := &store{b: b}
	if b.fleet.StoreTokens > 0 {
		s.cache = newCache(b.fleet.StoreTokens, func(prefix.Key, bool) {})
	}
	return s
}

func (s *store) held(j *job) int {
	if s.cache == nil {
		return 0
	}
	return s.cache.match(j.levels)
}

// transfer returns how long an import takes that begins now.
func (s *store) transfer(now time.Time, tokens int) time.Duration {
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(seconds(float64(tokens) / placement.DefaultImportRate))
	return s.free.Sub(now) + placement.DefaultImportLatency
}

func (s *store) export(j *job) {
	if s.cache == nil || len(j.levels) < 2 {
		return
	}
	s.b.clock.after(exportDelay, func() { s.cache.store(j.levels[:len(j.levels)-1]) })
}
