package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundedListener closes connections beyond a number. A fault or an attack
// that opens connections without end would otherwise take the daemon's file
// descriptors, seen as refused callers.
type boundedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &boundedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

// boundedConn gives its place back when it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
