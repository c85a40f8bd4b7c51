package router

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
)

// testEntry returns the i-th entry of a deployment in five zones. One in 13 endpoints is
// no engine.
func testEntry(i int) directory.Entry {
	e := directory.Entry{
		ID: fmt.Sprintf("i-%010x", i), Born: 1_800_000_000_000 + int64(i), Service: "models", Slots: 12,
		Address: fmt.Sprintf("10.%d.%d.%d:8265", i%5, i/5/250, i/5%250), Zone: fleet.ZoneID("zone-" + strconv.Itoa(i%5)),
		Models: map[string]int64{"m0": 1},
	}
	if i%13 == 0 {
		e.Service, e.Models = "counter", nil
	}
	return e
}

// stateWithEndpoints returns a state with that many endpoints, already refreshed.
func stateWithEndpoints(endpoints int) *state {
	s := newState(&Settings{Zone: "zone-0", DrainWithin: 5 * time.Second}, rand.New(rand.NewPCG(1, 2)))
	for i := range endpoints {
		s.roster.Put(testEntry(i))
	}
	s.refresh(time.Unix(1_800_000_000, 0))
	return s
}

// fleetSizes are numbers of endpoints: of a small deployment, of larger ones, and of one
// twice the largest expected size.
var fleetSizes = []int{72, 1_000, 10_003, 20_006}

func BenchmarkRefreshWithoutChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s, now := stateWithEndpoints(n), time.Unix(1_800_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(refreshInterval)
				s.refresh(now)
			}
		})
	}
}

func BenchmarkRefreshAfterOneChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s, now := stateWithEndpoints(n), time.Unix(1_800_000_000, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := testEntry(1 + 13*(i%(n/13)))
				e.State = directory.State(i / (n / 13) % 2)
				s.roster.Put(e)
				s.refresh(now)
			}
		})
	}
}

// Guards against a refresh that visits every endpoint: for ten thousand endpoints, ten
// refreshes a second would take half of a core, and a daemon may have a fifth of one.
func TestRefreshWithoutChangeDoesNotAllocate(t *testing.T) {
	for _, n := range fleetSizes {
		s, now := stateWithEndpoints(n), time.Unix(1_800_000_000, 0)
		if got := testing.AllocsPerRun(100, func() {
			now = now.Add(refreshInterval)
			s.refresh(now)
		}); got > 0 {
			t.Errorf("%d endpoints: %v allocations in a refresh without changes", n, got)
		}
	}
}

// Guards against a change of one endpoint whose cost is proportional to the number of all
// endpoints.
func TestChangeCostScalesWithChangeNotFleet(t *testing.T) {
	least := func(n int) time.Duration {
		s, now := stateWithEndpoints(n), time.Unix(1_800_000_000, 0)
		best := time.Hour
		for range 5 {
			began := time.Now()
			for i := range 400 {
				e := testEntry(1 + 13*(i/2%(n/13)))
				e.State = directory.State((i + 1) % 2)
				s.roster.Put(e)
				s.refresh(now)
			}
			best = min(best, time.Since(began))
		}
		return best / 400
	}
	small, large := least(1_000), least(20_006)
	t.Logf("a change costs %v among 1,000 endpoints and %v among 20,006", small, large)
	if large > 15*small {
		t.Errorf("a change costs %v among 1,000 endpoints and %v among 20,006", small, large)
	}
}

// Guards against an engine that is in no pool for a moment while it moves between pools: a
// request placed at that moment would be refused though the engine is idle.
func TestEngineStaysSelectableWhilePoolsChange(t *testing.T) {
	s, now := stateWithEndpoints(0), time.Unix(1_800_000_000, 0)
	e := testEntry(1)
	s.roster.Put(e)
	s.refresh(now)
	key := directory.Key(e.ID, e.Born)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			s.limited.Store(&map[fleet.EndpointID]bool{key: i%2 == 0})
			s.mu.Lock()
			s.refresh(now)
			s.mu.Unlock()
		}
	}()
	for n := uint64(1); ; n++ {
		for l := range subpoolCount {
			r := placement.Request{ID: n, Pool: pools.ModelPool(e.Service, "m0", 1, l), Tokens: 100}
			if _, err := s.view.Select(now, r); err != nil {
				t.Fatalf("request %d for subpool %d: %v", n, l, err)
			}
		}
		select {
		case <-done:
			return
		default:
		}
	}
}
