// Package admin implements a daemon's administration API, which is served on a
// separate listener.
//
// All paths except /healthz, /readyz and /metrics require the bearer token. Answers
// are JSON. No answer contains a prompt, an API key or an answer to a caller.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Size limits of the API.
const (
	maxManifestBytes = 16 << 20
	maxDumpBytes     = 8 << 20
)

// System is the daemon that the API shows and controls.
type System interface {
	// Live returns an error if the process does not work.
	Live() error
	// Ready returns an error if the balancer should not send requests here.
	Ready() error
	// Manifest returns the manifest in force.
	Manifest() (Revision, *manifest.Manifest, error)
	// History returns the latest publications that this daemon has seen.
	History() []Publication
	// Publish publishes a manifest that was edited from the one at offset base.
	Publish(ctx context.Context, base ports.Offset, m *manifest.Manifest) (Publication, error)
	// PublishSection publishes a change of one section of the manifest in force. If
	// nothing was published, its error is ErrSectionChanged or a *manifest.Error.
	PublishSection(ctx context.Context, c Change) (Publication, error)
	// Endpoints returns the state of each endpoint.
	Endpoints() any
	// Organisations returns each organisation's usage and share.
	Organisations() any
	// Drain starts a graceful shutdown and returns at once.
	Drain()
	// Dump returns the complete state of the process.
	Dump() any
}

// Revision identifies an accepted manifest.
type Revision struct {
	Offset ports.Offset `json:"offset"`
	Digest string       `json:"digest"`
}

// Outcome is the outcome of a publication.
type Outcome string

// Outcomes of a publication.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	OutcomeUnknown  Outcome = "unknown" // publish the same manifest again to find out
	// OutcomeNotPublished means that no record was appended to the log, so the
	// publication has no effect.
	OutcomeNotPublished Outcome = "not_published"
)

// Publication is a publication of a manifest and its outcome.
type Publication struct {
	Outcome   Outcome      `json:"outcome"`
	Revision  Revision     `json:"revision"`
	Base      ports.Offset `json:"base"`
	RefusedBy ports.Offset `json:"refused_by,omitempty"` // offset of the manifest that was accepted before
	Reason    string       `json:"reason,omitempty"`
}

// Options configures the API.
type Options struct {
	System  System
	Token   string       // bearer token; if empty, every call that requires it is refused
	Metrics http.Handler // serves /metrics
	Log     *logging.Logger
}

// New returns the handler of the API.
func New(o Options) http.Handler {
	a := &api{Options: o, tokenHash: sha256.Sum256([]byte(o.Token))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.probe(o.System.Live))
	mux.HandleFunc("GET /readyz", a.probe(o.System.Ready))
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /v1/manifest", a.requireToken(a.getManifest))
	mux.HandleFunc("POST /v1/manifest", a.requireToken(a.publish))
	mux.HandleFunc("GET /v1/manifest/history", a.requireToken(a.serveJSON(func() any { return o.System.History() })))
	mux.HandleFunc("GET /v1/manifest/sections/{kind}/{id}", a.requireToken(a.getSection))
	mux.HandleFunc("PUT /v1/manifest/sections/{kind}/{id}", a.requireToken(a.changeSection))
	mux.HandleFunc("DELETE /v1/manifest/sections/{kind}/{id}", a.requireToken(a.changeSection))
	mux.HandleFunc("GET /v1/endpoints", a.requireToken(a.serveJSON(o.System.Endpoints)))
	mux.HandleFunc("GET /v1/organisations", a.requireToken(a.serveJSON(o.System.Organisations)))
	mux.HandleFunc("POST /v1/drain", a.requireToken(a.drain))
	mux.HandleFunc("GET /dump", a.requireToken(a.serveJSON(o.System.Dump)))
	return mux
}

type api struct {
	Options
	tokenHash [sha256.Size]byte
}

// errorResponse is the body of error answers.
type errorResponse struct {
	Error  string   `json:"error"`
	Faults []string `json:"faults,omitempty"`
}

// requireToken wraps a handler with the token check. It compares hashes in constant
// time, so that response times reveal neither the token nor its length.
func (a *api) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		given := sha256.Sum256([]byte(token))
		if !ok || a.Token == "" || subtle.ConstantTimeCompare(given[:], a.tokenHash[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, errorResponse{Error: "the administration token is missing or wrong"})
			return
		}
		next(w, r)
	}
}

func (a *api) probe(state func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := state(); err != nil {
			writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	}
}

func (a *api) serveJSON(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, value()) }
}

func (a *api) getManifest(w http.ResponseWriter, _ *http.Request) {
	rev, m, err := a.System.Manifest()
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
		return
	}
	w.Header().Set("ETag", etag(rev.Offset))
	writeJSON(w, http.StatusOK, struct {
		Revision Revision           `json:"revision"`
		Manifest *manifest.Manifest `json:"manifest"`
	}{rev, m})
}

// publish publishes the manifest in the body against the base in If-Match. The
// base ensures that an operator who edited an outdated manifest is refused instead
// of undoing another operator's change.
func (a *api) publish(w http.ResponseWriter, r *http.Request) {
	base, err := parseBase(r)
	if err != nil {
		writeJSON(w, http.StatusPreconditionRequired, errorResponse{Error: err.Error()})
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorResponse{Error: "the manifest is too long"})
		return
	}
	m, err := manifest.Decode(text)
	if err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, errorResponse{Error: "the manifest is not valid", Faults: errorTexts(err)})
		return
	}
	p, err := a.System.Publish(r.Context(), base, &m)
	if err != nil {
		a.Log.Warn("Publication failed.", "outcome", string(p.Outcome), "error", err.Error())
		p.Reason = err.Error()
	}
	writeJSON(w, outcomeStatus(p.Outcome), p)
}

func outcomeStatus(o Outcome) int {
	switch o {
	case OutcomeAccepted:
		return http.StatusOK
	case OutcomeRefused:
		return http.StatusConflict
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	case OutcomeNotPublished:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func (a *api) drain(w http.ResponseWriter, _ *http.Request) {
	a.System.Drain()
	writeJSON(w, http.StatusAccepted, map[string]string{"status": "draining"})
}

func etag(o ports.Offset) string { return strconv.Quote(strconv.FormatInt(int64(o), 10)) }

func parseBase(r *http.Request) (ports.Offset, error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.New("header If-Match must name the offset of the manifest this one was made against, or 0 for the first")
	}
	return ports.Offset(n), nil
}

// errorTexts returns the texts of joined errors, or the text of a single error.
func errorTexts(err error) []string {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{err.Error()}
	}
	var texts []string
	for _, e := range joined.Unwrap() {
		texts = append(texts, e.Error())
	}
	return texts
}

// writeJSON writes value as JSON, or status 500 if it cannot be encoded or exceeds
// maxDumpBytes.
func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil || len(text) > maxDumpBytes {
		status = http.StatusInternalServerError
		text = []byte(`{"error":"the answer cannot be written or is too long"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}
