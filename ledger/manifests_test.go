package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// sample is a small manifest that differs by its loads at once.
func sample(loads int) manifest.Manifest {
	return manifest.Manifest{
		Rules: 1, Name: "quebec-est",
		Fleet: manifest.Fleet{PieceTokens: 2000, BytesPerToken: 4, LoadsAtOnce: loads, FirstTokenLimit: manifest.Duration(time.Second)},
		Organisations: []manifest.Organisation{{
			ID: contract.OrganisationID("registre"), KeyHashes: []string{fmt.Sprintf("%064x", 1)}, Share: 1, Priorities: []string{"batch"},
		}},
		Models:    []manifest.Model{{ID: "m", Version: "v1"}},
		Classes:   []manifest.Class{{ID: "runner", Kind: fleet.KindModel, Models: []string{"m"}}},
		Retention: manifest.Retention{ClaimWindow: manifest.Duration(time.Hour), LogRecords: manifest.Duration(6 * time.Hour)},
	}
}

func proposal(t testing.TB, base ports.Offset, loads int) *ManifestRecord {
	t.Helper()
	text, err := manifest.Encode(sample(loads))
	if err != nil {
		t.Fatal(err)
	}
	return &ManifestRecord{Base: base, Digest: manifest.DigestOfText(text), Manifest: text}
}

// logbook numbers records as the log does.
type logbook struct {
	t       testing.TB
	records []ports.Record
}

func (l *logbook) add(b Body) ports.Record {
	l.t.Helper()
	data, err := Encode(1, b)
	if err != nil {
		l.t.Fatal(err)
	}
	return l.raw(data)
}

func (l *logbook) raw(data []byte) ports.Record {
	n := len(l.records) + 1
	r := ports.Record{Offset: ports.Offset(n), Time: epoch.Add(time.Duration(n) * time.Minute), Data: data}
	l.records = append(l.records, r)
	return r
}

func feed(s *State, records ...ports.Record) Decision {
	var last Decision
	for _, r := range records {
		d := s.Apply(r)
		last = d[len(d)-1]
	}
	return last
}

func want(t *testing.T, d Decision, o Outcome, reason Reason, by ports.Offset) {
	t.Helper()
	if d.Outcome != o || d.Reason != reason || d.By != by {
		t.Fatalf("got %+v, expected %s %s by %d", d, o, reason, by)
	}
}

func TestTheSecondOfTwoRacingOperatorsIsRefused(t *testing.T) {
	// Two operators publish at the same time against the same manifest. The
	// second is refused and learns which record came first; the manifest in
	// force does not flap between the two.
	s, l := NewState(Options{}), &logbook{t: t}
	want(t, feed(s, l.add(proposal(t, 0, 1))), Accepted, "", 0)
	want(t, feed(s, l.add(proposal(t, 1, 2))), Accepted, "", 0)
	want(t, feed(s, l.add(proposal(t, 1, 3))), Refused, ReasonStale, 2)
	if s.Revision().Offset != 2 {
		t.Fatalf("offset %d is in force", s.Revision().Offset)
	}
}

func TestARepeatedPublicationIsAcceptedOnce(t *testing.T) {
	// The answer to an append is lost and the operator's pipeline sends the
	// manifest again, at once or after another manifest. It must not be
	// accepted twice, nor push the newer one out.
	s, l := NewState(Options{}), &logbook{t: t}
	feed(s, l.add(proposal(t, 0, 1)), l.add(proposal(t, 1, 2)))
	want(t, feed(s, l.add(proposal(t, 1, 2))), Repeated, "", 2)
	feed(s, l.add(proposal(t, 2, 3)))
	want(t, feed(s, l.add(proposal(t, 1, 2))), Repeated, "", 2)
	if s.Revision().Offset != 4 {
		t.Fatalf("offset %d is in force", s.Revision().Offset)
	}
}

func TestUnreadableRecordsAreRefusedAlike(t *testing.T) {
	s, l := NewState(Options{}), &logbook{t: t}
	bad := proposal(t, 0, 1)
	bad.Digest = "00"
	invalid := proposal(t, 0, 0)
	tests := []struct {
		record ports.Record
		reason Reason
	}{
		{l.raw([]byte("{")), ReasonMalformed},
		{l.raw([]byte(`{"rules":1,"kind":"manifest","body":{"base":0,"x":1}}`)), ReasonMalformed},
		{l.raw([]byte(`{"rules":1,"kind":"other","body":{}}`)), ReasonMalformed},
		{l.raw([]byte(`{"rules":2,"kind":"manifest","body":{}}`)), ReasonRules},
		{l.raw(make([]byte, MaxRecordBytes+1)), ReasonTooLong},
		{l.add(bad), ReasonDigest},
		{l.add(invalid), ReasonInvalid},
	}
	for _, tt := range tests {
		want(t, feed(s, tt.record), Refused, tt.reason, 0)
	}
	want(t, feed(s, l.add(proposal(t, 0, 1))), Accepted, "", 0)
}

