package forward

import (
	"net/http"

	"github.com/merlindock/merlindock/retry"
)

// CodeQuarantined is the error code for a request that is not sent to endpoints
// because endpoints that ran it crashed.
const CodeQuarantined = "quarantined"

// refuseQuarantined refuses a quarantined request and returns true. It is called
// before the request is sent to any endpoint.
func (c *call) refuseQuarantined() bool {
	if c.o.Quarantine == nil {
		return false
	}
	left, held := c.o.Quarantine.Held(c.req.Fingerprint)
	if held {
		c.refuse(http.StatusServiceUnavailable, CodeQuarantined, left)
	}
	return held
}

// mayRetry reports whether the quarantine allows another attempt.
func (c *call) mayRetry() bool {
	return c.req.Attempt == 0 || c.o.Quarantine == nil || c.o.Quarantine.MayRetry(c.req.Fingerprint)
}

// reportToQuarantine reports the end of an attempt to the quarantine.
func (c *call) reportToQuarantine(t Target, end *AttemptEnd) {
	switch {
	case c.o.Quarantine == nil || end.NotRun || end.Left:
	case end.Whole || end.Error:
		c.o.Quarantine.Answered(c.req.Fingerprint)
	case end.Lost && end.Failure != retry.NotSent && classifyLoss(end.Cause) != lossTimeout:
		c.o.Quarantine.Lost(c.req.Fingerprint, t.Key, t.Address)
	}
}
