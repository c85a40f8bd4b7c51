package gateway

import (
	"net/http"
	"strings"
)

// merlinHeaderPrefix is the prefix of the headers between daemons and endpoints. They
// are not copied in either direction: with them a caller could claim another
// organisation's cache, and in answers they reveal the load of other organisations.
const merlinHeaderPrefix = "Merlin-"

// hopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1),
// and Content-Length, which is set anew.
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

// serviceHeaders returns the headers of a call to send to a plain service. The API key
// is removed: the service gets the organisation in engine.HeaderOrganisation.
func serviceHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	copyEndToEndHeaders(out, h)
	out.Del("Authorization")
	out.Del("Last-Event-Id")
	return out
}

// copyEndToEndHeaders copies all headers except those for a single connection and
// those between daemons and endpoints.
func copyEndToEndHeaders(to, from http.Header) {
	for name, values := range from {
		if hopHeaders[name] || strings.HasPrefix(name, merlinHeaderPrefix) || listedInConnection(from, name) {
			continue
		}
		to[name] = values
	}
}

// listedInConnection reports whether the Connection header lists the given header.
func listedInConnection(h http.Header, name string) bool {
	for _, list := range h["Connection"] {
		for token := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
