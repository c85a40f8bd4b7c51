package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/merlindock/merlindock/response"
)

// plainWire is a HeaderCodec for the headers that these tests use.
type plainWire struct{}

func (plainWire) DecodeRequest(h http.Header) RequestInfo {
	return RequestInfo{AttemptID: h.Get("Attempt-Id"), LastEvent: NoEvent}
}
func (plainWire) EncodeRequest(http.Header, *RouterInfo) {}
func (plainWire) DecodeAnswer(status int, h http.Header) AnswerInfo {
	return AnswerInfo{
		AttemptID: h.Get("Attempt-Id"), Signed: h.Get("Response-Signature") != "",
		NotRun: h.Get("Not-Executed") != "" || status == http.StatusMisdirectedRequest, KeepAlive: 5 * time.Second,
	}
}

func (plainWire) EncodeRefusal(h http.Header, _ string, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", "1")
	}
}

// endpoint starts a server that answers the requests of each connection with the
// given texts in turn. It sends a line on the channel for each request.
func endpoint(t *testing.T, texts ...string) (Target, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen := make(chan string, 32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(c, texts, seen)
		}
	}()
	return Target{Key: "e@1", ID: "e", Address: l.Addr().String()}, seen
}

func answerAll(c net.Conn, texts []string, seen chan<- string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, text := range texts {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		seen <- req.Method + " " + req.RequestURI + " " + string(body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

func outgoing(id string) *EndpointRequest {
	return &EndpointRequest{AttemptID: id, Method: http.MethodPost, URI: "/a//b%2F?c", Host: "h", Header: http.Header{"X": {"1"}}, Body: []byte("q"), HasBody: true}
}

func sendAndRead(t *testing.T, c *Client, target Target, id string) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), target, outgoing(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	a.Close(err == nil)
	return string(body), err
}

const answerTemplate = "HTTP/1.1 200 OK\r\nAttempt-Id: %ID\r\nContent-Length: 5\r\n\r\n%BODY"

func answerText(id, body string) string {
	return strings.NewReplacer("%ID", id, "%BODY", body).Replace(answerTemplate)
}

func TestReusesConnectionAndKeepsRequestBytes(t *testing.T) {
	target, seen := endpoint(t, answerText("a1", "first"), answerText("a2", "secnd"))
	c := NewClient(plainWire{}, nil)
	for i, want := range []string{"first", "secnd"} {
		got, err := sendAndRead(t, c, target, []string{"a1", "a2"}[i])
		if err != nil || got != want {
			t.Errorf("%q, %v", got, err)
		}
		if line := <-seen; line != "POST /a//b%2F?c q" {
			t.Errorf("the endpoint got %q", line)
		}
	}
	if n := c.Open(target.Key); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// An endpoint answers a request twice, and the duplicate arrives after the next
// request was sent. Without a comparison of the attempt ids, the caller of that
// request would get the answer of another caller.
func TestSkipsDuplicateAnswer(t *testing.T) {
	target, _ := endpoint(t, answerText("a1", "first"), answerText("a1", "again")+answerText("a2", "right"))
	c := NewClient(plainWire{}, nil)
	if _, err := sendAndRead(t, c, target, "a1"); err != nil {
		t.Fatal(err)
	}
	if got, err := sendAndRead(t, c, target, "a2"); err != nil || got != "right" {
		t.Errorf("%q, %v", got, err)
	}
}

// The duplicate answer has arrived before the next request is sent. The connection
// must not be reused.
func TestClosesConnectionWithUnreadBytes(t *testing.T) {
	target, _ := endpoint(t, answerText("a1", "first")+answerText("a1", "extra"), answerText("a2", "wrong"))
	c := NewClient(plainWire{}, nil)
	if _, err := sendAndRead(t, c, target, "a1"); err != nil {
		t.Fatal(err)
	}
	if n := c.Open(target.Key); n != 0 {
		t.Errorf("%d connections are kept", n)
	}
}

// Nothing listens at the address. The request was not sent, so it may be sent to
// another endpoint even if it must not run twice.
func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = sendAndRead(t, NewClient(plainWire{}, nil), Target{Key: "e", Address: l.Addr().String()}, "a1")
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
}

// replyOnce returns the address of an endpoint that reads one request, sends the
// bytes and closes the connection.
func replyOnce(t *testing.T, reply string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, reply)
		}
		_ = c.Close()
	}()
	return l.Addr().String()
}

