package ledger

import (
	"errors"
	"fmt"
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Defaults of Options, and further limits of a State.
const (
	DefaultMaxHistory    = 256      // decisions kept
	DefaultMaxHeld       = 1024     // records held back after a gap
	DefaultMaxHeldBytes  = 32 << 20 // bytes of records held back
	MaxRecentAcceptances = 128      // acceptances kept to recognise repeated proposals
	maxAuthorBytes       = 256
	maxDetailBytes       = 1024 // length of Detail in a decision that is kept
)

// Options configures a State. Zero fields take the defaults.
type Options struct {
	MaxHistory   int
	MaxHeld      int
	MaxHeldBytes int
	// Lazy makes a State that starts after a gap hold records back until
	// UseNewestCheckpoint is called, instead of using the first checkpoint. The
	// reader of a long stream then skips the changes that the newest checkpoint
	// already includes.
	Lazy bool
}

// Version is an accepted manifest with its revision. It is immutable.
type Version struct {
	Revision Revision
	Base     ports.Offset
	Manifest manifest.Manifest
}

// State is the manifest in force, built by applying the records of the manifest
// stream in order.
//
// Records expire, and a daemon may start late or read slowly, so that records
// can be missing before those that it reads. After such a gap State accepts
// nothing, since an expired record may have been accepted; it continues with a
// checkpoint, from the stream or from a neighbour, that covers the gap. Without
// that rule two daemons could consider different manifests accepted, and one of
// them would have to revert later.
type State struct {
	opt              Options
	rules            int
	rulesUnsupported bool
	through          ports.Offset // offset of the last record applied
	gapEnd           ports.Offset // offset of the first record after a gap; 0: no gap
	latest           *Version     // last manifest accepted from the stream; nil: none
	adopted          *Checkpoint  // newest checkpoint from a neighbour
	adoptedVersion   *Version     // manifest of adopted
	held             []ports.Record
	heldBytes        int // size of the records in held
	history          []Decision
	recent           []Acceptance // oldest first
	carriedAt        time.Time    // time of the newest record with the complete text of latest
	acceptedSince    int          // manifests accepted since carriedAt
	deferCheckpoints bool         // set by Options.Lazy until UseNewestCheckpoint

	conflicts int
}

// NewState returns the state before the first record.
func NewState(o Options) *State {
	if o.MaxHistory == 0 {
		o.MaxHistory = DefaultMaxHistory
	}
	if o.MaxHeld == 0 {
		o.MaxHeld = DefaultMaxHeld
	}
	if o.MaxHeldBytes == 0 {
		o.MaxHeldBytes = DefaultMaxHeldBytes
	}
	return &State{opt: o, rules: 1, deferCheckpoints: o.Lazy}
}

// InForce returns the newest accepted manifest, from the stream or from a
// neighbour's checkpoint, and nil if there is none. Its offset never decreases.
func (s *State) InForce() *Version {
	if s.adoptedVersion != nil && (s.latest == nil || s.adoptedVersion.Revision.Offset > s.latest.Revision.Offset) {
		return s.adoptedVersion
	}
	return s.latest
}

// Revision returns the revision in force, and the zero Revision if there is none.
func (s *State) Revision() Revision {
	if v := s.InForce(); v != nil {
		return v.Revision
	}
	return Revision{}
}

// Next returns the offset of the next record to read.
func (s *State) Next() ports.Offset {
	if n := len(s.held); n > 0 {
		return s.held[n-1].Offset + 1
	}
	if s.gapEnd > 0 {
		return s.gapEnd
	}
	return s.through + 1
}

// CanDecide reports whether the next record can be decided: there is no open gap
// and this release supports the rules in force.
func (s *State) CanDecide() bool { return s.gapEnd == 0 && !s.rulesUnsupported }

// RulesUnsupported reports whether the rules in force are newer than this
// release supports.
func (s *State) RulesUnsupported() bool { return s.rulesUnsupported }

// Conflicts returns the number of checkpoints that contradicted this state. Any
// value but 0 means that a writer is faulty.
func (s *State) Conflicts() int { return s.conflicts }

// History returns the most recent decisions, oldest first.
func (s *State) History() []Decision { return append([]Decision(nil), s.history...) }

// Apply applies one record and returns the resulting decisions: first those on
// held records that could now be decided, and last the one on r.
func (s *State) Apply(r ports.Record) []Decision {
	if r.Offset < s.Next() {
		return []Decision{{Offset: r.Offset, Time: r.Time, Outcome: Noted, Reason: ReasonSeen}}
	}
	var closed []Decision
	if r.Offset > s.Next() {
		closed = s.Gap(r.Offset)
	}
	switch {
	case s.gapEnd > 0:
		return s.hold(r)
	case r.Offset <= s.through:
		return append(closed, Decision{Offset: r.Offset, Time: r.Time, Outcome: Noted, Reason: ReasonSeen})
	default:
		return append(closed, s.applyNext(r))
	}
}

// Gap reports that the records before first expired before they were read. It
// returns the decisions that an adopted checkpoint makes possible immediately.
func (s *State) Gap(first ports.Offset) []Decision {
	if first <= s.Next() {
		return nil
	}
	s.held, s.heldBytes = nil, 0
	s.gapEnd = first
	return s.closeGap(s.adopted, s.adoptedVersion)
}

func (s *State) hold(r ports.Record) []Decision {
	s.held = append(s.held, r)
	s.heldBytes += len(r.Data)
	for len(s.held) > s.opt.MaxHeld || s.heldBytes > s.opt.MaxHeldBytes {
		s.heldBytes -= len(s.held[0].Data)
		s.gapEnd = s.held[0].Offset + 1
		s.held = s.held[1:]
	}
	if !s.deferCheckpoints {
		if done := s.closeGapWithRecord(r); done != nil {
			return done
		}
	}
	return []Decision{{Offset: r.Offset, Time: r.Time, Outcome: Undecided, Reason: ReasonGap}}
}

// UseNewestCheckpoint closes the gap of a Lazy state with the newest checkpoint
// among the held records that covers it, and returns the resulting decisions. It
// is called once the stream has been read to its end.
func (s *State) UseNewestCheckpoint() []Decision {
	s.deferCheckpoints = false
	for i := len(s.held) - 1; i >= 0; i-- {
		if done := s.closeGapWithRecord(s.held[i]); done != nil {
			return done
		}
	}
	return nil
}

// closeGapWithRecord closes the gap if r is a checkpoint that covers it. It
// returns nil if it does not.
func (s *State) closeGapWithRecord(r ports.Record) []Decision {
	_, body, err := Decode(r.Data)
	c, ok := body.(*Checkpoint)
	if err != nil || !ok || c.Through >= r.Offset || c.Through < s.gapEnd-1 {
		return nil
	}
	v, err := c.version()
	if err != nil {
		return nil
	}
	return s.closeGap(c, v)
}

// closeGap closes the gap if c covers it: it restores the state from c, whose
// manifest is v, and applies the held records. It returns nil if the gap stays
// open.
func (s *State) closeGap(c *Checkpoint, v *Version) []Decision {
	if c == nil || s.gapEnd == 0 || c.Through < s.gapEnd-1 {
		return nil
	}
	if v.olderThan(s.latest) {
		s.conflicts++
		return nil
	}
	held := s.held
	s.gapEnd, s.held, s.heldBytes = 0, nil, 0
	s.restore(c, v)
	decisions := []Decision{}
	for _, r := range held {
		if r.Offset > s.through {
			decisions = append(decisions, s.applyNext(r))
		}
	}
	return decisions
}

// restore replaces the state by that of a checkpoint.
func (s *State) restore(c *Checkpoint, v *Version) {
	s.through, s.latest, s.rules, s.carriedAt = c.Through, v, c.Rules, c.Carried
	s.recent = append([]Acceptance(nil), c.Recent...)
	s.acceptedSince = 0
}

func (v *Version) offset() ports.Offset {
	if v == nil {
		return 0
	}
	return v.Revision.Offset
}

func (v *Version) olderThan(other *Version) bool { return v.offset() < other.offset() }

// applyNext applies r, the record that follows through.
func (s *State) applyNext(r ports.Record) Decision {
	d := s.decide(r)
	d.Offset, d.Time = r.Offset, r.Time
	s.through = r.Offset
	if s.carriedAt.IsZero() {
		// That no manifest has been accepted must be checkpointed as well:
		// once this record has expired, a reader could not determine it.
		s.carriedAt = r.Time
	}
	s.remember(d)
	return d
}

func (s *State) remember(d Decision) {
	if d.Outcome == Noted {
		return
	}
	if len(d.Detail) > maxDetailBytes {
		d.Detail = d.Detail[:maxDetailBytes]
	}
	s.history = append(s.history, d)
	if len(s.history) > s.opt.MaxHistory {
		s.history = s.history[1:]
	}
}

func (s *State) decide(r ports.Record) Decision {
	if s.rulesUnsupported {
		return Decision{Outcome: Undecided, Reason: ReasonRulesUnsupported}
	}
	rules, body, err := Decode(r.Data)
	if err != nil {
		return refused(err)
	}
	if rules != s.rules {
		return Decision{Kind: body.kind(), Outcome: Refused, Reason: ReasonRules}
	}
	switch b := body.(type) {
	case *ManifestRecord:
		return s.applyManifest(r, b)
	case *SectionRecord:
		return s.applySection(r, b)
	case *Checkpoint:
		return s.applyCheckpoint(r, b)
	case *RulesUpgrade:
		return s.applyRulesUpgrade(b)
	default:
		return Decision{Kind: body.kind(), Outcome: Refused, Reason: ReasonMalformed}
	}
}

func refused(err error) Decision {
	var e *RecordError
	if errors.As(err, &e) {
		return Decision{Outcome: Refused, Reason: e.Reason, Detail: e.Detail}
	}
	return Decision{Outcome: Refused, Reason: ReasonMalformed, Detail: err.Error()}
}

func reasonOf(err error) Reason { return refused(err).Reason }

// applyManifest accepts a manifest only if it is based on the latest one. If two
// operators publish from the same base at the same time, the first in log order
// is accepted and the second is refused with the offset of the first.
func (s *State) applyManifest(r ports.Record, b *ManifestRecord) Decision {
	d := Decision{Kind: KindManifest, Base: b.Base, Digest: b.Digest, Author: b.Author}
	if len(b.Author) > maxAuthorBytes {
		d.Outcome, d.Reason = Refused, ReasonTooLong
		return d
	}
	if s.latest != nil && s.latest.Revision.Digest == b.Digest {
		d.Outcome, d.By = Repeated, s.latest.Revision.Offset
		return d
	}
	if by := s.acceptedOffset(b.Base, b.Digest); by > 0 {
		d.Outcome, d.By = Repeated, by
		return d
	}
	if b.Base != s.latest.offset() {
		d.Outcome, d.Reason, d.By = Refused, ReasonStale, s.latest.offset()
		return d
	}
	m, err := b.read()
	if err != nil {
		d.Outcome, d.Reason, d.Detail = Refused, reasonOf(err), err.Error()
		return d
	}
	s.latest = &Version{Revision: Revision{Offset: r.Offset, Digest: b.Digest}, Base: b.Base, Manifest: m}
	s.recordAcceptance(Acceptance{Offset: r.Offset, Base: b.Base, Digest: b.Digest})
	s.carriedAt, s.acceptedSince = r.Time, 0
	s.checkAdopted()
	d.Outcome = Accepted
	return d
}

// acceptedOffset returns the offset of the accepted record with the same base
// and content, and 0 if there is none. It lets a publisher whose answer was lost
// repeat the record without having it accepted twice.
func (s *State) acceptedOffset(base ports.Offset, digest manifest.Digest) ports.Offset {
	for _, a := range s.recent {
		if a.Base == base && a.Digest == digest {
			return a.Offset
		}
	}
	return 0
}

func (s *State) recordAcceptance(a Acceptance) {
	s.acceptedSince++
	s.recent = append(s.recent, a)
	if len(s.recent) > MaxRecentAcceptances {
		s.recent = append([]Acceptance(nil), s.recent[1:]...)
	}
}

// Recent returns the last acceptances, at most MaxRecentAcceptances, oldest first.
func (s *State) Recent() []Acceptance { return append([]Acceptance(nil), s.recent...) }

func (b *ManifestRecord) read() (manifest.Manifest, error) {
	return readManifest(b.Manifest, b.Digest)
}

func readManifest(text []byte, want manifest.Digest) (manifest.Manifest, error) {
	m, err := manifest.Decode(text)
	if err != nil {
		return manifest.Manifest{}, &RecordError{Reason: ReasonInvalid, Detail: err.Error()}
	}
	got, err := manifest.DigestOf(m)
	if err != nil {
		return manifest.Manifest{}, &RecordError{Reason: ReasonInvalid, Detail: err.Error()}
	}
	if got != want {
		return manifest.Manifest{}, &RecordError{Reason: ReasonDigest, Detail: fmt.Sprintf("is %s", got)}
	}
	return m, nil
}

func (s *State) applyRulesUpgrade(b *RulesUpgrade) Decision {
	if b.To != s.rules+1 {
		return Decision{Kind: KindRulesUpgrade, Outcome: Refused, Reason: ReasonRules, Detail: fmt.Sprintf("rules %d are in force", s.rules)}
	}
	s.rules = b.To
	s.rulesUnsupported = s.rules > RulesVersion
	return Decision{Kind: KindRulesUpgrade, Outcome: Accepted}
}
