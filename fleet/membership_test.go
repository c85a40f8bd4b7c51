package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func afterEpoch(d time.Duration) time.Time { return epoch.Add(d) }

// runners returns a list of count live runners in three zones.
func runners(count int) []Endpoint {
	list := make([]Endpoint, 0, count)
	for i := range count {
		list = append(list, Endpoint{
			ID:      EndpointID(fmt.Sprintf("runner-%02d", i)),
			VM:      VMID(fmt.Sprintf("vm-%02d", i)),
			Zone:    ZoneID(fmt.Sprintf("zone-%d", i%3)),
			Class:   "large",
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			State:   VMLive,
		})
	}
	return list
}

func usable(m *Membership, now time.Time) []EndpointID {
	var ids []EndpointID
	for _, e := range m.Usable(now) {
		ids = append(ids, e.ID)
	}
	return ids
}

func kinds(changes []Change) []ChangeKind {
	var out []ChangeKind
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	return out
}

// probe probes every endpoint that is due and applies the reports that answer returns.
func probe(m *Membership, now time.Time, answer func(id EndpointID) (Load, bool)) {
	for _, e := range m.Probes(now, 100) {
		m.RecordProbe(now, e.ID)
		if l, ok := answer(e.ID); ok {
			m.ApplyReport(now, e.ID, l)
		}
	}
}

// Guards against requests to a draining endpoint while the list is unavailable: only the
// endpoint's own answers show it, and requests would be cut off when the VM stops.
func TestDrainingEndpointIsUnusableWithoutList(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(afterEpoch(0), runners(18))
	drainsAt := afterEpoch(10 * time.Second)
	for now := afterEpoch(0); now.Before(drainsAt.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		m.SetList(now, nil)
		probe(m, now, func(id EndpointID) (Load, bool) {
			return Load{At: now, Incarnation: 1, Draining: id == "runner-03" && !now.Before(drainsAt)}, true
		})
		isUsable := slices.Contains(usable(m, now), "runner-03")
		if now.After(drainsAt.Add(3*time.Second)) && isUsable {
			t.Fatalf("usable %v after it began to drain", now.Sub(drainsAt))
		}
		if now.Before(drainsAt) && !isUsable {
			t.Fatalf("unusable at %v although it is not draining", now.Sub(epoch))
		}
	}
}

