package response

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport whose responses have heads of at most MaxControlHeadBytes
// and a read buffer.
func NewTransport(dial Dial) *http.Transport {
	// Heads that end in the buffer are accepted, and Guard, whose errors name the limit, is
	// stricter.
	return &http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: MaxControlHeadBytes + readBufferBytes}
}

// Guard returns a Dial whose connections end with an *Error as soon as the bytes received
// can't be the head of a response. It is meant for clients that send each request with one
// write and read the whole response before the next.
func Guard(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		g := &guardedConn{Conn: c}
		g.head = headScanner{maxBytes: MaxControlHeadBytes, state: headComplete}
		return g, nil
	}
}

type guardedConn struct {
	net.Conn
	requested atomic.Bool // a request was written since the last read
	head      headScanner // used by Read only
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.requested.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	if c.head.rejected != nil {
		return 0, c.head.rejected
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.requested.Swap(false) {
		c.head.reset()
	}
	if rejected := c.head.scan(b[:n]); rejected != nil {
		return 0, rejected
	}
	return n, err
}
