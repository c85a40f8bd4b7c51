package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// promptOf returns the identity of a prompt with the given segments before its last one.
func promptOf(body string, segments ...string) *Identity {
	id := &Identity{Request: testFingerprint(body)}
	id.SetSegments("org", "model", append(segments, "last of "+body))
	return id
}

// crashUnder simulates the crash of an endpoint that runs a prompt of the daemon.
func (d *deployment) crashUnder(daemon int, id *Identity, version int64) {
	d.crashes++
	d.nodes[daemon].EndpointCrashed(d.now, id, version, fleet.EndpointID(fmt.Sprint("i-", d.crashes, "@0")))
	d.sendOutbox(daemon)
}

// refusing counts the daemons that refuse the prompt.
func (d *deployment) refusing(id *Identity) int {
	n := 0
	for _, node := range d.nodes {
		if _, held := node.Held(d.now, id); held {
			n++
		}
	}
	return n
}

// Guards against daemons that keep sending prompts with a segment that crashes endpoints
// because no two of the prompts are alike and each crash was seen by a different daemon.
func TestHoldOfSegmentReachesAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 2, 9, 73, 295, 1100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			d := newDeployment(t, daemons, 0.05)
			for i := range crashesToHold {
				d.crashUnder(d.rng.IntN(daemons), promptOf(fmt.Sprint(i), "bad"), 1)
				d.advance(30 * time.Millisecond)
			}
			began := d.now
			next := promptOf("another", "a", "bad")
			for d.refusing(next) < daemons && d.now-began < spreadTime {
				d.advance(simStep)
			}
			t.Logf("refused at all daemons after %v, most bytes of one daemon %d", d.now-began, maxOf(d.bytes))
			if n := d.refusing(next); n < daemons {
				t.Errorf("%d of %d daemons refuse it after %v", n, daemons, spreadTime)
			}
			if n := d.refusing(promptOf("sound", "a")); n > 0 {
				t.Errorf("%d daemons refuse a prompt without the segment", n)
			}
		})
	}
}

// Guards against refusing prompts for a moment, again and again, because a segment that
// many of them share is at each crash.
func TestAnsweredSegmentIsNeverRefused(t *testing.T) {
	for _, daemons := range []int{9, 73, 295} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			d := newDeployment(t, daemons, 0.05)
			refused := 0
			for i := range 200 {
				for range 3 {
					d.nodes[d.rng.IntN(daemons)].Answered(d.now, promptOf(fmt.Sprint("answered", i), "shared"), 1)
				}
				if i >= 40 && i%4 == 0 {
					d.crashUnder(d.rng.IntN(daemons), promptOf(fmt.Sprint("lost", i), "shared"), 1)
				}
				d.advance(50 * time.Millisecond)
				refused = max(refused, d.refusing(promptOf("next", "shared")))
			}
			if refused > 0 {
				t.Errorf("refused at %d daemons", refused)
			}
		})
	}
}

// Guards against messages about each crash for every segment that is answered all the time.
func TestCrashesAreNotCountedAgainstAnsweredSegments(t *testing.T) {
	d := newDeployment(t, 3, 0)
	d.nodes[0].Answered(d.now, promptOf("answered", "shared"), 1)
	lost := promptOf("lost", "shared", "rare")
	counted := d.nodes[0].EndpointCrashed(d.now, lost, 1, "i-1@0")
	if len(counted) != 2 || counted[0] != lost.Request || counted[1] != lost.Segments[1].Fingerprint {
		t.Errorf("counted against %v", counted)
	}
	if counted := d.nodes[0].EndpointCrashed(d.now+clearMargin+time.Second, lost, 1, "i-2@0"); len(counted) != 3 {
		t.Errorf("%d counted long after the answer", len(counted))
	}
}

// Guards against refusing prompts with a segment that was at crashes only beside the one
// that caused them.
func TestSegmentBesideTheCauseIsNotRefused(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0.05)
	for i := range crashesToHold {
		d.crashUnder(i, promptOf(fmt.Sprint(i), "rare", "bad"), 1)
	}
	d.advance(spreadTime)
	if n := d.refusing(promptOf("both", "rare", "bad")); n < daemons {
		t.Errorf("%d of %d daemons refuse a prompt with both", n, daemons)
	}
	if n := d.refusing(promptOf("sound", "rare")); n > 0 {
		t.Errorf("%d daemons refuse a prompt without the cause", n)
	}
	// Of two that were always together either may be the cause.
	d.crashUnder(5, promptOf("alone", "bad"), 1)
	d.advance(spreadTime)
	if n := d.refusing(promptOf("alone again", "bad")); n < daemons {
		t.Errorf("%d of %d daemons refuse the cause after a crash that only it explains", n, daemons)
	}
	if n := d.refusing(promptOf("sound again", "rare")); n > 0 {
		t.Errorf("%d daemons refuse a prompt without the cause after that", n)
	}
}

// Guards against refusing all that was under way at endpoints that crashed for another
// reason and has not been answered since.
func TestSegmentsAtTheSameCrashesExplainEachOther(t *testing.T) {
	d := newDeployment(t, 9, 0)
	for range crashesToHold {
		d.crashes++
		for i := range d.nodes {
			d.nodes[i].EndpointCrashed(d.now, promptOf(fmt.Sprint("p", i), fmt.Sprint("s", i)), 1, fleet.EndpointID(fmt.Sprint("i-", d.crashes)))
			d.sendOutbox(i)
		}
	}
	d.advance(spreadTime)
	for i := range d.nodes {
		if n := d.refusing(promptOf("next", fmt.Sprint("s", i))); n > 0 {
			t.Errorf("%d daemons refuse segment s%d", n, i)
		}
	}
}

