package e2e

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/manifest"
)

const (
	gatewayAddress = "10.0.0.1:8080"
	registreKey    = "key-registre"
	tsukushiKey    = "key-tsukushi"
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testManifest() *manifest.Manifest {
	all := []string{"interactive", "standard", "batch"}
	return &manifest.Manifest{
		Rules: 1,
		Name:  "test",
		Fleet: manifest.Fleet{PieceTokens: 10, BytesPerToken: 4, LoadsAtOnce: 1},
		Organisations: []manifest.Organisation{
			{ID: "registre", KeyHashes: []string{keyHash(registreKey)}, Share: 1, Priorities: all},
			{ID: "tsukushi", KeyHashes: []string{keyHash(tsukushiKey)}, Share: 1, Priorities: all[1:]},
		},
		Models: []manifest.Model{{
			ID: "codes", Version: "v1",
			Adapters: []manifest.Adapter{{ID: "tags", Version: "t1", Organisations: []contract.OrganisationID{"registre"}}},
		}},
		Classes: []manifest.Class{
			{ID: "runner", Kind: fleet.KindModel, Models: []string{"codes"}},
			{ID: "counter", Kind: fleet.KindService},
		},
		Services: []manifest.Service{{
			ID: "receipts", PathPrefix: "/receipts", Class: "counter",
			Calls: []manifest.Call{{Method: http.MethodGet, Path: "*", Idempotent: true}},
		}},
	}
}

// world is a gateway with stand-ins behind it, all in memory.
type world struct {
	t        *testing.T
	network  standin.Network
	runners  []*standin.Runner
	services []*standin.Service
	gateway  *gateway.Gateway
	drainer  *gateway.Drainer
	observer *recorder
	server   *http.Server
	client   *http.Client
	closers  []func()

	mu        sync.Mutex
	endpoints []fleet.Endpoint
	index     *catalog.Index
	tried     []fleet.EndpointID // in the order of the attempts
}

type worldOptions struct {
	runners  int
	services int
	runner   standin.RunnerOptions
	limits   gateway.Limits
	engine   engine.Options
	claimer  gateway.Claimer
	admitter gateway.Admitter
}

// inWorld runs a test in virtual time with a world of its own.
func inWorld(t *testing.T, o worldOptions, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, o)
		defer w.close()
		test(w)
	})
}

func newWorld(t *testing.T, o worldOptions) *world {
	w := &world{t: t, drainer: gateway.NewDrainer(), observer: new(recorder)}
	w.publish(testManifest())
	for i := range o.runners {
		ro := o.runner
		ro.ID = fleet.EndpointID(fmt.Sprintf("runner-%d", i+1))
		if ro.PieceTokens == 0 {
			ro.PieceTokens = 10
		}
		r := standin.NewRunner(ro)
		w.runners = append(w.runners, r)
		w.endpoint(ro.ID, "runner", fmt.Sprintf("10.0.1.%d:8000", i+1), r)
	}
	for i := range o.services {
		s := standin.NewService(fleet.EndpointID(fmt.Sprintf("counter-%d", i+1)))
		w.services = append(w.services, s)
		w.endpoint(s.ID, "counter", fmt.Sprintf("10.0.2.%d:8000", i+1), s)
	}
	o.engine.DialContext = w.network.DialContext
	client := engine.New(o.engine)
	w.gateway = gateway.New(gateway.Options{
		Catalogue: func() *catalog.Index { w.mu.Lock(); defer w.mu.Unlock(); return w.index },
		Engine:    client,
		Placer:    w,
		Claimer:   o.claimer,
		Admitter:  o.admitter,
		Observer:  w.observer,
		Drainer:   w.drainer,
		Limits:    o.limits,
	})
	w.server = w.network.Serve(gatewayAddress, w.gateway)
	transport := &http.Transport{DialContext: w.network.DialContext}
	w.client = &http.Client{Transport: transport}
	w.closers = append(w.closers, transport.CloseIdleConnections, client.CloseIdle)
	return w
}

func (w *world) endpoint(id fleet.EndpointID, class, address string, h http.Handler) {
	s := w.network.Serve(address, h)
	w.closers = append(w.closers, func() { _ = s.Close() })
	w.endpoints = append(w.endpoints, fleet.Endpoint{ID: id, Class: class, Address: address, State: fleet.VMLive})
}

