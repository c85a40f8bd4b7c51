package gateway

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/stream"
)

// Causes why an attempt is given up.
var (
	errServerStatus = errors.New("gateway: endpoint answered with an error status")
	errCallerSlow   = errors.New("gateway: caller reads too slowly")
)

const initialFrameBytes = 512

// relayStream passes the tokens of one attempt on to the caller, each once and
// in order.
func (mc *modelCall) relayStream(ans *engine.Answer, res *Result, began time.Time) error {
	n := mc.assembler.Begin()
	events := ans.Events()
	defer events.Release()
	for {
		ev, err := events.Next()
		if err != nil {
			return err
		}
		if res.Tokens == 0 {
			res.FirstToken = time.Since(began)
		}
		if ev.Kind == engine.EventEnd {
			return mc.end(ans, n)
		}
		res.Tokens++
		if err := mc.token(ans, n, &ev); err != nil {
			return err
		}
		if events.Ready() {
			continue
		}
		if err := mc.out.flush(); err != nil {
			return ans.Fail(err)
		}
	}
}

// token passes one token on, unless the caller has it.
func (mc *modelCall) token(ans *engine.Answer, n stream.AttemptNumber, ev *engine.Event) error {
	verdict, err := mc.assembler.Token(n, ev.Index)
	if err != nil {
		return ans.Fail(err)
	}
	if verdict == stream.Duplicate {
		return nil
	}
	if mc.report.Tokens == 0 {
		mc.report.FirstToken = time.Since(mc.start)
	}
	mc.report.Tokens++
	if err := mc.out.token(mc.assembler.Delivered()-1, ev.Data); err != nil {
		return ans.Fail(err)
	}
	return nil
}

// end passes the end marker on. Only here does a caller learn that its answer
// is whole.
func (mc *modelCall) end(ans *engine.Answer, n stream.AttemptNumber) error {
	if err := mc.assembler.End(n); err != nil {
		return ans.Fail(err)
	}
	mc.report.Duplicates = mc.assembler.Duplicates()
	if err := mc.out.end(); err != nil {
		return ans.Fail(err)
	}
	return nil
}

// callerStream writes a stream to a caller within the budget of time that the
// caller may keep it waiting.
//
// A caller that reads a byte now and then fills the buffers between; from then
// on each write waits for it, and so does the engine, whose batch slot is lost
// to everybody else. A limit per write would not do, since such a caller
// completes a small write just in time, again and again. So the time spent
// waiting is added up over the whole stream.
type callerStream struct {
	c       *call
	begun   bool
	frame   []byte // reused
	written int64  // bytes
	waited  time.Duration
	armed   time.Time // the write deadline in force
}

func newCallerStream(c *call) *callerStream {
	return &callerStream{c: c, frame: make([]byte, 0, initialFrameBytes)}
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
	f := s.frame[:0]
	f = append(f, "id: "...)
	f = strconv.AppendInt(f, index, 10)
	f = append(f, '\n')
	f = appendData(f, data)
	s.frame = f
	return s.write(f)
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

func (s *callerStream) end() error {
	s.begin()
	if err := s.write(append(s.frame[:0], "data: [DONE]\n\n"...)); err != nil {
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

// write hands one frame to the server's buffer. It may wait for the caller.
func (s *callerStream) write(frame []byte) error {
	s.written += int64(len(frame))
	if s.written > s.c.g.o.Limits.StreamBytes {
		return engine.ErrTooLarge
	}
	return s.timed(func() error {
		_, err := s.c.w.Write(frame)
		return err
	})
}

func (s *callerStream) flush() error { return s.timed(s.c.rc.Flush) }

// timed runs a write and adds the time it waited to what the caller has used
// of its budget.
func (s *callerStream) timed(write func() error) error {
	began := time.Now()
	s.arm(began)
	err := write()
	s.waited += time.Since(began)
	if err != nil && s.c.r.Context().Err() == nil || s.waited > s.c.g.o.Limits.StallBudget {
		s.c.report.CallerSlow = true
		return errCallerSlow
	}
	return err
}

// arm moves the write deadline on. It is set anew only when it has come
// noticeably nearer, since setting it costs more than writing a token.
func (s *callerStream) arm(now time.Time) {
	left := s.c.g.o.Limits.StallBudget - s.waited
	if s.armed.Sub(now) > left*3/4 {
		return
	}
	s.armed = now.Add(left)
	_ = s.c.rc.SetWriteDeadline(s.armed)
}
