package forward

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/merlindock/merlindock/response"
)

// Causes for the loss of a connection to an endpoint, as logged.
const (
	lossRefused     = "refused"     // nothing listens at the address
	lossReset       = "reset"       // reset by the endpoint or its kernel
	lossClosed      = "closed"      // closed before the end of the answer
	lossSilent      = "silent"      // the endpoint's host stopped acknowledging
	lossTimeout     = "timeout"     // closed by this daemon when the context ended
	lossRelay       = "relay"       // the daemon that relayed the connection was lost
	lossUnreachable = "unreachable" // other daemons do not reach the endpoint either
	lossMalformed   = "malformed"   // the response can't be parsed or is incomplete
	lossTooLong     = "too_long"    // a part of the response exceeds its limit
	lossRestarted   = "restarted"   // another incarnation has the endpoint's address
)

// classifyLoss returns how a connection was lost, by the error of the attempt.
func classifyLoss(cause error) string {
	var timeout net.Error
	var exceeded *response.Error
	switch {
	case errors.As(cause, &exceeded) && exceeded.Bound != response.BoundSyntax:
		return lossTooLong
	case errors.Is(cause, os.ErrDeadlineExceeded):
		return lossTimeout
	case errors.Is(cause, ErrOtherIncarnation):
		return lossRestarted
	case errors.Is(cause, ErrRelayLost):
		return lossRelay
	case errors.Is(cause, ErrUnreachable):
		return lossUnreachable
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