func (w *world) publish(m *manifest.Manifest) {
	index, err := catalog.New(m)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index = index
}

func (w *world) close() {
	_ = w.server.Close()
	for _, c := range w.closers {
		c()
	}
	for _, r := range w.runners {
		r.Crash()
	}
}

// Place takes the first endpoint of the fleet's order that was not tried, so
// that a test knows where its faults will strike.
func (w *world) Place(_ context.Context, r *gateway.PlaceRequest) (gateway.Placement, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		tried := false
		for _, id := range r.Exclude {
			tried = tried || id == e.ID
		}
		if !tried && w.index.Serves(e.Class, r.Kind, r.Target.Model) {
			w.tried = append(w.tried, e.ID)
			return gateway.Placement{Endpoint: e.ID, Address: e.Address}, nil
		}
	}
	return gateway.Placement{}, gateway.ErrNoEndpoint
}

// recorder keeps what the gateway reports.
type recorder struct {
	mu      sync.Mutex
	reports []gateway.Report
	results []gateway.AttemptResult
}

func (r *recorder) Request(rep *gateway.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, *rep)
}

func (r *recorder) Attempt(_ *gateway.PlaceRequest, _ *gateway.Placement, res *gateway.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, *res)
}

func (r *recorder) last() gateway.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) == 0 {
		return gateway.Report{}
	}
	return r.reports[len(r.reports)-1]
}

// request makes a caller's request; headers come in pairs of name and value.
func (w *world) request(method, path, key, body string, headers ...string) *http.Request {
	req, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+gatewayAddress+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (w *world) do(req *http.Request) answer {
	w.t.Helper()
	resp, err := w.client.Do(req)
	if err != nil {
		w.t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (a answer) detail(t *testing.T) (code string, outcome gateway.Outcome) {
	t.Helper()
	var e struct {
		Error struct {
			Code    string
			Outcome gateway.Outcome
		}
	}
	if err := json.Unmarshal([]byte(a.body), &e); err != nil {
		t.Fatalf("not an error: %q", a.body)
	}
	return e.Error.Code, e.Error.Outcome
}

// expect fails the test unless the answer is the given error.
func (a answer) expect(t *testing.T, status int, code string, outcome gateway.Outcome) {
	t.Helper()
	gotCode, gotOutcome := a.detail(t)
	if a.status != status || gotCode != code || gotOutcome != outcome {
		t.Errorf("got %d %s %s, want %d %s %s; body %s", a.status, gotCode, gotOutcome, status, code, outcome, a.body)
	}
}

// tokens is what a stream gave: its indices, its text and how it ended.
type tokens struct {
	indices []string
	text    string
	done    bool
	err     string // code of an explicit error
	outcome string
}

func parseStream(body string) tokens {
	var out tokens
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			out.indices = append(out.indices, value)
		case name == "data" && value == "[DONE]":
			// The marker's own number counts the tokens.
			out.indices = out.indices[:len(out.indices)-1]
			out.done = true
		case name == "data":
			out.add(value)
		}
	}
	return out
}

func (s *tokens) add(data string) {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   struct{ Code, Outcome string }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		s.err = "malformed"
		return
	}
	if chunk.Error.Code != "" {
		s.err, s.outcome = chunk.Error.Code, chunk.Error.Outcome
	}
	for _, c := range chunk.Choices {
		s.text += c.Delta.Content
	}
}

// whole fails the test unless the stream has all tokens once, in order, all
// of one answer, and the end marker.
func (s tokens) whole(t *testing.T) {
	t.Helper()
	word, _, _ := strings.Cut(s.text, ".")
	var want strings.Builder
	for i := range chatTokens {
		want.WriteString(standin.Token(word, i))
	}
	if s.text != want.String() || !s.done || s.err != "" {
		t.Errorf("stream is not whole: done %v, error %q, text %q, want %q", s.done, s.err, s.text, want.String())
	}
}

// chatTokens is how many tokens chatBody asks for.
const chatTokens = 8

const chatBody = `{"model":"codes","stream":true,"max_tokens":8,"messages":[{"role":"system","content":"The building code of Québec, part 3."},{"role":"user","content":"Does this deposit conform?"}]}`

func (w *world) stream(body string) (answer, tokens) {
	w.t.Helper()
	a := w.do(w.request(http.MethodPost, "/v1/chat/completions", registreKey, body))
	return a, parseStream(a.body)
}
