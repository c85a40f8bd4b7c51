// Package client is a client of a daemon's administration API.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/merlindock/merlindock/admin"
	"github.com/merlindock/merlindock/ports"
)

// maxAnswerBytes is the maximum number of bytes read from an answer.
const maxAnswerBytes = 16 << 20

// DefaultTimeout is the timeout of one call.
const DefaultTimeout = 15 * time.Second

// Client calls the administration API of one daemon.
type Client struct {
	BaseURL string
	Token   string
	HTTP    *http.Client // nil: a client with DefaultTimeout
}

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("admin: the daemon answered %d: %s", e.Status, strings.TrimSpace(e.Body))
}

// Get returns the JSON answer of the given path.
func (c *Client) Get(ctx context.Context, path string) (json.RawMessage, error) {
	status, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &StatusError{Status: status, Body: string(body)}
	}
	return body, nil
}

// Drain starts a graceful shutdown of the daemon.
func (c *Client) Drain(ctx context.Context) error {
	status, body, err := c.call(ctx, http.MethodPost, "/v1/drain", nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusAccepted {
		return &StatusError{Status: status, Body: string(body)}
	}
	return nil
}

// Publish publishes a manifest, given as JSON, that was edited from the one at
// offset base. The outcome is in the Publication. An error means that the daemon
// refused the text as invalid or gave no answer.
func (c *Client) Publish(ctx context.Context, base ports.Offset, text []byte) (admin.Publication, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(int64(base), 10))}}
	return c.sendPublication(ctx, http.MethodPost, "/v1/manifest", header, text)
}

// Section returns one section of the manifest in force and its digest.
func (c *Client) Section(ctx context.Context, kind, id string) (text []byte, digest string, err error) {
	r, err := c.do(ctx, http.MethodGet, sectionPath(kind, id), nil, nil)
	if err != nil {
		return nil, "", err
	}
	if r.status != http.StatusOK {
		return nil, "", &StatusError{Status: r.status, Body: string(r.body)}
	}
	return r.body, strings.Trim(r.header.Get("ETag"), `"`), nil
}

// ChangeSection replaces a section with the given JSON, or removes it if text is
// empty. was is the digest of the section that the change is based on, empty for a
// new section.
func (c *Client) ChangeSection(ctx context.Context, kind, id, was string, text []byte) (admin.Publication, error) {
	header := http.Header{"If-None-Match": {"*"}}
	if was != "" {
		header = http.Header{"If-Match": {strconv.Quote(was)}}
	}
	method := http.MethodPut
	if len(text) == 0 {
		method = http.MethodDelete
	}
	return c.sendPublication(ctx, method, sectionPath(kind, id), header, text)
}

func sectionPath(kind, id string) string {
	return "/v1/manifest/sections/" + url.PathEscape(kind) + "/" + url.PathEscape(id)
}

func (c *Client) sendPublication(ctx context.Context, method, path string, header http.Header, text []byte) (admin.Publication, error) {
	r, err := c.do(ctx, method, path, header, text)
	if err != nil {
		return admin.Publication{Outcome: admin.OutcomeUnknown}, err
	}
	var p admin.Publication
	if json.Unmarshal(r.body, &p) != nil || p.Outcome == "" {
		return p, &StatusError{Status: r.status, Body: string(r.body)}
	}
	return p, nil
}

// response is an answer whose body was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	r, err := c.do(ctx, method, path, header, body)
	return r.status, r.body, err
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("admin: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.client().Do(req)
	if err != nil {
		return response{}, fmt.Errorf("admin: the daemon at %s gave no answer: %w", c.BaseURL, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return response{}, fmt.Errorf("admin: reading the daemon's answer: %w", err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: text}, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Timeout: DefaultTimeout}
}
