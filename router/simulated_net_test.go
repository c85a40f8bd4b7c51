package router

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// cutMode is how a daemon is cut off from all endpoints.
type cutMode uint8

const (
	notCut     cutMode = iota
	cutSilent          // packets are lost in both directions
	cutReset           // connections are reset and new ones refused
	cutRefused         // open connections live on, new ones are refused
)

// Timeouts of the simulated kernel, as forward.Dialer sets them.
const (
	simulatedDialTimeout    = 400 * time.Millisecond
	simulatedUnackedTimeout = 1500 * time.Millisecond
)

// cut cuts a daemon off from all endpoints, or ends that with notCut. Bytes that were lost
// meanwhile are not delivered later: the connections that carried them end by a timeout.
func (f *simulatedFleet) cut(daemon int, mode cutMode) {
	var open []*simulatedConn
	f.mu.Lock()
	f.cuts[daemon] = mode
	for c := range f.conns {
		if c.daemon == daemon && mode == cutReset {
			open = append(open, c)
		}
	}
	f.mu.Unlock()
	for _, c := range open {
		c.fail(syscall.ECONNRESET)
	}
}

func (f *simulatedFleet) cutOf(daemon int) cutMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[daemon]
}

// unansweredDial returns the error of a dial to which no packet arrives.
func unansweredDial(ctx context.Context) error {
	timer := time.NewTimer(simulatedDialTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	case <-ctx.Done():
		return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// simulatedConn is the daemon's side of a connection to an endpoint.
type simulatedConn struct {
	net.Conn
	f               *simulatedFleet
	daemon          int
	hostUnreachable bool

	mu      sync.Mutex
	failure error // ended the connection; nil: none
	unacked bool  // data was lost, and a timeout is running
}

// fail ends the connection with an error, as the kernel does.
func (c *simulatedConn) fail(err error) {
	c.mu.Lock()
	if c.failure == nil {
		c.failure = &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	c.mu.Unlock()
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *simulatedConn) Close() error {
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn. Data written while the daemon is cut off silently is lost, and
// the connection times out.
func (c *simulatedConn) Write(b []byte) (int, error) {
	lost := c.f.cutOf(c.daemon) == cutSilent
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	if lost && !c.unacked {
		c.unacked = true
		time.AfterFunc(simulatedUnackedTimeout, func() { c.fail(syscall.ETIMEDOUT) })
	}
	if c.unacked {
		return len(b), nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	return n, err
}

// Read implements net.Conn. Data that arrives while the daemon is cut off silently is lost.
// If the host is unreachable, the end of the connection is reported as a timeout.
func (c *simulatedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err == nil && c.f.cutOf(c.daemon) == cutSilent {
			continue
		}
		c.mu.Lock()
		failure := c.failure
		c.mu.Unlock()
		switch {
		case err == nil:
		case failure != nil:
			err = failure
		case c.hostUnreachable && errors.Is(err, io.EOF):
			err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
		}
		return n, err
	}
}

// closePeers ends all connections of other daemons to a daemon, and refuses new ones, as if
// its process had ended.
func (f *simulatedFleet) closePeers(daemon int) {
	f.mu.Lock()
	l := f.peers[daemonAddress(daemon).String()]
	f.mu.Unlock()
	l.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		_ = c.Close()
	}
}

// simulatedListener is the address of a daemon for other daemons.
type simulatedListener struct {
	mu      sync.Mutex
	open    []net.Conn
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// listen replaces the listener of an address.
func (f *simulatedFleet) listen(address string) net.Listener {
	l := &simulatedListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.peers[address]; old != nil {
		old.close()
	}
	f.peers[address] = l
	return l
}

func (l *simulatedListener) close() { l.once.Do(func() { close(l.done) }) }

// peerConn is a daemon's side of a connection from another daemon.
type peerConn struct {
	net.Conn
	remote net.Addr
}

// RemoteAddr implements net.Conn.
func (c *peerConn) RemoteAddr() net.Addr { return c.remote }

func (l *simulatedListener) connect(from string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- &peerConn{Conn: far, remote: net.TCPAddrFromAddrPort(netip.MustParseAddrPort(from))}:
		l.mu.Lock()
		l.open = append(l.open, far)
		l.mu.Unlock()
		return near, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
}

// Accept implements net.Listener.
func (l *simulatedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *simulatedListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *simulatedListener) Addr() net.Addr { return &net.TCPAddr{} }
