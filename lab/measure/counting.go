package measure

import (
	"context"
	"net"
	"sync/atomic"
)

// CountingDial returns a dial function whose connections count on wire what
// goes over them, both ways.
func CountingDial(wire *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		return &countingConn{Conn: c, wire: wire}, err
	}
}

type countingConn struct {
	net.Conn
	wire *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.Add(int64(n))
	return n, err
}
