package ledger

import (
	"errors"
	"fmt"
	"time"

	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Limits of a State. Zero values of Options take them.
const (
	DefaultMaxHistory    = 256      // decisions remembered
	DefaultMaxHeld       = 1024     // records held until a gap is closed
	DefaultMaxHeldBytes  = 32 << 20 // in all
	MaxRecentAcceptances = 128      // acceptances remembered to recognise repeats
	maxAuthorBytes       = 256
	maxDetailBytes       = 1024 // of a decision that is remembered
)

// Options of a State.
type Options struct {
	MaxHistory   int
	MaxHeld      int
	MaxHeldBytes int
	// Lazy makes a fold that begins behind a gap wait for Settle, which takes
	// the newest checkpoint instead of the first. A reader of a long stream is
	// then spared the changes that the newest one already holds.
	Lazy bool
}

// Version is an accepted manifest. It is never changed.
type Version struct {
	Revision Revision
	Base     ports.Offset
	Manifest manifest.Manifest
}

// State is the fold of the manifest stream.
//
// What a reader has seen may have a gap in front: records expire, and a
// daemon may start late or read slowly. Behind a gap the fold accepts nothing,
// since an expired record may have been accepted in between; a checkpoint or a
// neighbour's proof that covers the gap lets it go on. Without that rule two
// daemons could hold different manifests for true, and one would later revert.
type State struct {
	opt     Options
	rules   int
	behind  bool
	through ports.Offset // every record up to here is folded
	gapEnd  ports.Offset // first record after a gap; 0 without a gap
	latest  *Version     // by the fold; nil before the first
	adopted *Checkpoint  // newest proof of a neighbour
	ahead   *Version     // the manifest of adopted
	held    []ports.Record
	bytes   int // of held
	history []Decision
	recent  []Acceptance // oldest first
	carrier time.Time    // of the newest record that holds latest whole
	since   int          // acceptances since then
	lazy    bool         // until Settle

	conflicts int
}

// NewState returns a fold that has read nothing.
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
	return &State{opt: o, rules: 1, lazy: o.Lazy}
}

// InForce returns the newest accepted manifest that is known by the fold or
// by a neighbour's proof, and nil when there is none. It never goes back.
func (s *State) InForce() *Version {
	if s.ahead != nil && (s.latest == nil || s.ahead.Revision.Offset > s.latest.Revision.Offset) {
		return s.ahead
	}
	return s.latest
}

// Revision returns the revision in force.
func (s *State) Revision() Revision {
	if v := s.InForce(); v != nil {
		return v.Revision
	}
	return Revision{}
}

// Next is the offset that the fold wants to read next.
func (s *State) Next() ports.Offset {
	if n := len(s.held); n > 0 {
		return s.held[n-1].Offset + 1
	}
	if s.gapEnd > 0 {
		return s.gapEnd
	}
	return s.through + 1
}

// CanDecide tells whether the fold can decide the next record.
func (s *State) CanDecide() bool { return s.gapEnd == 0 && !s.behind }

// RulesUnsupported tells whether rules newer than this release are in force.
func (s *State) RulesUnsupported() bool { return s.behind }

// Conflicts counts records and proofs that contradicted the fold. Anything
// but 0 means a faulty writer.
func (s *State) Conflicts() int { return s.conflicts }

// History returns the remembered decisions, oldest first.
func (s *State) History() []Decision { return append([]Decision(nil), s.history...) }

// Apply folds one record and returns the decisions it led to: its own last,
// and before it those of held records that it allowed to decide.
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
		return append(closed, s.fold(r))
	}
}

// Gap tells the fold that the records before first have expired unread. It
// returns the decisions that a neighbour's proof allows at once.
func (s *State) Gap(first ports.Offset) []Decision {
	if first <= s.Next() {
		return nil
	}
	s.held, s.bytes = nil, 0
	s.gapEnd = first
	return s.close(s.adopted, s.ahead)
}

func (s *State) hold(r ports.Record) []Decision {
	s.held = append(s.held, r)
	s.bytes += len(r.Data)
	for len(s.held) > s.opt.MaxHeld || s.bytes > s.opt.MaxHeldBytes {
		s.bytes -= len(s.held[0].Data)
		s.gapEnd = s.held[0].Offset + 1
		s.held = s.held[1:]
	}
	if !s.lazy {
		if done := s.closeBy(r); done != nil {
			return done
		}
	}
	return []Decision{{Offset: r.Offset, Time: r.Time, Outcome: Undecided, Reason: ReasonGap}}
}

