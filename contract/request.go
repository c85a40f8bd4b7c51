package contract

import "time"

// RequestID identifies a request at one daemon. The caller of Offer chooses it;
// it must not be reused while the request is queued or running.
type RequestID uint64

// DaemonID identifies a daemon of the deployment.
type DaemonID string

// Share is the weight of one organisation in the contract.
type Share struct {
	Organisation OrganisationID
	Weight       float64 // relative to the sum of all weights; must be above zero
}

// Request describes a request to admit.
type Request struct {
	ID              RequestID
	Organisation    OrganisationID
	Priority        Priority
	Tokens          float64   // estimated work: tokens to prefill (not cached) and to generate
	Deadline        time.Time // of the caller; zero means none
	StartUnobserved bool      // Started won't be called for it
}

// Verdict is the result of an admission decision.
type Verdict uint8

// The verdicts.
const (
	Refused  Verdict = iota // final: the request will not run
	Queued                  // a later Next returns the outcome
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

// Reason is the cause of a refusal.
type Reason uint8

// The reasons. OverShare is caused by the organisation's own demand (HTTP 429),
// UnknownOrganisation by the caller (403), and the others by the system (503).
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

// Decision is the answer to an Offer. RetryAfter is set on a refusal if a later
// attempt may be admitted.
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
