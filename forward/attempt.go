package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// relayBufferBytes is the size of the read buffer for streams.
const relayBufferBytes = 8 << 10

// attempt sends the request to the endpoint of the placement and relays its
// answer. It returns true once the caller has the final answer, and otherwise
// how the attempt failed.
func (c *call) attempt(p *Placement) (bool, retry.FailedAttempt) {
	c.report.Attempts = append(c.report.Attempts, AttemptReport{
		Endpoint: string(p.Target.Key), Build: p.Build, Reason: p.Reason, Version: p.Out.Version,
		Wait: p.Wait, Cached: p.Cached, LoadAge: p.Age,
		Prefix: p.Prefix, Fetch: p.Out.FetchFrom, Saved: p.Out.SaveTo != "",
	})
	end := AttemptEnd{Left: true}
	defer func() {
		// Deferred, so that it also runs when the handler panics with
		// http.ErrAbortHandler.
		end.Left = c.r.Context().Err() != nil
		end.RelayLost = errors.Is(end.Cause, ErrRelayLost)
		c.watch.ended()
		c.recordResult(&end)
		c.reportToQuarantine(p, &end)
		if end.mayHaveRun() {
			c.charge.ran++
		}
		if end.Lost && !end.RelayLost {
			c.o.Client.Suspect(p.Target)
		}
		c.o.Client.Limits.Observe("attempt", c.in.AttemptID, string(p.Target.Key), end.Cause)
		c.o.Placer.AttemptEnded(p, end)
	}()
	out := c.out
	out.Header = c.out.Header.Clone()
	out.SameIncarnation = c.dependsOnIncarnation(p.Target)
	p.Out.Remaining = time.Until(c.req.Deadline)
	p.Out.LastEvent = c.events.last
	c.o.Codec.EncodeRequest(out.Header, &p.Out)
	if c.watch = c.watchStalls(p); c.watch != nil {
		out.Watch = c.watch
	}
	a, withdrawn, err := c.sendWithStartDeadline(p, &out)
	if err != nil {
		failure := retry.Unknown
		if errors.Is(err, ErrNotSent) {
			failure = retry.NotSent
		}
		end = AttemptEnd{Failure: failure, Lost: !withdrawn, Withdrawn: withdrawn, Cause: err}
		c.setStalled(&end)
		var sent *attemptError
		if errors.As(err, &sent) {
			last := &c.report.Attempts[len(c.report.Attempts)-1]
			last.Via, last.Received = sent.via, sent.received
		}
		return false, retry.FailedAttempt{Endpoint: p.Target.Key, Placement: p.ID, Failure: end.Failure}
	}
	last := &c.report.Attempts[len(c.report.Attempts)-1]
	last.Load, last.Limit = a.Info.Load, a.Info.Limit
	last.Leaving, last.Backoff, last.Via = a.Info.Leaving, a.Info.Backoff, a.Via()
	c.o.Placer.AnswerStarted(p, &a.Info)
	c.build = p.Build
	end = c.relayAnswer(a)
	last.HeadRead, last.EndMark, last.Received = true, a.endMark(), a.Received()
	c.setStalled(&end)
	return end.Whole, retry.FailedAttempt{Endpoint: p.Target.Key, Placement: p.ID, Failure: end.Failure}
}

// sendWithStartDeadline sends the request, and withdraws it if no answer has
// begun by the placement's BeginBy.
//
// The request may wait in the engine's queue for seconds. Without the
// withdrawal it would run on weights whose version is out of bounds by then. It
// may also have started just before, so it counts as one that may have run.
func (c *call) sendWithStartDeadline(p *Placement, out *EndpointRequest) (a *Answer, withdrawn bool, err error) {
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
	// The end of ctx closes the connection, so it must last until the answer
	// has been read.
	context.AfterFunc(c.ctx, cancel)
	return a, false, nil
}

