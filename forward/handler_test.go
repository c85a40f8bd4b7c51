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

	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// listPlacer places the attempts of a request at a list of endpoints.
type listPlacer struct {
	places []Placement

	mu     sync.Mutex
	placed int
	ends   []End
}

func (p *listPlacer) Place(context.Context, *Work) (Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placed == len(p.places) {
		return Placement{}, &RefusedError{Code: "none_left", RetryAfter: time.Second}
	}
	p.placed++
	return p.places[p.placed-1], nil
}

func (p *listPlacer) Answered(*Placement, *AnswerInfo) {}

func (p *listPlacer) Ended(_ *Placement, end End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, end)
}

func (p *listPlacer) Failed(r *retry.Request, a retry.FailedAttempt) retry.Decision {
	budget := retry.NewBudget(retry.BudgetOptions{Fraction: 1, Floor: 1, Burst: 10, Debt: 1})
	return retry.Decide(time.Now(), r, a, budget, rand.New(rand.NewPCG(1, 2)))
}

func (p *listPlacer) First() {}

// serveOn starts a handler of one stream route with the given placer.
func serveOn(t *testing.T, p Placer, resumable bool, timeout time.Duration, stops time.Time) *httptest.Server {
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
	table.BuildIndex()
	callers := NewCallers()
	h := NewHandler(Options{
		Wire: plainWire{}, Client: NewClient(plainWire{}, nil), Placer: p,
		Table:     func() *routes.Table { return table },
		KeysFresh: func() bool { return true }, KeysAge: func() time.Duration { return 0 },
		Leaving: func() bool { return !stops.IsZero() }, StopsAt: func() time.Time { return stops },
		Callers: callers, Limiter: l, Report: func(*Report) {},
	})
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = callers.Context
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// reply is what a caller got.
type reply struct {
	status     int
	body       string
	retryAfter string
	closes     bool
}

func ask(t *testing.T, s *httptest.Server) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", "a1")
	resp, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(body), resp.Header.Get("Retry-After"), resp.Close}
}

// silent takes requests and never answers. It tells when a connection ended.
func silent(t *testing.T) (Target, <-chan time.Time) {
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

const streamed = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 17\r\n\r\nid: 0\ndata: one\n\n"

// A long prompt waits in its engine's queue, and the bound on the engine's weights
// comes near. Left there it would begin past the bound, and its caller would get
// an answer of weights that are out of use. It is withdrawn, so that the engine
// never begins it, and answered by another one.
func TestRequestThatHasNotBegunIsWithdrawn(t *testing.T) {
	first, closed := silent(t)
	second, _ := endpoint(t, streamed)
	by := time.Now().Add(100 * time.Millisecond)
	p := &listPlacer{places: []Placement{{Target: first, BeginBy: by}, {Target: second}}}
	got := ask(t, serveOn(t, p, true, 10*time.Second, time.Time{}))
	if got.status != http.StatusOK || got.body != "id: 0\ndata: one\n\n" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	select {
	case at := <-closed:
		if at.Before(by) {
			t.Errorf("withdrawn %v too early", by.Sub(at))
		}
	case <-time.After(5 * time.Second):
		t.Error("the engine still has the request")
	}
	if len(p.ends) != 2 || !p.ends[0].Withdrawn || p.ends[0].Lost || !p.ends[1].Whole {
		t.Errorf("ended %+v", p.ends)
	}
}

// The same with a request that may run only once. It may have begun as it was
// withdrawn, so it is not sent again, and its caller is not told that it did not
// run.
func TestWithdrawnRequestIsNotRunTwice(t *testing.T) {
	first, _ := silent(t)
	second, seen := endpoint(t, streamed)
	p := &listPlacer{places: []Placement{{Target: first, BeginBy: time.Now().Add(50 * time.Millisecond)}, {Target: second}}}
	got := ask(t, serveOn(t, p, false, 10*time.Second, time.Time{}))
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d", got.status)
	}
	if len(seen) != 0 {
		t.Error("it was sent again")
	}
}

// An answer that began in time goes on past the bound: its first events are with
// the caller.
func TestAnswerThatBeganIsNotWithdrawn(t *testing.T) {
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
		// The second event comes past the bound. The time is real, as that of sockets
		// is; a machine that is late only makes the event later, which is the case at hand.
		time.Sleep(time.Until(by.Add(100 * time.Millisecond)))
		_, _ = io.WriteString(c, "id: 1\ndata: two\n\n")
	}()
	p := &listPlacer{places: []Placement{{Target: Target{Key: "e@1", ID: "e", Address: l.Addr().String()}, BeginBy: by}}}
	got := ask(t, serveOn(t, p, true, 10*time.Second, time.Time{}))
	if got.status != http.StatusOK || got.body != "id: 0\ndata: one\n\nid: 1\ndata: two\n\n" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}

// A daemon was told to stop 4.5 seconds ago and has 3 seconds left. A connection
// that was busy until now brings a stream which may take 6 seconds. Taken, it
// would be cut with the process, and its caller would not know whether it ran. It
// is refused at once as not run, and the connection ends; a request that can end
// in time is served.
func TestRequestThatOutlivesTheProcessIsRefused(t *testing.T) {
	stops := time.Now().Add(3 * time.Second)
	target, seen := endpoint(t, streamed)
	refusing := &listPlacer{places: []Placement{{Target: target}}}
	got := ask(t, serveOn(t, refusing, true, 6*time.Second, stops))
	if got.status != http.StatusServiceUnavailable || got.body != "stopping\n" || got.retryAfter == "" || !got.closes {
		t.Errorf("got %+v", got)
	}
	if len(seen) != 0 || refusing.placed != 0 {
		t.Error("it was passed on")
	}
	got = ask(t, serveOn(t, refusing, true, time.Second, stops))
	if got.status != http.StatusOK || !got.closes {
		t.Errorf("short request: %+v", got)
	}
}