func TestNewerRulesStopAnOldReleaseFromDeciding(t *testing.T) {
	// Operators raise the rules while some daemons still run the release that
	// does not know them. Those keep serving what was accepted and say that
	// they are behind; deciding by old rules would split the daemons in two.
	s, l := NewState(Options{}), &logbook{t: t}
	feed(s, l.add(proposal(t, 0, 1)), l.add(&RulesUpgrade{To: 2}))
	want(t, feed(s, l.add(proposal(t, 1, 2))), Undecided, ReasonRulesUnsupported, 0)
	if !s.RulesUnsupported() || s.Revision().Offset != 1 {
		t.Fatalf("behind %v, offset %d in force", s.RulesUnsupported(), s.Revision().Offset)
	}
}

func TestBehindAGapNothingIsAcceptedUntilProven(t *testing.T) {
	// A daemon starts late: the record that the next manifest builds on has
	// expired. Whether something in between was accepted cannot be known, so
	// the daemon must not accept; a checkpoint that reaches over the gap
	// settles it, and the manifest is then accepted.
	full, l := NewState(Options{}), &logbook{t: t}
	feed(full, l.add(proposal(t, 0, 1)), l.add(proposal(t, 1, 2)))
	checkpoint, _ := full.Checkpoint()
	feed(full, l.add(proposal(t, 2, 3)))
	feed(full, l.add(&checkpoint))

	late := NewState(Options{})
	late.Gap(3)
	want(t, feed(late, l.records[2]), Undecided, ReasonGap, 0)
	if late.InForce() != nil {
		t.Fatal("accepted behind a gap")
	}
	feed(late, l.records[3])
	if late.Revision() != full.Revision() {
		t.Fatalf("in force %+v, elsewhere %+v", late.Revision(), full.Revision())
	}

	// A checkpoint that does not reach over the gap settles nothing.
	later := NewState(Options{})
	later.Gap(4)
	want(t, feed(later, l.records[3]), Undecided, ReasonGap, 0)
}

func TestANeighboursProofClosesAGapAndNeverGoesBack(t *testing.T) {
	full, l := NewState(Options{}), &logbook{t: t}
	feed(full, l.add(proposal(t, 0, 1)))
	old, _ := full.Checkpoint()
	feed(full, l.add(proposal(t, 1, 2)), l.add(proposal(t, 2, 3)))
	newer, _ := full.Checkpoint()

	cut := NewState(Options{})
	feed(cut, l.records[0])
	if _, err := cut.Adopt(newer); err != nil {
		t.Fatal(err)
	}
	if _, err := cut.Adopt(old); reasonOf(err) != ReasonStale {
		t.Fatalf("an older proof was answered %v", err)
	}
	if cut.Revision().Offset != 3 {
		t.Fatalf("offset %d is in force", cut.Revision().Offset)
	}
	cut.Gap(4) // the log came back, and the records in between have expired
	want(t, feed(cut, l.add(proposal(t, 3, 4))), Accepted, "", 0)

	forged := newer
	forged.Through, forged.Recent = 9, newer.Recent[:2]
	forged.Revision, forged.Manifest = newer.Recent[1].revision(), proposal(t, 1, 2).Manifest
	if _, err := cut.Adopt(forged); reasonOf(err) != ReasonConflict {
		t.Fatalf("a proof that contradicts was answered %v", err)
	}
	forged = newer
	forged.Through, forged.Revision = 20, Revision{Offset: 20, Digest: "00"}
	if _, err := cut.Adopt(forged); reasonOf(err) != ReasonMalformed {
		t.Fatalf("a proof without its acceptance was answered %v", err)
	}
	forged.Recent = slices.Concat(newer.Recent, []Acceptance{{Offset: 20, Base: 3, Digest: "00"}})
	if _, err := cut.Adopt(forged); reasonOf(err) != ReasonDigest {
		t.Fatalf("a proof with a wrong digest was answered %v", err)
	}
}

