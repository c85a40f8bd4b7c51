package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/merlindock/merlindock/engine"
)

// portRefusal turns the error of a port into what the caller is told.
func (c *call) portRefusal(err error, mayHaveRun bool) *Refusal {
	if c.ctx.Err() != nil {
		return c.expired(mayHaveRun)
	}
	var r *Refusal
	if !errors.As(err, &r) {
		r = notRun(CodeNoEndpoint, "no endpoint can take the request at present", DefaultRetryAfter)
	}
	if mayHaveRun && r.Outcome != OutcomeUnknown {
		// An earlier attempt may have run, so "not run" would be untrue.
		return unknown(http.StatusBadGateway, CodeEndpointFailed, "endpoints failed and no other can take the request")
	}
	return r
}

// expired is the refusal of a request whose deadline has passed, whose daemon
// statusCallerLeft is what the field uses for a caller that closed its request;
// it has no name in net/http.
const statusCallerLeft = 499

// shuts down, or whose caller has left and will not read it.
func (c *call) expired(mayHaveRun bool) *Refusal {
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
		// Nobody reads this, but operators count it: callers who leave are not
		// deadlines that were missed.
		r.Status, r.Code = statusCallerLeft, CodeCallerLeft
		r.Message = "the caller left"
	}
	if !mayHaveRun {
		r.Outcome, r.RetryAfter = OutcomeNotRun, DefaultRetryAfter
	}
	return r
}

// failed is the refusal of a request whose attempts are used up.
func (c *call) failed(mayHaveRun bool) *Refusal {
	if mayHaveRun {
		return unknown(http.StatusBadGateway, CodeEndpointFailed, "the endpoints that were tried failed")
	}
	return notRun(CodeNoEndpoint, "no endpoint took the request", DefaultRetryAfter)
}

// settle tells how an attempt went: first the observer, then the placer.
func (c *call) settle(p *Placement, r *PlaceRequest, res *AttemptResult, err error) {
	res.Err = err
	res.Outcome = c.attemptOutcome(err)
	c.tellQuarantine(p, res)
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
