package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
	"github.com/merlindock/merlindock/routes"
)

// endlessAnswers are answers that can't become one to the request, by what they lack.
var endlessAnswers = map[string]struct {
	prefix, filler string
	bound          response.Bound // empty: the number of answers
}{
	"no response":                     {"", "\x00", response.BoundSyntax},
	"no response, text":               {"", "HTTP", response.BoundSyntax},
	"status line":                     {"HTTP/1.1 200 OK", "k", response.BoundHead},
	"name of a field":                 {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n", "x", response.BoundHead},
	"value of a field":                {"HTTP/1.1 200 OK\r\nAttempt-Id: ", "x", response.BoundHead},
	"fields":                          {"HTTP/1.1 200 OK\r\n", "a: b\r\n", response.BoundFields},
	"lines of a field":                {"HTTP/1.1 200 OK\r\na: b\r\n", " c\r\n", response.BoundHead},
	"zeros in a head":                 {"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n", "\x00", response.BoundSyntax},
	"interim responses":               {"", "HTTP/1.1 100 Continue\r\n\r\n", ""},
	"interim head":                    {"HTTP/1.1 100 Continue\r\n", "a: b\r\n", response.BoundFields},
	"answers to others":               {"", "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n", ""},
	"answer to another, chunks":       {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", response.BoundStray},
	"answer to another, long":         {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "x", response.BoundStray},
	"answer to another, until closed": {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n", "x", response.BoundStray},
	"answer to another, last":         {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", response.BoundStray},
}

const (
	// endlessLimit bounds what an endless answer may send: the highest limit of this package,
	// that of events, which come in chunks of four bytes in nine, and what the sockets of both
	// ends hold.
	endlessLimit = (maxEventBytes+relayBufferBytes)*9/4 + responsetest.SocketBytes
	// cutOffWithin is far below the deadlines of the requests.
	cutOffWithin    = 2 * time.Second
	endlessDeadline = 10 * time.Second
	// testBudget is for the answers that a server of these tests holds.
	testBudget = 8 << 20
)

// smallBuffers opens connections that hold few bytes which were not read.
func smallBuffers(ctx context.Context, network, address string) (net.Conn, error) {
	d := responsetest.Dialer()
	return d.DialContext(ctx, network, address)
}

// Guards against answers whose head never ends, or that belong to another request and never
// end: each filled the daemon's memory or its link until the request's deadline.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			client := NewClient(plainWire{}, smallBuffers)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			_, err := client.Send(ctx, Target{Key: "e", Address: e.Address}, outgoing("a1"))
			if !errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent) || ctx.Err() != nil {
				t.Errorf("error %v", err)
			}
			var exceeded *response.Error
			if errors.As(err, &exceeded) != (c.bound != "") || exceeded != nil && exceeded.Bound != c.bound {
				t.Errorf("%v, want bound %q", err, c.bound)
			}
			if !e.AwaitClose(cutOffWithin) {
				t.Errorf("the connection was not closed within %v", cutOffWithin)
			}
			if n := e.Sent(); n > endlessLimit {
				t.Errorf("the endpoint sent %d bytes", n)
			}
		})
	}
}

// Guards against a request that waits for its deadline although the bytes received can't
// become a response, so that no other endpoint is tried.
func TestBytesThatAreNoResponseEndTheAttemptAtOnce(t *testing.T) {
	for name, prefix := range map[string]string{
		"a zero": "\x00", "a continued first field": "HTTP/1.1 200 OK\r\n c",
		"an answer to another, last": "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nConnection: close\r\nContent-Length: 9\r\n\r\n", "half a line": "HTTP/1.1 2x", "a name": "HTTP/1.1 200 OK\r\n\x00", "a value": "HTTP/1.1 200 OK\r\nA: \x00",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, prefix, "")
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			began := time.Now()
			_, err := NewClient(plainWire{}, smallBuffers).Send(ctx, Target{Key: "e", Address: e.Address}, outgoing("a1"))
			if !errors.Is(err, ErrNoAnswer) || time.Since(began) > cutOffWithin {
				t.Errorf("%v after %v", err, time.Since(began))
			}
		})
	}
}

// Guards against a connection that is used again although a part of a rejection was not read:
// the next request would take that part for its answer.
func TestConnectionWithUnreadRejectionIsNotReused(t *testing.T) {
	for name, c := range map[string]struct{ prefix, filler string }{
		"chunks":         {"HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"length":         {"HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 9000000000\r\n\r\n", "x"},
		"until closed":   {"HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n\r\n", "x"},
		"silence":        {"HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\n", ""},
		"a part":         {"HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 524289\r\n\r\n" + strings.Repeat("x", 512<<10), ""},
		"a chunk's part": {"HTTP/1.1 503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + strings.Repeat("x", maxDrainBytes+1), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			expectServedElsewhere(t, e)
			if !e.AwaitClose(cutOffWithin) {
				t.Error("the connection to the rejecting endpoint is kept")
			}
			if n := e.Sent(); n > endlessLimit {
				t.Errorf("the endpoint sent %d bytes", n)
			}
		})
	}
}

