package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// Times and bounds of the handler.
const (
	// passTime is how much longer than an endpoint the handler waits at the end
	// of a request, so that the endpoint's own last word still passes.
	passTime = 60 * time.Millisecond
	// DefaultPatience bounds requests whose caller names no limit.
	DefaultPatience = 60 * time.Second
	// notYet is when to come back to a daemon that knows no configuration yet.
	notYet = 500 * time.Millisecond
	// elsewhere is when to come back if this daemon can't serve but others can.
	elsewhere = 50 * time.Millisecond
	// afterFailure is when to come back after attempts that did not run.
	afterFailure = 100 * time.Millisecond
	// defaultBodyBytes holds until a configuration names the bound.
	defaultBodyBytes = 4 << 20
	// bufferBytes is the longest plain answer that is read whole before it is
	// passed on, so that one that breaks off is never passed on in part.
	bufferBytes = 512 << 10
	// statusClientGone marks requests whose caller left, in logs and metrics.
	statusClientGone = 499
)

// Options are what a Handler needs.
type Options struct {
	Wire      Wire
	Client    *Client
	Placer    Placer
	Table     func() *routes.Table // nil result: none yet
	KeysFresh func() bool          // whether keys may be believed
	KeysAge   func() time.Duration
	Leaving   func() bool // whether callers should open new connections elsewhere
	// StopsAt is when the process ends, once the time is over in which callers may
	// still come to it unknowingly. Zero: it goes on.
	StopsAt func() time.Time
	Callers *Callers
	Limiter Limiter // nil: organisations have no rate limits
	// Quarantine is nil if requests are kept from endpoints by nothing.
	Quarantine quarantine.Gate
	Report     func(*Report)
}

// Report is what became of one request.
type Report struct {
	ID           string
	Fingerprint  quarantine.Fingerprint // the zero value: the request was not read
	Route        string
	Kind         routes.Kind
	Organisation string
	Status       int
	Code         string // why the router itself answered; empty: the endpoint did
	Attempts     []AttemptReport
	Arrived      time.Time
	Duration     time.Duration
	FirstEvent   time.Duration // 0: none
	RetryAfter   time.Duration
	TableVersion int64
	KeysAge      time.Duration
	Deadline     time.Duration
	Target       time.Duration // objective until the first event; 0: none
	Tokens       int           // of the prompt
	OutputTokens int           // that the caller asks for
	Refused      *RefusedError // by the placer; nil: it was not
	Quota        quota.Verdict // the zero value: the organisation has no rate limit
}

// AttemptReport is one attempt of a request.
type AttemptReport struct {
	Endpoint string
	Reason   string
	Version  int64
	Wait     time.Duration // expected
	LoadAge  time.Duration
	Cached   int
	Prefix   string      // shared part that decided the place
	Fetch    string      // IP:port it was fetched from
	Saved    bool        // it was sent to the store
	Load     *fleet.Load // that the answer told; nil: none
	Limit    *float64    // that the answer named; nil: none
	Result   string
	Lost     string        // how the connection ended; empty: it did not
	After    time.Duration // from the request's arrival to the attempt's end
}

// Handler serves callers.
type Handler struct{ o Options }

// NewHandler returns a handler with the given options.
func NewHandler(o Options) *Handler { return &Handler{o: o} }

