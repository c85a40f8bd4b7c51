package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// rawCall sends a request over a connection that the test reads itself.
func (w *world) rawCall(body string) net.Conn {
	conn, err := w.network.DialContext(w.t.Context(), "tcp", gatewayAddress)
	if err != nil {
		w.t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		registreKey, len(body), body)
	if err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// A caller reads a byte a second, or just enough for each token to pass before
// a limit per token would. The buffers between fill up and the engine waits.
// It must be set free within the budget, since nobody else gets its slot.
func TestSlowCallerDoesNotHoldTheEngine(t *testing.T) {
	for _, bytesPerSecond := range []int{1, 400} {
		t.Run(fmt.Sprintf("%d bytes a second", bytesPerSecond), func(t *testing.T) {
			o := worldOptions{runners: 2, runner: standin.RunnerOptions{Decode: 10 * time.Millisecond}}
			inWorld(t, o, func(w *world) {
				conn := w.rawCall(strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":5000`, 1))
				defer func() { _ = conn.Close() }()
				buf := make([]byte, bytesPerSecond)
				for range 120 {
					time.Sleep(time.Second) // virtual
					_, _ = conn.Read(buf)
				}
				if load := w.runners[0].Load(); load.Running != 0 {
					t.Errorf("after two minutes the runner still has %d requests", load.Running)
				}
				rep := w.observer.last()
				if !rep.CallerSlow || rep.CallerLeft || rep.Duration > time.Minute || rep.Attempts != 1 {
					t.Errorf("report is %+v", rep)
				}
			})
		})
	}
}

// A caller announces a body and sends it a byte at a time. The connection must
// not be held for as long as the caller likes.
func TestSlowBodyIsRefused(t *testing.T) {
	inWorld(t, worldOptions{runners: 1}, func(w *world) {
		conn, err := w.network.DialContext(w.t.Context(), "tcp", gatewayAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{", registreKey)
		began := time.Now()
		answer, _ := io.ReadAll(conn)
		if took := time.Since(began); took > gateway.DefaultBodyTimeout+time.Second {
			t.Errorf("the connection was held for %v", took)
		}
		if !strings.Contains(string(answer), gateway.CodeSlowRequest) {
			t.Errorf("the caller got %q", answer)
		}
	})
}

// A caller gives a deadline and the engine is slower. At the deadline the
// caller gets its final answer, and the engine is set free.
func TestDeadlineEndsTheRequest(t *testing.T) {
	o := worldOptions{runners: 1, runner: standin.RunnerOptions{Decode: time.Second}}
	whole := strings.Replace(chatBody, `"stream":true,`, "", 1)
	inWorld(t, o, func(w *world) {
		began := time.Now()
		a := w.do(w.request(http.MethodPost, "/v1/chat/completions", registreKey, whole, gateway.HeaderDeadline, "2500"))
		a.expect(t, http.StatusGatewayTimeout, gateway.CodeDeadline, gateway.OutcomeUnknown)
		if took := time.Since(began); took != 2500*time.Millisecond {
			t.Errorf("the caller waited %v", took)
		}
		_, s := w.stream(strings.Replace(chatBody, `"stream"`, `"deadline_ms":2500,"stream"`, 1))
		if s.done || s.err != gateway.CodeDeadline || len(s.indices) != 2 {
			t.Errorf("stream ended with done %v, error %q after %v", s.done, s.err, s.indices)
		}
		time.Sleep(time.Second) // virtual
		if load := w.runners[0].Load(); load.Running != 0 {
			t.Errorf("the runner still has %d requests", load.Running)
		}
	})
}

// refuser refuses all requests as an organisation beyond its share is refused.
type refuser struct{}

func (refuser) Admit(context.Context, gateway.AdmitRequest) (gateway.Admission, error) {
	return gateway.Admission{}, &gateway.Refusal{
		Status: http.StatusTooManyRequests, Code: gateway.CodeOverloaded, Outcome: gateway.OutcomeNotRun,
		Message: "the organisation is over its share", RetryAfter: 2500 * time.Millisecond,
	}
}

// An organisation asks for more than its share. Its caller is told at once
// that nothing ran, and when to come back.
func TestRefusedAdmissionReachesTheCaller(t *testing.T) {
	inWorld(t, worldOptions{runners: 1, admitter: refuser{}}, func(w *world) {
		a, _ := w.stream(chatBody)
		a.expect(t, http.StatusTooManyRequests, gateway.CodeOverloaded, gateway.OutcomeNotRun)
		if got := a.header.Get("Retry-After"); got != "3" {
			t.Errorf("Retry-After is %q, want it rounded up to 3", got)
		}
	})
}

// More callers come to one daemon than it has memory for. The one too many is
// told at once that nothing ran, and the streams under way go on.
func TestRequestsBeyondTheBoundAreRefused(t *testing.T) {
	o := worldOptions{
		runners: 1,
		runner:  standin.RunnerOptions{Decode: time.Second},
		limits:  gateway.Limits{OpenRequests: 1},
	}
	inWorld(t, o, func(w *world) {
		first := make(chan tokens)
		go func() {
			_, s := w.stream(chatBody)
			first <- s
		}()
		time.Sleep(time.Second) // virtual
		a, _ := w.stream(chatBody)
		a.expect(t, http.StatusServiceUnavailable, gateway.CodeOverloaded, gateway.OutcomeNotRun)
		if s := <-first; !s.done {
			t.Errorf("the stream under way was cut: %+v", s)
		}
	})
}

// A daemon is replaced while streams are open and the balancer still sends it
// requests. No stream may be cut, and none refused that still comes in.
func TestShutdownCutsNothing(t *testing.T) {
	o := worldOptions{runners: 1, runner: standin.RunnerOptions{Decode: time.Second}}
	inWorld(t, o, func(w *world) {
		streams := make(chan tokens, 2)
		open := func() {
			_, s := w.stream(chatBody)
			streams <- s
		}
		go open()
		time.Sleep(time.Second) // virtual
		began := time.Now()
		drained := make(chan error, 1)
		go func() {
			err := w.drainer.Drain(w.t.Context(), 12*time.Second)
			if err == nil {
				err = w.server.Shutdown(w.t.Context())
			}
			drained <- err
		}()
		time.Sleep(time.Second) // virtual
		if w.drainer.Ready() {
			t.Error("the daemon still says ready")
		}
		(<-streams).whole(t)
		time.Sleep(3 * time.Second) // virtual
		go open()
		err := <-drained
		took := time.Since(began)
		(<-streams).whole(t)
		if err != nil || took < 18*time.Second || took > 20*time.Second {
			t.Errorf("draining took %v: %v", took, err)
		}
	})
}

// The bound of a shutdown passes with requests still open: a stream and a
// claimed call. Each caller gets an explicit error that names the shutdown
// before the daemon ends, instead of a connection that just closes.
func TestShutdownPastItsBoundIsTold(t *testing.T) {
	o := worldOptions{runners: 1, services: 1, claimer: newKeyRing(), runner: standin.RunnerOptions{Decode: time.Second}}
	inWorld(t, o, func(w *world) {
		w.services[0].Delay = time.Minute
		ctx, cut := context.WithCancelCause(context.Background())
		s := &http.Server{Handler: w.gateway, BaseContext: func(net.Listener) context.Context { return ctx }}
		defer func() { _ = s.Close() }()
		l := w.network.Listen("10.0.0.2:8080")
		go func() { _ = s.Serve(l) }()
		time.AfterFunc(2500*time.Millisecond, func() { cut(gateway.ErrShutdown) })
		answers := make(chan answer, 1)
		call := w.request(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1")
		call.URL.Host = "10.0.0.2:8080"
		go func() { answers <- w.do(call) }()
		open := w.request(http.MethodPost, "/v1/chat/completions", registreKey, chatBody)
		open.URL.Host = "10.0.0.2:8080"
		got := parseStream(w.do(open).body)
		if got.done || got.err != gateway.CodeShutdown || len(got.indices) != 2 {
			t.Errorf("stream ended with done %v, error %q after %v", got.done, got.err, got.indices)
		}
		a := <-answers
		a.expect(t, http.StatusServiceUnavailable, gateway.CodeShutdown, gateway.OutcomeUnknown)
	})
}
