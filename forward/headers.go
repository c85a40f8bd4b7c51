// Package forward is the reverse proxy between callers and endpoints. Bodies of
// requests and answers pass unchanged.
//
// For each request, the handler matches the route, authenticates the API key,
// has an endpoint chosen, sends the request and relays the answer. After a
// failure it either tries another endpoint or sends the final answer. The
// decisions are made behind the interfaces of Options and in package retry; only
// the HeaderCodec knows the names of headers.
package forward

import (
	"net/http"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// NoEvent and NoUrgency are the values of LastEvent and Urgency if none is given.
const (
	NoEvent   = int64(-1)
	NoUrgency = -1
)

// RequestInfo holds the values of a request's headers. It is encoded in messages
// between daemons.
type RequestInfo struct {
	AttemptID    string
	APIKey       string
	Patience     time.Duration // timeout of the caller; 0: not given
	Model        string
	Parts        []prefix.Segment // of the prompt, in order
	PromptTokens int
	OutputTokens int   // at most
	LikelyOutput int   // estimated by the caller; 0: not given
	QuotaTokens  int   // counted by rate limits; negative: not given
	LastEvent    int64 // the stream resumes after this event; NoEvent: from the start
	// Continues states that the caller received the beginning of the stream in an earlier
	// attempt. Resumes is the attempt that brought its first event; empty: not known.
	Continues bool
	Resumes   string
}

// RouterInfo holds the values of the headers that the router sets on a request.
// It is encoded in messages between daemons.
type RouterInfo struct {
	Remaining    time.Duration // until the endpoint stops the request
	EndpointID   string        // any other endpoint refuses the request
	Organisation string
	CacheSalt    string // only cache entries with the same salt are reused
	Version      int64  // an engine with another weight version refuses; 0: any
	Urgency      int    // 0 to 9, 0 is the most urgent
	FetchFrom    string // IP:port of an engine or store that may hold segments of the prompt
	SaveTo       string // IP:port of the store that the segments are sent to
	LastEvent    int64
}

// AnswerInfo holds the values of an answer's headers. It is encoded in messages
// between daemons.
type AnswerInfo struct {
	AttemptID  string
	Signed     bool // by the endpoint that generated it
	NotRun     bool // the endpoint ran no part of the request
	Misplaced  bool // another endpoint answered, or it has another weight version
	EndpointID string
	Version    int64       // of the weights at the start of the answer; 0: not given
	Load       *fleet.Load // nil: not given
	KeepAlive  time.Duration
	// Limit is how many requests/s the endpoint accepts from all daemons together;
	// nil: not given.
	Limit *float64
	// RejectionLimit is how many requests/s the endpoint can reject for want of room, those
	// of all daemons together, before it crashes; nil: not given.
	RejectionLimit *float64
	// Leaving states that the endpoint has announced its shutdown.
	Leaving bool
	// Backoff is for how long the endpoint asks this daemon to send it nothing;
	// 0: not asked.
	Backoff time.Duration
}

// HeaderCodec reads and writes the headers of the platform.
type HeaderCodec interface {
	DecodeRequest(h http.Header) RequestInfo
	// EncodeRequest sets the headers in o and removes those of the caller that
	// only the router may set.
	EncodeRequest(h http.Header, o *RouterInfo)
	DecodeAnswer(status int, h http.Header) AnswerInfo
	// EncodeRefusal sets the headers of an answer by the router itself.
	EncodeRefusal(h http.Header, attemptID string, retryAfter time.Duration)
}

// Target is an endpoint that a request may be sent to.
type Target struct {
	Key     fleet.EndpointID
	ID      string
	Address string
	Born    int64 // start of the incarnation, Unix milliseconds; 0: the ID is that of one incarnation
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}
