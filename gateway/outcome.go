package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/merlindock/merlindock/engine"
)

// portRefusal converts an error of the Placer, Admitter or Claimer to a Refusal.
func (c *call) portRefusal(err error, mayHaveRun bool) *Refusal {
	if c.ctx.Err() != nil {
		return c.contextRefusal(mayHaveRun)
	}
	var r *Refusal
	if !errors.As(err, &r) {
		r = notRunRefusal(CodeNoEndpoint, "no endpoint can take the request at present", DefaultRetryAfter)
	}
	if mayHaveRun && r.Outcome != OutcomeUnknown {
		// An earlier attempt may have run, so "not run" would be wrong.
		return unknownOutcome(http.StatusBadGateway, CodeEndpointFailed, "endpoints failed and no other can take the request")
	}
	return r
}

// statusClientClosedRequest is the customary status for a request that its caller
// closed. It has no name in net/http.
const statusClientClosedRequest = 499

// contextRefusal returns the refusal for a request whose context has ended: its
// deadline has passed, the daemon shuts down, or the caller has left.
func (c *call) contextRefusal(mayHaveRun bool) *Refusal {
	r := &Refusal{
		Status:  http.StatusGatewayTimeout,
		Code:    CodeDeadline,
		Outcome: OutcomeUnknown,
		Message: "the deadline has passed",
	}
	switch {
	case errors.Is(context.Cause(c.ctx), ErrShutdown):
		r.Status, r.Code = http.StatusServiceUnavailable, CodeShutdown
		r.Message = "the daemon shuts down"
	case errors.Is(c.ctx.Err(), context.Canceled):
		// The caller cannot read this answer, but the code keeps callers that left
		// apart from missed deadlines in the metrics.
		r.Status, r.Code = statusClientClosedRequest, CodeCallerLeft
		r.Message = "the caller left"
	}
	if !mayHaveRun {
		r.Outcome, r.RetryAfter = OutcomeNotRun, DefaultRetryAfter
	}
	return r
}

// attemptsExhausted returns the refusal for a request that gets no further attempt.
func (c *call) attemptsExhausted(mayHaveRun bool) *Refusal {
	if mayHaveRun {
		return unknownOutcome(http.StatusBadGateway, CodeEndpointFailed, "the endpoints that were tried failed")
	}
	return notRunRefusal(CodeNoEndpoint, "no endpoint took the request", DefaultRetryAfter)
}

// reportAttempt reports the result of an attempt to the quarantine, the observer and
// the placer, in this order.
func (c *call) reportAttempt(p *Placement, r *PlaceRequest, res *AttemptResult, err error) {
	res.Err = err
	res.Outcome = c.attemptOutcome(err)
	c.reportToQuarantine(p, res)
	c.g.o.Observer.Attempt(r, p, res)
	if p.OnDone != nil {
		p.OnDone(*res)
	}
}

func (c *call) attemptOutcome(err error) AttemptOutcome {
	if err == nil {
		return AttemptSucceeded
	}
	if c.ctx.Err() != nil || errors.Is(err, errCallerSlow) {
		return AttemptCancelled
	}
	switch engine.ClassOf(err) {
	case engine.NotSent:
		return AttemptNotSent
	case engine.NotRun:
		return AttemptNotRun
	default:
		return AttemptFailed
	}
}
