package shares

import (
	"math/rand/v2"
	"time"
)

const (
	maxRefusals    = 4096
	maxRetryAfter  = 5 * time.Second
	retryTolerance = 50 * time.Millisecond
	retrySpread    = 0.1
	// returnFraction is the part of an organisation's admitted work for which refused
	// requests get successive retry times. Retries take precedence: with all of it, each
	// served request of an organisation at twice its share would need two attempts.
	returnFraction = 0.1
)

// refusal is a refused request and the retry time given to its caller.
type refusal struct {
	request uint64
	due     time.Duration
	// promised states that the retry takes precedence over new requests.
	promised bool
}

type refusalKey struct {
	service      Service
	organisation Organisation
	request      uint64
}

// refusals stores the refused requests of this daemon, up to maxRefusals.
type refusals struct {
	byKey map[refusalKey]refusal
	order []refusalKey // the oldest first; may list removed ones
}

func (r *refusals) find(w *Work) (refusal, bool) {
	if w.Request == 0 {
		return refusal{}, false
	}
	x, ok := r.byKey[keyOf(w)]
	return x, ok
}

func keyOf(w *Work) refusalKey { return refusalKey{w.Service, w.Organisation, w.Request} }

func (r *refusals) remove(w *Work) { delete(r.byKey, keyOf(w)) }

func (r *refusals) add(w *Work, x refusal) {
	if w.Request == 0 {
		return
	}
	if r.byKey == nil {
		r.byKey = map[refusalKey]refusal{}
	}
	k := keyOf(w)
	if _, ok := r.byKey[k]; !ok {
		r.order = append(r.order, k)
	}
	r.byKey[k] = x
	for len(r.byKey) > maxRefusals {
		delete(r.byKey, r.order[0])
		r.order = r.order[1:]
	}
	if len(r.order) > 2*maxRefusals {
		kept := make([]refusalKey, 0, maxRefusals)
		seen := make(map[refusalKey]bool, maxRefusals)
		for _, k := range r.order {
			if _, ok := r.byKey[k]; ok && !seen[k] {
				kept, seen[k] = append(kept, k), true
			}
		}
		r.order = kept
	}
}

// schedule returns the retry time of a refused request of an organisation that is admitted
// at the given rate. Beyond maxRetryAfter the times would gather at one point, so that
// these requests get no precedence.
func (o *organisation) schedule(now time.Duration, rng *rand.Rand, w *Work, cost, rate float64) refusal {
	least := max(w.Objective/10, time.Millisecond)
	step := maxRetryAfter
	if rate > 0 {
		step = time.Duration(min(cost/(returnFraction*rate), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	next := max(o.nextReturn, now+least) + step
	x := refusal{request: w.Request, promised: next <= now+maxRetryAfter}
	if x.promised {
		o.nextReturn = next
	} else {
		next = now + maxRetryAfter
	}
	after := float64(next-now) * (1 - retrySpread*rng.Float64())
	x.due = now + min(max(time.Duration(after), least), maxRetryAfter)
	return x
}
