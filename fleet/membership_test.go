package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// runners makes a list of count live runners over three zones.
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

// probe asks every endpoint that is due and lets answer say which reply.
func probe(m *Membership, now time.Time, answer func(id EndpointID) (Load, bool)) {
	for _, e := range m.Probes(now, 100) {
		m.RecordProbe(now, e.ID)
		if l, ok := answer(e.ID); ok {
			m.ApplyReport(now, e.ID, l)
		}
	}
}

// The list is down from the start, and a runner begins to drain. Only its own
// answers can tell; work sent to it later would be cut when the VM goes.
func TestLeavingEndpointGetsNoWorkWithListDown(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(at(0), runners(18))
	leaves := at(10 * time.Second)
	for now := at(0); now.Before(leaves.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		m.SetList(now, nil)
		probe(m, now, func(id EndpointID) (Load, bool) {
			return Load{At: now, Incarnation: 1, Draining: id == "runner-03" && !now.Before(leaves)}, true
		})
		works := slices.Contains(usable(m, now), "runner-03")
		if now.After(leaves.Add(3*time.Second)) && works {
			t.Fatalf("gets work %v after it began to leave", now.Sub(leaves))
		}
		if now.Before(leaves) && !works {
			t.Fatalf("gets no work at %v although it is not leaving", now.Sub(epoch))
		}
	}
}

// A VM is taken away without a word while the list is down. Requests sent to
// it would hang until their deadline.
func TestSilentEndpointGetsNoWorkWithListDown(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(at(0), runners(18))
	dies := at(5 * time.Second)
	for now := at(0); now.Before(at(12 * time.Second)); now = now.Add(100 * time.Millisecond) {
		probe(m, now, func(id EndpointID) (Load, bool) {
			return Load{At: now, Incarnation: 1}, id != "runner-03" || now.Before(dies)
		})
		if now.After(dies.Add(3*time.Second)) && slices.Contains(usable(m, now), "runner-03") {
			t.Fatalf("gets work %v after it fell silent", now.Sub(dies))
		}
	}
}

