// Package cutoff resets the connections of HTTP/1.0 answers that are cut off.
//
// An answer to a caller of HTTP/1.0 that has no length ends with its connection, and the kernel
// closes the connections of a process that was killed in the way in which a whole answer ends.
// While such an answer is incomplete, its connection is therefore set to be reset whenever it
// is closed, whoever closes it. Callers of later versions know chunks, whose end is marked.
package cutoff

import (
	"context"
	"net"
	"net/http"
)

// Values of the socket option SO_LINGER.
const (
	resetOnClose    = 0
	transmitOnClose = -1
)

type connKey struct{}

// Guard makes the server reset the connections of answers that are cut off. It is called once,
// after the server's Handler and ConnContext are set. An answer is cut off if the handler
// panics, the answer can't be written, or the process ends. Handlers can't hijack connections
// of HTTP/1.0.
func Guard(s *http.Server) {
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		if tcp := tcpOf(c); tcp != nil {
			ctx = context.WithValue(ctx, connKey{}, tcp)
		}
		return ctx
	}
	s.Handler = handler{s.Handler}
}

// tcpOf returns the TCP connection that c wraps; nil: there is none.
func tcpOf(c net.Conn) *net.TCPConn {
	for {
		switch t := c.(type) {
		case *net.TCPConn:
			return t
		case interface{ NetConn() net.Conn }:
			c = t.NetConn()
		default:
			return nil
		}
	}
}

type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		h.next.ServeHTTP(w, r)
		return
	}
	tcp, _ := r.Context().Value(connKey{}).(*net.TCPConn)
	if tcp == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	// Errors mean that the connection has ended. Writes to it fail as well.
	_ = tcp.SetLinger(resetOnClose)
	whole := false
	defer func() {
		if !whole {
			// Closed here, as TLS would mark its end.
			_ = tcp.Close()
		}
	}()
	h.next.ServeHTTP(w, r)
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = tcp.SetLinger(transmitOnClose)
	whole = true
}
