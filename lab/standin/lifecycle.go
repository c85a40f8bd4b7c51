package standin

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// startIncarnation starts a new incarnation with an empty cache. The caller holds mu,
// or the runner is not shared yet.
func (r *Runner) startIncarnation() {
	r.incarnation++
	r.alive, r.kill = context.WithCancel(context.Background())
	r.down = false
	r.events = newEventLog(r.incarnation)
	r.cache = newPieceCache(r.o.CachePieces, r.events.add)
}

// Crash aborts all answers and makes the runner drop every request until Restart.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	r.kill()
}

// Restart starts the runner again under the same address, with a new incarnation
// and an empty cache.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kill()
	r.startIncarnation()
}

// SetDraining sets whether the runner refuses new requests.
func (r *Runner) SetDraining(draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = draining
}

// SetWeightVersion loads another weight version, which clears the cache.
func (r *Runner) SetWeightVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.cache = newPieceCache(r.o.CachePieces, r.events.add)
	r.events.add(engine.CacheCleared, prefix.Key{})
}

// Incarnation returns the runner's current incarnation.
func (r *Runner) Incarnation() fleet.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// Stats returns a copy of the runner's counters.
func (r *Runner) Stats() RunnerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Attempts = make(map[string]int, len(r.stats.Attempts))
	for id, n := range r.stats.Attempts {
		s.Attempts[id] = n
	}
	return s
}

// Load returns the load report of the runner.
func (r *Runner) Load() fleet.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.Load{
		At:            time.Now(),
		Incarnation:   r.incarnation,
		Running:       int(r.running.Load()),
		Waiting:       int(r.waiting.Load()),
		WaitingTokens: int(r.queued.Load()),
		Slots:         r.o.Slots,
		CachedBlocks:  r.cache.size(),
		Draining:      r.draining,
		Weights:       r.weights,
	}
}
