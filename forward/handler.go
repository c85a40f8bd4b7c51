package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/merlindock/merlindock/bytebudget"
	"github.com/merlindock/merlindock/delivery"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/streamorigin"
)

// Timeouts, retry times and limits of the handler.
const (
	// answerGrace is how long the handler waits beyond the deadline that it gives
	// to the endpoint, so that the endpoint's own timeout answer is still relayed.
	answerGrace = 60 * time.Millisecond
	// lastAnswerReserve is the time from the last moment at which a request may be answered to
	// the end of the process, in which its answer is written.
	lastAnswerReserve = 100 * time.Millisecond
	// DefaultTimeout bounds requests on routes without a timeout.
	DefaultTimeout = 60 * time.Second
	// retryAfterNoConfig is the Retry-After of a daemon without a configuration.
	retryAfterNoConfig = 500 * time.Millisecond
	// retryAfterOtherDaemon is the Retry-After if only this daemon can't serve.
	retryAfterOtherDaemon = 50 * time.Millisecond
	// retryAfterFailure is the Retry-After of requests that no endpoint ran.
	retryAfterFailure = 100 * time.Millisecond
	// defaultBodyBytes bounds request bodies if the configuration does not.
	defaultBodyBytes = 4 << 20
	// maxBufferedAnswer is the longest non-stream answer that is read completely
	// before it is relayed, so that a truncated answer never reaches the caller.
	maxBufferedAnswer = 512 << 10
	// answerTimeout is how long a caller may take at least to read an answer that is ready.
	answerTimeout = time.Second
	// codeConnectionClosed is the code of a request whose connection was closed for another.
	codeConnectionClosed = "connection_closed"
	// statusCallerLeft is logged and counted for requests whose caller
	// disconnected. It is never sent.
	statusCallerLeft = 499
)

// Options configure a Handler.
type Options struct {
	Codec     HeaderCodec
	Client    *Client
	Placer    Placer
	Table     func() *routes.Table // nil result: none yet
	KeysFresh func() bool          // whether API keys were confirmed recently enough
	KeysAge   func() time.Duration
	Draining  func() bool // whether callers should open new connections elsewhere
	// ShutdownDeadline returns when the process ends. It is zero until the process
	// stops and load balancers have had the time to remove it.
	ShutdownDeadline func() time.Time
	Budget           *bytebudget.Budget // for the bodies of requests; nil: they are not bounded together
	// Origins knows where streams began; nil: callers take them up at any endpoint.
	Origins Origins
	Limiter Limiter // nil: organisations have no rate limits
	// Quarantine refuses requests whose endpoints crashed; nil: none are refused.
	Quarantine quarantine.Gate
	// Stalls moves stalled streams to other endpoints; nil: they wait until their deadline.
	Stalls *StallControl
	Report func(*Report)
}

// Report describes a request and its result, for logs and metrics.
type Report struct {
	ID           string
	Fingerprint  quarantine.Fingerprint // the zero value: the request was not read
	Route        string
	Kind         routes.Kind
	Organisation string
	Status       int
	Code         string // error code of the router's own answer; empty: the endpoint answered
	Attempts     []AttemptReport
	Arrived      time.Time
	Duration     time.Duration
	SentBytes    int64         // of the answer's body or events that were written to the caller
	Cut          CutCause      // of an answer that the caller got a part of; empty: it got all or nothing
	EndMark      EndMark       // that tells the caller the end of an answer which is passed on as it comes; empty: none is
	FirstEvent   time.Duration // from the arrival; 0: none
	RetryAfter   time.Duration
	TableVersion int64
	KeysAge      time.Duration
	Deadline     time.Duration
	Target       time.Duration        // latency objective for the first event; 0: none
	Tokens       int                  // of the prompt
	Segments     []prefix.Segment     // of the prompt
	OutputTokens int                  // maximum requested by the caller
	Continues    bool                 // the caller takes up a stream
	Resumes      string               // attempt that brought the stream's first event; empty: not known
	LastEvent    int64                // that the caller has received; NoEvent: none given
	Origin       *streamorigin.Answer // of the stream that the caller takes up; nil: it was not looked for
	Refused      *RefusedError        // by the placer; nil: not refused
	Hold         *quarantine.Hold     // by which the request was refused; nil: none
	HeldSegment  string               // ID of the segment with the hold; empty: the request itself
	Quota        quota.Verdict        // the zero value: the organisation has no rate limit
}