// Guards against a segment that crashes endpoints since they run new weights and that
// answers of older weights acquit.
func TestAnswersOfOlderWeightsAcquitNothing(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0)
	for i := range 40 {
		d.nodes[i%daemons].Answered(d.now, promptOf(fmt.Sprint("old", i), "bad"), 1)
		if i > 20 && i%4 == 0 {
			d.crashUnder(i%daemons, promptOf(fmt.Sprint("new", i), "bad"), 2)
		}
		d.advance(50 * time.Millisecond)
	}
	if n := d.refusing(promptOf("next", "bad")); n < daemons {
		t.Errorf("%d of %d daemons refuse it", n, daemons)
	}
	d.nodes[3].Answered(d.now, promptOf("mended", "bad"), 3)
	d.sendOutbox(3)
	d.advance(spreadTime)
	if n := d.refusing(promptOf("next", "bad")); n > 0 {
		t.Errorf("%d daemons refuse it after newer weights answered it", n)
	}
}

// Guards against counting what only one request has, and against other organisations or
// models that are refused for what crashed endpoints elsewhere.
func TestSegmentsOfIdentity(t *testing.T) {
	ids := func(id *Identity) string {
		out := ""
		for _, s := range id.Segments {
			out += s.ID + " "
		}
		return out
	}
	for want, segments := range map[string][]string{
		"":     {"own"},
		"a b ": {"a", "b", "a", "", "own"},
		"a ":   {"a", "a"},
	} {
		var id Identity
		id.SetSegments("org", "model", segments)
		if got := ids(&id); got != want {
			t.Errorf("%q: %q, expected %q", segments, got, want)
		}
	}
	f := SegmentFingerprint("org", "model", "a")
	if f == SegmentFingerprint("other", "model", "a") || f == SegmentFingerprint("org", "other", "a") || !f.IsSegment() || testFingerprint("a").IsSegment() {
		t.Error("fingerprints do not differ")
	}
	many := make([]string, 1000)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	var id Identity
	id.SetSegments("org", "model", many)
	if len(id.Segments) != maxSegments {
		t.Errorf("%d segments", len(id.Segments))
	}
}

// Guards against a caller that displaces the answers to requests, or exhausts the memory of
// the daemons, by inventing segments.
func TestInventedSegmentsAreBounded(t *testing.T) {
	d := newDeployment(t, 2, 0)
	hot := &Identity{Request: testFingerprint("hot")}
	d.nodes[0].Answered(d.now, hot, 0)
	for i := range 5000 {
		invented := make([]string, 60)
		for n := range invented {
			invented[n] = fmt.Sprint(i, "/", n)
		}
		id := promptOf("same", invented...)
		d.nodes[0].Answered(d.now, id, 0)
		if i%10 == 0 {
			d.crashUnder(0, promptOf(fmt.Sprint(i), invented...), 0)
			d.advance(simStep)
		}
	}
	for i, n := range d.nodes {
		segments := len(n.answers[1].current) + len(n.answers[1].previous)
		if s := len(n.suspects.crashes); s > maxSuspects || segments > maxAnswers {
			t.Errorf("daemon %d keeps %d suspects and %d answered segments", i, s, segments)
		}
	}
	if !d.nodes[0].answers[0].acquits(hot.Request, d.now, 0) {
		t.Error("the answer to another request was displaced")
	}
}

// Guards against holds that a restart of all daemons turns into ones that anything explains,
// or that nothing does.
func TestRestoredHoldKeepsItsCrashes(t *testing.T) {
	d := newDeployment(t, 1, 0)
	for i := range crashesToHold {
		d.crashUnder(0, promptOf(fmt.Sprint(i), "rare", "bad"), 1)
	}
	d.crashUnder(0, promptOf("more", "bad"), 1)
	d.advance(time.Second)
	var stored []StoredHold
	for f := range d.nodes[0].Holds(d.now) {
		s, held := d.nodes[0].HoldToStore(d.now, f)
		if !held {
			t.Fatal("a hold is not stored")
		}
		stored = append(stored, s)
	}
	d.start(0)
	for _, s := range stored {
		d.nodes[0].RestoreHold(d.now, s)
	}
	if d.refusing(promptOf("next", "bad")) != 1 || d.refusing(promptOf("sound", "rare")) != 0 {
		t.Errorf("refused after a restart: %d with the cause, %d without", d.refusing(promptOf("next", "bad")), d.refusing(promptOf("sound", "rare")))
	}
}

// Guards against a cause that is let through for ever because all its crashes were at the
// endpoints of a request that is held as well, and that restart under their keys.
func TestRepeatedCrashesOfTheSameEndpointsTellCauseApart(t *testing.T) {
	const daemons = 9
	d := newDeployment(t, daemons, 0)
	crash := func(daemon int, id *Identity, endpoint int) {
		d.nodes[daemon].EndpointCrashed(d.now, id, 1, fleet.EndpointID(fmt.Sprint("i-", endpoint)))
		d.sendOutbox(daemon)
	}
	for e := range crashesToHold {
		crash(e, promptOf("first", "bad"), e)
	}
	d.advance(spreadTime)
	crash(5, promptOf("second", "bad"), 1)
	d.advance(spreadTime)
	if n := d.refusing(promptOf("third", "bad")); n < daemons {
		t.Errorf("%d of %d daemons refuse the cause", n, daemons)
	}
	crash(6, promptOf("second", "bad"), 1)
	crash(7, promptOf("second", "bad"), 1)
	if n := len(d.nodes[6].holds[SegmentFingerprint("org", "model", "bad")].crashes); n > crashesToHold+2 {
		t.Errorf("%d crashes are counted of five", n)
	}
}
