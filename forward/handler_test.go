package forward

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/cutoff"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// listPlacer is a Placer that returns the given placements in order.
type listPlacer struct {
	places []Placement

	mu     sync.Mutex
	placed int
	ends   []AttemptEnd
}

func (p *listPlacer) Place(context.Context, *PlacementRequest) (Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placed == len(p.places) {
		return Placement{}, &RefusedError{Code: "none_left", RetryAfter: time.Second}
	}
	p.placed++
	return p.places[p.placed-1], nil
}

func (p *listPlacer) AnswerStarted(*Placement, *AnswerInfo) {}

func (p *listPlacer) AttemptEnded(_ *Placement, end AttemptEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, end)
}

func (p *listPlacer) DecideRetry(r *retry.Request, a retry.FailedAttempt) retry.Decision {
	budget := retry.NewBudget(retry.BudgetOptions{Fraction: 1, Floor: 1, Burst: 10, Debt: 1})
	return retry.Decide(time.Now(), r, a, budget, rand.New(rand.NewPCG(1, 2)))
}

func (p *listPlacer) CountFirstAttempt() {}

// serveStreamRoute starts a server for one stream route with the given placer.
func serveStreamRoute(t *testing.T, p Placer, resumable bool, timeout time.Duration, stops time.Time) *httptest.Server {
	t.Helper()
	table := &routes.Table{
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: resumable, Timeout: timeout,
			MaxAttempts: 2, Public: true, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	return serveTable(t, table, p, nil, stops)
}

func serveTable(t *testing.T, table *routes.Table, p Placer, l Limiter, stops time.Time) *httptest.Server {
	t.Helper()
	return serveOptions(t, table, Options{
		Placer: p, Limiter: l,
		Draining: func() bool { return !stops.IsZero() }, ShutdownDeadline: func() time.Time { return stops },
	})
}

// serveOptions starts a server with the options that are set, and defaults for the others.
func serveOptions(t *testing.T, table *routes.Table, o Options) *httptest.Server {
	t.Helper()
	table.BuildIndex()
	o.Codec, o.Client = plainWire{}, NewClient(plainWire{}, smallBuffers)
	o.Client.Limits = response.NewLimits(testBudget, nil)
	if o.Report == nil {
		o.Report = func(*Report) {}
	}
	o.Table = func() *routes.Table { return table }
	o.KeysFresh, o.KeysAge = func() bool { return true }, func() time.Duration { return 0 }
	if o.Draining == nil {
		o.Draining, o.ShutdownDeadline = func() bool { return false }, func() time.Time { return time.Time{} }
	}
	s := httptest.NewUnstartedServer(NewHandler(o))
	cutoff.Guard(s.Config)
	s.Start()
	serverLimits.Store(s, o.Client.Limits)
	t.Cleanup(func() {
		s.Close()
		serverLimits.Delete(s)
	})
	return s
}

// reply is an answer as received by a caller.
type reply struct {
	status     int
	body       string
	retryAfter string
	closes     bool
}

// exchange sends a request to the route of the server.
func exchange(t *testing.T, s *httptest.Server, method string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, s.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", "a1")
	return s.Client().Do(req)
}

func ask(t *testing.T, s *httptest.Server) reply {
	t.Helper()
	resp, err := exchange(t, s, http.MethodPost)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(body), resp.Header.Get("Retry-After"), resp.Close}
}

// silentEndpoint starts a server that reads requests and never answers. It sends
// the time at which a connection ended on the channel.
func silentEndpoint(t *testing.T) (Target, <-chan time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan time.Time, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(io.Discard, bufio.NewReader(c))
				closed <- time.Now()
			}()
		}
	}()
	return Target{Key: "silent@1", ID: "silent", Address: l.Addr().String()}, closed
}

const streamAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 17\r\n\r\nid: 0\ndata: one\n\n"

// A long prompt waits in its engine's queue until the engine's weight version is
// out of bounds. The request must be withdrawn at BeginBy and sent to another
// endpoint; otherwise it would be answered with outdated weights.
func TestWithdrawsRequestAtStartDeadline(t *testing.T) {
	first, closed := silentEndpoint(t)
	second, _ := endpoint(t, streamAnswer)
	by := time.Now().Add(100 * time.Millisecond)
	p := &listPlacer{places: []Placement{{Target: first, BeginBy: by}, {Target: second}}}
	got := ask(t, serveStreamRoute(t, p, true, 10*time.Second, time.Time{}))
	if got.status != http.StatusOK || got.body != "id: 0\ndata: one\n\n" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	select {
	case at := <-closed:
		if at.Before(by) {
			t.Errorf("withdrawn %v too early", by.Sub(at))
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection to the engine is still open")
	}
	if len(p.ends) != 2 || !p.ends[0].Withdrawn || p.ends[0].Lost || !p.ends[1].Whole {
		t.Errorf("ended %+v", p.ends)
	}
}

// A request that must not run twice is withdrawn. It may have started before, so
// it must not be sent again, and the status must not state that it did not run.
func TestWithdrawnRequestIsNotRetriedUnlessRepeatable(t *testing.T) {
	first, _ := silentEndpoint(t)
	second, seen := endpoint(t, streamAnswer)
	p := &listPlacer{places: []Placement{{Target: first, BeginBy: time.Now().Add(50 * time.Millisecond)}, {Target: second}}}
	got := ask(t, serveStreamRoute(t, p, false, 10*time.Second, time.Time{}))
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d", got.status)
	}
	if len(seen) != 0 {
		t.Error("it was sent again")
	}
}

// An answer that began before BeginBy must continue after it, since the caller
// already has its first events.
func TestStartedAnswerPassesStartDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	by := time.Now().Add(150 * time.Millisecond)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 34\r\n\r\nid: 0\ndata: one\n\n")
		// The second event is sent after BeginBy. Sockets need the real clock; a slow
		// machine only sends the event later, which tests the same case.
		time.Sleep(time.Until(by.Add(100 * time.Millisecond)))
		_, _ = io.WriteString(c, "id: 1\ndata: two\n\n")
	}()
	p := &listPlacer{places: []Placement{{Target: Target{Key: "e@1", ID: "e", Address: l.Addr().String()}, BeginBy: by}}}
	got := ask(t, serveStreamRoute(t, p, true, 10*time.Second, time.Time{}))
	if got.status != http.StatusOK || got.body != "id: 0\ndata: one\n\nid: 1\ndata: two\n\n" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}

// A daemon that is shutting down ends in 3 s, and a connection that was busy until
// now brings a stream request which may take 6 s. Accepted, it would be
// interrupted, and its caller would not know whether it ran. It must be refused
// as not run and the connection closed; a request with a shorter deadline must be
// served.
func TestRefusesRequestBeyondShutdownDeadline(t *testing.T) {
	stops := time.Now().Add(3 * time.Second)
	target, seen := endpoint(t, streamAnswer)
	refusing := &listPlacer{places: []Placement{{Target: target}}}
	got := ask(t, serveStreamRoute(t, refusing, true, 6*time.Second, stops))
	if got.status != http.StatusServiceUnavailable || got.body != "stopping\n" || got.retryAfter == "" || !got.closes {
		t.Errorf("got %+v", got)
	}
	if len(seen) != 0 || refusing.placed != 0 {
		t.Error("the request was forwarded")
	}
	got = ask(t, serveStreamRoute(t, refusing, true, time.Second, stops))
	if got.status != http.StatusOK || !got.closes {
		t.Errorf("short request: %+v", got)
	}
}
