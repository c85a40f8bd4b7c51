package forward

import (
	"net/http"

	"github.com/merlindock/merlindock/retry"
)

// CodeQuarantined is the code of a request that is kept from endpoints, as endpoints
// that ran it have ended.
const CodeQuarantined = "quarantined"

// quarantined refuses a request that is held. Nothing of it has left for an endpoint.
func (c *call) quarantined() bool {
	if c.o.Quarantine == nil {
		return false
	}
	left, held := c.o.Quarantine.Held(c.work.Fingerprint)
	if held {
		c.refuse(http.StatusServiceUnavailable, CodeQuarantined, left)
	}
	return held
}

// mayRepeat tells whether another endpoint may have the request.
func (c *call) mayRepeat() bool {
	return c.work.Attempt == 0 || c.o.Quarantine == nil || c.o.Quarantine.MayRepeat(c.work.Fingerprint)
}

// tellQuarantine tells how an attempt ended.
func (c *call) tellQuarantine(t Target, end *AttemptEnd) {
	switch {
	case c.o.Quarantine == nil || end.NotRun || end.Left:
	case end.Whole || end.Error:
		c.o.Quarantine.Answered(c.work.Fingerprint)
	case end.Lost && end.Failure != retry.NotSent && lossOf(end.Cause) != lossTimeout:
		c.o.Quarantine.Lost(c.work.Fingerprint, t.Key, t.Address)
	}
}
