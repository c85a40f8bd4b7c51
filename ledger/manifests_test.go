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

// sample returns a small valid manifest; different loads give different digests.
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

// testLog assigns offsets and times to records as the log does.
type testLog struct {
	t       testing.TB
	records []ports.Record
}

func (l *testLog) add(b Body) ports.Record {
	l.t.Helper()
	data, err := Encode(1, b)
	if err != nil {
		l.t.Fatal(err)
	}
	return l.raw(data)
}

func (l *testLog) raw(data []byte) ports.Record {
	n := len(l.records) + 1
	r := ports.Record{Offset: ports.Offset(n), Time: epoch.Add(time.Duration(n) * time.Minute), Data: data}
	l.records = append(l.records, r)
	return r
}

func apply(s *State, records ...ports.Record) Decision {
	var last Decision
	for _, r := range records {
		d := s.Apply(r)
		last = d[len(d)-1]
	}
	return last
}

func checkDecision(t *testing.T, d Decision, o Outcome, reason Reason, by ports.Offset) {
	t.Helper()
	if d.Outcome != o || d.Reason != reason || d.By != by {
		t.Fatalf("got %+v, expected %s %s by %d", d, o, reason, by)
	}
}

func TestRefusesManifestWithStaleBase(t *testing.T) {
	// Two operators publish from the same base at the same time. The second is
	// refused with the offset of the first, so that the manifest in force does
	// not change back and forth.
	s, l := NewState(Options{}), &testLog{t: t}
	checkDecision(t, apply(s, l.add(proposal(t, 0, 1))), Accepted, "", 0)
	checkDecision(t, apply(s, l.add(proposal(t, 1, 2))), Accepted, "", 0)
	checkDecision(t, apply(s, l.add(proposal(t, 1, 3))), Refused, ReasonStale, 2)
	if s.Revision().Offset != 2 {
		t.Fatalf("offset %d is in force", s.Revision().Offset)
	}
}

func TestAcceptsRepeatedManifestOnce(t *testing.T) {
	// An append whose answer was lost is repeated, immediately or after another
	// manifest. It must not be accepted twice or replace the newer manifest.
	s, l := NewState(Options{}), &testLog{t: t}
	apply(s, l.add(proposal(t, 0, 1)), l.add(proposal(t, 1, 2)))
	checkDecision(t, apply(s, l.add(proposal(t, 1, 2))), Repeated, "", 2)
	apply(s, l.add(proposal(t, 2, 3)))
	checkDecision(t, apply(s, l.add(proposal(t, 1, 2))), Repeated, "", 2)
	if s.Revision().Offset != 4 {
		t.Fatalf("offset %d is in force", s.Revision().Offset)
	}
}

func TestRefusesInvalidRecords(t *testing.T) {
	s, l := NewState(Options{}), &testLog{t: t}
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
		checkDecision(t, apply(s, tt.record), Refused, tt.reason, 0)
	}
	checkDecision(t, apply(s, l.add(proposal(t, 0, 1))), Accepted, "", 0)
}

func TestNewerRulesLeaveRecordsUndecided(t *testing.T) {
	// Rules are upgraded while some daemons run a release that does not support
	// them. These must keep the accepted manifest and decide nothing more;
	// deciding by the old rules would make daemons disagree.
	s, l := NewState(Options{}), &testLog{t: t}
	apply(s, l.add(proposal(t, 0, 1)), l.add(&RulesUpgrade{To: 2}))
	checkDecision(t, apply(s, l.add(proposal(t, 1, 2))), Undecided, ReasonRulesUnsupported, 0)
	if !s.RulesUnsupported() || s.Revision().Offset != 1 {
		t.Fatalf("rules unsupported %v, offset %d in force", s.RulesUnsupported(), s.Revision().Offset)
	}
}

