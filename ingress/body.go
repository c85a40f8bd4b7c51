package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/merlindock/merlindock/bytebudget"
)

const (
	// firstBytes is the size with which the buffer of a body of unknown length begins.
	firstBytes = 4 << 10
	// unknownFactor is what a growing buffer takes relative to its size: it is copied to one of
	// twice the size, and the smaller ones are not collected at once.
	unknownFactor = 2
	// progressParts is in how many parts a body is seen to make progress.
	progressParts = 16
)

// Errors of ReadBody, beside those of the connection.
var (
	ErrTooLarge = errors.New("ingress: body exceeds its limit")
	ErrTimeout  = errors.New("ingress: body was not complete in time")
	ErrNoRoom   = errors.New("ingress: no room for the body")
	ErrStopping = errors.New("ingress: body was not complete when the process stopped")
)

// BodyOptions are the limits of one body.
type BodyOptions struct {
	Limit    int64     // bytes
	Deadline time.Time // for its last byte
	Owner    string    // whose share of the room it takes
	Prefix   int       // bytes that are left free in front of the body
}

// Body is the body of a request. The zero value is an empty one.
type Body struct {
	Bytes []byte // with the prefix
	held  *bytebudget.Holding
}

// Release returns what the body takes of the budget.
func (b *Body) Release() { b.held.Release() }

// ReadBody reads the whole body of a request into the budget. While it finds no room it reads
// nothing. The caller releases the body, and refuses the request with Refuse after an error.
func ReadBody(budget *bytebudget.Budget, w http.ResponseWriter, r *http.Request, o BodyOptions) (Body, error) {
	if most := budget.MaxRequest(); most > 0 {
		o.Limit = min(o.Limit, most/unknownFactor)
	}
	switch {
	case r.ContentLength == 0:
		return Body{Bytes: make([]byte, o.Prefix)}, nil
	case r.ContentLength > o.Limit:
		return Body{}, ErrTooLarge
	}
	k := ConnOf(r.Context())
	k.enter(StateBody)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(o.Deadline) // not supported: the server has no connection
	b := bodyReader{BodyOptions: o, r: r, conn: k, held: budget.Request(o.Owner, k.stopReading)}
	err := b.read()
	if err == nil {
		err = b.held.Finish(b.cost(len(b.buffer) - o.Prefix))
	}
	if err != nil {
		err = b.classify(err)
		b.held.Release()
		return Body{}, err
	}
	_ = control.SetReadDeadline(time.Time{})
	k.enter(StateServing)
	return Body{Bytes: b.buffer, held: b.held}, nil
}

// bodyReader reads one body.
type bodyReader struct {
	BodyOptions
	r      *http.Request
	conn   *Conn
	held   *bytebudget.Holding
	buffer []byte // with the prefix
	mark   int    // bytes of the buffer at which the body has made progress
}

// read reads to the end of the body.
func (b *bodyReader) read() error {
	size := int64(firstBytes)
	if b.r.ContentLength > 0 {
		size = min(b.r.ContentLength, bytebudget.FreeBytes)
	}
	b.buffer = make([]byte, b.Prefix, b.Prefix+int(size))
	for {
		if len(b.buffer) == cap(b.buffer) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := b.r.Body.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		length := int64(len(b.buffer) - b.Prefix)
		switch {
		case length > b.Limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		if len(b.buffer) >= b.mark {
			b.mark = len(b.buffer) + max(bytebudget.FreeBytes, cap(b.buffer)/progressParts)
			b.held.Progress()
			b.conn.progress()
		}
	}
}

// grow makes the buffer larger. One of known length is taken at once, so that a body which has
// room does not have to wait for more.
func (b *bodyReader) grow() error {
	size := int64(cap(b.buffer) - b.Prefix)
	next := min(2*size, b.Limit+1)
	if known := b.r.ContentLength; known > size {
		next = known
	}
	if err := b.held.Grow(b.r.Context(), b.cost(int(next))); err != nil {
		return err
	}
	larger := make([]byte, len(b.buffer), b.Prefix+int(next))
	copy(larger, b.buffer)
	b.buffer = larger
	return nil
}

// cost returns what a body of the given size takes of the budget.
func (b *bodyReader) cost(size int) int64 {
	over := int64(size) - bytebudget.FreeBytes
	if over <= 0 {
		return 0
	}
	if b.r.ContentLength < 0 {
		over *= unknownFactor
	}
	return over
}

// classify returns what an error of the read means for the request.
func (b *bodyReader) classify(err error) error {
	switch {
	case b.conn.wasInterrupted():
		return ErrStopping
	case errors.Is(err, bytebudget.ErrNoRoom), errors.Is(err, bytebudget.ErrShed), b.held.WasShed():
		return ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	case errors.Is(err, context.Canceled):
		return io.ErrUnexpectedEOF
	}
	return err
}
