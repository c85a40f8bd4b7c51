package ledger

import (
	"fmt"
	"time"

	"github.com/merlindock/merlindock/manifest"
)

// Fractions of the log retention after which a checkpoint is due: a minimum that
// is the same for all daemons, and a range over which jitter spreads them.
const (
	checkpointMinFraction    = 0.25
	checkpointJitterFraction = 0.25
)

// checkpointMinChanges is the smallest number of accepted changes after which a
// checkpoint is due; with jitter it is at most twice that. It bounds the records
// that a reader which starts from a checkpoint has to apply.
const checkpointMinChanges = 64

// Checkpoint returns the state that a neighbour or a later reader needs to adopt
// the manifest in force. It reports false if nothing has been applied, the rules
// are not supported or the manifest cannot be encoded.
func (s *State) Checkpoint() (Checkpoint, bool) {
	v := s.InForce()
	if v != s.latest {
		c := *s.adopted
		return c, c.setVersion(v) == nil
	}
	if s.rulesUnsupported || (s.through == 0 && v == nil) {
		return Checkpoint{}, false
	}
	c := Checkpoint{Through: s.through, Rules: s.rules, Carried: s.carriedAt, Recent: s.Recent()}
	return c, c.setVersion(v) == nil
}

func (c *Checkpoint) setVersion(v *Version) error {
	if v == nil {
		return nil
	}
	text, err := manifest.Encode(v.Manifest)
	c.Revision, c.Base, c.Manifest = v.Revision, v.Base, text
	return err
}

// CheckpointDue reports whether a checkpoint should be appended at time now, for
// a log that keeps records for the given retention. Jitter is a random number
// from 0 to 1 that each daemon draws once. It spreads the daemons over time, so
// that usually one of them appends and the others see its checkpoint. A local
// clock that is wrong by minutes is harmless: a checkpoint is due long before a
// record expires, and it changes no decision.
func (s *State) CheckpointDue(now time.Time, retention time.Duration, jitter float64) bool {
	if !s.CanDecide() || s.through == 0 {
		return false
	}
	if float64(s.acceptedSince) >= checkpointMinChanges*(1+jitter) {
		return true
	}
	fraction := checkpointMinFraction + checkpointJitterFraction*jitter
	return now.Sub(s.carriedAt) >= time.Duration(float64(retention)*fraction)
}

// Adopt takes over a neighbour's checkpoint and returns the decisions on held
// records that it made possible. Only a manifest newer than the one in force has
// an effect, so a checkpoint from a neighbour that lags is harmless. A checkpoint
// of the revision in force may omit the manifest; it then only shows how far the
// neighbour has read. The error is a *RecordError.
func (s *State) Adopt(c Checkpoint) ([]Decision, error) {
	if c.Revision.Offset < s.Revision().Offset && c.Through < s.Revision().Offset {
		return nil, &RecordError{Reason: ReasonStale, Detail: fmt.Sprintf("offset %d is in force", s.Revision().Offset)}
	}
	v, err := s.adoptableVersion(&c)
	if err != nil {
		return nil, err
	}
	if err := s.checkConsistent(&c, v); err != nil {
		s.conflicts++
		return nil, err
	}
	if s.adopted == nil || c.Through > s.adopted.Through {
		c.Manifest = nil // v holds it
		s.adopted, s.adoptedVersion = &c, v
	}
	if s.through == 0 && s.gapEnd == 0 {
		s.restore(&c, v)
		return nil, nil
	}
	return s.closeGap(s.adopted, s.adoptedVersion), nil
}

// adoptableVersion validates a checkpoint and returns its manifest. It does not
// decode the manifest if its revision is the one in force.
func (s *State) adoptableVersion(c *Checkpoint) (*Version, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if current := s.InForce(); current != nil && c.Revision == current.Revision {
		return current, nil
	}
	return c.version()
}

// checkConsistent returns an error for a checkpoint that cannot come from the
// same log: it covers the offset of the manifest in force but has an older
// manifest, or it has different content at the same offset.
func (s *State) checkConsistent(c *Checkpoint, v *Version) error {
	current := s.InForce()
	if current == nil {
		return nil
	}
	if v.olderThan(current) && c.Through >= current.Revision.Offset {
		return &RecordError{Reason: ReasonConflict, Detail: "covers the offset of the manifest in force without accepting it"}
	}
	if v.offset() == current.Revision.Offset && c.Revision != current.Revision {
		return &RecordError{Reason: ReasonConflict, Detail: "different content at the offset in force"}
	}
	return nil
}

// validate checks the fields of the checkpoint for consistency with each other.
// The acceptances must be complete: they determine the decisions on repeats and
// on sections, so a reader without them would decide differently from others.
func (c *Checkpoint) validate() error {
	if c.Rules < 1 || c.Rules > RulesVersion {
		return &RecordError{Reason: ReasonRules, Detail: fmt.Sprintf("rules %d", c.Rules)}
	}
	if len(c.Recent) > MaxRecentAcceptances {
		return &RecordError{Reason: ReasonTooLong, Detail: fmt.Sprintf("%d acceptances", len(c.Recent))}
	}
	var last Revision
	for _, a := range c.Recent {
		if a.Offset <= last.Offset || a.Base < 0 || a.Base >= a.Offset {
			return &RecordError{Reason: ReasonMalformed, Detail: "acceptances are out of order"}
		}
		last = a.revision()
	}
	if c.Through < c.Revision.Offset || last != c.Revision {
		return &RecordError{Reason: ReasonMalformed, Detail: "offsets do not fit together"}
	}
	return nil
}

// version validates the checkpoint and returns its manifest, and nil if no
// manifest had been accepted.
func (c *Checkpoint) version() (*Version, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if c.Revision == (Revision{}) {
		return nil, nil
	}
	m, err := readManifest(c.Manifest, c.Revision.Digest)
	if err != nil {
		return nil, err
	}
	return &Version{Revision: c.Revision, Base: c.Base, Manifest: m}, nil
}

// checkAdopted counts a conflict if this daemon accepts a revision at the offset
// of the adopted manifest that differs from it.
func (s *State) checkAdopted() {
	if s.adoptedVersion == nil || s.latest.offset() < s.adoptedVersion.offset() {
		return
	}
	if s.latest.offset() == s.adoptedVersion.offset() && s.latest.Revision != s.adoptedVersion.Revision {
		s.conflicts++
	}
}
