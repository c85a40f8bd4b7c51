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

// checkedBody is a body that ends with its connection, or with chunks and a trailer. At its end
// it returns an *Error if the response breaks a rule for bodies.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	write    RequestWrite // nil: the request was written
	read     int64        // bytes
}

// checkBody has the body of the response checked at its end, by b.
func checkBody(r *http.Response, b *checkedBody, write RequestWrite) {
	if EndsWithConnection(r) || len(r.TransferEncoding) > 0 {
		*b = checkedBody{ReadCloser: r.Body, response: r, write: write}
		r.Body = b
	}
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if errors.Is(err, io.EOF) {
		if broken := b.brokenRule(); broken != "" {
			err = &Error{Bound: BoundSyntax, Rule: broken, Read: b.read}
		}
	}
	return n, err
}

// brokenRule returns the rule that a body breaks whose end was read; empty: none.
func (b *checkedBody) brokenRule() Rule {
	if len(b.response.TransferEncoding) == 0 {
		if b.write != nil && !b.write.Written() {
			return RuleEarlyEnd
		}
		return ""
	}
	for name := range b.response.Trailer {
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return RuleTrailer
			}
		}
	}
	return ""
}
