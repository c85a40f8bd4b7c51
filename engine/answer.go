package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/limits"
)

// CachedUnknown is the number of cached tokens when the endpoint gave none.
const CachedUnknown = -1

// Metadata is what an answer's header says beside the answer itself.
type Metadata struct {
	Attempt       string            // echo; empty when the endpoint gives none
	Incarnation   fleet.Incarnation // zero: not known
	CachedTokens  int               // CachedUnknown: not known
	Load          fleet.Load
	HasLoad       bool
	Limit         *float64 // requests a second that it takes of all daemons; nil: not said
	NotRun        bool
	WeightVersion string // empty: not said
}

func readMetadata(h http.Header) Metadata {
	m := Metadata{
		Attempt:       h.Get(HeaderAttempt),
		CachedTokens:  CachedUnknown,
		WeightVersion: h.Get(HeaderWeightVersion),
		Limit:         limits.Parse(h.Get(HeaderLimit)),
	}
	// An endpoint that answers "not run" makes the daemon send the request
	// again. Without the echo it could be the answer to somebody else, and a
	// booking would run twice; so it is believed only with the echo.
	m.NotRun = m.Attempt != "" && h.Get(HeaderNotRun) == "true"
	if n, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64); err == nil {
		m.Incarnation = fleet.Incarnation(n)
	}
	if n, err := strconv.Atoi(h.Get(HeaderCachedTokens)); err == nil && n >= 0 {
		m.CachedTokens = n
	}
	if text := h.Get(HeaderLoad); text != "" {
		m.HasLoad = json.Unmarshal([]byte(text), &m.Load) == nil
	}
	return m
}

// Length returns the length of the body as announced, -1 if it was not.
func (ans *Answer) Length() int64 { return ans.length }

// Answer is an endpoint's answer to one attempt, its header read and its body
// not yet.
type Answer struct {
	Status int
	Header http.Header
	Meta   Metadata

	client   *Client
	endpoint fleet.EndpointID
	body     io.ReadCloser
	length   int64 // -1: not known
	ctx      context.Context
	cancel   context.CancelCauseFunc
	rest     *stallWatch // of Read
}

// check tells why the answer must not be used, if so.
func (ans *Answer) check(a *Attempt) error {
	// An endpoint, or something between, may hand over the answer to an earlier
	// attempt or to somebody else's request. The caller would see another's
	// text; the echo shows it.
	if ans.Meta.Attempt != "" && ans.Meta.Attempt != a.ID {
		return ErrWrongAttempt
	}
	if a.WeightVersion != "" && ans.Meta.WeightVersion != "" && ans.Meta.WeightVersion != a.WeightVersion && !ans.Meta.NotRun {
		return ErrWrongVersion
	}
	return nil
}

// NotRun returns the error that says that the endpoint did no part of the
// request, or nil when the endpoint does not say so.
func (ans *Answer) NotRun() error {
	if !ans.Meta.NotRun {
		return nil
	}
	return ans.fail(NotRun, errors.New("endpoint refused the request with status "+strconv.Itoa(ans.Status)))
}

// UnusableError returns the error for an answer that cannot be used for the given
// cause. The request has run as far as anyone can tell.
func (ans *Answer) UnusableError(cause error) error { return ans.fail(OutcomeUnknown, cause) }

func (ans *Answer) fail(class Class, cause error) error {
	return &Error{Class: class, Endpoint: string(ans.endpoint), Status: ans.Status, Cause: cause}
}

// Close ends the answer; an answer that was not read whole is cancelled at the
// endpoint by closing its connection.
func (ans *Answer) Close() {
	if ans.rest != nil {
		ans.rest.stop()
	}
	ans.cancel(nil)
	_ = ans.body.Close()
}

// ReadAll reads the body to its end. It fails with ErrTooLarge beyond the
// client's limit and with ErrCut when the endpoint sent less than it announced.
func (ans *Answer) ReadAll() ([]byte, error) {
	body, more, err := ans.ReadUpTo(ans.client.options.MaxAnswerBytes)
	if err != nil {
		return nil, err
	}
	if more {
		return nil, ans.UnusableError(ErrTooLarge)
	}
	return body, nil
}

// ReadUpTo reads the body up to limit bytes and tells whether there is more. The
// rest is then read with Read.
func (ans *Answer) ReadUpTo(limit int64) (head []byte, more bool, err error) {
	watch := ans.watch()
	defer watch.stop()
	size := int64(512)
	if ans.length >= 0 {
		size = min(ans.length, limit) + 1
	}
	head = make([]byte, 0, size)
	for {
		if int64(len(head)) > limit {
			return head, true, nil
		}
		if len(head) == cap(head) {
			head = append(head, 0)[:len(head)]
		}
		watch.begin()
		n, err := ans.body.Read(head[len(head):cap(head)])
		watch.end()
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, int64(len(head)) > limit, nil
		}
		if err != nil {
			return head, false, ans.UnusableError(ans.cause(err))
		}
	}
}

// Read reads the rest of the body after Head. It returns io.EOF only when the
// endpoint sent all that it announced.
func (ans *Answer) Read(p []byte) (int, error) {
	if ans.rest == nil {
		ans.rest = ans.watch()
	}
	ans.rest.begin()
	n, err := ans.body.Read(p)
	ans.rest.end()
	if err != nil && !errors.Is(err, io.EOF) {
		err = ans.UnusableError(ans.cause(err))
	}
	return n, err
}

// cause turns an error of the body into one of this package.
func (ans *Answer) cause(err error) error {
	switch {
	case errors.Is(context.Cause(ans.ctx), ErrStalled):
		return ErrStalled
	case ans.ctx.Err() != nil:
		return context.Cause(ans.ctx)
	default:
		return errors.Join(ErrTruncated, err)
	}
}

// stallWatch cancels an answer whose endpoint sends nothing for too long. An
// engine that hangs keeps its connection open, so without this the caller
// would wait until its own timeout instead of being served elsewhere. Only the
// time spent reading counts: while a slow caller is waited for, the endpoint
// is not at fault.
type stallWatch struct {
	timer   *time.Timer
	limit   time.Duration
	reading atomic.Bool
}

func (ans *Answer) watch() *stallWatch {
	w := &stallWatch{limit: ans.client.options.StallTimeout}
	w.timer = time.AfterFunc(w.limit, func() {
		if w.reading.Load() {
			ans.cancel(ErrStalled)
		}
	})
	return w
}

// begin starts the time anew for a read that may wait.
func (w *stallWatch) begin() {
	w.timer.Reset(w.limit)
	w.reading.Store(true)
}

func (w *stallWatch) end()  { w.reading.Store(false) }
func (w *stallWatch) stop() { w.timer.Stop() }
