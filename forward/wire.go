// Package forward carries requests from callers to endpoints and the answers
// back, byte for byte.
//
// The handler follows one set of steps for each request: match the route, check
// the key, place, send, relay, and after a failure decide whether to go on
// elsewhere or give the final answer at once. The decisions are taken behind
// the interfaces of Options and in package retry; what headers are called is
// known to the Wire alone.
package forward

import (
	"net/http"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// NoEvent and NoUrgency stand for values that are not given.
const (
	NoEvent   = int64(-1)
	NoUrgency = -1
)

// RequestInfo is what a caller's headers say.
type RequestInfo struct {
	AttemptID    string
	APIKey       string
	Patience     time.Duration // how long the caller will wait; 0: not told
	Model        string
	Parts        []prefix.Part // of the prompt, in order
	PromptTokens int
	OutputTokens int   // at most
	LikelyOutput int   // estimated by the caller; 0: not told
	QuotaTokens  int   // that rate limits count; negative: not told
	LastEvent    int64 // the stream goes on behind this event; NoEvent: from the start
}

// RouterInfo is what the router itself tells an endpoint.
type RouterInfo struct {
	Remaining    time.Duration // after which the endpoint stops work
	EndpointID   string        // any other endpoint refuses
	Organisation string
	CacheSalt    string // only entries under the same salt are reused
	Version      int64  // an engine with other weights refuses; 0: any
	Urgency      int    // 0 to 9, 0 first
	FetchFrom    string // IP:port of an engine or store that may hold parts of the prompt
	SaveTo       string // IP:port of the store that the parts are sent to
	LastEvent    int64
}

// AnswerInfo is what the headers of an answer say.
type AnswerInfo struct {
	AttemptID  string
	Signed     bool // by the endpoint that made it
	NotRun     bool // the endpoint did no part of the request
	Misplaced  bool // it is another endpoint, or has other weights
	EndpointID string
	Version    int64       // weights at the start of the answer; 0: not told
	Load       *fleet.Load // nil: not told
	KeepAlive  time.Duration
	// Limit is how many requests a second the endpoint takes of all daemons
	// together; nil: it names none.
	Limit *float64
}

// HeaderCodec knows the names of headers.
type HeaderCodec interface {
	DecodeRequest(h http.Header) RequestInfo
	// EncodeRequest replaces what only the router may set.
	EncodeRequest(h http.Header, o *RouterInfo)
	DecodeAnswer(status int, h http.Header) AnswerInfo
	// EncodeRefusal marks an answer of the router's own.
	EncodeRefusal(h http.Header, attemptID string, retryAfter time.Duration)
}

// Target is an endpoint that a request may be sent to.
type Target struct {
	Key     fleet.EndpointID
	ID      string
	Address string
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}
