package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.RoundTripper that fails with an *Error as soon as the bytes received
// can't be the head of a response. Heads that are encrypted have net/http's limit only.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that uses t, which it changes, with a limit for heads in
// bytes.
func NewTransport(t *http.Transport, maxHeadBytes int64) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c, head: headScanner{maxBytes: maxHeadBytes, state: headComplete, continuous: true}}, nil
	}
	// The scanner is stricter, and its errors name the limit. net/http's limit is for
	// connections that the scanner can't read.
	t.MaxResponseHeaderBytes = maxHeadBytes + readBufferBytes
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[guardedConn] // that of the last try
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			c.requested.Store(true)
			conn.Store(c)
		}
	}})
	resp, err := t.transport.RoundTrip(req.WithContext(ctx))
	if c := conn.Load(); err != nil && c != nil {
		if rejected := c.rejected.Load(); rejected != nil {
			return nil, rejected // net/http may name the line that is cut off instead
		}
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

type guardedConn struct {
	net.Conn
	// requested states that a request got the connection, and nothing was received since. The
	// next bytes begin the head of its response.
	requested atomic.Bool
	rejected  atomic.Pointer[Error]
	head      headScanner // used by Read only
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	if rejected := c.rejected.Load(); rejected != nil {
		return 0, rejected
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.requested.Swap(false) {
		c.head.reset()
	}
	if rejected := c.head.scan(b[:n]); rejected != nil {
		c.rejected.Store(rejected)
		return 0, rejected
	}
	return n, err
}
