// Package ledger builds the state that all daemons share from the records of
// the platform's log: the manifest in force, leases, and claims of idempotency
// keys.
//
// The package does no I/O and reads no clock. Decisions depend only on the order
// of records and the record times that the log assigns, so that all daemons that
// read the same records decide the same, regardless of their own clocks.
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

// RulesVersion is the newest version of the rules for applying records that this
// release supports. The version in force is part of the state; a RulesUpgrade
// record changes it.
const RulesVersion = 1

// MaxRecordBytes is the maximum size of a record: a complete manifest and its
// envelope.
const MaxRecordBytes = manifest.MaxBytes + 64<<10

// Streams of the log.
const (
	StreamManifest ports.Stream = "manifest"
	StreamLeases   ports.Stream = "leases"
)

// Kind is the type of a record.
type Kind string

// Kinds of record.
const (
	KindManifest     Kind = "manifest"
	KindCheckpoint   Kind = "checkpoint"
	KindSection      Kind = "section"
	KindRulesUpgrade Kind = "rules"
	KindLease        Kind = "lease"
	KindClaims       Kind = "claims"
)

// Revision identifies an accepted manifest by the offset of the record that
// introduced it and the digest of its content. Offset 0 means that no manifest
// has been accepted.
type Revision struct {
	Offset ports.Offset    `json:"offset"`
	Digest manifest.Digest `json:"digest"`
}

// Body is the content of a record: *ManifestRecord, *Checkpoint, *SectionRecord,
// *RulesUpgrade, *LeaseRecord or *ClaimBatch.
type Body interface{ kind() Kind }

// ManifestRecord proposes a complete manifest.
type ManifestRecord struct {
	Base     ports.Offset    `json:"base"` // offset of the accepted manifest that it replaces
	Digest   manifest.Digest `json:"digest"`
	Author   string          `json:"author,omitempty"`
	Manifest json.RawMessage `json:"manifest"`
}

// Checkpoint is a copy of the state at an offset. In the stream it keeps the
// accepted manifest available after the record that proposed it has expired;
// daemons also send checkpoints to their neighbours.
type Checkpoint struct {
	Through  ports.Offset    `json:"through"` // offset of the last record applied
	Revision Revision        `json:"revision"`
	Base     ports.Offset    `json:"base"`
	Rules    int             `json:"rules"`            // version of the rules in force after Through
	Carried  time.Time       `json:"carried"`          // log time of the newest record with the complete manifest; affects no decision
	Recent   []Acceptance    `json:"recent,omitempty"` // oldest first; the last one is Revision
	Manifest json.RawMessage `json:"manifest,omitempty"`
}

// Acceptance identifies an accepted record without its content, so that a late
// repeat of the record is recognised.
type Acceptance struct {
	Offset         ports.Offset    `json:"offset"`
	Base           ports.Offset    `json:"base"`
	Digest         manifest.Digest `json:"digest"`          // digest of the record's content
	ManifestDigest manifest.Digest `json:"whole,omitempty"` // for a section: digest of the resulting manifest
}

func (a Acceptance) revision() Revision {
	if a.ManifestDigest != "" {
		return Revision{Offset: a.Offset, Digest: a.ManifestDigest}
	}
	return Revision{Offset: a.Offset, Digest: a.Digest}
}

// SectionRecord proposes a change of one section of the manifest, so that a
// change of one organisation among thousands does not contain all of them. It is
// accepted if the section still has the digest Was, even if other sections have
// changed since Base.
type SectionRecord struct {
	Section manifest.SectionKind `json:"section"`
	ID      string               `json:"id"`
	Base    ports.Offset         `json:"base"`             // offset of the revision it is based on, one of the last MaxRecentAcceptances
	Was     manifest.Digest      `json:"was,omitempty"`    // digest of the section before the change; empty: absent
	Digest  manifest.Digest      `json:"digest,omitempty"` // digest of the section after the change; empty: removed
	Value   json.RawMessage      `json:"value,omitempty"`
}

// RulesUpgrade puts a newer version of the rules in force from the next record
// on. A release that does not support it keeps the accepted manifest and leaves
// all further records undecided.
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

// Encode encodes a record for the given version of the rules. It returns a
// *RecordError if the record exceeds MaxRecordBytes.
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

// Decode decodes a record and refuses unknown fields. It returns the version of
// the rules even if that is not supported and the body cannot be decoded. The
// error is a *RecordError.
func Decode(data []byte) (rules int, b Body, err error) {
	if len(data) > MaxRecordBytes {
		return 0, nil, &RecordError{Reason: ReasonTooLong, Detail: fmt.Sprintf("%d bytes", len(data))}
	}
	var e envelope
	if err := decodeStrict(data, &e); err != nil {
		return 0, nil, &RecordError{Reason: ReasonMalformed, Detail: err.Error()}
	}
	if e.Rules < 1 || e.Rules > RulesVersion {
		return e.Rules, nil, &RecordError{Reason: ReasonRules, Detail: fmt.Sprintf("rules %d", e.Rules)}
	}
	b = newBody(e.Kind)
	if b == nil {
		return e.Rules, nil, &RecordError{Reason: ReasonMalformed, Detail: fmt.Sprintf("kind %q", e.Kind)}
	}
	if err := decodeStrict(e.Body, b); err != nil {
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

func decodeStrict(data []byte, into any) error {
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
