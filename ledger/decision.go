package ledger

import (
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Outcome is the result of applying a record.
type Outcome string

// Outcomes of a record.
const (
	Accepted  Outcome = "accepted"
	Repeated  Outcome = "repeated"  // has the same effect as the earlier record By
	Refused   Outcome = "refused"   // has no effect; see Reason
	Undecided Outcome = "undecided" // earlier records are missing; may be decided later
	Noted     Outcome = "noted"     // applied; requires no decision
)

// Reason is the cause of a Refused or Undecided outcome.
type Reason string

// Reasons that apply to several kinds of record.
const (
	ReasonStale            Reason = "stale"      // based on an outdated manifest; By is the latest one
	ReasonMalformed        Reason = "malformed"  // not a valid record under the rules in force
	ReasonTooLong          Reason = "too_long"   // exceeds a size limit
	ReasonRules            Reason = "rules"      // written under rules that are not in force
	ReasonInvalid          Reason = "invalid"    // the manifest is not valid
	ReasonDigest           Reason = "digest"     // the digest does not match the content
	ReasonGap              Reason = "gap"        // earlier records expired before they were read
	ReasonRulesUnsupported Reason = "behind"     // the rules in force are newer than this release supports
	ReasonConflict         Reason = "conflict"   // contradicts the state of this daemon
	ReasonSeen             Reason = "seen"       // the record was applied before
	ReasonNotProven        Reason = "not_proven" // the checkpoint does not cover the gap
)

// Decision is the outcome of applying one record.
type Decision struct {
	Offset  ports.Offset    `json:"offset"`
	Time    time.Time       `json:"time"` // assigned by the log
	Kind    Kind            `json:"kind"`
	Outcome Outcome         `json:"outcome"`
	Reason  Reason          `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	By      ports.Offset    `json:"by,omitempty"` // offset of the record that caused the outcome
	Base    ports.Offset    `json:"base,omitempty"`
	Digest  manifest.Digest `json:"digest,omitempty"`
	Author  string          `json:"author,omitempty"`
	Section string          `json:"section,omitempty"` // kind and id of a changed section
}

// RecordError is the error for a record that cannot be decoded or a checkpoint
// that cannot be adopted.
type RecordError struct {
	Reason Reason
	Detail string
}

func (e *RecordError) Error() string {
	if e.Detail == "" {
		return "ledger: " + string(e.Reason)
	}
	return "ledger: " + string(e.Reason) + ": " + e.Detail
}
