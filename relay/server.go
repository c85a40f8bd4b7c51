package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/socket"
	"github.com/merlindock/merlindock/logging"
)

// Path is where a daemon serves requests of others for a connection to an endpoint.
const Path = "/v1/relay"

// Headers and the protocol of a request for a connection.
const (
	headerEndpoint = "Endpoint"   // IP:port
	headerTimeout  = "Timeout-Ms" // of the connection attempt
	protocol       = "merlindock-relay/1"
)

// maxRelayed bounds the connections that a daemon relays at the same time. Each takes two
// descriptors and about 25 KB.
const maxRelayed = 256

// ServerOptions configure a Server.
type ServerOptions struct {
	Dial forward.Dial // direct connections to endpoints
	// Known reports whether the address is that of an endpoint that may be used.
	Known func(address string) bool
	// Peer reports whether a request from the remote address comes from another daemon.
	Peer func(remote string) bool
	// Unable reports whether this daemon reaches no endpoints itself or is shutting down.
	Unable func() bool
	Log    *logging.Logger
}

// Server connects other daemons to endpoints. It never relays through a further daemon.
type Server struct {
	o    ServerOptions
	open atomic.Int64
}

// NewServer returns a Server.
func NewServer(o ServerOptions) *Server { return &Server{o: o} }

// Open returns the number of connections that are relayed now.
func (s *Server) Open() int64 { return s.open.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Header.Get(headerEndpoint)
	ms, err := strconv.ParseInt(r.Header.Get(headerTimeout), 10, 64)
	switch {
	case r.Method != http.MethodPost || r.Header.Get("Upgrade") != protocol || err != nil || ms <= 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case !s.o.Peer(r.RemoteAddr) || !s.o.Known(address):
		w.WriteHeader(http.StatusForbidden)
		return
	case s.o.Unable():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > maxRelayed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(ms)*time.Millisecond, maxDialTimeout))
	defer cancel()
	endpoint, err := s.o.Dial(ctx, "tcp", address)
	if err != nil {
		w.WriteHeader(statusOfDial(err))
		return
	}
	defer endpoint.Close()
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.o.Log.Error("Connection of another daemon cannot be taken over.", "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer caller.Close()
	if err := prepare(caller); err != nil {
		return
	}
	s.relay(caller, buffered.Reader, endpoint)
}

// prepare removes the deadlines of the HTTP server and answers the request.
func prepare(caller net.Conn) error {
	if err := caller.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if tcp, ok := caller.(*net.TCPConn); ok {
		if err := forward.DetectLoss(tcp); err != nil {
			return err
		}
	}
	_, err := io.WriteString(caller, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	return err
}

// relay copies in both directions until one of them ends. When the caller closes its
// connection, most endpoints stop to work on its request, so it is passed on at once.
func (s *Server) relay(caller net.Conn, from *bufio.Reader, endpoint net.Conn) {
	up := make(chan struct{})
	to := requestWriter{to: endpoint}
	var ended atomic.Bool // by the endpoint
	go func() {
		defer close(up)
		_, _ = io.Copy(&to, from)
		if !ended.Load() {
			_ = endpoint.Close()
		}
	}()
	frames := frameWriter{to: caller}
	_ = frames.copyFrom(endpoint, func() bool {
		ended.Store(true)
		// Nothing more is read of the caller, and a write that waits for room is given up.
		_ = caller.SetReadDeadline(time.Unix(1, 0))
		_ = endpoint.SetWriteDeadline(time.Unix(1, 0))
		<-up
		return to.err == nil && socket.Delivered(endpoint) && socket.Drained(caller)
	})
	_ = caller.Close()
	<-up
}

// requestWriter writes to an endpoint and keeps the error. It also hides ReadFrom, which would
// splice the sockets through a pipe and take two more descriptors.
type requestWriter struct {
	to  io.Writer
	err error
}

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.err = err
	return n, err
}

// statusOfDial returns the status for an endpoint that was not reached.
func statusOfDial(err error) int {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
