package health

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
)

// TestMain fixes the seed of the property tests, so that they are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func endpoints(zones, each int) []fleet.Endpoint {
	var list []fleet.Endpoint
	for z := range zones {
		for i := range each {
			list = append(list, fleet.Endpoint{
				ID:   fleet.EndpointID(fmt.Sprintf("runner-%d-%d", z, i)),
				Zone: fleet.ZoneID(fmt.Sprintf("zone-%d", z)), Class: "model", State: fleet.VMLive,
			})
		}
	}
	return list
}

func tracker(zones, each int) (*Tracker, []fleet.Endpoint) {
	t := New(Options{})
	list := endpoints(zones, each)
	t.Sync(epoch, list)
	return t, list
}

func failRepeatedly(t *Tracker, now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) {
	for range DefaultFailures {
		t.RecordFailure(now, id, incarnation)
	}
}

// A runner crashes and returns. The test covers the ejection, the trials, the doubled
// second ejection and the slow start.
func TestEjectionAndReturn(t *testing.T) {
	tr, list := tracker(1, 6)
	id := list[0].ID
	failRepeatedly(tr, epoch, id, 1)
	if tr.Allow(epoch, id, true) {
		t.Fatal("a failed endpoint is not ejected")
	}
	now := at(DefaultEjection)
	if tr.Allow(now, id, false) {
		t.Error("a non-repeatable request was used as a trial")
	}
	if !tr.Allow(now, id, true) || tr.Allow(now, id, true) {
		t.Error("a trial must be a single request")
	}
	tr.RecordFailure(now, id, 1)
	if tr.Allow(now.Add(DefaultEjection+time.Millisecond), id, true) {
		t.Error("the second ejection isn't longer")
	}
	now = now.Add(2 * DefaultEjection)
	if !tr.Allow(now, id, true) {
		t.Fatal("no second trial")
	}
	if tr.Allow(now.Add(DefaultTrial-1), id, true) || !tr.Allow(now.Add(DefaultTrial), id, true) {
		t.Error("a trial without a result should expire after its time")
	}
	now = now.Add(DefaultTrial)
	tr.RecordSuccess(now, id, 2, 0)
	if w := tr.Weight(now, id); tr.Status(now, id) != SlowStart || w != slowStartWeight {
		t.Errorf("after the trial: %v, weight %v", tr.Status(now, id), w)
	}
	if w := tr.Weight(now.Add(DefaultSlowStart/2), id); w != 0.5 {
		t.Errorf("half way through the slow start: weight %v", w)
	}
	if w := tr.Weight(now.Add(DefaultSlowStart), id); w != 1 {
		t.Errorf("after the slow start: weight %v", w)
	}
}

// After the end of an ejection, attempts are sent without a call to Allow. A failure
// must eject the endpoint again, and a success must readmit it. When neither happened,
// a failing endpoint stayed in use indefinitely.
func TestAttemptsWithoutTrialAfterEjection(t *testing.T) {
	tr, list := tracker(1, 6)
	bad, good, service := list[0].ID, list[1].ID, list[2].ID
	for _, id := range []fleet.EndpointID{bad, good, service} {
		failRepeatedly(tr, epoch, id, 1)
	}
	now := at(DefaultEjection + time.Second)
	tr.RecordProbe(at(time.Second), service, 1)
	if s := tr.Status(at(time.Second), service); s != Ejected {
		t.Errorf("a probe during the ejection makes it %v", s)
	}
	tr.RecordFailure(now, bad, 1)
	tr.RecordSuccess(now, good, 1, 0)
	tr.RecordProbe(now, service, 1)
	for id, want := range map[fleet.EndpointID]Status{bad: Ejected, good: SlowStart, service: SlowStart} {
		if s := tr.Status(now, id); s != want {
			t.Errorf("%s is %v, want %v", id, s, want)
		}
	}
}

// All endpoints of a zone fail for one daemon because of a fault in its network. If it
// ejected all of them, its callers would be refused although the endpoints are
// healthy.
func TestRetainsHalfOfFailedZone(t *testing.T) {
	tr, list := tracker(3, 6)
	for _, e := range list[:6] {
		failRepeatedly(tr, epoch, e.ID, 1)
	}
	usable := 0
	for _, e := range list[:6] {
		if tr.Allow(epoch, e.ID, false) {
			usable++
		}
	}
	if usable != 3 {
		t.Errorf("%d endpoints of the failed zone are usable, want 3 of 6", usable)
	}
	for _, e := range list[6:] {
		if tr.Status(epoch, e.ID) != Healthy {
			t.Errorf("%s in another zone is %v", e.ID, tr.Status(epoch, e.ID))
		}
	}
}