// AttemptReport describes one attempt of a request.
type AttemptReport struct {
	Endpoint string
	Build    string // software version; empty: unknown
	Reason   string
	Version  int64
	Wait     time.Duration // expected until the first token
	LoadAge  time.Duration
	Cached   int
	Prefix   string        // shared segment that decided the placement
	Fetch    string        // IP:port that the endpoint fetched the prefix from
	Saved    bool          // whether the endpoint sent the prefix to the store
	Load     *fleet.Load   // reported with the answer; nil: none
	Limit    *float64      // reported with the answer; nil: none
	Leaving  bool          // the answer announced the endpoint's shutdown
	Backoff  time.Duration // that the endpoint asked for; 0: none
	Via      string        // daemon that relayed the connection; empty: none
	Received int64         // bytes that the endpoint sent for it
	HeadRead bool          // the head of its answer was read
	EndMark  EndMark       // of its answer; empty: the head was not read
	Result   string
	Lost     string         // how the connection was lost; empty: it was not
	Bound    response.Bound // limit that the answer exceeded; empty: none
	Rule     response.Rule  // rule that a malformed answer breaks; empty: none
	After    time.Duration  // from the request's arrival to the attempt's end
	Stall    *StallReport   // last stall of the stream; nil: none
}

// Handler is the http.Handler that forwards the requests of callers.
type Handler struct{ o Options }

// NewHandler returns a handler with the given options.
func NewHandler(o Options) *Handler { return &Handler{o: o} }

// call is the state of one request.
type call struct {
	*Handler
	w          http.ResponseWriter
	r          *http.Request
	rc         *http.ResponseController
	ctx        context.Context // ends when the caller disconnects or after the deadline
	req        PlacementRequest
	in         RequestInfo
	out        EndpointRequest
	retryState retry.Request
	report     Report

	body      ingress.Body
	bodyRead  bool // to its end
	sent      delivery.Sent
	writeErr  error  // of a write to the caller
	build     string // software version of the endpoint that answers
	stream    streamorigin.ID
	events    eventSplitter
	answer    *bufferedAnswer  // a 5xx answer of an endpoint, sent if no other attempt succeeds
	keptBytes response.Holding // of answer
	charge    quotaCharge
	watch     *stallWatch // of the current attempt; nil: stalls are not observed
	move      *streamMove // of a stalled stream; nil: none
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !ingress.ConnOf(r.Context()).BeginRequest() {
		panic(http.ErrAbortHandler)
	}
	c := &call{Handler: h, w: w, r: r, rc: http.NewResponseController(w), ctx: r.Context()}
	c.req.Arrived = time.Now()
	c.in = h.o.Codec.DecodeRequest(r.Header)
	c.events.last = c.in.LastEvent
	c.report.ID, c.report.Arrived = c.in.AttemptID, c.req.Arrived
	c.report.Continues, c.report.Resumes, c.report.LastEvent = c.in.Continues, c.in.Resumes, c.in.LastEvent
	defer func() {
		c.keptBytes.Release()
		c.body.Release()
		c.report.Duration, c.report.SentBytes = time.Since(c.req.Arrived), c.sent.Bytes()
		h.o.Report(&c.report)
	}()
	c.serve()
}

