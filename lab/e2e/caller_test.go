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

// openRawRequest sends a request over a new connection and returns it, so that
// the test controls how the answer is read.
func (tb *testbed) openRawRequest(body string) net.Conn {
	conn, err := tb.network.DialContext(tb.t.Context(), "tcp", gatewayAddress)
	if err != nil {
		tb.t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		registreKey, len(body), body)
	if err != nil {
		tb.t.Fatal(err)
	}
	return conn
}

// A caller reads one byte a second, or just fast enough for each token to pass a
// timeout per token. The buffers on the path fill up and the engine blocks, which
// holds a batch slot. The request must be cancelled within a time limit.
func TestSlowCallerReleasesEngine(t *testing.T) {
	for _, bytesPerSecond := range []int{1, 400} {
		t.Run(fmt.Sprintf("%d bytes a second", bytesPerSecond), func(t *testing.T) {
			o := testbedOptions{runners: 2, runner: standin.RunnerOptions{Decode: 10 * time.Millisecond}}
			runInTestbed(t, o, func(tb *testbed) {
				conn := tb.openRawRequest(strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":5000`, 1))
				defer func() { _ = conn.Close() }()
				buf := make([]byte, bytesPerSecond)
				for range 120 {
					time.Sleep(time.Second) // virtual
					_, _ = conn.Read(buf)
				}
				if load := tb.runners[0].Load(); load.Running != 0 {
					t.Errorf("the runner still has %d requests after two minutes", load.Running)
				}
				rep := tb.observer.last()
				if !rep.CallerSlow || rep.CallerLeft || rep.Duration > time.Minute || rep.Attempts != 1 {
					t.Errorf("report is %+v", rep)
				}
			})
		})
	}
}

// A caller announces a body and then sends almost none of it. The request must be
// refused after gateway.DefaultBodyTimeout, or a caller could hold connections
// for any time.
func TestRefusesSlowBody(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 1}, func(tb *testbed) {
		conn, err := tb.network.DialContext(tb.t.Context(), "tcp", gatewayAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{", registreKey)
		began := time.Now()
		answer, _ := io.ReadAll(conn)
		if took := time.Since(began); took > gateway.DefaultBodyTimeout+time.Second {
			t.Errorf("the connection was closed after %v", took)
		}
		if !strings.Contains(string(answer), gateway.CodeSlowRequest) {
			t.Errorf("the caller got %q", answer)
		}
	})
}

// The engine is slower than the caller's deadline. The caller must get an error
// at the deadline, and the request at the engine must be cancelled.
func TestDeadlineEndsRequest(t *testing.T) {
	o := testbedOptions{runners: 1, runner: standin.RunnerOptions{Decode: time.Second}}
	unstreamed := strings.Replace(chatBody, `"stream":true,`, "", 1)
	runInTestbed(t, o, func(tb *testbed) {
		began := time.Now()
		a := tb.send(tb.newRequest(http.MethodPost, "/v1/chat/completions", registreKey, unstreamed, gateway.HeaderDeadline, "2500"))
		a.expectError(t, http.StatusGatewayTimeout, gateway.CodeDeadline, gateway.OutcomeUnknown)
		if took := time.Since(began); took != 2500*time.Millisecond {
			t.Errorf("the caller waited %v", took)
		}
		_, s := tb.streamChat(strings.Replace(chatBody, `"stream"`, `"deadline_ms":2500,"stream"`, 1))
		if s.done || s.err != gateway.CodeDeadline || len(s.indices) != 2 {
			t.Errorf("stream ended with done %v, error %q after %v", s.done, s.err, s.indices)
		}
		time.Sleep(time.Second) // virtual
		if load := tb.runners[0].Load(); load.Running != 0 {
			t.Errorf("the runner still has %d requests", load.Running)
		}
	})
}

// refusingAdmitter refuses all requests like those of an organisation that exceeds
// its share.
type refusingAdmitter struct{}

func (refusingAdmitter) Admit(context.Context, gateway.AdmitRequest) (gateway.Admission, error) {
	return gateway.Admission{}, &gateway.Refusal{
		Status: http.StatusTooManyRequests, Code: gateway.CodeOverloaded, Outcome: gateway.OutcomeNotRun,
		Message: "the organisation is over its share", RetryAfter: 2500 * time.Millisecond,
	}
}

// An organisation exceeds its share. The caller must get the outcome "not run" and
// a Retry-After header in whole seconds, rounded up.
func TestAdmissionRefusalReachesCaller(t *testing.T) {
	runInTestbed(t, testbedOptions{runners: 1, admitter: refusingAdmitter{}}, func(tb *testbed) {
		a, _ := tb.streamChat(chatBody)
		a.expectError(t, http.StatusTooManyRequests, gateway.CodeOverloaded, gateway.OutcomeNotRun)
		if got := a.header.Get("Retry-After"); got != "3" {
			t.Errorf("Retry-After is %q, want 2.5 s rounded up to 3", got)
		}
	})
}

// A daemon bounds its open requests to bound its memory. A request beyond the
// limit must be refused at once with the outcome "not run", and open streams must
// continue.
func TestRefusesRequestsBeyondOpenLimit(t *testing.T) {
	o := testbedOptions{
		runners: 1,
		runner:  standin.RunnerOptions{Decode: time.Second},
		limits:  gateway.Limits{OpenRequests: 1},
	}
	runInTestbed(t, o, func(tb *testbed) {
		first := make(chan streamResult)
		go func() {
			_, s := tb.streamChat(chatBody)
			first <- s
		}()
		time.Sleep(time.Second) // virtual
		a, _ := tb.streamChat(chatBody)
		a.expectError(t, http.StatusServiceUnavailable, gateway.CodeOverloaded, gateway.OutcomeNotRun)
		if s := <-first; !s.done {
			t.Errorf("the open stream was interrupted: %+v", s)
		}
	})
}

// A daemon drains while streams are open and the load balancer still sends it
// requests. Open streams and requests that arrive within the balancer's lag must
// complete.
func TestDrainCompletesOpenAndNewStreams(t *testing.T) {
	o := testbedOptions{runners: 1, runner: standin.RunnerOptions{Decode: time.Second}}
	runInTestbed(t, o, func(tb *testbed) {
		streams := make(chan streamResult, 2)
		open := func() {
			_, s := tb.streamChat(chatBody)
			streams <- s
		}
		go open()
		time.Sleep(time.Second) // virtual
		began := time.Now()
		drained := make(chan error, 1)
		go func() {
			err := tb.drainer.Drain(tb.t.Context(), 12*time.Second)
			if err == nil {
				err = tb.server.Shutdown(tb.t.Context())
			}
			drained <- err
		}()
		time.Sleep(time.Second) // virtual
		if tb.drainer.Ready() {
			t.Error("the drainer is still ready while it drains")
		}
		(<-streams).expectComplete(t)
		time.Sleep(3 * time.Second) // virtual
		go open()
		err := <-drained
		took := time.Since(began)
		(<-streams).expectComplete(t)
		if err != nil || took < 18*time.Second || took > 20*time.Second {
			t.Errorf("draining took %v: %v", took, err)
		}
	})
}

// A stream and a call with an idempotency key are still open when the shutdown
// reaches its time limit. Their callers must get an error with the shutdown code,
// not a connection that closes without an answer.
func TestShutdownErrorAfterDrainTimeout(t *testing.T) {
	o := testbedOptions{runners: 1, services: 1, claimer: newMemoryClaimer(), runner: standin.RunnerOptions{Decode: time.Second}}
	runInTestbed(t, o, func(tb *testbed) {
		tb.services[0].Delay = time.Minute
		ctx, cut := context.WithCancelCause(context.Background())
		s := &http.Server{Handler: tb.gateway, BaseContext: func(net.Listener) context.Context { return ctx }}
		defer func() { _ = s.Close() }()
		l := tb.network.Listen("10.0.0.2:8080")
		go func() { _ = s.Serve(l) }()
		time.AfterFunc(2500*time.Millisecond, func() { cut(gateway.ErrShutdown) })
		answers := make(chan answer, 1)
		call := tb.newRequest(http.MethodPost, "/receipts/2", registreKey, "deed", "Idempotency-Key", "k1")
		call.URL.Host = "10.0.0.2:8080"
		go func() { answers <- tb.send(call) }()
		open := tb.newRequest(http.MethodPost, "/v1/chat/completions", registreKey, chatBody)
		open.URL.Host = "10.0.0.2:8080"
		got := parseStream(tb.send(open).body)
		if got.done || got.err != gateway.CodeShutdown || len(got.indices) != 2 {
			t.Errorf("stream ended with done %v, error %q after %v", got.done, got.err, got.indices)
		}
		a := <-answers
		a.expectError(t, http.StatusServiceUnavailable, gateway.CodeShutdown, gateway.OutcomeUnknown)
	})
}
