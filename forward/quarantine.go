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

// refuseQuarantined refuses a quarantined request and returns true. It is called
// before the request is sent to any endpoint.
func (c *call) refuseQuarantined() bool {
	if c.o.Quarantine == nil {
		return false
	}
	hold, held := c.o.Quarantine.Held(&c.req.Identity)
	if held {
		c.report.Hold = &hold
		c.report.HeldSegment = c.req.Identity.SegmentID(hold.Fingerprint)
		c.refuse(http.StatusServiceUnavailable, quarantineCode(&hold), hold.Left)
	}
	return held
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
	switch {
	case c.o.Quarantine == nil || end.NotRun || end.Left:
	case end.Generated:
		c.o.Quarantine.Answered(&c.req.Identity, p.Out.Version)
	case end.Lost && end.Failure != retry.NotSent && classifyLoss(end.Cause) != lossTimeout:
		c.o.Quarantine.Lost(&c.req.Identity, p.Out.Version, quarantine.Endpoint{Key: p.Target.Key, Address: p.Target.Address})
	}
}
