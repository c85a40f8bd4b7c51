package placement

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

const sharedLife = 1500 * time.Millisecond

func sharedView(ids ...fleet.EndpointID) *View {
	v := NewView(Options{Zone: "z", PrefillRate: 80_000, QueueHalfLife: sharedLife})
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

// Eight daemons keep the queue of an engine full. Each hears of it once in a
// second. Shortly after, the queue is not empty because this daemon could have
// worked it off: callers sent there on that belief wait for seconds.
func TestQueueThatOthersRefillIsStillBelieved(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("a")
	v.LoadReported("a", fleet.Load{At: now, Waiting: 8, WaitingTokens: 8 * 17_000, Slots: 24})
	d, err := v.Place(now.Add(time.Second), longPrompt(1))
	if err != nil || d.ExpectedWait < time.Second {
		t.Errorf("expects to wait %v, %v", d.ExpectedWait, err)
	}
	d, _ = v.Place(now.Add(10*time.Second), longPrompt(2))
	if d.ExpectedWait > 300*time.Millisecond {
		t.Errorf("still expects to wait %v after ten seconds", d.ExpectedWait)
	}
}

// An engine stops answering. No answer tells of its queue, and callers who give
// up take their requests with them. The time that requests have been waiting
// must tell, or each daemon goes on sending there.
func TestWaitingRequestsTellOfTheQueue(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("a")
	v.ObserveWait(now, "a", contract.PriorityStandard, 2*time.Second, false)
	d, _ := v.Place(now, longPrompt(1))
	if d.ExpectedWait < 1900*time.Millisecond {
		t.Errorf("expects to wait %v", d.ExpectedWait)
	}
	v.ObserveWait(now, "a", contract.PriorityStandard, time.Second, false)
	if d, _ = v.Place(now, longPrompt(2)); d.ExpectedWait < 1900*time.Millisecond {
		t.Errorf("a request that came later hides the older one: %v", d.ExpectedWait)
	}
	v.ObserveWait(now, "a", contract.PriorityStandard, 100*time.Millisecond, true)
	if d, _ = v.Place(now, longPrompt(3)); d.ExpectedWait > 500*time.Millisecond {
		t.Errorf("an answer does not count: %v", d.ExpectedWait)
	}
}

// Less urgent requests wait for long. The more urgent go before them, and must
// not be kept away from the engine.
func TestWaitOfTheLessUrgentDoesNotCountForTheUrgent(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("a")
	v.ObserveWait(now, "a", contract.PriorityStandard, 2*time.Second, false)
	urgent := Request{ID: 1, Pool: "p", Tokens: 300, Priority: contract.PriorityInteractive}
	if d, _ := v.Place(now, urgent); d.ExpectedWait > 100*time.Millisecond {
		t.Errorf("expects to wait %v", d.ExpectedWait)
	}
}

func TestPeerIsAnotherHome(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("a", "b", "c")
	d, err := v.Place(now, longPrompt(1))
	if err != nil || d.AlternateEndpoint == "" || d.AlternateEndpoint == d.Endpoint {
		t.Errorf("endpoint %s, peer %q, %v", d.Endpoint, d.AlternateEndpoint, err)
	}
	avoided := longPrompt(2)
	avoided.Avoid = []fleet.EndpointID{d.Endpoint}
	if other, _ := v.Place(now, avoided); other.AlternateEndpoint != d.Endpoint {
		t.Errorf("a request that avoids its home has peer %s, home %s", other.AlternateEndpoint, d.Endpoint)
	}
}

func TestHomesAreAskedOnlyIfTheirLoadIsOld(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("a", "b", "c")
	r := longPrompt(1)
	homes := v.StalePreferred(r, now, 2)
	if len(homes) != 2 {
		t.Fatalf("homes %v", homes)
	}
	v.LoadReported(homes[0], fleet.Load{At: now})
	if got := v.StalePreferred(r, now, 2); len(got) != 1 || got[0] != homes[1] {
		t.Errorf("homes %v, want %v", got, homes[1:])
	}
	v.SetAvailability(homes[1], Ejected)
	if got := v.StalePreferred(r, now, 2); len(got) != 0 {
		t.Errorf("an engine that is out is asked: %v", got)
	}
	if got := v.StalePreferred(Request{Pool: "none"}, now, 2); got != nil {
		t.Errorf("homes of no pool: %v", got)
	}
}

// A caller's prompt leaves a full lane for the engines of another, of which the
// daemon has heard of a few lately, all busy, and of the others not for seconds.
// Taken as idle, just those that nobody knows anything of get the prompts of all
// daemons, and callers wait there for one or two seconds.
func TestUnknownEndpointCountsAsBusyAsTheOthers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("busy", "busier", "unknown")
	v.LoadReported("unknown", fleet.Load{At: now.Add(-8 * time.Second), Slots: 24})
	v.LoadReported("busy", fleet.Load{At: now, WaitingTokens: 16_000, Waiting: 1, Slots: 24})
	v.LoadReported("busier", fleet.Load{At: now, WaitingTokens: 48_000, Waiting: 3, Slots: 24})
	d, err := v.Select(now, Request{ID: 1, Pool: "p", Tokens: 300})
	if err != nil || d.Endpoint != "busy" {
		t.Errorf("went to %s, %v", d.Endpoint, err)
	}
	d, err = v.Select(now, Request{ID: 1, Pool: "p", Tokens: 300, Avoid: []fleet.EndpointID{"busy"}})
	if err != nil || d.ExpectedWait < 300*time.Millisecond {
		t.Errorf("went to %s with an expected wait of %v, %v", d.Endpoint, d.ExpectedWait, err)
	}
}

// Seventy daemons heard a second ago that two engines idle. If all took the first
// of them, it would get a second's requests at once while the other idles.
func TestDaemonsSpreadOverEndpointsHeardOfLongAgo(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	went := map[fleet.EndpointID]int{}
	for daemon := range uint64(70) {
		v := sharedView("a", "b")
		for _, id := range []fleet.EndpointID{"a", "b"} {
			v.LoadReported(id, fleet.Load{At: now.Add(-time.Second), Slots: 24})
		}
		d, err := v.Select(now, Request{ID: 1000 * daemon, Pool: "p", Tokens: 300})
		if err != nil {
			t.Fatal(err)
		}
		went[d.Endpoint]++
	}
	if went["a"] < 20 || went["b"] < 20 {
		t.Errorf("went to %v", went)
	}
}

// Of two endpoints where nothing waits, one has a nearly full batch. The next
// burst would find no place there.
func TestFilledBatchCounts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := sharedView("a", "b")
	v.LoadReported("a", fleet.Load{At: now.Add(-150 * time.Millisecond), Running: 20, Slots: 24})
	v.LoadReported("b", fleet.Load{At: now.Add(-150 * time.Millisecond), Running: 4, Slots: 24})
	for id := range uint64(100) {
		if d, err := v.Select(now, Request{ID: id, Pool: "p", Tokens: 300}); err != nil || d.Endpoint != "b" {
			t.Fatalf("request %d went to %s, %v", id, d.Endpoint, err)
		}
	}
}
