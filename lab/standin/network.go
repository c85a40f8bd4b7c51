package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc/test/bufconn"
)

// DefaultConnBytes is the size of a connection's buffer in each direction.
const DefaultConnBytes = 16 << 10

// Network is an in-memory network. It serves tests that run in virtual time, and
// tests with more connections than the process's limit of file descriptors.
type Network struct {
	ConnBytes int // of a connection's buffer in each direction; 0: DefaultConnBytes

	mu        sync.Mutex // guards what follows
	listeners map[string]*bufconn.Listener
	refused   map[string]bool // addresses that refuse connections
}

// SetRefused sets whether connections to an address are refused, as they are while
// its process is not running.
func (n *Network) SetRefused(address string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[string]bool)
	}
	n.refused[address] = refused
}

// Listen returns a listener for an address. It replaces an earlier listener.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*bufconn.Listener)
	}
	size := n.ConnBytes
	setDefault(&size, DefaultConnBytes)
	l := bufconn.Listen(size)
	n.listeners[address] = l
	return listener{l}
}

// DialContext connects to the listener of an address; the network's name is
// ignored. It returns ECONNREFUSED for an address set by SetRefused, and another
// error if the address has no listener.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, refused := n.listeners[address], n.refused[address]
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if l == nil {
		return nil, fmt.Errorf("standin: no listener on %s", address)
	}
	c, err := l.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Serve serves a handler at an address until the returned server is closed.
func (n *Network) Serve(address string, h http.Handler) *http.Server {
	s := &http.Server{Handler: h}
	l := n.Listen(address)
	go func() { _ = s.Serve(l) }()
	return s
}

// listener accepts connections whose read deadlines can be cleared.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection whose read deadline can be cleared.
//
// bufconn implements a deadline by a timer that may still fire after the deadline
// was cleared. net/http's server sets a deadline in the past and clears it between
// two requests. About once in a few hundred requests, the timer then made the next
// request look as if its caller had disconnected. Read therefore returns a timeout
// only if the current deadline has passed.
type conn struct {
	net.Conn
	mu       sync.Mutex // guards deadline
	deadline time.Time
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		var e net.Error
		if !errors.As(err, &e) || !e.Timeout() || c.expiredOrReset() {
			return n, err
		}
	}
}

// expiredOrReset reports whether the current deadline has passed. If not, it sets
// the deadline again, so that reads can go on after a stale timeout.
func (c *conn) expiredOrReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return true
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	return false
}
