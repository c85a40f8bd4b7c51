package response

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/internal/socket"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.RoundTripper that fails with an *Error as soon as the bytes received
// can't be the head of a response. Of HTTP/2, and of TLS through a proxy, heads have net/http's
// rules and limit only.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that uses t, which it changes, with a limit for heads in
// bytes.
func NewTransport(t *http.Transport, maxHeadBytes int64) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	guarded := func(c net.Conn) net.Conn {
		return &guardedConn{Conn: c, head: headScanner{maxBytes: maxHeadBytes, state: headComplete, continuous: true}}
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return guarded(c), nil
	}
	if t.DialTLSContext == nil {
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialTLS(ctx, t, dial, network, address)
			if err != nil || c.ConnectionState().NegotiatedProtocol == protocolHTTP2 {
				return c, err // net/http looks for the type of the connection
			}
			return guarded(c), nil
		}
	}
	// The scanner is stricter, and its errors name the limit. net/http's limit is for
	// connections that the scanner can't read.
	t.MaxResponseHeaderBytes = maxHeadBytes + readBufferBytes
	return &Transport{t}
}

// protocolHTTP2 is the name of HTTP/2 in the handshake of TLS.
const protocolHTTP2 = "h2"

// dialTLS opens an encrypted connection as t does without a dialer of its own.
func dialTLS(ctx context.Context, t *http.Transport, dial Dial, network, address string) (*tls.Conn, error) {
	config := t.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		config.ServerName = host
	}
	raw, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
	}
	c := tls.Client(raw, config)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &roundTrip{bodyBytes: req.ContentLength}
	if req.Body == nil || req.Body == http.NoBody {
		x.bodyBytes = 0
	} else if x.bodyBytes == 0 {
		x.bodyBytes = unknownBytes
	}
	x.trace = httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest}
	resp, err := t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &x.trace)))
	c := x.conn.Load()
	if c == nil {
		return resp, err
	}
	if rejected := c.rejected.Load(); err != nil && rejected != nil {
		return nil, rejected // net/http may name the line that is cut off instead
	}
	if err == nil {
		checkBody(resp, &x.body, c)
	}
	return resp, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// unknownBytes is the length of a request's body that is not known before it is read.
const unknownBytes = -1

// roundTrip is one request and its response.
type roundTrip struct {
	trace     httptrace.ClientTrace
	conn      atomic.Pointer[guardedConn] // that of the last try
	bodyBytes int64                       // of the request; unknownBytes
	body      checkedBody
}

func (x *roundTrip) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*guardedConn); ok {
		c.begin(x.bodyBytes)
		x.conn.Store(c)
	}
}

func (x *roundTrip) wroteRequest(info httptrace.WroteRequestInfo) {
	if c := x.conn.Load(); c != nil {
		c.endBody(info.Err)
	}
}

type guardedConn struct {
	net.Conn
	// requested states that a request got the connection, and nothing was received since. The
	// next bytes begin the head of its response.
	requested atomic.Bool
	rejected  atomic.Pointer[Error]
	head      headScanner // used by Read only

	mu      sync.Mutex // held while bytes are written
	request requestProgress
}

// begin begins a request with a body of the given length or unknownBytes.
func (c *guardedConn) begin(bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestProgress{bodyBytes: bodyBytes}
	c.requested.Store(true)
}

// endBody ends the body of a request, whose last bytes net/http may still write.
func (c *guardedConn) endBody(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.ended = err == nil
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	if rejected := c.rejected.Load(); rejected != nil {
		return 0, rejected
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.requested.Swap(false) {
		c.head.reset()
	}
	if rejected := c.head.scan(b[:n]); rejected != nil {
		c.rejected.Store(rejected)
		return 0, rejected
	}
	if errors.Is(err, io.EOF) && c.head.endsWithConnection() {
		c.endRequest() // net/http closes the connection once it has the end
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.request.wrote(b[:n], err)
	return n, err
}

// endRequest ends a write that is still under way, as the other end has ended the connection,
// and records whether the request was written whole.
func (c *guardedConn) endRequest() {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // a write that waits for room would wait on
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.whole = c.request.complete() && socket.Delivered(c.Conn)
}

// Written implements RequestWrite.
func (c *guardedConn) Written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request.whole
}

// requestProgress is how much of a request was written.
type requestProgress struct {
	bodyBytes int64 // of the whole body; unknownBytes
	headEnd   int   // bytes of the end of the head, as far as they were written
	written   int64 // bytes of the body, with its chunks
	ended     bool  // net/http has read the body to its end
	failed    bool  // a write has failed
	whole     bool  // it was written whole before the connection ended
}

const headEnd = "\r\n\r\n"

// wrote adds bytes that were written, and the error of the write.
func (p *requestProgress) wrote(b []byte, err error) {
	p.failed = p.failed || err != nil
	for i, c := range b {
		if p.headEnd == len(headEnd) {
			p.written += int64(len(b) - i)
			return
		}
		switch c {
		case headEnd[p.headEnd]:
			p.headEnd++
		case headEnd[0]:
			p.headEnd = 1
		default:
			p.headEnd = 0
		}
	}
}

// complete reports whether the request was written whole. Where the length of its body was not
// known, the last bytes of the body may be missing.
func (p *requestProgress) complete() bool {
	if p.failed || p.headEnd < len(headEnd) {
		return false
	}
	if p.bodyBytes == unknownBytes {
		return p.ended
	}
	return p.written >= p.bodyBytes
}
