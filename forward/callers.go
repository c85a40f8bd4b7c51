package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// CallerConns tracks the connections of callers, so that idle ones can be closed
// without cutting a request.
//
// The HTTP server's own way to close idle connections looks at a state that
// changes only after a request was read. A connection closed in between takes
// the request with it after it was passed on to an endpoint: the caller sees a
// broken connection and does not know whether its request ran. Here a request
// and the closing of its connection exclude each other.
type CallerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	of      *CallerConns
	serving bool
	closed  bool
}

type callerKey struct{}

// NewCallerConns returns a tracker without connections.
func NewCallerConns() *CallerConns { return &CallerConns{open: map[*callerConn]struct{}{}} }

// Listen wraps a listener so that its connections are tracked.
func (c *CallerConns) Listen(l net.Listener) net.Listener { return &callerListener{l, c} }

type callerListener struct {
	net.Listener
	callers *CallerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &callerConn{Conn: raw, of: l.callers}
	l.callers.mu.Lock()
	l.callers.open[k] = struct{}{}
	l.callers.mu.Unlock()
	return k, nil
}

// Close implements net.Conn.
func (k *callerConn) Close() error {
	k.of.mu.Lock()
	delete(k.of.open, k)
	k.closed = true
	k.of.mu.Unlock()
	return k.Conn.Close()
}

// Context is for http.Server.ConnContext.
func (c *CallerConns) Context(ctx context.Context, k net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, k)
}

// begin claims the request's connection. It returns false if the connection has
// been closed as idle: the request crossed the close and must not be passed on.
func (c *CallerConns) begin(ctx context.Context) bool {
	k, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return true // not served through Listen
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.serving = true
	return !k.closed
}

// State is for http.Server.ConnState. A request ends when the server calls the
// connection idle and not when its handler returns: the end of the answer is
// written in between, and a connection closed there would cut it off.
func (c *CallerConns) State(k net.Conn, state http.ConnState) {
	if conn, ok := k.(*callerConn); ok && state == http.StateIdle {
		c.mu.Lock()
		conn.serving = false
		c.mu.Unlock()
	}
}

// CloseIdle closes the connections that serve no request, and returns how many
// are left.
func (c *CallerConns) CloseIdle() int {
	c.mu.Lock()
	var idle []*callerConn
	for k := range c.open {
		if !k.serving {
			k.closed = true
			delete(c.open, k)
			idle = append(idle, k)
		}
	}
	left := len(c.open)
	c.mu.Unlock()
	for _, k := range idle {
		_ = k.Conn.Close()
	}
	return left
}
