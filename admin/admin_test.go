package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

const token = "correct horse"

// fakeSystem is a System with preset results.
type fakeSystem struct {
	ready       error
	publication Publication
	publishErr  error
	drained     bool
	published   int
	dump        any
}

func (s *fakeSystem) Live() error  { return nil }
func (s *fakeSystem) Ready() error { return s.ready }
func (s *fakeSystem) Manifest() (Revision, *manifest.Manifest, error) {
	return Revision{Offset: 7, Digest: "d"}, &manifest.Manifest{Name: "m"}, nil
}
func (s *fakeSystem) History() []Publication { return []Publication{s.publication} }
func (s *fakeSystem) Publish(context.Context, ports.Offset, *manifest.Manifest) (Publication, error) {
	s.published++
	return s.publication, s.publishErr
}

func (s *fakeSystem) PublishSection(context.Context, Change) (Publication, error) {
	s.published++
	return s.publication, s.publishErr
}
func (s *fakeSystem) Endpoints() any     { return []string{"e1"} }
func (s *fakeSystem) Organisations() any { return []string{"o1"} }
func (s *fakeSystem) Drain()             { s.drained = true }
func (s *fakeSystem) Dump() any          { return s.dump }

func serve(s *fakeSystem, method, path, body string, header ...string) *httptest.ResponseRecorder {
	h := New(Options{System: s, Token: token, Metrics: http.NotFoundHandler(), Log: logging.Discard().For(logging.ComponentAdmin)})
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	return rec
}

// Without the token, nobody on the operators' network may read or change anything.
// Only the probes answer.
func TestCallsRequireToken(t *testing.T) {
	calls := []struct{ method, path string }{
		{"GET", "/v1/manifest"},
		{"POST", "/v1/manifest"},
		{"GET", "/v1/manifest/history"},
		{"GET", "/v1/manifest/sections/model/m"},
		{"PUT", "/v1/manifest/sections/model/m"},
		{"DELETE", "/v1/manifest/sections/model/m"},
		{"GET", "/v1/endpoints"},
		{"GET", "/v1/organisations"},
		{"POST", "/v1/drain"},
		{"GET", "/dump"},
	}
	for _, call := range calls {
		for _, auth := range []string{"", "Bearer wrong", "Bearer ", "Basic " + token} {
			s := &fakeSystem{}
			rec := serve(s, call.method, call.path, "{}", "Authorization", auth)
			if rec.Code != http.StatusUnauthorized || s.drained || s.published != 0 {
				t.Errorf("%s %s with %q: status %d", call.method, call.path, auth, rec.Code)
			}
		}
	}
	if rec := serve(&fakeSystem{}, "GET", "/healthz", "", "Authorization", ""); rec.Code != http.StatusOK {
		t.Errorf("healthz: status %d", rec.Code)
	}
}

func TestRefusesAllCallsWithoutConfiguredToken(t *testing.T) {
	h := New(Options{System: &fakeSystem{}, Metrics: http.NotFoundHandler()})
	req := httptest.NewRequest("GET", "/dump", nil)
	req.Header.Set("Authorization", "Bearer ")
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	if rec.Code != http.StatusUnauthorized {
		t.Errorf("status %d", rec.Code)
	}
}

func TestReadinessFailureHasReason(t *testing.T) {
	rec := serve(&fakeSystem{ready: errors.New("no manifest yet")}, "GET", "/readyz", "")
	if rec.Code != http.StatusServiceUnavailable || !strings.Contains(rec.Body.String(), "no manifest yet") {
		t.Errorf("%d %s", rec.Code, rec.Body)
	}
}

// A publication without a base could undo another operator's change without notice.
// It must be refused before it reaches the log, like an invalid manifest.
func TestRefusesInvalidPublication(t *testing.T) {
	tests := []struct {
		name   string
		base   string
		body   string
		status int
	}{
		{"no base", "", "{}", http.StatusPreconditionRequired},
		{"negative base", `"-1"`, "{}", http.StatusPreconditionRequired},
		{"no JSON", `"0"`, "{", http.StatusUnprocessableEntity},
		{"unknown field", `"0"`, `{"tenants":[]}`, http.StatusUnprocessableEntity},
		{"too long", `"0"`, strings.Repeat(" ", maxManifestBytes+1), http.StatusRequestEntityTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &fakeSystem{}
			rec := serve(s, "POST", "/v1/manifest", test.body, "If-Match", test.base)
			if rec.Code != test.status || s.published != 0 {
				t.Errorf("status %d, published %d, %s", rec.Code, s.published, rec.Body)
			}
		})
	}
}

// The dump of a process with very large tables must not exhaust its memory. Beyond
// the limit the answer is an error.
func TestDumpSizeLimit(t *testing.T) {
	rec := serve(&fakeSystem{dump: strings.Repeat("x", maxDumpBytes+1)}, "GET", "/dump", "")
	text, _ := io.ReadAll(rec.Body)
	if rec.Code != http.StatusInternalServerError || len(text) > 1000 {
		t.Errorf("status %d, %d bytes", rec.Code, len(text))
	}
}

// If two operators change one organisation at the same time, a change without a
// precondition would undo the other one without notice.
func TestSectionChangeRequiresPrecondition(t *testing.T) {
	tests := []struct {
		name      string
		method    string
		body      string
		header    []string
		err       error
		status    int
		published int
	}{
		{"no precondition", "PUT", "{}", nil, nil, http.StatusPreconditionRequired, 0},
		{"empty section", "PUT", "", []string{"If-Match", `"d"`}, nil, http.StatusBadRequest, 0},
		{"changed meanwhile", "PUT", "{}", []string{"If-Match", `"d"`}, ErrSectionChanged, http.StatusPreconditionFailed, 1},
		{"not valid", "PUT", "{}", []string{"If-Match", `"d"`}, &manifest.Error{}, http.StatusUnprocessableEntity, 1},
		{"new", "PUT", "{}", []string{"If-None-Match", "*"}, nil, http.StatusOK, 1},
		{"removed", "DELETE", "", []string{"If-Match", `"d"`}, nil, http.StatusOK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &fakeSystem{publishErr: test.err, publication: Publication{Outcome: OutcomeAccepted}}
			rec := serve(s, test.method, "/v1/manifest/sections/model/m", test.body, test.header...)
			if rec.Code != test.status || s.published != test.published {
				t.Errorf("status %d, published %d: %s", rec.Code, s.published, rec.Body)
			}
		})
	}
}
