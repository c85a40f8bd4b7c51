package contract

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestDigestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Digest{
			Incarnation:     rapid.Uint64().Draw(t, "epoch"),
			Sequence:  rapid.Uint64().Draw(t, "sequence"),
			Leaving:   rapid.Bool().Draw(t, "leaving"),
			Truncated: rapid.Bool().Draw(t, "truncated"),
			Floor:     float64(rapid.IntRange(0, 1000).Draw(t, "floor")) * digestUnit,
		}
		hash := uint64(0)
		for range rapid.IntRange(0, MaxDigestOrganisations).Draw(t, "n") {
			hash += uint64(rapid.IntRange(1, 1<<26).Draw(t, "step"))
			if hash > math.MaxUint32 {
				break
			}
			d.Entries = append(d.Entries, DigestEntry{
				Hash:   uint32(hash),
				Demand: float64(rapid.IntRange(0, 1<<20).Draw(t, "demand")) * digestUnit,
				Use:    float64(rapid.IntRange(0, 1<<20).Draw(t, "use")) * digestUnit,
			})
		}
		wire, err := d.AppendBinary(nil)
		if err != nil || len(wire) > MaxDigestBytes {
			t.Fatalf("%d bytes, error %v", len(wire), err)
		}
		back, err := ParseDigest(wire)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(d, back); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzParseDigest(f *testing.F) {
	d := Digest{Incarnation: 7, Sequence: 9, Truncated: true, Floor: 160, Entries: []DigestEntry{{Hash: 3, Demand: 320}, {Hash: 900, Demand: 64, Use: 32}}}
	wire, _ := d.AppendBinary(nil)
	f.Add(wire)
	f.Add(wire[:len(wire)-2])
	f.Add([]byte{1, 1, 0, 0, 255})
	f.Fuzz(func(t *testing.T, wire []byte) {
		d, err := ParseDigest(wire)
		var fault *DigestError
		if err != nil && !errors.As(err, &fault) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && len(d.Entries) > MaxDigestOrganisations {
			t.Fatal("bound passed")
		}
	})
}

// daemons returns a group of daemons with one contract and fleet.
func daemons(n int) []*Admission {
	all := make([]*Admission, n)
	for i := range all {
		all[i] = NewAdmission(Options{Daemon: daemonID(i), Incarnation: 1})
		all[i].SetContract(epoch, []Share{{"a", 0.5}, {"b", 0.5}})
		all[i].SetCapacity(epoch, 9000, 90)
	}
	return all
}

func daemonID(i int) DaemonID { return DaemonID(fmt.Sprintf("daemon-%d", i)) }

// exchange runs the daemons for the span with even demand for a and hands on
// the digests that pass allows.
func exchange(all []*Admission, from, span time.Duration, pass func(from, to int) bool) {
	for now := from; now < from+span; now += 50 * time.Millisecond {
		for i, a := range all {
			if a == nil {
				continue
			}
			id := RequestID(now/time.Millisecond + 1)
			a.Offer(at(now), Request{ID: id, Organisation: "a", Priority: PriorityStandard, Tokens: 75})
			a.Cancel(at(now), id)
			if now%time.Second != 0 {
				continue
			}
			d := a.Digest(at(now), false)
			for j, b := range all {
				if b != nil && i != j && pass(i, j) {
					b.MergeDigest(at(now), daemonID(i), d)
				}
			}
		}
	}
}

func everyone(int, int) bool { return true }

func parts(all []*Admission) (sum float64) {
	for _, a := range all {
		if a != nil {
			sum += a.part
		}
	}
	return sum
}

func TestPartsAddUpToTheFleet(t *testing.T) {
	all := daemons(9)
	exchange(all, 0, 30*time.Second, everyone)
	if sum := parts(all); math.Abs(sum-1) > 0.02 {
		t.Errorf("the daemons together spend %.3f of the fleet", sum)
	}
}

