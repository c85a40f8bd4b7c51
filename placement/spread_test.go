package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

const (
	spreadDaemons   = 24
	spreadEndpoints = 12
	spreadSlots     = 16
	spreadWindow    = 400 * time.Millisecond
	spreadRounds    = 30
)

// spreadRequests has daemons that know the same reports place the requests that a window
// brings, and returns how many of them are placed on the first endpoint in the mean of many
// rounds. All other endpoints have 14 of 16 slots in use.
func spreadRequests(t *testing.T, first *fleet.Load, within time.Duration) float64 {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	placed := 0
	for round := range spreadRounds {
		var views []*View
		for range spreadDaemons {
			v := NewView(Options{Zone: "z", Daemons: spreadDaemons, QueueHalfLife: 1500 * time.Millisecond})
			var members []fleet.Endpoint
			for i := range spreadEndpoints {
				members = append(members, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Zone: "z", State: fleet.VMLive})
			}
			v.SetPool("p", members)
			for i, m := range members {
				load := &fleet.Load{Running: 14, Slots: spreadSlots}
				if i == 0 {
					load = first
				}
				if load != nil {
					load.At = now.Add(-100 * time.Millisecond)
					v.LoadReported(m.ID, *load)
				}
			}
			views = append(views, v)
		}
		// The 11 busy endpoints end 14 requests each in DefaultServiceTime.
		requests := 14 * (spreadEndpoints - 1) * int(spreadWindow/time.Millisecond) / int(DefaultServiceTime/time.Millisecond)
		for i := range requests {
			id := uint64(1 + round*requests + i)
			d, err := views[i%spreadDaemons].Place(now, Request{ID: id * 0x9e3779b97f4a7c15, Pool: "p", Tokens: 300, SharedWithin: within})
			if err != nil {
				t.Fatal(err)
			}
			if d.Endpoint == "e0" {
				placed++
			}
		}
	}
	return float64(placed) / spreadRounds
}

// Guards against daemons that all send their next requests to the endpoint that was idle in
// the report which all of them have.
func TestSharedReportDoesNotAttractAllDaemons(t *testing.T) {
	alone, shared := spreadRequests(t, &fleet.Load{Slots: spreadSlots}, 0), spreadRequests(t, &fleet.Load{Slots: spreadSlots}, spreadWindow)
	t.Logf("%.1f requests at the idle endpoint, %.1f if daemons know that they share the report", alone, shared)
	if shared > spreadSlots || shared < spreadSlots/2 {
		t.Errorf("%.1f requests at an idle endpoint with %d slots", shared, spreadSlots)
	}
}

// Guards against an endpoint without a report that gets the requests of all daemons, or none,
// so that its load stays unknown.
func TestEndpointWithoutReportGetsMeanPart(t *testing.T) {
	mean := 14.0 * (spreadEndpoints - 1) * spreadWindow.Seconds() / DefaultServiceTime.Seconds() / spreadEndpoints
	alone, shared := spreadRequests(t, nil, 0), spreadRequests(t, nil, spreadWindow)
	t.Logf("%.1f requests at the endpoint without a report, %.1f if daemons share reports, mean %.1f", alone, shared, mean)
	if shared > 2*mean || shared < mean/2 {
		t.Errorf("%.1f requests at the endpoint without a report, mean %.1f", shared, mean)
	}
}

// Guards against parts that are negative or not finite at the limits of the figures.
func TestSpreadOfExtremeLoads(t *testing.T) {
	for name, loads := range map[string][]fleet.Load{
		"idle":          {{Slots: 16}, {Slots: 16}},
		"no slots":      {{Running: 3}, {Waiting: 3}},
		"all full":      {{Running: 16, Waiting: 1_000_000, Slots: 16}, {Running: 16, Waiting: 50, Slots: 16}},
		"uneven slots":  {{Running: 1, Slots: 1}, {Running: 500_000, Slots: 1_000_000}},
		"more than all": {{Running: 1_000_000, Slots: 1}, {Slots: 1}},
	} {
		now := time.Unix(1_800_000_000, 0)
		v := NewView(Options{Zone: "z"})
		var members []fleet.Endpoint
		for i := range loads {
			members = append(members, fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Zone: "z", State: fleet.VMLive})
		}
		v.SetPool("p", members)
		for i := range loads {
			loads[i].At = now
			v.LoadReported(members[i].ID, loads[i])
		}
		if _, err := v.Select(now, Request{ID: 1, Pool: "p", SharedWithin: spreadWindow}); err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, s := range v.scratch.spreads {
			if !(s.part >= 0) {
				t.Errorf("%s: part %v", name, s.part)
			}
			sum += s.part
		}
		if !(sum > 1.99 && sum < 2.01) {
			t.Errorf("%s: the parts of 2 endpoints sum up to %v", name, sum)
		}
	}
}

// BenchmarkSharedPlace measures a placement among 90 endpoints of which all daemons know the
// loads.
func BenchmarkSharedPlace(b *testing.B) {
	for _, within := range []time.Duration{0, spreadWindow} {
		b.Run(fmt.Sprint(within), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			v := NewView(Options{Zone: "z"})
			for i := range 90 {
				id := fleet.EndpointID(fmt.Sprint("e", i))
				v.Join("p", fleet.Endpoint{ID: id, Zone: "z", State: fleet.VMLive})
				v.LoadReported(id, fleet.Load{At: now, Running: i % 16, Slots: 16})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := v.Select(now, Request{ID: uint64(i), Pool: "p", Tokens: 300, SharedWithin: within}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
