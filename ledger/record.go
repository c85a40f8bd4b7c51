// Package ledger folds the records of the platform's log into what all
// daemons agree on: the manifest in force, leases, and claims of idempotency
// keys.
//
// The package does no I/O and reads no clock. The log's order and the log's
// own record times are the only inputs to a decision, so that every daemon
// that reads the same records decides alike, whatever its clock says.
package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// RulesVersion is the newest set of rules for folding that this release
// knows. The rules in force are part of the folded state, see Raise.
const RulesVersion = 1

// MaxRecordBytes bounds one record: a whole manifest and its envelope.
const MaxRecordBytes = manifest.MaxBytes + 64<<10

// Streams of the log.
const (
	StreamManifest ports.Stream = "manifest"
	StreamLeases   ports.Stream = "leases"
)

// Kind tells records apart.
type Kind string

// The kinds of record.
const (
	KindManifest     Kind = "manifest"
	KindCheckpoint   Kind = "checkpoint"
	KindSection      Kind = "section"
	KindRulesUpgrade Kind = "rules"
	KindLease        Kind = "lease"
	KindClaims       Kind = "claims"
)

// Revision identifies an accepted manifest: the offset of the record that
// brought it and the digest of its content. Offset 0 means that none has been
// accepted.
type Revision struct {
	Offset ports.Offset    `json:"offset"`
	Digest manifest.Digest `json:"digest"`
}

// Body is what a record says: *ManifestRecord, *Checkpoint, *SectionRecord,
// *Raise, *LeaseRecord or *ClaimBatch.
type Body interface{ kind() Kind }

// ManifestRecord proposes a whole manifest.
type ManifestRecord struct {
	Base     ports.Offset    `json:"base"` // the accepted manifest it was made against
	Digest   manifest.Digest `json:"digest"`
	Author   string          `json:"author,omitempty"`
	Manifest json.RawMessage `json:"manifest"`
}

// Checkpoint repeats the accepted manifest, so that it outlives the record
// that brought it. It is also the proof with which a neighbour passes its
// accepted manifest on.
type Checkpoint struct {
	Through  ports.Offset    `json:"through"` // every record up to here was folded
	Revision Revision        `json:"revision"`
	Base     ports.Offset    `json:"base"`
	Rules    int             `json:"rules"`            // in force after Through
	Carried  time.Time       `json:"carried"`          // log's time of the newest record with the manifest; decides nothing
	Recent   []Acceptance    `json:"recent,omitempty"` // oldest first, the revision last
	Manifest json.RawMessage `json:"manifest,omitempty"`
}

// Acceptance remembers an accepted manifest without its content, so that a
// late repeat of it is recognised.
type Acceptance struct {
	Offset         ports.Offset    `json:"offset"`
	Base           ports.Offset    `json:"base"`
	Digest         manifest.Digest `json:"digest"`          // of what the record brought
	ManifestDigest manifest.Digest `json:"whole,omitempty"` // of the manifest after it, where a section came
}

func (a Acceptance) revision() Revision {
	if a.ManifestDigest != "" {
		return Revision{Offset: a.Offset, Digest: a.ManifestDigest}
	}
	return Revision{Offset: a.Offset, Digest: a.Digest}
}

// SectionRecord proposes a change of one part of the manifest, so that a
// change of one organisation among thousands does not carry them all. It holds
// if the part is still what it was, whatever else has changed since.
type SectionRecord struct {
	Section manifest.SectionKind `json:"section"`
	ID      string               `json:"id"`
	Base    ports.Offset         `json:"base"`             // the revision it was made against, among the last MaxRecent
	Was     manifest.Digest      `json:"was,omitempty"`    // of the section before; empty: none
	Digest  manifest.Digest      `json:"digest,omitempty"` // of the section after; empty: removed
	Value   json.RawMessage      `json:"value,omitempty"`
}

// RulesUpgrade puts newer rules in force from the next record on. A release that
// does not know them keeps what is accepted and decides nothing more.
type RulesUpgrade struct {
	To int `json:"to"`
}

func (*ManifestRecord) kind() Kind { return KindManifest }
func (*Checkpoint) kind() Kind     { return KindCheckpoint }
func (*SectionRecord) kind() Kind  { return KindSection }
func (*RulesUpgrade) kind() Kind   { return KindRulesUpgrade }

type envelope struct {
	Rules int             `json:"rules"`
	Kind  Kind            `json:"kind"`
	Body  json.RawMessage `json:"body"`
}

// Encode writes a record under the given rules.
func Encode(rules int, b Body) ([]byte, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("ledger: encode %s: %w", b.kind(), err)
	}
	data, err := json.Marshal(envelope{Rules: rules, Kind: b.kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("ledger: encode %s: %w", b.kind(), err)
	}
	if len(data) > MaxRecordBytes {
		return nil, &RecordError{Reason: ReasonTooLong, Detail: fmt.Sprintf("%d bytes", len(data))}
	}
	return data, nil
}

// Decode reads a record strictly. The rules come back also when the record is
// of newer rules and cannot be read further. The error is a *RecordError.
func Decode(data []byte) (rules int, b Body, err error) {
	if len(data) > MaxRecordBytes {
		return 0, nil, &RecordError{Reason: ReasonTooLong, Detail: fmt.Sprintf("%d bytes", len(data))}
	}
	var e envelope
	if err := strict(data, &e); err != nil {
		return 0, nil, &RecordError{Reason: ReasonMalformed, Detail: err.Error()}
	}
	if e.Rules < 1 || e.Rules > RulesVersion {
		return e.Rules, nil, &RecordError{Reason: ReasonRules, Detail: fmt.Sprintf("rules %d", e.Rules)}
	}
	b = newBody(e.Kind)
	if b == nil {
		return e.Rules, nil, &RecordError{Reason: ReasonMalformed, Detail: fmt.Sprintf("kind %q", e.Kind)}
	}
	if err := strict(e.Body, b); err != nil {
		return e.Rules, nil, &RecordError{Reason: ReasonMalformed, Detail: err.Error()}
	}
	return e.Rules, b, nil
}

func newBody(k Kind) Body {
	switch k {
	case KindManifest:
		return &ManifestRecord{}
	case KindCheckpoint:
		return &Checkpoint{}
	case KindSection:
		return &SectionRecord{}
	case KindRulesUpgrade:
		return &RulesUpgrade{}
	case KindLease:
		return &LeaseRecord{}
	case KindClaims:
		return &ClaimBatch{}
	default:
		return nil
	}
}

func strict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("more than one value")
	}
	return nil
}
