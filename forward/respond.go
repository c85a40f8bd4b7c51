package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/retry"
)

// refuse sends an answer of the router's own with the error code as its body. It may be sent
// before the body of the request was read.
func (c *call) refuse(status int, code string, retryAfter time.Duration) {
	if !c.sent.BeginBody() {
		c.abort()
	}
	c.report.Status, c.report.Code, c.report.RetryAfter = status, code, retryAfter
	_ = c.rc.SetWriteDeadline(time.Now().Add(answerTimeout))
	if c.bodyRead {
		c.writeRefusal()
	} else if !ingress.Refuse(c.w, c.r, c.bodyLimit(), c.writeRefusal) {
		panic(http.ErrAbortHandler)
	}
}

// writeRefusal writes the refusal that the report describes.
func (c *call) writeRefusal() {
	h := c.w.Header()
	c.o.Codec.EncodeRefusal(h, c.in.AttemptID, c.report.RetryAfter)
	c.closeIfDraining()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := c.report.Code + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(c.report.Status)
	_, _ = io.WriteString(c.w, text)
	c.sent.End()
}

func (c *call) closeIfDraining() {
	if c.o.Draining() {
		c.w.Header().Set("Connection", "close")
	}
}

// callerLeft records that the caller disconnected, or that it read too slowly, which ends the
// context of its request too, and aborts the handler.
func (c *call) callerLeft() {
	if c.callerSlow() {
		c.report.Code = string(retry.CodeCallerSlow)
		c.abort()
	}
	c.report.Status, c.report.Code = statusCallerLeft, string(retry.CodeCallerLeft)
	if ingress.ConnOf(c.r.Context()).Closed() {
		c.report.Code = codeConnectionClosed
	}
	c.abort()
}

// callerSlow reports whether a write to the caller has reached the deadline for writes.
func (c *call) callerSlow() bool { return errors.Is(c.writeErr, os.ErrDeadlineExceeded) }

// abort ends a partly sent answer so that it can't be mistaken for a complete
// one: the connection closes without the last chunk.
func (c *call) abort() {
	if !c.sent.Nothing() {
		c.report.Cut = c.cutCause()
	}
	panic(http.ErrAbortHandler)
}

// sendBuffered sends a buffered answer to the caller.
func (c *call) sendBuffered(a *bufferedAnswer) {
	if !c.sent.BeginBody() {
		c.abort()
	}
	c.report.Status = a.status
	copyHeader(c.w.Header(), a.header)
	c.closeIfDraining()
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	// A caller that does not read must not hold the answer for longer.
	_ = c.rc.SetWriteDeadline(latest(c.req.Deadline.Add(answerGrace), time.Now().Add(answerTimeout)))
	c.w.WriteHeader(a.status)
	n, _ := c.w.Write(a.body)
	c.sent.AddBody(int64(n))
	c.sent.End()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keepAnswer keeps a 5xx answer, and what it holds, until the request ends.
func (c *call) keepAnswer(a *bufferedAnswer, held *response.Holding) {
	c.keptBytes.Release()
	c.answer, c.keptBytes = a, *held
	*held = response.Holding{}
}

// copyHeader copies all headers but the hop-by-hop ones.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	if dst.Get("Content-Type") == "" {
		dst["Content-Type"] = nil // else net/http would detect one
	}
	if dst.Get("Date") == "" {
		dst["Date"] = nil
	}
}
