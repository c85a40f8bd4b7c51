package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const initialBodyBytes = 4 << 10

// withBody reads the request's body into memory, so that serve can send it in
// several attempts, and then calls serve.
func (c *call) withBody(serve func() *Refusal) *Refusal {
	l := &c.g.o.Limits
	if c.r.ContentLength > l.BodyBytes {
		return c.tooLarge()
	}
	reserved := c.r.ContentLength
	if reserved < 0 {
		reserved = l.BodyBytes // unknown length: reserve the maximum
	}
	// Bodies are held until their requests end. Without a limit on their total
	// size, many long prompts at the same time would exhaust the memory of the
	// process, and all its streams would break.
	if c.g.bodiesInUse.Add(reserved) > l.BodiesBytes {
		c.g.bodiesInUse.Add(-reserved)
		return notRunRefusal(CodeOverloaded, "too many request bodies are held at present", DefaultRetryAfter)
	}
	defer func() { c.g.bodiesInUse.Add(-reserved) }()
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.g.bodiesInUse.Add(int64(len(c.body)) - reserved)
	reserved = int64(len(c.body))
	if refusal := c.checkQuarantine(); refusal != nil {
		return refusal
	}
	return serve()
}

// readBody reads the body within its limits of size and time. Without the time
// limit, a caller that sends very slowly could hold its connection forever.
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
		return refusedf(http.StatusRequestTimeout, CodeSlowRequest, "the request's body did not arrive whole within %v", l.BodyTimeout)
	}
	_ = c.rc.SetReadDeadline(time.Time{})
	c.bodyBuffer, c.body = buffer, buffer[maxSeedFieldBytes:]
	return nil
}

// readUpTo reads a body of the given length, negative if unknown. It returns it
// after maxSeedFieldBytes of free space for the seed.
func readUpTo(r io.Reader, length int64) ([]byte, error) {
	if length > 0 {
		buffer := make([]byte, maxSeedFieldBytes+int(length))
		_, err := io.ReadFull(r, buffer[maxSeedFieldBytes:])
		return buffer, err
	}
	buffer := make([]byte, maxSeedFieldBytes, initialBodyBytes)
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
	return refusedf(http.StatusRequestEntityTooLarge, CodeTooLarge, "the request's body exceeds %d bytes", c.g.o.Limits.BodyBytes)
}