// An endpoint reads a request and closes the connection. It may have run the
// request, which would run twice if the error were ErrNotSent.
func TestClosedConnectionReturnsErrNoAnswer(t *testing.T) {
	for name, reply := range map[string]string{"nothing": "", "half a header": "HTTP/1.1 200 OK\r\nAtt", "no answer at all": "\x00\x01garbage\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			_, err := sendAndRead(t, NewClient(plainWire{}, nil), Target{Key: "e", Address: replyOnce(t, reply)}, "a1")
			if !errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// An endpoint closes the connection within a body with a Content-Length or a
// chunked one. The reader must get an error and not io.EOF.
func TestTruncatedBodyReturnsError(t *testing.T) {
	for name, reply := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 50\r\nConnection: close\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := sendAndRead(t, NewClient(plainWire{}, nil), Target{Key: "e", Address: replyOnce(t, reply)}, "a1"); err == nil {
				t.Errorf("no error for the truncated body %q", got)
			}
		})
	}
}

// An endpoint answers before it has read a long body and keeps the connection
// open. The next request on it would be read as the rest of that body.
func TestClosesConnectionAfterEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	release := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answerText("a1", "early"))
		}
		<-release
	}()
	defer close(release)
	c := NewClient(plainWire{}, nil)
	o := outgoing("a1")
	o.Body = make([]byte, 32<<20) // more than the socket buffers hold
	a, err := c.Send(t.Context(), Target{Key: "e", Address: l.Addr().String()}, o)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(a.Body); err != nil || string(body) != "early" {
		t.Errorf("%q, %v", body, err)
	}
	a.Close(true)
	if n := c.Open("e"); n != 0 {
		t.Errorf("%d connections are kept", n)
	}
}

// The caller disconnects while the endpoint runs the request. Send must return at
// once and close the connection, so that the endpoint cancels the request.
func TestSendStopsWithContext(t *testing.T) {
	target, seen := endpoint(t, "")
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	c := NewClient(plainWire{}, nil)
	go func() {
		_, err := c.Send(ctx, target, outgoing("a1"))
		failed <- err
	}()
	<-seen
	cancel()
	if err := <-failed; !errors.Is(err, ErrNoAnswer) {
		t.Errorf("error %v", err)
	}
	if n := c.Open(target.Key); n != 0 {
		t.Errorf("%d connections are left", n)
	}
}

// endedConn is a connection that has ended without a sign of it: the first write fails.
type endedConn struct{ net.Conn }

func (endedConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
}

// Guards against a request that may run once and gets an unknown outcome although the idle
// connection had ended before any byte of it was sent.
func TestRequestIsSentAgainIfNothingWasSent(t *testing.T) {
	target, seen := endpoint(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok")
	c := NewClient(plainWire{}, nil)
	raw, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", target.Address)
	if err != nil {
		t.Fatal(err)
	}
	c.idle[target.Key] = []*conn{{Conn: endedConn{raw}, key: target.Key, address: target.Address, r: response.NewReader(raw), idleSince: time.Now(), maxIdle: time.Minute}}
	c.open[target.Key] = 1
	if body, err := sendAndRead(t, c, target, "a1"); err != nil || body != "ok" || len(seen) != 1 {
		t.Errorf("%q, %v, %d requests", body, err, len(seen))
	}
	unreachable := NewClient(plainWire{}, func(context.Context, string, string) (net.Conn, error) { return endedConn{raw}, nil })
	if _, err := sendAndRead(t, unreachable, target, "a1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("%v on a new connection", err)
	}
}
