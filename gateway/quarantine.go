package gateway

import (
	"net/http"
	"strconv"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/quarantine"
)

// quarantinedMessage is what callers are told of CodeQuarantined.
const quarantinedMessage = "endpoints that ran this request have ended"

// quarantined names the request by its fingerprint, and refuses it if it is held.
// Nothing of it has left for an endpoint. The host does not count: it names a daemon.
func (c *call) quarantined() *Refusal {
	if c.g.o.Quarantine == nil {
		return nil
	}
	c.fingerprint = quarantine.FingerprintOf(string(c.org.ID), c.r.Method, "", requestURI(c.r.URL), c.body)
	left, held := c.g.o.Quarantine.Held(c.fingerprint)
	if !held {
		return nil
	}
	return notRun(CodeQuarantined, quarantinedMessage, left)
}

// mayRepeat tells whether another endpoint may have the request after one failed.
func (c *call) mayRepeat() bool {
	return c.g.o.Quarantine == nil || c.g.o.Quarantine.MayRepeat(c.fingerprint)
}

// quarantinedAfter is the refusal of a request that is not sent on.
func (c *call) quarantinedAfter(mayHaveRun bool) *Refusal {
	if mayHaveRun {
		return unknown(http.StatusBadGateway, CodeQuarantined, quarantinedMessage)
	}
	return notRun(CodeQuarantined, quarantinedMessage, DefaultRetryAfter)
}

// tellQuarantine tells how an attempt ended.
func (c *call) tellQuarantine(p *Placement, res *AttemptResult) {
	q := c.g.o.Quarantine
	switch {
	case q == nil:
	case res.Outcome == AttemptSucceeded:
		q.Answered(c.fingerprint)
	case res.Outcome == AttemptFailed:
		q.Lost(c.fingerprint, lifeOf(p), p.Address)
	}
}

// lifeOf names one life of an endpoint: it may come back under the same id.
func lifeOf(p *Placement) fleet.EndpointID {
	return p.Endpoint + "@" + fleet.EndpointID(strconv.FormatUint(uint64(p.Incarnation), 36))
}
