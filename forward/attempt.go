package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// relayBuffer is what is read from a stream at a time.
const relayBuffer = 8 << 10

// attempt sends the request to the place. It returns true once the caller has
// the final answer, and otherwise how the attempt failed.
func (c *call) attempt(p *Placement) (bool, retry.Attempt) {
	c.report.Attempts = append(c.report.Attempts, AttemptReport{
		Endpoint: string(p.Target.Key), Reason: p.Reason, Version: p.Out.Version,
		Wait: p.Wait, Cached: p.Cached, LoadAge: p.Age,
		Prefix: p.Prefix, Fetch: p.Out.FetchFrom, Saved: p.Out.SaveTo != "",
	})
	end := AttemptEnd{Left: true}
	defer func() {
		// An abort of the handler passes here as well.
		end.Left = c.r.Context().Err() != nil
		c.noteAttempt(&end)
		c.tellQuarantine(p.Target, &end)
		if end.mayHaveRun() {
			c.quota.ran++
		}
		c.o.Placer.AttemptEnded(p, end)
	}()
	out := c.out
	out.Header = c.out.Header.Clone()
	p.Out.Remaining = time.Until(c.work.Deadline)
	p.Out.LastEvent = c.events.last
	c.o.Wire.EncodeRequest(out.Header, &p.Out)
	a, withdrawn, err := c.sendBy(p, &out)
	if err != nil {
		failure := retry.Unknown
		if errors.Is(err, ErrNotSent) {
			failure = retry.NotSent
		}
		end = AttemptEnd{Failure: failure, Lost: !withdrawn, Withdrawn: withdrawn, Cause: err}
		return false, retry.Attempt{Endpoint: p.Target.Key, Failure: failure}
	}
	last := &c.report.Attempts[len(c.report.Attempts)-1]
	last.Load, last.Limit = a.Info.Load, a.Info.Limit
	c.o.Placer.AnswerStarted(p, &a.Info)
	end = c.take(a)
	return end.Whole, retry.Attempt{Endpoint: p.Target.Key, Failure: end.Failure}
}

// sendBy sends the request, and withdraws it if no answer has begun when the
// placement's time is over.
//
// The request may still wait in the engine's queue for seconds. Without the
// withdrawal it would begin on weights that are out of bounds by then. It may also
// have begun just now, so it counts as one that may have run.
func (c *call) sendBy(p *Placement, out *EndpointRequest) (a *Answer, withdrawn bool, err error) {
	if p.BeginBy.IsZero() {
		a, err = c.o.Client.Send(c.ctx, p.Target, out)
		return a, false, err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	timer := time.AfterFunc(time.Until(p.BeginBy), cancel)
	a, err = c.o.Client.Send(ctx, p.Target, out)
	if err != nil {
		withdrawn = !timer.Stop()
		cancel()
		return nil, withdrawn, err
	}
	timer.Stop()
	// The connection ends with the context, so that it lives as long as the
	// answer is read.
	context.AfterFunc(c.ctx, cancel)
	return a, false, nil
}

func (c *call) noteAttempt(end *AttemptEnd) {
	r := &c.report.Attempts[len(c.report.Attempts)-1]
	r.After = time.Since(c.work.Arrived)
	if end.Lost {
		r.Lost = lossOf(end.Cause)
	}
	switch {
	case end.Left:
		r.Result = retry.CallerLeft.String()
	case end.Whole && end.Error:
		r.Result = "endpoint_error"
	case end.Whole:
		r.Result = "whole"
	case end.Withdrawn:
		r.Result = "withdrawn"
	default:
		r.Result = end.Failure.String()
	}
}

// take passes the answer on, or tells why it can't be.
func (c *call) take(a *Answer) AttemptEnd {
	success := a.Status >= 200 && a.Status < 300
	switch {
	case a.Info.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(a.Body, bufferBytes))
		a.Close(err == nil)
		return AttemptEnd{NotRun: true, Failure: retry.NotRun}
	case success && !a.Info.Signed:
		a.Close(false)
		return AttemptEnd{Failure: retry.Unknown, Lost: true}
	case success && c.work.Route.Kind == routes.Stream:
		return c.relayStream(a)
	}
	return c.relayPlain(a, success)
}

