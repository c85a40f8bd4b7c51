package ledger

import (
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// compare holds a checkpoint against the fold's own state, which it never
// changes. One that agrees keeps the manifest from expiring.
func (s *State) compare(r ports.Record, c *Checkpoint) Decision {
	d := Decision{Kind: KindCheckpoint, Base: c.Base, Digest: c.Revision.Digest, By: s.latest.offset()}
	then, known := s.asOf(c.Through)
	switch {
	case c.Through >= r.Offset, manifest.DigestOfText(c.Manifest) != c.Revision.Digest && c.Revision.Offset > 0:
		d.Outcome, d.Reason = Refused, ReasonMalformed
	case !known:
		d.Outcome, d.Reason = Refused, ReasonStale
	case c.Revision != then:
		d.Outcome, d.Reason = Refused, ReasonConflict
		s.conflicts++
	default:
		// A manifest accepted after Through has its own record, which is
		// younger than this one's predecessors.
		d.Outcome = Noted
		s.carrier, s.since = r.Time, 0
	}
	return d
}

// asOf returns the revision that was in force after the given offset, as far
// back as acceptances are remembered.
func (s *State) asOf(through ports.Offset) (Revision, bool) {
	for i := len(s.recent) - 1; i >= 0; i-- {
		if s.recent[i].Offset <= through {
			return s.recent[i].revision(), true
		}
	}
	first := len(s.recent) == 0 || s.recent[0].Base == 0
	return Revision{}, first
}