// expectServedElsewhere sends a safe request to the endpoint, which a sound one has to answer
// long before its deadline.
func expectServedElsewhere(t *testing.T, e *responsetest.Endless) {
	t.Helper()
	sound, _ := endpoint(t, signedAnswer)
	s, reports := serveEndpoints(t, routes.Safe, Target{Key: "e", Address: e.Address}, sound)
	began := time.Now()
	got := ask(t, s)
	if took := time.Since(began); got.status != http.StatusOK || got.body != "right" || took > cutOffWithin {
		t.Errorf("%+v after %v, reports %+v", got, took, reports())
	}
}

// Guards against a safe request that is lost with the endpoint whose answer never ends,
// although another one would serve it.
func TestSafeRequestGoesOnElsewhereAfterEndlessAnswer(t *testing.T) {
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectServedElsewhere(t, responsetest.NewEndless(t, c.prefix, c.filler))
		})
	}
}

// Guards against an event that never ends and is held until the request's deadline.
func TestEndlessEventIsCutOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n"
	for name, c := range map[string]struct{ prefix, filler string }{
		"until closed": {head + "\r\n", "x"},
		"chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk line":   {head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			s, reports := serveEndpoints(t, routes.Stream, Target{Key: "e", Address: e.Address})
			began := time.Now()
			if got := ask(t, s); got.status == http.StatusOK || time.Since(began) > cutOffWithin {
				t.Errorf("%+v after %v, reports %+v", got, time.Since(began), reports())
			}
			if n := e.Sent(); !e.AwaitClose(cutOffWithin) || n > endlessLimit {
				t.Errorf("%d bytes sent", n)
			}
			expectHeld(t, s, false)
		})
	}
}