func TestGapLeavesRecordsUndecidedUntilCheckpoint(t *testing.T) {
	// A daemon starts after records have expired, one of which may have been
	// accepted. It must not accept the next manifest until a checkpoint covers
	// the gap.
	full, l := NewState(Options{}), &testLog{t: t}
	apply(full, l.add(proposal(t, 0, 1)), l.add(proposal(t, 1, 2)))
	checkpoint, _ := full.Checkpoint()
	apply(full, l.add(proposal(t, 2, 3)))
	apply(full, l.add(&checkpoint))

	late := NewState(Options{})
	late.Gap(3)
	checkDecision(t, apply(late, l.records[2]), Undecided, ReasonGap, 0)
	if late.InForce() != nil {
		t.Fatal("accepted after a gap")
	}
	apply(late, l.records[3])
	if late.Revision() != full.Revision() {
		t.Fatalf("in force %+v, elsewhere %+v", late.Revision(), full.Revision())
	}

	// A checkpoint that does not cover the gap leaves it open.
	later := NewState(Options{})
	later.Gap(4)
	checkDecision(t, apply(later, l.records[3]), Undecided, ReasonGap, 0)
}

func TestAdoptedCheckpointClosesGap(t *testing.T) {
	full, l := NewState(Options{}), &testLog{t: t}
	apply(full, l.add(proposal(t, 0, 1)))
	old, _ := full.Checkpoint()
	apply(full, l.add(proposal(t, 1, 2)), l.add(proposal(t, 2, 3)))
	newer, _ := full.Checkpoint()

	isolated := NewState(Options{})
	apply(isolated, l.records[0])
	if _, err := isolated.Adopt(newer); err != nil {
		t.Fatal(err)
	}
	if _, err := isolated.Adopt(old); reasonOf(err) != ReasonStale {
		t.Fatalf("adopting an older checkpoint returned %v", err)
	}
	if isolated.Revision().Offset != 3 {
		t.Fatalf("offset %d is in force", isolated.Revision().Offset)
	}
	isolated.Gap(4) // the log is available again; the records in between have expired
	checkDecision(t, apply(isolated, l.add(proposal(t, 3, 4))), Accepted, "", 0)

	forged := newer
	forged.Through, forged.Recent = 9, newer.Recent[:2]
	forged.Revision, forged.Manifest = newer.Recent[1].revision(), proposal(t, 1, 2).Manifest
	if _, err := isolated.Adopt(forged); reasonOf(err) != ReasonConflict {
		t.Fatalf("adopting a contradictory checkpoint returned %v", err)
	}
	forged = newer
	forged.Through, forged.Revision = 20, Revision{Offset: 20, Digest: "00"}
	if _, err := isolated.Adopt(forged); reasonOf(err) != ReasonMalformed {
		t.Fatalf("adopting a checkpoint without its acceptance returned %v", err)
	}
	forged.Recent = slices.Concat(newer.Recent, []Acceptance{{Offset: 20, Base: 3, Digest: "00"}})
	if _, err := isolated.Adopt(forged); reasonOf(err) != ReasonDigest {
		t.Fatalf("adopting a checkpoint with a wrong digest returned %v", err)
	}
}

func TestRefusesConflictingCheckpoint(t *testing.T) {
	s, l := NewState(Options{}), &testLog{t: t}
	apply(s, l.add(proposal(t, 0, 1)), l.add(proposal(t, 1, 2)))
	wrong, _ := s.Checkpoint()
	text, _ := manifest.Encode(sample(9))
	wrong.Manifest, wrong.Revision.Digest = text, manifest.DigestOfText(text)
	checkDecision(t, apply(s, l.add(&wrong)), Refused, ReasonConflict, 2)
	if s.Conflicts() != 1 || s.InForce().Manifest.Fleet.LoadsAtOnce != 2 {
		t.Fatalf("conflicts %d, in force %+v", s.Conflicts(), s.Revision())
	}
}

