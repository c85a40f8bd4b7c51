package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/routes"
)

// CodeRateLimited is the code of a request beyond its organisation's rate limit.
const CodeRateLimited = "rate_limited"

// Limiter holds organisations to their rate limits over all daemons. tokens is
// Inbound.QuotaTokens.
type Limiter interface {
	// Admit decides on a request. It may wait for another daemon's word, and
	// returns an error only if the context ends first.
	Admit(ctx context.Context, org *routes.Organisation, tokens int) (quota.Verdict, error)
	// Refund returns what a request took that did not run.
	Refund(org *routes.Organisation, tokens int)
	// Charge takes what a further run of a request takes.
	Charge(org *routes.Organisation, tokens int)
}

// charge is what a request took of its organisation's limit.
type charge struct {
	taken int // runs that were charged
	ran   int // attempts that may have run
}

// withinLimit holds the organisation to its rate limit. It answers and returns
// false if the request is beyond it.
func (c *call) withinLimit() bool {
	org := c.work.Organisation
	if c.o.Limiter == nil || org == nil || org.Limit.PerSecond <= 0 {
		return true
	}
	v, err := c.o.Limiter.Admit(c.r.Context(), org, c.in.QuotaTokens)
	if err != nil {
		c.left()
	}
	c.report.Quota = v
	if !v.Admitted {
		c.refuseUnread(http.StatusTooManyRequests, CodeRateLimited, v.RetryAfter)
		return false
	}
	c.quota.taken = 1
	return true
}

// refuseUnread answers before the body is read, and then reads it away.
//
// The server would read the body first. Told not to, it must not find a part of it
// left when the handler ends: it would read that beside the next request, and break
// the connection.
func (c *call) refuseUnread(status int, code string, retryAfter time.Duration) {
	duplex := c.rc.EnableFullDuplex()
	c.refuse(status, code, retryAfter)
	if duplex != nil {
		return // the server reads the body itself, before it sends the refusal
	}
	if err := c.rc.Flush(); err != nil {
		c.abort()
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(c.w, c.r.Body, c.bodyLimit())); err != nil {
		c.abort() // what is left of the body can't be told from the next request
	}
}

// chargeAgain charges the next attempt if one before it may have run: a limit
// counts what endpoints run.
func (c *call) chargeAgain() {
	if c.quota.taken > 0 && c.quota.ran >= c.quota.taken {
		c.quota.taken++
		c.o.Limiter.Charge(c.work.Organisation, c.in.QuotaTokens)
	}
}

// settle gives back what was charged for attempts that did not run.
func (c *call) settle() {
	for ; c.quota.taken > c.quota.ran; c.quota.taken-- {
		c.o.Limiter.Refund(c.work.Organisation, c.in.QuotaTokens)
	}
}
