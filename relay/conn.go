package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/response"
)

// Bytes to the endpoint are relayed as they are. Bytes from it are framed: each frame is a
// length of two bytes and that many bytes. Two lengths have a meaning of their own, so
// that the end of the relaying daemon is not taken for the end of an answer.
const (
	frameEnd      = 0      // the endpoint closed the connection
	frameAborted  = 0xffff // the connection to the endpoint was lost
	maxFrameBytes = 8 << 10
	headerBytes   = 2
)

// errAborted reports that the relaying daemon lost its connection to the endpoint.
var errAborted = fmt.Errorf("relay: connection between relaying daemon and endpoint lost: %w", syscall.ECONNRESET)

// conn is a connection to an endpoint through another daemon.
type conn struct {
	net.Conn
	r      *response.Reader
	helper string
	left   int   // bytes of the current frame
	ended  error // after the last frame
}

// newConn returns the connection to an endpoint over one to the daemon that relays it.
func newConn(raw net.Conn, helper string) *conn {
	return &conn{Conn: raw, r: response.NewReader(raw), helper: helper}
}

// Via implements forward.RelayedConn.
func (c *conn) Via() string { return c.helper }

// Buffered implements forward.RelayedConn.
func (c *conn) Buffered() int { return c.left + c.r.Buffered() }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn. If the relaying daemon is lost, the error wraps
// forward.ErrRelayLost.
func (c *conn) Read(b []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	if c.left == 0 {
		if err := c.nextFrame(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	if err != nil {
		err = c.lost(err)
	}
	return n, err
}

func (c *conn) nextFrame() error {
	var head [headerBytes]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return c.lost(err)
	}
	switch size := binary.BigEndian.Uint16(head[:]); size {
	case frameEnd:
		c.ended = io.EOF
	case frameAborted:
		c.ended = errAborted
	default:
		c.left = int(size)
	}
	return c.ended
}

// lost returns the error for a connection to the relaying daemon that failed. The deadline
// of a request is not its fault.
func (c *conn) lost(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", forward.ErrRelayLost, err)
}

// frameWriter writes frames of what an endpoint sends.
type frameWriter struct {
	to  io.Writer
	buf [headerBytes + maxFrameBytes]byte
}

// copyFrom relays until the endpoint closes the connection or it is lost, and returns the
// first error of a write. At the endpoint's end, requestReceived tells whether the endpoint has
// received all that came for it; if not, it counts as lost.
func (w *frameWriter) copyFrom(endpoint io.Reader, requestReceived func() bool) error {
	for {
		n, err := endpoint.Read(w.buf[headerBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(w.buf[:], uint16(n))
			if _, err := w.to.Write(w.buf[:headerBytes+n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && requestReceived():
			return w.finish(frameEnd)
		case err != nil:
			return w.finish(frameAborted)
		}
	}
}

func (w *frameWriter) finish(kind uint16) error {
	binary.BigEndian.PutUint16(w.buf[:], kind)
	_, err := w.to.Write(w.buf[:headerBytes])
	return err
}
