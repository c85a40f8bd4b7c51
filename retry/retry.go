// Package retry decides what follows a failed attempt of a request: another attempt on
// another endpoint after a delay, or the final answer at once.
//
// An attempt is repeated only if it is known not to have run or the request may run twice.
// The package does no I/O and reads no clock. Its types are not safe for concurrent use;
// the caller guards a Budget by a lock of its own, which must be the last one acquired.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Failure is the way an attempt ended, by what is known of its effect.
type Failure uint8

// Kinds of failure.
const (
	// NotSent: no byte of the request was sent to the endpoint.
	NotSent Failure = iota
	// NotRun: the endpoint itself reported that it ran no part of the request.
	NotRun
	// Unknown: bytes of the request were sent, and no answer shows whether it ran.
	Unknown
	// Broken: the answer began and ended without its end marker.
	Broken
	// Rejected: the endpoint gave a final answer that reports an error of the caller, such
	// as a malformed body.
	Rejected
	// CallerLeft: the caller no longer waits for the answer.
	CallerLeft
	// Stalled: the endpoint may still have run the request, and the attempt was ended because
	// its stream waited for an event far longer than usual.
	Stalled

	failureCount
)

var failureNames = [failureCount]string{"not_sent", "not_run", "unknown", "broken", "rejected", "caller_left", "stalled"}

// String returns the failure's name in dumps and metrics.
func (f Failure) String() string {
	if f >= failureCount {
		return "failure(?)"
	}
	return failureNames[f]
}

// Outcome is the reported effect of a request without an answer.
type Outcome string

// Outcomes in the callers' protocol. OutcomeNotRun is used only if it is true of every
// attempt.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRefused Outcome = "refused"
)

// Code is the reason why a request was abandoned. Codes are stable.
type Code string

// Values of Code.
const (
	CodeDeadline      Code = "deadline_exceeded"
	CodeNoBudget      Code = "retry_budget_exhausted"
	CodeAttempts      Code = "attempts_exhausted"
	CodeNotRepeatable Code = "outcome_unknown"
	CodeStreamBroken  Code = "stream_broken"
	CodeAnswerBroken  Code = "answer_broken"
	CodeRejected      Code = "rejected_by_endpoint"
	CodeCallerLeft    Code = "caller_left"
	CodeCallerSlow    Code = "caller_slow"
)

// Bounds and durations.
const (
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts = 4

	baseBackoff    = 25 * time.Millisecond
	maxBackoff     = time.Second
	minAttemptTime = 50 * time.Millisecond // an attempt with less time before the deadline is pointless
	minRetryAfter  = time.Second
	maxRetryAfter  = time.Minute
)

// Request is the state of one request over all its attempts. The caller of this package
// creates one for each request and changes only the exported fields.
type Request struct {
	// Idempotent requests may run twice: model requests without side effects, and calls
	// that the manifest marks as repeatable.
	Idempotent bool
	// Resumable streams can continue on another endpoint after the delivered part.
	Resumable bool
	Deadline  time.Time // the caller's; zero: none
	Delivered int       // tokens or bytes that the caller has received
	// MaxEndpoints bounds the endpoints that the request reaches; 0: MaxAttempts. With a
	// bound, endpoints that could not be reached do not count and use no budget.
	MaxEndpoints int

	reached    int
	attempts   int
	mayHaveRun bool
	excluded   [MaxAttempts]fleet.EndpointID
}

// RestoreRequest returns a request with the given number of failed attempts, for a caller
// that counts them itself. The attempt to decide on must not be included.
func RestoreRequest(r Request, failed int, mayHaveRun bool) Request {
	r.attempts = min(max(failed, 0), MaxAttempts)
	r.mayHaveRun = mayHaveRun
	return r
}

func (r *Request) exclude(e fleet.EndpointID) {
	if r.attempts < MaxAttempts {
		r.excluded[r.attempts] = e
		r.attempts++
	}
}

// Excluded returns the endpoints at which attempts failed. The next attempt goes to another
// endpoint if there is one.
func (r *Request) Excluded() []fleet.EndpointID { return r.excluded[:r.attempts] }

// Attempts returns the number of failed attempts.
func (r *Request) Attempts() int { return r.attempts }

// FailedAttempt describes an attempt that failed.
type FailedAttempt struct {
	Endpoint   fleet.EndpointID
	Failure    Failure
	RetryAfter time.Duration // requested by the endpoint; zero: none
	Placement  uint64        // ID of the placement, for the placer
}

