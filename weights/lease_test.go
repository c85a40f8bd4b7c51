package weights

import (
	"math/rand/v2"
	"testing"
	"time"
)

const pauseBetween = 3 * time.Second

// log is the topic that the daemons of a test share.
type log struct{ records [][]byte }

func (l *log) append(at int64, c Claim) bool {
	if at != int64(len(l.records)) {
		return false
	}
	l.records = append(l.records, c.Encode())
	return true
}

func (l *log) read(d *Lease, now time.Duration) {
	from := d.NextOffset()
	d.Observe(now, from, l.records[from:])
}

func claim(t *testing.T, l *log, d *Lease, now time.Duration, nonce uint64) bool {
	t.Helper()
	c, ok := d.Claim(now, Claim{Nonce: nonce})
	if !ok || !l.append(d.NextOffset(), c) {
		return false
	}
	d.ClaimAppended(now)
	return true
}

// The holder of the lease is frozen and another daemon takes over. When the
// first one wakes it still has a valid looking lease in its memory, by a clock
// that stood still. Two daemons would give orders in turn; the engines, which do
// not check, would load one version after the other.
func TestFrozenHolderDoesNotGiveOrders(t *testing.T) {
	l := &log{}
	a, b := NewLease("a", pauseBetween), NewLease("b", pauseBetween)
	if !claim(t, l, a, 0, 1) || !a.MayOrder(0) {
		t.Fatal("a does not hold")
	}
	l.read(b, 100*time.Millisecond)
	if _, ok := b.Claim(5*time.Second, Claim{Nonce: 2}); ok {
		t.Error("b claims before a's last order must have arrived and the pause passed")
	}
	if !claim(t, l, b, 6*time.Second, 2) {
		t.Error("b never takes over")
	}
	if a.MayOrder(6 * time.Second) {
		t.Error("a still gives orders")
	}
	if b.FencingToken() <= a.FencingToken() {
		t.Errorf("token %d after %d", b.FencingToken(), a.FencingToken())
	}
}

// Of two daemons that claim at once the log takes one. The other must not order.
func TestOneOfTwoClaimsWins(t *testing.T) {
	l := &log{}
	a, b := NewLease("a", pauseBetween), NewLease("b", pauseBetween)
	ca, _ := a.Claim(0, Claim{Nonce: 1})
	cb, _ := b.Claim(0, Claim{Nonce: 2})
	if !l.append(a.NextOffset(), ca) || l.append(b.NextOffset(), cb) {
		t.Fatal("the log took both")
	}
	a.ClaimAppended(0)
	l.read(b, 0)
	if !a.MayOrder(0) || b.MayOrder(0) {
		t.Errorf("held by a %v, by b %v", a.MayOrder(0), b.MayOrder(0))
	}
}

// The answer to a claim is lost, and the claim was appended seconds later. Its
// time must count from when it was sent: others count theirs from when they saw
// it, and an order given late would meet theirs.
func TestLateClaimCountsFromItsSending(t *testing.T) {
	l := &log{}
	a := NewLease("a", pauseBetween)
	c, _ := a.Claim(0, Claim{Nonce: 1})
	l.append(0, c)
	l.read(a, 2*time.Second)
	if a.MayOrder(2 * time.Second) {
		t.Error("holds longer than the span from the sending")
	}
}

// A daemon is killed and starts again on its VM. It was the holder, so there is
// nobody to wait for.
func TestRestartedHolderNeedNotWait(t *testing.T) {
	l := &log{}
	a := NewLease("a", pauseBetween)
	claim(t, l, a, 0, 1)
	again := NewLease("a", pauseBetween)
	l.read(again, time.Second)
	if !claim(t, l, again, time.Second, 2) || !again.MayOrder(time.Second) {
		t.Error("waits for itself")
	}
	if again.FencingToken() <= a.FencingToken() {
		t.Errorf("token %d after %d", again.FencingToken(), a.FencingToken())
	}
}

// A record that nobody here wrote lies in the topic. Its writer may give orders
// for all we know.
func TestUnknownRecordIsWaitedFor(t *testing.T) {
	a := NewLease("a", pauseBetween)
	a.Observe(0, 0, [][]byte{[]byte("\xff?")})
	if _, ok := a.Claim(time.Second, Claim{Nonce: 1}); ok {
		t.Error("claims at once")
	}
}

// Daemons claim, freeze, read late and lose answers at random. Orders of two
// daemons must always lie at least the pause apart.
func TestOrdersOfTwoHoldersLieApart(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		l := &log{}
		daemons := []*Lease{NewLease("a", pauseBetween), NewLease("b", pauseBetween), NewLease("c", pauseBetween)}
		lastBy, lastAt := -1, time.Duration(0)
		now := time.Duration(0)
		for n := range 2000 {
			now += time.Duration(rng.IntN(80)) * time.Millisecond
			i := rng.IntN(len(daemons))
			d := daemons[i]
			switch rng.IntN(4) {
			case 0:
				l.read(d, now)
			case 1:
				sent := now
				c, ok := d.Claim(sent, Claim{Nonce: uint64(n) + 1})
				if !ok {
					continue
				}
				appended := l.append(d.NextOffset(), c)
				now += time.Duration(rng.IntN(300)) * time.Millisecond
				if appended && rng.IntN(3) > 0 {
					d.ClaimAppended(now)
				}
			default:
				if !d.MayOrder(now) {
					continue
				}
				arrives := now + time.Duration(rng.Int64N(int64(OrderTimeout)))
				if lastBy >= 0 && lastBy != i && arrives-lastAt < pauseBetween {
					t.Fatalf("seed %d: orders of two daemons %v apart", seed, arrives-lastAt)
				}
				lastBy, lastAt = i, max(lastAt, arrives)
			}
		}
	}
}

// The claims that a daemon has not read are not kept any more. The last of them
// may be of a holder that gives orders now.
func TestGapIsWaitedFor(t *testing.T) {
	l := &log{records: make([][]byte, 7)}
	a := NewLease("a", pauseBetween)
	a.SkipTo(time.Second, 7)
	if _, ok := a.Claim(2*time.Second, Claim{Nonce: 1}); ok {
		t.Error("claims at once")
	}
	a.SkipTo(6*time.Second, 5)
	if !claim(t, l, a, 7*time.Second, 1) || !a.MayOrder(7*time.Second) {
		t.Error("never claims")
	}
}
