package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections beyond maxOpen. Otherwise a fault or an attack that
// opens connections without limit would exhaust the daemon's file descriptors, and
// requests of callers would be refused.
type limitListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

// Accept returns the next connection within the limit.
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

// limitConn is a connection that is no longer counted once it is closed.
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
