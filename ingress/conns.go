package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/bytebudget"
)

const (
	// idleGrace is how long a connection without a request stays open although others find no
	// room, so that its caller can send one.
	idleGrace = 250 * time.Millisecond
	// stallGrace is the same for a request that is not complete and for an answer that its
	// caller does not read.
	stallGrace = bytebudget.StallAfter
	// acceptInterval is how often a listener without room looks for a connection to close.
	acceptInterval = 10 * time.Millisecond
)

// Limits of the connections of one listener. Zero values mean no limit.
type Limits struct {
	HeadBytes   int           // of the head of a request
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // between requests, and before the first
}

// Options configure Conns.
type Options struct {
	Max    int                // connections open at the same time; 0: no bound
	Limits func() Limits      // in force now; nil: none
	Budget *bytebudget.Budget // for long heads; nil: they are not bounded together
	Now    func() time.Time
	// Encrypted states that the connections carry TLS, so that nothing can be answered below it.
	Encrypted bool
	// Closed is called with the state of a connection that was closed for another one or for
	// its time limit; nil: nothing is reported.
	Closed func(s State, reason Reason)
}

// Reason is why a connection was closed, for logs and metrics.
type Reason string

// Reasons.
const (
	ReasonRoom    Reason = "room"    // another connection needed its place
	ReasonTimeout Reason = "timeout" // its time limit has passed
	ReasonHead    Reason = "head"    // its head exceeds the limit, or no room is left for it
)