// A daemon is cut off from all others but goes on serving its callers. If the
// others took its part over, or it took theirs, the endpoints would get more
// than they can do and first tokens would be late for everyone.
func TestCutOffDaemonIsNotTakenOver(t *testing.T) {
	all := daemons(9)
	exchange(all, 0, 20*time.Second, everyone)
	cut := func(from, to int) bool { return from != 8 && to != 8 }
	for span := 20 * time.Second; span < 5*time.Minute; span += 10 * time.Second {
		for _, a := range all {
			a.SetLoad(at(span), 90, 90)
		}
		exchange(all, span, 10*time.Second, cut)
		if sum := parts(all); sum > 1.03 {
			t.Fatalf("after %v the daemons together spend %.3f of the fleet", span, sum)
		}
	}
}

// A daemon dies without a word, and its callers come to the others through the
// balancer. Their part of the fleet would stay unused for ever if it were
// never taken over.
func TestDeadDaemonIsTakenOver(t *testing.T) {
	for _, told := range []bool{false, true} {
		all := daemons(9)
		exchange(all, 0, 20*time.Second, everyone)
		all[8] = nil
		for span := 20 * time.Second; span < 80*time.Second; span += 5 * time.Second {
			for _, a := range all[:8] {
				if told {
					a.SetDaemonCount(at(span), 8)
				} else {
					a.SetLoad(at(span), int(90*parts(all)), 90)
				}
			}
			exchange(all, span, 5*time.Second, everyone)
		}
		if sum := parts(all); sum < 0.94 || sum > 1.06 {
			t.Errorf("told by the list %v: a minute after the death the others spend %.3f of the fleet", told, sum)
		}
	}
}

// The network loses, doubles and delays digests. Of an old one nothing may
// remain that a newer one has replaced.
func TestDigestsLostDoubledLate(t *testing.T) {
	all := daemons(2)
	old := all[0].Digest(epoch, false)
	exchange(all, 0, 10*time.Second, everyone)
	newer := all[0].Digest(at(10*time.Second), false)
	if !all[1].MergeDigest(at(10*time.Second), daemonID(0), newer) {
		t.Fatal("a newer digest was dropped")
	}
	for name, d := range map[string]Digest{"late": old, "doubled": newer} {
		if all[1].MergeDigest(at(10*time.Second), daemonID(0), d) {
			t.Errorf("a %s digest was taken", name)
		}
	}
	exchange(all, 10*time.Second, 7*time.Second, everyone)
	exchange(all, 17*time.Second, 30*time.Second, func(int, int) bool { return false })
	if sum := parts(all); sum > 1.05 {
		t.Errorf("with all digests lost the daemons together spend %.3f of the fleet", sum)
	}
	restarted := Digest{Incarnation: 2, Sequence: 1}
	if !all[1].MergeDigest(at(50*time.Second), daemonID(0), restarted) {
		t.Error("the first digest after a restart was dropped")
	}
}

// A daemon restarts, its meters empty, and its callers are there at once. If it
// took itself for one with few callers it would refuse most of them.
func TestRestartedDaemonHasItsPartAtOnce(t *testing.T) {
	all := daemons(9)
	exchange(all, 0, 20*time.Second, everyone)
	back := daemons(1)[0]
	back.opts.Incarnation, back.opts.Daemon = 2, daemonID(8)
	back.start = at(20 * time.Second)
	all[8] = back
	exchange(all, 20*time.Second, 3*time.Second, everyone)
	if back.part < 0.08 || back.part > 0.14 {
		t.Errorf("three seconds after its start the daemon spends %.3f of the fleet, want 0.111", back.part)
	}
}

func TestPeersAreBounded(t *testing.T) {
	a := NewAdmission(Options{Daemon: "self"})
	for i := range 3 * MaxPeers {
		a.MergeDigest(epoch, daemonID(i), Digest{Incarnation: 1, Sequence: 1})
	}
	if len(a.peers) != MaxPeers {
		t.Errorf("%d peers are kept", len(a.peers))
	}
}
