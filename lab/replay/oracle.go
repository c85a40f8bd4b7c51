package replay

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// oracleWaste counts a token that another runner holds as this many more.
const oracleWaste = 3.0

// oracle places with full knowledge: it sees every cache and queue as they
// are, the requests on their way, and what those will have put into the cache
// by the time this one begins. It takes the lowest predicted time to the first
// token, waste included. It does not know the future.
type oracle struct {
	b *bench
	d *daemon
}

func (o *oracle) place(now time.Time, j *job) (placement.Decision, error) {
	most := 0
	for _, r := range o.b.runners {
		if !r.down {
			most = max(most, r.will(j.levels))
		}
	}
	var best *runner
	var d placement.Decision
	var bestCost float64
	for _, r := range o.b.runners {
		if r.down {
			continue
		}
		here := r.will(j.levels)
		first, imports := o.compute(j, here)
		waste := float64(tokensOf(j.levels, most)-tokensOf(j.levels, here)) / o.b.fleet.PrefillRate
		if imports {
			waste = 0
		}
		cost := r.aheadOf(j) + first + oracleWaste*waste + 2*o.b.delay(o.d, r).Seconds()
		if best != nil && (cost > bestCost || cost == bestCost && rankOf(j.levels, r) <= rankOf(j.levels, best)) {
			continue
		}
		best, bestCost = r, cost
		d = placement.Decision{Endpoint: r.id, Incarnation: r.life, ExpectedCached: tokensOf(j.levels, here)}
		if imports {
			d.ImportFrom = storeID
		}
	}
	if best == nil {
		return d, placement.ErrNoEndpoint
	}
	return d, nil
}

// compute is the time in seconds for what a runner with the given levels has
// not cached, and whether importing is the faster way.
func (o *oracle) compute(j *job, here int) (float64, bool) {
	rate := o.b.fleet.PrefillRate
	missing := float64(j.tokens-tokensOf(j.levels, here)) / rate
	m := o.b.store.held(j)
	if m <= here {
		return missing, false
	}
	gain := float64(tokensOf(j.levels, m) - tokensOf(j.levels, here))
	queue := max(0, o.b.store.free.Sub(o.b.clock.now).Seconds())
	imported := missing - gain/rate + queue + placement.DefaultImportLatency.Seconds() + gain/placement.DefaultImportRate
	return min(missing, imported), imported < missing
}

// rankOf settles ties by the prefix, so that idle runners share cold prefixes.
func rankOf(levels []prefix.Level, r *runner) uint64 {
	i := prefix.AffinityLevel(levels)
	if i < 0 {
		return 0
	}
	x := levels[i].Key.Uint64()
	for _, c := range []byte(r.id) {
		x = (x ^ uint64(c)) * 0x9e3779b97f4a7c15
		x ^= x >> 29
	}
	return x
}

// will is the number of leading levels that the runner has or will have
// computed before a job that is sent now begins.
func (r *runner) will(levels []prefix.Level) int {
	for i := range levels {
		if _, ok := r.cache.index[levels[i].Key]; !ok && r.expects[levels[i].Key] == 0 {
			return i
		}
	}
	return len(levels)
}

// aheadOf is the time in seconds before the runner begins a job sent now.
func (r *runner) aheadOf(j *job) float64 {
	tokens := 0
	for _, k := range r.queue {
		if k.before(j) {
			tokens += k.expected
		}
	}
	wait := float64(tokens) / r.b.fleet.PrefillRate
	if over := len(r.queue) + len(r.decodes) + 1 - r.b.fleet.Slots; over > 0 {
		wait += float64(over) * placement.DefaultServiceTime.Seconds() / float64(r.b.fleet.Slots)
	}
	return wait
}

// comes notes a job on its way to the runner.
func (r *runner) comes(j *job) {
	j.expected = j.tokens - tokensOf(j.levels, r.will(j.levels))
	r.queue = append(r.queue, j)
	for _, l := range j.levels {
		r.expects[l.Key]++
	}
}

// gone takes back what comes noted: the job is prefilled, or lost.
func (r *runner) gone(j *job) {
	for i, k := range r.queue {
		if k != j {
			continue
		}
		r.queue = append(r.queue[:i], r.queue[i+1:]...)
		for _, l := range j.levels {
			if r.expects[l.Key]--; r.expects[l.Key] == 0 {
				delete(r.expects, l.Key)
			}
		}
		return
	}
}

func (o *oracle) answered(time.Time, *job, fleet.EndpointID, fleet.Load) {}
func (o *oracle) finished(time.Time, *job)                               {}
func (o *oracle) failed(time.Time, *job, fleet.EndpointID)               {}
func (o *oracle) load(fleet.EndpointID, fleet.Load)                      {}
func (o *oracle) events(placement.EventBatch)                            {}
func (o *oracle) gate(fleet.EndpointID, placement.Availability)          {}
func (o *oracle) expire(time.Time)                                       {}
