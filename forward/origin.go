package forward

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/streamorigin"
)

// Error codes for streams that callers take up again.
const (
	// CodeStreamUnknown refuses a stream of which no daemon knows where it began.
	CodeStreamUnknown = "stream_unknown"
	// CodeStreamMoved refuses a stream whose route no longer leads to the service at which
	// it began.
	CodeStreamMoved = "stream_service_gone"
)

// Origins knows where the streams of all daemons began.
type Origins interface {
	// Began records where a stream began that its caller may take up, and that lasts for the
	// lifetime at most. It is called before the caller receives the first event.
	Began(id streamorigin.ID, o streamorigin.Origin, lifetime time.Duration)
	// Ended reports that the caller has received the stream whole.
	Ended(id streamorigin.ID)
	// Single reports whether a service is known to have had one software version for longer
	// than streams last.
	Single(service string) bool
	// Find returns where a stream began that lasts for the lifetime at most. service is the one
	// it belongs to unless another is known.
	Find(ctx context.Context, id streamorigin.ID, service string, lifetime time.Duration) streamorigin.Answer
}

// firstAttempt returns the attempt that brought the first event of the stream, or will.
func (c *call) firstAttempt() string {
	if c.continues() {
		return c.in.Resumes
	}
	return c.in.AttemptID
}

// setStream sets the ID of a stream that its caller may take up.
func (c *call) setStream() {
	if c.req.Route.Kind != routes.Stream {
		return
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.stream = streamorigin.IDOf(c.report.Organisation, c.r.Method, c.r.Host, path, c.firstAttempt())
}

// continues reports whether the caller takes up a stream.
func (c *call) continues() bool {
	return c.o.Origins != nil && c.req.Route.Kind == routes.Stream && c.in.Continues
}

// findOrigin finds where the stream began that the caller takes up, and returns the service
// that continues it. If it can't be continued, it refuses the request and returns false.
func (c *call) findOrigin(service string) (string, bool) {
	if !c.continues() {
		return service, true
	}
	answer := c.o.Origins.Find(c.ctx, c.stream, service, c.streamLifetime())
	c.report.Origin = &answer
	led := func(b routes.Backend) bool { return b.Service == answer.Origin.Service && b.Weight > 0 }
	switch {
	case c.r.Context().Err() != nil:
		c.callerLeft()
	case !answer.Known:
		c.refuse(http.StatusServiceUnavailable, CodeStreamUnknown, retryAfterFailure)
		return "", false
	case !slices.ContainsFunc(c.req.Route.Backends, led):
		c.refuse(http.StatusServiceUnavailable, CodeStreamMoved, retryAfterFailure)
		return "", false
	}
	c.req.Origin, c.req.Resuming = &answer.Origin, true
	return answer.Origin.Service, true
}

// streamBegins records where the stream began, before its first event is sent.
func (c *call) streamBegins() {
	if c.req.Origin != nil {
		return
	}
	c.req.Origin = &streamorigin.Origin{Service: c.req.Service.Name, Build: c.build}
	if c.recordsOrigin() {
		c.o.Origins.Began(c.stream, *c.req.Origin, c.streamLifetime())
	}
}

// streamLifetime returns how long a stream of the route lasts at most over a caller's attempts.
func (c *call) streamLifetime() time.Duration { return timeLimit(c.req.Route) }

// streamEnds records that the caller has received the stream whole.
func (c *call) streamEnds() {
	if c.recordsOrigin() {
		c.o.Origins.Ended(c.stream)
	}
}

// dependsOnIncarnation reports whether the request must not reach another incarnation of the
// endpoint, whose software version may differ: it continues a stream, or begins one that may
// be continued while versions differ or the endpoint may have restarted.
func (c *call) dependsOnIncarnation(t Target) bool {
	if c.req.Origin != nil {
		return true
	}
	return t.Born != 0 && c.recordsOrigin() && (c.o.Client.MayHaveRestarted(t) || !c.o.Origins.Single(c.req.Service.Name))
}

// recordsOrigin reports whether the caller may take the stream up by the ID of an attempt.
func (c *call) recordsOrigin() bool {
	return c.o.Origins != nil && c.req.Route.Resumable && c.in.AttemptID != ""
}
