package gateway

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/engine"
)

const (
	initialFrameBytes = 256
	// leastWait is what a write must take to count as waiting for the caller
	// rather than as the work of writing.
	leastWait = 10 * time.Millisecond
)

// callerWriter writes to a caller while an endpoint waits, within the budget of
// time that the caller may use up.
//
// A caller that reads a byte now and then fills the buffers between; from then
// on each write waits for it, and so does the engine, whose batch slot is lost
// to everybody else. A limit per write would not do, since such a caller
// completes a small write just in time, again and again. So the time spent
// waiting is added up over the whole answer.
type callerWriter struct {
	c       *call
	written int64 // bytes
	waited  time.Duration
	armed   time.Time // the write deadline in force
}

// write hands bytes to the server's buffer. It may wait for the caller.
func (w *callerWriter) write(p []byte) error {
	w.written += int64(len(p))
	return w.timed(func() error {
		_, err := w.c.w.Write(p)
		return err
	})
}

// flush sends what is buffered. It may wait for the caller.
func (w *callerWriter) flush() error { return w.timed(w.c.rc.Flush) }

// timed runs a write and adds the time it waited to what the caller has used
// of its budget.
func (w *callerWriter) timed(write func() error) error {
	began := time.Now()
	w.arm(began)
	err := write()
	if took := time.Since(began); took >= leastWait {
		w.waited += took
	}
	if err != nil && isTimeout(err) || w.waited > w.c.g.o.Limits.StallBudget {
		w.c.report.CallerSlow = true
		return errCallerSlow
	}
	return err
}

// arm moves the write deadline on. It is set anew only when it has come
// noticeably nearer, since setting it costs as much as writing a token.
func (w *callerWriter) arm(now time.Time) {
	left := w.c.g.o.Limits.StallBudget - w.waited
	if ahead := w.armed.Sub(now); ahead > left*3/4 && ahead <= left {
		return
	}
	w.armed = now.Add(left)
	_ = w.c.rc.SetWriteDeadline(w.armed)
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// callerStream writes a streamed answer to a caller.
type callerStream struct {
	callerWriter
	begun bool
	frame []byte // reused
}

func newCallerStream(c *call) *callerStream {
	return &callerStream{callerWriter: callerWriter{c: c}, frame: make([]byte, 0, initialFrameBytes)}
}

func (s *callerStream) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.c.w.Header()
	h.Set("Content-Type", contentEvents)
	h.Set("Cache-Control", "no-store")
	s.c.cachedHeader()
	s.c.report.Status = http.StatusOK
	s.c.w.WriteHeader(http.StatusOK)
}

func (s *callerStream) token(index int64, data []byte) error {
	s.begin()
	f := appendID(s.frame[:0], index)
	f = appendData(f, data)
	s.frame = f
	if s.written > s.c.g.o.Limits.StreamBytes {
		return engine.ErrTooLarge
	}
	return s.write(f)
}

func appendID(f []byte, index int64) []byte {
	f = append(f, "id: "...)
	f = strconv.AppendInt(f, index, 10)
	return append(f, '\n')
}

// appendData appends an event's data and its end, one field for each line.
func appendData(f, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte{'\n'})
		f = append(f, "data: "...)
		f = append(f, line...)
		f = append(f, '\n')
		if !more {
			return append(f, '\n')
		}
		data = rest
	}
}

func (s *callerStream) end(total int64) error {
	s.begin()
	f := appendID(s.frame[:0], total)
	f = append(f, "data: [DONE]\n\n"...)
	if err := s.write(f); err != nil {
		return err
	}
	return s.flush()
}

// fail ends the stream with an explicit error in place of the end marker.
func (s *callerStream) fail(r *Refusal) {
	if err := s.write(appendData(s.frame[:0], r.encode(s.c.id))); err != nil {
		return
	}
	_ = s.flush()
}
