package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/reach"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/response/responsetest"
)

// testbed is a daemon that cannot reach an endpoint, and one that relays for it.
type testbed struct {
	endpoint net.Listener
	helper   *httptest.Server
	server   *Server
	served   chan struct{} // a request to the helper has ended
	dialer   *Dialer
	known    atomic.Bool
	peer     atomic.Bool
	unable   atomic.Bool
	lost     atomic.Int32 // calls of PathsLost
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	w := &testbed{}
	w.known.Store(true)
	w.peer.Store(true)
	var err error
	if w.endpoint, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.endpoint.Close() })
	log := logging.Discard().For(logging.ComponentRouter)
	tcp := forward.Dialer()
	w.server = NewServer(ServerOptions{
		Dial: tcp.DialContext, Known: func(string) bool { return w.known.Load() }, Peer: func(string) bool { return w.peer.Load() },
		Unable: w.unable.Load, Log: log,
	})
	w.served = make(chan struct{}, 100)
	w.helper = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.server.ServeHTTP(out, r)
		w.served <- struct{}{}
	}))
	t.Cleanup(w.helper.Close)
	random := rand.New(rand.NewPCG(1, 2))
	helpers := reach.NewHelpers("z", random)
	helpers.Set([]reach.Peer{{Name: "helper", Address: w.helper.Listener.Addr().String(), Zone: "z"}})
	w.dialer = NewDialer(Options{
		Direct: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		},
		Peers: tcp.DialContext, Clock: func() time.Duration { return time.Hour }, Log: log,
		PathsLost: func(string) { w.lost.Add(1) }, PathsBack: func() {},
	}, reach.NewTracker(random), helpers)
	return w
}

// connect dials the endpoint and returns both ends of the connection.
func (w *testbed) connect(t *testing.T) (daemon net.Conn, endpoint *net.TCPConn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := w.endpoint.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	daemon, err := w.dialer.Dial(t.Context(), "tcp", w.endpoint.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = daemon.Close() })
	endpoint = (<-accepted).(*net.TCPConn)
	t.Cleanup(func() { _ = endpoint.Close() })
	return daemon, endpoint
}

func TestRelaysBytesInBothDirections(t *testing.T) {
	w := newTestbed(t)
	daemon, endpoint := w.connect(t)
	if got := daemon.(forward.RelayedConn).Via(); got != "helper" {
		t.Errorf("via %q", got)
	}
	sent := strings.Repeat("question ", 10_000)
	go func() { _, _ = io.WriteString(daemon, sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(endpoint, got); err != nil || string(got) != sent {
		t.Fatalf("endpoint received %d bytes, error %v", len(got), err)
	}
	go func() {
		_, _ = io.WriteString(endpoint, sent)
		_ = endpoint.Close()
	}()
	if got, err := io.ReadAll(daemon); err != nil || string(got) != sent {
		t.Errorf("daemon received %d of %d bytes, error %v", len(got), len(sent), err)
	}
}

// Guards against an answer without a length that looks complete although its end is missing.
func TestLossIsNotTakenForTheEndOfAnAnswer(t *testing.T) {
	t.Run("endpoint resets", func(t *testing.T) {
		daemon, endpoint := newTestbed(t).connect(t)
		_, _ = io.WriteString(endpoint, "half")
		buf := make([]byte, 4)
		if _, err := io.ReadFull(daemon, buf); err != nil {
			t.Fatal(err)
		}
		_ = endpoint.SetLinger(0)
		_ = endpoint.Close()
		if _, err := io.ReadAll(daemon); !errors.Is(err, syscall.ECONNRESET) || errors.Is(err, forward.ErrRelayLost) {
			t.Errorf("read %v", err)
		}
	})
	t.Run("helper ends", func(t *testing.T) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write([]byte{0, 4, 'h', 'a', 'l', 'f'})
			_ = far.Close()
		}()
		got, err := io.ReadAll(newConn(near, "helper"))
		if string(got) != "half" || !errors.Is(err, forward.ErrRelayLost) {
			t.Errorf("read %q, %v", got, err)
		}
	})
}

// Guards against a part of an answer that looks complete, as the endpoint has reset its
// connection while the request was relayed to it: the write of the request gets the reset.
func TestResetDuringARequestIsNotTakenForTheEndOfAnAnswer(t *testing.T) {
	for _, how := range []string{responsetest.EndsByReset, responsetest.EndsByResetFIN} {
		for range 50 {
			w := newTestbed(t)
			early := responsetest.NewEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", how)
			daemon, err := w.dialer.Dial(t.Context(), "tcp", early.Address)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.WriteString(daemon, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n")
				_, _ = daemon.Write(make([]byte, 16<<20))
			}()
			if got, err := io.ReadAll(daemon); err == nil {
				t.Errorf("%s: %q looks whole", how, got)
			}
			_ = daemon.Close()
			w.helper.Close()
		}
	}
}

// Guards against a whole answer without a length that is taken for a part.
func TestEndBehindAWholeRequestIsRelayed(t *testing.T) {
	for _, bytes := range []int{0, 16 << 20} {
		for range 20 {
			w := newTestbed(t)
			address := responsetest.Serve(t, func(c net.Conn) { responsetest.AnswerEarly(c, "HTTP/1.1 200 OK\r\n\r\nwhole") })
			daemon, err := w.dialer.Dial(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = fmt.Fprintf(daemon, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bytes)
				_, _ = daemon.Write(make([]byte, bytes))
			}()
			if got, err := io.ReadAll(daemon); err != nil || !strings.HasSuffix(string(got), "whole") {
				t.Errorf("%d bytes: %q, %v", bytes, got, err)
			}
			_ = daemon.Close()
			w.helper.Close()
		}
	}
}

