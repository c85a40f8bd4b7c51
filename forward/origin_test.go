package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/streamorigin"
)

// testOrigins is an Origins that gives one answer.
type testOrigins struct {
	answer streamorigin.Answer
	body   *bytes.Buffer // received by the caller

	mu     sync.Mutex
	began  map[streamorigin.ID]streamorigin.Origin
	ended  map[streamorigin.ID]bool
	sought []streamorigin.ID

	services []string // that the streams sought belong to unless another is known
}

func (o *testOrigins) Began(id streamorigin.ID, at streamorigin.Origin, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.body.Len() == 0 {
		o.began[id] = at
	}
}

func (o *testOrigins) Single(string) bool { return true }

func (o *testOrigins) Ended(id streamorigin.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended[id] = true
}

func (o *testOrigins) Find(_ context.Context, id streamorigin.ID, service string, _ time.Duration) streamorigin.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services = append(o.services, service)
	o.sought = append(o.sought, id)
	return o.answer
}

// originPlacer places all requests on one endpoint and keeps their origins.
type originPlacer struct {
	listPlacer
	origins  []*streamorigin.Origin
	resuming bool // of the last request
}

func (p *originPlacer) Place(ctx context.Context, req *PlacementRequest) (Placement, error) {
	p.origins, p.resuming = append(p.origins, req.Origin), req.Resuming
	return p.listPlacer.Place(ctx, req)
}

// continuedWire is a codec whose callers take streams up.
type continuedWire struct {
	HeaderCodec
	resumes string
}

func (w continuedWire) DecodeRequest(h http.Header) RequestInfo {
	in := w.HeaderCodec.DecodeRequest(h)
	in.Continues, in.Resumes, in.LastEvent = true, w.resumes, 0
	return in
}

func streamTable(kind routes.Kind) *routes.Table {
	t := &routes.Table{
		Services: map[string]*routes.Service{"s": {Name: "s"}, "t": {Name: "t"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: kind, Resumable: true, Timeout: 2 * time.Second,
			MaxAttempts: 1, Public: true, Backends: []routes.Backend{{Service: "s", Weight: 1}},
		}},
	}
	t.BuildIndex()
	return t
}

// request sends one request to a handler and returns the status of its answer and the report.
func request(t *testing.T, wire HeaderCodec, table *routes.Table, p Placer, o Origins) (int, *Report) {
	t.Helper()
	var report *Report
	h := NewHandler(Options{
		Codec: wire, Client: NewClient(wire, nil), Placer: p, Origins: o,
		Table: func() *routes.Table { return table }, Draining: func() bool { return false },
		ShutdownDeadline: func() time.Time { return time.Time{} }, Report: func(r *Report) { report = r },
	})
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a2")
	w := httptest.NewRecorder()
	if o, ok := o.(*testOrigins); ok {
		o.body = w.Body
	}
	h.ServeHTTP(w, r)
	return w.Code, report
}

// Guards against a stream that is continued at any endpoint because nobody knows where it
// began, and against a refusal of one that was sent to an endpoint.
func TestUnknownStreamIsRefusedUnsent(t *testing.T) {
	s := streamorigin.Origin{Service: "s", Build: "v1"}
	for name, c := range map[string]struct {
		answer streamorigin.Answer
		code   string
	}{
		"unknown":         {streamorigin.Answer{}, CodeStreamUnknown},
		"ambiguous":       {streamorigin.Answer{Evidence: streamorigin.EvidenceAmbiguous}, CodeStreamUnknown},
		"another service": {streamorigin.Answer{Origin: streamorigin.Origin{Service: "t", Build: "v1"}, Known: true}, CodeStreamMoved},
		"known":           {streamorigin.Answer{Origin: s, Known: true}, "none_left"},
	} {
		p := &originPlacer{}
		got, report := request(t, continuedWire{plainWire{}, "a1"}, streamTable(routes.Stream), p, &testOrigins{answer: c.answer})
		if got != http.StatusServiceUnavailable || report.Code != c.code || len(report.Attempts) > 0 || report.Origin == nil {
			t.Errorf("%s: status %d, code %q, attempts %+v", name, got, report.Code, report.Attempts)
		}
		if c.code == "none_left" && (len(p.origins) != 1 || *p.origins[0] != s || !p.resuming) || c.code != "none_left" && len(p.origins) > 0 {
			t.Errorf("%s: placed with %v, resuming %v", name, p.origins, p.resuming)
		}
	}
	o := &testOrigins{}
	if _, report := request(t, continuedWire{plainWire{}, "a1"}, streamTable(routes.Safe), &originPlacer{}, o); report.Code != "none_left" || len(o.sought) > 0 {
		t.Errorf("a request that is no stream: code %q, origins sought %v", report.Code, o.sought)
	}
}

// Guards against an origin that is recorded under another attempt than the one whose first
// event the caller received, or only after it has.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}))
	defer endpoint.Close()
	id := func(attempt string) streamorigin.ID {
		return streamorigin.IDOf("", http.MethodPost, "h", "/x", attempt)
	}
	place := func() *listPlacer {
		return &listPlacer{places: []Placement{{Target: Target{Key: "e", ID: "e", Address: endpoint.Listener.Addr().String()}, Build: "v1"}}}
	}
	o := &testOrigins{began: map[streamorigin.ID]streamorigin.Origin{}, ended: map[streamorigin.ID]bool{}}
	if got, _ := request(t, plainWire{}, streamTable(routes.Stream), place(), o); got != http.StatusOK {
		t.Fatal(got)
	}
	if o.began[id("a2")] != (streamorigin.Origin{Service: "s", Build: "v1"}) || !o.ended[id("a2")] {
		t.Errorf("a new stream: began %v, ended %v", o.began, o.ended)
	}
	o = &testOrigins{began: map[streamorigin.ID]streamorigin.Origin{}, ended: map[streamorigin.ID]bool{}, answer: streamorigin.Answer{Origin: streamorigin.Origin{Service: "s", Build: "v1"}, Known: true}}
	if got, _ := request(t, continuedWire{plainWire{}, "a1"}, streamTable(routes.Stream), place(), o); got != http.StatusOK {
		t.Fatal(got)
	}
	if len(o.sought) != 1 || o.sought[0] != id("a1") || len(o.began) > 0 || !o.ended[id("a1")] {
		t.Errorf("a stream that is taken up: sought %x, began %v, ended %v", o.sought, o.began, o.ended)
	}
}

// Guards against a stream of a route with several services that another service continues,
// because the caller's later attempt has another ID.
func TestStreamIsTakenUpAtTheServiceOfItsFirstAttempt(t *testing.T) {
	table := streamTable(routes.Stream)
	table.Routes[0].Backends = []routes.Backend{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	for i := range 40 {
		first := fmt.Sprint("attempt ", i)
		o := &testOrigins{}
		request(t, continuedWire{plainWire{}, first}, table, &originPlacer{}, o)
		if want := table.Routes[0].SelectBackend(hash.Text(first)); len(o.services) != 1 || o.services[0] != want {
			t.Fatalf("stream of %q: services %q, want %q", first, o.services, want)
		}
	}
}
