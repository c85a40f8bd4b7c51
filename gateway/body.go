package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const initialBodyBytes = 4 << 10

// withBody reads the request's body and keeps it for the given function, which
// may have to send it more than once.
func (c *call) withBody(serve func() *Refusal) *Refusal {
	l := &c.g.o.Limits
	if c.r.ContentLength > l.BodyBytes {
		return c.tooLarge()
	}
	reserved := c.r.ContentLength
	if reserved < 0 {
		reserved = l.BodyBytes // of unknown length: as large as it may become
	}
	// Bodies are held until their requests end. Without a bound on all of them
	// together, many long prompts at once would end the process and all its
	// streams; callers would see them cut.
	if c.g.bodiesInUse.Add(reserved) > l.BodiesBytes {
		c.g.bodiesInUse.Add(-reserved)
		return notRun(CodeOverloaded, "too many request bodies are held at present", DefaultRetryAfter)
	}
	defer func() { c.g.bodiesInUse.Add(-reserved) }()
	body, refusal := c.readBody()
	if refusal != nil {
		return refusal
	}
	c.g.bodiesInUse.Add(int64(len(body)) - reserved)
	reserved = int64(len(body))
	c.body = body
	return serve()
}

// readBody reads the body within its limits of size and time. A caller that
// sends a byte now and then would otherwise hold a connection for good.
func (c *call) readBody() ([]byte, *Refusal) {
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	l := &c.g.o.Limits
	_ = c.rc.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	body, err := readUpTo(http.MaxBytesReader(c.w, c.r.Body, l.BodyBytes), c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, c.tooLarge()
	case err != nil:
		c.w.Header().Set("Connection", "close")
		return nil, refused(http.StatusRequestTimeout, CodeSlowRequest, "the request's body did not arrive whole within %v", l.BodyTimeout)
	}
	_ = c.rc.SetReadDeadline(time.Time{})
	return body, nil
}

func readUpTo(r io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body := make([]byte, 0, initialBodyBytes)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (c *call) tooLarge() *Refusal {
	c.w.Header().Set("Connection", "close")
	return refused(http.StatusRequestEntityTooLarge, CodeTooLarge, "the request's body exceeds %d bytes", c.g.o.Limits.BodyBytes)
}
