package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a request that failed may have run.
type Outcome string

// Outcomes of a request.
const (
	OutcomeNone Outcome = ""
	// OutcomeNotRun: no endpoint ran any part of the request; repeating it is safe.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRefused: the request did not run and is refused again unless changed.
	OutcomeRefused Outcome = "refused"
)

// Error codes. They are part of the API for callers and must not change.
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

// ErrShutdown is the cause with which a daemon cancels the contexts of its open
// requests when the time limit of its shutdown has passed. It distinguishes
// them from requests whose callers left.
var ErrShutdown = errors.New("gateway: daemon shuts down")

// DefaultRetryAfter is the Retry-After value when no better estimate is known.
const DefaultRetryAfter = time.Second

// Refusal is an error that is sent to the caller unchanged. Implementations of
// Placer, Admitter and Claimer return it.
type Refusal struct {
	Status     int
	Code       string
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration // 0: no header Retry-After
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("gateway: %s: %s", r.Code, r.Message)
}

func refusedf(status int, code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: OutcomeRefused, Message: fmt.Sprintf(format, args...)}
}

func notRunRefusal(code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Outcome:    OutcomeNotRun,
		Message:    message,
		RetryAfter: retryAfter,
	}
}

func unknownOutcome(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: OutcomeUnknown, Message: message}
}

// errorBody is the JSON error format of the OpenAI API.
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

// encode returns the error as JSON on a single line.
func (r *Refusal) encode(requestID string) []byte {
	// Marshalling a struct of strings cannot fail.
	body, _ := json.Marshal(errorBody{Error: errorDetail{
		Message: r.Message,
		Type:    r.errorType(),
		Code:    r.Code,
		Outcome: r.Outcome,
		Request: requestID,
	}})
	return body
}

// write sends the error as the complete answer.
func (r *Refusal) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	body := r.encode(requestID)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// ceilSeconds rounds up to seconds: a caller that returns too early would be
// refused again.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
