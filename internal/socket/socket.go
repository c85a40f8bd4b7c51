// Package socket asks the kernel for the state of TCP connections.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Delivered reports whether the other end has acknowledged all bytes that were written to the
// connection, and has not reset it. It returns true where that is not known, as without a socket,
// and false for closed connections. A reset is reported once.
func Delivered(c net.Conn) bool {
	return ask(c, func(fd int) bool {
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil && queued > 0 {
			return false
		}
		reset, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		return err != nil || reset == 0
	})
}

// Drained reports whether all bytes that the connection has received were read. It returns true
// where that is not known, and false for closed connections.
func Drained(c net.Conn) bool {
	return ask(c, func(fd int) bool {
		unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err != nil || unread == 0
	})
}

func ask(c net.Conn, question func(fd int) bool) bool {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn() // of TLS
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	answer := false
	err = raw.Control(func(fd uintptr) { answer = question(int(fd)) })
	return err == nil && answer
}
