package quota

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

func TestMessagesRoundTrip(t *testing.T) {
	a := ask{Nonce: 7, Seq: 1 << 40, Shard: 3, Fraction: 1.0 / 64, PledgeTTL: pledgeTTL, Entries: []askEntry{
		{Key: 1 << 63, Need: 17_035, Expected: 1, Rejected: 390}, {Key: 2},
	}}
	if got, err := decodeAsk(a.encode()); err != nil || !reflect.DeepEqual(got, a) {
		t.Errorf("%+v, %v", got, err)
	}
	r := reply{Seq: 9, Shard: 7, ShuttingDown: true, Entries: []replyEntry{
		{Key: 5, Lent: 53_000, AskAfter: 20 * time.Millisecond, RetryAfter: 5 * time.Second, Used: 1.25},
	}}
	if got, err := decodeReply(r.encode()); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v", got, err)
	}
}

// Messages with more entries than fit, all of maximum length, must stay within
// MaxDatagram.
func TestLongestMessagesFitDatagram(t *testing.T) {
	a := ask{Nonce: 1 << 63, Seq: 1 << 63, Fraction: 1, PledgeTTL: maxPledgeTTL}
	r := reply{Seq: 1 << 63}
	for range 2 * maxEntries {
		a.Entries = append(a.Entries, askEntry{Key: 1 << 63, Need: maxUnits, Expected: maxUnits, Rejected: maxUnits})
		r.Entries = append(r.Entries, replyEntry{Key: 1 << 63, Lent: maxUnits, AskAfter: maxReplyDelay, RetryAfter: maxReplyDelay, Used: 1e6})
	}
	if n, m := len(a.encode()), len(r.encode()); n > MaxDatagram || m > MaxDatagram {
		t.Errorf("%d and %d bytes", n, m)
	}
}

// Any host on the network can send to the port. Arbitrary data must be rejected or
// decode to a message that encodes to the same value, and never cause a panic.
func FuzzMessages(f *testing.F) {
	a, r := ask{Seq: 1, Entries: []askEntry{{Key: 1, Need: 2}}}, reply{Seq: 1, Entries: []replyEntry{{Key: 1, Lent: 2}}}
	f.Add(a.encode())
	f.Add(r.encode())
	f.Add([]byte{kindAsk})
	f.Fuzz(func(t *testing.T, b []byte) {
		n := NewNode(Options{Self: Daemon{Name: "a", Address: "1.1.1.1:1"}, Rand: newSimulation(t, 1, 0, nil).rng})
		n.SetDaemons([]Daemon{n.o.Self, {Name: "b", Address: "2.2.2.2:2"}})
		n.SetLimits(0, map[Key]Limit{1: {PerSecond: 10, Burst: 10}})
		if err := n.Receive(time.Second, "2.2.2.2:2", b); err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("error %v", err)
		}
		if got, err := decodeAsk(b); err == nil {
			if again, err := decodeAsk(got.encode()); err != nil || !reflect.DeepEqual(again, got) {
				t.Errorf("%+v became %+v, %v", got, again, err)
			}
		}
	})
}

// Guards against owners with a small fraction of a limit that each round the fraction
// of a request up to a whole one.
func TestLentUnitsRoundDown(t *testing.T) {
	for _, lent := range []float64{0, 0.04, 0.999, 1, 17_000} {
		r := reply{Seq: 1, Entries: []replyEntry{{Key: 7, Lent: lent}}}
		got, err := decodeReply(r.encode())
		if err != nil || got.Entries[0].Lent > lent || got.Entries[0].Lent < lent-0.001 {
			t.Errorf("%g is lent as %+v, %v", lent, got.Entries, err)
		}
	}
}