// call is one request on its way.
type call struct {
	*Handler
	w      http.ResponseWriter
	r      *http.Request
	rc     *http.ResponseController
	ctx    context.Context // ends when the caller leaves or the time is over
	work   Work
	in     Inbound
	out    Outgoing
	retry  retry.Request
	report Report

	begun  bool // the answer's header was sent
	events events
	answer *whole // an endpoint's own failure, passed on if nothing better comes
	quota  charge
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.o.Callers.begin(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	c := &call{Handler: h, w: w, r: r, rc: http.NewResponseController(w), ctx: r.Context()}
	c.work.Arrived = time.Now()
	c.in = h.o.Wire.Inbound(r.Header)
	c.events.last = c.in.LastEvent
	c.report.ID, c.report.Arrived = c.in.AttemptID, c.work.Arrived
	defer func() {
		c.report.Duration = time.Since(c.work.Arrived)
		h.o.Report(&c.report)
	}()
	c.serve()
}

func (c *call) serve() {
	t := c.o.Table()
	if t == nil {
		c.refuse(http.StatusServiceUnavailable, "no_configuration", notYet)
		return
	}
	c.report.TableVersion = t.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route := t.Match(c.r.Host, path)
	if route == nil {
		c.refuse(http.StatusNotFound, "no_route", 0)
		return
	}
	c.report.Route, c.report.Kind = route.Name, route.Kind
	c.work.Table, c.work.Route = t, route
	if !c.authenticate() || !c.withinLimit() {
		return
	}
	defer c.settle()
	if !c.readBody() {
		return
	}
	c.setDeadline()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.work.Deadline.Add(passTime))
	defer cancel()
	c.ctx = ctx
	c.work.In = &c.in
	c.report.Tokens, c.report.OutputTokens = c.in.PromptTokens, c.in.OutputTokens
	c.work.Service = t.Services[route.SelectBackend(hash.Text(c.in.AttemptID))]
	if c.work.Service == nil {
		c.refuse(http.StatusServiceUnavailable, "no_service", afterFailure)
		return
	}
	c.retry = retry.Request{
		Idempotent: route.Repeatable(), Resumable: route.Resumable,
		Deadline: c.work.Deadline, MaxEndpoints: route.MaxAttempts,
	}
	if c.outlivesProcess() {
		c.refuse(http.StatusServiceUnavailable, "stopping", elsewhere)
		return
	}
	c.prepare()
	c.identify()
	if c.quarantined() {
		return
	}
	c.o.Placer.First()
	c.attempts()
}

// outlivesProcess tells whether the request may take longer than the process has.
//
// A connection that served a stream while the process was told to stop can bring
// another request seconds later. If that one were taken, it would be cut with the
// process, and its caller could not tell whether it ran. Refused, it goes
// elsewhere at once.
func (c *call) outlivesProcess() bool {
	end := c.o.StopsAt()
	return !end.IsZero() && c.work.Deadline.After(end)
}

// authenticate finds the organisation of the key. It answers and returns false
// if there is none.
func (c *call) authenticate() bool {
	t, route := c.work.Table, c.work.Route
	if route.Public || !t.KeysRequired {
		return true
	}
	c.report.KeysAge = c.o.KeysAge()
	if !c.o.KeysFresh() {
		// The key may have been taken away meanwhile. Other daemons may know.
		c.w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "keys_not_confirmed", elsewhere)
		return false
	}
	org := t.Organisations[c.in.APIKey]
	if org == nil {
		c.refuse(http.StatusUnauthorized, "key_unknown", 0)
		return false
	}
	c.work.Organisation = org
	c.report.Organisation = org.Name
	return true
}

// readBody takes the whole request in before it is placed, so that it can be
// sent again.
func (c *call) readBody() bool {
	limit := c.bodyLimit()
	if c.r.ContentLength > limit {
		c.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case err != nil && c.r.Context().Err() != nil:
		c.left()
		return false
	case err != nil:
		c.refuse(http.StatusBadRequest, "body_unreadable", 0)
		return false
	}
	c.out.Body = body
	c.out.HasBody = c.r.ContentLength >= 0 && c.r.Header.Get("Content-Length") != "" || len(body) > 0
	return true
}

