package measure

import (
	"context"
	"net"
	"sync/atomic"
)

// CountingDial returns a dial function whose connections add the bytes that
// they read and write to transferred.
func CountingDial(transferred *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		return &countingConn{Conn: c, transferred: transferred}, err
	}
}

type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transferred.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transferred.Add(int64(n))
	return n, err
}
