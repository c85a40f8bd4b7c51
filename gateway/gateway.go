// Package gateway serves callers: it authenticates a request, has it admitted
// and placed, sends it to endpoints, and gives the caller one whole answer or
// an explicit error.
//
// The decisions are taken behind the interfaces of Options (Placer, Admitter,
// Claimer, RetryPolicy) and in packages catalog and stream; the handlers here
// translate between HTTP and those.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quarantine"
)

// Headers between callers and the gateway.
const (
	HeaderAdapter        = engine.HeaderAdapter  // adapter, if the model name carries none
	HeaderPriority       = engine.HeaderPriority // interactive, standard or batch
	HeaderDeadline       = engine.HeaderDeadline // milliseconds the caller will wait
	HeaderIdempotencyKey = "Idempotency-Key"     // of a call that may not be repeated
	HeaderRequest        = "Merlin-Request"      // id of the request, in each answer
	HeaderOutcome        = "Merlin-Outcome"      // Outcome of an error
	HeaderCachedTokens   = engine.HeaderCachedTokens
)

const (
	contentJSON   = "application/json"
	contentEvents = "text/event-stream"
	bearer        = "Bearer "
	requestIDSize = 12
)

// Limits bound what callers may make a daemon hold. Zero values take the
// defaults.
type Limits struct {
	BodyBytes         int64         // of one request
	BodiesBytes       int64         // of all requests together
	BodyTimeout       time.Duration // until a request's body is there
	AnswerBufferBytes int64         // of a plain service's answer before it is passed on
	StallBudget       time.Duration // that one caller may keep an endpoint waiting in all
	WriteTimeout      time.Duration // until a caller has taken an answer that keeps no endpoint waiting
	RequestTimeout    time.Duration // of one request from its header to its end
	StreamBytes       int64         // of one streamed answer
	Attempts          int           // of one request
	OpenRequests      int           // at once, of all callers
}

// The defaults of Limits.
const (
	DefaultBodyBytes         = 8 << 20
	DefaultBodiesBytes       = 256 << 20
	DefaultBodyTimeout       = 20 * time.Second
	DefaultAnswerBufferBytes = 256 << 10
	DefaultStallBudget       = 20 * time.Second
	DefaultWriteTimeout      = time.Minute
	DefaultRequestTimeout    = 15 * time.Minute
	DefaultStreamBytes       = 64 << 20
	DefaultAttempts          = 4
	DefaultOpenRequests      = 12_000
)

// Options are what a Gateway needs.
type Options struct {
	// Catalogue returns the index of the manifest in force, nil if there is none.
	Catalogue func() *catalog.Index
	// Bind chooses the weight version that a request is bound to for all its
	// attempts, by the first level of its prompt. Nil: the manifest's.
	Bind     func(org contract.OrganisationID, t catalog.Target, firstLevel []byte) catalog.Target
	Engine   *engine.Client
	Placer   Placer
	Admitter Admitter    // nil: all are admitted
	Claimer  Claimer     // nil: keyed calls are refused
	Retry    RetryPolicy // nil: SimpleRetry
	Observer Observer    // nil: none
	Drainer  *Drainer    // nil: one of its own
	// Quarantine is nil if requests are kept from endpoints by nothing.
	Quarantine quarantine.Gate
	Limits     Limits
}

// Gateway is the caller-facing http.Handler.
type Gateway struct {
	o           Options
	bodiesInUse atomic.Int64 // bytes
}

// New returns the handler with the given options.
func New(o Options) *Gateway {
	if o.Admitter == nil {
		o.Admitter = AdmitAll{}
	}
	if o.Claimer == nil {
		o.Claimer = NoClaims{}
	}
	if o.Retry == nil {
		o.Retry = SimpleRetry{}
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.Drainer == nil {
		o.Drainer = NewDrainer()
	}
	o.Limits = o.Limits.withDefaults()
	return &Gateway{o: o}
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.BodyBytes, DefaultBodyBytes)
	setDefault(&l.BodiesBytes, DefaultBodiesBytes)
	setDefault(&l.BodyTimeout, DefaultBodyTimeout)
	setDefault(&l.AnswerBufferBytes, DefaultAnswerBufferBytes)
	setDefault(&l.StallBudget, DefaultStallBudget)
	setDefault(&l.WriteTimeout, DefaultWriteTimeout)
	setDefault(&l.RequestTimeout, DefaultRequestTimeout)
	setDefault(&l.StreamBytes, DefaultStreamBytes)
	setDefault(&l.Attempts, DefaultAttempts)
	setDefault(&l.OpenRequests, DefaultOpenRequests)
	return l
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// call is one request on its way through the gateway.
type call struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	index    *catalog.Index
	org      *catalog.Organisation
	id       string
	start    time.Time
	ctx      context.Context
	buffer   []byte // body, with room for a seed in front
	body     []byte
	priority contract.Priority
	deadline time.Time
	explicit bool // the caller gave the deadline
	// fingerprint is the same for all repeats of the request.
	fingerprint quarantine.Fingerprint
	report      Report
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.o.Drainer.enter()
	defer g.o.Drainer.leave()
	c := &call{g: g, w: w, r: r, rc: http.NewResponseController(w), id: newID(), start: time.Now()}
	c.report = Report{ID: c.id, CachedTokens: engine.CachedUnknown}
	w.Header().Set(HeaderRequest, c.id)
	defer c.finish()
	if err := c.serve(); err != nil {
		c.refuse(err)
	}
}

