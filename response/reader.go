package response

import (
	"bufio"
	"io"
	"net/http"
)

const readBufferBytes = 4 << 10

// Reader reads the responses on a connection. It is not safe for concurrent use.
type Reader struct {
	buffer *bufio.Reader
	guard  guard
	write  RequestWrite
	body   checkedBody // of the response that is read
}

// NewReader returns a Reader of a connection.
func NewReader(from io.Reader) *Reader {
	r := &Reader{}
	r.guard = guard{from: from, head: headScanner{maxBytes: MaxHeadBytes, state: headComplete}}
	r.buffer = bufio.NewReaderSize(&r.guard, readBufferBytes)
	return r
}

// AcceptUpgrade states that the requests ask for another protocol, to which the connection may
// switch.
func (r *Reader) AcceptUpgrade() { r.guard.head.upgrade = true }

// Begin states that a request is sent: limits and Received count from here. If a response ends
// with its connection, write tells whether it is whole; nil: the request was written whole.
func (r *Reader) Begin(write RequestWrite) {
	r.guard.received = 0
	r.guard.head.reset()
	r.write = write
}

// Next reads the head of the next response to a request of the given method. The body of the
// one before must have been read to its end. If the bytes are no response or exceed a limit,
// the error is an *Error.
func (r *Reader) Next(method string) (*http.Response, error) {
	g := &r.guard
	g.head.next()
	g.readErr = nil
	buffered, _ := r.buffer.Peek(r.buffer.Buffered())
	if err := g.head.scan(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
	switch {
	case err == nil && g.head.rejected == nil:
		checkBody(resp, &r.body, r.write)
		return resp, nil
	case g.head.rejected != nil:
		return nil, g.head.rejected
	case g.readErr != nil:
		return nil, err
	default:
		return nil, &Error{Bound: BoundSyntax, Rule: RuleOther, Read: g.head.bytes}
	}
}

// Read implements io.Reader for bytes that are no response.
func (r *Reader) Read(b []byte) (int, error) { return r.buffer.Read(b) }

// Buffered returns the number of bytes that were received and not read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Received returns the number of bytes received since Begin.
func (r *Reader) Received() int64 { return r.guard.received }

// guard passes bytes on and scans those of heads.
type guard struct {
	from     io.Reader
	head     headScanner
	received int64 // bytes
	readErr  error
}

// Read implements io.Reader.
func (g *guard) Read(b []byte) (int, error) {
	if g.head.rejected != nil {
		return 0, g.head.rejected
	}
	n, err := g.from.Read(b)
	g.received += int64(n)
	if err != nil {
		g.readErr = err
	}
	if rejected := g.head.scan(b[:n]); rejected != nil {
		return 0, rejected
	}
	return n, err
}
