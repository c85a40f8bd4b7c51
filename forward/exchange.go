package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/internal/socket"
	"github.com/merlindock/merlindock/response"
)

// Limits of one request and its answer.
const (
	// maxStrayAnswers bounds the responses read for one request: interim
	// responses, and answers to other requests, are skipped.
	maxStrayAnswers = 4
	// maxStrayBytes bounds the bodies of answers to other requests, which are read to reach
	// the answer behind them.
	maxStrayBytes = 512 << 10
	// maxDrainBytes and drainTimeout bound what is read of an answer that is of no use, so
	// that its connection can be reused. A new connection costs less than a longer wait.
	maxDrainBytes = 16 << 10
	drainTimeout  = 20 * time.Millisecond
	// maxInlineBody is the largest body that is written before the answer is
	// read. It fits into the socket buffer. A larger body is written
	// concurrently, since an endpoint may answer before it has read all of it.
	maxInlineBody = 4 << 10
)

// EndpointRequest is a request as it is sent to an endpoint.
type EndpointRequest struct {
	AttemptID string
	Method    string
	URI       string // unchanged from the caller
	Host      string
	Header    http.Header
	Body      []byte
	HasBody   bool
	// SameIncarnation states that no other incarnation of the endpoint may run the request.
	SameIncarnation bool
	// Watch ends the attempt if its stream stalls; nil: it is not watched.
	Watch StallWatch
}

// Answer is an endpoint's answer whose body was not read yet. The caller of Send
// reads Body and calls Close.
type Answer struct {
	Status int
	Header http.Header
	Info   AnswerInfo
	Body   io.Reader
	Length int64 // of the body in bytes; -1: not known

	client       *Client
	conn         *conn
	resp         *http.Response
	write        *requestWrite
	stopDeadline func() bool
	received     int64 // bytes; set by Close
}

// Send sends the request and waits for the header of its answer. The error wraps
// ErrNotSent, or ErrNoAnswer if the endpoint may have run the request. When the
// context ends, the connection is closed, which makes most endpoints cancel the
// request.
func (c *Client) Send(ctx context.Context, t Target, o *EndpointRequest) (*Answer, error) {
	k, w, stop, err := c.start(ctx, t, o)
	if err != nil {
		return nil, err
	}
	if o.Watch != nil {
		k.watch, k.ctx = o.Watch, ctx
	}
	a, err := c.receive(k, w, o)
	if err != nil {
		stop()
		c.close(k)
		if k.via() == "" && classifyLoss(err) == lossSilent {
			c.CloseIdleDirect(k.address) // they are on the same path
		}
		return nil, &attemptError{via: k.via(), err: err, received: k.r.Received()}
	}
	a.write, a.stopDeadline = w, stop
	return a, nil
}

// start writes the request to a connection, which ends with the context until stop is
// called. One that was idle may have ended unnoticed: while no byte of the request was sent,
// it is written to another connection.
func (c *Client) start(ctx context.Context, t Target, o *EndpointRequest) (k *conn, w *requestWrite, stop func() bool, err error) {
	for {
		if k, err = c.acquire(ctx, t); err != nil {
			return nil, nil, nil, err
		}
		if o.SameIncarnation {
			if err := c.verify(ctx, k, t); err != nil {
				c.close(k)
				return nil, nil, nil, err
			}
		}
		to := k
		stop = context.AfterFunc(ctx, func() { _ = to.SetDeadline(time.Unix(1, 0)) })
		if w = c.write(k, o); !w.failedUnsent() {
			return k, w, stop, nil
		}
		stop()
		c.close(k)
		if k.idleSince.IsZero() {
			return nil, nil, nil, fmt.Errorf("%w: %w", ErrNotSent, w.err)
		}
		c.Suspect(t)
	}
}

// attemptError is the error of a request that was sent and not answered.
type attemptError struct {
	via      string // daemon that relayed it; empty: none
	err      error
	received int64 // bytes
}

func (e *attemptError) Error() string   { return ErrNoAnswer.Error() + ": " + e.err.Error() }
func (e *attemptError) Unwrap() []error { return []error{ErrNoAnswer, e.err} }

// Via returns the name of the daemon that relayed the request; empty: none.
func (a *Answer) Via() string { return a.conn.via() }

// Received returns the number of bytes received for the request. It is valid after Close.
func (a *Answer) Received() int64 { return a.received }

// requestWrite is a write of a request that may still be in progress. sent and err are
// valid once done is closed.
type requestWrite struct {
	conn net.Conn
	done chan struct{}
	sent int64 // bytes
	err  error
}

