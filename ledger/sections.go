package ledger

import (
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// change accepts a new section if the old one is still there. Two operators
// who change different organisations at once are both accepted.
//
// A repeat whose first record is no longer remembered was made against a
// revision that is not remembered either, and is refused as stale. Without
// that, a late repeat could undo a change that brought the section back.
func (s *State) change(r ports.Record, b *SectionRecord) Decision {
	d := Decision{Kind: KindSection, Base: b.Base, Digest: b.Digest, Section: b.SectionName()}
	if by := s.broughtBy(b.Base, b.ChangeDigest()); by > 0 {
		d.Outcome, d.By = Repeated, by
		return d
	}
	if s.latest == nil || !s.remembers(b.Base) {
		d.Outcome, d.Reason, d.By = Refused, ReasonStale, s.latest.offset()
		return d
	}
	was, err := manifest.SectionDigest(s.latest.Manifest, b.Section, b.ID)
	if err == nil && was != b.Was {
		d.Outcome, d.Reason, d.By = Refused, ReasonStale, s.latest.offset()
		return d
	}
	v, err := s.changed(r, b)
	if err != nil {
		d.Outcome, d.Reason, d.Detail = Refused, reasonOf(err), err.Error()
		return d
	}
	s.latest = v
	s.accept(Acceptance{Offset: r.Offset, Base: b.Base, Digest: b.ChangeDigest(), ManifestDigest: v.Revision.Digest})
	s.checkAhead()
	d.Outcome = Accepted
	return d
}

// SectionName is the kind and id of the section.
func (b *SectionRecord) SectionName() string { return string(b.Section) + "/" + b.ID }

func (s *State) remembers(base ports.Offset) bool {
	for _, a := range s.recent {
		if a.Offset == base {
			return true
		}
	}
	return false
}

// NewSectionRecord makes the record that sets one section of v, or removes it
// when the text is empty.
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

// ChangeDigest identifies the change among acceptances: two changes can lead to the
// same content, such as the removals of two sections.
func (b *SectionRecord) ChangeDigest() manifest.Digest {
	return manifest.DigestOfText([]byte(string(b.Section) + "\n" + b.ID + "\n" + string(b.Was) + "\n" + string(b.Digest)))
}

func (s *State) changed(r ports.Record, b *SectionRecord) (*Version, error) {
	m, err := manifest.ReplaceSection(s.latest.Manifest, b.Section, b.ID, b.Value)
	if err != nil {
		return nil, &RecordError{Reason: ReasonInvalid, Detail: err.Error()}
	}
	got, err := manifest.SectionDigest(m, b.Section, b.ID)
	if err != nil || got != b.Digest {
		return nil, &RecordError{Reason: ReasonDigest, Detail: "is " + string(got)}
	}
	whole, err := manifest.DigestOf(m)
	if err != nil {
		return nil, &RecordError{Reason: ReasonInvalid, Detail: err.Error()}
	}
	return &Version{Revision: Revision{Offset: r.Offset, Digest: whole}, Base: s.latest.Revision.Offset, Manifest: m}, nil
}
