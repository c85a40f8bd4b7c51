package gateway

import (
	"net/http"
	"strings"
)

// merlinPrefix begins the headers between daemons and endpoints. A caller must
// not set them towards an endpoint, nor see those of an answer: they carry
// other organisations' load, and a caller could claim another's cache.
const merlinPrefix = "Merlin-"

// hopHeaders concern one connection alone.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// forwardable returns the headers of a call that go to a plain service. The
// API key stays here: the service learns the organisation from its own header.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	copyHeader(out, h)
	out.Del("Authorization")
	out.Del("Last-Event-Id")
	return out
}

// copyHeader copies what is not for one connection or between daemons and
// endpoints alone.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if hopHeaders[name] || strings.HasPrefix(name, merlinPrefix) || named(from, name) {
			continue
		}
		to[name] = values
	}
}

// named tells whether the Connection header names a header as its own.
func named(h http.Header, name string) bool {
	for _, list := range h["Connection"] {
		for token := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
