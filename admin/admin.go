// Package admin serves a daemon's administration API on a listener of its own.
//
// Everything but /healthz, /readyz and /metrics asks for the bearer token.
// Answers are JSON. No answer holds a prompt, an API key or an answer to a
// caller.
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

// Bounds of the API.
const (
	maxManifestBytes = 16 << 20
	maxDumpBytes     = 8 << 20
)

// System is what the API shows and steers. The daemon implements it.
type System interface {
	// Live tells whether the process works at all.
	Live() error
	// Ready tells whether the balancer should send requests here.
	Ready() error
	// Manifest returns the manifest in force.
	Manifest() (Revision, *manifest.Manifest, error)
	// History returns the latest publications that this daemon has seen.
	History() []Publication
	// Publish offers a manifest made against the given base.
	Publish(ctx context.Context, base ports.Offset, m *manifest.Manifest) (Publication, error)
	// PublishSection offers a change of one section of the manifest in force.
	// Its error is ErrSectionChanged or a *manifest.Error when nothing was
	// published.
	PublishSection(ctx context.Context, c Change) (Publication, error)
	// Endpoints returns the state of each endpoint.
	Endpoints() any
	// Organisations returns each organisation's use against its share.
	Organisations() any
	// Drain starts a graceful shutdown and returns at once.
	Drain()
	// Dump returns the state of the whole process.
	Dump() any
}

// Revision identifies an accepted manifest.
type Revision struct {
	Offset ports.Offset `json:"offset"`
	Digest string       `json:"digest"`
}

// Outcome is what became of a publication.
type Outcome string

// The outcomes of a publication.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeRefused  Outcome = "refused"
	OutcomeUnknown  Outcome = "unknown" // publish the same again to learn it
	// OutcomeNotPublished is certainly without effect: the log took no record.
	OutcomeNotPublished Outcome = "not_published"
)

// Publication is one publication and its outcome.
type Publication struct {
	Outcome   Outcome      `json:"outcome"`
	Revision  Revision     `json:"revision"`
	Base      ports.Offset `json:"base"`
	RefusedBy ports.Offset `json:"refused_by,omitempty"` // the manifest that came first
	Reason    string       `json:"reason,omitempty"`
}

// Options are what the API needs.
type Options struct {
	System  System
	Token   string       // bearer token; empty refuses every guarded call
	Metrics http.Handler // the scraper's page
	Log     *logging.Logger
}

// New returns the API's handler.
func New(o Options) http.Handler {
	a := &api{Options: o, tokenHash: sha256.Sum256([]byte(o.Token))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.probe(o.System.Live))
	mux.HandleFunc("GET /readyz", a.probe(o.System.Ready))
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /v1/manifest", a.guard(a.manifest))
	mux.HandleFunc("POST /v1/manifest", a.guard(a.publish))
	mux.HandleFunc("GET /v1/manifest/history", a.guard(a.show(func() any { return o.System.History() })))
	mux.HandleFunc("GET /v1/manifest/sections/{kind}/{id}", a.guard(a.getSection))
	mux.HandleFunc("PUT /v1/manifest/sections/{kind}/{id}", a.guard(a.changeSection))
	mux.HandleFunc("DELETE /v1/manifest/sections/{kind}/{id}", a.guard(a.changeSection))
	mux.HandleFunc("GET /v1/endpoints", a.guard(a.show(o.System.Endpoints)))
	mux.HandleFunc("GET /v1/organisations", a.guard(a.show(o.System.Organisations)))
	mux.HandleFunc("POST /v1/drain", a.guard(a.drain))
	mux.HandleFunc("GET /dump", a.guard(a.show(o.System.Dump)))
	return mux
}

type api struct {
	Options
	tokenHash [sha256.Size]byte
}

// problem is the body of every error.
type problem struct {
	Error  string   `json:"error"`
	Faults []string `json:"faults,omitempty"`
}

// guard asks for the token. Hashes are compared, in constant time, so that the
// time an answer takes tells nothing of the token or its length.
func (a *api) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		given := sha256.Sum256([]byte(token))
		if !ok || a.Token == "" || subtle.ConstantTimeCompare(given[:], a.tokenHash[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			answer(w, http.StatusUnauthorized, problem{Error: "the administration token is missing or wrong"})
			return
		}
		next(w, r)
	}
}

func (a *api) probe(state func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := state(); err != nil {
			answer(w, http.StatusServiceUnavailable, problem{Error: err.Error()})
			return
		}
		answer(w, http.StatusOK, map[string]string{"status": "ok"})
	}
}

func (a *api) show(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, value()) }
}

func (a *api) manifest(w http.ResponseWriter, _ *http.Request) {
	rev, m, err := a.System.Manifest()
	if err != nil {
		answer(w, http.StatusServiceUnavailable, problem{Error: err.Error()})
		return
	}
	w.Header().Set("ETag", etag(rev.Offset))
	answer(w, http.StatusOK, struct {
		Revision Revision           `json:"revision"`
		Manifest *manifest.Manifest `json:"manifest"`
	}{rev, m})
}

// publish takes the base from If-Match, so that an operator who has not seen
// the latest manifest is refused instead of undoing another's change.
func (a *api) publish(w http.ResponseWriter, r *http.Request) {
	base, err := baseOf(r)
	if err != nil {
		answer(w, http.StatusPreconditionRequired, problem{Error: err.Error()})
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
	if err != nil {
		answer(w, http.StatusRequestEntityTooLarge, problem{Error: "the manifest is too long"})
		return
	}
	m, err := manifest.Decode(text)
	if err != nil {
		answer(w, http.StatusUnprocessableEntity, problem{Error: "the manifest is not valid", Faults: faults(err)})
		return
	}
	p, err := a.System.Publish(r.Context(), base, &m)
	if err != nil {
		a.Log.Warn("Publication failed.", "outcome", string(p.Outcome), "error", err.Error())
		p.Reason = err.Error()
	}
	answer(w, statusOf(p.Outcome), p)
}

func statusOf(o Outcome) int {
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
	answer(w, http.StatusAccepted, map[string]string{"status": "draining"})
}

func etag(o ports.Offset) string { return strconv.Quote(strconv.FormatInt(int64(o), 10)) }

func baseOf(r *http.Request) (ports.Offset, error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.New("header If-Match must name the offset of the manifest this one was made against, or 0 for the first")
	}
	return ports.Offset(n), nil
}

// faults splits joined errors, so that each stands alone in the answer.
func faults(err error) []string {
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

// answer writes a bounded JSON body.
func answer(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil || len(text) > maxDumpBytes {
		status = http.StatusInternalServerError
		text = []byte(`{"error":"the answer cannot be written or is too long"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}
