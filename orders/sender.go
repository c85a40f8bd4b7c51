package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/rollout"
)

// Limits of connections to endpoints.
const (
	dialTimeout   = time.Second
	maxRetryAfter = 10 * time.Minute
)

// NewTransport returns a transport for orders. It opens a connection for each order:
// net/http retries a request by itself if a reused connection was lost, and an order
// must not be sent twice. If dial is nil, it uses TCP.
func NewTransport(dial response.Dial) *response.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return response.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}, response.MaxControlHeadBytes)
}

// sender sends orders to endpoints and reads their statuses.
type sender struct {
	transport   http.RoundTripper
	sendTimeout time.Duration
	readTimeout time.Duration
}

// guardedBody is the body of an order. It checks whether the order may still be sent
// when the transport reads the bytes. A process that was paused after an earlier
// check, by a garbage collection or with its VM, would otherwise send an order under
// an expired lease. The header may have been sent by then, but a request without its
// body is not an order.
type guardedBody struct {
	*bytes.Reader
	allowed func() bool
	expired atomic.Bool // set by the transport's goroutine
}

func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.allowed() {
		b.expired.Store(true)
		return 0, ErrLeaseExpired
	}
	return b.Reader.Read(p)
}

// WriteTo implements io.WriterTo, which the transport may use instead of Read.
func (b *guardedBody) WriteTo(w io.Writer) (int64, error) {
	if !b.allowed() {
		b.expired.Store(true)
		return 0, ErrLeaseExpired
	}
	return b.Reader.WriteTo(w)
}

func (b *guardedBody) Close() error { return nil }

// postOrder sends an order. With ErrStoreBusy, the duration is the pause requested by
// the weight store.
func (s *sender) postOrder(ctx context.Context, o rollout.Order, address string, allowed func() bool) (time.Duration, error) {
	text, err := json.Marshal(o)
	if err != nil {
		return 0, eris.Wrap(ErrNotSent, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, s.sendTimeout)
	defer cancel()
	body := &guardedBody{Reader: bytes.NewReader(text), allowed: allowed}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.PathOrder, body)
	if err != nil {
		return 0, eris.Wrap(ErrNotSent, err.Error())
	}
	req.ContentLength = int64(len(text))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(engine.HeaderFence, strconv.FormatInt(int64(o.Fence), 10))
	req.Header.Set(engine.HeaderDeadline, strconv.FormatInt(s.sendTimeout.Milliseconds(), 10))
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return 0, classifySendError(err, body)
	}
	defer resp.Body.Close()
	return answerError(resp)
}

// classifySendError returns ErrLeaseExpired, ErrNotSent or ErrUnknown for a failed round trip.
func classifySendError(err error, body *guardedBody) error {
	if body.expired.Load() {
		return ErrLeaseExpired
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

// answerError maps the status of an endpoint's answer to an error and the requested pause.
func answerError(resp *http.Response) (time.Duration, error) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return 0, nil
	case http.StatusPreconditionFailed:
		return 0, ErrFenced
	case http.StatusTooManyRequests:
		return retryAfter(resp.Header), ErrStoreBusy
	}
	if resp.StatusCode >= http.StatusInternalServerError && resp.Header.Get(engine.HeaderNotRun) != "true" {
		return 0, eris.Wrapf(ErrUnknown, "status %d", resp.StatusCode)
	}
	return 0, eris.Wrapf(ErrRefused, "status %d", resp.StatusCode)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// readStatus reads the loaded versions and the running order of an endpoint.
func (s *sender) readStatus(ctx context.Context, address string) (rollout.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, s.readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.PathOrder, nil)
	if err != nil {
		return rollout.Status{}, eris.Wrap(err, "orders: status")
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return rollout.Status{}, eris.Wrap(err, "orders: status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rollout.Status{}, eris.Errorf("orders: request for the endpoint's status was answered with %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, rollout.MaxStatusBytes+1))
	if err != nil {
		return rollout.Status{}, eris.Wrap(err, "orders: status")
	}
	return rollout.DecodeStatus(text)
}
