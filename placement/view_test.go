package placement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

const testPool = "m"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testFleet(n int) []fleet.Endpoint {
	eps := make([]fleet.Endpoint, n)
	for i := range eps {
		eps[i] = fleet.Endpoint{
			ID:   fleet.EndpointID(fmt.Sprintf("runner-%d", i)),
			Zone: fleet.ZoneID(fmt.Sprintf("zone-%d", i%3)), State: fleet.VMLive,
		}
	}
	return eps
}

func testView(n int) *View {
	v := NewView(Options{Zone: "zone-0", Daemons: 9})
	v.SetPool(testPool, testFleet(n))
	return v
}

// promptRequest returns a request with a preamble of 1,000 tokens, a document of 7,000 and
// a question of 100.
func promptRequest(id uint64, model, document string) Request {
	c := prefix.NewSplitter(prefix.Options{BytesPerToken: 1})
	c.Reset(prefix.Seed{Organisation: "o", Model: model})
	for _, m := range []struct {
		text   string
		tokens int
	}{{"preamble", 1000}, {document, 7000}, {fmt.Sprint("question ", id), 100}} {
		text := make([]byte, m.tokens)
		copy(text, m.text)
		c.Write(text)
		c.EndMessage()
	}
	return Request{ID: id, Pool: testPool, Levels: append([]prefix.Level(nil), c.Levels()...), Tokens: 8100}
}

