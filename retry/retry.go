// Package retry decides what follows a failed attempt of a request: another
// attempt, elsewhere and after a pause, or the final answer, at once.
//
// Only an attempt that is known not to have run, or a request that may run
// twice, is repeated. The package does no I/O and reads no clock. Its objects
// aren't safe for concurrent use; the shell guards a Budget by its own lock,
// which is the last one taken.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Failure is how an attempt ended, as far as its effect is known.
type Failure uint8

// The kinds of failure.
const (
	// NotSent: no byte of the request left for the endpoint.
	NotSent Failure = iota
	// NotRun: the endpoint itself said that it did no part of the request.
	NotRun
	// Unknown: bytes of the request left, and no answer tells what became of it.
	Unknown
	// Broken: the answer began and ended without its end marker.
	Broken
	// Rejected: the endpoint gave a final answer that is an error of the
	// caller's, such as a malformed body.
	Rejected
	// CallerLeft: nobody waits for the answer any more.
	CallerLeft
	failureCount
)

var failureNames = [failureCount]string{"not_sent", "not_run", "unknown", "broken", "rejected", "caller_left"}

// String returns the name used in dumps and metrics.
func (f Failure) String() string {
	if f >= failureCount {
		return "failure(?)"
	}
	return failureNames[f]
}

// Outcome is what a caller is told of a request without an answer.
type Outcome string

// The outcomes of the callers' protocol. OutcomeNotRun is said only if it is
// true of every attempt.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRefused Outcome = "refused"
)

// Code tells why a request was given up. Codes are stable.
type Code string

// The codes.
const (
	CodeDeadline      Code = "deadline_exceeded"
	CodeNoBudget      Code = "retry_budget_exhausted"
	CodeAttempts      Code = "attempts_exhausted"
	CodeNotRepeatable Code = "outcome_unknown"
	CodeStreamBroken  Code = "stream_broken"
	CodeRejected      Code = "rejected_by_endpoint"
	CodeCallerLeft    Code = "caller_left"
)

// Bounds and times.
const (
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts = 4

	baseBackoff   = 25 * time.Millisecond
	maxBackoff    = time.Second
	minAttempt    = 50 * time.Millisecond // less than this before the deadline is no use
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Request is one request over all its attempts. The shell makes one for each
// and changes only the exported fields.
type Request struct {
	// Idempotent requests may run twice: model requests without an effect, and
	// calls that the manifest says may be repeated.
	Idempotent bool
	// Resumable streams can go on elsewhere from what was delivered.
	Resumable bool
	Deadline  time.Time // the caller's; zero means none
	Delivered int       // tokens or bytes that the caller has
	// MaxEndpoints bounds the endpoints that the request reaches; 0: MaxAttempts. One
	// that could not be reached does not count, nor does it cost of the budget.
	MaxEndpoints int

	sent       int
	attempts   int
	mayHaveRun bool
	excluded   [MaxAttempts]fleet.EndpointID
}

// RestoreRequest returns a request of which some attempts have failed before, for a
// shell that keeps count of them itself. The attempt to decide on isn't among
// them.
func RestoreRequest(r Request, failed int, mayHaveRun bool) Request {
	r.attempts = min(max(failed, 0), MaxAttempts)
	r.mayHaveRun = mayHaveRun
	return r
}

func (r *Request) count(e fleet.EndpointID) {
	if r.attempts < MaxAttempts {
		r.excluded[r.attempts] = e
		r.attempts++
	}
}

// Excluded lists the endpoints that attempts failed at. The next attempt goes
// elsewhere if there is an elsewhere.
func (r *Request) Excluded() []fleet.EndpointID { return r.excluded[:r.attempts] }

// Attempts is the number of failed attempts.
func (r *Request) Attempts() int { return r.attempts }

// FailedAttempt is one that failed.
type FailedAttempt struct {
	Endpoint   fleet.EndpointID
	Failure    Failure
	RetryAfter time.Duration // the endpoint's wish, zero if it had none
}

// Decision follows an attempt. A retry comes After a pause, and not at the
// excluded endpoints; a resumed one begins behind the token ResumeFrom.
// Otherwise Code and Outcome are the final answer, to be given at once, and
// RetryAfter tells the caller when to ask again.
type Decision struct {
	Retry      bool
	Delay      time.Duration
	ResumeFrom int

	Code       Code
	Outcome    Outcome
	RetryAfter time.Duration
}

// Decide takes a failed attempt of the request. Randomness spreads the pauses,
// so that the requests that one crash has broken don't come back together.
func Decide(now time.Time, r *Request, a FailedAttempt, budget *Budget, rng *rand.Rand) Decision {
	if a.Failure == Unknown || a.Failure == Broken {
		r.mayHaveRun = true
	}
	r.count(a.Endpoint)
	if a.Failure != NotSent {
		r.sent++
	}
	switch a.Failure {
	case CallerLeft:
		return r.giveUp(now, CodeCallerLeft, a, budget)
	case Rejected:
		return Decision{Code: CodeRejected, Outcome: OutcomeRefused}
	case NotSent, NotRun, Unknown, Broken:
	}
	if code := r.notRepeatable(a.Failure); code != "" {
		return r.giveUp(now, code, a, budget)
	}
	if r.attempts >= MaxAttempts || (r.MaxEndpoints > 0 && r.sent >= r.MaxEndpoints) {
		return r.giveUp(now, CodeAttempts, a, budget)
	}
	after := r.backoff(a, rng)
	if r.tooLate(now.Add(after + minAttempt)) {
		return r.giveUp(now, CodeDeadline, a, budget)
	}
	if !r.spend(now, a.Failure, budget) {
		return r.giveUp(now, CodeNoBudget, a, budget)
	}
	return Decision{Retry: true, Delay: after, ResumeFrom: r.Delivered}
}

func (r *Request) spend(now time.Time, f Failure, budget *Budget) bool {
	if f == NotSent && r.MaxEndpoints > 0 {
		return true
	}
	if f == Broken && r.Resumable && r.Delivered > 0 {
		return budget.SpendResume(now)
	}
	return budget.Spend(now)
}

// notRepeatable is the code of a request that must not be sent again, or "". A
// booking that was sent twice sends two families to one inspection hour; it
// would be noticed only there. So one attempt that may have run ends a request
// that isn't idempotent, whatever came before it.
func (r *Request) notRepeatable(f Failure) Code {
	switch f {
	case NotSent, NotRun:
		return ""
	case Broken:
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

// backoff is short for the first retry, which goes elsewhere and costs the
// caller its first token, and grows with full jitter after it.
func (r *Request) backoff(a FailedAttempt, rng *rand.Rand) time.Duration {
	ceiling := min(baseBackoff<<(r.attempts-1), maxBackoff)
	pause := time.Duration(rng.Float64() * float64(ceiling))
	if slices.Contains(r.excluded[:r.attempts-1], a.Endpoint) {
		pause = max(pause, min(a.RetryAfter, maxBackoff))
	}
	return pause
}

func (r *Request) tooLate(at time.Time) bool {
	return !r.Deadline.IsZero() && at.After(r.Deadline)
}

// giveUp is the final answer. The time to come back is no earlier than the
// budget allows the next retry, and grows as retries fail, as many callers are
// told to come back at such a time.
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

// MayHaveRun tells whether some attempt may have run the request.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }
