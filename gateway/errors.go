package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells a caller what became of a request that was not answered.
type Outcome string

// The outcomes.
const (
	OutcomeNone Outcome = ""
	// OutcomeNotRun: no endpoint did any part of it; repeating it is safe.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRefused: it was not run, and unchanged it will be refused again.
	OutcomeRefused Outcome = "refused"
)

// Codes of errors. They are part of the interface towards callers and stay as
// they are.
const (
	CodeInvalidKey       = "invalid_api_key"
	CodeInvalidRequest   = "invalid_request"
	CodeTooLarge         = "request_too_large"
	CodeSlowRequest      = "request_too_slow"
	CodeModelNotFound    = "model_not_found"
	CodeNotPermitted     = "not_permitted"
	CodeUnknownPath      = "unknown_path"
	CodeNoManifest       = "no_manifest"
	CodeOverloaded       = "overloaded"
	CodeQuarantined      = "quarantined"
	CodeNoEndpoint       = "no_endpoint"
	CodeEndpointFailed   = "endpoint_failed"
	CodeStreamCut        = "stream_cut"
	CodeDeadline         = "deadline_exceeded"
	CodeShutdown         = "shutting_down"
	CodeCallerLeft       = "caller_left"
	CodeOutcomeUnknown   = "outcome_unknown"
	CodeKeyReused        = "idempotency_key_reused"
	CodeKeyInvalid       = "idempotency_key_invalid"
	CodeClaimUnavailable = "claim_unavailable"
)

// ErrShutdown is the cause with which a daemon cancels the context of its
// requests when the bound of its shutdown has passed. Their callers are told so
// instead of being taken for callers that left.
var ErrShutdown = errors.New("gateway: daemon shuts down")

// DefaultRetryAfter is what a caller is told to wait when nothing better is
// known.
const DefaultRetryAfter = time.Second

// Refusal is an error that is told to the caller as it stands. The gateway's
// ports return it.
type Refusal struct {
	Status     int
	Code       string
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration // 0: none is sent
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("gateway: %s: %s", r.Code, r.Message)
}

func refused(status int, code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: OutcomeRefused, Message: fmt.Sprintf(format, args...)}
}

func notRun(code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Outcome:    OutcomeNotRun,
		Message:    message,
		RetryAfter: retryAfter,
	}
}

func unknown(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: OutcomeUnknown, Message: message}
}

// errorBody is an error in the shape that callers of model services know.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request_id,omitempty"`
}

func (r *Refusal) errorType() string {
	switch {
	case r.Status == http.StatusUnauthorized:
		return "authentication_error"
	case r.Status == http.StatusForbidden:
		return "permission_error"
	case r.Status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case r.Status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// encode returns the error's JSON on one line.
func (r *Refusal) encode(requestID string) []byte {
	// Strings alone cannot fail to encode.
	body, _ := json.Marshal(errorBody{Error: errorDetail{
		Message: r.Message,
		Type:    r.errorType(),
		Code:    r.Code,
		Outcome: r.Outcome,
		Request: requestID,
	}})
	return body
}

// write sends the error as the whole answer.
func (r *Refusal) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(r.RetryAfter)))
	}
	body := r.encode(requestID)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// wholeSeconds rounds up, since a caller that comes back a little early is
// refused again.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