// For any sequence of reports, at least half of the endpoints of a class and zone that
// aren't leaving must be usable, and none that is leaving.
func TestRetainedFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(Options{Rand: rand.New(rand.NewPCG(3, 4))})
		list := endpoints(2, rapid.IntRange(1, 7).Draw(t, "each"))
		tr.Sync(epoch, list)
		now := epoch
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "endpoint")
			incarnation := fleet.Incarnation(rapid.IntRange(0, 3).Draw(t, "life"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tr.RecordSuccess(now, list[i].ID, incarnation, rapid.Float64Range(0, 9).Draw(t, "slowness"))
			case 1:
				tr.UpdateLoad(now, list[i].ID, fleet.Load{Incarnation: incarnation, Draining: rapid.Bool().Draw(t, "draining")})
			case 2:
				list[i].State = rapid.SampledFrom([]fleet.VMState{fleet.VMLive, fleet.VMLeaving}).Draw(t, "state")
				tr.Sync(now, list)
			case 3:
				tr.Allow(now, list[i].ID, true)
			default:
				failRepeatedly(tr, now, list[i].ID, incarnation)
			}
			staying, usable := map[fleet.ZoneID]int{}, map[fleet.ZoneID]int{}
			for _, e := range list {
				s := tr.Status(now, e.ID)
				if e.State == fleet.VMLeaving && s != Leaving {
					t.Fatalf("%s is leaving and %v", e.ID, s)
				}
				if s != Leaving {
					staying[e.Zone]++
				}
				if s != Leaving && s != Ejected && s != Trial {
					usable[e.Zone]++
				}
			}
			for zone, n := range staying {
				if 2*usable[zone] < n {
					t.Fatalf("%d of %d endpoints of %s are usable", usable[zone], n, zone)
				}
			}
		}
	})
}

// An engine with a failing accelerator answers without errors, but five times slower
// than the others. It must be ejected.
func TestSlowEndpointIsEjected(t *testing.T) {
	tr, list := tracker(2, 5)
	now := epoch
	for range 60 {
		now = now.Add(200 * time.Millisecond)
		for i, e := range list {
			slowness := 1.0
			if i == 3 {
				slowness = 5
			}
			tr.RecordSuccess(now, e.ID, 1, slowness)
		}
		if tr.Status(now, list[3].ID) == Ejected {
			return
		}
	}
	t.Error("the slow endpoint is not ejected after 12 s")
}

// An engine crashed and restarted under its address. Late failures of the previous
// incarnation must not eject the new one.
func TestIgnoresFailuresOfPreviousIncarnation(t *testing.T) {
	tr, list := tracker(1, 4)
	id := list[0].ID
	tr.RecordSuccess(epoch, id, 1, 0)
	tr.RecordSuccess(at(time.Second), id, 2, 0)
	failRepeatedly(tr, at(2*time.Second), id, 1)
	if s := tr.Status(at(2*time.Second), id); s != SlowStart {
		t.Errorf("the new incarnation is %v", s)
	}
	failRepeatedly(tr, at(2*time.Second), id, 2)
	if s := tr.Status(at(2*time.Second), id); s != Ejected {
		t.Errorf("after its own failures the new incarnation is %v", s)
	}
}

// The platform's list is incomplete because of a fault. Unlisted endpoints that answer
// must remain in use, but not one that reports that it is draining.
func TestIncompleteEndpointList(t *testing.T) {
	tr, list := tracker(1, 4)
	tr.Sync(at(time.Second), list[:1])
	for now := time.Second; now < 5*time.Minute; now += 10 * time.Second {
		tr.RecordSuccess(at(now), list[1].ID, 1, 0)
		tr.Sync(at(now), list[:1])
	}
	if !tr.Allow(at(5*time.Minute), list[1].ID, false) {
		t.Error("an unlisted endpoint that answers is not used")
	}
	if s := tr.Status(at(5*time.Minute), list[2].ID); s != Leaving {
		t.Errorf("an unlisted endpoint without answers is %v", s)
	}
	tr.UpdateLoad(at(5*time.Minute), list[1].ID, fleet.Load{Incarnation: 1, Draining: true})
	if tr.Allow(at(5*time.Minute), list[1].ID, false) {
		t.Error("a draining endpoint gets new requests")
	}
}

// The clock jumps an hour ahead and back. All ejected endpoints are due for a trial, and
// after the jump back the ejection must still apply.
func TestClockJumps(t *testing.T) {
	tr, list := tracker(1, 4)
	failRepeatedly(tr, epoch, list[0].ID, 1)
	if s := tr.Status(at(time.Hour), list[0].ID); s != Trial {
		t.Errorf("after the jump: %v", s)
	}
	if s := tr.Status(epoch, list[0].ID); s != Ejected {
		t.Errorf("back again: %v", s)
	}
}

func TestEndpointsAreBounded(t *testing.T) {
	tr := New(Options{})
	tr.Sync(epoch, endpoints(1, MaxEndpoints+10))
	if len(tr.endpoints) != MaxEndpoints {
		t.Errorf("%d endpoints are kept", len(tr.endpoints))
	}
}
