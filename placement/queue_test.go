package placement

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

const queueHalfLife = 1500 * time.Millisecond

func queueView(ids ...fleet.EndpointID) *View {
	v := NewView(Options{Zone: "z", PrefillRate: 80_000, QueueHalfLife: queueHalfLife})
	var members []fleet.Endpoint
	for _, id := range ids {
		members = append(members, fleet.Endpoint{ID: id, Zone: "z", State: fleet.VMLive})
	}
	v.SetPool("p", members)
	return v
}

func longPrompt(id uint64) Request {
	return Request{
		ID: id, Pool: "p", Tokens: 17_000, Priority: contract.PriorityStandard,
		Levels: prefix.SegmentLevels(prefix.Seed{Model: "m"}, []prefix.Segment{{ID: "x", Tokens: 13_000}, {ID: "own", Tokens: 4000}}),
	}
}

// Several daemons keep the queue of an engine full, and each receives its load once in a
// second. A daemon must not subtract the work that the engine could have done since:
// callers sent there would wait for seconds.
func TestReportedQueueDecaysByHalfLife(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("a")
	v.LoadReported("a", fleet.Load{At: now, Waiting: 8, WaitingTokens: 8 * 17_000, Slots: 24})
	d, err := v.Place(now.Add(time.Second), longPrompt(1))
	if err != nil || d.ExpectedWait < time.Second {
		t.Errorf("expected wait %v, %v", d.ExpectedWait, err)
	}
	d, _ = v.Place(now.Add(10*time.Second), longPrompt(2))
	if d.ExpectedWait > 300*time.Millisecond {
		t.Errorf("expected wait is still %v after ten seconds", d.ExpectedWait)
	}
}

// An engine stops answering. No answer reports its queue, and callers that give up withdraw
// their requests. The time that requests have been waiting must raise the expected wait, or
// each daemon continues to send there.
func TestObserveWaitRaisesExpectedWait(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("a")
	v.ObserveWait(now, "a", contract.PriorityStandard, 2*time.Second, false)
	d, _ := v.Place(now, longPrompt(1))
	if d.ExpectedWait < 1900*time.Millisecond {
		t.Errorf("expected wait %v", d.ExpectedWait)
	}
	v.ObserveWait(now, "a", contract.PriorityStandard, time.Second, false)
	if d, _ = v.Place(now, longPrompt(2)); d.ExpectedWait < 1900*time.Millisecond {
		t.Errorf("shorter wait replaces the longer one: %v", d.ExpectedWait)
	}
	v.ObserveWait(now, "a", contract.PriorityStandard, 100*time.Millisecond, true)
	if d, _ = v.Place(now, longPrompt(3)); d.ExpectedWait > 500*time.Millisecond {
		t.Errorf("answered wait is not applied: %v", d.ExpectedWait)
	}
}

// Less urgent requests wait for long. More urgent ones are served before them and must not
// be diverted from the engine.
func TestObservedWaitIgnoresLessUrgentPriorities(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("a")
	v.ObserveWait(now, "a", contract.PriorityStandard, 2*time.Second, false)
	urgent := Request{ID: 1, Pool: "p", Tokens: 300, Priority: contract.PriorityInteractive}
	if d, _ := v.Place(now, urgent); d.ExpectedWait > 100*time.Millisecond {
		t.Errorf("expected wait %v", d.ExpectedWait)
	}
}

func TestAlternateEndpointIsAnotherPreferredOne(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("a", "b", "c")
	d, err := v.Place(now, longPrompt(1))
	if err != nil || d.AlternateEndpoint == "" || d.AlternateEndpoint == d.Endpoint {
		t.Errorf("endpoint %s, peer %q, %v", d.Endpoint, d.AlternateEndpoint, err)
	}
	avoided := longPrompt(2)
	avoided.Avoid = []fleet.EndpointID{d.Endpoint}
	if other, _ := v.Place(now, avoided); other.AlternateEndpoint != d.Endpoint {
		t.Errorf("alternate endpoint %s of a request that avoids %s", other.AlternateEndpoint, d.Endpoint)
	}
}

func TestStalePreferredSkipsFreshAndEjected(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("a", "b", "c")
	r := longPrompt(1)
	preferred := v.StalePreferred(r, now, 2)
	if len(preferred) != 2 {
		t.Fatalf("preferred endpoints %v", preferred)
	}
	v.LoadReported(preferred[0], fleet.Load{At: now})
	if got := v.StalePreferred(r, now, 2); len(got) != 1 || got[0] != preferred[1] {
		t.Errorf("preferred endpoints %v, want %v", got, preferred[1:])
	}
	v.SetAvailability(preferred[1], Ejected)
	if got := v.StalePreferred(r, now, 2); len(got) != 0 {
		t.Errorf("ejected endpoint is listed: %v", got)
	}
	if got := v.StalePreferred(Request{Pool: "none"}, now, 2); got != nil {
		t.Errorf("preferred endpoints of an unknown pool: %v", got)
	}
}

