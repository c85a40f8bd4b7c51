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
		failure gateway.Failure
		want    bool
	}{
		"booking not sent":   {gateway.Failure{Class: engine.NotSent, Attempt: 1}, true},
		"booking not run":    {gateway.Failure{Class: engine.NotRun, Attempt: 1}, true},
		"booking lost":       {gateway.Failure{Class: engine.OutcomeUnknown, Attempt: 1}, false},
		"prompt lost":        {gateway.Failure{Class: engine.OutcomeUnknown, Attempt: 1, Idempotent: true}, true},
		"fourth attempt":     {gateway.Failure{Class: engine.NotSent, Attempt: retry.MaxAttempts}, false},
		"deadline too close": {gateway.Failure{Class: engine.NotSent, Attempt: 1, Deadline: testTime.Add(time.Millisecond)}, false},
	} {
		if _, got := testRetries().Next(c.failure); got != c.want {
			t.Errorf("%s: retry %v, want %v", name, got, c.want)
		}
	}
}

// Endpoints fail every request for a while. A daemon that repeated each of them
// would double their load; it stops when its budget is spent, but goes on
// resuming streams that callers have a part of.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	r := testRetries()
	prompts, streams := 0, 0
	for range 200 {
		if _, ok := r.Next(gateway.Failure{Class: engine.NotSent, Attempt: 1, Idempotent: true}); ok {
			prompts++
		}
	}
	for range 200 {
		if _, ok := r.Next(gateway.Failure{Class: engine.OutcomeUnknown, Attempt: 1, Idempotent: true, Streaming: true}); ok {
			streams++
		}
	}
	if prompts != retry.DefaultBurst/2 || streams != retry.DefaultDebt {
		t.Errorf("%d prompts and %d streams were sent again", prompts, streams)
	}
}

// A resumed stream is refused by the next endpoint, which did no part of it.
// The caller still has a part of the answer, so it is a broken stream and may
// be resumed on debt, not a fresh request.
func TestRefusedResumeCountsAsBrokenStream(t *testing.T) {
	f := gateway.Failure{Class: engine.NotRun, Attempt: 2, Idempotent: true, Streaming: true}
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
