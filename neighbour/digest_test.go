package neighbour

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

var epoch = time.Unix(1_700_000_000, 0)

func revision(offset ports.Offset, tag byte) Revision {
	return Revision{Offset: offset, Digest: [32]byte{tag}}
}

func from(daemon string, incarnation, sequence uint64, r Revision) Digest {
	return Digest{Daemon: daemon, Incarnation: incarnation, Sequence: sequence, Accepted: r}
}

func TestReceiveVerdicts(t *testing.T) {
	own := revision(10, 1)
	for _, c := range []struct {
		name string
		d    Digest
		want Verdict
	}{
		{"same", from("b", 1, 1, own), Verdict{}},
		{"later", from("b", 1, 1, revision(11, 2)), Verdict{Fetch: true}},
		{"earlier", from("b", 1, 1, revision(9, 3)), Verdict{SenderBehind: true}},
		{"nothing accepted", from("b", 1, 1, Revision{}), Verdict{SenderBehind: true}},
		{"another at the same offset", from("b", 1, 1, revision(10, 9)), Verdict{Conflict: true}},
		{"own", from("a", 1, 1, own), Verdict{Reason: DropOwn}},
		{"negative offset", from("b", 1, 1, revision(-1, 1)), Verdict{Reason: DropInvalid}},
		{"no name", from("", 1, 1, own), Verdict{Reason: DropInvalid}},
		{"no incarnation", from("b", 0, 1, own), Verdict{Reason: DropInvalid}},
		{"usage too long", Digest{Daemon: "b", Incarnation: 1, Usage: make([]byte, MaxUsage+1)}, Verdict{Reason: DropInvalid}},
		{"too much evidence", Digest{Daemon: "b", Incarnation: 1, Endpoints: make([]fleet.Evidence, MaxEndpoints+1)}, Verdict{Reason: DropInvalid}},
	} {
		if got := NewTable("a").Receive(epoch, own, c.d); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against digests that are delivered late or twice, or were sent before the
// sender's restart. Applied, they would revive an ended incarnation of an endpoint or
// count an organisation's usage twice.
func TestOutdatedDigestsAreDropped(t *testing.T) {
	table := NewTable("a")
	own := revision(10, 1)
	steps := []struct {
		after                 time.Duration
		incarnation, sequence uint64
		want                  DropReason
	}{
		{0, 5, 1, ""},
		{time.Second, 5, 3, ""},
		{time.Second, 5, 3, DropRepeated},
		{time.Second, 5, 2, DropRepeated},
		{2 * time.Second, 9, 1, ""}, // restarted
		{3 * time.Second, 5, 4, DropOldIncarnation},
		{31 * time.Second, 5, 5, DropOldIncarnation},
		// The VM was replaced by one whose clock is behind.
		{33 * time.Second, 5, 6, ""},
	}
	for i, s := range steps {
		got := table.Receive(epoch.Add(s.after), own, from("b", s.incarnation, s.sequence, own))
		if got.Reason != s.want {
			t.Errorf("step %d: %q, want %q", i, got.Reason, s.want)
		}
	}
}

// Guards against repeated fetches from a neighbour that claims a later revision and
// cannot deliver it, or delivers a forged one: they would use up the control budget.
func TestFailedFetchIsDelayed(t *testing.T) {
	table := NewTable("a")
	own, claimed := revision(10, 1), revision(99, 7)
	if !table.Receive(epoch, own, from("b", 1, 1, claimed)).Fetch {
		t.Fatal("a later revision is not fetched")
	}
	table.RecordFetchFailure(epoch, "b", claimed)
	if table.Receive(epoch.Add(time.Second), own, from("b", 1, 2, claimed)).Fetch {
		t.Error("fetched again within the pause")
	}
	if got := table.Holders(epoch.Add(time.Second), claimed); len(got) != 0 {
		t.Errorf("%v may be asked within the pause", got)
	}
	if !table.Receive(epoch.Add(time.Second), own, from("c", 1, 1, claimed)).Fetch {
		t.Error("not fetched from another neighbour")
	}
	if got := table.Holders(epoch.Add(3*time.Second), claimed); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("%v may be asked after the pause", got)
	}
	if !table.Receive(epoch.Add(3*time.Second), own, from("b", 1, 3, claimed)).Fetch {
		t.Error("never fetched again")
	}
}

// Guards against a table that grows without limit if digests arrive from hundreds of IDs,
// by a fault or an attack. Silent senders are removed in time.
func TestSenderTableIsBounded(t *testing.T) {
	table := NewTable("a")
	for i := range maxSenders {
		table.Receive(epoch, Revision{}, from(fmt.Sprint("d", i), 1, 1, Revision{}))
	}
	if v := table.Receive(epoch, Revision{}, from("more", 1, 1, Revision{})); v.Reason != DropTableFull {
		t.Errorf("verdict %+v", v)
	}
	if v := table.Receive(epoch.Add(senderTimeout+time.Second), Revision{}, from("more", 1, 1, Revision{})); v.Reason != "" {
		t.Errorf("verdict %+v after the others fell silent", v)
	}
}

// For random sequences of digests, only later revisions are fetched.
func TestOnlyLaterRevisionsAreFetched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("a")
		own := Revision{}
		now := epoch
		for range rapid.IntRange(1, 50).Draw(t, "digests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40000).Draw(t, "ms")) * time.Millisecond)
			r := revision(ports.Offset(rapid.IntRange(-1, 20).Draw(t, "offset")), rapid.Byte().Draw(t, "tag"))
			d := from(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "daemon"), uint64(rapid.IntRange(0, 3).Draw(t, "life")), uint64(rapid.IntRange(0, 9).Draw(t, "sequence")), r)
			v := table.Receive(now, own, d)
			if v.Fetch && r.Offset <= own.Offset {
				t.Fatalf("fetches %d while %d is in force", r.Offset, own.Offset)
			}
			if v.Fetch {
				own = r
			}
		}
	})
}

// One of two neighbours opens the exchanges. The other one does so if it receives no
// digest: a daemon that has just started is not yet in the list of its neighbours.
func TestShouldInitiate(t *testing.T) {
	opener, other := "a", "b"
	if !Initiates(opener, other) {
		opener, other = other, opener
	}
	if Initiates(other, opener) {
		t.Error("both initiate")
	}
	table := NewTable(other)
	if !table.ShouldInitiate(epoch, opener, time.Second) {
		t.Error("no exchange is opened with a neighbour that never sent a digest")
	}
	table.Receive(epoch, Revision{}, from(opener, 1, 1, Revision{}))
	if table.ShouldInitiate(epoch.Add(2*time.Second), opener, time.Second) {
		t.Error("an exchange is opened with a neighbour that opens them itself")
	}
	if !table.ShouldInitiate(epoch.Add(3*time.Second), opener, time.Second) {
		t.Error("no exchange is opened with a silent neighbour")
	}
}

func TestIntervalKeepsBudget(t *testing.T) {
	for _, c := range []struct {
		neighbours, bytes int
		want              time.Duration
	}{
		{0, 0, time.Second},
		{2, 100, time.Second},
		{6, 200, 1600 * time.Millisecond},
		{10, 1000, 8 * time.Second},
	} {
		if got := Interval(time.Second, c.neighbours, c.bytes, 3000); got != c.want {
			t.Errorf("%d neighbours, %d bytes: %v, want %v", c.neighbours, c.bytes, got, c.want)
		}
	}
}
