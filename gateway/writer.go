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
	// minStall is the shortest duration of a write that counts as waiting for the
	// caller. Shorter ones are attributed to the write itself.
	minStall = 10 * time.Millisecond
)

// callerWriter writes an answer to a caller while an endpoint produces it, and
// limits the total time that the caller may block the endpoint.
//
// With a caller that reads very slowly the buffers fill up, and each further
// write blocks the engine, whose batch slot other requests cannot use meanwhile.
// A timeout per write would not help, since such a caller can complete every
// small write just in time. Therefore the waiting time is added up over the
// complete answer.
type callerWriter struct {
	c             *call
	written       int64 // bytes
	stalled       time.Duration
	writeDeadline time.Time // last deadline set on the connection
}

// write writes bytes to the server's buffer. It may block on the caller.
func (w *callerWriter) write(p []byte) error {
	w.written += int64(len(p))
	return w.measureStall(func() error {
		_, err := w.c.w.Write(p)
		return err
	})
}

// flush sends the buffered bytes. It may block on the caller.
func (w *callerWriter) flush() error { return w.measureStall(w.c.rc.Flush) }

// measureStall runs a write and adds its waiting time to the caller's total. It
// returns errCallerSlow once the total exceeds the stall budget.
func (w *callerWriter) measureStall(write func() error) error {
	began := time.Now()
	w.extendDeadline(began)
	err := write()
	if took := time.Since(began); took >= minStall {
		w.stalled += took
	}
	if err != nil {
		w.c.sent.Break()
	}
	if err != nil && isTimeout(err) || w.stalled > w.c.g.o.Limits.StallBudget {
		w.c.report.CallerSlow = true
		return errCallerSlow
	}
	return err
}

// extendDeadline sets the write deadline to the end of the remaining budget. It does
// so only when the current deadline has come noticeably nearer, since setting it
// costs as much as writing a token.
func (w *callerWriter) extendDeadline(now time.Time) {
	left := w.c.g.o.Limits.StallBudget - w.stalled
	if ahead := w.writeDeadline.Sub(now); ahead > left*3/4 && ahead <= left {
		return
	}
	w.writeDeadline = now.Add(left)
	_ = w.c.rc.SetWriteDeadline(w.writeDeadline)
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// callerStream writes an answer to a caller as server-sent events.
type callerStream struct {
	callerWriter
	frame []byte // reused
}

func newCallerStream(c *call) *callerStream {
	return &callerStream{callerWriter: callerWriter{c: c}, frame: make([]byte, 0, initialFrameBytes)}
}

func (s *callerStream) writeHeader() {
	if sendHead, _ := s.c.sent.BeginStream(); !sendHead {
		return
	}
	h := s.c.w.Header()
	h.Set("Content-Type", contentEventStream)
	h.Set("Cache-Control", "no-store")
	s.c.setCachedTokensHeader()
	s.c.report.Status = http.StatusOK
	s.c.w.WriteHeader(http.StatusOK)
}

func (s *callerStream) writeToken(index int64, data []byte) error {
	s.writeHeader()
	f := appendID(s.frame[:0], index)
	f = appendData(f, data)
	s.frame = f
	if s.written > s.c.g.o.Limits.StreamBytes {
		return engine.ErrTooLarge
	}
	err := s.write(f)
	s.c.sent.AddEvents(len(f), err == nil)
	return err
}

func appendID(f []byte, index int64) []byte {
	f = append(f, "id: "...)
	f = strconv.AppendInt(f, index, 10)
	return append(f, '\n')
}

// appendData appends an event's data, one field for each line, and the end of the
// event.
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

func (s *callerStream) writeEnd(total int64) error {
	s.writeHeader()
	f := appendID(s.frame[:0], total)
	f = append(f, "data: [DONE]\n\n"...)
	if err := s.write(f); err != nil {
		return err
	}
	s.c.sent.End()
	return s.flush()
}

// writeError ends the stream with an error event instead of the end marker.
func (s *callerStream) writeError(r *Refusal) {
	if err := s.write(appendData(s.frame[:0], r.encode(s.c.id))); err != nil {
		return
	}
	_ = s.flush()
}
