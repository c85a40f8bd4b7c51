package response

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/merlindock/merlindock/bytebudget"
)

// firstBodyBytes is the buffer size with which a body begins.
const firstBodyBytes = 1 << 10

// growthFactor is the memory that a growing buffer takes, relative to its size: it is copied
// to one of twice the size, and the smaller ones are not collected at once.
const growthFactor = 2

// Limits bounds what a process holds of the bodies that it reads, all together. A nil *Limits
// sets no bound on their sum. It is safe for concurrent use.
type Limits struct {
	budget   *bytebudget.Budget
	exceeded func(reader, id, from string, e *Error)
	decoding sync.Mutex // held while a long body is decoded, which takes a multiple of its size
}

// NewLimits returns Limits with a budget in bytes that nothing else takes from. exceeded is called when a sender's bytes
// exceed a limit, with the name of the reader, the ID of the attempt or "", and the sender; it
// may be nil.
func NewLimits(budget int64, exceeded func(reader, id, from string, e *Error)) *Limits {
	return NewSharedLimits(bytebudget.New(bytebudget.SizeFor(budget), time.Now), exceeded)
}

// NewSharedLimits is NewLimits with the room for answers of a budget that others take from too.
func NewSharedLimits(budget *bytebudget.Budget, exceeded func(reader, id, from string, e *Error)) *Limits {
	return &Limits{budget: budget, exceeded: exceeded}
}

// Observe reports an error of a reader if it is an *Error.
func (l *Limits) Observe(reader, id, from string, err error) {
	var e *Error
	if l != nil && l.exceeded != nil && errors.As(err, &e) {
		l.exceeded(reader, id, from, e)
	}
}

// Held returns how many bytes of the budget are in use.
func (l *Limits) Held() int64 {
	if l == nil {
		return 0
	}
	return l.budget.Held(bytebudget.Answers)
}

// Holding is the part of the budget that one body takes. The zero value takes none and has no
// budget. It is not safe for concurrent use.
type Holding struct {
	limits *Limits
	taken  int64 // bytes
}

// Hold returns a Holding that takes nothing yet.
func (l *Limits) Hold() Holding { return Holding{limits: l} }

// Resize takes as much of the budget as a buffer of the given size needs, and returns an
// *Error, with the part unchanged, if the budget does not have it.
func (h *Holding) Resize(bytes int64) error {
	if h.limits == nil {
		return nil
	}
	need := max(0, growthFactor*(bytes-FreeBytes))
	more := need - h.taken
	if more == 0 {
		return nil
	}
	if !h.limits.budget.TakeAnswer(more) {
		return &Error{Bound: BoundBudget, Limit: h.limits.budget.Share(), Read: bytes}
	}
	h.taken = need
	return nil
}

// Release returns the part to the budget.
func (h *Holding) Release() {
	if h.taken > 0 {
		h.limits.budget.TakeAnswer(-h.taken)
		h.taken = 0
	}
}

// ReadBody reads a body of at most limit bytes; the error for a longer one is an *Error of
// BoundBody and comes with the bytes read. The caller releases the Holding when the bytes are
// no longer needed, also after an error.
func (l *Limits) ReadBody(from io.Reader, limit int64) ([]byte, Holding, error) {
	held := l.Hold()
	body := make([]byte, 0, firstBodyBytes)
	for {
		if int64(len(body)) > limit {
			return body, held, &Error{Bound: BoundBody, Limit: limit, Read: int64(len(body))}
		}
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), limit+1)
			if err := held.Resize(size); err != nil {
				return body, held, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):min(int64(cap(body)), limit+1)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(body)) <= limit:
			return body, held, nil
		case err != nil && !errors.Is(err, io.EOF):
			return body, held, err
		}
	}
}

// DecodeBody reads a body as ReadBody does and decodes it. Long bodies are decoded one at a
// time.
func (l *Limits) DecodeBody(from io.Reader, limit int64, decode func(body []byte) error) error {
	body, held, err := l.ReadBody(from, limit)
	defer held.Release()
	if err != nil {
		return err
	}
	if l != nil && len(body) > FreeBytes {
		l.decoding.Lock()
		defer l.decoding.Unlock()
	}
	return decode(body)
}
