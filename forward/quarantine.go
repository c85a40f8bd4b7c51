package forward

import (
	"net/http"

	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/retry"
)

// Error codes for requests that are not sent to endpoints because endpoints crashed that
// ran them, or ran prompts with one of their segments.
const (
	CodeQuarantined        = "quarantined"
	CodeSegmentQuarantined = "quarantined_segment"
)

// setIdentity computes the fingerprints by which the request and its segments are
// recognised under any attempt ID.
func (c *call) setIdentity() {
	id := &c.req.Identity
	id.Request = quarantine.FingerprintOf(c.report.Organisation, c.out.Method, c.out.Host, c.out.URI, c.out.Body)
	if len(c.in.Parts) > 1 {
		names := make([]string, len(c.in.Parts))
		for n, segment := range c.in.Parts {
			names[n] = segment.ID
		}
		id.SetSegments(c.report.Organisation, c.in.Model, names)
	}
	c.report.Fingerprint = id.Request
}

// held returns the hold by which the request is refused and reports it; nil: none.
func (c *call) held() *quarantine.Hold {
	if c.o.Quarantine == nil {
		return nil
	}
	hold, held := c.o.Quarantine.Held(&c.req.Identity)
	if !held {
		return nil
	}
	c.report.Hold, c.report.HeldSegment = &hold, c.req.Identity.SegmentID(hold.Fingerprint)
	return &hold
}

// refuseQuarantined refuses a quarantined request and returns true. It is called
// before the request is sent to any endpoint.
func (c *call) refuseQuarantined() bool {
	hold := c.held()
	if hold != nil {
		c.refuse(http.StatusServiceUnavailable, quarantineCode(hold), hold.Left)
	}
	return hold != nil
}

// heldSincePlacement answers a request for which a hold began while it waited for its
// placement, and returns true.
func (c *call) heldSincePlacement(p *Placement) bool {
	hold := c.held()
	if hold == nil {
		return false
	}
	c.o.Placer.AttemptEnded(p, AttemptEnd{Left: true})
	if c.req.Attempt > 0 {
		c.giveUp(retry.Decision{Code: retry.Code(quarantineCode(hold))})
	} else {
		c.refuse(http.StatusServiceUnavailable, quarantineCode(hold), hold.Left)
	}
	return true
}

func quarantineCode(h *quarantine.Hold) string {
	if h.Fingerprint.IsSegment() {
		return CodeSegmentQuarantined
	}
	return CodeQuarantined
}

// mayRetry reports whether the quarantine allows another attempt.
func (c *call) mayRetry() bool {
	return c.req.Attempt == 0 || c.o.Quarantine == nil || c.o.Quarantine.MayRetry(&c.req.Identity)
}

// reportToQuarantine reports the end of an attempt to the quarantine.
func (c *call) reportToQuarantine(p *Placement, end *AttemptEnd) {
	at := quarantine.Endpoint{Key: p.Target.Key, Address: p.Target.Address}
	switch {
	case c.o.Quarantine == nil || end.NotRun || end.Left:
	case end.Generated && end.Unframed:
		c.o.Quarantine.Ended(&c.req.Identity, p.Out.Version, at)
	case end.Generated:
		c.o.Quarantine.Answered(&c.req.Identity, p.Out.Version)
	case end.Lost && end.Failure != retry.NotSent && classifyLoss(end.Cause) != lossTimeout:
		c.o.Quarantine.Lost(&c.req.Identity, p.Out.Version, at)
	}
}
