// Package httplog reaches the platform's log and its list of VMs over
// HTTP/JSON. docs/PLATFORM.md states the endpoints it expects.
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
)

// Paths below the platform's base address.
const (
	PathStreams   = "/v1/streams/"  // {stream}/records
	PathEndpoints = "/v1/endpoints" // GET: []fleet.Endpoint
	PathDaemons   = "/v1/daemons"   // GET: []ports.Daemon
	recordsSuffix = "/records"
)

// HeaderNotAppended marks an error answer after which the record is certainly
// not in the log.
const HeaderNotAppended = "Platform-Not-Appended"

// MaxAnswerBytes bounds one answer of the platform: a full page of records in
// base64.
const MaxAnswerBytes = 64 << 20

// DefaultTimeout bounds one call.
const DefaultTimeout = 10 * time.Second

// AppendResult is the answer to an append.
type AppendResult struct {
	Offset ports.Offset `json:"offset"`
}

// TruncatedBody is the body of the answer 410 to a read of expired records.
type TruncatedBody struct {
	First ports.Offset `json:"first"`
}

// Options of a Client.
type Options struct {
	BaseURL string        // such as http://10.0.0.5:7400
	Token   string        // sent as a bearer token, if any
	Timeout time.Duration // of one call; 0 takes DefaultTimeout
	Client  *http.Client  // nil takes one with the default transport
}

// Client is a ports.Log and a ports.VMList.
type Client struct {
	baseURL string
	token   string
	timeout time.Duration
	http    *http.Client

	endpoints cachedList[fleet.Endpoint]
	daemons   cachedList[ports.Daemon]
}

// New returns a client of the platform at o.BaseURL.
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
		c.http = &http.Client{}
	}
	return c, nil
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

// notSent tells whether the append certainly had no effect: the connection
// was never made, or the log said so. Every other failure may hide an append
// that took effect.
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

// Endpoints implements ports.VMList. The list must not be changed.
func (c *Client) Endpoints(ctx context.Context) ([]fleet.Endpoint, error) {
	return c.endpoints.fetch(ctx, c, PathEndpoints)
}

// Daemons implements ports.VMList. The list must not be changed.
func (c *Client) Daemons(ctx context.Context) ([]ports.Daemon, error) {
	return c.daemons.fetch(ctx, c, PathDaemons)
}

func (c *Client) recordsURL(s ports.Stream) string {
	return c.baseURL + PathStreams + url.PathEscape(string(s)) + recordsSuffix
}

type statusError struct {
	code        int
	notAppended bool
	body        []byte
}

func (e *statusError) Error() string {
	return "httplog: platform answered " + strconv.Itoa(e.code)
}

func (c *Client) call(ctx context.Context, method, address string, body []byte, into any) error {
	_, err := c.callWithETag(ctx, method, address, body, "", into)
	return err
}

// callWithETag is call with the tag of the answer that is known already; it
// returns the tag of the new one.
func (c *Client) callWithETag(ctx context.Context, method, address string, body []byte, tag string, into any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return "", eris.Wrap(err, "httplog: request")
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
		return eris.Wrap(err, "httplog: answer")
	}
	if len(body) > MaxAnswerBytes {
		return eris.Wrapf(ports.ErrTooLong, "httplog: answer is longer than %d bytes", MaxAnswerBytes)
	}
	if resp.StatusCode != http.StatusOK {
		marked := resp.Header.Get(HeaderNotAppended) == "true"
		return &statusError{code: resp.StatusCode, notAppended: marked, body: body}
	}
	return eris.Wrap(json.Unmarshal(body, into), "httplog: answer is not the expected JSON")
}
