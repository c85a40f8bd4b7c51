package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/retry"
)

// retries is the one budget for retries of this daemon.
type retries struct {
	now func() time.Time

	mu     sync.Mutex // taken last, held for no call out of package retry
	budget *retry.Budget
	rng    *rand.Rand
}

func newRetries(now func() time.Time, rng *rand.Rand) *retries {
	return &retries{now: now, budget: retry.NewBudget(retry.BudgetOptions{}), rng: rng}
}

// recordRequest counts the first attempt of a request.
func (r *retries) recordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(r.now())
}

// Next implements gateway.RetryPolicy.
func (r *retries) Next(f gateway.Failure) (time.Duration, bool) {
	request := retry.Request{Idempotent: f.Idempotent, Resumable: true, Deadline: f.Deadline}
	if f.Streaming {
		request.Delivered = 1 // how much doesn't matter here
	}
	request = retry.RestoreRequest(request, f.Attempt-1, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	d := retry.Decide(r.now(), &request, retry.FailedAttempt{Failure: failureOf(f)}, r.budget, r.rng)
	return d.Delay, d.Retry
}

func failureOf(f gateway.Failure) retry.Failure {
	switch {
	case f.Class == engine.NotSent && !f.Streaming:
		return retry.NotSent
	case f.Class == engine.NotRun && !f.Streaming:
		return retry.NotRun
	case f.Streaming:
		return retry.Broken
	}
	return retry.Unknown
}
