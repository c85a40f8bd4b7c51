package directory

import (
	"fmt"
	"testing"
	"time"
)

const testGrace = 1500 * time.Millisecond

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func entry(id string, born int64) Entry {
	return Entry{ID: id, Born: born, Service: "s", Address: "10.0.0.1:1", State: Ready, Models: map[string]int64{"m": 1}}
}

func withEntries(n int) *Directory {
	d := New(testGrace)
	for i := range n {
		d.Put(entry(fmt.Sprint("e", i), 1))
	}
	return d
}

// countUsable counts the usable endpoints at the given time after epoch.
func countUsable(d *Directory, at time.Duration) int {
	d.Changes(epoch.Add(at))
	n := 0
	for _, e := range d.byID {
		if e.usable {
			n++
		}
	}
	return n
}

func TestPutReportsHeartbeatOnly(t *testing.T) {
	d := withEntries(1)
	e := entry("e0", 1)
	e.Orders = 9
	if d.Put(e) != HeartbeatOnly {
		t.Error("a heartbeat counts as a change")
	}
}

// Guards against requests to an endpoint whose entry was removed: it serves on for a
// moment only, and would then cut them off.
func TestRemovedEndpointIsUnusable(t *testing.T) {
	d := withEntries(6)
	d.Remove(epoch, epoch, "e0")
	if got := countUsable(d, 0); got != 5 {
		t.Errorf("%d usable", got)
	}
}

func TestDrainingEndpointIsUnusable(t *testing.T) {
	d := withEntries(2)
	e := entry("e0", 1)
	e.State = Draining
	if d.Put(e) != RoutingChanged || countUsable(d, 0) != 1 {
		t.Errorf("%d usable", countUsable(d, 0))
	}
}

// Guards against a daemon that refuses all requests after an outage of the store, in
// which the leases of all entries expired: the endpoints are running and register again
// within two seconds. Those that do not have left.
func TestEntriesLapsedTogetherStayUsable(t *testing.T) {
	d := withEntries(6)
	for i := range 6 {
		d.Remove(epoch, epoch, fmt.Sprint("e", i))
	}
	if got := countUsable(d, time.Second); got != 6 {
		t.Errorf("%d usable after a second", got)
	}
	d.Put(entry("e3", 1))
	if got := countUsable(d, 2*time.Second); got != 1 {
		t.Errorf("%d usable after two seconds", got)
	}
}

// Guards against state of a crashed process being applied to its successor under the
// same ID, which has other weights and an empty cache.
func TestRestartCreatesNewIncarnation(t *testing.T) {
	d := withEntries(1)
	old := d.Find("e0").Key
	d.ObserveVersion(old, "e0", "m", 7)
	if d.Put(entry("e0", 2)) != RoutingChanged {
		t.Error("the restart is no change")
	}
	e := d.Find("e0")
	if e.Key == old || e.Versions["m"] != 1 {
		t.Errorf("key %s, versions %v", e.Key, e.Versions)
	}
	if d.ObserveVersion(old, "e0", "m", 9) {
		t.Error("an answer of the old incarnation counts for the new one")
	}
}

// Guards against a late heartbeat that sets the version back after an engine has loaded
// new weights: requests would be bound to weights that it no longer has.
func TestVersionNeverDecreases(t *testing.T) {
	d := withEntries(1)
	d.ObserveVersion(d.Find("e0").Key, "e0", "m", 3)
	d.Put(entry("e0", 1))
	if got := d.Find("e0").Versions["m"]; got != 3 {
		t.Errorf("version %d", got)
	}
}

func TestExpireDropsRemovedEndpoints(t *testing.T) {
	d := withEntries(2)
	d.Remove(epoch, epoch, "e0")
	d.Expire(epoch.Add(2 * time.Minute))
	if d.Find("e0") != nil || d.Find("e1") == nil {
		t.Error("wrong endpoint forgotten")
	}
}

// Guards against a grace period that starts when the removal is read: two endpoints
// leave at nearly the same time without draining, and the daemon reads of it 0.9 s
// later. Requests would be sent to an endpoint that left 2.1 s before, and cut off.
func TestGraceStartsAtEarliestRemoval(t *testing.T) {
	d := withEntries(4)
	read := epoch.Add(900 * time.Millisecond)
	d.Remove(read, epoch, "e0")
	d.Remove(read.Add(100*time.Millisecond), epoch, "e1")
	if got := countUsable(d, 1400*time.Millisecond); got != 4 {
		t.Errorf("%d usable at 1.4 s", got)
	}
	if got := countUsable(d, testGrace); got != 2 {
		t.Errorf("%d usable at the end of the grace", got)
	}
}

// Guards against endpoints that stay usable for ever: the store lost its history while
// two of three endpoints left, so that no record of the removal exists and only their
// absence from the snapshot shows it.
func TestRetainRemovesMissingEntries(t *testing.T) {
	d := withEntries(3)
	if removed := d.Retain(epoch, epoch, map[string]bool{"e1": true}); len(removed) != 2 {
		t.Errorf("%v were removed", removed)
	}
	if got := countUsable(d, testGrace); got != 1 {
		t.Errorf("%d usable", got)
	}
	if removed := d.Retain(epoch, epoch, map[string]bool{"e1": true}); len(removed) != 0 {
		t.Errorf("%v were removed a second time", removed)
	}
}

// Guards against a relevant change that is taken for a heartbeat, with which endpoints
// rewrite their entries: a daemon would not pass it on, and a draining engine would go
// on getting requests from all daemons that read through this one.
func TestEqualExceptOrders(t *testing.T) {
	entry := func(change func(*Entry)) Entry {
		e := Entry{ID: "a", Born: 7, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Models: map[string]int64{"m": 3}}
		change(&e)
		return e
	}
	base := entry(func(*Entry) {})
	if !base.EqualExceptOrders(entry(func(e *Entry) { e.Orders = 4 })) {
		t.Error("a repeat counts as a change")
	}
	for name, change := range map[string]func(*Entry){
		"id": func(e *Entry) { e.ID = "b" }, "incarnation": func(e *Entry) { e.Born = 8 }, "service": func(e *Entry) { e.Service = "t" },
		"address": func(e *Entry) { e.Address = "10.0.0.2:1" }, "zone": func(e *Entry) { e.Zone = "y" }, "slots": func(e *Entry) { e.Slots = 9 },
		"state": func(e *Entry) { e.State = Draining }, "version": func(e *Entry) { e.Models = map[string]int64{"m": 4} },
		"model": func(e *Entry) { e.Models = map[string]int64{"m": 3, "n": 1} },
	} {
		if base.EqualExceptOrders(entry(change)) {
			t.Errorf("another %s counts as a repeat", name)
		}
	}
}

// Guards against a daemon that crashes when an endpoint that listed no models lists some.
func TestEntryThatGainsModels(t *testing.T) {
	d := New(time.Second)
	d.Put(Entry{ID: "e", Service: "s"})
	d.Put(Entry{ID: "e", Service: "s", Models: map[string]int64{"m": 2}})
	if got := d.Find("e").Versions["m"]; got != 2 {
		t.Errorf("version %d", got)
	}
	if len(d.Ready("m")) != 1 {
		t.Error("the endpoint is not ready for its model")
	}
}
