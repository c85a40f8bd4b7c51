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

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict.
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

func fail(t *Tracker, now time.Time, id fleet.EndpointID, life fleet.Incarnation) {
	for range DefaultFailures {
		t.RecordFailure(now, id, life)
	}
}

// A runner crashes, is refused connections, and comes back. Callers should
// notice a few slow first tokens at most.
func TestEjectionAndReturn(t *testing.T) {
	tr, list := tracker(1, 6)
	id := list[0].ID
	fail(tr, epoch, id, 1)
	if tr.Allow(epoch, id, true) {
		t.Fatal("a failed endpoint is tried at once")
	}
	now := at(DefaultEjection)
	if tr.Allow(now, id, false) {
		t.Error("a request that may not be sent twice was taken as a trial")
	}
	if !tr.Allow(now, id, true) || tr.Allow(now, id, true) {
		t.Error("a trial should be one request")
	}
	tr.RecordFailure(now, id, 1)
	if tr.Allow(now.Add(DefaultEjection+time.Millisecond), id, true) {
		t.Error("the second time away isn't longer")
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

// An endpoint that is due back is sent requests by a daemon that asked for no
// trial, and still fails each. It must go away again, and an answer must bring
// it back; neither was so, and a failing endpoint stayed in use for good.
func TestDueBackWithoutTrial(t *testing.T) {
	tr, list := tracker(1, 6)
	bad, good, service := list[0].ID, list[1].ID, list[2].ID
	for _, id := range []fleet.EndpointID{bad, good, service} {
		fail(tr, epoch, id, 1)
	}
	now := at(DefaultEjection + time.Second)
	tr.RecordProbe(at(time.Second), service, 1)
	if s := tr.Status(at(time.Second), service); s != Ejected {
		t.Errorf("a probe within the time away makes it %v", s)
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

// All endpoints of a zone fail at once for one daemon, because its network is
// at fault. If it gave the zone up, its callers would be refused although the
// endpoints are well.
func TestZoneIsNeverEmptied(t *testing.T) {
	tr, list := tracker(3, 6)
	for _, e := range list[:6] {
		fail(tr, epoch, e.ID, 1)
	}
	tried := 0
	for _, e := range list[:6] {
		if tr.Allow(epoch, e.ID, false) {
			tried++
		}
	}
	if tried != 3 {
		t.Errorf("%d endpoints of the failed zone are tried, want 3 of 6", tried)
	}
	for _, e := range list[6:] {
		if tr.Status(epoch, e.ID) != Healthy {
			t.Errorf("%s in another zone is %v", e.ID, tr.Status(epoch, e.ID))
		}
	}
}

// Whatever is reported, at least half of the endpoints of a class and zone that
// aren't leaving are tried, and one that leaves never is.
func TestPanicFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(Options{Rand: rand.New(rand.NewPCG(3, 4))})
		list := endpoints(2, rapid.IntRange(1, 7).Draw(t, "each"))
		tr.Sync(epoch, list)
		now := epoch
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(list)-1).Draw(t, "endpoint")
			life := fleet.Incarnation(rapid.IntRange(0, 3).Draw(t, "life"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tr.RecordSuccess(now, list[i].ID, life, rapid.Float64Range(0, 9).Draw(t, "slowness"))
			case 1:
				tr.UpdateLoad(now, list[i].ID, fleet.Load{Incarnation: life, Draining: rapid.Bool().Draw(t, "draining")})
			case 2:
				list[i].State = rapid.SampledFrom([]fleet.VMState{fleet.VMLive, fleet.VMLeaving}).Draw(t, "state")
				tr.Sync(now, list)
			case 3:
				tr.Allow(now, list[i].ID, true)
			default:
				fail(tr, now, list[i].ID, life)
			}
			staying, tried := map[fleet.ZoneID]int{}, map[fleet.ZoneID]int{}
			for _, e := range list {
				s := tr.Status(now, e.ID)
				if e.State == fleet.VMLeaving && s != Leaving {
					t.Fatalf("%s is leaving and %v", e.ID, s)
				}
				if s != Leaving {
					staying[e.Zone]++
				}
				if s != Leaving && s != Ejected && s != Trial {
					tried[e.Zone]++
				}
			}
			for zone, n := range staying {
				if 2*tried[zone] < n {
					t.Fatalf("%d of %d endpoints of %s are tried", tried[zone], n, zone)
				}
			}
		}
	})
}

// An engine answers everything, five times later than the others, because an
// accelerator is failing. Callers see late first tokens and no error.
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
	t.Error("the slow endpoint is still tried after 12 s")
}

// An engine crashed and is back under its address. Failures of its former life
// arrive late and would eject the new one.
func TestLateFailuresOfFormerLife(t *testing.T) {
	tr, list := tracker(1, 4)
	id := list[0].ID
	tr.RecordSuccess(epoch, id, 1, 0)
	tr.RecordSuccess(at(time.Second), id, 2, 0)
	fail(tr, at(2*time.Second), id, 1)
	if s := tr.Status(at(2*time.Second), id); s != SlowStart {
		t.Errorf("the new life is %v", s)
	}
	fail(tr, at(2*time.Second), id, 2)
	if s := tr.Status(at(2*time.Second), id); s != Ejected {
		t.Errorf("after failures of its own it is %v", s)
	}
}

// The platform's list is cut short by a fault. Endpoints that it leaves out but
// that answer must go on serving; one that says it leaves must not.
func TestListCutShort(t *testing.T) {
	tr, list := tracker(1, 4)
	tr.Sync(at(time.Second), list[:1])
	for now := time.Second; now < 5*time.Minute; now += 10 * time.Second {
		tr.RecordSuccess(at(now), list[1].ID, 1, 0)
		tr.Sync(at(now), list[:1])
	}
	if !tr.Allow(at(5*time.Minute), list[1].ID, false) {
		t.Error("an endpoint that answers is not tried")
	}
	if s := tr.Status(at(5*time.Minute), list[2].ID); s != Leaving {
		t.Errorf("one that is gone and silent is %v", s)
	}
	tr.UpdateLoad(at(5*time.Minute), list[1].ID, fleet.Load{Incarnation: 1, Draining: true})
	if tr.Allow(at(5*time.Minute), list[1].ID, false) {
		t.Error("a draining endpoint gets new work")
	}
}

// A clock jumps an hour ahead: everybody is due for a trial, and nothing is
// lost.
func TestClockJumps(t *testing.T) {
	tr, list := tracker(1, 4)
	fail(tr, epoch, list[0].ID, 1)
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
