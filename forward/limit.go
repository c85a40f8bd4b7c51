package forward

import (
	"context"
	"net/http"

	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/routes"
)

// CodeRateLimited is the error code for a request beyond its organisation's rate limit.
const CodeRateLimited = "rate_limited"

// Limiter enforces the rate limits of organisations across all daemons. tokens is
// RequestInfo.QuotaTokens.
type Limiter interface {
	// Admit decides on a request. priority is that of its route. It may wait for the
	// answer of another daemon, and returns an error only if the context ends first.
	Admit(ctx context.Context, org *routes.Organisation, tokens, priority int) (quota.Verdict, error)
	// Refund returns the units of an admitted request that did not run.
	Refund(org *routes.Organisation, tokens int)
	// Charge takes the units of a further run of an admitted request.
	Charge(org *routes.Organisation, tokens int)
}

// quotaCharge counts the runs of a request against its organisation's limit.
type quotaCharge struct {
	charged int // runs that were charged
	ran     int // attempts that may have run
}

// withinRateLimit enforces the rate limit of the organisation. If the request is
// beyond it, it refuses the request and returns false.
func (c *call) withinRateLimit() bool {
	org := c.req.Organisation
	if c.o.Limiter == nil || org == nil || org.Limit.PerSecond <= 0 {
		return true
	}
	v, err := c.o.Limiter.Admit(c.r.Context(), org, c.in.QuotaTokens, c.req.Route.Priority)
	if err != nil {
		c.callerLeft()
	}
	c.report.Quota = v
	if !v.Admitted {
		c.refuse(http.StatusTooManyRequests, CodeRateLimited, v.RetryAfter)
		return false
	}
	c.charge.charged = 1
	return true
}

// chargeRetry charges the next attempt if all charged ones may have run. A limit
// counts what endpoints run, not what callers send.
func (c *call) chargeRetry() {
	if c.charge.charged > 0 && c.charge.ran >= c.charge.charged {
		c.charge.charged++
		c.o.Limiter.Charge(c.req.Organisation, c.in.QuotaTokens)
	}
}

// refundNotRun refunds the charges for attempts that did not run.
func (c *call) refundNotRun() {
	for ; c.charge.charged > c.charge.ran; c.charge.charged-- {
		c.o.Limiter.Refund(c.req.Organisation, c.in.QuotaTokens)
	}
}