// relayPlain reads the answer to its end before it passes it on.
func (c *call) relayPlain(a *Answer, success bool) AttemptEnd {
	body, err := io.ReadAll(io.LimitReader(a.Body, bufferBytes+1))
	if err == nil && len(body) > bufferBytes {
		return c.relayLong(a, body)
	}
	a.Close(err == nil)
	if err != nil {
		return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: err}
	}
	answer := &whole{status: a.Status, header: a.Header, body: body}
	if a.Status >= http.StatusInternalServerError && c.retry.Idempotent {
		// Another endpoint may do better. If nobody does, this is the answer.
		c.answer = answer
		return AttemptEnd{Error: true, Failure: retry.Broken}
	}
	if c.begun {
		return AttemptEnd{Failure: retry.Broken, Error: true}
	}
	c.pass(answer)
	return AttemptEnd{Whole: true, Error: !success && a.Status >= http.StatusInternalServerError}
}

// relayLong passes on an answer that is too long to be held.
func (c *call) relayLong(a *Answer, begin []byte) AttemptEnd {
	c.begin(a)
	_, err := c.w.Write(begin)
	if err == nil {
		_, err = io.Copy(c.w, a.Body)
	}
	a.Close(err == nil)
	if err != nil {
		return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: err}
	}
	return AttemptEnd{Whole: true}
}

// begin sends the header of an answer that is passed on as it comes.
func (c *call) begin(a *Answer) {
	if c.begun {
		return
	}
	c.begun = true
	c.report.Status = a.Status
	copyHeader(c.w.Header(), a.Header)
	c.closeIfLeaving()
	c.w.WriteHeader(a.Status)
}

// relayStream passes whole events on as they come.
func (c *call) relayStream(a *Answer) AttemptEnd {
	c.events.partial = nil
	buf := make([]byte, relayBuffer)
	for {
		n, readErr := a.Body.Read(buf)
		if n > 0 {
			if end, ok := c.passEvents(a, buf[:n]); !ok {
				a.Close(false)
				return end
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return c.endStream(a)
		case readErr != nil:
			a.Close(false)
			return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: readErr}
		}
	}
}

// passEvents sends the whole events that the bytes complete.
func (c *call) passEvents(a *Answer, b []byte) (AttemptEnd, bool) {
	out, err := c.events.add(b)
	if err != nil {
		return AttemptEnd{Failure: retry.Broken, Lost: true}, false
	}
	if len(out) == 0 {
		return AttemptEnd{}, true
	}
	c.begin(a)
	if c.report.FirstEvent == 0 {
		c.report.FirstEvent = time.Since(c.work.Arrived)
	}
	c.retry.Delivered++
	// A caller that stops reading must not hold the engine's slot for longer
	// than the request may take.
	_ = c.rc.SetWriteDeadline(c.work.Deadline.Add(passTime))
	if _, err := c.w.Write(out); err != nil {
		return AttemptEnd{Failure: retry.CallerLeft}, false
	}
	if err := c.rc.Flush(); err != nil {
		return AttemptEnd{Failure: retry.CallerLeft}, false
	}
	return AttemptEnd{}, true
}

// endStream takes the end of the endpoint's answer, which its framing says is
// complete.
func (c *call) endStream(a *Answer) AttemptEnd {
	a.Close(true)
	if rest := c.events.rest(); len(rest) > 0 {
		// A whole answer ends with a whole event.
		return AttemptEnd{Failure: retry.Broken, Lost: true}
	}
	c.begin(a)
	_ = c.rc.SetWriteDeadline(time.Time{})
	return AttemptEnd{Whole: true}
}
