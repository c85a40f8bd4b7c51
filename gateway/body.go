package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/ingress"
)

// withBody reads the request's body into memory, so that serve can send it in
// several attempts, and then calls serve.
func (c *call) withBody(serve func() *Refusal) *Refusal {
	l := &c.g.o.Limits
	body, err := ingress.ReadBody(c.g.o.Budget, c.w, c.r, ingress.BodyOptions{
		Limit: l.BodyBytes, Deadline: time.Now().Add(l.BodyTimeout), Owner: string(c.org.ID), Prefix: maxSeedFieldBytes,
	})
	if err != nil {
		return c.refuseBody(err)
	}
	defer body.Release()
	c.bodyRead = true
	c.bodyBuffer, c.body = body.Bytes, body.Bytes[maxSeedFieldBytes:]
	if refusal := c.checkQuarantine(); refusal != nil {
		return refusal
	}
	return serve()
}

// refuseBody returns the refusal of a request whose body was not read.
func (c *call) refuseBody(err error) *Refusal {
	c.w.Header().Set("Connection", "close")
	l := &c.g.o.Limits
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return refusedf(http.StatusRequestEntityTooLarge, CodeTooLarge, "the request's body exceeds %d bytes", l.BodyBytes)
	case errors.Is(err, ingress.ErrNoRoom):
		return notRunRefusal(CodeOverloaded, "too many request bodies are held at present", DefaultRetryAfter)
	case errors.Is(err, ingress.ErrStopping):
		return notRunRefusal(CodeShutdown, "the daemon shuts down", DefaultRetryAfter)
	default:
		return refusedf(http.StatusRequestTimeout, CodeSlowRequest, "the request's body did not arrive whole within %v", l.BodyTimeout)
	}
}
