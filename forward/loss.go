package forward

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Ways in which a connection to an endpoint ends, for logs.
const (
	lossRefused   = "refused"   // nobody listens there
	lossReset     = "reset"     // the endpoint, or its kernel, ended it at once
	lossClosed    = "closed"    // it ended before the answer did
	lossSilent    = "silent"    // the endpoint's host acknowledged nothing any more
	lossTimeout   = "timeout"   // the daemon's own time for it was over
	lossMalformed = "malformed" // what came is no answer
)

// lossOf names how a connection ended.
func lossOf(cause error) string {
	var timeout net.Error
	switch {
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return lossTimeout
	case errors.Is(cause, syscall.ECONNREFUSED):
		return lossRefused
	case errors.Is(cause, syscall.ECONNRESET), errors.Is(cause, syscall.EPIPE):
		return lossReset
	case errors.Is(cause, io.EOF), errors.Is(cause, io.ErrUnexpectedEOF):
		return lossClosed
	case errors.As(cause, &timeout) && timeout.Timeout():
		return lossSilent
	default:
		return lossMalformed
	}
}
