package ledger

import (
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// applyCheckpoint compares a checkpoint record with the local state and leaves
// the accepted manifest unchanged. A checkpoint that agrees becomes the record
// that keeps the manifest from expiring. One that disagrees with the revision
// at its Through offset counts as a conflict.
func (s *State) applyCheckpoint(r ports.Record, c *Checkpoint) Decision {
	d := Decision{Kind: KindCheckpoint, Base: c.Base, Digest: c.Revision.Digest, By: s.latest.offset()}
	then, known := s.revisionAt(c.Through)
	switch {
	case c.Through >= r.Offset, manifest.DigestOfText(c.Manifest) != c.Revision.Digest && c.Revision.Offset > 0:
		d.Outcome, d.Reason = Refused, ReasonMalformed
	case !known:
		d.Outcome, d.Reason = Refused, ReasonStale
	case c.Revision != then:
		d.Outcome, d.Reason = Refused, ReasonConflict
		s.conflicts++
	default:
		// A manifest accepted after Through is not in c, but the record that
		// proposed it is newer than every record that c covers and so does not
		// expire before them.
		d.Outcome = Noted
		s.carriedAt, s.acceptedSince = r.Time, 0
	}
	return d
}

// revisionAt returns the revision in force after the record at the given offset.
// It reports false if the acceptances that would show it are no longer kept.
func (s *State) revisionAt(through ports.Offset) (Revision, bool) {
	for i := len(s.recent) - 1; i >= 0; i-- {
		if s.recent[i].Offset <= through {
			return s.recent[i].revision(), true
		}
	}
	first := len(s.recent) == 0 || s.recent[0].Base == 0
	return Revision{}, first
}
