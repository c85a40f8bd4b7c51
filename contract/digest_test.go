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
			Incarnation: rapid.Uint64().Draw(t, "epoch"),
			Sequence:    rapid.Uint64().Draw(t, "sequence"),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
			Truncated:   rapid.Bool().Draw(t, "truncated"),
			Floor:       float64(rapid.IntRange(0, 1000).Draw(t, "floor")) * digestUnit,
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
			t.Fatal("more entries than MaxDigestOrganisations")
		}
	})
}

// newDaemons returns n daemons with the same contract and fleet.
func newDaemons(n int) []*Admission {
	all := make([]*Admission, n)
	for i := range all {
		all[i] = NewAdmission(Options{Daemon: daemonID(i), Incarnation: 1})
		all[i].SetContract(epoch, []Share{{"a", 0.5}, {"b", 0.5}})
		all[i].SetCapacity(epoch, 9000, 90)
	}
	return all
}

func daemonID(i int) DaemonID { return DaemonID(fmt.Sprintf("daemon-%d", i)) }

// exchange runs the daemons for the span with equal demand of organisation a, and
// delivers the digests for which pass returns true.
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

func allPairs(int, int) bool { return true }

func sumFleetFractions(all []*Admission) (sum float64) {
	for _, a := range all {
		if a != nil {
			sum += a.fleetFraction
		}
	}
	return sum
}

func TestFleetFractionsSumToOne(t *testing.T) {
	all := newDaemons(9)
	exchange(all, 0, 30*time.Second, allPairs)
	if sum := sumFleetFractions(all); math.Abs(sum-1) > 0.02 {
		t.Errorf("the fleet fractions sum to %.3f, want 1", sum)
	}
}

// A partitioned daemon goes on serving its callers. If the others took its
// fraction of the fleet over, or it took theirs, the endpoints would be overloaded
// and first tokens late for all callers.
func TestShareOfPartitionedDaemonIsKept(t *testing.T) {
	all := newDaemons(9)
	exchange(all, 0, 20*time.Second, allPairs)
	partition := func(from, to int) bool { return from != 8 && to != 8 }
	for span := 20 * time.Second; span < 5*time.Minute; span += 10 * time.Second {
		for _, a := range all {
			a.SetLoad(at(span), 90, 90)
		}
		exchange(all, span, 10*time.Second, partition)
		if sum := sumFleetFractions(all); sum > 1.03 {
			t.Fatalf("after %v the fleet fractions sum to %.3f, want at most 1.03", span, sum)
		}
	}
}

// A daemon crashes without a leaving digest, and the balancer sends its callers to the
// others. Its fraction of the fleet must be taken over, or it stays unused.
func TestShareOfCrashedDaemonIsTakenOver(t *testing.T) {
	for _, listed := range []bool{false, true} {
		all := newDaemons(9)
		exchange(all, 0, 20*time.Second, allPairs)
		all[8] = nil
		for span := 20 * time.Second; span < 80*time.Second; span += 5 * time.Second {
			for _, a := range all[:8] {
				if listed {
					a.SetDaemonCount(at(span), 8)
				} else {
					a.SetLoad(at(span), int(90*sumFleetFractions(all)), 90)
				}
			}
			exchange(all, span, 5*time.Second, allPairs)
		}
		if sum := sumFleetFractions(all); sum < 0.94 || sum > 1.06 {
			t.Errorf("daemon count from the list %v: a minute after the crash the fleet fractions sum to %.3f", listed, sum)
		}
	}
}

// The network loses, duplicates and delays digests. An older digest must not
// replace a newer one, and the first one after a restart must.
func TestMergeDigestLostDuplicateLate(t *testing.T) {
	all := newDaemons(2)
	old := all[0].Digest(epoch, false)
	exchange(all, 0, 10*time.Second, allPairs)
	newer := all[0].Digest(at(10*time.Second), false)
	if !all[1].MergeDigest(at(10*time.Second), daemonID(0), newer) {
		t.Fatal("a newer digest was dropped")
	}
	for name, d := range map[string]Digest{"late": old, "duplicate": newer} {
		if all[1].MergeDigest(at(10*time.Second), daemonID(0), d) {
			t.Errorf("a %s digest was accepted", name)
		}
	}
	exchange(all, 10*time.Second, 7*time.Second, allPairs)
	exchange(all, 17*time.Second, 30*time.Second, func(int, int) bool { return false })
	if sum := sumFleetFractions(all); sum > 1.05 {
		t.Errorf("with all digests lost the fleet fractions sum to %.3f", sum)
	}
	restarted := Digest{Incarnation: 2, Sequence: 1}
	if !all[1].MergeDigest(at(50*time.Second), daemonID(0), restarted) {
		t.Error("the first digest after a restart was dropped")
	}
}

// A daemon restarts with empty meters while its callers send at their usual rate.
// If it underestimated its demand it would refuse most of them.
func TestRestartedDaemonRegainsFleetFraction(t *testing.T) {
	all := newDaemons(9)
	exchange(all, 0, 20*time.Second, allPairs)
	back := newDaemons(1)[0]
	back.opts.Incarnation, back.opts.Daemon = 2, daemonID(8)
	back.start = at(20 * time.Second)
	all[8] = back
	exchange(all, 20*time.Second, 3*time.Second, allPairs)
	if back.fleetFraction < 0.08 || back.fleetFraction > 0.14 {
		t.Errorf("three seconds after its start the daemon's fleet fraction is %.3f, want 0.111", back.fleetFraction)
	}
}

func TestPeersAreBounded(t *testing.T) {
	a := NewAdmission(Options{Daemon: "self"})
	for i := range 3 * MaxPeers {
		a.MergeDigest(epoch, daemonID(i), Digest{Incarnation: 1, Sequence: 1})
	}
	if len(a.peers) != MaxPeers {
		t.Errorf("%d peers are kept, want MaxPeers", len(a.peers))
	}
}
