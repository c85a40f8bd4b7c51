package ledger

import (
	"fmt"
	"time"

	"github.com/merlindock/merlindock/manifest"
)

// Shares of the retention after which a checkpoint is due: a first part that
// is the same for all daemons and a part over which they spread.
const (
	checkpointAfter  = 0.25
	checkpointSpread = 0.25
)

// checkpointChanges is after how many changes of sections a checkpoint is due
// at the earliest, and twice that at the latest. It bounds what a reader that
// starts from a checkpoint has to fold.
const checkpointChanges = 64

// Checkpoint returns what a neighbour or a later reader needs to take over the
// manifest in force. It is false when the fold cannot vouch for any.
func (s *State) Checkpoint() (Checkpoint, bool) {
	v := s.InForce()
	if v != s.latest {
		c := *s.adopted
		return c, c.fill(v) == nil
	}
	if s.behind || (s.through == 0 && v == nil) {
		return Checkpoint{}, false
	}
	c := Checkpoint{Through: s.through, Rules: s.rules, Carried: s.carrier, Recent: s.Recent()}
	return c, c.fill(v) == nil
}

func (c *Checkpoint) fill(v *Version) error {
	if v == nil {
		return nil
	}
	text, err := manifest.Encode(v.Manifest)
	c.Revision, c.Base, c.Manifest = v.Revision, v.Base, text
	return err
}

// CheckpointDue tells whether a checkpoint should be appended at now, for a
// log that keeps records for the given time. Jitter, from 0 to 1 and drawn
// once by each daemon, spreads the daemons, so that usually one appends and
// the others see it. A clock that is wrong by minutes does no harm: the
// checkpoint is due long before anything expires and decides nothing.
func (s *State) CheckpointDue(now time.Time, retention time.Duration, jitter float64) bool {
	if !s.CanDecide() || s.through == 0 {
		return false
	}
	if float64(s.since) >= checkpointChanges*(1+jitter) {
		return true
	}
	share := checkpointAfter + checkpointSpread*jitter
	return now.Sub(s.carrier) >= time.Duration(float64(retention)*share)
}

// Adopt takes over a neighbour's proof. Only a newer manifest than the one in
// force changes anything, so a neighbour that is behind does no harm. A proof
// of the revision in force may leave the manifest out; it then only tells how
// far the neighbour has folded. The error is a *RecordError.
func (s *State) Adopt(c Checkpoint) ([]Decision, error) {
	if c.Revision.Offset < s.Revision().Offset && c.Through < s.Revision().Offset {
		return nil, &RecordError{Reason: ReasonStale, Detail: fmt.Sprintf("offset %d is in force", s.Revision().Offset)}
	}
	v, err := s.proven(&c)
	if err != nil {
		return nil, err
	}
	if err := s.contradiction(&c, v); err != nil {
		s.conflicts++
		return nil, err
	}
	if s.adopted == nil || c.Through > s.adopted.Through {
		c.Manifest = nil // v holds it
		s.adopted, s.ahead = &c, v
	}
	if s.through == 0 && s.gapEnd == 0 {
		s.take(&c, v)
		return nil, nil
	}
	return s.close(s.adopted, s.ahead), nil
}

// proven reads the manifest of a proof, unless it is the one in force.
func (s *State) proven(c *Checkpoint) (*Version, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if mine := s.InForce(); mine != nil && c.Revision == mine.Revision {
		return mine, nil
	}
	return c.version()
}

// contradiction refuses a proof that cannot come from the same log: it has
// folded as far as the manifest in force and yet knows an older one, or
// another content under the same offset.
func (s *State) contradiction(c *Checkpoint, v *Version) error {
	mine := s.InForce()
	if mine == nil {
		return nil
	}
	if v.older(mine) && c.Through >= mine.Revision.Offset {
		return &RecordError{Reason: ReasonConflict, Detail: "folded past the manifest in force without accepting it"}
	}
	if v.offset() == mine.Revision.Offset && c.Revision != mine.Revision {
		return &RecordError{Reason: ReasonConflict, Detail: "another content under the offset in force"}
	}
	return nil
}

// check judges the proof's figures by themselves. The acceptances are part of
// what daemons agree on, since they decide on repeats and sections; a proof
// without them would make its reader decide unlike the others.
func (c *Checkpoint) check() error {
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

// version checks the proof and returns its manifest, nil for none.
func (c *Checkpoint) version() (*Version, error) {
	if err := c.check(); err != nil {
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

// checkAhead counts a conflict when the fold passes the offset that a
// neighbour vouched for with another result.
func (s *State) checkAhead() {
	if s.ahead == nil || s.latest.offset() < s.ahead.offset() {
		return
	}
	if s.latest.offset() == s.ahead.offset() && s.latest.Revision != s.ahead.Revision {
		s.conflicts++
	}
}
