package engine

import (
	"errors"
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
