package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections beyond a number. A fault or an attack
// that opens connections without end would otherwise take the daemon's file
// descriptors, seen as refused callers.
type limitListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

// Accept returns the next connection within the bound.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &limitConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

// limitConn gives its place back when it is closed.
type limitConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
