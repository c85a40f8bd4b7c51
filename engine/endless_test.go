package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// Guards against an attempt that waits for its time limit, or reads on, although the bytes
// received can't become an answer.
func TestBytesThatAreNoResponseEndTheAttemptAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, filler string
		bound          response.Bound
	}{
		"a zero":        {"\x00", "", response.BoundSyntax},
		"zeros":         {"", "\x00", response.BoundSyntax},
		"half a head":   {"HTTP/1.1 200 OK\r\nMerlin-Attempt: a1\r\n\x00", "", response.BoundSyntax},
		"endless field": {"HTTP/1.1 200 OK\r\na: ", "b", response.BoundHead},
		"fields":        {"HTTP/1.1 200 OK\r\n", "a: b\r\n", response.BoundFields},
	} {
		for _, nonIdempotent := range []bool{false, true} {
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			dialer := responsetest.Dialer()
			client := New(Options{DialContext: dialer.DialContext})
			began := time.Now()
			answer, err := client.Send(t.Context(), &Attempt{ID: "a1", Endpoint: "e", Address: e.Address, Method: "POST", Path: "/", Body: []byte("x"), NonIdempotent: nonIdempotent})
			if err == nil {
				answer.Close()
			}
			var failed *Error
			var exceeded *response.Error
			if !errors.As(err, &failed) || failed.Class != OutcomeUnknown || !errors.As(err, &exceeded) || exceeded.Bound != c.bound {
				t.Errorf("%s: %v, want outcome unknown and bound %s", name, err, c.bound)
			}
			const limit = response.MaxHeadBytes + 16<<10 + responsetest.SocketBytes // with the client's buffers
			if took := time.Since(began); took > time.Second || !e.AwaitClose(time.Second) || e.Sent() > limit {
				t.Errorf("%s: %v, %d bytes sent", name, took, e.Sent())
			}
		}
	}
}

// Guards against an answer with a broken head that is taken for one, or for a refusal.
func TestBrokenHeadsEndTheAttempt(t *testing.T) {
	for _, a := range responsetest.BrokenAnswers("Merlin-Attempt: a1\r\nMerlin-Not-Run: true\r\n") {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%t", a.Name, nonIdempotent), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				body, err := attempt(t, responsetest.Answering(t, a.Text), []byte("x"), nonIdempotent)
				if rule := ruleOf(err); ClassOf(err) != OutcomeUnknown || rule != a.Rule || time.Since(began) > time.Second {
					t.Errorf("%q, %v after %v, want outcome unknown and rule %s", body, err, time.Since(began), a.Rule)
				}
			})
		}
	}
}

// Guards against a head that stops at any place and is taken for an answer with a short body.
func TestHeadsThatStopEndTheAttempt(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nMerlin-Attempt: a1\r\nContent-Length: 2\r\n\r\nok"
	for _, linger := range []int{0, -1} { // reset, end
		for at := range len(whole) {
			address := responsetest.Serve(t, func(c net.Conn) {
				_, _ = c.Read(make([]byte, 64<<10))
				_, _ = io.WriteString(c, whole[:at])
				_ = c.(*net.TCPConn).SetLinger(linger)
			})
			if body, err := attempt(t, address, []byte("x"), true); ClassOf(err) != OutcomeUnknown {
				t.Errorf("linger %d, %d bytes: %q, %v", linger, at, body, err)
			}
		}
	}
}

// Guards against an answer that is taken for whole although it was cut while the request was
// written, and against one that is taken for cut although it is whole.
func TestEarlyAnswersAreToldFromWholeOnes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nMerlin-Attempt: a1\r\n\r\n"
	for _, nonIdempotent := range []bool{false, true} {
		for range 50 {
			early := responsetest.NewEarly(t, head+"part", responsetest.EndsByReset)
			if body, err := attempt(t, early.Address, make([]byte, 16<<20), nonIdempotent); err == nil || ClassOf(err) != OutcomeUnknown {
				t.Errorf("%q, %v", body, err)
			}
		}
		for _, bytes := range []int{0, 1, 16 << 20} {
			address := responsetest.Serve(t, func(c net.Conn) { responsetest.AnswerEarly(c, head+"whole") })
			if body, err := attempt(t, address, make([]byte, bytes), nonIdempotent); err != nil || body != "whole" {
				t.Errorf("%d bytes: %q, %v", bytes, body, err)
			}
		}
	}
}

// attempt sends a request with a body and reads its answer.
func attempt(t *testing.T, address string, body []byte, nonIdempotent bool) (string, error) {
	t.Helper()
	answer, err := New(Options{}).Send(t.Context(), &Attempt{ID: "a1", Endpoint: "e", Address: address, Method: "POST", Path: "/", Body: body, NonIdempotent: nonIdempotent})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	all, err := answer.ReadAll()
	return string(all), err
}

// ruleOf returns the rule that an error names; empty: none.
func ruleOf(err error) string {
	var e *response.Error
	if !errors.As(err, &e) {
		return ""
	}
	return string(e.Rule)
}
