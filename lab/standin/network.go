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

// DefaultConnBytes is what a connection of a Network buffers each way.
const DefaultConnBytes = 16 << 10

// Network is a network in memory, for tests in virtual time and for more
// connections than a process may have file descriptors.
type Network struct {
	ConnBytes int // buffered each way by connections; 0: DefaultConnBytes

	mu        sync.Mutex // guards what follows
	listeners map[string]*bufconn.Listener
	refused   map[string]bool // addresses where nobody listens for now
}

// SetRefused has connections to an address refused, as after the end of its process, or
// taken again.
func (n *Network) SetRefused(address string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[string]bool)
	}
	n.refused[address] = refused
}

// Listen returns a listener for an address, which replaces an earlier one.
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
// not looked at.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, refused := n.listeners[address], n.refused[address]
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if l == nil {
		return nil, fmt.Errorf("standin: nothing listens on %s", address)
	}
	c, err := l.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Serve serves a handler under an address until the server returned is closed.
func (n *Network) Serve(address string, h http.Handler) *http.Server {
	s := &http.Server{Handler: h}
	l := n.Listen(address)
	go func() { _ = s.Serve(l) }()
	return s
}

// listener hands out connections whose deadlines can be taken back.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection whose read deadline can be taken back.
//
// bufconn keeps a deadline by a timer that may still strike after the deadline
// was taken back. net/http's server sets one in the past and takes it back
// between two requests, and the next request was then, once in a few hundred,
// taken for one whose caller had left. A timeout is passed on only when the
// deadline in force has passed.
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

// expiredOrReset tells whether the deadline has passed, and sets it again if not.
func (c *conn) expiredOrReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return true
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	return false
}