// finish reports the request.
func (c *call) finish() {
	c.report.Priority = c.priority
	c.report.Duration = time.Since(c.start)
	c.report.CallerLeft = c.r.Context().Err() != nil && !c.report.CallerSlow && c.report.Code != CodeShutdown
	if c.org != nil {
		c.report.Organisation = c.org.ID
	}
	c.g.o.Observer.Request(&c.report)
}

// refuse sends the error as the whole answer.
func (c *call) refuse(r *Refusal) {
	c.report.Status, c.report.Code, c.report.Outcome = r.Status, r.Code, r.Outcome
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.o.Limits.WriteTimeout))
	r.write(c.w, c.id)
}

// serve answers the request, or returns the refusal to send instead.
func (c *call) serve() *Refusal {
	// Past this bound each further request would cost memory that the streams
	// under way need; the caller is told at once and another daemon can serve.
	if c.g.o.Drainer.Open() > c.g.o.Limits.OpenRequests {
		return notRun(CodeOverloaded, "too many requests are open at this daemon", DefaultRetryAfter)
	}
	if c.index = c.g.o.Catalogue(); c.index == nil {
		return notRun(CodeNoManifest, "no manifest is in force yet", DefaultRetryAfter)
	}
	if r := c.authenticate(); r != nil {
		return r
	}
	p := c.r.URL.Path
	if !plainPath(p) {
		return refused(http.StatusBadRequest, CodeInvalidRequest, "the path must have no empty or dot segments")
	}
	switch p {
	case pathChat, pathCompletions:
		if c.r.Method != http.MethodPost {
			return c.wrongMethod(http.MethodPost)
		}
		return c.withBody(c.serveModel)
	case pathModels:
		if c.r.Method != http.MethodGet {
			return c.wrongMethod(http.MethodGet)
		}
		return c.serveModels()
	}
	service, rest, ok := c.index.Service(p)
	if !ok {
		return refused(http.StatusNotFound, CodeUnknownPath, "no model call or service has the path %s", p)
	}
	return c.withBody(func() *Refusal { return c.serveService(service, rest) })
}

// plainPath tells whether a path means the same to every server. One with dot
// segments could match a rule for calls that may be repeated here, and reach
// another call at a service that resolves them.
func plainPath(p string) bool {
	return p == path.Clean(p) || p == path.Clean(p)+"/"
}

func (c *call) wrongMethod(allowed string) *Refusal {
	c.w.Header().Set("Allow", allowed)
	return refused(http.StatusMethodNotAllowed, CodeInvalidRequest, "method %s is not served here, use %s", c.r.Method, allowed)
}

func (c *call) authenticate() *Refusal {
	key, found := strings.CutPrefix(c.r.Header.Get("Authorization"), bearer)
	if !found || key == "" {
		return refused(http.StatusUnauthorized, CodeInvalidKey, "an API key is needed in the header Authorization: Bearer KEY")
	}
	org, err := c.index.Authenticate(key)
	if err != nil {
		return refused(http.StatusUnauthorized, CodeInvalidKey, "the API key is not known")
	}
	c.org = org
	return nil
}

// bound settles priority and deadline from the names the caller gave, and
// binds the request to the time it may take.
func (c *call) bound(priority string, deadline time.Duration) (context.CancelFunc, *Refusal) {
	p, err := c.org.Priority(priority)
	switch {
	case errors.Is(err, catalog.ErrPriorityForbidden):
		return nil, refused(http.StatusForbidden, CodeNotPermitted, "the organisation may not ask for priority %s", priority)
	case err != nil:
		return nil, refused(http.StatusBadRequest, CodeInvalidRequest, "priority %q is unknown, expected interactive, standard or batch", priority)
	}
	c.priority = p
	limit := c.g.o.Limits.RequestTimeout
	if deadline > 0 && deadline < limit {
		limit, c.explicit = deadline, true
	}
	c.deadline = c.start.Add(limit)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	c.ctx = ctx
	return cancel, nil
}

func newID() string {
	var b [requestIDSize]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// placeRequest returns the part of a PlaceRequest that all attempts share.
func (c *call) placeRequest(kind fleet.Kind) PlaceRequest {
	return PlaceRequest{Kind: kind, Organisation: c.org.ID, Priority: c.priority, Deadline: c.deadline}
}