// recordResult writes the result of the last attempt to the report.
func (c *call) recordResult(end *AttemptEnd) {
	r := &c.report.Attempts[len(c.report.Attempts)-1]
	r.After = time.Since(c.req.Arrived)
	if end.Lost {
		r.Lost = classifyLoss(end.Cause)
		var exceeded *response.Error
		if errors.As(end.Cause, &exceeded) {
			r.Bound, r.Rule = exceeded.Bound, exceeded.Rule
		}
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

// relayAnswer relays the answer to the caller, and returns how the attempt ended.
func (c *call) relayAnswer(a *Answer) AttemptEnd {
	success := a.succeeded()
	switch {
	case a.Info.NotRun:
		a.CloseUnread()
		return AttemptEnd{NotRun: true, Failure: retry.NotRun}
	case success && !a.Info.Signed:
		a.Close(false)
		return AttemptEnd{Failure: retry.Unknown, Lost: true}
	case success && c.req.Route.Kind == routes.Stream:
		return c.relayStream(a)
	}
	return c.relayBuffered(a, success)
}

// relayBuffered reads the whole answer before it sends any of it to the caller.
func (c *call) relayBuffered(a *Answer, success bool) AttemptEnd {
	body, held, err := c.o.Client.Limits.ReadBody(a.Body, maxBufferedAnswer)
	defer held.Release()
	var exceeded *response.Error
	if errors.As(err, &exceeded) && exceeded.Bound != response.BoundSyntax {
		if exceeded.Bound == response.BoundBudget {
			c.o.Client.Limits.Observe("answer", c.in.AttemptID, c.report.Attempts[len(c.report.Attempts)-1].Endpoint, err)
		}
		return c.relayUnbuffered(a, body, &held)
	}
	a.Close(err == nil)
	if err == nil && success && len(body) == 0 && !a.framed() {
		err = io.ErrUnexpectedEOF // nothing tells it from an answer that a crash cut off
	}
	if err != nil {
		return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: err}
	}
	answer := &bufferedAnswer{status: a.Status, header: a.Header, body: body}
	if a.Status >= http.StatusInternalServerError && c.retryState.Idempotent {
		// Another endpoint may succeed. If none does, the caller gets this answer.
		c.keepAnswer(answer, &held)
		return AttemptEnd{Error: true, Failure: retry.Broken}
	}
	if !c.sent.Nothing() {
		return AttemptEnd{Failure: retry.Broken, Error: true}
	}
	c.sendBuffered(answer)
	return AttemptEnd{Whole: true, Generated: success, Unframed: !a.framed(), Error: !success && a.Status >= http.StatusInternalServerError}
}

// relayUnbuffered copies an answer that exceeds maxBufferedAnswer, or what the process may hold
// of answers. begin is the part of its body that was already read, for which held is released
// once it is written. If it is cut off, the caller sees that: it has the stated length, or chunks
// of the router's own, and its connection is closed before their end.
func (c *call) relayUnbuffered(a *Answer, begin []byte, held *response.Holding) AttemptEnd {
	if !c.sent.BeginBody() {
		a.Close(false)
		return AttemptEnd{Failure: retry.Broken, Error: true}
	}
	c.setHeader(a)
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
		c.report.EndMark = EndByLength
	}
	c.w.WriteHeader(a.Status)
	// A caller that stops reading must not occupy the endpoint beyond the request's deadline.
	_ = c.rc.SetWriteDeadline(c.req.Deadline.Add(answerGrace))
	w := bodyWriter{c}
	_, err := w.Write(begin)
	held.Release()
	if err == nil {
		_, err = io.CopyBuffer(w, a.Body, make([]byte, relayBufferBytes))
	}
	a.Close(err == nil)
	switch {
	case c.writeErr != nil:
		return AttemptEnd{Failure: retry.CallerLeft}
	case err != nil:
		return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: err}
	}
	c.sent.End()
	return AttemptEnd{Whole: true, Generated: a.succeeded(), Unframed: !a.framed()}
}