// Guards against an endpoint that works on for a caller that has left.
func TestClosedConnectionIsClosedAtTheEndpoint(t *testing.T) {
	w := newTestbed(t)
	daemon, endpoint := w.connect(t)
	_ = daemon.Close()
	_ = endpoint.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := endpoint.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("read %v", err)
	}
	select {
	case <-w.served:
	case <-time.After(5 * time.Second):
		t.Fatal("the helper still relays")
	}
	if n := w.server.Open(); n != 0 {
		t.Errorf("%d connections are counted as relayed", n)
	}
}

// Guards against a connection that counts as relayed although the head of the helper's answer is
// broken.
func TestBrokenAnswerOfHelperIsRejected(t *testing.T) {
	for _, a := range responsetest.BrokenAnswers("Connection: Upgrade\r\nUpgrade: " + protocol + "\r\n") {
		if a.Rule == string(response.RuleUpgrade) {
			continue // the helper is asked for another protocol
		}
		w := newTestbed(t)
		random := rand.New(rand.NewPCG(1, 2))
		helpers := reach.NewHelpers("z", random)
		helpers.Set([]reach.Peer{{Name: "helper", Address: responsetest.Answering(t, strings.ReplaceAll(a.Text, " 200", " 101")), Zone: "z"}})
		d := NewDialer(w.dialer.o, reach.NewTracker(random), helpers)
		if c, err := d.Dial(t.Context(), "tcp", w.endpoint.Addr().String()); err == nil {
			t.Errorf("%s: connected", a.Name)
			_ = c.Close()
		}
	}
}

// Guards against a daemon that connects anyone to anything.
func TestRelaysOnlyForDaemonsToEndpoints(t *testing.T) {
	w := newTestbed(t)
	address := w.endpoint.Addr().String()
	ask := func(header http.Header) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.helper.URL+Path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header = header
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	good := http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}, headerEndpoint: {address}, headerTimeout: {"100"}}
	if got := ask(good); got != http.StatusSwitchingProtocols {
		t.Errorf("status %d", got)
	}
	for name, change := range map[string]struct{ header, value string }{
		"no upgrade": {"Upgrade", ""}, "malformed timeout": {headerTimeout, "soon"}, "negative timeout": {headerTimeout, "-1"},
	} {
		bad := good.Clone()
		bad.Set(change.header, change.value)
		if got := ask(bad); got != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, got)
		}
	}
	for name, c := range map[string]struct {
		flag *atomic.Bool
		set  bool
		want int
	}{
		"unknown endpoint": {&w.known, false, http.StatusForbidden}, "unknown caller": {&w.peer, false, http.StatusForbidden},
		"unable": {&w.unable, true, http.StatusServiceUnavailable},
	} {
		c.flag.Store(c.set)
		if got := ask(good); got != c.want {
			t.Errorf("%s: status %d", name, got)
		}
		if conn, err := w.dialer.Dial(t.Context(), "tcp", address); err == nil {
			t.Errorf("%s: connected", name)
			_ = conn.Close()
		}
		c.flag.Store(!c.set)
	}
}

// Guards against an endpoint that is down being taken for a lost path.
func TestEndpointThatIsDownIsReportedAsSuch(t *testing.T) {
	w := newTestbed(t)
	_ = w.endpoint.Close()
	for range 5 {
		if _, err := w.dialer.Dial(t.Context(), "tcp", w.endpoint.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial: %v", err)
		}
	}
	if w.dialer.Lost() != 0 || w.dialer.Isolated() {
		t.Error("the path counts as lost")
	}
}

// Guards against a relaying daemon whose answer never ends, and is held or read until the time
// limit of each helper.
func TestEndlessHelperIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ prefix, filler string }{
		"no response": {"", "\x00"},
		"fields":      {"HTTP/1.1 101 Switching Protocols\r\n", "a: b\r\n"},
		"value":       {"HTTP/1.1 101 Switching Protocols\r\na: ", "b"},
		"refusal":     {"HTTP/1.1 503 Busy\r\nContent-Length: 9000000000\r\n\r\n", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := responsetest.NewEndless(t, c.prefix, c.filler)
			peers := responsetest.Dialer()
			d := NewDialer(Options{Peers: peers.DialContext}, nil, nil)
			began := time.Now()
			_, err := d.ask(t.Context(), reach.Peer{Name: "helper", Address: e.Address}, "127.0.0.1:1")
			if took := time.Since(began); err == nil || errors.Is(err, context.DeadlineExceeded) || took > helperTimeout {
				t.Errorf("%v after %v", err, took)
			}
			if !e.AwaitClose(time.Second) || e.Sent() > response.MaxHeadBytes+responsetest.SocketBytes {
				t.Errorf("%d bytes were sent", e.Sent())
			}
		})
	}
}

// Guards against bytes without end that the relaying daemon holds while the other one does not
// read, and against those that it goes on reading after the other has closed the connection.
func TestEndlessBytesAreRelayedAtThePaceOfTheReader(t *testing.T) {
	w := newTestbed(t)
	e := responsetest.NewEndless(t, "", "x")
	c, err := w.dialer.ask(t.Context(), reach.Peer{Name: "helper", Address: w.helper.Listener.Addr().String()}, e.Address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "a request"); err != nil {
		t.Fatal(err)
	}
	var sent int64
	for before := int64(-1); before != sent || sent == 0; { // until the sockets are full
		before = sent
		time.Sleep(100 * time.Millisecond) // sockets need the real clock
		sent = e.Sent()
	}
	const socketBytes = 32 << 20 // of two connections
	if sent > socketBytes {
		t.Errorf("%d bytes were sent", sent)
	}
	_ = c.Close()
	if !e.AwaitClose(time.Second) {
		t.Error("the connection to the endpoint is kept")
	}
}
