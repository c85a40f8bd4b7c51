package response

import (
	"errors"
	"io"
	"net/http"
)

// RequestWrite is the write of a request, which may go on while its response is read.
type RequestWrite interface {
	// Written reports whether the whole request was written, and received as far as the
	// connection knows. It ends a write that is still under way.
	Written() bool
}

// EndsWithConnection reports whether nothing but the end of its connection tells the end of the
// response.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength == -1 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// checkedBody is a body that ends with its connection. At its end it returns an *Error if the
// request was not written whole.
type checkedBody struct {
	io.ReadCloser
	write RequestWrite // nil: the request was written
	read  int64        // bytes
}

// checkBody has the body of the response checked at its end, by b.
func checkBody(r *http.Response, b *checkedBody, write RequestWrite) {
	if EndsWithConnection(r) {
		*b = checkedBody{ReadCloser: r.Body, write: write}
		r.Body = b
	}
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) && b.write != nil && !b.write.Written() {
		err = &Error{Bound: BoundSyntax, Rule: RuleEarlyEnd, Read: b.read}
	}
	return n, err
}
