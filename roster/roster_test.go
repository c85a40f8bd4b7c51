package roster

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/placement"
)

// availabilities implements PlacementSink.
type availabilities map[fleet.EndpointID]placement.Availability

func (availabilities) Join(string, fleet.Endpoint)                                     {}
func (availabilities) Leave(string, fleet.EndpointID)                                  {}
func (a availabilities) SetAvailability(id fleet.EndpointID, g placement.Availability) { a[id] = g }

var began = time.Unix(1_800_000_000, 0)

// newTestRoster returns a roster with the endpoints "a" and "b" of service "s", and their
// keys.
func newTestRoster() (r *Roster, sink availabilities, a, b fleet.EndpointID) {
	sink = availabilities{}
	r = New(Options{Health: health.Options{Rand: rand.New(rand.NewPCG(1, 2))}, Placement: sink})
	for _, id := range []string{"a", "b"} {
		r.Put(directory.Entry{ID: id, Born: 1, Service: "s", Models: map[string]int64{"m": 1}})
	}
	r.Refresh(began)
	return r, sink, directory.Key("a", 1), directory.Key("b", 1)
}

// Guards against a backoff that ends before the endpoint said so.
func TestBackoffLastsAsLongAsAsked(t *testing.T) {
	for name, during := range map[string]func(r *Roster, a fleet.EndpointID){
		"nothing":           func(*Roster, fleet.EndpointID) {},
		"end of suspension": func(r *Roster, a fleet.EndpointID) { r.Suspend(began, a, time.Second); r.Resume(a) },
		"success":           func(r *Roster, a fleet.EndpointID) { r.RecordSuccess(began, a) },
		"shorter backoff":   func(r *Roster, a fleet.EndpointID) { r.BackOff(began.Add(time.Second), a, time.Second) },
		"entry read again": func(r *Roster, _ fleet.EndpointID) {
			r.Put(directory.Entry{ID: "a", Born: 1, Service: "s", Slots: 3, Models: map[string]int64{"m": 1}})
		},
		"entry removed and back": func(r *Roster, _ fleet.EndpointID) {
			r.Remove(began, began, "a")
			r.Refresh(began.Add(time.Second))
			r.Put(directory.Entry{ID: "a", Born: 1, Service: "s", Models: map[string]int64{"m": 1}})
		},
		"newer weights": func(r *Roster, a fleet.EndpointID) { r.ObserveVersion(a, "m", 2) },
	} {
		t.Run(name, func(t *testing.T) {
			r, sink, a, b := newTestRoster()
			r.BackOff(began, a, 3*time.Second)
			during(r, a)
			for _, at := range []time.Duration{0, time.Second, 2999 * time.Millisecond} {
				r.Refresh(began.Add(at))
				if r.MayTry(began.Add(at), a, true) || !r.Unusable(began.Add(at), a) || sink[a] != placement.Paused {
					t.Errorf("requests may be sent after %v", at)
				}
				if !r.MayTry(began.Add(at), b, true) {
					t.Errorf("another endpoint gets no requests after %v", at)
				}
			}
			end := began.Add(3*time.Second + time.Millisecond)
			if r.Refresh(end); !r.MayTry(end, a, true) || sink[a] != placement.Available {
				t.Error("no requests may be sent after the end")
			}
		})
	}
}

// Guards against a second, longer backoff that is ignored, and against one of hours that
// takes an endpoint out of use until it restarts.
func TestBackoffBounds(t *testing.T) {
	r, _, a, _ := newTestRoster()
	if !r.BackOff(began, a, time.Second) || r.BackOff(began, a, 4*time.Second) {
		t.Error("the beginning of the backoff is not reported once")
	}
	if r.MayTry(began.Add(3900*time.Millisecond), a, true) {
		t.Error("the longer backoff is ignored")
	}
	r.BackOff(began, a, 23*time.Hour)
	if at := began.Add(maxBackoff + time.Second); !r.MayTry(at, a, true) {
		t.Error("the backoff is not bounded")
	}
}

// Guards against a backoff that keeps the endpoint's next incarnation idle.
func TestBackoffEndsWithIncarnation(t *testing.T) {
	r, _, a, _ := newTestRoster()
	r.BackOff(began, a, time.Minute)
	r.Put(directory.Entry{ID: "a", Born: 2, Service: "s"})
	r.Refresh(began)
	if !r.MayTry(began, directory.Key("a", 2), true) {
		t.Error("the next incarnation gets no requests")
	}
	if slices.Contains(r.BackedOff(), a) {
		t.Error("the previous incarnation is still listed")
	}
}

// Guards against callers that are told to come back before any endpoint takes requests, or
// long after one does.
func TestAllBackingOff(t *testing.T) {
	r, _, a, b := newTestRoster()
	r.BackOff(began, a, 3*time.Second)
	if got := r.AllBackingOffFor(began, "s"); got != 0 {
		t.Errorf("%v with an endpoint that takes requests", got)
	}
	r.BackOff(began, b, 5*time.Second)
	if got := r.AllBackingOffFor(began.Add(time.Second), "s"); got != 2*time.Second {
		t.Errorf("%v until the first endpoint takes requests, want 2s", got)
	}
	if got := r.AllBackingOffFor(began, "other"); got != 0 {
		t.Errorf("%v for a service without endpoints", got)
	}
	if got := r.BackingOff(began.Add(4*time.Second), "s"); len(got) != 1 || got[0] != b {
		t.Errorf("endpoints in a backoff: %v", got)
	}
}

// Guards against an endpoint that gets requests because its weights are loaded, while the
// entry that lists it again is doubted.
func TestDoubtOutlastsSuspension(t *testing.T) {
	r, _, a, _ := newTestRoster()
	r.Remove(began, began, "a")
	r.Refresh(began)
	r.PutRestored(began, directory.Entry{ID: "a", Born: 1, Service: "s", Models: map[string]int64{"m": 1}})
	r.Refresh(began)
	r.Resume(a)
	if at := began.Add(restoredEntryDoubt - time.Millisecond); r.MayTry(at, a, true) {
		t.Error("requests may be sent to an endpoint that was gone before the restore")
	}
	if at := began.Add(restoredEntryDoubt + time.Millisecond); !r.MayTry(at, a, true) {
		t.Error("no requests may be sent once the entry had the time to be corrected")
	}
}

// Guards against an endpoint that other daemons are refused a connection to, and an address
// that stays allowed, after the entry of an incarnation names another address.
func TestKnowsAddressesOfUsableEndpoints(t *testing.T) {
	r, _, _, _ := newTestRoster()
	entry := directory.Entry{ID: "e", Service: "s", Address: "10.0.0.1:80", Zone: "z"}
	put := func(address string, state directory.State) {
		entry.Address, entry.State = address, state
		r.Put(entry)
		r.Refresh(began)
	}
	put("10.0.0.1:80", directory.Ready)
	put("10.0.0.2:80", directory.Ready)
	if r.HasAddress("10.0.0.1:80") || !r.HasAddress("10.0.0.2:80") {
		t.Errorf("old address known: %v, new one: %v", r.HasAddress("10.0.0.1:80"), r.HasAddress("10.0.0.2:80"))
	}
	put("10.0.0.2:80", directory.Draining)
	if r.HasAddress("10.0.0.2:80") {
		t.Error("the address of a draining endpoint is known")
	}
}