// The list's own store loses rows, answers with nothing, and comes back. No
// caller may notice, since the runners still answer.
func TestForgetfulListEmptiesNothing(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	full := runners(18)
	m.SetList(at(0), full)
	for now := at(0); now.Before(at(5 * time.Minute)); now = now.Add(500 * time.Millisecond) {
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

// A VM is really gone: the list goes without it and it answers nothing. It must
// leave the table too, or the table grows with every replacement.
func TestGoneEndpointIsForgotten(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(at(0), runners(18))
	var gone []Change
	for now := at(0); now.Before(at(time.Minute)); now = now.Add(500 * time.Millisecond) {
		gone = append(gone, m.SetList(now, runners(17))...)
		probe(m, now, func(id EndpointID) (Load, bool) { return Load{At: now, Incarnation: 1}, id != "runner-17" })
	}
	if want := []Change{{ChangeRemoved, "runner-17", 0}}; !slices.Equal(gone, want) {
		t.Errorf("changes %v, want %v", gone, want)
	}
	if m.Len() != 17 {
		t.Errorf("%d endpoints left", m.Len())
	}
}

// A runner crashes and comes back empty under the same address. A late answer of
// its first life must not bring that life back, or requests would be placed by
// a cache that is gone.
func TestLateWordOfAnEndedLife(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(at(0), runners(3))
	m.ApplyReport(at(1*time.Second), "runner-00", Load{At: at(time.Second), Incarnation: 1})
	changes := m.ApplyReport(at(5*time.Second), "runner-00", Load{At: at(5 * time.Second), Incarnation: 2})
	if !slices.Equal(kinds(changes), []ChangeKind{ChangeRestarted}) {
		t.Errorf("changes %v", changes)
	}
	if c := m.ApplyReport(at(6*time.Second), "runner-00", Load{At: at(2 * time.Second), Incarnation: 1}); len(c) > 0 {
		t.Errorf("a late answer brought %v", c)
	}
	late := []Evidence{{Endpoint: "runner-00", Incarnation: 1, Draining: true, At: at(20 * time.Second)}}
	if c := m.ApplyNeighbourEvidence(at(20*time.Second), late); len(c) > 0 {
		t.Errorf("a neighbour's late word brought %v", c)
	}
	if got := m.All(at(20 * time.Second))[0]; got.Incarnation != 2 || got.Leaving {
		t.Errorf("member %+v", got)
	}
}

// A neighbour met a leaving runner that this daemon has not asked for a while.
// Its word spares this daemon's callers a refused attempt.
func TestNeighboursWordOfALeavingEndpoint(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(at(0), runners(3))
	m.ApplyReport(at(0), "runner-00", Load{At: at(0), Incarnation: 1})
	m.ApplyReport(at(9800*time.Millisecond), "runner-00", Load{At: at(9800 * time.Millisecond), Incarnation: 1})
	m.ApplyNeighbourEvidence(at(10*time.Second), []Evidence{{Endpoint: "runner-00", Incarnation: 2, At: at(10 * time.Second)}})
	if got := m.All(at(10 * time.Second))[0].Incarnation; got != 1 {
		t.Errorf("incarnation %d on a word that may be older than the own", got)
	}
	m.ApplyNeighbourEvidence(at(10*time.Second), []Evidence{{Endpoint: "runner-00", Incarnation: 1, Draining: true, At: at(9700 * time.Millisecond)}})
	if !slices.Contains(usable(m, at(10*time.Second)), "runner-00") {
		t.Error("gets no work on an older word")
	}
	news := []Evidence{{Endpoint: "runner-00", Incarnation: 1, Draining: true, At: at(10 * time.Second)}}
	m.ApplyNeighbourEvidence(at(10*time.Second), news)
	if slices.Contains(usable(m, at(10*time.Second)), "runner-00") {
		t.Error("gets work")
	}
	if got := m.RecentEvidence(at(11*time.Second), time.Minute, 10); len(got) != 1 || !got[0].Draining {
		t.Errorf("passed on %v", got)
	}
	m.ApplyReport(at(12*time.Second), "runner-00", Load{At: at(12 * time.Second), Incarnation: 1})
	if !slices.Contains(usable(m, at(12*time.Second)), "runner-00") {
		t.Error("the runner's own word does not count")
	}
}

// The list is read from replicas that lag differently, so that a leaving VM is
// live again for one reading. Work sent then would be cut.
func TestFlappingListDoesNotBringALeavingEndpointBack(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	list := runners(3)
	leaving := runners(3)
	leaving[1].State = VMLeaving
	m.SetList(at(0), list)
	for i := 1; i < 60; i++ {
		now := at(time.Duration(i) * time.Second)
		if i%3 == 0 {
			m.SetList(now, list)
		} else {
			m.SetList(now, leaving)
		}
		if slices.Contains(usable(m, now), "runner-01") {
			t.Fatalf("gets work at %d s", i)
		}
	}
	var changes []Change
	for i := 60; i < 75; i++ {
		changes = append(changes, m.SetList(at(time.Duration(i)*time.Second), list)...)
	}
	if !slices.Equal(kinds(changes), []ChangeKind{ChangeReturned}) {
		t.Errorf("changes %v, want one return", changes)
	}
}

// A VM is replaced by one with the same name at another address, or comes back
// as a new life while the list still lags.
func TestReturnedEndpointIsAnotherLife(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	list := runners(2)
	m.SetList(at(0), list)
	m.ApplyReport(at(0), "runner-00", Load{At: at(0), Incarnation: 1})
	list[0].Address = "10.9.9.9:80"
	if c := m.SetList(at(time.Second), list); !slices.Equal(kinds(c), []ChangeKind{ChangeMoved}) {
		t.Errorf("changes %v", c)
	}
	if got := m.All(at(time.Second))[0].Incarnation; got != 0 {
		t.Errorf("incarnation %d kept over a move", got)
	}
}

// This daemon's own network fails, so that every runner looks dead. Trying
// them is better than refusing all: some may be reached.
func TestFloorOfEndpointsTried(t *testing.T) {
	m := NewMembership(MembershipOptions{})
	m.SetList(at(0), runners(18))
	for _, e := range runners(18) {
		m.RecordRefusal(at(time.Second), e.ID)
	}
	if got := len(usable(m, at(time.Second))); got != 18 {
		t.Errorf("%d usable with all refused, want all tried", got)
	}
	m.ApplyReport(at(time.Second), "runner-00", Load{At: at(time.Second), Incarnation: 1})
	m.ApplyReport(at(time.Second), "runner-03", Load{At: at(time.Second), Incarnation: 1})
	m.ApplyReport(at(time.Second), "runner-06", Load{At: at(time.Second), Incarnation: 1})
	for _, e := range m.Usable(at(time.Second)) {
		if e.Zone == "zone-0" && e.Doubtful {
			t.Errorf("%s is tried although its zone has enough that answer", e.ID)
		}
	}
}

// Whatever lists and words come in whatever order, an endpoint whose newest own
// word is that it drains gets no work, and the table keeps its bound.
func TestMembershipUnderAnyOrder(t *testing.T) {
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
						t.Fatalf("%s gets work although it drains", e.ID)
					}
				}
			},
		})
	})
}