// Guards against requests to a VM that was removed without draining while the list is
// unavailable: they would hang until their deadline.
func TestSilentEndpointIsUnusableWithoutList(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(afterEpoch(0), runners(18))
	stopsAt := afterEpoch(5 * time.Second)
	for now := afterEpoch(0); now.Before(afterEpoch(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		probe(m, now, func(id EndpointID) (Load, bool) {
			return Load{At: now, Incarnation: 1}, id != "runner-03" || now.Before(stopsAt)
		})
		if now.After(stopsAt.Add(3*time.Second)) && slices.Contains(usable(m, now), "runner-03") {
			t.Fatalf("usable %v after it fell silent", now.Sub(stopsAt))
		}
	}
}

// Guards against endpoints being dropped because the list loses rows or is empty for a
// while, although they still answer.
func TestIncompleteListKeepsEndpoints(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	full := runners(18)
	m.SetList(afterEpoch(0), full)
	for now := afterEpoch(0); now.Before(afterEpoch(5 * time.Minute)); now = now.Add(500 * time.Millisecond) {
		list := full
		switch phase := int(now.Sub(epoch)/time.Minute) % 3; phase {
		case 1:
			list = nil
		case 2:
			list = full[:4]
		}
		m.SetList(now, list)
		probe(m, now, func(EndpointID) (Load, bool) { return Load{At: now, Incarnation: 1}, true })
		if got := len(usable(m, now)); got != 18 {
			t.Fatalf("%d usable at %v", got, now.Sub(epoch))
		}
	}
}

// Guards against a table that grows with every replaced VM: one that is missing from the
// list and does not answer is removed.
func TestMissingSilentEndpointIsRemoved(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(afterEpoch(0), runners(18))
	var removed []Change
	for now := afterEpoch(0); now.Before(afterEpoch(time.Minute)); now = now.Add(500 * time.Millisecond) {
		removed = append(removed, m.SetList(now, runners(17))...)
		probe(m, now, func(id EndpointID) (Load, bool) { return Load{At: now, Incarnation: 1}, id != "runner-17" })
	}
	if want := []Change{{ChangeRemoved, "runner-17", 0}}; !slices.Equal(removed, want) {
		t.Errorf("changes %v, want %v", removed, want)
	}
	if m.Len() != 17 {
		t.Errorf("%d endpoints left", m.Len())
	}
}

// Guards against late answers of a crashed runner that revive its old incarnation after
// the restart: requests would be placed according to a cache that no longer exists.
func TestLateReportOfEndedIncarnationIsIgnored(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(afterEpoch(0), runners(3))
	m.ApplyReport(afterEpoch(1*time.Second), "runner-00", Load{At: afterEpoch(time.Second), Incarnation: 1})
	changes := m.ApplyReport(afterEpoch(5*time.Second), "runner-00", Load{At: afterEpoch(5 * time.Second), Incarnation: 2})
	if !slices.Equal(kinds(changes), []ChangeKind{ChangeRestarted}) {
		t.Errorf("changes %v", changes)
	}
	if c := m.ApplyReport(afterEpoch(6*time.Second), "runner-00", Load{At: afterEpoch(2 * time.Second), Incarnation: 1}); len(c) > 0 {
		t.Errorf("a late answer brought %v", c)
	}
	late := []Evidence{{Endpoint: "runner-00", Incarnation: 1, Draining: true, At: afterEpoch(20 * time.Second)}}
	if c := m.ApplyNeighbourEvidence(afterEpoch(20*time.Second), late); len(c) > 0 {
		t.Errorf("late evidence of a neighbour brought %v", c)
	}
	if got := m.All(afterEpoch(20 * time.Second))[0]; got.Incarnation != 2 || got.Leaving {
		t.Errorf("member %+v", got)
	}
}

// Guards against a rejected attempt at a draining runner that this daemon has not
// contacted for a while, although a neighbour has evidence of the draining.
func TestNeighbourEvidenceOfDraining(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(afterEpoch(0), runners(3))
	m.ApplyReport(afterEpoch(0), "runner-00", Load{At: afterEpoch(0), Incarnation: 1})
	m.ApplyReport(afterEpoch(9800*time.Millisecond), "runner-00", Load{At: afterEpoch(9800 * time.Millisecond), Incarnation: 1})
	m.ApplyNeighbourEvidence(afterEpoch(10*time.Second), []Evidence{{Endpoint: "runner-00", Incarnation: 2, At: afterEpoch(10 * time.Second)}})
	if got := m.All(afterEpoch(10 * time.Second))[0].Incarnation; got != 1 {
		t.Errorf("incarnation %d on evidence that may be older than the own", got)
	}
	m.ApplyNeighbourEvidence(afterEpoch(10*time.Second), []Evidence{{Endpoint: "runner-00", Incarnation: 1, Draining: true, At: afterEpoch(9700 * time.Millisecond)}})
	if !slices.Contains(usable(m, afterEpoch(10*time.Second)), "runner-00") {
		t.Error("unusable on older evidence")
	}
	evidence := []Evidence{{Endpoint: "runner-00", Incarnation: 1, Draining: true, At: afterEpoch(10 * time.Second)}}
	m.ApplyNeighbourEvidence(afterEpoch(10*time.Second), evidence)
	if slices.Contains(usable(m, afterEpoch(10*time.Second)), "runner-00") {
		t.Error("usable although a neighbour has evidence of draining")
	}
	if got := m.RecentEvidence(afterEpoch(11*time.Second), time.Minute, 10); len(got) != 1 || !got[0].Draining {
		t.Errorf("passed on %v", got)
	}
	m.ApplyReport(afterEpoch(12*time.Second), "runner-00", Load{At: afterEpoch(12 * time.Second), Incarnation: 1})
	if !slices.Contains(usable(m, afterEpoch(12*time.Second)), "runner-00") {
		t.Error("a report to this daemon is ignored")
	}
}

// Guards against requests to a leaving VM that an outdated replica of the list shows as
// live for one read: they would be cut off.
func TestFlappingListKeepsEndpointLeaving(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	list := runners(3)
	leaving := runners(3)
	leaving[1].State = VMLeaving
	m.SetList(afterEpoch(0), list)
	for i := 1; i < 60; i++ {
		now := afterEpoch(time.Duration(i) * time.Second)
		if i%3 == 0 {
			m.SetList(now, list)
		} else {
			m.SetList(now, leaving)
		}
		if slices.Contains(usable(m, now), "runner-01") {
			t.Fatalf("usable at %d s", i)
		}
	}
	var changes []Change
	for i := 60; i < 75; i++ {
		changes = append(changes, m.SetList(afterEpoch(time.Duration(i)*time.Second), list)...)
	}
	if !slices.Equal(kinds(changes), []ChangeKind{ChangeReturned}) {
		t.Errorf("changes %v, want one return", changes)
	}
}

// A VM that was replaced by one with the same name at another address has no known
// incarnation.
func TestMovedEndpointLosesIncarnation(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	list := runners(2)
	m.SetList(afterEpoch(0), list)
	m.ApplyReport(afterEpoch(0), "runner-00", Load{At: afterEpoch(0), Incarnation: 1})
	list[0].Address = "10.9.9.9:80"
	if c := m.SetList(afterEpoch(time.Second), list); !slices.Equal(kinds(c), []ChangeKind{ChangeMoved}) {
		t.Errorf("changes %v", c)
	}
	if got := m.All(afterEpoch(time.Second))[0].Incarnation; got != 0 {
		t.Errorf("incarnation %d kept over a move", got)
	}
}

// Guards against refusing all requests if this daemon's own network fails and every
// runner appears to be down: some may still be reachable.
func TestDoubtfulEndpointsUsedBelowMinTriedFraction(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(afterEpoch(0), runners(18))
	for _, e := range runners(18) {
		m.RecordRefusal(afterEpoch(time.Second), e.ID)
	}
	if got := len(usable(m, afterEpoch(time.Second))); got != 18 {
		t.Errorf("%d usable with all refused, want all tried", got)
	}
	m.ApplyReport(afterEpoch(time.Second), "runner-00", Load{At: afterEpoch(time.Second), Incarnation: 1})
	m.ApplyReport(afterEpoch(time.Second), "runner-03", Load{At: afterEpoch(time.Second), Incarnation: 1})
	m.ApplyReport(afterEpoch(time.Second), "runner-06", Load{At: afterEpoch(time.Second), Incarnation: 1})
	for _, e := range m.Usable(afterEpoch(time.Second)) {
		if e.Zone == "zone-0" && e.Doubtful {
			t.Errorf("%s is tried although its zone has enough that answer", e.ID)
		}
	}
}

// For random sequences of lists and reports, an endpoint whose last report states that it
// is draining is unusable, and the table stays within its limit.
func TestMembershipInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMembership(MembershipOptions{MaxEndpoints: 8})
		now := epoch
		draining := map[EndpointID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				m.Expire(now)
			},
			"list": func(t *rapid.T) {
				list := runners(rapid.IntRange(0, 12).Draw(t, "rows"))
				for i := range list {
					if rapid.Bool().Draw(t, "leaving") {
						list[i].State = VMLeaving
					}
				}
				m.SetList(now, list)
			},
			"word": func(t *rapid.T) {
				id := EndpointID(fmt.Sprintf("runner-%02d", rapid.IntRange(0, 7).Draw(t, "id")))
				l := Load{At: now, Incarnation: Incarnation(rapid.IntRange(1, 3).Draw(t, "life")), Draining: rapid.Bool().Draw(t, "draining")}
				m.ApplyReport(now, id, l)
				draining[id] = l.Draining
			},
			"refused": func(t *rapid.T) {
				m.RecordRefusal(now, EndpointID(fmt.Sprintf("runner-%02d", rapid.IntRange(0, 7).Draw(t, "id"))))
			},
			"": func(t *rapid.T) {
				if m.Len() > 8 {
					t.Fatalf("%d endpoints", m.Len())
				}
				for _, e := range m.Usable(now) {
					if e.Incarnation != 0 && draining[e.ID] {
						t.Fatalf("%s is usable although it is draining", e.ID)
					}
				}
			},
		})
	})
}
