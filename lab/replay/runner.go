package replay

import (
	"slices"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// chunkTokens is the number of tokens that a runner prefills before it checks
// for a more urgent job.
const chunkTokens = 1000

// runner is a fake of one model engine.
type runner struct {
	b           *bench
	id          fleet.EndpointID
	zone        fleet.ZoneID
	incarnation fleet.Incarnation
	down        bool

	cache    *cache
	waiting  []*job // not started
	active   []*job // prefill started and not finished
	decoding []*job
	busy     bool

	events []placement.Event
	seq    uint64

	busyTime time.Duration

	outstanding  []*job // sent here and not yet prefilled; read by the oracle
	expectedKeys map[prefix.Key]int
}

func newRunner(b *bench, id fleet.EndpointID, zone fleet.ZoneID) *runner {
	r := &runner{b: b, id: id, zone: zone, incarnation: 1, seq: 1, expectedKeys: map[prefix.Key]int{}}
	r.cache = newCache(b.fleet.CacheTokens, r.recordEvent)
	return r
}

func (r *runner) recordEvent(k prefix.Key, stored bool) {
	kind := placement.EventRemoved
	if stored {
		kind = placement.EventStored
	}
	r.events = append(r.events, placement.Event{Kind: kind, Key: k})
}

// enqueue adds an arriving job to the queue. It returns false if the runner is
// down.
func (r *runner) enqueue(j *job) bool {
	if r.down {
		return false
	}
	j.runner, j.incarnation = r, r.incarnation
	r.waiting = append(r.waiting, j)
	r.step()
	return true
}

// step starts prefilling the next chunk if the runner is idle and has a job.
func (r *runner) step() {
	if r.busy || r.down {
		return
	}
	j := r.next()
	if j == nil {
		return
	}
	r.busy = true
	n := min(j.remaining, chunkTokens)
	d := seconds(float64(n) / r.b.fleet.PrefillRate)
	if j.importTime > 0 {
		d += j.importTime
		j.importTime = 0
	}
	r.busyTime += d
	incarnation := r.incarnation
	r.b.clock.after(d, func() {
		if r.incarnation != incarnation || r.down {
			return
		}
		r.busy = false
		j.remaining -= n
		j.predicted = j.remaining
		if j.remaining == 0 {
			r.firstToken(j)
		}
		r.step()
	})
}

// next returns the most urgent job that can be prefilled. A waiting job is
// started if it is more urgent than the active ones and a slot is free.
func (r *runner) next() *job {
	best := mostUrgent(r.active)
	if len(r.active)+len(r.decoding) < r.b.fleet.Slots {
		if w := mostUrgent(r.waiting); w != nil && (best == nil || w.precedes(best)) {
			r.startPrefill(w)
			return w
		}
	}
	return best
}

func mostUrgent(jobs []*job) *job {
	var best *job
	for _, j := range jobs {
		if best == nil || j.precedes(best) {
			best = j
		}
	}
	return best
}

func (r *runner) startPrefill(j *job) {
	r.waiting = remove(r.waiting, j)
	r.active = append(r.active, j)
	n := r.cache.match(j.levels)
	r.cache.touch(j.levels, n)
	j.cached = prefixTokens(j.levels, n)
	if m := r.b.store.match(j); j.mayImport && m > n {
		j.imported = prefixTokens(j.levels, m) - j.cached
		j.importTime = r.b.store.transfer(r.b.clock.now, j.imported)
		j.cached += j.imported
	}
	// The last token is always computed, since generation starts from its output.
	j.cached = min(j.cached, j.tokens-1)
	j.remaining = j.tokens - j.cached
	j.wasted = max(0, prefixTokens(j.levels, r.b.longestMatchElsewhere(j))-j.cached)
	j.wasted = min(j.wasted, j.remaining)
	j.predicted = j.remaining
}

func (r *runner) firstToken(j *job) {
	r.active = remove(r.active, j)
	r.unexpect(j)
	r.cache.store(j.levels)
	r.b.store.export(j)
	r.decoding = append(r.decoding, j)
	r.b.firstToken(j)
	incarnation := r.incarnation
	r.b.clock.after(milliseconds(r.b.fleet.TokenMS*float64(j.output)), func() {
		if r.incarnation != incarnation || r.down {
			return
		}
		r.decoding = remove(r.decoding, j)
		r.b.finished(j)
		r.step()
	})
}

func remove(jobs []*job, j *job) []*job {
	i := slices.Index(jobs, j)
	return slices.Delete(jobs, i, i+1)
}

// load returns the runner's current load report.
func (r *runner) load() fleet.Load {
	l := fleet.Load{
		At: r.b.clock.now, Incarnation: r.incarnation, Running: len(r.active) + len(r.decoding),
		Waiting: len(r.waiting), Slots: r.b.fleet.Slots, CachedBlocks: len(r.cache.index),
	}
	for _, j := range r.active {
		addWaiting(&l, j.priority, j.remaining)
	}
	for _, j := range r.waiting {
		addWaiting(&l, j.priority, j.tokens-prefixTokens(j.levels, r.cache.match(j.levels)))
	}
	return l
}

// addWaiting adds queued tokens of one priority to the load, and to the tokens
// ahead of a request of the same or a less urgent priority.
func addWaiting(l *fleet.Load, p contract.Priority, tokens int) {
	l.WaitingTokens += tokens
	for i := int(p); i < len(l.TokensAhead); i++ {
		l.TokensAhead[i] += tokens
	}
}

// takeEvents returns the cache events since the last call, and false if there
// are none.
func (r *runner) takeEvents() (placement.EventBatch, bool) {
	if len(r.events) == 0 {
		return placement.EventBatch{}, false
	}
	batch := placement.EventBatch{
		Endpoint: r.id, Incarnation: r.incarnation, Seq: r.seq, At: r.b.clock.now, Events: r.events,
	}
	r.seq += uint64(len(r.events))
	r.events = nil
	return batch, true
}

// crash stops the runner, empties its cache and returns the jobs that it lost.
func (r *runner) crash() []*job {
	lost := slices.Concat(r.waiting, r.active, r.decoding)
	r.waiting, r.active, r.decoding = nil, nil, nil
	r.busy, r.down = false, true
	r.events, r.seq = nil, 1
	r.cache.clear()
	return lost
}

func (r *runner) restart() {
	r.incarnation++
	r.down = false
}