func (c *call) serve() {
	t := c.o.Table()
	if t == nil {
		c.refuse(http.StatusServiceUnavailable, "no_configuration", retryAfterNoConfig)
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
	c.req.Table, c.req.Route = t, route
	if !c.authenticate() || !c.withinRateLimit() {
		return
	}
	defer c.refundNotRun()
	c.setDeadline()
	if !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.req.Deadline.Add(answerGrace))
	defer cancel()
	c.ctx = ctx
	c.req.In = &c.in
	c.report.Tokens, c.report.OutputTokens, c.report.Segments = c.in.PromptTokens, c.in.OutputTokens, c.in.Parts
	c.setStream()
	service, ok := c.findOrigin(route.SelectBackend(hash.Text(c.firstAttempt())))
	if !ok {
		return
	}
	c.req.Service = t.Services[service]
	if c.req.Service == nil {
		c.refuse(http.StatusServiceUnavailable, "no_service", retryAfterFailure)
		return
	}
	c.retryState = retry.Request{
		Idempotent: route.Repeatable(), Resumable: route.Resumable,
		Deadline: c.req.Deadline, MaxEndpoints: route.MaxAttempts,
	}
	if c.exceedsShutdown() {
		c.refuse(http.StatusServiceUnavailable, "stopping", retryAfterOtherDaemon)
		return
	}
	c.prepare()
	c.setIdentity()
	if c.refuseHeld() {
		return
	}
	c.o.Placer.CountFirstAttempt()
	c.attempts()
}

// exceedsShutdown reports whether the request may be answered behind the end of
// the process, or too shortly before.
//
// A connection that was serving a stream when the shutdown began can bring
// another request seconds later. If it were accepted, it would be interrupted by
// the end of the process, and its caller could not know whether it ran. Refused,
// it can be sent to another daemon at once.
func (c *call) exceedsShutdown() bool {
	end := c.o.ShutdownDeadline()
	return !end.IsZero() && c.req.Deadline.Add(answerGrace+lastAnswerReserve).After(end)
}

// authenticate sets the organisation that the API key belongs to. If there is
// none, it refuses the request and returns false.
func (c *call) authenticate() bool {
	t, route := c.req.Table, c.req.Route
	if route.Public || !t.KeysRequired {
		return true
	}
	c.report.KeysAge = c.o.KeysAge()
	if !c.o.KeysFresh() {
		// The key may have been revoked meanwhile. Another daemon may have a
		// current list.
		c.w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "keys_not_confirmed", retryAfterOtherDaemon)
		return false
	}
	org := t.Organisations[c.in.APIKey]
	if org == nil {
		c.refuse(http.StatusUnauthorized, "key_unknown", 0)
		return false
	}
	c.req.Organisation = org
	c.report.Organisation = org.Name
	return true
}

// readBody reads the whole body before the request is placed, so that it can be
// sent again. If that fails, it refuses the request and returns false.
func (c *call) readBody() bool {
	owner := ""
	if c.req.Organisation != nil {
		owner = c.req.Organisation.Name
	}
	body, err := ingress.ReadBody(c.o.Budget, c.w, c.r, ingress.BodyOptions{Limit: c.bodyLimit(), Deadline: c.req.Deadline, Owner: owner})
	if err != nil {
		c.refuseBody(err)
		return false
	}
	c.body, c.bodyRead = body, true
	c.out.Body = body.Bytes
	c.out.HasBody = c.r.ContentLength >= 0 && c.r.Header.Get("Content-Length") != "" || len(body.Bytes) > 0
	return true
}

// refuseBody refuses a request whose body was not read.
func (c *call) refuseBody(err error) {
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, ingress.ErrTimeout):
		c.w.Header().Set("Connection", "close")
		c.refuse(http.StatusRequestTimeout, "body_timeout", 0)
	case errors.Is(err, ingress.ErrNoRoom):
		c.w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "no_room_for_body", retryAfterOtherDaemon)
	case errors.Is(err, ingress.ErrStopping):
		c.w.Header().Set("Connection", "close")
		c.refuse(http.StatusServiceUnavailable, "stopping", retryAfterOtherDaemon)
	case c.r.Context().Err() != nil || ingress.ConnOf(c.r.Context()).Closed():
		c.callerLeft()
	default:
		c.refuse(http.StatusBadRequest, "body_unreadable", 0)
	}
}

