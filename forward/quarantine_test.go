package forward

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/routes"
)

// recordingGate is a quarantine.Gate that holds all requests from the given number of
// questions on.
type recordingGate struct {
	heldFrom int

	mu        sync.Mutex
	questions int
	answered  int
	lost      int
}

func (g *recordingGate) Held(*quarantine.Identity) (quarantine.Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.questions++
	return quarantine.Hold{Left: time.Minute}, g.heldFrom > 0 && g.questions >= g.heldFrom
}

func (g *recordingGate) MayRetry(*quarantine.Identity) bool { return true }

func (g *recordingGate) Lost(*quarantine.Identity, int64, quarantine.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost++
}

func (g *recordingGate) Answered(*quarantine.Identity, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered++
}

// serveGated starts a server for one route with the gate.
func serveGated(t *testing.T, p Placer, g quarantine.Gate, kind routes.Kind) *httptest.Server {
	t.Helper()
	table := &routes.Table{
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: kind, Timeout: time.Second,
			MaxAttempts: 1, Public: true, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	return serveOptions(t, table, Options{Placer: p, Quarantine: g})
}

// Guards against sending a request for which a hold began while it waited for its placement.
func TestHoldDuringPlacementIsObserved(t *testing.T) {
	target, seen := endpoint(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	p := &listPlacer{places: []Placement{{Target: target}}}
	g := &recordingGate{heldFrom: 2}
	got := ask(t, serveGated(t, p, g, routes.Safe))
	if got.status != http.StatusServiceUnavailable || got.body != CodeQuarantined+"\n" || got.retryAfter == "" {
		t.Errorf("%+v", got)
	}
	if len(seen) > 0 || len(p.ends) != 1 || !p.ends[0].Left {
		t.Errorf("%d requests reached the endpoint, ends %+v", len(seen), p.ends)
	}
}
