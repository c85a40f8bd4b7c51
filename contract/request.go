package contract

import "time"

// RequestID names one request at one daemon. The shell hands them out; none
// may be used again while the request is queued or runs.
type RequestID uint64

// DaemonID names a daemon of the deployment.
type DaemonID string

// Share is one organisation's part of the contract.
type Share struct {
	Organisation OrganisationID
	Weight       float64 // among all weights; must be above zero
}

// Request asks for a place on the fleet.
type Request struct {
	ID           RequestID
	Organisation OrganisationID
	Priority     Priority
	Tokens       float64   // estimated work: tokens to prefill (not cached) and to generate
	Deadline     time.Time // the caller's; zero means none
	StartUnobserved       bool      // its first token won't be told by Started
}

// Verdict is what became of a request.
type Verdict uint8

// The verdicts.
const (
	Refused  Verdict = iota // not run and never will be: answer the caller at once
	Queued                  // a later Next gives the outcome
	Admitted                // send it; Finish must follow
)

// String returns the name used in dumps and metrics.
func (v Verdict) String() string {
	switch v {
	case Refused:
		return "refused"
	case Queued:
		return "queued"
	case Admitted:
		return "admitted"
	}
	return "verdict(?)"
}

// Reason tells why a request was refused.
type Reason uint8

// The reasons. OverShare is the organisation's own doing (HTTP 429), the
// others are the system's (503), but for UnknownOrganisation (403).
const (
	NoReason Reason = iota
	OverShare
	NoCapacity
	TooLate // its deadline would pass before it could start
	UnknownOrganisation
	DuplicateRequest
	reasonCount
)

var reasonNames = [reasonCount]string{
	"", "over_share", "no_capacity", "too_late", "unknown_organisation", "duplicate_request",
}

// String returns the code used in answers, dumps and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "reason(?)"
	}
	return reasonNames[r]
}

// Decision is the answer to an offer. RetryAfter is set on a refusal that a
// later attempt may get past.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome is the decision on a request that was queued.
type Outcome struct {
	ID RequestID
	Decision
}