// bodyLimit returns the largest accepted body in bytes.
func (c *call) bodyLimit() int64 {
	if t := c.req.Table; t != nil && t.Limits.BodyBytes > 0 {
		return t.Limits.BodyBytes
	}
	return defaultBodyBytes
}

func (c *call) setDeadline() {
	limit := timeLimit(c.req.Route)
	if c.in.Patience > 0 && c.in.Patience < limit {
		limit = c.in.Patience
	}
	c.req.Deadline = c.req.Arrived.Add(limit)
	c.report.Deadline, c.report.Target = limit, c.req.Route.TargetLatency
	// Callers that stop reading are cut off by then, whatever is written to them.
	_ = c.rc.SetWriteDeadline(c.req.Deadline.Add(answerGrace))
}

// timeLimit returns how long requests of a route last at most.
func timeLimit(r *routes.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return DefaultTimeout
}

// prepare sets the request that all attempts send, apart from the headers set by
// the HeaderCodec. Hop-by-hop headers are removed.
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

// attempts repeats attempts until the caller has an answer or no retry is allowed.
func (c *call) attempts() {
	defer c.cancelMove()
	for ; ; c.req.Attempt++ {
		if !c.mayRetry() {
			if c.refuseHeld() {
				return
			}
			c.giveUp(retry.Decision{Code: CodeQuarantined})
			return
		}
		p, err := c.place()
		if err != nil {
			c.answerUnplaced(err)
			return
		}
		if c.heldSincePlacement(&p) {
			return
		}
		c.chargeRetry()
		done, failed := c.attempt(&p)
		if done {
			return
		}
		if c.r.Context().Err() != nil {
			c.callerLeft()
			return
		}
		d := c.decideRetry(failed)
		if !d.Retry {
			c.giveUp(d)
			return
		}
		c.req.Excluded = c.retryState.Excluded()
		c.req.Resuming = c.req.Resuming || !c.sent.Nothing()
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

// answerUnplaced sends the final answer to a request that could not be placed.
func (c *call) answerUnplaced(err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		refused = &RefusedError{Code: err.Error(), RetryAfter: retryAfterFailure}
	}
	c.report.Refused = refused
	switch {
	case c.r.Context().Err() != nil:
		c.callerLeft()
	case !c.sent.Nothing():
		c.report.Code = refused.Code
		c.abort()
	case c.answer != nil:
		c.sendBuffered(c.answer)
	case c.mayHaveRun():
		c.refuse(http.StatusBadGateway, refused.Code, 0)
	default:
		c.refuse(http.StatusServiceUnavailable, refused.Code, refused.RetryAfter)
	}
}

func (c *call) mayHaveRun() bool { return c.retryState.MayHaveRun() }

// giveUp sends the final answer after an attempt that is not retried.
func (c *call) giveUp(d retry.Decision) {
	switch {
	case c.r.Context().Err() != nil:
		c.callerLeft()
	case !c.sent.Nothing():
		c.report.Code = string(d.Code)
		if time.Now().After(c.req.Deadline) {
			c.report.Code = string(retry.CodeDeadline)
		}
		c.abort()
	case c.answer != nil:
		c.sendBuffered(c.answer)
	case c.mayHaveRun() && time.Now().After(c.req.Deadline):
		c.refuse(http.StatusGatewayTimeout, string(retry.CodeDeadline), 0)
	case c.mayHaveRun():
		c.refuse(http.StatusBadGateway, string(d.Code), 0)
	default:
		c.refuse(http.StatusServiceUnavailable, string(d.Code), retryAfterFailure)
	}
}
