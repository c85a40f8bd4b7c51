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

// CachedUnknown is the value of CachedTokens if the endpoint reported none.
const CachedUnknown = -1

// Metadata holds the values of the Merlin-* headers of an answer.
type Metadata struct {
	Attempt       string            // echoed attempt ID; empty: none
	Incarnation   fleet.Incarnation // 0: unknown
	CachedTokens  int               // CachedUnknown: not reported
	Load          fleet.Load
	HasLoad       bool
	Limit         *float64 // requests/s that the endpoint accepts from all daemons; nil: not reported
	NotRun        bool
	WeightVersion string // empty: not reported
}

func readMetadata(h http.Header) Metadata {
	m := Metadata{
		Attempt:       h.Get(HeaderAttempt),
		CachedTokens:  CachedUnknown,
		WeightVersion: h.Get(HeaderWeightVersion),
		Limit:         limits.Parse(h.Get(HeaderLimit)),
	}
	// After "not run" the daemon sends the request again. Without the echoed
	// attempt ID the answer could belong to another request, and a call with side
	// effects could run twice, so "not run" counts only together with the echo.
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

// Length returns the announced length of the body in bytes, -1 if unknown.
func (ans *Answer) Length() int64 { return ans.length }

// Answer is an endpoint's answer to one attempt. Its header has been read, its body
// has not.
type Answer struct {
	Status int
	Header http.Header
	Meta   Metadata

	client    *Client
	endpoint  fleet.EndpointID
	body      io.ReadCloser
	length    int64 // of the body; -1: unknown
	ctx       context.Context
	cancel    context.CancelCauseFunc
	bodyTimer *stallTimer // for Read
}

// validate returns the reason if the answer must not be used.
func (ans *Answer) validate(a *Attempt) error {
	// An endpoint or a proxy may return the answer to an earlier attempt or to
	// another caller's request. The echoed attempt ID reveals this before the answer
	// reaches the wrong caller.
	if ans.Meta.Attempt != "" && ans.Meta.Attempt != a.ID {
		return ErrWrongAttempt
	}
	if a.WeightVersion != "" && ans.Meta.WeightVersion != "" && ans.Meta.WeightVersion != a.WeightVersion && !ans.Meta.NotRun {
		return ErrWrongVersion
	}
	return nil
}

// NotRun returns an error of class NotRun if the endpoint stated that it ran no part
// of the request, and nil otherwise.
func (ans *Answer) NotRun() error {
	if !ans.Meta.NotRun {
		return nil
	}
	return ans.newError(NotRun, errors.New("endpoint refused the request with status "+strconv.Itoa(ans.Status)))
}

// UnusableError returns an error for an answer that cannot be used. Its class is
// OutcomeUnknown, since the request may have run.
func (ans *Answer) UnusableError(cause error) error { return ans.newError(OutcomeUnknown, cause) }

func (ans *Answer) newError(class Class, cause error) error {
	return &Error{Class: class, Endpoint: string(ans.endpoint), Status: ans.Status, Cause: cause}
}

// Close releases the answer. If the body was not read to its end, the connection is
// closed, which cancels the request at the endpoint.
func (ans *Answer) Close() {
	if ans.bodyTimer != nil {
		ans.bodyTimer.stop()
	}
	ans.cancel(nil)
	_ = ans.body.Close()
}

// ReadAll reads the body to its end. It fails with ErrTooLarge if the body exceeds
// Options.MaxAnswerBytes, and with ErrTruncated if it is shorter than announced.
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

// ReadUpTo reads the body until it ends or exceeds limit bytes, and reports whether
// it exceeds them. The rest can then be read with Read.
func (ans *Answer) ReadUpTo(limit int64) (head []byte, more bool, err error) {
	timer := ans.newStallTimer()
	defer timer.stop()
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
		timer.begin()
		n, err := ans.body.Read(head[len(head):cap(head)])
		timer.end()
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, int64(len(head)) > limit, nil
		}
		if err != nil {
			return head, false, ans.UnusableError(ans.readError(err))
		}
	}
}

// Read reads the rest of the body after ReadUpTo. It returns io.EOF only after the
// complete body.
func (ans *Answer) Read(p []byte) (int, error) {
	if ans.bodyTimer == nil {
		ans.bodyTimer = ans.newStallTimer()
	}
	ans.bodyTimer.begin()
	n, err := ans.body.Read(p)
	ans.bodyTimer.end()
	if err != nil && !errors.Is(err, io.EOF) {
		err = ans.UnusableError(ans.readError(err))
	}
	return n, err
}

// readError converts an error of reading the body to a cause of this package.
func (ans *Answer) readError(err error) error {
	switch {
	case errors.Is(context.Cause(ans.ctx), ErrStalled):
		return ErrStalled
	case ans.ctx.Err() != nil:
		return context.Cause(ans.ctx)
	default:
		return errors.Join(ErrTruncated, err)
	}
}

// stallTimer cancels an answer whose endpoint sends nothing for too long. An engine
// that hangs keeps its connection open, so without the timer the caller would wait
// for its own timeout instead of being served by another endpoint. Only the time
// spent reading counts: the endpoint is not responsible for delays of a slow caller.
type stallTimer struct {
	timer   *time.Timer
	limit   time.Duration
	reading atomic.Bool
}

func (ans *Answer) newStallTimer() *stallTimer {
	t := &stallTimer{limit: ans.client.options.StallTimeout}
	t.timer = time.AfterFunc(t.limit, func() {
		if t.reading.Load() {
			ans.cancel(ErrStalled)
		}
	})
	return t
}

// begin restarts the timer for a read that may block.
func (t *stallTimer) begin() {
	t.timer.Reset(t.limit)
	t.reading.Store(true)
}

func (t *stallTimer) end()  { t.reading.Store(false) }
func (t *stallTimer) stop() { t.timer.Stop() }