func TestCheckpointDueBeforeRecordExpires(t *testing.T) {
	s, l := NewState(Options{}), &testLog{t: t}
	apply(s, l.add(proposal(t, 0, 1)))
	retention := 6 * time.Hour
	at := l.records[0].Time
	for _, jitter := range []float64{0, 0.5, 1} {
		if s.CheckpointDue(at.Add(retention/4-time.Second), retention, jitter) {
			t.Fatalf("due too early with jitter %v", jitter)
		}
		if !s.CheckpointDue(at.Add(retention/2), retention, jitter) {
			t.Fatalf("not due after half the retention with jitter %v", jitter)
		}
	}
	c, _ := s.Checkpoint()
	r := l.add(&c)
	apply(s, r)
	if s.CheckpointDue(r.Time.Add(retention/4-time.Second), retention, 0) {
		t.Fatal("due immediately after another daemon's checkpoint")
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

func TestConcurrentSectionChanges(t *testing.T) {
	// Two changes of different organisations with the same base are both
	// accepted. A third, of an organisation that has changed since, is refused.
	s, l := NewState(Options{}), &testLog{t: t}
	apply(s, l.add(proposal(t, 0, 1)))
	first, second, third := section(t, s, "tsukushi", 2), section(t, s, "registre", 3), section(t, s, "registre", 4)
	checkDecision(t, apply(s, l.add(first)), Accepted, "", 0)
	checkDecision(t, apply(s, l.add(second)), Accepted, "", 0)
	checkDecision(t, apply(s, l.add(third)), Refused, ReasonStale, 3)
	if got := s.InForce().Manifest.Organisations; len(got) != 2 || got[0].Share != 3 || got[1].Share != 2 {
		t.Fatalf("organisations %+v", got)
	}
	late := NewState(Options{})
	c, _ := s.Checkpoint()
	if _, err := late.Adopt(c); err != nil || late.Revision() != s.Revision() {
		t.Fatalf("adopted %+v: %v", late.Revision(), err)
	}
}

func TestLateRepeatDoesNotRevertSection(t *testing.T) {
	// A change is appended again after another change has restored the section's
	// earlier content, so that the digest it is based on matches again. It must
	// not be accepted a second time.
	s, l := NewState(Options{}), &testLog{t: t}
	apply(s, l.add(proposal(t, 0, 1)))
	change := section(t, s, "registre", 2)
	apply(s, l.add(change))
	apply(s, l.add(section(t, s, "registre", 1)))
	checkDecision(t, apply(s, l.add(change)), Repeated, "", 2)
	for i := range MaxRecentAcceptances {
		apply(s, l.add(section(t, s, "tsukushi", float64(i+1))))
	}
	checkDecision(t, apply(s, l.add(change)), Refused, ReasonStale, s.Revision().Offset)
}

func TestLazyStateStartsAtNewestCheckpoint(t *testing.T) {
	// A daemon starts and finds hours of changes. Applying each of them would
	// take seconds, during which it would serve an outdated manifest.
	full, l := NewState(Options{}), &testLog{t: t}
	apply(full, l.add(proposal(t, 0, 1)))
	first, due := ports.Offset(2), 0
	for i := range 5 * checkpointMinChanges {
		apply(full, l.add(section(t, full, "tsukushi", float64(i+1))))
		if full.CheckpointDue(l.records[len(l.records)-1].Time, 1000*time.Hour, 0) {
			c, _ := full.Checkpoint()
			apply(full, l.add(&c))
			due++
		}
	}
	late := NewState(Options{Lazy: true})
	late.Gap(first)
	apply(late, l.records[first-1:]...)
	late.UseNewestCheckpoint()
	applied := len(late.History())
	if due != 5 || applied > checkpointMinChanges || late.Revision() != full.Revision() {
		t.Fatalf("%d checkpoints, %d records applied, in force %+v, elsewhere %+v", due, applied, late.Revision(), full.Revision())
	}
}
