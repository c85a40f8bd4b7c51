package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/routes"
)

// countingLimiter is a Limiter that returns a fixed verdict and counts the charged
// runs.
type countingLimiter struct {
	verdict quota.Verdict

	mu         sync.Mutex
	charged    int
	priorities []int // of the requests
}

func (l *countingLimiter) Admit(_ context.Context, _ *routes.Organisation, _, priority int) (quota.Verdict, error) {
	l.mu.Lock()
	l.priorities = append(l.priorities, priority)
	l.mu.Unlock()
	if l.verdict.Admitted {
		l.add(1)
	}
	return l.verdict, nil
}

func (l *countingLimiter) Refund(*routes.Organisation, int) { l.add(-1) }
func (l *countingLimiter) Charge(*routes.Organisation, int) { l.add(1) }

func (l *countingLimiter) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charged += n
}

func (l *countingLimiter) runs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.charged
}

const notRunAnswer = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// serveLimitedRoute starts a server for one route and one organisation with a rate
// limit.
func serveLimitedRoute(t *testing.T, p Placer, l Limiter) *httptest.Server {
	t.Helper()
	org := &routes.Organisation{Name: "o", Limit: quota.Limit{PerSecond: 1}}
	table := &routes.Table{
		KeysRequired: true, Organisations: map[string]*routes.Organisation{"": org},
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Resumable: true, Timeout: 5 * time.Second,
			MaxAttempts: 2, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	return serveTable(t, table, p, l, time.Time{})
}

// A limit counts the requests that endpoints run. If a request that did not run
// were charged, an organisation would be refused below its limit while engines
// refuse its requests; if one that ran were refunded, it would exceed its limit.
func TestChargesLimitForRunsOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []string
		status  int
		charged int
	}{
		{"answered", []string{streamAnswer}, http.StatusOK, 1},
		{"no place", nil, http.StatusServiceUnavailable, 0},
		{"turned away, then answered", []string{notRunAnswer, streamAnswer}, http.StatusOK, 1},
		{"turned away twice", []string{notRunAnswer, notRunAnswer}, http.StatusServiceUnavailable, 0},
		{"broken, then answered", []string{"nonsense\r\n\r\n", streamAnswer}, http.StatusOK, 2},
		{"broken, then turned away", []string{"nonsense\r\n\r\n", notRunAnswer}, http.StatusBadGateway, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &listPlacer{}
			for i, a := range c.answers {
				target, _ := endpoint(t, a)
				target.Key = fleet.EndpointID(rune('a' + i))
				p.places = append(p.places, Placement{Target: target})
			}
			l := &countingLimiter{verdict: quota.Verdict{Admitted: true}}
			got := ask(t, serveLimitedRoute(t, p, l))
			if got.status != c.status || l.runs() != c.charged {
				t.Errorf("status %d, charged for %d runs; want %d and %d", got.status, l.runs(), c.status, c.charged)
			}
		})
	}
}

// A request beyond its organisation's limit must be refused before its body is read
// and without a placement, so that it takes no resources from callers within their
// limits.
func TestRefusesOverLimitBeforeReadingBody(t *testing.T) {
	p := &listPlacer{}
	l := &countingLimiter{verdict: quota.Verdict{RetryAfter: 1500 * time.Millisecond}}
	s := serveLimitedRoute(t, p, l)
	body, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.ContentLength = "h", 1000
	resp, err := s.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if p.placed > 0 || l.runs() != 0 {
		t.Errorf("%d placements, charged for %d runs", p.placed, l.runs())
	}
}

// A caller sends a series of requests with bodies on one connection while its
// organisation is at its limit. Each must be refused separately: a server that
// leaves a part of a body unread parses it as the next request or breaks the
// connection.
func TestRefusalKeepsConnectionUsable(t *testing.T) {
	l := &countingLimiter{verdict: quota.Verdict{RetryAfter: time.Second}}
	s := serveLimitedRoute(t, &listPlacer{}, l)
	conns := map[string]bool{}
	for i := range 20 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", strings.NewReader(strings.Repeat("x", 17_000*(i%3))))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { conns[c.Conn.LocalAddr().String()] = true }}
		resp, err := s.Client().Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusTooManyRequests {
			t.Fatalf("request %d: status %d", i, resp.StatusCode)
		}
	}
	if len(conns) > 1 {
		t.Errorf("%d connections for sequential requests", len(conns))
	}
}

// The limiter prefers urgent requests of an organisation by the priority of their routes.
// The organisation's own priority would make all of its requests equal.
func TestLimiterGetsPriorityOfRoute(t *testing.T) {
	org := &routes.Organisation{Name: "o", Limit: quota.Limit{PerSecond: 1}, Priority: 1, HasPriority: true}
	table := &routes.Table{
		KeysRequired: true, Organisations: map[string]*routes.Organisation{"": org},
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, Priority: 3, Timeout: 5 * time.Second,
			MaxAttempts: 1, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	l := &countingLimiter{verdict: quota.Verdict{RetryAfter: time.Second, LessUrgent: true}}
	if got := ask(t, serveTable(t, table, &listPlacer{}, l, time.Time{})); got.status != http.StatusTooManyRequests {
		t.Errorf("status %d", got.status)
	}
	if !slices.Equal(l.priorities, []int{3}) {
		t.Errorf("priorities %v, want that of the route", l.priorities)
	}
}
