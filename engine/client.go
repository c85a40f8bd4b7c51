package engine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/response"
)

// Limits on the memory and time that one endpoint may occupy at a daemon.
const (
	DefaultMaxHeaderBytes  = response.MaxHeadBytes
	DefaultMaxEventBytes   = 256 << 10
	DefaultMaxAnswerBytes  = 16 << 20
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultHeaderTimeout   = 2 * time.Minute
	DefaultStallTimeout    = 30 * time.Second
	DefaultIdlePerEndpoint = 256
	DefaultIdleTimeout     = 90 * time.Second

	connBufferBytes = 1 << 10 // per connection and direction; thousands are open
)

// Options configures a Client. Zero values mean the defaults.
type Options struct {
	// DialContext opens connections. If nil, that of net.Dialer is used.
	DialContext     func(ctx context.Context, network, address string) (net.Conn, error)
	MaxHeaderBytes  int64         // of an answer
	MaxEventBytes   int           // of one event of a stream
	MaxAnswerBytes  int64         // of an answer read with ReadAll
	DialTimeout     time.Duration // for establishing a connection
	HeaderTimeout   time.Duration // from sending the request to the answer's header
	StallTimeout    time.Duration // between two events of a stream or two reads of a body
	IdlePerEndpoint int           // idle connections kept per endpoint
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	options   Options
	keepAlive *response.Transport // keeps idle connections
	singleUse *response.Transport // opens a new connection for each request
}

// New returns a Client with the given options.
func New(o Options) *Client {
	o = o.withDefaults()
	singleUse := newTransport(&o)
	// A non-idempotent request gets a new connection. An idle connection may
	// already have been closed by the endpoint. The daemon cannot distinguish that
	// from an endpoint that received the request and crashed, and the caller would
	// get "outcome unknown" without need.
	singleUse.DisableKeepAlives = true
	return &Client{
		options:   o,
		keepAlive: response.NewTransport(newTransport(&o), o.MaxHeaderBytes), singleUse: response.NewTransport(singleUse, o.MaxHeaderBytes),
	}
}

func (o Options) withDefaults() Options {
	if o.DialContext == nil {
		o.DialContext = (&net.Dialer{}).DialContext
	}
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.MaxEventBytes, DefaultMaxEventBytes)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	setDefault(&o.IdlePerEndpoint, DefaultIdlePerEndpoint)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func newTransport(o *Options) *http.Transport {
	dial, timeout := o.DialContext, o.DialTimeout
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		DisableCompression:    true,
		MaxIdleConns:          0, // limited per endpoint only
		MaxIdleConnsPerHost:   o.IdlePerEndpoint,
		IdleConnTimeout:       DefaultIdleTimeout,
		ResponseHeaderTimeout: o.HeaderTimeout,
		ReadBufferSize:        connBufferBytes,
		WriteBufferSize:       connBufferBytes,
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Attempt is a request to be sent to one endpoint.
type Attempt struct {
	ID       string // unique ID, echoed in the answer
	Endpoint fleet.EndpointID
	Address  string // IP:port
	Method   string
	Path     string // escaped path and query
	Header   http.Header
	Body     []byte

	Organisation  contract.OrganisationID
	WeightVersion string // empty for a plain service
	Adapter       string
	Priority      contract.Priority
	Deadline      time.Time // zero: none
	Resume        bool
	ResumeFrom    int64  // with Resume: index of the last token delivered to the caller
	ImportFrom    string // KV store to import the prefix from; empty: none
	Prefix        string // keys of the prompt's levels, see prefix.Format; empty: none
	NonIdempotent bool   // must not be repeated; sent on a new connection
}

// Send sends the attempt and returns the answer as soon as its header has arrived.
// The caller must close the answer. Errors are of type *Error; their class states
// whether the endpoint may have run the request. The context also applies to
// reading the answer's body.
func (c *Client) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	var connected atomic.Bool
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req := a.request(httptrace.WithClientTrace(ctx, trace))
	transport := c.keepAlive
	if a.NonIdempotent {
		transport = c.singleUse
	}
	resp, err := transport.RoundTrip(req) //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		cancel(err)
		// Once a connection was obtained, any part of the request may have been
		// sent. Only without one it certainly was not.
		class := NotSent
		if connected.Load() {
			class = OutcomeUnknown
		}
		return nil, &Error{Class: class, Endpoint: string(a.Endpoint), Cause: err}
	}
	return c.newAnswer(ctx, cancel, a, resp)
}

// newAnswer returns the Answer for a response, or an error if it does not belong to
// the attempt.
func (c *Client) newAnswer(ctx context.Context, cancel context.CancelCauseFunc, a *Attempt, resp *http.Response) (*Answer, error) {
	ans := &Answer{
		Status:   resp.StatusCode,
		Header:   resp.Header,
		Meta:     readMetadata(resp.Header),
		client:   c,
		endpoint: a.Endpoint,
		body:     resp.Body,
		length:   resp.ContentLength,
		ctx:      ctx,
		cancel:   cancel,
	}
	if cause := ans.validate(a); cause != nil {
		ans.Close()
		return nil, &Error{Class: OutcomeUnknown, Endpoint: string(a.Endpoint), Status: ans.Status, Cause: cause}
	}
	return ans, nil
}

func (a *Attempt) request(ctx context.Context) *http.Request {
	req := &http.Request{
		Method:        a.Method,
		URL:           a.url(),
		Host:          a.Address,
		Header:        a.header(),
		Body:          &unrepeatableBody{r: *bytes.NewReader(a.Body)},
		ContentLength: int64(len(a.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return req.WithContext(ctx)
}

func (a *Attempt) url() *url.URL {
	u, err := url.ParseRequestURI(a.Path)
	if err != nil {
		u = &url.URL{Path: a.Path}
	}
	u.Scheme, u.Host = "http", a.Address
	return u
}

func (a *Attempt) header() http.Header {
	h := a.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	set := func(name, value string) {
		if value == "" {
			h.Del(name)
			return
		}
		h.Set(name, value)
	}
	set(HeaderAttempt, a.ID)
	set(HeaderOrganisation, string(a.Organisation))
	set(HeaderWeightVersion, a.WeightVersion)
	set(HeaderAdapter, a.Adapter)
	set(HeaderPriority, a.Priority.String())
	set(HeaderImportFrom, a.ImportFrom)
	set(HeaderPrefix, a.Prefix)
	set(HeaderDeadline, a.deadline())
	resume := ""
	if a.Resume {
		resume = strconv.FormatInt(a.ResumeFrom, 10)
	}
	set(HeaderResumeFrom, resume)
	return h
}

func (a *Attempt) deadline() string {
	if a.Deadline.IsZero() {
		return ""
	}
	left := max(time.Until(a.Deadline).Milliseconds(), 0)
	return strconv.FormatInt(left, 10)
}

// unrepeatableBody is a request body that prevents net/http from sending the request
// twice.
//
// http.Transport repeats a request without notice when a reused connection breaks
// after the request was written, if the method is GET, HEAD, OPTIONS or TRACE or the
// header has an Idempotency-Key, and the body is absent or GetBody can provide it
// again. A call with side effects would then run twice although the daemon sent it
// once. A body that is present, even if empty, without GetBody rules this out.
type unrepeatableBody struct{ r bytes.Reader }

// Read implements io.Reader.
func (b *unrepeatableBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer.
func (b *unrepeatableBody) Close() error { return nil }
