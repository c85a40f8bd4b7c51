package forward

import (
	"net/http"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/retry"
)

// CodeQuarantined is the code of a request that is kept from endpoints, as endpoints
// that ran it have ended.
const CodeQuarantined = "quarantined"

// Quarantine keeps requests from endpoints that end whenever they run them.
type Quarantine interface {
	// Held tells how long the request is still held; false if it is not.
	Held(f quarantine.Fingerprint) (left time.Duration, held bool)
	// MayRepeat tells whether the request may be sent on after it was lost at an
	// endpoint.
	MayRepeat(f quarantine.Fingerprint) bool
	// Lost takes an attempt whose connection ended. The endpoint may have ended too. key
	// names one life of it.
	Lost(f quarantine.Fingerprint, key fleet.EndpointID, address string)
	// Answered takes that an endpoint answered the request whole.
	Answered(f quarantine.Fingerprint)
}

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
func (c *call) tellQuarantine(t Target, end *End) {
	switch {
	case c.o.Quarantine == nil || end.NotRun || end.Left:
	case end.Whole || end.Error:
		c.o.Quarantine.Answered(c.work.Fingerprint)
	case end.Lost && end.Failure != retry.NotSent && lossOf(end.Cause) != lossSilent:
		c.o.Quarantine.Lost(c.work.Fingerprint, t.Key, t.Address)
	}
}