// Decision is the result of Decide. With Retry, the next attempt follows after Delay, not
// at the excluded endpoints; a resumed stream continues after the token ResumeFrom.
// Otherwise Code and Outcome are the final answer, to be given at once, and RetryAfter is
// the time after which the caller may send the request again.
type Decision struct {
	Retry      bool
	Delay      time.Duration
	ResumeFrom int

	Code       Code
	Outcome    Outcome
	RetryAfter time.Duration
}

// Decide decides what follows a failed attempt of the request. Delays are random, so that
// requests that failed in the same crash are not all repeated at the same time.
func Decide(now time.Time, r *Request, a FailedAttempt, budget *Budget, rng *rand.Rand) Decision {
	if a.Failure == Unknown || a.Failure == Broken || a.Failure == Stalled {
		r.mayHaveRun = true
	}
	r.exclude(a.Endpoint)
	if a.Failure != NotSent {
		r.reached++
	}
	switch a.Failure {
	case CallerLeft:
		return r.giveUp(now, CodeCallerLeft, a, budget)
	case Rejected:
		return Decision{Code: CodeRejected, Outcome: OutcomeRefused}
	case NotSent, NotRun, Unknown, Broken, Stalled:
	}
	if code := r.notRepeatableCode(a.Failure); code != "" {
		return r.giveUp(now, code, a, budget)
	}
	if r.attempts >= MaxAttempts || (r.MaxEndpoints > 0 && r.reached >= r.MaxEndpoints) {
		return r.giveUp(now, CodeAttempts, a, budget)
	}
	after := r.backoff(a, rng)
	if r.pastDeadline(now.Add(after + minAttemptTime)) {
		return r.giveUp(now, CodeDeadline, a, budget)
	}
	if !r.spendBudget(now, a.Failure, budget) {
		return r.giveUp(now, CodeNoBudget, a, budget)
	}
	return Decision{Retry: true, Delay: after, ResumeFrom: r.Delivered}
}

func (r *Request) spendBudget(now time.Time, f Failure, budget *Budget) bool {
	if f == NotSent && r.MaxEndpoints > 0 {
		return true
	}
	// A stalled stream may not borrow: it is not lost, as it can go on waiting.
	if f == Broken && r.Resumable && r.Delivered > 0 {
		return budget.SpendResume(now)
	}
	return budget.Spend(now)
}

// notRepeatableCode returns the code for a request that must not be sent again, or "". A
// booking that is sent twice assigns two families to one appointment, which would only be
// noticed there. So a single attempt that may have run ends a request that is not
// idempotent, whatever preceded it.
func (r *Request) notRepeatableCode(f Failure) Code {
	switch f {
	case NotSent, NotRun:
		return ""
	case Broken, Stalled:
		if r.Delivered > 0 && !r.Resumable {
			return CodeStreamBroken
		}
	case Unknown, Rejected, CallerLeft:
	}
	if !r.Idempotent {
		return CodeNotRepeatable
	}
	return ""
}

// backoff returns the delay before the next attempt. It is short for the first retry, which
// goes to another endpoint and delays the caller's first token, and grows with full jitter
// after that.
func (r *Request) backoff(a FailedAttempt, rng *rand.Rand) time.Duration {
	ceiling := min(baseBackoff<<(r.attempts-1), maxBackoff)
	pause := time.Duration(rng.Float64() * float64(ceiling))
	if slices.Contains(r.excluded[:r.attempts-1], a.Endpoint) {
		pause = max(pause, min(a.RetryAfter, maxBackoff))
	}
	return pause
}

func (r *Request) pastDeadline(at time.Time) bool {
	return !r.Deadline.IsZero() && at.After(r.Deadline)
}

// giveUp returns the final answer. Its RetryAfter is no earlier than the budget allows the
// next retry and grows as retries fail, since many callers get the same advice.
func (r *Request) giveUp(now time.Time, code Code, a FailedAttempt, budget *Budget) Decision {
	d := Decision{Code: code, Outcome: OutcomeNotRun}
	if r.mayHaveRun {
		d.Outcome = OutcomeUnknown
	}
	if code == CodeCallerLeft || code == CodeNotRepeatable {
		return d
	}
	wait := max(a.RetryAfter, budget.TimeToNext(now), minRetryAfter)
	d.RetryAfter = min(wait, maxRetryAfter).Round(time.Second)
	return d
}

// MayHaveRun reports whether some attempt may have run the request.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }
