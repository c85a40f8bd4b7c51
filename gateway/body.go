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
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.g.bodiesInUse.Add(int64(len(c.body)) - reserved)
	reserved = int64(len(c.body))
	if refusal := c.quarantined(); refusal != nil {
		return refusal
	}
	return serve()
}

// readBody reads the body within its limits of size and time. A caller that
// sends a byte now and then would otherwise hold a connection for good.
func (c *call) readBody() *Refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	l := &c.g.o.Limits
	_ = c.rc.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	buffer, err := readUpTo(http.MaxBytesReader(c.w, c.r.Body, l.BodyBytes), c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.tooLarge()
	case err != nil:
		c.w.Header().Set("Connection", "close")
		return refused(http.StatusRequestTimeout, CodeSlowRequest, "the request's body did not arrive whole within %v", l.BodyTimeout)
	}
	_ = c.rc.SetReadDeadline(time.Time{})
	c.buffer, c.body = buffer, buffer[seedBytes:]
	return nil
}

// readUpTo reads a body of the given length, negative if it is not known, and
// leaves room for the seed in front of it.
func readUpTo(r io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		buffer := make([]byte, seedBytes+int(length))
		_, err := io.ReadFull(r, buffer[seedBytes:])
		return buffer, err
	}
	buffer := make([]byte, seedBytes, initialBodyBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
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
