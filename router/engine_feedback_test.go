package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
)

// The batch of an engine has free slots but is so large that each token takes three times
// as long. Callers with long answers would reach their time limit in mid-answer while
// other engines have small batches.
func TestLargeBatchCountsAsFull(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	place := func(load *fleet.Load) placement.Decision {
		v := placement.NewView(placementOptions())
		v.SetPool("short", []fleet.Endpoint{{ID: "a", Zone: "z", State: fleet.VMLive}})
		v.Answered(now, placement.Answer{ID: 1, Endpoint: "a", Load: load})
		d, err := v.Select(now, placement.Request{ID: 2, Pool: "short", Tokens: 300})
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	raw := fleet.Load{At: now, Running: 110, Slots: 128}
	if d := place(&raw); d.ExpectedWait != 0 {
		t.Fatalf("expected wait %v with free slots", d.ExpectedWait)
	}
	if d := place(capSlots(&raw)); d.ExpectedWait < 100*time.Millisecond {
		t.Errorf("expected wait %v in a batch of 110", d.ExpectedWait)
	}
	small := fleet.Load{At: now, Running: 30, Slots: 128}
	if d := place(capSlots(&small)); d.ExpectedWait != 0 {
		t.Errorf("expected wait %v in a batch of 30", d.ExpectedWait)
	}
	if capSlots(nil) != nil {
		t.Error("capSlots returns a load for nil")
	}
}

// A short prompt was answered by an engine of the long subpool that reports three waiting
// requests, which are long. Counted at the length of the short prompt, they would amount
// to a wait of 14 ms, and the daemon would place its next prompts after 50,000 tokens.
func TestQueueEstimateUsesSubpoolOfEngine(t *testing.T) {
	now := time.Now()
	s := newState(&Settings{Zone: "z"}, rand.New(rand.NewPCG(1, 2)))
	s.subpools.meanTokens = [subpoolCount]float64{subpoolShort: 370, subpoolLong: 17_000}
	s.view.SetPool("long", []fleet.Endpoint{{ID: "a", Zone: "z", State: fleet.VMLive}})
	p := newPlacer(s, &Settings{}, nil, BootClock, discardLog(), rand.New(rand.NewPCG(3, 4)))
	pl := forward.Placement{Target: forward.Target{Key: "a"}, Notes: forward.PlacerState{Prompt: int(subpoolShort), Engine: int(subpoolLong)}}
	p.AnswerStarted(&pl, &forward.AnswerInfo{Load: &fleet.Load{Running: 4, Waiting: 3, Slots: 24}})
	d, err := s.view.Select(now, placement.Request{ID: 1, Pool: "long", Tokens: 300})
	if err != nil || d.ExpectedWait < 400*time.Millisecond {
		t.Errorf("expected wait %v, error %v", d.ExpectedWait, err)
	}
}
