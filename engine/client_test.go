package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// droppingServer answers the first call. It counts each further call as run and
// closes the connection without an answer, like an endpoint that crashes between
// the side effect of a call and its answer.
func droppingServer(t *testing.T) (address string, ran *atomic.Int64) {
	ran = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if ran.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), ran
}

// http.Transport repeats a call on its own when a reused connection breaks after
// the call was sent, if its method or an Idempotency-Key permits it. A call with
// side effects would run twice. This test documents the behaviour of the plain
// transport, so that a change of it in a Go release is noticed. The next test
// verifies that Client prevents it.
func TestPlainTransportRepeatsRequest(t *testing.T) {
	address, ran := droppingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader("deed"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "k1")
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	if n := ran.Load(); n < 3 {
		t.Errorf("two calls ran %d times: the transport no longer repeats, adapt the comment of unrepeatableBody", n)
	}
}

func TestClientNeverRepeatsRequest(t *testing.T) {
	tests := []struct {
		method, body string
		once         bool
	}{
		{http.MethodPost, "deed", true},
		{http.MethodPost, "deed", false},
		{http.MethodPost, "", false},
		{http.MethodGet, "", true},
		{http.MethodGet, "", false},
		{http.MethodOptions, "", false},
	}
	for _, tt := range tests {
		address, ran := droppingServer(t)
		c := New(Options{})
		defer c.CloseIdle()
		header := http.Header{"Idempotency-Key": {"k1"}}
		attempt := Attempt{ID: "a-1", Address: address, Method: tt.method, Path: "/", Header: header, Body: []byte(tt.body), NonIdempotent: tt.once}
		if ans, err := c.Send(t.Context(), &attempt); err != nil {
			t.Fatal(err)
		} else if _, err := ans.ReadAll(); err != nil {
			t.Fatal(err)
		}
		_, err := c.Send(t.Context(), &attempt)
		if ClassOf(err) != OutcomeUnknown || err == nil {
			t.Errorf("%+v: got %v, want outcome unknown", tt, err)
		}
		if n := ran.Load(); n != 2 {
			t.Errorf("%+v: two calls ran %d times", tt, n)
		}
	}
}

// NotSent allows a retry, so it must be reported only if no connection was
// obtained. With a connection, part of the request may have been sent.
func TestNotSentRequiresNoConnection(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	_, err := New(Options{DialContext: refuse}).Send(t.Context(), &Attempt{Address: "10.0.0.1:1", Method: http.MethodPost, Path: "/"})
	if ClassOf(err) != NotSent {
		t.Errorf("got %v, want not sent", err)
	}
	broken := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		_ = far.Close()
		return near, nil
	}
	_, err = New(Options{DialContext: broken}).Send(t.Context(), &Attempt{Address: "10.0.0.1:1", Method: http.MethodPost, Path: "/"})
	if ClassOf(err) != OutcomeUnknown {
		t.Errorf("got %v, want outcome unknown", err)
	}
}

func TestEventReader(t *testing.T) {
	tests := []struct {
		name, text string
		want       []Event
		err        error
	}{
		{"numbered", "id: 0\ndata: {\"a\":1}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n", []Event{{EventToken, 0, []byte(`{"a":1}`)}, {EventToken, 1, []byte(`{}`)}, {Kind: EventEnd}}, nil},
		{"unnumbered, CR and comment", ": hello\r\ndata:{}\r\n\r\ndata: [DONE]\n\n", []Event{{EventToken, NoIndex, []byte(`{}`)}, {Kind: EventEnd}}, nil},
		{"two data lines", "data: {\ndata: }\n\n", []Event{{EventToken, NoIndex, []byte("{\n}")}}, ErrTruncated},
		{"empty events and other fields", "\n\nevent: x\n\nretry: 1\ndata: {}\n\n", []Event{{EventToken, NoIndex, []byte(`{}`)}}, ErrTruncated},
		{"longer than the buffer", "data: {" + strings.Repeat("x", 3*eventBufferBytes) + "}\n\n", []Event{{EventToken, NoIndex, []byte("{" + strings.Repeat("x", 3*eventBufferBytes) + "}")}}, ErrTruncated},
		{"cut within an event", "data: {}", nil, ErrTruncated},
		{"index is no number", "id: x\ndata: {}\n\n", nil, ErrMalformed},
		{"not an object", "data: hello\n\n", nil, ErrMalformed},
		{"error", "data: {\"error\":{}}\n\n", nil, ErrEndpointFault},
		{"line beyond the limit", "data: {" + strings.Repeat("x", 20*eventBufferBytes), nil, ErrTooLarge},
		{"event beyond the limit", strings.Repeat("data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n", eventBufferBytes), nil, ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := New(Options{MaxEventBytes: 10 * eventBufferBytes})
			ctx, cancel := context.WithCancelCause(t.Context())
			ans := &Answer{client: client, body: io.NopCloser(strings.NewReader(tt.text)), ctx: ctx, cancel: cancel}
			defer ans.Close()
			events := ans.Events()
			defer events.Release()
			for i, want := range tt.want {
				got, err := events.Next()
				if err != nil || got.Kind != want.Kind || got.Index != want.Index && want.Kind == EventToken || string(got.Data) != string(want.Data) {
					t.Fatalf("event %d is %+v, %v; want %+v", i, got, err, want)
				}
			}
			if _, err := events.Next(); tt.err != nil && !errors.Is(err, tt.err) {
				t.Errorf("ended with %v, want %v", err, tt.err)
			}
		})
	}
}
