package ledger

import (
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Outcome is what the fold makes of a record.
type Outcome string

// The outcomes.
const (
	Accepted  Outcome = "accepted"
	Repeated  Outcome = "repeated"  // says what an earlier record, By, already brought
	Refused   Outcome = "refused"   // without effect, for Reason
	Undecided Outcome = "undecided" // records before it are missing; may be decided later
	Noted     Outcome = "noted"     // read, nothing to decide
)

// Reason tells why a record was refused or is undecided.
type Reason string

// The reasons.
const (
	ReasonStale            Reason = "stale"      // made against what is no longer the latest; By is
	ReasonMalformed        Reason = "malformed"  // not a record of the rules in force
	ReasonTooLong          Reason = "too_long"   // over a size limit
	ReasonRules            Reason = "rules"      // of other rules than those in force
	ReasonInvalid          Reason = "invalid"    // a manifest with faults
	ReasonDigest           Reason = "digest"     // the digest is not that of the content
	ReasonGap              Reason = "gap"        // records before it have expired unread
	ReasonRulesUnsupported Reason = "behind"     // rules newer than this release are in force
	ReasonConflict         Reason = "conflict"   // contradicts what this daemon knows
	ReasonSeen             Reason = "seen"       // delivered before
	ReasonNotProven        Reason = "not_proven" // does not reach far enough to close a gap
)

// Decision is the outcome of one record.
type Decision struct {
	Offset  ports.Offset    `json:"offset"`
	Time    time.Time       `json:"time"` // by the log
	Kind    Kind            `json:"kind"`
	Outcome Outcome         `json:"outcome"`
	Reason  Reason          `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	By      ports.Offset    `json:"by,omitempty"` // the record that decided it
	Base    ports.Offset    `json:"base,omitempty"`
	Digest  manifest.Digest `json:"digest,omitempty"`
	Author  string          `json:"author,omitempty"`
	Section string          `json:"section,omitempty"` // kind and id, for a section's change
}

// RecordError says why a record cannot be read or a proof not be taken.
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
