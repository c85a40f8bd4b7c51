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

// refuseHeld gives the final answer to a request that is held and returns true. One that
// has not run is refused until the hold ends.
func (c *call) refuseHeld() bool {
	hold := c.held()
	if hold != nil {
		c.answerHeld(hold)
	}
	return hold != nil
}

func (c *call) answerHeld(hold *quarantine.Hold) {
	if !c.sent.Nothing() || c.answer != nil || c.mayHaveRun() {
		c.giveUp(retry.Decision{Code: retry.Code(quarantineCode(hold))})
		return
	}
	c.refuse(http.StatusServiceUnavailable, quarantineCode(hold), hold.Left)
}

// heldSincePlacement ends a placement and gives the final answer if a hold on the request
// began meanwhile, and returns true.
func (c *call) heldSincePlacement(p *Placement) bool {
	hold := c.held()
	if hold == nil {
		return false
	}
	c.o.Placer.AttemptEnded(p, AttemptEnd{Left: true})
	c.answerHeld(hold)
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