// bodyLimit is the longest body in bytes.
func (c *call) bodyLimit() int64 {
	if limit := c.work.Table.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

func (c *call) setDeadline() {
	limit := c.work.Route.Timeout
	if limit <= 0 {
		limit = DefaultPatience
	}
	if c.in.Patience > 0 && c.in.Patience < limit {
		limit = c.in.Patience
	}
	c.work.Deadline = c.work.Arrived.Add(limit)
	c.report.Deadline, c.report.Target = limit, c.work.Route.TargetLatency
}

// prepare makes the request that all attempts send, but for the headers that
// differ.
func (c *call) prepare() {
	header := c.r.Header.Clone()
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	c.out.AttemptID, c.out.Method, c.out.URI = c.in.AttemptID, c.r.Method, c.r.RequestURI
	c.out.Host, c.out.Header = c.r.Host, header
}

// identify makes repeats of the request known under any id.
func (c *call) identify() {
	c.work.Fingerprint = quarantine.FingerprintOf(c.report.Organisation, c.out.Method, c.out.Host, c.out.URI, c.out.Body)
	c.report.Fingerprint = c.work.Fingerprint
}

// attempts sends the request until it has an answer or is given up.
func (c *call) attempts() {
	for ; ; c.work.Attempt++ {
		if !c.mayRepeat() {
			c.giveUp(retry.Decision{Code: CodeQuarantined})
			return
		}
		p, err := c.o.Placer.Place(c.ctx, &c.work)
		if err != nil {
			c.unplaced(err)
			return
		}
		c.chargeAgain()
		done, failed := c.attempt(&p)
		if done {
			return
		}
		if c.r.Context().Err() != nil {
			c.left()
			return
		}
		d := c.o.Placer.Failed(&c.retry, failed)
		if !d.Retry {
			c.giveUp(d)
			return
		}
		c.work.Avoid = c.retry.Excluded()
		c.work.Resuming = c.begun
		if !c.pause(d.Delay) {
			return
		}
	}
}

func (c *call) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		c.giveUp(retry.Decision{Code: retry.CodeDeadline, Outcome: retry.OutcomeUnknown})
		return false
	}
}

// unplaced gives the final answer of a request that no endpoint takes.
func (c *call) unplaced(err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		refused = &RefusedError{Code: err.Error(), RetryAfter: afterFailure}
	}
	c.report.Refused = refused
	switch {
	case c.r.Context().Err() != nil:
		c.left()
	case c.begun:
		c.report.Code = refused.Code
		c.abort()
	case c.answer != nil:
		c.pass(c.answer)
	case c.mayHaveRun():
		c.refuse(http.StatusBadGateway, refused.Code, 0)
	default:
		c.refuse(http.StatusServiceUnavailable, refused.Code, refused.RetryAfter)
	}
}

func (c *call) mayHaveRun() bool { return c.retry.MayHaveRun() }

// giveUp gives the final answer after a failed attempt.
func (c *call) giveUp(d retry.Decision) {
	switch {
	case c.r.Context().Err() != nil:
		c.left()
	case c.begun:
		c.report.Code = string(d.Code)
		if time.Now().After(c.work.Deadline) {
			c.report.Code = string(retry.CodeDeadline)
		}
		c.abort()
	case c.answer != nil:
		c.pass(c.answer)
	case c.mayHaveRun() && time.Now().After(c.work.Deadline):
		c.refuse(http.StatusGatewayTimeout, string(retry.CodeDeadline), 0)
	case c.mayHaveRun():
		c.refuse(http.StatusBadGateway, string(d.Code), 0)
	default:
		c.refuse(http.StatusServiceUnavailable, string(d.Code), afterFailure)
	}
}

// refuse answers in the router's own name.
func (c *call) refuse(status int, code string, retryAfter time.Duration) {
	c.report.Status, c.report.Code, c.report.RetryAfter = status, code, retryAfter
	h := c.w.Header()
	c.o.Wire.Refusal(h, c.in.AttemptID, retryAfter)
	c.closeIfLeaving()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, code+"\n")
}

func (c *call) closeIfLeaving() {
	if c.o.Leaving() {
		c.w.Header().Set("Connection", "close")
	}
}

// left notes that nobody waits any more.
func (c *call) left() {
	c.report.Status, c.report.Code = statusClientGone, string(retry.CodeCallerLeft)
	panic(http.ErrAbortHandler)
}

// abort ends an answer that has begun so that it can't be taken for a whole
// one: the connection breaks without the last chunk.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// pass sends an answer that was read whole.
func (c *call) pass(a *whole) {
	c.report.Status = a.status
	copyHeader(c.w.Header(), a.header)
	c.closeIfLeaving()
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}

// copyHeader copies what concerns the answer and not the connection.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	if dst.Get("Content-Type") == "" {
		dst["Content-Type"] = nil // net/http would guess one
	}
	if dst.Get("Date") == "" {
		dst["Date"] = nil
	}
}
