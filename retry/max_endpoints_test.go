package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A route allows two endpoints. Refused connections have reached no endpoint and do not
// count; requests that were sent do.
func TestMaxEndpointsCountsOnlyReachedEndpoints(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	budget := NewBudget(BudgetOptions{Burst: 20})
	r := Request{Idempotent: true, MaxEndpoints: 2}
	if d := Decide(now, &r, FailedAttempt{Endpoint: "a", Failure: NotSent}, budget, rng); !d.Retry {
		t.Errorf("a refused connection ends the request: %+v", d)
	}
	if d := Decide(now, &r, FailedAttempt{Endpoint: "b", Failure: NotRun}, budget, rng); !d.Retry {
		t.Errorf("the first reached endpoint ends the request: %+v", d)
	}
	if d := Decide(now, &r, FailedAttempt{Endpoint: "c", Failure: NotRun}, budget, rng); d.Retry || d.Code != CodeAttempts || d.Outcome != OutcomeNotRun {
		t.Errorf("after two endpoints: %+v", d)
	}
}

// No endpoint accepts connections. Refused connections add no load, so they must not use up
// the retries that other requests need.
func TestRefusedConnectionsCostNoBudget(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	budget := NewBudget(BudgetOptions{Burst: 4})
	before := budget.Available()
	r := Request{MaxEndpoints: 1}
	Decide(now, &r, FailedAttempt{Endpoint: "a", Failure: NotSent}, budget, rng)
	if budget.Available() < before {
		t.Errorf("%v of %v retries are left", budget.Available(), before)
	}
	if r.MayHaveRun() {
		t.Error("MayHaveRun is set for a request that was not sent")
	}
}