func place(t interface{ Fatal(...any) }, v *View, now time.Time, r Request) Decision {
	d, err := v.Place(now, r)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func answer(v *View, now time.Time, r Request, d Decision) {
	v.Answered(now, Answer{ID: r.ID, Endpoint: d.Endpoint, Incarnation: 1, Levels: r.Levels})
	v.Finished(now, r.ID)
}

func TestPlaceReturnsHolder(t *testing.T) {
	v := testView(18)
	first := promptRequest(1, "a", "sheet")
	d := place(t, v, epoch, first)
	if d.Reason != ReasonPreferred {
		t.Errorf("first placement by %v, want home", d.Reason)
	}
	answer(v, epoch, first, d)
	again := place(t, v, epoch.Add(time.Second), promptRequest(2, "a", "sheet"))
	if again.Endpoint != d.Endpoint || again.Reason != ReasonHolder {
		t.Errorf("second placement on %s by %v, want %s by holder", again.Endpoint, again.Reason, d.Endpoint)
	}
	if again.ExpectedCached < 7000 {
		t.Errorf("ExpectedCached = %d, want nearly 8000", again.ExpectedCached)
	}
}

func TestPlaceErrors(t *testing.T) {
	v := testView(2)
	if _, err := v.Place(epoch, Request{Pool: "other"}); !errors.Is(err, ErrUnknownPool) {
		t.Errorf("unknown pool: %v", err)
	}
	v.SetAvailability("runner-0", Draining)
	v.SetAvailability("runner-1", Ejected)
	if d := place(t, v, epoch, promptRequest(1, "a", "s")); d.Endpoint != "runner-1" || d.Reason != ReasonPanic {
		t.Errorf("with one draining and one ejected: %+v", d)
	}
	v.SetAvailability("runner-1", Draining)
	if _, err := v.Place(epoch, promptRequest(2, "a", "s")); !errors.Is(err, ErrNoEndpoint) {
		t.Errorf("all draining: %v", err)
	}
}

// An engine crashed and restarted with an empty cache under the same address. A daemon that
// still relies on its cache sends it long prompts as if they were short, and callers wait
// behind a queue that the daemon does not see.
func TestCacheLossInvalidatesHolders(t *testing.T) {
	signals := map[string]func(v *View, ep fleet.EndpointID){
		"load report": func(v *View, ep fleet.EndpointID) {
			v.LoadReported(ep, fleet.Load{Incarnation: 2, At: epoch.Add(time.Second)})
		},
		"answer": func(v *View, ep fleet.EndpointID) {
			v.Answered(epoch, Answer{ID: 9, Endpoint: ep, Incarnation: 2})
		},
		"event": func(v *View, ep fleet.EndpointID) {
			v.CacheEvents(EventBatch{Endpoint: ep, Incarnation: 2, Seq: 1, At: epoch})
		},
		"lost connection": func(v *View, ep fleet.EndpointID) {
			v.Failed(epoch, Failure{ID: 9, Endpoint: ep, ConnectionLost: true})
		},
	}
	for name, send := range signals {
		v := testView(18)
		r := promptRequest(1, "a", "sheet")
		d := place(t, v, epoch, r)
		answer(v, epoch, r, d)
		v.CacheEvents(EventBatch{
			Endpoint: d.Endpoint, Incarnation: 1, Seq: 1, At: epoch,
			Events: []Event{{Kind: EventStored, Key: r.Levels[1].Key}},
		})
		send(v, d.Endpoint)
		late := Answer{ID: 1, Endpoint: d.Endpoint, Incarnation: 1, Levels: r.Levels, CachedTokens: 8000}
		if name != "lost connection" {
			v.Answered(epoch, late)
		}
		if got := place(t, v, epoch.Add(2*time.Second), promptRequest(2, "a", "sheet")); got.Reason == ReasonHolder {
			t.Errorf("%s: still relies on the cache of the crashed engine: %+v", name, got)
		}
	}
}

// Events of one endpoint are lost. Among them may be the removal of a prefix that the
// daemon relies on.
func TestEventGapMakesHoldersUncertain(t *testing.T) {
	v := testView(18)
	r := promptRequest(1, "a", "sheet")
	stored := EventBatch{Endpoint: "runner-3", Incarnation: 1, Seq: 1, At: epoch}
	for _, l := range r.Levels {
		stored.Events = append(stored.Events, Event{Kind: EventStored, Key: l.Key})
	}
	v.CacheEvents(stored)
	later := epoch.Add(20 * time.Second)
	sure := place(t, v, later, promptRequest(2, "a", "sheet"))
	if sure.Endpoint != "runner-3" || sure.ExpectedCached < 7500 {
		t.Fatalf("with whole events: %+v", sure)
	}
	v.Finished(later, 2)
	v.CacheEvents(EventBatch{Endpoint: "runner-3", Incarnation: 1, Seq: 99, At: later})
	unsure := place(t, v, later, promptRequest(3, "a", "sheet"))
	if unsure.ExpectedCached > 4000 && unsure.Endpoint == "runner-3" {
		t.Errorf("after a gap: %+v", unsure)
	}
}

// A removal event that was delayed by a second arrives after an answer that showed the
// prefix in the cache again.
func TestLateRemovalDoesNotOverrideAnswer(t *testing.T) {
	v := testView(18)
	r := promptRequest(1, "a", "sheet")
	d := place(t, v, epoch, r)
	answer(v, epoch.Add(time.Second), r, d)
	removed := EventBatch{Endpoint: d.Endpoint, Incarnation: 1, Seq: 1, At: epoch}
	for _, l := range r.Levels {
		removed.Events = append(removed.Events, Event{Kind: EventRemoved, Key: l.Key})
	}
	v.CacheEvents(removed)
	if got := place(t, v, epoch.Add(time.Second), promptRequest(2, "a", "sheet")); got.Reason != ReasonHolder {
		t.Errorf("placed by %v, want holder", got.Reason)
	}
}

// A daemon sends work and never receives a result: the caller left, or the message was
// lost. If the reservation stayed, the endpoint would look busy to this daemon for ever and
// get less and less work.
func TestReservationsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(Options{MaxReservations: 8, ReservationTTL: time.Second})
		v.SetPool(testPool, testFleet(3))
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			r := promptRequest(uint64(rapid.IntRange(1, 12).Draw(t, "id")), "a", rapid.SampledFrom([]string{"s", "t"}).Draw(t, "doc"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				place(t, v, now, r)
			case 2:
				v.Answered(now, Answer{ID: r.ID, Endpoint: "runner-1", Levels: r.Levels, Load: &fleet.Load{At: now}})
			case 3:
				v.Finished(now, r.ID)
			case 4:
				v.SetPool(testPool, testFleet(rapid.IntRange(1, 3).Draw(t, "members")))
			}
			if len(v.byOwner) > 8 {
				t.Fatalf("%d reservations, bound 8", len(v.byOwner))
			}
			for i, e := range v.endpoints {
				if e.pendingTokens() < 0 || e.pendingCount < 0 {
					t.Fatalf("endpoint %d: pending %d, queued %d", i, e.pendingTokens(), e.pendingCount)
				}
			}
		}
		v.Expire(now.Add(time.Second))
		for i, e := range v.endpoints {
			if e.pendingTokens() != 0 || e.pendingCount != 0 {
				t.Fatalf("endpoint %d keeps %d tokens after the expiry", i, e.pendingTokens())
			}
		}
		if len(v.byOwner) != 0 {
			t.Fatalf("%d reservations after the expiry", len(v.byOwner))
		}
	})
}

func TestPlacementIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := testView(9), testView(9)
		now := epoch
		for id := range uint64(30) {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := promptRequest(id+1, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"), rapid.SampledFrom([]string{"s", "t"}).Draw(t, "document"))
			a, b := place(t, one, now, r), place(t, two, now, r)
			if a != b {
				t.Fatalf("request %d: %+v and %+v", id, a, b)
			}
			if rapid.Bool().Draw(t, "answered") {
				answer(one, now, r, a)
				answer(two, now, r, b)
			}
		}
	})
}

func TestEndpointRemovalMovesOnlyItsPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 100).Draw(t, "endpoints")
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		all := testFleet(n)
		rest := append(append([]fleet.Endpoint(nil), all[:removed]...), all[removed+1:]...)
		for id := range uint64(20) {
			before, after := NewView(Options{}), NewView(Options{})
			before.SetPool(testPool, all)
			after.SetPool(testPool, rest)
			r := promptRequest(id, "a", rapid.StringN(1, 9, -1).Draw(t, "document"))
			a, b := place(t, before, epoch, r), place(t, after, epoch, r)
			if a.Endpoint != b.Endpoint && a.Endpoint != all[removed].ID {
				t.Fatalf("removing %s moved a prefix from %s to %s", all[removed].ID, a.Endpoint, b.Endpoint)
			}
		}
	})
}

// The same text under another organisation or weight version has other keys. Holders
// recorded for one must not count for the other.
func TestHoldersAreSeparatedBySeed(t *testing.T) {
	v := testView(18)
	r := promptRequest(1, "old weights", "sheet")
	d := place(t, v, epoch, r)
	answer(v, epoch, r, d)
	for id := range uint64(20) {
		got := place(t, v, epoch, promptRequest(id+2, fmt.Sprint("weights ", id), "sheet"))
		if got.Reason == ReasonHolder {
			t.Fatalf("relies on the cache of other weights: %+v", got)
		}
	}
}

// In a large pool only a few random endpoints are candidates. The one endpoint that
// reported the prompt's beginning as cached must be among them, or each prompt is read or
// fetched again.
func TestReportedHolderIsCandidateInLargePool(t *testing.T) {
	v := testView(1000)
	for id := range uint64(50) {
		r := Request{
			ID: id + 1, Pool: testPool, Tokens: 17_000, Exclusive: true,
			Locations: &PrefixLocations{Tokens: map[fleet.EndpointID]int{"runner-777": 13_000, "gone": 13_000}},
		}
		if d, err := v.Select(epoch, r); err != nil || d.Endpoint != "runner-777" {
			t.Fatalf("request %d goes to %s, %v", id, d.Endpoint, err)
		}
	}
}

// Guards against a request that is refused, or placed elsewhere, because the few endpoints
// that may take it are not among the samples of a large pool.
func TestOnlyAllowedEndpointsAreChosenInLargePools(t *testing.T) {
	for _, size := range []int{4, 2000} {
		v := testView(size)
		only := []fleet.EndpointID{"runner-1", "runner-3"}
		for id := range uint64(200) {
			r := promptRequest(id, "m", fmt.Sprint("document ", id))
			r.Only = only
			if d := place(t, v, epoch, r); d.Endpoint != only[0] && d.Endpoint != only[1] {
				t.Fatalf("request %d is placed on %s of %d endpoints", id, d.Endpoint, size)
			}
		}
		r := promptRequest(1000, "m", "document")
		r.Only, r.Avoid = only, only
		if d, err := v.Place(epoch, r); !errors.Is(err, ErrNoEndpoint) {
			t.Errorf("placed on %s, %v", d.Endpoint, err)
		}
	}
}
