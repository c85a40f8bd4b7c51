package ledger

import (
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// applySection accepts a change if the section still has the digest that the
// change is based on. Concurrent changes of different sections are all accepted.
//
// A change based on a revision that is no longer among the recent acceptances is
// refused as stale. That includes every repeat whose first record is no longer
// among them; otherwise a late repeat could revert a later change that had
// restored the earlier content of the section.
func (s *State) applySection(r ports.Record, b *SectionRecord) Decision {
	d := Decision{Kind: KindSection, Base: b.Base, Digest: b.Digest, Section: b.SectionName()}
	if by := s.acceptedOffset(b.Base, b.ChangeDigest()); by > 0 {
		d.Outcome, d.By = Repeated, by
		return d
	}
	if s.latest == nil || !s.isRecent(b.Base) {
		d.Outcome, d.Reason, d.By = Refused, ReasonStale, s.latest.offset()
		return d
	}
	was, err := manifest.SectionDigest(s.latest.Manifest, b.Section, b.ID)
	if err == nil && was != b.Was {
		d.Outcome, d.Reason, d.By = Refused, ReasonStale, s.latest.offset()
		return d
	}
	v, err := s.versionWithSection(r, b)
	if err != nil {
		d.Outcome, d.Reason, d.Detail = Refused, reasonOf(err), err.Error()
		return d
	}
	s.latest = v
	s.recordAcceptance(Acceptance{Offset: r.Offset, Base: b.Base, Digest: b.ChangeDigest(), ManifestDigest: v.Revision.Digest})
	s.checkAdopted()
	d.Outcome = Accepted
	return d
}

// SectionName returns the kind and id of the section, separated by a slash.
func (b *SectionRecord) SectionName() string { return string(b.Section) + "/" + b.ID }

func (s *State) isRecent(base ports.Offset) bool {
	for _, a := range s.recent {
		if a.Offset == base {
			return true
		}
	}
	return false
}

// NewSectionRecord returns a record that sets one section of v to the given text,
// or removes the section if the text is empty. It returns an error if the
// resulting manifest is not valid.
func NewSectionRecord(v *Version, kind manifest.SectionKind, id string, text []byte) (*SectionRecord, error) {
	was, err := manifest.SectionDigest(v.Manifest, kind, id)
	if err != nil {
		return nil, err
	}
	after, err := manifest.ReplaceSection(v.Manifest, kind, id, text)
	if err != nil {
		return nil, err
	}
	digest, err := manifest.SectionDigest(after, kind, id)
	return &SectionRecord{Section: kind, ID: id, Base: v.Revision.Offset, Was: was, Digest: digest, Value: text}, err
}

// ChangeDigest returns a digest of the change for use in Acceptance. The digest of
// the content alone does not identify a change: the removals of two sections, for
// example, have the same one.
func (b *SectionRecord) ChangeDigest() manifest.Digest {
	return manifest.DigestOfText([]byte(string(b.Section) + "\n" + b.ID + "\n" + string(b.Was) + "\n" + string(b.Digest)))
}

func (s *State) versionWithSection(r ports.Record, b *SectionRecord) (*Version, error) {
	m, err := manifest.ReplaceSection(s.latest.Manifest, b.Section, b.ID, b.Value)
	if err != nil {
		return nil, &RecordError{Reason: ReasonInvalid, Detail: err.Error()}
	}
	got, err := manifest.SectionDigest(m, b.Section, b.ID)
	if err != nil || got != b.Digest {
		return nil, &RecordError{Reason: ReasonDigest, Detail: "is " + string(got)}
	}
	digest, err := manifest.DigestOf(m)
	if err != nil {
		return nil, &RecordError{Reason: ReasonInvalid, Detail: err.Error()}
	}
	return &Version{Revision: Revision{Offset: r.Offset, Digest: digest}, Base: s.latest.Revision.Offset, Manifest: m}, nil
}
