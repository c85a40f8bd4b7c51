package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/bytebudget"
)

// State is what a connection does.
type State uint8

// States of a connection.
const (
	StateIdle     State = iota // no byte of a request has come
	StateHead                  // a head is incomplete
	StateBody                  // a body is incomplete
	StateServing               // a request is whole; its answer may be under way
	StateDraining              // a request was refused before it was read to its end
	StateHijacked              // a handler has taken the connection over
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [...]string{"idle", "head", "body", "serving", "draining", "hijacked"}[s]
}

const (
	// freeHeadCost is the cost of a head that takes nothing of the budget.
	freeHeadCost = 4 << 10
	// bytesPerField is what a field of a head takes beside its own bytes, which are held
	// twice while it is read.
	bytesPerField = 96
	// headSlack is what the server may read beyond the end of a head.
	headSlack = 4 << 10
	// maxHeadDrainBytes bounds what is read behind a head that exceeds its limit.
	maxHeadDrainBytes = 256 << 10
	headTooLarge      = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var (
	errHeadTooLarge = errors.New("ingress: head exceeds its limit")
	// past is a deadline that ends what is under way.
	past = time.Unix(1, 0)
)

// Conn is a connection of a caller. A nil *Conn is one that is not tracked.
type Conn struct {
	net.Conn
	conns *Conns

	// inHead states that what is read belongs to a head.
	inHead atomic.Bool
	// writing is when the write that is under way began, as time since Conns.began; 0: none is.
	writing atomic.Int64

	// Guarded by Conns.mu.
	state       State
	since       time.Time // of the last progress in the state
	closed      bool      // by Conns; no further request may begin
	interrupted bool      // its body is no longer waited for, as the process stops
	head        *bytebudget.Holding

	// Of the head that is being read; used by its reader.
	headBytes, headFields int
}

// NetConn returns the wrapped connection, as tls.Conn.NetConn does.
func (k *Conn) NetConn() net.Conn { return k.Conn }

// Read implements net.Conn.
func (k *Conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 && k.inHead.Load() {
		if err := k.countHead(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (k *Conn) Write(b []byte) (int, error) {
	k.writing.Store(int64(k.conns.elapsed()))
	n, err := k.Conn.Write(b)
	k.writing.Store(0)
	return n, err
}

// Close implements net.Conn.
func (k *Conn) Close() error {
	k.conns.mu.Lock()
	k.conns.forget(k)
	k.conns.mu.Unlock()
	k.releaseHead()
	err := k.Conn.Close()
	select {
	case k.conns.room <- struct{}{}:
	default:
	}
	return err
}

// countHead checks the bytes of a head as they arrive, and takes what the server holds of them.
func (k *Conn) countHead(b []byte) error {
	if k.headBytes == 0 {
		k.enter(StateHead)
	}
	k.headBytes += len(b)
	k.headFields += bytes.Count(b, []byte{'\n'})
	if limit := k.conns.o.Limits().HeadBytes; limit > 0 && k.headBytes > limit+headSlack {
		k.refuseHead()
		return &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge}
	}
	cost := int64(2*k.headBytes + bytesPerField*k.headFields - freeHeadCost)
	if cost <= 0 || k.conns.o.Budget == nil {
		return nil
	}
	if err := k.holdHead().Grow(context.Background(), cost); err != nil {
		k.conns.report(StateHead, ReasonHead)
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return nil
}

func (k *Conn) holdHead() *bytebudget.Holding {
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	if k.head == nil {
		k.head = k.conns.o.Budget.Request("", k.stopReading)
	}
	return k.head
}

// refuseHead answers a head that exceeds its limit, and reads a moment longer, as closing a
// connection with unread bytes may discard the answer.
func (k *Conn) refuseHead() {
	k.conns.report(StateHead, ReasonHead)
	k.enter(StateDraining)
	if tcp, ok := k.Conn.(*net.TCPConn); ok && !k.conns.o.Encrypted {
		_ = tcp.SetDeadline(k.conns.o.Now().Add(drainTimeout))
		_, _ = io.WriteString(tcp, headTooLarge)
		_ = tcp.CloseWrite()
		_, _ = io.CopyN(io.Discard, tcp, maxHeadDrainBytes)
	}
}

// releaseHead returns what is held of a head.
func (k *Conn) releaseHead() {
	k.conns.mu.Lock()
	head := k.head
	k.head = nil
	k.conns.mu.Unlock()
	head.Release()
}

// enter sets the state of the connection, which counts as progress.
func (k *Conn) enter(s State) {
	if k == nil {
		return
	}
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	k.state, k.since = s, k.conns.o.Now()
	k.inHead.Store(s == StateIdle || s == StateHead)
	if s == StateIdle {
		k.headBytes, k.headFields = 0, 0
	}
}

// BeginRequest states that a head is complete. It returns false if the connection has been
// closed or has to give way in the meantime; the request must not be forwarded then.
func (k *Conn) BeginRequest() bool {
	if k == nil {
		return true
	}
	k.enter(StateServing)
	k.conns.mu.Lock()
	closed, head := k.closed, k.head
	k.conns.mu.Unlock()
	if closed {
		return false
	}
	return head == nil || head.Finish(head.Bytes()) == nil
}

// Closed reports whether the connection was closed for another one.
func (k *Conn) Closed() bool {
	if k == nil {
		return false
	}
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	return k.closed
}

// progress records progress in the state.
func (k *Conn) progress() {
	if k == nil {
		return
	}
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	k.since = k.conns.o.Now()
}

// stopReading ends a read that is under way, and fails later ones.
func (k *Conn) stopReading() {
	if k != nil {
		_ = k.SetReadDeadline(past)
	}
}

func (k *Conn) wasInterrupted() bool {
	if k == nil {
		return false
	}
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	return k.interrupted
}

// stalledFor returns for how long the connection has made no progress; 0: it makes progress, or
// its grace has not passed. complete states that it serves a whole request.
func (k *Conn) stalledFor(now time.Time) (stalled time.Duration, complete bool) {
	grace := idleGrace
	since := k.since
	switch k.state {
	case StateServing:
		complete, grace = true, stallGrace
		began := k.writing.Load()
		if began == 0 {
			return 0, true
		}
		since = k.conns.began.Add(time.Duration(began))
	case StateBody:
		grace = stallGrace
	case StateIdle, StateHead, StateDraining:
	case StateHijacked:
		return 0, true
	}
	if stalled = now.Sub(since); stalled < grace {
		return 0, complete
	}
	return stalled, complete
}
