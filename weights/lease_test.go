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

// The lease holder is suspended and another daemon takes over. When the first one resumes,
// its lease would still look valid by a clock that stopped meanwhile. Two daemons would
// give orders in turn, and engines that do not check fencing tokens would load one version
// after the other.
func TestExpiredHolderMayNotOrder(t *testing.T) {
	l := &log{}
	a, b := NewLease("a", pauseBetween), NewLease("b", pauseBetween)
	if !claim(t, l, a, 0, 1) || !a.MayOrder(0) {
		t.Fatal("a does not hold the lease")
	}
	l.read(b, 100*time.Millisecond)
	if _, ok := b.Claim(5*time.Second, Claim{Nonce: 2}); ok {
		t.Error("b claims before a's last order must have arrived and the pause passed")
	}
	if !claim(t, l, b, 6*time.Second, 2) {
		t.Error("b never takes over")
	}
	if a.MayOrder(6 * time.Second) {
		t.Error("a may still give orders")
	}
	if b.FencingToken() <= a.FencingToken() {
		t.Errorf("token %d after %d", b.FencingToken(), a.FencingToken())
	}
}

// The log accepts one of two simultaneous claims. The daemon of the other must not give
// orders.
func TestConcurrentClaimsHaveOneHolder(t *testing.T) {
	l := &log{}
	a, b := NewLease("a", pauseBetween), NewLease("b", pauseBetween)
	ca, _ := a.Claim(0, Claim{Nonce: 1})
	cb, _ := b.Claim(0, Claim{Nonce: 2})
	if !l.append(a.NextOffset(), ca) || l.append(b.NextOffset(), cb) {
		t.Fatal("the log accepted both claims")
	}
	a.ClaimAppended(0)
	l.read(b, 0)
	if !a.MayOrder(0) || b.MayOrder(0) {
		t.Errorf("held by a %v, by b %v", a.MayOrder(0), b.MayOrder(0))
	}
}

// The answer to a claim is lost and the claim is read back seconds later. The lease must
// count from when the claim was sent: other daemons count from when they read it, and a
// later order could overlap with theirs.
func TestLeaseCountsFromSendingOfClaim(t *testing.T) {
	l := &log{}
	a := NewLease("a", pauseBetween)
	c, _ := a.Claim(0, Claim{Nonce: 1})
	l.append(0, c)
	l.read(a, 2*time.Second)
	if a.MayOrder(2 * time.Second) {
		t.Error("holds for longer than LeaseDuration from the sending")
	}
}

// A daemon that holds the lease is killed and restarts on its VM. It is the holder itself,
// so there is no lease to wait for.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	l := &log{}
	a := NewLease("a", pauseBetween)
	claim(t, l, a, 0, 1)
	again := NewLease("a", pauseBetween)
	l.read(again, time.Second)
	if !claim(t, l, again, time.Second, 2) || !again.MayOrder(time.Second) {
		t.Error("waits for its own lease to end")
	}
	if again.FencingToken() <= a.FencingToken() {
		t.Errorf("token %d after %d", again.FencingToken(), a.FencingToken())
	}
}

// The topic contains an unreadable record. Its writer may be giving orders.
func TestUnreadableRecordDelaysClaim(t *testing.T) {
	a := NewLease("a", pauseBetween)
	a.Observe(0, 0, [][]byte{[]byte("\xff?")})
	if _, ok := a.Claim(time.Second, Claim{Nonce: 1}); ok {
		t.Error("claims at once")
	}
}

// Daemons claim, pause, read late and lose answers at random. Orders of two daemons must
// always be at least the pause apart.
func TestOrdersOfTwoHoldersAreSeparated(t *testing.T) {
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

// The claims that a daemon has not read were deleted from the log. The last of them may
// belong to a holder that is giving orders.
func TestSkippedRecordsDelayClaim(t *testing.T) {
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