// UseNewestCheckpoint ends the lazy beginning, once the stream was read to its end.
func (s *State) UseNewestCheckpoint() []Decision {
	s.lazy = false
	for i := len(s.held) - 1; i >= 0; i-- {
		if done := s.closeBy(s.held[i]); done != nil {
			return done
		}
	}
	return nil
}

// closeBy ends a gap with a held record, if that is a checkpoint which does.
func (s *State) closeBy(r ports.Record) []Decision {
	_, body, err := Decode(r.Data)
	c, ok := body.(*Checkpoint)
	if err != nil || !ok || c.Through >= r.Offset || c.Through < s.gapEnd-1 {
		return nil
	}
	v, err := c.version()
	if err != nil {
		return nil
	}
	return s.close(c, v)
}

// close ends a gap with a proof that covers it, and folds what was held.
func (s *State) close(c *Checkpoint, v *Version) []Decision {
	if c == nil || s.gapEnd == 0 || c.Through < s.gapEnd-1 {
		return nil
	}
	if v.older(s.latest) {
		s.conflicts++
		return nil
	}
	held := s.held
	s.gapEnd, s.held, s.bytes = 0, nil, 0
	s.take(c, v)
	decisions := []Decision{}
	for _, r := range held {
		if r.Offset > s.through {
			decisions = append(decisions, s.fold(r))
		}
	}
	return decisions
}

// take makes a proof the fold's own state.
func (s *State) take(c *Checkpoint, v *Version) {
	s.through, s.latest, s.rules, s.carrier = c.Through, v, c.Rules, c.Carried
	s.recent = append([]Acceptance(nil), c.Recent...)
	s.since = 0
}

func (v *Version) offset() ports.Offset {
	if v == nil {
		return 0
	}
	return v.Revision.Offset
}

func (v *Version) older(than *Version) bool { return v.offset() < than.offset() }

// fold decides r, the record after through.
func (s *State) fold(r ports.Record) Decision {
	d := s.decide(r)
	d.Offset, d.Time = r.Offset, r.Time
	s.through = r.Offset
	if s.carrier.IsZero() {
		// Nothing is accepted yet, which has to be carried on as well: once
		// this record has expired, a reader could not know it.
		s.carrier = r.Time
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
	if s.behind {
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
		return s.propose(r, b)
	case *SectionRecord:
		return s.change(r, b)
	case *Checkpoint:
		return s.compare(r, b)
	case *RulesUpgrade:
		return s.raise(b)
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

// propose accepts a manifest only against the latest one. Two operators that
// publish at once from the same base are thereby told apart by the log's
// order, and the second learns which record came first.
func (s *State) propose(r ports.Record, b *ManifestRecord) Decision {
	d := Decision{Kind: KindManifest, Base: b.Base, Digest: b.Digest, Author: b.Author}
	if len(b.Author) > maxAuthorBytes {
		d.Outcome, d.Reason = Refused, ReasonTooLong
		return d
	}
	if s.latest != nil && s.latest.Revision.Digest == b.Digest {
		d.Outcome, d.By = Repeated, s.latest.Revision.Offset
		return d
	}
	if by := s.broughtBy(b.Base, b.Digest); by > 0 {
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
	s.accept(Acceptance{Offset: r.Offset, Base: b.Base, Digest: b.Digest})
	s.carrier, s.since = r.Time, 0
	s.checkAhead()
	d.Outcome = Accepted
	return d
}

// broughtBy finds the accepted record with the same base and content. A
// publisher whose answer was lost and who repeats it thus has it accepted once.
func (s *State) broughtBy(base ports.Offset, digest manifest.Digest) ports.Offset {
	for _, a := range s.recent {
		if a.Base == base && a.Digest == digest {
			return a.Offset
		}
	}
	return 0
}

func (s *State) accept(a Acceptance) {
	s.since++
	s.recent = append(s.recent, a)
	if len(s.recent) > MaxRecentAcceptances {
		s.recent = append([]Acceptance(nil), s.recent[1:]...)
	}
}

// Recent returns the last acceptances, oldest first.
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

func (s *State) raise(b *RulesUpgrade) Decision {
	if b.To != s.rules+1 {
		return Decision{Kind: KindRulesUpgrade, Outcome: Refused, Reason: ReasonRules, Detail: fmt.Sprintf("rules %d are in force", s.rules)}
	}
	s.rules = b.To
	s.behind = s.rules > RulesVersion
	return Decision{Kind: KindRulesUpgrade, Outcome: Accepted}
}