// Conns tracks the connections that a listener has accepted.
//
// http.Server decides whether a connection is idle by a state that changes only
// after a request was read. A connection closed in between may carry a request
// that is forwarded to an endpoint nevertheless: the caller sees a broken
// connection and does not know whether its request ran. Conns makes the
// start of a request and the closing of its connection mutually exclusive.
type Conns struct {
	o     Options
	began time.Time
	room  chan struct{} // has an element after a connection was closed

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// NewConns returns a tracker without connections.
func NewConns(o Options) *Conns {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	return &Conns{o: o, began: o.Now(), open: map[*Conn]struct{}{}, room: make(chan struct{}, 1)}
}

// Listen returns a listener that tracks the connections accepted from l. While Max are open
// it accepts one more only for another that can be closed.
func (c *Conns) Listen(l net.Listener) net.Listener { return &listener{Listener: l, conns: c} }

type listener struct {
	net.Listener
	conns  *Conns
	closed atomic.Bool
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Accept implements net.Listener. After Close its error is net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	switch {
	case err != nil && l.closed.Load():
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	}
	// The connections behind it wait in the kernel, which bounds their number.
	l.conns.makeRoom()
	return l.conns.add(raw), nil
}

func (c *Conns) add(raw net.Conn) *Conn {
	k := &Conn{Conn: raw, conns: c, since: c.o.Now()}
	k.inHead.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[k] = struct{}{}
	return k
}

// makeRoom returns when a further connection may be opened.
func (c *Conns) makeRoom() {
	for {
		c.mu.Lock()
		if c.o.Max <= 0 || len(c.open) < c.o.Max {
			c.mu.Unlock()
			return
		}
		k := c.longestStalled()
		var state State
		if k != nil {
			state = k.state
			c.forget(k)
		}
		c.mu.Unlock()
		if k != nil {
			c.closeConn(k, state, ReasonRoom)
			return
		}
		select {
		case <-c.room:
		case <-time.After(acceptInterval):
		}
	}
}

// longestStalled returns the connection that gives way to a new one; nil: all make progress. One
// with a whole request gives way only if there is no other.
func (c *Conns) longestStalled() *Conn {
	now := c.o.Now()
	var longest [2]*Conn
	var age [2]time.Duration
	for k := range c.open {
		stalled, complete := k.stalledFor(now)
		i := 0
		if complete {
			i = 1
		}
		if stalled > age[i] {
			longest[i], age[i] = k, stalled
		}
	}
	if longest[0] != nil {
		return longest[0]
	}
	return longest[1]
}

// elapsed returns the time since the start; it is never 0.
func (c *Conns) elapsed() time.Duration { return max(1, c.o.Now().Sub(c.began)) }

// forget marks a connection as closed, so that no request on it begins.
func (c *Conns) forget(k *Conn) {
	k.closed = true
	delete(c.open, k)
}

func (c *Conns) closeConn(k *Conn, s State, reason Reason) {
	_ = k.Conn.Close()
	k.releaseHead()
	c.report(s, reason)
}

func (c *Conns) report(s State, reason Reason) {
	if c.o.Closed != nil {
		c.o.Closed(s, reason)
	}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseExpired closes the connections whose head or idle time has passed. It is called
// periodically.
func (c *Conns) CloseExpired() {
	limits, now := c.o.Limits(), c.o.Now()
	type expired struct {
		conn  *Conn
		state State
	}
	var all []expired
	c.mu.Lock()
	for k := range c.open {
		limit := time.Duration(0)
		switch k.state {
		case StateIdle:
			limit = limits.IdleTimeout
		case StateHead:
			limit = limits.HeadTimeout
		default:
		}
		if limit > 0 && now.Sub(k.since) > limit {
			all = append(all, expired{k, k.state})
			c.forget(k)
		}
	}
	c.mu.Unlock()
	for _, e := range all {
		c.closeConn(e.conn, e.state, ReasonTimeout)
	}
}

// InterruptBodies ends the wait for bodies that are not complete. The handlers of their requests
// refuse them. It is called periodically while the process stops.
func (c *Conns) InterruptBodies() {
	var reading []*Conn
	c.mu.Lock()
	for k := range c.open {
		if k.state == StateBody {
			k.interrupted = true
			reading = append(reading, k)
		}
	}
	c.mu.Unlock()
	for _, k := range reading {
		k.stopReading()
	}
}

// CloseIdle closes the connections that serve no request, interrupts bodies that are not
// complete, and returns the number of connections that remain open. A refused request is
// left a moment, so that its caller reads the refusal.
func (c *Conns) CloseIdle() int {
	var idle []*Conn
	c.mu.Lock()
	for k := range c.open {
		if k.state == StateIdle || k.state == StateHead {
			c.forget(k)
			idle = append(idle, k)
		}
	}
	left := len(c.open)
	c.mu.Unlock()
	for _, k := range idle {
		_ = k.Conn.Close()
		k.releaseHead()
	}
	c.InterruptBodies()
	return left
}

// Context stores the connection in the context of its requests. Set it as
// http.Server.ConnContext.
func (c *Conns) Context(ctx context.Context, k net.Conn) context.Context {
	if conn := connOf(k); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// State marks connections as idle between requests, and those that a handler has taken over.
// Set it as http.Server.ConnState.
// A request ends when the server reports the connection idle and not when its
// handler returns: the end of the answer is written in between, and closing the
// connection before that would truncate it.
func (c *Conns) State(k net.Conn, state http.ConnState) {
	conn := connOf(k)
	switch {
	case conn == nil:
	case state == http.StateIdle:
		conn.enter(StateIdle)
		conn.releaseHead()
	case state == http.StateHijacked:
		conn.enter(StateHijacked)
	}
}

type connKey struct{}

// connOf returns the tracked connection below k; nil: there is none.
func connOf(k net.Conn) *Conn {
	if t, ok := k.(*tls.Conn); ok {
		k = t.NetConn()
	}
	conn, _ := k.(*Conn)
	return conn
}

// ConnOf returns the connection of a request; nil: it is not tracked.
func ConnOf(ctx context.Context) *Conn {
	k, _ := ctx.Value(connKey{}).(*Conn)
	return k
}

// Attach sets the hooks of a server that serves a listener of Listen.
func (c *Conns) Attach(s *http.Server) { s.ConnContext, s.ConnState = c.Context, c.State }

// NoBody refuses requests that have a body. It is for handlers that use none.
func NoBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		if !Refuse(w, r, 0, func() {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}) {
			panic(http.ErrAbortHandler)
		}
	})
}
