// Package responsetest has faulty servers for tests.
package responsetest

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// pieceBytes is the size of one write of the server.
	pieceBytes = 64 << 10
	// bufferBytes is the size of a socket's buffer, as it is set. The kernel uses twice as much.
	bufferBytes = 64 << 10
	// SocketBytes bounds what an Endless has sent, and a client with a connection of Dialer has
	// not read: the sockets of both ends, and the write under way.
	SocketBytes = 4*bufferBytes + pieceBytes
)

// Dialer returns a dialer whose connections hold few bytes that were received and not read.
// The kernel's own limit is up to tens of megabytes and differs between machines.
func Dialer() net.Dialer {
	return net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		}); e != nil {
			return e
		}
		return err
	}}
}

// Answering starts a server that answers the requests on each connection with the given bytes in
// turn, then keeps silent, and returns its address. Each request must be sent at once.
func Answering(t testing.TB, answers ...string) string {
	t.Helper()
	return Serve(t, func(c net.Conn) {
		request := make([]byte, pieceBytes)
		for _, answer := range answers {
			if _, err := c.Read(request); err != nil {
				return
			}
			if _, err := c.Write([]byte(answer)); err != nil {
				return
			}
		}
		_, _ = c.Read(request)
	})
}

// Serve starts a server for connections, which it closes at the end of the test, and returns its
// address.
func Serve(t testing.TB, handle func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Endless is a server that reads a request and sends bytes without end.
type Endless struct {
	Address string

	connections, sent atomic.Int64
	closed            chan struct{} // receives a value when a client has closed its connection
}

// NewEndless starts a server that answers each connection's first request with the prefix, and
// then repeats the filler until the client closes the connection. With an empty filler it keeps
// silent after the prefix.
func NewEndless(t testing.TB, prefix, filler string) *Endless {
	t.Helper()
	e := &Endless{closed: make(chan struct{}, 1024)}
	e.Address = Serve(t, func(c net.Conn) { e.serve(c, prefix, filler) })
	return e
}

// Connections returns the number of connections on which a request came.
func (e *Endless) Connections() int64 { return e.connections.Load() }

// Sent returns the number of bytes that the server has sent. Those on their way count.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// AwaitClose waits until a client has closed a connection, and reports whether it has in time.
func (e *Endless) AwaitClose(within time.Duration) bool {
	select {
	case <-e.closed:
		return true
	case <-time.After(within):
		return false
	}
}

func (e *Endless) serve(c net.Conn, prefix, filler string) {
	defer func() {
		select {
		case e.closed <- struct{}{}:
		default: // nobody waits for so many
		}
	}()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(bufferBytes)
	}
	request := make([]byte, pieceBytes)
	if _, err := c.Read(request); err != nil {
		return
	}
	e.connections.Add(1)
	if err := e.write(c, []byte(prefix)); err != nil {
		return
	}
	if filler == "" {
		_, _ = c.Read(request)
		return
	}
	piece := bytes.Repeat([]byte(filler), pieceBytes/len(filler))
	for e.write(c, piece) == nil {
	}
}

func (e *Endless) write(c net.Conn, b []byte) error {
	n, err := c.Write(b)
	e.sent.Add(int64(n))
	return err
}
