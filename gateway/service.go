package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"

	"github.com/merlindock/merlindock/internal/pause"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// claimTimeout bounds how long keeping an answer may hold it back from the
// caller.
const claimTimeout = 5 * time.Second

// serviceCall is a call of a plain service on its way to an answer.
type serviceCall struct {
	*call
	place      PlaceRequest
	header     http.Header
	path       string
	idempotent bool
	claim      Claim
	mayHaveRun bool
	begun      bool // part of the answer has gone to the caller
}

func (c *call) serveService(s *catalog.Service, rest string) *Refusal {
	ms, err := c.deadlineHeader()
	if err != nil {
		return refused(http.StatusBadRequest, CodeInvalidRequest, "%s must be a number of milliseconds above 0", HeaderDeadline)
	}
	cancel, refusal := c.bound(c.r.Header.Get(HeaderPriority), milliseconds(ms))
	if refusal != nil {
		return refusal
	}
	defer cancel()
	c.report.Kind, c.report.Service = fleet.KindService, s.ID
	sc := &serviceCall{
		call:   c,
		place:  c.placeRequest(fleet.KindService),
		header: forwardable(c.r.Header),
		path:   requestURI(c.r.URL),
		// A path with escapes may mean another call to the service than to the
		// manifest's rules, so it counts as one that may not be repeated.
		idempotent: c.r.URL.RawPath == "" && s.Idempotent(c.r.Method, rest),
	}
	sc.place.Class = s.Class
	key := c.r.Header.Get(HeaderIdempotencyKey)
	if sc.idempotent || key == "" {
		return sc.run()
	}
	return sc.runClaimed(key)
}

func requestURI(u *url.URL) string {
	if u.RawQuery == "" {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + u.RawQuery
}

// runClaimed runs a keyed call that may not be repeated, if the claim says so.
func (sc *serviceCall) runClaimed(key string) *Refusal {
	if len(key) > maxKeyBytes {
		return refused(http.StatusBadRequest, CodeKeyInvalid, "the idempotency key exceeds %d bytes", maxKeyBytes)
	}
	claim, err := sc.g.o.Claimer.Claim(sc.ctx, ClaimRequest{Organisation: sc.org.ID, Key: key, Digest: sc.digest()})
	if err != nil {
		return sc.portRefusal(err, false)
	}
	switch claim.Decision {
	case ClaimStored:
		sc.writeWhole(claim.Stored.Status, claim.Stored.ContentType, claim.Stored.Body)
		return nil
	case ClaimUnknown:
		return unknown(http.StatusConflict, CodeOutcomeUnknown, "a call with this key was begun and its outcome is not known")
	}
	sc.claim = claim
	// The caller that leaves now comes back with its key, on another daemon.
	// The call goes on without it, so that its answer can be kept; otherwise
	// the key would stand for "outcome unknown" for good.
	ctx, cancel := sc.withoutCaller()
	defer cancel()
	sc.ctx = ctx
	refusal := sc.run()
	if refusal != nil && !sc.mayHaveRun && claim.Abandon != nil {
		ctx, cancel := sc.detached()
		defer cancel()
		_ = claim.Abandon(ctx)
	}
	return refusal
}

// withoutCaller returns a context that ends at the deadline or with the daemon,
// but not with the caller.
func (sc *serviceCall) withoutCaller() (context.Context, context.CancelFunc) {
	caller := sc.r.Context()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), sc.deadline)
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(caller, func() {
		if cause := context.Cause(caller); errors.Is(cause, ErrShutdown) {
			end(cause)
		}
	})
	return ctx, func() {
		stop()
		end(nil)
		cancel()
	}
}

// detached returns a context for keeping what became of a call. The caller may
// have left, and yet its next try must find the answer.
func (sc *serviceCall) detached() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(sc.ctx), claimTimeout)
}