// A prompt is diverted from a full subpool to the engines of another, few of which have
// recent load reports, all busy. If the others counted as idle, just those without recent
// reports would receive the prompts of all daemons, and callers would wait there.
func TestUnknownLoadIsAssumedTypical(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("busy", "busier", "unknown")
	v.LoadReported("unknown", fleet.Load{At: now.Add(-8 * time.Second), Slots: 24})
	v.LoadReported("busy", fleet.Load{At: now, WaitingTokens: 16_000, Waiting: 1, Slots: 24})
	v.LoadReported("busier", fleet.Load{At: now, WaitingTokens: 48_000, Waiting: 3, Slots: 24})
	d, err := v.Select(now, Request{ID: 1, Pool: "p", Tokens: 300})
	if err != nil || d.Endpoint != "busy" {
		t.Errorf("placed on %s, %v", d.Endpoint, err)
	}
	d, err = v.Select(now, Request{ID: 1, Pool: "p", Tokens: 300, Avoid: []fleet.EndpointID{"busy"}})
	if err != nil || d.ExpectedWait < 300*time.Millisecond {
		t.Errorf("placed on %s with an expected wait of %v, %v", d.Endpoint, d.ExpectedWait, err)
	}
}

// Many daemons received a load report a second ago that two engines are idle. If all chose
// the first of them, it would receive all requests of that second while the other idles.
func TestStaleLoadSpreadsDaemons(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	placed := map[fleet.EndpointID]int{}
	for daemon := range uint64(70) {
		v := queueView("a", "b")
		for _, id := range []fleet.EndpointID{"a", "b"} {
			v.LoadReported(id, fleet.Load{At: now.Add(-time.Second), Slots: 24})
		}
		d, err := v.Select(now, Request{ID: 1000 * daemon, Pool: "p", Tokens: 300})
		if err != nil {
			t.Fatal(err)
		}
		placed[d.Endpoint]++
	}
	if placed["a"] < 20 || placed["b"] < 20 {
		t.Errorf("placed on %v", placed)
	}
}

// Two endpoints have no queue, but one has a nearly full batch. The next burst would find
// no free slot there.
func TestFullBatchCosts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := queueView("a", "b")
	v.LoadReported("a", fleet.Load{At: now.Add(-150 * time.Millisecond), Running: 20, Slots: 24})
	v.LoadReported("b", fleet.Load{At: now.Add(-150 * time.Millisecond), Running: 4, Slots: 24})
	for id := range uint64(100) {
		if d, err := v.Select(now, Request{ID: id, Pool: "p", Tokens: 300}); err != nil || d.Endpoint != "b" {
			t.Fatalf("request %d was placed on %s, %v", id, d.Endpoint, err)
		}
	}
}

// Guards against an endpoint that counts as waiting after a pause because the answer to the
// oldest request happened to be read last.
func TestLatestSentRequestShowsTheWait(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, waits := range map[string][]time.Duration{
		"oldest last":   {100 * time.Millisecond, 700 * time.Millisecond, 1400 * time.Millisecond},
		"oldest first":  {1400 * time.Millisecond, 100 * time.Millisecond},
		"in the middle": {700 * time.Millisecond, 100 * time.Millisecond, 1400 * time.Millisecond},
	} {
		v := queueView("a")
		v.ObserveWait(now.Add(-10*time.Millisecond), "a", contract.PriorityStandard, 1390*time.Millisecond, false)
		for _, w := range waits {
			v.ObserveWait(now, "a", contract.PriorityStandard, w, true)
		}
		if d, _ := v.Place(now, longPrompt(1)); d.ExpectedWait > 100*time.Millisecond {
			t.Errorf("%s: expected wait %v", name, d.ExpectedWait)
		}
		v.ObserveWait(now.Add(time.Second), "a", contract.PriorityStandard, 800*time.Millisecond, true)
		if d, _ := v.Place(now.Add(time.Second), longPrompt(2)); d.ExpectedWait < 700*time.Millisecond {
			t.Errorf("%s: expected wait %v after a request that was sent later waited longer", name, d.ExpectedWait)
		}
	}
}
