package directory

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// usableByScan determines the usable endpoints by a scan of all endpoints.
func usableByScan(d *Directory, now time.Time) map[fleet.EndpointID]bool {
	live, lapsed := map[string][]*Endpoint{}, map[string][]*Endpoint{}
	for _, e := range d.byID {
		switch {
		case e.State != Ready:
		case !e.Removed:
			live[e.Service] = append(live[e.Service], e)
		case now.Sub(e.RemovedAt) < lapseWindow:
			lapsed[e.Service] = append(lapsed[e.Service], e)
		}
	}
	out := map[fleet.EndpointID]bool{}
	for _, all := range live {
		for _, e := range all {
			out[e.Key] = true
		}
	}
	for service, all := range lapsed {
		if len(all) < 2 || len(all)*outageDivisor <= len(live[service])+len(all) {
			continue
		}
		for _, e := range all {
			if now.Sub(e.earliestRemoval) < d.grace {
				out[e.Key] = true
			}
		}
	}
	return out
}

// Guards against changes that do not add up to the result of a full scan, for random
// sequences of operations.
func TestChangesMatchFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := New(testGrace), epoch
		replayed := map[fleet.EndpointID]bool{}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, 7).Draw(t, "n")) })
		put := rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				ID: id.Draw(t, "id"), Born: rapid.Int64Range(1, 2).Draw(t, "born"),
				Service: rapid.SampledFrom([]string{"s", "s", "s", "t"}).Draw(t, "service"),
				State:   rapid.SampledFrom([]State{Ready, Ready, Draining}).Draw(t, "state"),
				Models:  map[string]int64{"m": rapid.Int64Range(1, 3).Draw(t, "version")},
			}
		})
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { d.Put(put.Draw(t, "entry")) },
			"remove": func(t *rapid.T) { d.Remove(now, now.Add(-time.Second), id.Draw(t, "id")) },
			"remove all but some": func(t *rapid.T) {
				d.Retain(now, now, map[string]bool{id.Draw(t, "id"): true, id.Draw(t, "another"): true})
			},
			"learn": func(t *rapid.T) {
				if e := d.Find(id.Draw(t, "id")); e != nil {
					d.ObserveVersion(e.Key, e.ID, "m", rapid.Int64Range(1, 4).Draw(t, "version"))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) {
				now = now.Add(removedRetention)
				d.Changes(now) // precedes Expire, as in the periodic call
				for _, c := range d.Changes(now) {
					t.Fatalf("change of %s without a cause", c.Endpoint.Key)
				}
				replayed = usableByScan(d, now)
				d.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, c := range d.Changes(now) {
					delete(replayed, c.Endpoint.Key)
					if c.Usable {
						replayed[c.Endpoint.Key] = true
					}
				}
				if want := usableByScan(d, now); !maps.Equal(replayed, want) {
					t.Fatalf("changes add up to %v, want %v", replayed, want)
				}
				counted := map[int64]int{}
				for _, e := range d.byID {
					if e.ready() {
						counted[e.Versions["m"]]++
					}
				}
				if !maps.Equal(counted, d.readyVersions["m"]) && len(counted)+len(d.readyVersions["m"]) > 0 {
					t.Fatalf("engines by version: %v, want %v", d.readyVersions["m"], counted)
				}
			},
		})
	})
}

// Guards against an entry that daemons read differently from each other than from the store.
func TestEntryRoundTrip(t *testing.T) {
	some, any := rapid.StringN(1, 20, 60), rapid.StringN(0, 20, 60)
	address := rapid.OneOf(rapid.SampledFrom([]string{"10.0.0.1:80", "[2001:db8::1]:65535", "127.0.0.1:1"}), any)
	usable := 0
	rapid.Check(t, func(t *rapid.T) {
		e := Entry{
			ID: "a", Born: rapid.Int64().Draw(t, "born"), Service: some.Draw(t, "service"), Address: address.Draw(t, "address"),
			Zone: fleet.ZoneID(some.Draw(t, "zone")), Build: any.Draw(t, "build"), Slots: rapid.IntRange(0, maxSlots+9).Draw(t, "slots"),
			State: rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state"), Orders: rapid.Int64Min(-9).Draw(t, "orders"),
			Models: rapid.MapOfN(any, rapid.Int64Min(-9), 0, 5).Draw(t, "models"),
		}
		got, err := DecodeEntry("a", e.Append(nil))
		if wrong := e.Check(); wrong != nil {
			if !errors.Is(err, ErrNotEndpoint) {
				t.Fatalf("%+v came as %+v, %v, though %v", e, got, err, wrong)
			}
			return
		}
		usable++
		if err != nil || got.Orders != e.Orders || !got.EqualExceptOrders(e) {
			t.Fatalf("%+v came as %+v, %v", e, got, err)
		}
	})
	if usable == 0 {
		t.Error("no entry was usable")
	}
}

func FuzzDecodeEntry(f *testing.F) {
	e := Entry{ID: "a", Born: 5, Service: "s", Address: "10.0.0.1:1", Zone: "z", Build: "v1", Slots: 3, Models: map[string]int64{"m": 2}}
	f.Add(e.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeEntry("a", data)
		if err != nil {
			return
		}
		if again, err := DecodeEntry("a", got.Append(nil)); err != nil || !again.EqualExceptOrders(got) {
			t.Errorf("%+v came as %+v, %v", got, again, err)
		}
	})
}
