package contract

import (
	"testing"
	"time"
)

// Long prompts that are mostly cached must not be charged in full: the
// organisation would appear to exceed its share while they run, and its next
// requests would be refused.
func TestChargeFollowsActualCost(t *testing.T) {
	a := newAdmission(t, Options{}, 1000, Share{"a", 1})
	for i := range 200 {
		a.Offer(at(time.Duration(i)*time.Second), request(i, "a", PriorityStandard, 20_000))
		a.Finish(at(time.Duration(i)*time.Second+500*time.Millisecond), RequestID(i), 2000)
	}
	r := request(1000, "a", PriorityStandard, 20_000)
	a.Offer(at(201*time.Second), r)
	if got := a.entries[1000].Tokens; got < 1900 || got > 2300 {
		t.Errorf("a request that takes 2,000 tokens is charged %.0f", got)
	}
}

// Engines prefill one prompt after the other, even with free slots in their
// batches. Without a bound on the pending prompts every first token is late, though
// no daemon has requests queued.
func TestPendingPrefillIsBounded(t *testing.T) {
	a := newAdmission(t, Options{PrefillAhead: time.Second}, 1000, Share{"a", 1})
	a.Started(epoch, 0) // from the first call on, pending prompts are bounded
	for i := range 10 {
		a.Offer(epoch, request(i, "a", PriorityStandard, 500))
	}
	if a.Running() != 2 {
		t.Fatalf("%d prompts of 500 tokens are pending at 1,000 tokens/s, want 2", a.Running())
	}
	a.Started(epoch, 0)
	if got := a.Next(epoch, nil); len(got) != 1 {
		t.Errorf("after a first token %d more requests are admitted, want 1", len(got))
	}
	unseen := request(50, "a", PriorityStandard, 500)
	unseen.StartUnobserved = true
	a.Cancel(epoch, 1)
	a.Next(epoch, nil)
	before := a.prefillTokens
	a.Offer(epoch, unseen)
	if a.prefillTokens != before {
		t.Error("a request with StartUnobserved counts as a pending prompt")
	}
	for id := range a.entries {
		a.Cancel(epoch, id)
		a.Next(epoch, nil)
	}
	if a.prefillTokens != 0 || a.urgentPrefillTokens != 0 {
		t.Errorf("with no request running %.0f tokens count as pending", a.prefillTokens)
	}
}

// A daemon starts while engines have most of each prompt cached. If it assumed
// that nothing is cached, it would refuse callers for seconds while engines are
// free.
func TestInitialCostAssumesCachedPrompts(t *testing.T) {
	a := newAdmission(t, Options{InitialCostRatio: DefaultInitialCostRatio}, 1000, Share{"a", 1})
	a.Started(epoch, 0)
	for i := range 5 {
		if d := a.Offer(epoch, request(i, "a", PriorityStandard, 4000)); d.Verdict != Admitted {
			t.Errorf("request %d: %+v", i, d)
		}
	}
}
