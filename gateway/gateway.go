// Package gateway implements the caller-facing HTTP handler. It authenticates a
// request, asks for its admission and placement, sends it to endpoints, and
// returns either one complete answer or an explicit error.
//
// Decisions are left to the interfaces in Options (Placer, Admitter, Claimer,
// RetryPolicy) and to packages catalog and stream. The handlers translate
// between HTTP and those.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/merlindock/merlindock/bytebudget"
	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/delivery"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/quarantine"
)

// Headers of requests from callers and of answers to them.
const (
	HeaderAdapter        = engine.HeaderAdapter  // adapter, if the model name does not include one
	HeaderPriority       = engine.HeaderPriority // interactive, standard or batch
	HeaderDeadline       = engine.HeaderDeadline // maximum duration of the request in milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"     // key of a service call that must run at most once
	HeaderRequest        = "Merlin-Request"      // request ID, set in every answer
	HeaderOutcome        = "Merlin-Outcome"      // Outcome, set in error answers
	HeaderCachedTokens   = engine.HeaderCachedTokens
)

const (
	contentJSON        = "application/json"
	contentEventStream = "text/event-stream"
	bearerPrefix       = "Bearer "
	requestIDSize      = 12
)

// Limits bounds the memory and time that callers may occupy at one daemon. Zero
// values mean the defaults.
type Limits struct {
	BodyBytes         int64         // of one request body
	BodyTimeout       time.Duration // for reading one request body
	AnswerBufferBytes int64         // of a plain service's answer held before relaying begins
	StallBudget       time.Duration // total time that one caller may block an endpoint by reading slowly
	WriteTimeout      time.Duration // for writing a complete answer that no endpoint waits for
	RequestTimeout    time.Duration // of one request, from its header to the end of its answer
	StreamBytes       int64         // of one streamed answer
	Attempts          int           // per request
	OpenRequests      int           // concurrent requests of all callers
}

// Defaults of Limits.
const (
	DefaultBodyBytes         = 8 << 20
	DefaultBodyTimeout       = 20 * time.Second
	DefaultAnswerBufferBytes = 256 << 10
	DefaultStallBudget       = 20 * time.Second
	DefaultWriteTimeout      = time.Minute
	DefaultRequestTimeout    = 15 * time.Minute
	DefaultStreamBytes       = 64 << 20
	DefaultAttempts          = 4
	DefaultOpenRequests      = 12_000
)

// Options configures a Gateway.
type Options struct {
	// Catalogue returns the index of the manifest in force, or nil if there is none.
	Catalogue func() *catalog.Index
	// ChooseVersion chooses the weight version for all attempts of a request by the
	// first level of its prompt. If nil, the manifest's version is used.
	ChooseVersion func(org contract.OrganisationID, t catalog.Target, firstLevel []byte) catalog.Target
	Engine        *engine.Client
	Placer        Placer
	Admitter      Admitter    // nil: AdmitAll
	Claimer       Claimer     // nil: NoClaims
	Retry         RetryPolicy // nil: SimpleRetry
	Observer      Observer    // nil: nothing is reported
	Drainer       *Drainer    // nil: a new one
	// Quarantine refuses requests that made endpoints crash. If nil, none is refused.
	Quarantine quarantine.Gate
	Limits     Limits
	// Budget bounds the request bodies that are held at the same time. If nil, their sum has
	// no bound.
	Budget *bytebudget.Budget
}

// Gateway is the caller-facing http.Handler.
type Gateway struct{ o Options }

// New returns a Gateway with the given options.
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

// call is the state of one request.
type call struct {
	g                *Gateway
	w                http.ResponseWriter
	r                *http.Request
	rc               *http.ResponseController
	index            *catalog.Index
	org              *catalog.Organisation
	id               string
	start            time.Time
	ctx              context.Context
	bodyBuffer       []byte // maxSeedFieldBytes of free space, then the body
	body             []byte
	bodyRead         bool // to its end
	priority         contract.Priority
	deadline         time.Time
	explicitDeadline bool // the deadline is the caller's, not RequestTimeout
	// fingerprint identifies repetitions of the same request.
	identity quarantine.Identity
	sent     delivery.Sent
	report   Report
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !ingress.ConnOf(r.Context()).BeginRequest() {
		panic(http.ErrAbortHandler)
	}
	g.o.Drainer.requestStarted()
	defer g.o.Drainer.requestEnded()
	c := &call{g: g, w: w, r: r, rc: http.NewResponseController(w), id: newID(), start: time.Now()}
	c.report = Report{ID: c.id, CachedTokens: engine.CachedUnknown}
	w.Header().Set(HeaderRequest, c.id)
	defer c.reportRequest()
	if err := c.serve(); err != nil {
		c.writeRefusal(err)
	}
}

