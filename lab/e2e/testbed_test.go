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

// testbed is a gateway with simulated runners and services on an in-memory
// network. It is also the gateway's Placer.
type testbed struct {
	t        *testing.T
	network  standin.Network
	runners  []*standin.Runner
	services []*standin.Service
	gateway  *gateway.Gateway
	drainer  *gateway.Drainer
	observer *observer
	server   *http.Server
	client   *http.Client
	closers  []func()

	mu        sync.Mutex
	endpoints []fleet.Endpoint
	index     *catalog.Index
	placed    []fleet.EndpointID // endpoints chosen, in the order of the attempts
}

type testbedOptions struct {
	runners  int
	services int
	runner   standin.RunnerOptions
	limits   gateway.Limits
	engine   engine.Options
	claimer  gateway.Claimer
	admitter gateway.Admitter
}

// runInTestbed runs a test in virtual time with a new testbed.
func runInTestbed(t *testing.T, o testbedOptions, test func(tb *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, o)
		defer tb.close()
		test(tb)
	})
}

func newTestbed(t *testing.T, o testbedOptions) *testbed {
	tb := &testbed{t: t, drainer: gateway.NewDrainer(), observer: new(observer)}
	tb.publish(testManifest())
	for i := range o.runners {
		ro := o.runner
		ro.ID = fleet.EndpointID(fmt.Sprintf("runner-%d", i+1))
		if ro.PieceTokens == 0 {
			ro.PieceTokens = 10
		}
		r := standin.NewRunner(ro)
		tb.runners = append(tb.runners, r)
		tb.addEndpoint(ro.ID, "runner", fmt.Sprintf("10.0.1.%d:8000", i+1), r)
	}
	for i := range o.services {
		s := standin.NewService(fleet.EndpointID(fmt.Sprintf("counter-%d", i+1)))
		tb.services = append(tb.services, s)
		tb.addEndpoint(s.ID, "counter", fmt.Sprintf("10.0.2.%d:8000", i+1), s)
	}
	o.engine.DialContext = tb.network.DialContext
	client := engine.New(o.engine)
	tb.gateway = gateway.New(gateway.Options{
		Catalogue: func() *catalog.Index { tb.mu.Lock(); defer tb.mu.Unlock(); return tb.index },
		Engine:    client,
		Placer:    tb,
		Claimer:   o.claimer,
		Admitter:  o.admitter,
		Observer:  tb.observer,
		Drainer:   tb.drainer,
		Limits:    o.limits,
	})
	tb.server = tb.network.Serve(gatewayAddress, tb.gateway)
	transport := &http.Transport{DialContext: tb.network.DialContext}
	tb.client = &http.Client{Transport: transport}
	tb.closers = append(tb.closers, transport.CloseIdleConnections, client.CloseIdle)
	return tb
}

func (tb *testbed) addEndpoint(id fleet.EndpointID, class, address string, h http.Handler) {
	s := tb.network.Serve(address, h)
	tb.closers = append(tb.closers, func() { _ = s.Close() })
	tb.endpoints = append(tb.endpoints, fleet.Endpoint{ID: id, Class: class, Address: address, State: fleet.VMLive})
}

func (tb *testbed) publish(m *manifest.Manifest) {
	index, err := catalog.New(m)
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.index = index
}

func (tb *testbed) close() {
	_ = tb.server.Close()
	for _, c := range tb.closers {
		c()
	}
	for _, r := range tb.runners {
		r.Crash()
	}
}

// Place chooses the first suitable endpoint that is not excluded, in the order of
// addEndpoint, so that a test knows which endpoint gets its requests and faults.
func (tb *testbed) Place(_ context.Context, r *gateway.PlaceRequest) (gateway.Placement, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, e := range tb.endpoints {
		tried := false
		for _, id := range r.Exclude {
			tried = tried || id == e.ID
		}
		if !tried && tb.index.Serves(e.Class, r.Kind, r.Target.Model) {
			tb.placed = append(tb.placed, e.ID)
			return gateway.Placement{Endpoint: e.ID, Address: e.Address}, nil
		}
	}
	return gateway.Placement{}, gateway.ErrNoEndpoint
}

// observer records the reports and attempt results of the gateway.
type observer struct {
	mu      sync.Mutex
	reports []gateway.Report
	results []gateway.AttemptResult
}

func (r *observer) Request(rep *gateway.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, *rep)
}

func (r *observer) Attempt(_ *gateway.PlaceRequest, _ *gateway.Placement, res *gateway.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, *res)
}

func (r *observer) last() gateway.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reports) == 0 {
		return gateway.Report{}
	}
	return r.reports[len(r.reports)-1]
}

// newRequest returns a request to the gateway; headers holds pairs of name and
// value.
func (tb *testbed) newRequest(method, path, key, body string, headers ...string) *http.Request {
	req, err := http.NewRequestWithContext(tb.t.Context(), method, "http://"+gatewayAddress+path, strings.NewReader(body))
	if err != nil {
		tb.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// answer is a response with its body, as a caller received it.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (tb *testbed) send(req *http.Request) answer {
	tb.t.Helper()
	resp, err := tb.client.Do(req)
	if err != nil {
		tb.t.Fatalf("request failed: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (a answer) decodeError(t *testing.T) (code string, outcome gateway.Outcome) {
	t.Helper()
	var e struct {
		Error struct {
			Code    string
			Outcome gateway.Outcome
		}
	}
	if err := json.Unmarshal([]byte(a.body), &e); err != nil {
		t.Fatalf("body is not a JSON error: %q", a.body)
	}
	return e.Error.Code, e.Error.Outcome
}

// expectError fails the test unless the answer has this status and its error this
// code and outcome.
func (a answer) expectError(t *testing.T, status int, code string, outcome gateway.Outcome) {
	t.Helper()
	gotCode, gotOutcome := a.decodeError(t)
	if a.status != status || gotCode != code || gotOutcome != outcome {
		t.Errorf("got %d %s %s, want %d %s %s; body %s", a.status, gotCode, gotOutcome, status, code, outcome, a.body)
	}
}

// streamResult holds the token indices and the text of a stream, and how it ended.
type streamResult struct {
	indices []string
	text    string
	done    bool
	err     string // code of an error event, or "malformed"
	outcome string
}

func parseStream(body string) streamResult {
	var out streamResult
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			out.indices = append(out.indices, value)
		case name == "data" && value == "[DONE]":
			// The id of the end marker is not the index of a token.
			out.indices = out.indices[:len(out.indices)-1]
			out.done = true
		case name == "data":
			out.addChunk(value)
		}
	}
	return out
}

func (s *streamResult) addChunk(data string) {
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

// expectComplete fails the test unless the stream has all tokens of one answer,
// each once and in order, and the end marker.
func (s streamResult) expectComplete(t *testing.T) {
	t.Helper()
	answerID, _, _ := strings.Cut(s.text, ".")
	var want strings.Builder
	for i := range chatTokens {
		want.WriteString(standin.Token(answerID, i))
	}
	if s.text != want.String() || !s.done || s.err != "" {
		t.Errorf("stream is incomplete or wrong: done %v, error %q, text %q, want %q", s.done, s.err, s.text, want.String())
	}
}

// chatTokens is the number of tokens that chatBody requests.
const chatTokens = 8

const chatBody = `{"model":"codes","stream":true,"max_tokens":8,"messages":[{"role":"system","content":"The building code of Québec, part 3."},{"role":"user","content":"Does this deposit conform?"}]}`

func (tb *testbed) streamChat(body string) (answer, streamResult) {
	tb.t.Helper()
	a := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", registreKey, body))
	return a, parseStream(a.body)
}
