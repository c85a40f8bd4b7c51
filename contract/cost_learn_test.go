package contract

import (
	"testing"
	"time"
)

// Long prompts, nine tenths of them cached, are charged in full until they end.
// The organisation would look over its share for as long as they run, and its
// next requests would be refused.
func TestChargeIsLearnt(t *testing.T) {
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

// Engines have places left in their batches but prefill one prompt after the
// other. Without a bound on what is sent ahead every first token comes late,
// though no daemon has anything queued.
func TestPromptsSentAheadAreBounded(t *testing.T) {
	a := newAdmission(t, Options{PrefillAhead: time.Second}, 1000, Share{"a", 1})
	a.Started(epoch, 0) // told for requests of this shell
	for i := range 10 {
		a.Offer(epoch, request(i, "a", PriorityStandard, 500))
	}
	if a.Running() != 2 {
		t.Fatalf("%d prompts of 500 tokens are sent ahead at 1,000 tokens/s", a.Running())
	}
	a.Started(epoch, 0)
	if got := a.Next(epoch, nil); len(got) != 1 {
		t.Errorf("after a first token %d more are sent, want 1", len(got))
	}
	unseen := request(50, "a", PriorityStandard, 500)
	unseen.StartUnobserved = true
	a.Cancel(epoch, 1)
	a.Next(epoch, nil)
	before := a.prefilling
	a.Offer(epoch, unseen)
	if a.prefilling != before {
		t.Error("a request whose first token isn't told holds others back")
	}
	for id := range a.entries {
		a.Cancel(epoch, id)
		a.Next(epoch, nil)
	}
	if a.prefilling != 0 || a.prefillingUrgent != 0 {
		t.Errorf("with nothing running %.0f tokens count as sent ahead", a.prefilling)
	}
}

// A daemon starts while engines have most of each prompt cached. If it took
// prompts for wholly new it would refuse callers for seconds beside free
// engines.
func TestStartTakesPromptsForCached(t *testing.T) {
	a := newAdmission(t, Options{InitialCostRatio: DefaultInitialCostRatio}, 1000, Share{"a", 1})
	a.Started(epoch, 0)
	for i := range 5 {
		if d := a.Offer(epoch, request(i, "a", PriorityStandard, 4000)); d.Verdict != Admitted {
			t.Errorf("request %d: %+v", i, d)
		}
	}
}
