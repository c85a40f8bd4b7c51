package orders

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
	"github.com/merlindock/merlindock/rollout"
)

func testSender() *sender {
	return &sender{transport: NewTransport(nil), sendTimeout: 10 * time.Second, readTimeout: 10 * time.Second}
}

func always() bool { return true }

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestOrderAnswerErrors(t *testing.T) {
	for _, c := range []struct {
		status int
		header map[string]string
		want   error
		pause  time.Duration
	}{
		{http.StatusOK, nil, nil, 0},
		{http.StatusAccepted, nil, nil, 0},
		{http.StatusPreconditionFailed, nil, ErrFenced, 0},
		{http.StatusTooManyRequests, map[string]string{"Retry-After": "30"}, ErrStoreBusy, 30 * time.Second},
		{http.StatusTooManyRequests, map[string]string{"Retry-After": "soon"}, ErrStoreBusy, 0},
		{http.StatusConflict, nil, ErrRefused, 0},
		{http.StatusBadGateway, nil, ErrUnknown, 0},
		{http.StatusServiceUnavailable, map[string]string{engine.HeaderNotRun: "true"}, ErrRefused, 0},
	} {
		address := serve(t, func(w http.ResponseWriter, req *http.Request) {
			if req.Header.Get(engine.HeaderFence) != "7" {
				t.Errorf("fence %q", req.Header.Get(engine.HeaderFence))
			}
			for k, v := range c.header {
				w.Header().Set(k, v)
			}
			w.WriteHeader(c.status)
		})
		pause, err := testSender().postOrder(context.Background(), rollout.Order{Fence: 7}, address, always)
		if !errors.Is(err, c.want) || pause != c.pause {
			t.Errorf("status %d: %v and %v, want %v and %v", c.status, err, pause, c.want, c.pause)
		}
	}
}

// An engine reads an order and the connection is lost before the answer. The order may
// have taken effect, and net/http must not send it again by itself.
func TestLostAnswerReturnsErrUnknown(t *testing.T) {
	var taken atomic.Int64
	address := serve(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		taken.Add(1)
		panic(http.ErrAbortHandler)
	})
	s := testSender()
	for i := range 5 {
		if _, err := s.postOrder(context.Background(), rollout.Order{}, address, always); !errors.Is(err, ErrUnknown) {
			t.Errorf("error %v, want ErrUnknown", err)
		}
		if got := taken.Load(); got != int64(i+1) {
			t.Errorf("received %d times after %d orders", got, i+1)
		}
	}
}

// Nothing listens at the address. The order was certainly not sent, so its slot among
// the concurrent loads is free at once.
func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	if _, err := testSender().postOrder(context.Background(), rollout.Order{}, address, always); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// The lease expires after the connection was opened. The engine receives a request
// without its body and must not get a complete order.
func TestLeaseExpiresWhileWritingOrder(t *testing.T) {
	var completed atomic.Int64
	address := serve(t, func(_ http.ResponseWriter, req *http.Request) {
		if _, err := io.ReadAll(req.Body); err == nil {
			completed.Add(1)
		}
	})
	_, err := testSender().postOrder(context.Background(), rollout.Order{}, address, func() bool { return false })
	if !errors.Is(err, ErrLeaseExpired) || completed.Load() != 0 {
		t.Errorf("error %v and %d complete orders", err, completed.Load())
	}
}

// A status is too long or malformed, because of a fault or another program at the
// address. It must be refused and not be buffered without limit.
func TestRefusesMalformedStatus(t *testing.T) {
	for _, text := range []string{"{", strings.Repeat(" ", rollout.MaxStatusBytes+1), `{"models":3}`} {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
		if _, err := testSender().readStatus(context.Background(), address); !errors.Is(err, rollout.ErrStatus) {
			t.Errorf("%d bytes: error %v", len(text), err)
		}
	}
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"incarnation":4}`) })
	s, err := testSender().readStatus(context.Background(), address)
	if err != nil || s.Incarnation != fleet.Incarnation(4) {
		t.Errorf("status %+v and error %v", s, err)
	}
}

// Guards against an order that counts as accepted, or a status that is used, although the head of
// the answer is broken.
func TestBrokenHeadsAreRejected(t *testing.T) {
	s := testSender()
	for _, a := range responsetest.BrokenAnswers("") {
		address := responsetest.Answering(t, a.Text)
		if _, err := s.postOrder(t.Context(), rollout.Order{Fence: 7}, address, always); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s: order %v", a.Name, err)
		}
		var broken *response.Error
		if _, err := s.readStatus(t.Context(), address); !errors.As(err, &broken) || string(broken.Rule) != a.Rule {
			t.Errorf("%s: status %v, want rule %s", a.Name, err, a.Rule)
		}
	}
}

// Guards against an order, or a request for a status, that waits for its time limit although the
// bytes received can't become an answer.
func TestBytesThatAreNoResponseEndTheCallAtOnce(t *testing.T) {
	s := testSender()
	for name, prefix := range map[string]string{"a zero": "\x00", "half a head": "HTTP/1.1 200 OK\r\na\x00"} {
		address := responsetest.NewEndless(t, prefix, "").Address
		began := time.Now()
		var malformed *response.Error
		if _, err := s.postOrder(t.Context(), rollout.Order{Fence: 7}, address, always); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s: order %v", name, err)
		}
		if _, err := s.readStatus(t.Context(), address); !errors.As(err, &malformed) {
			t.Errorf("%s: status %v", name, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: %v", name, took)
		}
	}
}
