package directory

import (
	"testing"
	"time"
)

// usableAfter applies changes and reports whether the endpoint e is usable after them.
func usableAfter(d *Directory, now time.Time, was bool) bool {
	for _, c := range d.Changes(now) {
		if c.Endpoint.ID == "e" {
			was = c.Usable
		}
	}
	return was
}

// Guards against an announced shutdown that an entry in state ready undoes: entries lag
// behind answers, and may return after the store was unavailable.
func TestAnnouncedShutdownOutlastsEntries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := Entry{ID: "e", Born: 7, Service: "s", Address: "a:1", State: Ready}
	key := Key(e.ID, e.Born)
	for name, next := range map[string]func(d *Directory){
		"heartbeat":     func(d *Directory) { d.Put(Entry{ID: "e", Born: 7, Service: "s", Address: "a:1", Orders: 3}) },
		"changed entry": func(d *Directory) { d.Put(Entry{ID: "e", Born: 7, Service: "s", Address: "a:1", Slots: 4}) },
		"draining, ready": func(d *Directory) {
			d.Put(Entry{ID: "e", Born: 7, Service: "s", Address: "a:1", State: Draining})
			d.Put(e)
		},
		"removed, ready": func(d *Directory) { d.Remove(now, now, "e"); d.Put(e) },
		"removed, forgotten, ready": func(d *Directory) {
			d.Remove(now, now, "e")
			d.Expire(now.Add(2 * removedRetention))
			d.Put(e)
		},
		"lapsed with others": func(d *Directory) {
			for _, id := range []string{"e", "f", "g"} {
				d.Remove(now, now, id)
			}
		},
		"announced again": func(d *Directory) {
			if d.MarkLeaving(now, key, "e") {
				t.Error("a second announcement counts as new")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(2 * time.Second)
			d.Put(e)
			d.Put(Entry{ID: "f", Service: "s", Address: "a:2"})
			d.Put(Entry{ID: "g", Service: "s", Address: "a:3"})
			if !usableAfter(d, now, false) {
				t.Fatal("not usable before")
			}
			if !d.MarkLeaving(now, key, "e") {
				t.Error("the first announcement does not count as new")
			}
			if usableAfter(d, now, true) {
				t.Error("usable after the announcement")
			}
			next(d)
			if usableAfter(d, now, false) {
				t.Error("usable again")
			}
		})
	}
}

// Guards against an announced shutdown that keeps the endpoint's next incarnation idle, and
// against an announcement of the previous one that arrives late.
func TestAnnouncedShutdownEndsWithIncarnation(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	d := New(time.Second)
	d.Put(Entry{ID: "e", Born: 7, Service: "s", Address: "a:1"})
	d.MarkLeaving(now, Key("e", 7), "e")
	d.Put(Entry{ID: "e", Born: 8, Service: "s", Address: "a:1"})
	if !usableAfter(d, now, false) {
		t.Error("the next incarnation is not usable")
	}
	d.MarkLeaving(now, Key("e", 7), "e")
	if !usableAfter(d, now, true) {
		t.Error("a late announcement of the previous incarnation makes the next one unusable")
	}
	if d.Put(Entry{ID: "e", Born: 7, Service: "s", Address: "a:1"}); usableAfter(d, now, true) {
		t.Error("a late entry of the previous incarnation makes it usable")
	}
}

// Guards against announcements that accumulate for endpoints that ended long ago.
func TestAnnouncedShutdownsExpire(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	d := New(time.Second)
	d.Put(Entry{ID: "listed", Service: "s"})
	d.MarkLeaving(now, Key("listed", 0), "listed")
	d.MarkLeaving(now, Key("ended", 0), "ended")
	d.Expire(now.Add(2 * leavingRetention))
	if len(d.leaving) != 1 {
		t.Errorf("%d announcements kept, want that of the listed endpoint", len(d.leaving))
	}
}

// Guards against an endpoint that stays usable for the grace period after its entry lapsed
// in an outage, although it announces its shutdown.
func TestAnnouncedShutdownEndsGrace(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	d := New(2 * time.Second)
	for _, id := range []string{"e", "f", "g"} {
		d.Put(Entry{ID: id, Service: "s"})
	}
	d.Changes(now)
	for _, id := range []string{"e", "f", "g"} {
		d.Remove(now, now, id)
	}
	if !usableAfter(d, now, true) {
		t.Fatal("not usable during the grace period")
	}
	d.MarkLeaving(now, Key("e", 0), "e")
	if usableAfter(d, now, true) {
		t.Error("usable after the announcement")
	}
}
