package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/retry"
)

// retries is the retry budget that all requests of this daemon share.
type retries struct {
	now func() time.Time

	mu     sync.Mutex // last in the lock order; held only for calls of package retry
	budget *retry.Budget
	rng    *rand.Rand
}

func newRetries(now func() time.Time, rng *rand.Rand) *retries {
	return &retries{now: now, budget: retry.NewBudget(retry.BudgetOptions{}), rng: rng}
}

// recordRequest adds the credit for a new request to the budget.
func (r *retries) recordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(r.now())
}

// Next implements gateway.RetryPolicy.
func (r *retries) Next(f gateway.FailedAttempt) (time.Duration, bool) {
	request := retry.Request{Idempotent: f.Idempotent, Resumable: true, Deadline: f.Deadline}
	if f.Streaming {
		request.Delivered = 1 // any positive number marks the stream as partly delivered
	}
	request = retry.RestoreRequest(request, f.Attempt-1, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	d := retry.Decide(r.now(), &request, retry.FailedAttempt{Failure: failureOf(f)}, r.budget, r.rng)
	return d.Delay, d.Retry
}

func failureOf(f gateway.FailedAttempt) retry.Failure {
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
