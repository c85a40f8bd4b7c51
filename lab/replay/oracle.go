package replay

import (
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// oracleWastePenalty is the weight, in the cost of a runner, of prefilling
// tokens that another runner has cached.
const oracleWastePenalty = 3.0

// oracle places with full knowledge of the present: the caches and queues of
// all runners, the requests on their way to them, and the prefixes that those
// will have cached before a new request begins. It chooses the lowest predicted
// time to the first token plus a penalty for waste. It does not know future
// arrivals.
type oracle struct {
	b *bench
	d *daemon
}

func (o *oracle) place(now time.Time, j *job) (placement.Decision, error) {
	longest := 0
	for _, r := range o.b.runners {
		if !r.down {
			longest = max(longest, r.predictedMatch(j.levels))
		}
	}
	var best *runner
	var d placement.Decision
	var bestCost float64
	for _, r := range o.b.runners {
		if r.down {
			continue
		}
		matched := r.predictedMatch(j.levels)
		first, imports := o.prefillTime(j, matched)
		waste := float64(prefixTokens(j.levels, longest)-prefixTokens(j.levels, matched)) / o.b.fleet.PrefillRate
		if imports {
			waste = 0
		}
		cost := r.predictedWait(j) + first + oracleWastePenalty*waste + 2*o.b.delay(o.d, r).Seconds()
		if best != nil && (cost > bestCost || cost == bestCost && tieRank(j.levels, r) <= tieRank(j.levels, best)) {
			continue
		}
		best, bestCost = r, cost
		d = placement.Decision{Endpoint: r.id, Incarnation: r.incarnation, ExpectedCached: prefixTokens(j.levels, matched)}
		if imports {
			d.ImportFrom = storeID
		}
	}
	if best == nil {
		return d, placement.ErrNoEndpoint
	}
	return d, nil
}

// prefillTime returns the time in seconds that a runner with the given number
// of cached levels needs for the rest of the prompt, and whether importing from
// the KV store is faster than computing.
func (o *oracle) prefillTime(j *job, matched int) (float64, bool) {
	rate := o.b.fleet.PrefillRate
	missing := float64(j.tokens-prefixTokens(j.levels, matched)) / rate
	m := o.b.store.match(j)
	if m <= matched {
		return missing, false
	}
	gain := float64(prefixTokens(j.levels, m) - prefixTokens(j.levels, matched))
	queue := max(0, o.b.store.linkFreeAt.Sub(o.b.clock.now).Seconds())
	imported := missing - gain/rate + queue + placement.DefaultImportLatency.Seconds() + gain/placement.DefaultImportRate
	return min(missing, imported), imported < missing
}

// tieRank orders runners of equal cost by a hash of the prefix and the runner,
// so that cold prefixes spread over idle runners.
func tieRank(levels []prefix.Level, r *runner) uint64 {
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

// predictedMatch returns the number of leading levels that the runner has
// cached, or will have before a job that is sent now begins.
func (r *runner) predictedMatch(levels []prefix.Level) int {
	for i := range levels {
		if _, ok := r.cache.index[levels[i].Key]; !ok && r.expectedKeys[levels[i].Key] == 0 {
			return i
		}
	}
	return len(levels)
}

// predictedWait returns the time in seconds before the runner begins a job that
// is sent now.
func (r *runner) predictedWait(j *job) float64 {
	tokens := 0
	for _, k := range r.outstanding {
		if k.precedes(j) {
			tokens += k.predicted
		}
	}
	wait := float64(tokens) / r.b.fleet.PrefillRate
	if over := len(r.outstanding) + len(r.decoding) + 1 - r.b.fleet.Slots; over > 0 {
		wait += float64(over) * placement.DefaultServiceTime.Seconds() / float64(r.b.fleet.Slots)
	}
	return wait
}

// expect records a job that is on its way to the runner.
func (r *runner) expect(j *job) {
	j.predicted = j.tokens - prefixTokens(j.levels, r.predictedMatch(j.levels))
	r.outstanding = append(r.outstanding, j)
	for _, l := range j.levels {
		r.expectedKeys[l.Key]++
	}
}

// unexpect reverts expect when the job is prefilled or lost.
func (r *runner) unexpect(j *job) {
	for i, k := range r.outstanding {
		if k != j {
			continue
		}
		r.outstanding = append(r.outstanding[:i], r.outstanding[i+1:]...)
		for _, l := range j.levels {
			if r.expectedKeys[l.Key]--; r.expectedKeys[l.Key] == 0 {
				delete(r.expectedKeys, l.Key)
			}
		}
		return
	}
}

func (o *oracle) answered(time.Time, *job, fleet.EndpointID, fleet.Load)   {}
func (o *oracle) finished(time.Time, *job)                                 {}
func (o *oracle) failed(time.Time, *job, fleet.EndpointID)                 {}
func (o *oracle) loadReported(fleet.EndpointID, fleet.Load)                {}
func (o *oracle) cacheEvents(placement.EventBatch)                         {}
func (o *oracle) setAvailability(fleet.EndpointID, placement.Availability) {}
func (o *oracle) expire(time.Time)                                         {}
