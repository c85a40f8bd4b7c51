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

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// storeTimeout is the maximum delay of an answer while it is stored for its
// idempotency key.
const storeTimeout = 5 * time.Second

// serviceCall is the state of one call of a plain service.
type serviceCall struct {
	*call
	place      PlaceRequest
	header     http.Header
	path       string
	idempotent bool
	claim      Claim
	mayHaveRun bool
}

func (c *call) serveService(s *catalog.Service, rest string) *Refusal {
	ms, err := c.deadlineHeader()
	if err != nil {
		return refusedf(http.StatusBadRequest, CodeInvalidRequest, "%s must be a number of milliseconds above 0", HeaderDeadline)
	}
	cancel, refusal := c.setPriorityAndDeadline(c.r.Header.Get(HeaderPriority), milliseconds(ms))
	if refusal != nil {
		return refusal
	}
	defer cancel()
	c.report.Kind, c.report.Service = fleet.KindService, s.ID
	sc := &serviceCall{
		call:   c,
		place:  c.placeRequest(fleet.KindService),
		header: serviceHeaders(c.r.Header),
		path:   requestURI(c.r.URL),
		// The service may decode an escaped path to another call than the one that
		// matches the manifest's rules, so it is not considered idempotent.
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

// runClaimed claims the idempotency key and, according to the decision, runs the
// call or answers with its stored result.
func (sc *serviceCall) runClaimed(key string) *Refusal {
	if len(key) > maxIdempotencyKeyBytes {
		return refusedf(http.StatusBadRequest, CodeKeyInvalid, "the idempotency key exceeds %d bytes", maxIdempotencyKeyBytes)
	}
	claim, err := sc.g.o.Claimer.Claim(sc.ctx, ClaimRequest{Organisation: sc.org.ID, Key: key, Digest: sc.digest()})
	if err != nil {
		return sc.portRefusal(err, false)
	}
	switch claim.Decision {
	case ClaimStored:
		sc.writeAnswer(claim.Stored.Status, claim.Stored.ContentType, claim.Stored.Body)
		return nil
	case ClaimUnknown:
		return unknownOutcome(http.StatusConflict, CodeOutcomeUnknown, "a call with this key was begun and its outcome is not known")
	}
	sc.claim = claim
	// A caller that leaves may retry with its key at another daemon. The call
	// continues without it so that its answer can be stored. Otherwise every
	// retry with this key would get "outcome unknown".
	ctx, cancel := sc.contextWithoutCaller()
	defer cancel()
	sc.ctx = ctx
	refusal := sc.run()
	if refusal != nil && !sc.mayHaveRun && claim.Abandon != nil {
		ctx, cancel := sc.storeContext()
		defer cancel()
		_ = claim.Abandon(ctx)
	}
	return refusal
}

// contextWithoutCaller returns a context that ends at the deadline or when the daemon
// shuts down, but not when the caller leaves.
func (sc *serviceCall) contextWithoutCaller() (context.Context, context.CancelFunc) {
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

// storeContext returns a context for storing the result of a call. It does not end when
// the caller leaves, since the caller's retry must find the result.
func (sc *serviceCall) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(sc.ctx), storeTimeout)
}

// digest returns a hash of the call, to detect that a key is reused for another.
func (sc *serviceCall) digest() [sha256.Size]byte {
	h := sha256.New()
	for _, field := range []string{sc.r.Method, sc.path, sc.r.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	_, _ = h.Write(sc.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// run makes attempts until one gives an answer or no retry is allowed.
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
		if refusal := sc.prepareRetry(&p, err); refusal != nil {
			return sc.endWithError(refusal)
		}
	}
}

func (sc *serviceCall) prepareRetry(p *Placement, err error) *Refusal {
	class := engine.ClassOf(err)
	sc.mayHaveRun = sc.mayHaveRun || class.MayHaveRun()
	if errors.Is(err, engine.ErrWrongAttempt) {
		sc.report.MismatchedAnswers++
	}
	if sc.ctx.Err() != nil {
		return sc.contextRefusal(sc.mayHaveRun)
	}
	if !sc.sent.Continuable() || class.MayHaveRun() && !sc.idempotent {
		return sc.attemptsExhausted(true)
	}
	sc.place.Exclude = append(sc.place.Exclude, p.Endpoint)
	if !sc.mayRetry() {
		return sc.quarantineRefusal(sc.mayHaveRun)
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
		return sc.attemptsExhausted(sc.mayHaveRun)
	}
	if pause.For(sc.ctx, wait) != nil {
		return sc.contextRefusal(sc.mayHaveRun)
	}
	return nil
}

// endWithError aborts the connection if part of the answer was sent, since a clean end
// would make an incomplete answer look complete. Otherwise it returns the refusal.
func (sc *serviceCall) endWithError(r *Refusal) *Refusal {
	if sc.sent.Nothing() {
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
	sc.reportAttempt(p, &sc.place, &res, err)
	return err
}

func (sc *serviceCall) exchange(p *Placement, res *AttemptResult) error {
	ans, err := sc.g.o.Engine.Send(sc.ctx, &engine.Attempt{
		ID:            sc.id + "-" + strconv.Itoa(sc.report.Attempts),
		Endpoint:      p.Endpoint,
		Address:       p.Address,
		Method:        sc.r.Method,
		Path:          sc.path,
		Header:        sc.header,
		Body:          sc.body,
		Organisation:  sc.org.ID,
		Priority:      sc.priority,
		Deadline:      sc.deadline,
		NonIdempotent: !sc.idempotent,
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

// relay relays a service's answer unchanged. An answer that fits the buffer is
// sent only after all of it has arrived, so that a failure before that can still
// be answered with an error.
func (sc *serviceCall) relay(ans *engine.Answer) error {
	head, more, err := ans.ReadUpTo(sc.g.o.Limits.AnswerBufferBytes)
	if err != nil {
		return err
	}
	if !more {
		sc.storeAnswer(ans, head)
	}
	if !sc.sent.BeginBody() {
		return ans.UnusableError(errAnswerBegun)
	}
	copyEndToEndHeaders(sc.w.Header(), ans.Header)
	if length := contentLength(ans, len(head), more); length >= 0 && allowsBody(ans.Status) {
		sc.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	sc.report.Status = ans.Status
	_ = sc.rc.SetWriteDeadline(time.Now().Add(sc.g.o.Limits.WriteTimeout))
	sc.w.WriteHeader(ans.Status)
	if !more {
		_, _ = sc.w.Write(head)
		sc.sent.End()
		return nil
	}
	return sc.relayUnbuffered(ans, head)
}

// contentLength returns the length of the complete body, -1 if unknown.
func contentLength(ans *engine.Answer, head int, more bool) int64 {
	if ans.Length() >= 0 || more {
		return ans.Length()
	}
	return int64(head)
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// relayUnbuffered relays an answer that exceeds the buffer. If the endpoint fails, the
// caller's connection is aborted.
func (sc *serviceCall) relayUnbuffered(ans *engine.Answer, head []byte) error {
	w := callerWriter{c: sc.call}
	if err := w.write(head); err != nil {
		return ans.UnusableError(err)
	}
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := ans.Read(buf)
		if werr := w.write(buf[:n]); werr != nil {
			return ans.UnusableError(werr)
		}
		if errors.Is(err, io.EOF) {
			sc.sent.End()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

const relayBufferBytes = 32 << 10

// storeAnswer stores the answer to a claimed call before it is sent to the caller, so
// that a repetition gets the same one.
func (sc *serviceCall) storeAnswer(ans *engine.Answer, body []byte) {
	if sc.claim.Complete == nil {
		return
	}
	ctx, cancel := sc.storeContext()
	defer cancel()
	// If storing fails, this caller still gets its answer, and a repetition gets
	// "outcome unknown".
	_ = sc.claim.Complete(ctx, StoredAnswer{
		Status:      ans.Status,
		ContentType: ans.Header.Get("Content-Type"),
		Body:        body,
	})
}
