// Package httplog implements the log and the VM list of package ports over HTTP
// and JSON. docs/PLATFORM.md specifies the endpoints of the platform that it
// uses.
package httplog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/response"
)

// Paths below the platform's base address.
const (
	PathStreams   = "/v1/streams/"  // {stream}/records
	PathEndpoints = "/v1/endpoints" // GET: []fleet.Endpoint
	PathDaemons   = "/v1/daemons"   // GET: []ports.Daemon
	recordsSuffix = "/records"
)

// HeaderNotAppended is a header of error answers. Its value "true" means that
// the record was definitely not added.
const HeaderNotAppended = "Platform-Not-Appended"

// MaxAnswerBytes is the maximum size of an answer of the platform: a full page
// of records in base64.
const MaxAnswerBytes = 64 << 20

// DefaultTimeout is the timeout of a call if Options sets none.
const DefaultTimeout = 10 * time.Second

// AppendResult is the body of the answer to an append.
type AppendResult struct {
	Offset ports.Offset `json:"offset"`
}

// TruncatedBody is the body of the answer 410 to a read of expired records.
type TruncatedBody struct {
	First ports.Offset `json:"first"`
}

// Options configure a Client.
type Options struct {
	BaseURL string        // for example http://10.0.0.5:7400
	Token   string        // sent as a bearer token, if any
	Timeout time.Duration // of one call; 0 means DefaultTimeout
	Client  *http.Client  // nil means a client with the default transport and a limit for heads
}

// Client implements ports.Log and ports.VMList. It is safe for concurrent use.
type Client struct {
	baseURL string
	token   string
	timeout time.Duration
	http    *http.Client

	endpoints cachedList[fleet.Endpoint]
	daemons   cachedList[ports.Daemon]
}

// New returns a client of the platform at o.BaseURL. It fails if that is not a
// URL with a host.
func New(o Options) (*Client, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil || u.Host == "" {
		return nil, eris.Errorf("httplog: platform address %q is not a URL with a host", o.BaseURL)
	}
	c := &Client{baseURL: strings.TrimSuffix(o.BaseURL, "/"), token: o.Token, timeout: o.Timeout, http: o.Client}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	if c.http == nil {
		c.http = &http.Client{Transport: defaultTransport()}
	}
	return c, nil
}

// defaultTransport returns net/http's default transport with a limit for heads.
func defaultTransport() http.RoundTripper {
	shared, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return http.DefaultTransport // the program has replaced it
	}
	return response.NewTransport(shared.Clone(), response.MaxControlHeadBytes)
}

// Append implements ports.Log.
func (c *Client) Append(ctx context.Context, s ports.Stream, data []byte) (ports.Offset, error) {
	var a AppendResult
	err := c.call(ctx, http.MethodPost, c.recordsURL(s), data, &a)
	if err == nil {
		return a.Offset, nil
	}
	if notSent(err) {
		return 0, errors.Join(ports.ErrNotAppended, err)
	}
	return 0, errors.Join(ports.ErrUnavailable, err)
}

// notSent reports whether the append definitely had no effect: no connection
// was established, or the answer has HeaderNotAppended. After any other failure
// the append may have taken effect.
func notSent(err error) bool {
	var status *statusError
	if errors.As(err, &status) {
		return status.notAppended
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Read implements ports.Log.
func (c *Client) Read(ctx context.Context, s ports.Stream, from ports.Offset, limit int) (ports.Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(int64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	var p ports.Page
	err := c.call(ctx, http.MethodGet, c.recordsURL(s)+"?"+q.Encode(), nil, &p)
	if err == nil {
		return p, nil
	}
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusGone {
		return ports.Page{}, truncated(s, from, status.body)
	}
	return ports.Page{}, errors.Join(ports.ErrUnavailable, err)
}

func truncated(s ports.Stream, from ports.Offset, body []byte) error {
	var t TruncatedBody
	if err := json.Unmarshal(body, &t); err != nil || t.First <= from {
		return eris.Wrap(ports.ErrUnavailable, "httplog: answer 410 without the first offset")
	}
	return &ports.TruncatedError{Stream: s, From: from, First: t.First}
}

// Endpoints implements ports.VMList. Callers must not modify the list.
func (c *Client) Endpoints(ctx context.Context) ([]fleet.Endpoint, error) {
	return c.endpoints.fetch(ctx, c, PathEndpoints)
}

// Daemons implements ports.VMList. Callers must not modify the list.
func (c *Client) Daemons(ctx context.Context) ([]ports.Daemon, error) {
	return c.daemons.fetch(ctx, c, PathDaemons)
}

func (c *Client) recordsURL(s ports.Stream) string {
	return c.baseURL + PathStreams + url.PathEscape(string(s)) + recordsSuffix
}

// statusError is an answer with a status other than 200.
type statusError struct {
	code        int
	notAppended bool
	body        []byte
}

func (e *statusError) Error() string {
	return "httplog: platform answered with status " + strconv.Itoa(e.code)
}

func (c *Client) call(ctx context.Context, method, address string, body []byte, into any) error {
	_, err := c.callWithETag(ctx, method, address, body, "", into)
	return err
}

// callWithETag is like call, but sends the ETag of the cached answer, if any.
// It returns the ETag of the new answer.
func (c *Client) callWithETag(ctx context.Context, method, address string, body []byte, tag string, into any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return "", eris.Wrap(err, "httplog: create request")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", eris.Wrap(err, "httplog: call")
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.Header.Get("ETag"), decodeAnswer(resp, into)
}

func decodeAnswer(resp *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return eris.Wrap(err, "httplog: read answer")
	}
	if len(body) > MaxAnswerBytes {
		return eris.Wrapf(ports.ErrTooLong, "httplog: answer is longer than %d bytes", MaxAnswerBytes)
	}
	if resp.StatusCode != http.StatusOK {
		notAppended := resp.Header.Get(HeaderNotAppended) == "true"
		return &statusError{code: resp.StatusCode, notAppended: notAppended, body: body}
	}
	return eris.Wrap(json.Unmarshal(body, into), "httplog: answer is not the expected JSON")
}
