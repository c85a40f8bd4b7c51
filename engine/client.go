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
)

// Limits of what one endpoint may make a daemon hold or wait for.
const (
	DefaultMaxHeaderBytes  = 32 << 10
	DefaultMaxEventBytes   = 256 << 10
	DefaultMaxAnswerBytes  = 16 << 20
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultHeaderTimeout   = 2 * time.Minute
	DefaultStallTimeout    = 30 * time.Second
	DefaultIdlePerEndpoint = 256
	DefaultIdleTimeout     = 90 * time.Second

	connBufferBytes = 1 << 10 // of each connection, each way; thousands are open
)

// Options are what a Client needs. Zero values take the defaults.
type Options struct {
	// DialContext opens connections; net.Dialer's when nil.
	DialContext     func(ctx context.Context, network, address string) (net.Conn, error)
	MaxHeaderBytes  int64         // of an answer
	MaxEventBytes   int           // of one event of a stream
	MaxAnswerBytes  int64         // of an answer that is read whole
	DialTimeout     time.Duration // until a connection stands
	HeaderTimeout   time.Duration // until the header of the answer
	StallTimeout    time.Duration // between two events of a stream
	IdlePerEndpoint int           // idle connections kept to one endpoint
}

// Client sends attempts to endpoints. It is safe for concurrent use.
type Client struct {
	options Options
	reusing *http.Transport // keeps idle connections
	once    *http.Transport // a fresh connection for each call
}

// New returns a client with the given options.
func New(o Options) *Client {
	o = o.withDefaults()
	c := &Client{options: o, reusing: newTransport(&o), once: newTransport(&o)}
	// A call that may not be repeated gets a fresh connection: on an idle one
	// the endpoint may have hung up already, and the daemon could not tell that
	// from an endpoint that took the call and died, so that the caller would be
	// told "outcome unknown" for nothing.
	c.once.DisableKeepAlives = true
	return c
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
		DisableCompression:     true,
		MaxIdleConns:           0, // bounded per endpoint
		MaxIdleConnsPerHost:    o.IdlePerEndpoint,
		IdleConnTimeout:        DefaultIdleTimeout,
		ResponseHeaderTimeout:  o.HeaderTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
}

// CloseIdle closes the connections that no attempt uses.
func (c *Client) CloseIdle() {
	c.reusing.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// Attempt is one sending of a request to one endpoint.
type Attempt struct {
	ID       string // unique; echoed in the answer
	Endpoint fleet.EndpointID
	Address  string // IP:port
	Method   string
	Path     string // escaped path with the query
	Header   http.Header
	Body     []byte

	Organisation  contract.OrganisationID
	WeightVersion string // empty for a plain service
	Adapter       string
	Priority      contract.Priority
	Deadline      time.Time // zero: none
	Resume        bool
	ResumeFrom    int64  // index of the last token the caller has, with Resume
	ImportFrom    string // KV store to import the prefix from; empty: none
	Prefix        string // names of the prompt's levels, see prefix.Format; empty: none
	NonIdempotent bool   // may not be repeated
}

// Send sends the attempt and returns the answer once its header is there. The
// caller must close the answer. An error is always an *Error; its class says
// whether the endpoint may have run the request. The context bounds the
// answer's body as well.
func (c *Client) Send(ctx context.Context, a *Attempt) (*Answer, error) {
	var connected atomic.Bool
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req := a.request(httptrace.WithClientTrace(ctx, trace))
	transport := c.reusing
	if a.NonIdempotent {
		transport = c.once
	}
	resp, err := transport.RoundTrip(req) //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		cancel(err)
		// A request that was given a connection may have left through it,
		// wholly or in part; only one that never got any has surely not.
		class := NotSent
		if connected.Load() {
			class = OutcomeUnknown
		}
		return nil, &Error{Class: class, Endpoint: string(a.Endpoint), Cause: err}
	}
	return c.accept(ctx, cancel, a, resp)
}

// accept checks that the answer belongs to the attempt before anyone sees it.
func (c *Client) accept(ctx context.Context, cancel context.CancelCauseFunc, a *Attempt, resp *http.Response) (*Answer, error) {
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
	if cause := ans.check(a); cause != nil {
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
		Body:          &onceBody{r: *bytes.NewReader(a.Body)},
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

// onceBody is a request body that net/http cannot send twice.
//
// http.Transport silently sends a request again when an idle connection breaks
// after the request was written, if the method is GET, HEAD, OPTIONS or TRACE
// or the header has an Idempotency-Key, and the body is absent or can be had
// anew through GetBody. A booking would then run twice, and nobody would see
// more than one request leave the daemon. A body that is neither absent nor
// obtainable anew, even when it is empty, rules that out.
type onceBody struct{ r bytes.Reader }

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }
