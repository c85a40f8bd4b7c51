package ingress

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainTimeout bounds the time for which the rest of a refused request is read. It is
	// enough for a caller to notice the refusal while it still sends: the answer is lost if the
	// connection is closed before.
	drainTimeout = time.Second
	// maxReusableBytes is the largest rest of a body after which the connection is used again.
	// Reading a longer one takes more than a new connection.
	maxReusableBytes = 256 << 10
)

// Refuse answers a request whose body was not read to its end: answer writes the whole answer,
// with its length, which is sent before the rest of the body is read and discarded. limit is the largest accepted
// body in bytes. It returns false if the connection can't be used again; the handler must then
// end it.
//
// By default the server reads the body before it sends an answer, without a time limit. In
// full-duplex mode it does not, but an unread rest of the body would be taken for the next
// request.
func Refuse(w http.ResponseWriter, r *http.Request, limit int64, answer func()) (reusable bool) {
	control := http.NewResponseController(w)
	if r.ContentLength == 0 || control.EnableFullDuplex() != nil {
		answer()
		return true
	}
	closes := r.ContentLength > min(limit, maxReusableBytes) || !r.ProtoAtLeast(1, 1)
	if closes {
		w.Header().Set("Connection", "close")
	}
	ConnOf(r.Context()).enter(StateDraining)
	_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
	answer()
	if control.Flush() != nil {
		return false
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1)); err != nil || n > limit {
		return closes
	}
	_ = control.SetReadDeadline(time.Time{})
	ConnOf(r.Context()).enter(StateServing)
	return true
}