// Guards against an answer that is passed on and is held, or read on, while its caller does not
// read, and against one that is read on after the caller has left.
func TestEndlessAnswerFollowsThePaceOfItsCaller(t *testing.T) {
	e := responsetest.NewEndless(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 9000000000\r\n\r\n", "x")
	s, _ := serveEndpoints(t, routes.Safe, Target{Key: "e", Address: e.Address})
	resp, err := exchange(t, s, http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	var sent int64
	for before := int64(-1); before != sent; { // until the sockets are full
		before = sent
		time.Sleep(100 * time.Millisecond) // sockets need the real clock
		sent = e.Sent()
	}
	const callerSocketBytes = 16 << 20 // by the kernel's own limits
	if sent > endlessLimit+callerSocketBytes {
		t.Errorf("the endpoint sent %d bytes", sent)
	}
	if n := limitsOf(s).Held(); n != 0 {
		t.Errorf("%d bytes are held", n)
	}
	_ = resp.Body.Close()
	if !e.AwaitClose(cutOffWithin) {
		t.Error("the connection to the endpoint is kept")
	}
}

// Guards against several answers to other requests, each within the limit, that are read
// together beyond it.
func TestStrayBodiesAreLimitedTogether(t *testing.T) {
	stray := func(bytes int) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: " + strconv.Itoa(bytes) + "\r\n\r\n" + strings.Repeat("x", bytes)
	}
	for bytes, served := range map[int]bool{maxStrayBytes / 3: true, maxStrayBytes/3 + 1: false} {
		target, _ := endpoint(t, strings.Repeat(stray(bytes), 3)+signedAnswer)
		body, err := sendAndRead(t, NewClient(plainWire{}, smallBuffers), target, "a1")
		var exceeded *response.Error
		if served != (body == "right") || served != (err == nil) || !served && (!errors.As(err, &exceeded) || exceeded.Bound != response.BoundStray) {
			t.Errorf("three of %d bytes: %q, %v", bytes, body, err)
		}
	}
}

// Guards against a report that hides which limit an answer exceeded, how much of it was received,
// or that its head was read.
func TestReportSaysWhatWasReceived(t *testing.T) {
	event := "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n\r\n"
	for name, c := range map[string]struct {
		prefix, filler, lost string
		bound                response.Bound
		headRead             bool
		received             int64 // at least
	}{
		"syntax":   {"HTTP/1.1 200 OK\r\n", "\x00", "malformed", response.BoundSyntax, false, 18},
		"head":     {"HTTP/1.1 200 OK\r\na: ", "b", "too_long", response.BoundHead, false, response.MaxHeadBytes},
		"event":    {event, "x", "too_long", response.BoundEvent, true, maxEventBytes},
		"no sense": {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", "", "malformed", response.BoundSyntax, false, 38},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			s, reports := serveEndpoints(t, routes.Stream, Target{Key: "e", Address: e.Address})
			_ = ask(t, s)
			if len(reports()) != 1 {
				t.Fatalf("reports %+v", reports())
			}
			got := reports()[0].Attempts[0]
			if got.Lost != c.lost || got.Bound != c.bound || got.HeadRead != c.headRead || got.Received < c.received || got.Received > 2*maxEventBytes {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against a 5xx answer that is kept for the case that no other attempt succeeds and is
// not counted, and against its bytes that stay counted after the request.
func TestKeptAnswerIsHeldUntilTheRequestEnds(t *testing.T) {
	const bytes = 100 << 10
	failing, _ := endpoint(t, "HTTP/1.1 500 No\r\nAttempt-Id: a1\r\nContent-Length: 102400\r\n\r\n"+strings.Repeat("x", bytes))
	silent := responsetest.NewEndless(t, "", "")
	s, _ := serveEndpoints(t, routes.Safe, failing, Target{Key: "s", Address: silent.Address})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/x", nil)
		if err != nil {
			t.Error(err)
			return
		}
		req.Host = "h"
		req.Header.Set("Attempt-Id", "a1")
		if resp, err := s.Client().Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	for silent.Connections() == 0 {
		time.Sleep(time.Millisecond) // sockets need the real clock
	}
	expectHeld(t, s, true)
	cancel()
	<-ended
	expectHeld(t, s, false)
}

// expectHeld waits until bytes of answers are held, or none are.
func expectHeld(t *testing.T, s *httptest.Server, some bool) {
	t.Helper()
	for end := time.Now().Add(cutOffWithin); (limitsOf(s).Held() != 0) != some; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%d bytes are held", limitsOf(s).Held())
			return
		}
	}
}

// serveEndpoints starts a server with one route whose requests are sent to the given endpoints
// in turn. The result returns the reports of the requests so far.
func serveEndpoints(t *testing.T, kind routes.Kind, targets ...Target) (*httptest.Server, func() []Report) {
	t.Helper()
	return serveWithin(t, kind, false, endlessDeadline, targets...)
}

// serveWithin is serveEndpoints with a timeout for requests, and for streams that may be resumed.
func serveWithin(t *testing.T, kind routes.Kind, resumable bool, timeout time.Duration, targets ...Target) (*httptest.Server, func() []Report) {
	t.Helper()
	p := &listPlacer{}
	for i, target := range targets {
		p.places = append(p.places, Placement{ID: uint64(i), Target: target})
	}
	return servePlaces(t, kind, resumable, timeout, p)
}

func servePlaces(t *testing.T, kind routes.Kind, resumable bool, timeout time.Duration, p *listPlacer) (*httptest.Server, func() []Report) {
	t.Helper()
	var mu sync.Mutex
	var reports []Report
	table := &routes.Table{
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: kind, Resumable: resumable, Timeout: timeout, MaxAttempts: len(p.places), Public: true,
			Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	s := serveOptions(t, table, Options{Placer: p, Report: func(r *Report) {
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, *r)
	}})
	return s, func() []Report {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(reports)
	}
}

// serverLimits has the limits of the servers started by serveOptions.
var serverLimits sync.Map

// limitsOf returns the limits of a server started by serveOptions.
func limitsOf(s *httptest.Server) *response.Limits {
	limits, _ := serverLimits.Load(s)
	return limits.(*response.Limits)
}

const signedAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nright"

// Guards against an answer without end to the question for an endpoint's identity.
func TestEndlessIdentityIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, filler string
		bound          response.Bound
	}{
		"no response": {"", "\x00", response.BoundSyntax},
		"fields":      {"HTTP/1.1 200 OK\r\n", "a: b\r\n", response.BoundFields},
		"body":        {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "7", response.BoundBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			client := NewClient(identityWire{}, smallBuffers)
			o := outgoing("a1")
			o.SameIncarnation = true
			_, err := client.Send(t.Context(), Target{Key: "e@7", ID: "e", Address: e.Address, Born: 7}, o)
			var exceeded *response.Error
			if !errors.Is(err, ErrNotSent) || !errors.As(err, &exceeded) || exceeded.Bound != c.bound {
				t.Errorf("error %v, want bound %s", err, c.bound)
			}
			if !e.AwaitClose(cutOffWithin) || e.Sent() > endlessLimit {
				t.Errorf("%d bytes were sent", e.Sent())
			}
		})
	}
}

// Guards against a plain answer that is held although the budget for answers is used up, and
// against one that is lost because of it.
func TestAnswerBeyondTheBudgetIsPassedOnAsItComes(t *testing.T) {
	body := strings.Repeat("x", 300<<10)
	target, _ := endpoint(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 307200\r\n\r\n"+body)
	s, reports := serveEndpoints(t, routes.Safe, target)
	used := limitsOf(s)
	held := used.Hold()
	if err := held.Resize(testBudget / 2); err != nil {
		t.Fatal(err)
	}
	if got := ask(t, s); got.status != http.StatusOK || got.body != body {
		t.Errorf("status %d with %d bytes, reports %+v", got.status, len(got.body), reports())
	}
	held.Release()
	if n := used.Held(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
}