// failedUnsent reports whether the write has ended before any byte was sent.
func (w *requestWrite) failedUnsent() bool {
	select {
	case <-w.done:
		return w.err != nil && w.sent == 0
	default:
		return false
	}
}

func (w *requestWrite) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Written implements response.RequestWrite.
func (w *requestWrite) Written() bool {
	// The connection has ended. A write that waits for room in its buffer would wait on.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	<-w.done
	return w.err == nil && socket.Delivered(w.conn)
}

func (c *Client) write(k *conn, o *EndpointRequest) *requestWrite {
	w := &requestWrite{conn: k.Conn, done: make(chan struct{})}
	send := func() {
		defer close(w.done)
		w.sent, w.err = writeRequest(k.Conn, o)
	}
	if len(o.Body) <= maxInlineBody {
		send()
	} else {
		go send()
	}
	return w
}

func writeRequest(to io.Writer, o *EndpointRequest) (int64, error) {
	var head bytes.Buffer
	head.WriteString(o.Method + " " + o.URI + " HTTP/1.1\r\nHost: " + o.Host + "\r\n")
	if err := o.Header.Write(&head); err != nil {
		return 0, err
	}
	if o.HasBody {
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes()}
	if len(o.Body) > 0 {
		buffers = append(buffers, o.Body)
	}
	return buffers.WriteTo(to)
}

// receive reads responses until the one to this attempt. An endpoint may have
// answered an earlier request on the connection twice; without a comparison of
// the attempt id, the duplicate would be taken for the answer to this request.
func (c *Client) receive(k *conn, w *requestWrite, o *EndpointRequest) (*Answer, error) {
	k.r.Begin(w)
	strayBytes := int64(0)
	for range maxStrayAnswers {
		resp, err := k.r.Next(o.Method) //nolint:bodyclose // its owner closes the connection
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := c.codec.DecodeAnswer(resp.StatusCode, resp.Header)
		ours := info.AttemptID == o.AttemptID || (info.AttemptID == "" && info.NotRun)
		if ours {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Info: info, Body: resp.Body,
				Length: resp.ContentLength, client: c, conn: k, resp: resp,
			}, nil
		}
		if strayBytes, err = skipStray(resp, strayBytes); err != nil {
			return nil, err
		}
	}
	return nil, errStrayAnswers
}

// skipStray reads the body of an answer to another request. read is the length of those
// before; it returns the length of all. If no answer can follow, or only behind more than
// maxStrayBytes, the error is a *response.Error.
func skipStray(resp *http.Response, read int64) (int64, error) {
	left := maxStrayBytes - read
	if resp.Close || resp.ContentLength > left {
		return read, &response.Error{Bound: response.BoundStray, Limit: maxStrayBytes, Read: read}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, left+1))
	if err == nil && n > left {
		err = &response.Error{Bound: response.BoundStray, Limit: maxStrayBytes, Read: read + n}
	}
	return read + n, err
}

// CloseUnread is Close for an answer whose body is of no use. It waits a moment for a short
// rest, after which the connection can be reused.
func (a *Answer) CloseUnread() {
	if a.Length > maxDrainBytes || !a.framed() {
		a.Close(false)
		return
	}
	a.conn.watch, a.conn.ctx = nil, nil
	if err := a.conn.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		a.Close(false)
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDrainBytes+1))
	// If the context has ended meanwhile, Close does not reuse the connection.
	_ = a.conn.SetReadDeadline(time.Time{})
	a.Close(err == nil && n <= maxDrainBytes)
}

// Close returns the connection to the pool, or closes it if it can't be reused.
// complete states that the body was read to its end.
func (a *Answer) Close(complete bool) {
	a.received = a.conn.r.Received()
	alive := a.stopDeadline()
	reusable := complete && alive && a.framed() && !a.resp.Close
	if !reusable || !a.write.finished() || a.conn.r.Buffered() > 0 {
		a.client.close(a.conn)
		return
	}
	if a.conn.watch != nil {
		a.conn.watch, a.conn.ctx = nil, nil
		_ = a.conn.SetReadDeadline(time.Time{})
	}
	a.conn.maxIdle = defaultReuse
	if a.Info.KeepAlive > 0 {
		a.conn.maxIdle = time.Duration(reuseFraction * float64(a.Info.KeepAlive))
	}
	a.client.release(a.conn)
}

func (a *Answer) succeeded() bool { return a.Status >= 200 && a.Status < 300 }
