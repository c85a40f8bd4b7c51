package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newTracker() *Tracker { return NewTracker(rand.New(rand.NewPCG(1, 2))) }

func (t *Tracker) lose(now time.Duration, address string) bool {
	t.DirectFailed(address, false)
	return t.RelayWorked(now, address).Isolated
}

func isolated(t *testing.T) *Tracker {
	t.Helper()
	tr := newTracker()
	for i := range isolationPaths {
		if began := tr.lose(time.Second, fmt.Sprint("e", i)); began != (i == isolationPaths-1) {
			t.Fatalf("isolated after %d lost paths: %v", i+1, began)
		}
	}
	return tr
}

// Guards against a daemon that relays all connections because one endpoint is out of its
// reach.
func TestSingleLostPathIsNoIsolation(t *testing.T) {
	tr := newTracker()
	for range 10 {
		tr.lose(time.Second, "a")
	}
	if tr.Isolated() || !tr.UseRelay("a") || tr.UseRelay("b") {
		t.Errorf("isolated %v, relays a %v, b %v", tr.Isolated(), tr.UseRelay("a"), tr.UseRelay("b"))
	}
}

// Guards against idle connections that are kept over a silent path, as another endpoint
// refused a connection meanwhile, or closed although the path only refuses new ones.
func TestSilenceBelongsToThePath(t *testing.T) {
	tr := newTracker()
	tr.DirectFailed("silent", true)
	tr.DirectFailed("refused", false)
	if got := tr.RelayWorked(time.Second, "silent"); !got.New || !got.Silent || got.Isolated {
		t.Errorf("silent path: %+v", got)
	}
	if got := tr.RelayWorked(time.Second, "refused"); !got.New || got.Silent {
		t.Errorf("path that refuses: %+v", got)
	}
	if got := tr.RelayWorked(time.Second, "refused"); got.New {
		t.Errorf("known path: %+v", got)
	}
	tr.DirectFailed("third", false)
	if got := tr.RelayWorked(time.Second, "third"); !got.Isolated || !got.Silent {
		t.Errorf("third path, one of them silent: %+v", got)
	}
}

// Guards against endpoints that are down being taken for a lost path.
func TestEndpointThatIsDownForAllIsNoLostPath(t *testing.T) {
	tr := newTracker()
	for i := range 2 * isolationPaths {
		address := fmt.Sprint("e", i)
		tr.DirectFailed(address, false)
		tr.RelayFailed(address)
		if tr.UseRelay(address) || tr.Suspicious() {
			t.Fatalf("%s is relayed", address)
		}
	}
}

// Guards against a daemon that counts as isolated although it reaches other endpoints.
func TestReachedEndpointsPreventIsolation(t *testing.T) {
	tr := newTracker()
	for i := range 4 * isolationPaths {
		tr.lose(time.Second, fmt.Sprint("e", i))
		if i%2 == 1 {
			tr.DirectWorked(time.Second, "other")
		}
	}
	if tr.Isolated() {
		t.Error("isolated, although every other connection was direct")
	}
}

// Guards against an isolation that outlasts the cut.
func TestIsolationEndsWhenPathsAreBack(t *testing.T) {
	tr := isolated(t)
	if !tr.UseRelay("never tried") {
		t.Error("an isolated daemon connects directly")
	}
	if tr.DirectWorked(2*time.Second, "e0") {
		t.Error("ended by a single connection")
	}
	tr.DirectFailed("e1", false)
	if tr.DirectWorked(2*time.Second, "e0") {
		t.Error("ended by connections with a failure in between")
	}
	if !tr.DirectWorked(2*time.Second, "e2") || tr.Suspicious() || tr.UseRelay("e1") {
		t.Error("still isolated after two endpoints were reached")
	}
}

// Guards against an isolation that nothing can end, as the endpoints by which it was found
// are gone.
func TestIsolationEndsWithoutEndpoints(t *testing.T) {
	tr := isolated(t)
	tr.Probe(time.Second + lostLifetime + 1)
	if tr.Isolated() || tr.UseRelay("e0") {
		t.Error("still isolated")
	}
	tr = isolated(t)
	for i := range isolationPaths {
		tr.RelayFailed(fmt.Sprint("e", i))
	}
	tr.Probe(2 * time.Second)
	if tr.Isolated() {
		t.Error("still isolated after all lost paths turned out to be endpoints that are down")
	}
}

// Guards against probes that use up endpoints' connections, and against paths that are never
// probed.
func TestProbesAllLostPathsAtABoundedRate(t *testing.T) {
	tr := isolated(t)
	probed := map[string]int{}
	total := 0
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		if address, due := tr.Probe(now); due {
			probed[address]++
			total++
			tr.DirectFailed(address, false)
		}
	}
	if total > 27 || total < 15 || len(probed) != isolationPaths {
		t.Errorf("%d probes in 10 s: %v", total, probed)
	}
	address, _ := tr.Probe(12 * time.Second)
	tr.DirectWorked(12*time.Second, address)
	if _, due := tr.Probe(12 * time.Second); !due {
		t.Error("the next path is not probed at once after one is back")
	}
}

func peers(zone string, n int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Name: fmt.Sprint(zone, i), Address: fmt.Sprint(zone, i), Zone: zone})
	}
	return out
}

// Guards against asking only daemons of a zone that is cut off as a whole.
func TestAsksDaemonsOfOtherZones(t *testing.T) {
	h := NewHelpers("a", rand.New(rand.NewPCG(1, 2)))
	h.Set(append(peers("a", 200), peers("b", 200)...))
	for range 100 {
		zones := map[string]bool{}
		for _, p := range h.Choose(0, 2) {
			zones[p.Zone] = true
		}
		if len(zones) != 2 {
			t.Fatalf("asked zones %v", zones)
		}
	}
	first := map[string]int{}
	for range 100 {
		first[h.Choose(0, 1)[0].Zone]++
	}
	if first["a"] < 20 || first["b"] < 20 {
		t.Errorf("asked first: %v", first)
	}
}

// Guards against a daemon that could not help being asked before others, or never again.
func TestAvoidsDaemonsThatCouldNotHelp(t *testing.T) {
	h := NewHelpers("a", rand.New(rand.NewPCG(1, 2)))
	all := peers("a", 3)
	h.Set(all)
	h.Helped(all[0])
	h.Failed(0, all[0])
	h.Failed(0, all[1])
	if got := h.Choose(time.Second, 1); len(got) != 1 || got[0] != all[2] {
		t.Errorf("asked %v", got)
	}
	if got := h.Choose(time.Second, 3); len(got) != 3 {
		t.Errorf("asked only %v", got)
	}
	seen := map[Peer]bool{}
	for range 100 {
		seen[h.Choose(helperAvoidance, 1)[0]] = true
	}
	if len(seen) != 3 {
		t.Errorf("only %v are asked later", seen)
	}
}

// Guards against one daemon that carries all relayed connections of another.
func TestSpreadsConnectionsOverHelpers(t *testing.T) {
	h := NewHelpers("a", rand.New(rand.NewPCG(1, 2)))
	all := peers("a", 10)
	h.Set(all)
	count := map[string]int{}
	for range 300 {
		p := h.Choose(0, 1)[0]
		h.Helped(p)
		count[p.Name]++
	}
	for name, n := range count {
		if n > 200 {
			t.Errorf("%s carries %d of 300", name, n)
		}
	}
	h.Set(all[:1])
	if got := h.Choose(0, 3); len(got) != 1 || got[0] != all[0] {
		t.Errorf("asked daemons that are gone: %v", got)
	}
}