// bodyWriter writes a body to the caller as it comes.
type bodyWriter struct{ c *call }

// Write implements io.Writer.
func (w bodyWriter) Write(b []byte) (int, error) {
	n, err := w.c.w.Write(b)
	w.c.sent.AddBody(int64(n))
	w.c.writeErr = err
	return n, err
}

// beginStream sends the header of a stream, unless it was sent before, and returns false if the
// caller was sent another answer.
func (c *call) beginStream(a *Answer) bool {
	sendHead, ok := c.sent.BeginStream()
	if sendHead {
		c.setHeader(a)
		c.w.WriteHeader(a.Status)
	}
	return ok
}

// setHeader sets the header of an answer that is sent as it comes.
func (c *call) setHeader(a *Answer) {
	c.report.Status = a.Status
	copyHeader(c.w.Header(), a.Header)
	c.closeIfDraining()
	c.report.EndMark = EndByChunks
	if !c.r.ProtoAtLeast(1, 1) {
		c.report.EndMark = EndByConnection
	}
}

// relayStream relays a stream event by event.
func (c *call) relayStream(a *Answer) AttemptEnd {
	c.events.begin(c.o.Client.Limits)
	defer c.events.end()
	before := c.retryState.Delivered
	buf := make([]byte, relayBufferBytes)
	for {
		n, readErr := a.Body.Read(buf)
		if n > 0 {
			if end, ok := c.relayEvents(a, buf[:n]); !ok {
				a.Close(false)
				return end
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return c.endStream(a, c.retryState.Delivered > before)
		case readErr != nil:
			a.Close(false)
			return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: readErr}
		}
	}
}

// relayEvents sends the caller the events that b completes. It returns false and
// how the attempt ended if the stream cannot go on.
func (c *call) relayEvents(a *Answer, b []byte) (AttemptEnd, bool) {
	out, err := c.events.add(b)
	if err != nil {
		var exceeded *response.Error
		if !errors.As(err, &exceeded) {
			err = nil // the connection is intact
		}
		return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: err}, false
	}
	if len(out) == 0 {
		return AttemptEnd{}, true
	}
	c.watch.event()
	if !c.beginStream(a) {
		return AttemptEnd{Failure: retry.Broken, Error: true}, false
	}
	if c.report.FirstEvent == 0 {
		c.report.FirstEvent = time.Since(c.req.Arrived)
	}
	c.streamBegins()
	c.retryState.Delivered++
	// A caller that stops reading must not occupy the engine's slot beyond the
	// request's deadline.
	_ = c.rc.SetWriteDeadline(c.req.Deadline.Add(answerGrace))
	_, err = c.w.Write(out)
	if err == nil {
		err = c.rc.Flush()
	}
	c.sent.AddEvents(len(out), err == nil && !c.events.unnumbered)
	if c.writeErr = err; err != nil {
		return AttemptEnd{Failure: retry.CallerLeft}, false
	}
	c.watch.eventSent()
	return AttemptEnd{}, true
}

// endStream handles the end of an answer that is complete by its HTTP framing, or ended with
// its connection. delivered states that it brought an event.
func (c *call) endStream(a *Answer, delivered bool) AttemptEnd {
	a.Close(true)
	if rest := c.events.incomplete(); len(rest) > 0 || !delivered && !a.framed() {
		// A complete answer ends with a complete event, and nothing tells an unframed one
		// without events from one that a crash cut off.
		return AttemptEnd{Failure: retry.Broken, Lost: true, Cause: io.ErrUnexpectedEOF}
	}
	if !c.beginStream(a) {
		return AttemptEnd{Failure: retry.Broken, Error: true}
	}
	c.sent.End()
	c.streamEnds()
	return AttemptEnd{Whole: true, Generated: true, Unframed: !a.framed()}
}