func TestACheckpointThatContradictsIsCountedAndIgnored(t *testing.T) {
	s, l := NewState(Options{}), &logbook{t: t}
	feed(s, l.add(proposal(t, 0, 1)), l.add(proposal(t, 1, 2)))
	wrong, _ := s.Checkpoint()
	text, _ := manifest.Encode(sample(9))
	wrong.Manifest, wrong.Revision.Digest = text, manifest.DigestOfText(text)
	want(t, feed(s, l.add(&wrong)), Refused, ReasonConflict, 2)
	if s.Conflicts() != 1 || s.InForce().Manifest.Fleet.LoadsAtOnce != 2 {
		t.Fatalf("conflicts %d, in force %+v", s.Conflicts(), s.Revision())
	}
}

func TestACheckpointIsDueBeforeTheRecordExpires(t *testing.T) {
	s, l := NewState(Options{}), &logbook{t: t}
	feed(s, l.add(proposal(t, 0, 1)))
	kept := 6 * time.Hour
	at := l.records[0].Time
	for _, jitter := range []float64{0, 0.5, 1} {
		if s.CheckpointDue(at.Add(kept/4-time.Second), kept, jitter) {
			t.Fatalf("due too early with jitter %v", jitter)
		}
		if !s.CheckpointDue(at.Add(kept/2), kept, jitter) {
			t.Fatalf("not due after half the retention with jitter %v", jitter)
		}
	}
	c, _ := s.Checkpoint()
	r := l.add(&c)
	feed(s, r)
	if s.CheckpointDue(r.Time.Add(kept/4-time.Second), kept, 0) {
		t.Fatal("due again at once after another daemon's checkpoint")
	}
}

func section(t *testing.T, s *State, id string, share float64) *SectionRecord {
	t.Helper()
	text := fmt.Sprintf(`{"id":%q,"key_hashes":["%x%x"],"share":%v,"priorities":["batch"]}`, id, HashID(id), HashID(id), share)
	b, err := NewSectionRecord(s.InForce(), manifest.SectionOrganisation, id, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestSectionsChangeSideBySide(t *testing.T) {
	// Two operators change different organisations against the same manifest,
	// and both are accepted; a third changes one of them without having seen
	// the change, and is refused.
	s, l := NewState(Options{}), &logbook{t: t}
	feed(s, l.add(proposal(t, 0, 1)))
	first, second, third := section(t, s, "tsukushi", 2), section(t, s, "registre", 3), section(t, s, "registre", 4)
	want(t, feed(s, l.add(first)), Accepted, "", 0)
	want(t, feed(s, l.add(second)), Accepted, "", 0)
	want(t, feed(s, l.add(third)), Refused, ReasonStale, 3)
	if got := s.InForce().Manifest.Organisations; len(got) != 2 || got[0].Share != 3 || got[1].Share != 2 {
		t.Fatalf("organisations %+v", got)
	}
	late := NewState(Options{})
	c, _ := s.Checkpoint()
	if _, err := late.Adopt(c); err != nil || late.Revision() != s.Revision() {
		t.Fatalf("adopted %+v: %v", late.Revision(), err)
	}
}

func TestALateRepeatDoesNotUndoALaterChange(t *testing.T) {
	// An operator's change is appended twice, the second time late. Meanwhile
	// another set the section back, so that the repeat would fit again.
	s, l := NewState(Options{}), &logbook{t: t}
	feed(s, l.add(proposal(t, 0, 1)))
	change := section(t, s, "registre", 2)
	feed(s, l.add(change))
	feed(s, l.add(section(t, s, "registre", 1)))
	want(t, feed(s, l.add(change)), Repeated, "", 2)
	for i := range MaxRecentAcceptances {
		feed(s, l.add(section(t, s, "tsukushi", float64(i+1))))
	}
	want(t, feed(s, l.add(change)), Refused, ReasonStale, s.Revision().Offset)
}

func TestAReaderBeginsAtTheNewestCheckpoint(t *testing.T) {
	// A daemon starts and finds hours of changes. Folding each of them would
	// take it seconds in which it serves what is long replaced.
	full, l := NewState(Options{}), &logbook{t: t}
	feed(full, l.add(proposal(t, 0, 1)))
	first, due := ports.Offset(2), 0
	for i := range 5 * checkpointChanges {
		feed(full, l.add(section(t, full, "tsukushi", float64(i+1))))
		if full.CheckpointDue(l.records[len(l.records)-1].Time, 1000*time.Hour, 0) {
			c, _ := full.Checkpoint()
			feed(full, l.add(&c))
			due++
		}
	}
	late := NewState(Options{Lazy: true})
	late.Gap(first)
	feed(late, l.records[first-1:]...)
	late.UseNewestCheckpoint()
	folded := len(late.History())
	if due != 5 || folded > checkpointChanges || late.Revision() != full.Revision() {
		t.Fatalf("%d checkpoints, %d records folded, in force %+v, elsewhere %+v", due, folded, late.Revision(), full.Revision())
	}
}
