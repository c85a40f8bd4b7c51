package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/merlindock/merlindock/fleet"
)

// Times and bounds of connections to endpoints.
const (
	// dialTimeout is how long a connection may take: endpoints are a few
	// milliseconds away, and one that does not answer has lost its power.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing. A peer
	// that lost its power or is behind a partition sends no reset.
	unackedTimeout = 1500 * time.Millisecond
	// probeAfter is the silence after which the kernel probes the peer.
	probeAfter = time.Second
	// reusePart is the part of the endpoint's idle timeout for which a
	// connection is used again; an endpoint may close it as the next request
	// is on its way.
	reusePart = 0.6
	// reuseDefault holds for endpoints that name no timeout of a whole second.
	reuseDefault = 300 * time.Millisecond
	// idlePerEndpoint bounds the connections kept to one endpoint.
	idlePerEndpoint = 16
	// strayAnswers bounds the answers of other requests that are skipped
	// before the one that was waited for.
	strayAnswers = 4
	// sendInline is the largest body that is written before the answer is
	// read. It fits the socket's buffer; a larger one is written meanwhile,
	// since an endpoint may answer before it has read it.
	sendInline  = 4 << 10
	readBuffer  = 4 << 10
	maxTrailing = 64
)

// Errors of an attempt.
var (
	// ErrNotSent says that no byte of the request left.
	ErrNotSent = errors.New("forward: request not sent")
	// ErrNoAnswer says that the request left and no answer of it came.
	ErrNoAnswer = errors.New("forward: no answer")
	errStray    = errors.New("forward: answers of other requests only")
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to endpoints over connections that it keeps.
type Client struct {
	wire HeaderCodec
	dial Dial

	mu   sync.Mutex
	idle map[fleet.EndpointID][]*conn
	open map[fleet.EndpointID]int
}

// NewClient returns a client without connections. dial is nil for TCP.
func NewClient(w HeaderCodec, dial Dial) *Client {
	if dial == nil {
		d := Dialer()
		dial = d.DialContext
	}
	return &Client{
		wire: w, dial: dial,
		idle: map[fleet.EndpointID][]*conn{}, open: map[fleet.EndpointID]int{},
	}
}

// Dialer returns a dialer whose connections notice a peer that has fallen
// silent.
func Dialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeAfter, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			ctl := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(ctl, err)
		},
	}
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	key   fleet.EndpointID
	r     *bufio.Reader
	used  time.Time
	reuse time.Duration // how long it may idle
}

// Open is the number of connections to the endpoint.
func (c *Client) Open(key fleet.EndpointID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[key]
}

func (c *Client) get(ctx context.Context, t Target) (*conn, error) {
	for {
		k := c.takeIdle(t.Key)
		if k == nil {
			break
		}
		if time.Since(k.used) < k.reuse && k.quiet() {
			return k, nil
		}
		c.close(k)
	}
	raw, err := c.dial(ctx, "tcp", t.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.mu.Lock()
	c.open[t.Key]++
	c.mu.Unlock()
	return &conn{Conn: raw, key: t.Key, r: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (c *Client) takeIdle(key fleet.EndpointID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[key] = list[:len(list)-1]
	return k
}

// quiet tells whether nothing has come on an idle connection. What has is the
// end of the connection, or bytes that belong to no request.
func (k *conn) quiet() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN)
}

func (c *Client) put(k *conn) {
	k.used = time.Now()
	c.mu.Lock()
	if len(c.idle[k.key]) < idlePerEndpoint {
		c.idle[k.key] = append(c.idle[k.key], k)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.close(k)
}

func (c *Client) close(k *conn) {
	_ = k.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[k.key]--
	if c.open[k.key] <= 0 {
		delete(c.open, k.key)
	}
}

// CloseIdle closes connections that have idled too long for another use, and
// those of endpoints that are gone.
func (c *Client) CloseIdle(known func(fleet.EndpointID) bool) {
	var old []*conn
	c.mu.Lock()
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if known(key) && time.Since(k.used) < k.reuse {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = kept
	}
	c.mu.Unlock()
	for _, k := range old {
		c.close(k)
	}
}

// EndpointRequest is a request as it goes to an endpoint.
type EndpointRequest struct {
	AttemptID string
	Method    string
	URI       string // as the caller sent it
	Host      string
	Header    http.Header
	Body      []byte
	HasBody   bool
}

// Answer is the beginning of an endpoint's answer. Its owner reads Body and
// calls Close.
type Answer struct {
	Status int
	Header http.Header
	Info   AnswerInfo
	Body   io.Reader
	Length int64 // -1: not told

	client *Client
	conn   *conn
	resp   *http.Response
	wrote  *writer
	stop   func() bool
}

// Send sends the request and waits for the beginning of its answer. The error
// wraps ErrNotSent, or ErrNoAnswer if the endpoint may have run the request.
// When the context ends, the connection is closed, which most endpoints take
// as the end of the request.
func (c *Client) Send(ctx context.Context, t Target, o *EndpointRequest) (*Answer, error) {
	k, err := c.get(ctx, t)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	w := c.write(k, o)
	a, err := c.receive(k, o)
	if err != nil {
		stop()
		c.close(k)
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	a.wrote, a.stop = w, stop
	return a, nil
}

// writer tells when a request has been written.
type writer struct {
	done chan struct{}
	err  error
}

func (w *writer) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

func (c *Client) write(k *conn, o *EndpointRequest) *writer {
	w := &writer{done: make(chan struct{})}
	send := func() {
		defer close(w.done)
		w.err = writeRequest(k.Conn, o)
	}
	if len(o.Body) <= sendInline {
		send()
	} else {
		go send()
	}
	return w
}

func writeRequest(to io.Writer, o *EndpointRequest) error {
	var head bytes.Buffer
	head.WriteString(o.Method + " " + o.URI + " HTTP/1.1\r\nHost: " + o.Host + "\r\n")
	if err := o.Header.Write(&head); err != nil {
		return err
	}
	if o.HasBody {
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes()}
	if len(o.Body) > 0 {
		buffers = append(buffers, o.Body)
	}
	_, err := buffers.WriteTo(to)
	return err
}

// receive reads answers until the one of this attempt. An endpoint may have
// answered an earlier request on the connection twice; without a look at the
// id the second one would be taken for this one's.
func (c *Client) receive(k *conn, o *EndpointRequest) (*Answer, error) {
	for range strayAnswers {
		resp, err := http.ReadResponse(k.r, &http.Request{Method: o.Method}) //nolint:bodyclose // its owner closes the connection
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := c.wire.DecodeAnswer(resp.StatusCode, resp.Header)
		ours := info.AttemptID == o.AttemptID || (info.AttemptID == "" && info.NotRun)
		if ours {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Info: info, Body: resp.Body,
				Length: resp.ContentLength, client: c, conn: k, resp: resp,
			}, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

// Close gives the connection back. whole says that the body was read to its
// end; any other connection can't be used again.
func (a *Answer) Close(whole bool) {
	alive := a.stop()
	framed := a.Length != -1 || chunked(a.resp)
	reusable := whole && alive && framed && !a.resp.Close
	if !reusable || !a.wrote.finished() || a.conn.r.Buffered() > 0 {
		a.client.close(a.conn)
		return
	}
	a.conn.reuse = reuseDefault
	if a.Info.KeepAlive > 0 {
		a.conn.reuse = time.Duration(reusePart * float64(a.Info.KeepAlive))
	}
	a.client.put(a.conn)
}

func chunked(r *http.Response) bool { return len(r.TransferEncoding) > 0 }