// digest identifies the call, so that one key cannot stand for two.
func (sc *serviceCall) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{sc.r.Method, sc.path, sc.r.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(sc.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// run makes attempts until one gives an answer or none may follow.
func (sc *serviceCall) run() *Refusal {
	for {
		sc.place.Attempt = sc.report.Attempts + 1
		p, err := sc.g.o.Placer.Place(sc.ctx, &sc.place)
		if err != nil {
			return sc.portRefusal(err, sc.mayHaveRun)
		}
		err = sc.attempt(&p)
		if err == nil {
			return nil
		}
		if refusal := sc.next(&p, err); refusal != nil {
			return sc.giveUp(refusal)
		}
	}
}

func (sc *serviceCall) next(p *Placement, err error) *Refusal {
	class := engine.ClassOf(err)
	sc.mayHaveRun = sc.mayHaveRun || class.Ran()
	if errors.Is(err, engine.ErrCrossed) {
		sc.report.Mismatched++
	}
	if sc.ctx.Err() != nil {
		return sc.expired(sc.mayHaveRun)
	}
	if sc.begun || class.Ran() && !sc.idempotent {
		return sc.failed(true)
	}
	sc.place.Exclude = append(sc.place.Exclude, p.Endpoint)
	if !sc.mayRepeat() {
		return sc.quarantinedAfter(sc.mayHaveRun)
	}
	wait, ok := sc.g.o.Retry.Next(FailedAttempt{
		Organisation: sc.org.ID,
		Priority:     sc.priority,
		Class:        class,
		Attempt:      sc.report.Attempts,
		Idempotent:   sc.idempotent,
		Deadline:     sc.deadline,
	})
	if !ok || sc.report.Attempts >= sc.g.o.Limits.Attempts {
		return sc.failed(sc.mayHaveRun)
	}
	if pause.For(sc.ctx, wait) != nil {
		return sc.expired(sc.mayHaveRun)
	}
	return nil
}

// giveUp breaks off an answer that was begun, since ending it cleanly would
// make half of it look whole.
func (sc *serviceCall) giveUp(r *Refusal) *Refusal {
	if !sc.begun {
		return r
	}
	sc.report.Code, sc.report.Outcome = r.Code, r.Outcome
	panic(http.ErrAbortHandler)
}

func (sc *serviceCall) attempt(p *Placement) error {
	sc.report.Attempts++
	began := time.Now()
	res := AttemptResult{}
	err := sc.exchange(p, &res)
	res.Duration = time.Since(began)
	sc.settle(p, &sc.place, &res, err)
	return err
}

func (sc *serviceCall) exchange(p *Placement, res *AttemptResult) error {
	ans, err := sc.g.o.Engine.Send(sc.ctx, &engine.Attempt{
		ID:           sc.id + "-" + strconv.Itoa(sc.report.Attempts),
		Endpoint:     p.Endpoint,
		Address:      p.Address,
		Method:       sc.r.Method,
		Path:         sc.path,
		Header:       sc.header,
		Body:         sc.body,
		Organisation: sc.org.ID,
		Priority:     sc.priority,
		Deadline:     sc.deadline,
		Once:         !sc.idempotent,
	})
	if err != nil {
		return err
	}
	defer ans.Close()
	res.Status, res.Meta = ans.Status, ans.Meta
	if err := ans.NotRun(); err != nil {
		return err
	}
	return sc.relay(ans)
}

// relay passes a service's answer on as it is. What fits the buffer is held
// until all of it is here, so that a failure on the way can still be told.
func (sc *serviceCall) relay(ans *engine.Answer) error {
	head, more, err := ans.Head(sc.g.o.Limits.AnswerBufferBytes)
	if err != nil {
		return err
	}
	if !more {
		sc.keep(ans, head)
	}
	copyHeader(sc.w.Header(), ans.Header)
	if length := wholeLength(ans, len(head), more); length >= 0 && allowsBody(ans.Status) {
		sc.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	sc.report.Status = ans.Status
	sc.begun = true
	_ = sc.rc.SetWriteDeadline(time.Now().Add(sc.g.o.Limits.WriteTimeout))
	sc.w.WriteHeader(ans.Status)
	if !more {
		_, _ = sc.w.Write(head)
		return nil
	}
	return sc.relayRest(ans, head)
}

// wholeLength returns the length of the whole body, -1 if it is not known.
func wholeLength(ans *engine.Answer, head int, more bool) int64 {
	if ans.Length() >= 0 || more {
		return ans.Length()
	}
	return int64(head)
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// relayRest passes on an answer that is too large to hold. When the endpoint
// fails on the way, the caller sees its answer broken off.
func (sc *serviceCall) relayRest(ans *engine.Answer, head []byte) error {
	w := callerWriter{c: sc.call}
	if err := w.write(head); err != nil {
		return ans.Fail(err)
	}
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := ans.Read(buf)
		if werr := w.write(buf[:n]); werr != nil {
			return ans.Fail(werr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

const relayBufferBytes = 32 << 10

// keep stores the answer to a claimed call before the caller gets it, so that
// a repeat gets the same one.
func (sc *serviceCall) keep(ans *engine.Answer, body []byte) {
	if sc.claim.Complete == nil {
		return
	}
	ctx, cancel := sc.detached()
	defer cancel()
	// When keeping it fails, this caller still gets its answer; a repeat is
	// told that the outcome is unknown, which is true of what daemons know.
	_ = sc.claim.Complete(ctx, StoredAnswer{
		Status:      ans.Status,
		ContentType: ans.Header.Get("Content-Type"),
		Body:        body,
	})
}
