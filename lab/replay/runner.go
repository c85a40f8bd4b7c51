package replay

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// chunkTokens is how much of a prompt a runner prefills before it looks again
// for something more urgent.
const chunkTokens = 1000

// runner is the fake of one model engine.
type runner struct {
	b    *bench
	id   fleet.EndpointID
	zone fleet.ZoneID
	life fleet.Incarnation
	down bool

	cache   *cache
	waiting []*job // not begun
	active  []*job // begun, prefill not finished
	decodes []*job
	busy    bool

	events []placement.Event
	seq    uint64

	busyFor time.Duration

	queue   []*job // sent here and not prefilled, for the oracle
	expects map[prefix.Key]int
}

func newRunner(b *bench, id fleet.EndpointID, zone fleet.ZoneID) *runner {
	r := &runner{b: b, id: id, zone: zone, life: 1, seq: 1, expects: map[prefix.Key]int{}}
	r.cache = newCache(b.fleet.CacheTokens, r.changed)
	return r
}

func (r *runner) changed(k prefix.Key, stored bool) {
	kind := placement.EventRemoved
	if stored {
		kind = placement.EventStored
	}
	r.events = append(r.events, placement.Event{Kind: kind, Key: k})
}

// take queues a job that has just arrived. It returns false when the runner is
// down.
func (r *runner) take(j *job) bool {
	if r.down {
		return false
	}
	j.runner, j.life = r, r.life
	r.waiting = append(r.waiting, j)
	r.step()
	return true
}

// step begins the next chunk, if the runner is idle and has work.
func (r *runner) step() {
	if r.busy || r.down {
		return
	}
	j := r.next()
	if j == nil {
		return
	}
	r.busy = true
	n := min(j.left, chunkTokens)
	d := seconds(float64(n) / r.b.fleet.PrefillRate)
	if j.importing > 0 {
		d += j.importing
		j.importing = 0
	}
	r.busyFor += d
	life := r.life
	r.b.clock.after(d, func() {
		if r.life != life || r.down {
			return
		}
		r.busy = false
		j.left -= n
		j.expected = j.left
		if j.left == 0 {
			r.firstToken(j)
		}
		r.step()
	})
}

// next returns the most urgent job, begun if there is a slot for it.
func (r *runner) next() *job {
	best := first(r.active)
	if len(r.active)+len(r.decodes) < r.b.fleet.Slots {
		if w := first(r.waiting); w != nil && (best == nil || w.before(best)) {
			r.begin(w)
			return w
		}
	}
	return best
}

func first(jobs []*job) *job {
	var best *job
	for _, j := range jobs {
		if best == nil || j.before(best) {
			best = j
		}
	}
	return best
}

func (r *runner) begin(j *job) {
	r.waiting = remove(r.waiting, j)
	r.active = append(r.active, j)
	n := r.cache.match(j.levels)
	r.cache.touch(j.levels, n)
	j.cached = tokensOf(j.levels, n)
	if m := r.b.store.held(j); j.importFrom && m > n {
		j.imported = tokensOf(j.levels, m) - j.cached
		j.importing = r.b.store.transfer(r.b.clock.now, j.imported)
		j.cached += j.imported
	}
	// The last token is always computed, to have something to generate from.
	j.cached = min(j.cached, j.tokens-1)
	j.left = j.tokens - j.cached
	j.wasted = max(0, tokensOf(j.levels, r.b.bestElsewhere(j))-j.cached)
	j.wasted = min(j.wasted, j.left)
	j.expected = j.left
}

func (r *runner) firstToken(j *job) {
	r.active = remove(r.active, j)
	r.gone(j)
	r.cache.store(j.levels)
	r.b.store.export(j)
	r.decodes = append(r.decodes, j)
	r.b.firstToken(j)
	life := r.life
	r.b.clock.after(milliseconds(r.b.fleet.TokenMS*float64(j.output)), func() {
		if r.life != life || r.down {
			return
		}
		r.decodes = remove(r.decodes, j)
		r.b.finished(j)
		r.step()
	})
}

func remove(jobs []*job, j *job) []*job {
	i := slices.Index(jobs, j)
	return slices.Delete(jobs, i, i+1)
}

// load is what the runner reports of itself now.
func (r *runner) load() fleet.Load {
	l := fleet.Load{
		At: r.b.clock.now, Incarnation: r.life, Running: len(r.active) + len(r.decodes),
		Waiting: len(r.waiting), Slots: r.b.fleet.Slots, CachedBlocks: len(r.cache.index),
	}
	for _, j := range r.active {
		count(&l, j.priority, j.left)
	}
	for _, j := range r.waiting {
		count(&l, j.priority, j.tokens-tokensOf(j.levels, r.cache.match(j.levels)))
	}
	return l
}

// count adds queued tokens of one priority to those that it and all less
// urgent ones wait for.
func count(l *fleet.Load, p contract.Priority, tokens int) {
	l.WaitingTokens += tokens
	for i := int(p); i < len(l.TokensAhead); i++ {
		l.TokensAhead[i] += tokens
	}
}

// flush returns the events since the last flush.
func (r *runner) flush() (placement.EventBatch, bool) {
	if len(r.events) == 0 {
		return placement.EventBatch{}, false
	}
	batch := placement.EventBatch{
		Endpoint: r.id, Incarnation: r.life, Seq: r.seq, At: r.b.clock.now, Events: r.events,
	}
	r.seq += uint64(len(r.events))
	r.events = nil
	return batch, true
}

// crash ends everything that runs here and empties the cache.
func (r *runner) crash() []*job {
	lost := slices.Concat(r.waiting, r.active, r.decodes)
	r.waiting, r.active, r.decodes = nil, nil, nil
	r.busy, r.down = false, true
	r.events, r.seq = nil, 1
	r.cache.clear()
	return lost
}

func (r *runner) back() {
	r.life++
	r.down = false
}
