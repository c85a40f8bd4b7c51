package forward

import (
	"io"
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
	noRetry  bool

	mu        sync.Mutex
	questions int
	answered  int
	ended     int
	lost      int
}

func (g *recordingGate) Held(*quarantine.Identity) (quarantine.Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.questions++
	return quarantine.Hold{Left: time.Minute}, g.heldFrom > 0 && g.questions >= g.heldFrom
}

func (g *recordingGate) MayRetry(*quarantine.Identity) bool { return !g.noRetry }

func (g *recordingGate) Lost(*quarantine.Identity, int64, quarantine.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost++
}

func (g *recordingGate) Ended(*quarantine.Identity, int64, quarantine.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended++
}

func (g *recordingGate) Answered(*quarantine.Identity, int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered++
}

// serveGated starts a server for one route with the gate.
func serveGated(t *testing.T, p Placer, g quarantine.Gate, kind routes.Kind) *httptest.Server {
	t.Helper()
	return serveReported(t, p, g, kind, nil)
}

// serveReported is serveGated with a function that receives the reports.
func serveReported(t *testing.T, p Placer, g quarantine.Gate, kind routes.Kind, report func(*Report)) *httptest.Server {
	t.Helper()
	table := &routes.Table{
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: kind, Timeout: time.Second,
			MaxAttempts: 2, Public: true, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	return serveOptions(t, table, Options{Placer: p, Quarantine: g, Report: report})
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

// Guards against telling a caller to come back at once whose request was rejected by one
// endpoint and held before it was sent to the next.
func TestHoldAfterRejectionStatesWhenItEnds(t *testing.T) {
	full, _ := endpoint(t, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	for _, noRetry := range []bool{false, true} {
		p := &listPlacer{places: []Placement{{Target: full}, {Target: full}}}
		reports := make(chan *Report, 1)
		s := serveReported(t, p, &recordingGate{heldFrom: 3, noRetry: noRetry}, routes.Safe, func(r *Report) { reports <- r })
		if got := ask(t, s); got.status != http.StatusServiceUnavailable || got.body != CodeQuarantined+"\n" {
			t.Errorf("%+v", got)
		}
		if r := <-reports; r.RetryAfter != time.Minute || len(r.Attempts) != 1 {
			t.Errorf("Retry-After %v after %d attempts", r.RetryAfter, len(r.Attempts))
		}
	}
}

// Guards against answers that end with their connection and are taken for complete although
// the endpoint crashed, or for broken although they are complete.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
	const event = "id: 0\ndata: one\n\n"
	for name, c := range map[string]struct {
		kind                  routes.Kind
		answer                string
		complete              bool
		answered, ended, lost int
	}{
		"stream":                 {routes.Stream, head + "\r\n" + event, true, 0, 1, 0},
		"stream with no event":   {routes.Stream, head + "\r\n", false, 0, 0, 1},
		"stream inside event":    {routes.Stream, head + "\r\n" + event + "id: 1\nda", false, 0, 0, 1},
		"framed stream":          {routes.Stream, head + "Content-Length: 17\r\n\r\n" + event, true, 1, 0, 0},
		"framed, without event":  {routes.Stream, head + "Content-Length: 0\r\n\r\n", true, 1, 0, 0},
		"plain":                  {routes.Safe, head + "\r\nwhole", true, 0, 1, 0},
		"plain without content":  {routes.Safe, head + "\r\n", false, 0, 0, 1},
		"framed without content": {routes.Safe, head + "Content-Length: 0\r\n\r\n", true, 1, 0, 0},
		"server error":           {routes.Unsafe, "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n\r\nfailed", true, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			target := Target{Key: "e@1", ID: "e", Address: replyOnce(t, c.answer)}
			g := &recordingGate{}
			s := serveGated(t, &listPlacer{places: []Placement{{Target: target}}}, g, c.kind)
			resp, err := exchange(t, s, http.MethodPost)
			complete := false
			if err == nil {
				_, readErr := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				complete = readErr == nil && resp.Header.Get("Response-Signature") != ""
			}
			if complete != c.complete {
				t.Errorf("complete at the caller: %v, %v", complete, err)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.answered != c.answered || g.ended != c.ended || g.lost != c.lost {
				t.Errorf("answered %d, ended %d, lost %d; expected %d, %d, %d", g.answered, g.ended, g.lost, c.answered, c.ended, c.lost)
			}
		})
	}
}

// Guards against taking the answer to HEAD, which has no body, for one that was cut off.
func TestAnswerToHeadIsComplete(t *testing.T) {
	target := Target{Key: "e@1", ID: "e", Address: replyOnce(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n\r\n")}
	g := &recordingGate{}
	s := serveGated(t, &listPlacer{places: []Placement{{Target: target}}}, g, routes.Safe)
	resp, err := exchange(t, s, http.MethodHead)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if resp.StatusCode != http.StatusOK || g.answered != 1 || g.lost != 0 {
		t.Errorf("status %d, answered %d, lost %d", resp.StatusCode, g.answered, g.lost)
	}
}
