package daemon

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/retry"
)

var testTime = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func testRetries() *retries {
	return newRetries(func() time.Time { return testTime }, rand.New(rand.NewPCG(1, 2)))
}

func TestRetryDecisionByFailureClass(t *testing.T) {
	for name, c := range map[string]struct {
		failure gateway.FailedAttempt
		want    bool
	}{
		"non-idempotent call not sent":             {gateway.FailedAttempt{Class: engine.NotSent, Attempt: 1}, true},
		"non-idempotent call not run":              {gateway.FailedAttempt{Class: engine.NotRun, Attempt: 1}, true},
		"non-idempotent call with unknown outcome": {gateway.FailedAttempt{Class: engine.OutcomeUnknown, Attempt: 1}, false},
		"idempotent call with unknown outcome":     {gateway.FailedAttempt{Class: engine.OutcomeUnknown, Attempt: 1, Idempotent: true}, true},
		"fourth attempt":                           {gateway.FailedAttempt{Class: engine.NotSent, Attempt: retry.MaxAttempts}, false},
		"deadline too close":                       {gateway.FailedAttempt{Class: engine.NotSent, Attempt: 1, Deadline: testTime.Add(time.Millisecond)}, false},
	} {
		if _, got := testRetries().Next(c.failure); got != c.want {
			t.Errorf("%s: retry %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a daemon that doubles the load of endpoints while they fail
// every request. Retries stop when the budget is spent, but streams that were
// partly delivered are still resumed on debt.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	r := testRetries()
	prompts, streams := 0, 0
	for range 200 {
		if _, ok := r.Next(gateway.FailedAttempt{Class: engine.NotSent, Attempt: 1, Idempotent: true}); ok {
			prompts++
		}
	}
	for range 200 {
		if _, ok := r.Next(gateway.FailedAttempt{Class: engine.OutcomeUnknown, Attempt: 1, Idempotent: true, Streaming: true}); ok {
			streams++
		}
	}
	if prompts != retry.DefaultBurst/2 || streams != retry.DefaultDebt {
		t.Errorf("%d prompts and %d streams were retried", prompts, streams)
	}
}

// Guards against treating a resume that the next endpoint refused as a new
// request: the caller already has a part of the answer, so it must count as a
// broken stream that may be resumed on debt.
func TestRefusedResumeCountsAsBrokenStream(t *testing.T) {
	f := gateway.FailedAttempt{Class: engine.NotRun, Attempt: 2, Idempotent: true, Streaming: true}
	if got := failureOf(f); got != retry.Broken {
		t.Errorf("a refused resume counts as %v", got)
	}
}

func TestAdmissionRefusalStatus(t *testing.T) {
	for reason, status := range map[contract.Reason]int{
		contract.OverShare: 429, contract.NoCapacity: 503, contract.TooLate: 503, contract.UnknownOrganisation: 403,
	} {
		r := admissionRefusal(contract.Decision{Reason: reason, RetryAfter: 3 * time.Second})
		if r.Status != status || r.RetryAfter != 3*time.Second {
			t.Errorf("%v: %+v", reason, r)
		}
	}
}