// reportRequest passes the finished report to the observer.
func (c *call) reportRequest() {
	c.report.Priority = c.priority
	c.report.Duration = time.Since(c.start)
	c.report.CallerLeft = c.r.Context().Err() != nil && !c.report.CallerSlow && c.report.Code != CodeShutdown
	if c.org != nil {
		c.report.Organisation = c.org.ID
	}
	c.g.o.Observer.Request(&c.report)
}

// writeRefusal sends the refusal as the complete answer.
func (c *call) writeRefusal(r *Refusal) {
	if !c.sent.BeginBody() {
		panic(http.ErrAbortHandler)
	}
	c.report.Status, c.report.Code, c.report.Outcome = r.Status, r.Code, r.Outcome
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.g.o.Limits.WriteTimeout))
	reusable := true
	if c.bodyRead {
		r.write(c.w, c.id)
	} else {
		reusable = ingress.Refuse(c.w, c.r, c.g.o.Limits.BodyBytes, func() { r.write(c.w, c.id) })
	}
	c.sent.End()
	if !reusable {
		panic(http.ErrAbortHandler)
	}
}

// serve handles the request, or returns the refusal to send.
func (c *call) serve() *Refusal {
	// Further requests would take memory that the streams in progress need.
	// Refusing at once lets the caller go to another daemon.
	if c.g.o.Drainer.InFlight() > c.g.o.Limits.OpenRequests {
		return notRunRefusal(CodeOverloaded, "too many requests are open at this daemon", DefaultRetryAfter)
	}
	if c.index = c.g.o.Catalogue(); c.index == nil {
		return notRunRefusal(CodeNoManifest, "no manifest is in force yet", DefaultRetryAfter)
	}
	if r := c.authenticate(); r != nil {
		return r
	}
	p := c.r.URL.Path
	if !isCanonicalPath(p) {
		return refusedf(http.StatusBadRequest, CodeInvalidRequest, "the path must have no empty or dot segments")
	}
	switch p {
	case pathChat, pathCompletions:
		if c.r.Method != http.MethodPost {
			return c.methodNotAllowed(http.MethodPost)
		}
		return c.withBody(c.serveModel)
	case pathModels:
		if c.r.Method != http.MethodGet {
			return c.methodNotAllowed(http.MethodGet)
		}
		return c.withBody(c.serveModels)
	}
	service, rest, ok := c.index.Service(p)
	if !ok {
		return refusedf(http.StatusNotFound, CodeUnknownPath, "no model call or service has the path %s", p)
	}
	return c.withBody(func() *Refusal { return c.serveService(service, rest) })
}

// isCanonicalPath reports whether every server resolves the path in the same way.
// A path with dot segments could match a rule for idempotent calls here and,
// once the service has resolved it, reach a call that is not idempotent.
func isCanonicalPath(p string) bool {
	return p == path.Clean(p) || p == path.Clean(p)+"/"
}

func (c *call) methodNotAllowed(allowed string) *Refusal {
	c.w.Header().Set("Allow", allowed)
	return refusedf(http.StatusMethodNotAllowed, CodeInvalidRequest, "method %s is not served here, use %s", c.r.Method, allowed)
}

func (c *call) authenticate() *Refusal {
	key, found := strings.CutPrefix(c.r.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return refusedf(http.StatusUnauthorized, CodeInvalidKey, "an API key is needed in the header Authorization: Bearer KEY")
	}
	org, err := c.index.Authenticate(key)
	if err != nil {
		return refusedf(http.StatusUnauthorized, CodeInvalidKey, "the API key is not known")
	}
	c.org = org
	return nil
}

// setPriorityAndDeadline validates the caller's priority and sets the request's
// deadline, the caller's but at most RequestTimeout. The returned function
// releases the context made for it.
func (c *call) setPriorityAndDeadline(priority string, deadline time.Duration) (context.CancelFunc, *Refusal) {
	p, err := c.org.Priority(priority)
	switch {
	case errors.Is(err, catalog.ErrPriorityForbidden):
		return nil, refusedf(http.StatusForbidden, CodeNotPermitted, "the organisation may not ask for priority %s", priority)
	case err != nil:
		return nil, refusedf(http.StatusBadRequest, CodeInvalidRequest, "priority %q is unknown, expected interactive, standard or batch", priority)
	}
	c.priority = p
	limit := c.g.o.Limits.RequestTimeout
	if deadline > 0 && deadline < limit {
		limit, c.explicitDeadline = deadline, true
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

// placeRequest returns a PlaceRequest with the fields that all attempts share.
func (c *call) placeRequest(kind fleet.Kind) PlaceRequest {
	return PlaceRequest{Kind: kind, Organisation: c.org.ID, Priority: c.priority, Deadline: c.deadline}
}
