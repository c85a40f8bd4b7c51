package weights

import (
	"math/rand/v2"
	"testing"
	"time"
)

// restoredLog is a log that is restored from copies. Its offsets hold the generation, as
// those of package feed.
type restoredLog struct {
	generation int64
	records    [][]byte
}

const generationBits = 40

func (l *restoredLog) position(offset int64) int64 { return offset & (1<<generationBits - 1) }

// read reads all records for a daemon, which may notice by it that the log was restored.
func (l *restoredLog) read(d *Lease, now time.Duration) {
	if d.NextOffset() != 0 && d.NextOffset()>>generationBits < l.generation {
		d.SkipTo(now, l.generation<<generationBits)
	}
	at := l.position(d.NextOffset())
	d.Observe(now, l.generation<<generationBits+at, l.records[at:])
}

// append appends a claim if the position fits, in whichever generation the log is. It
// returns whether the claim was appended in the generation of the offset.
func (l *restoredLog) append(at int64, c Claim) bool {
	if l.position(at) != int64(len(l.records)) {
		return false
	}
	l.records = append(l.records, c.Encode())
	return at>>generationBits == l.generation
}

// Guards against orders of two daemons at a time, and fencing tokens that do not grow, when
// the log is restored from a copy at any moment and the daemons notice it at different
// times, some of them by a claim that is appended in the wrong generation.
func TestOneHolderAcrossRestores(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 5))
		l := &restoredLog{generation: 1}
		daemons := []*Lease{NewLease("a", pauseBetween), NewLease("b", pauseBetween), NewLease("c", pauseBetween)}
		for _, d := range daemons {
			l.read(d, 0)
		}
		now, lastBy, lastAt, lastToken := time.Duration(0), -1, time.Duration(0), int64(0)
		copied := 0
		for step := range 300 {
			now += time.Duration(rng.IntN(700)) * time.Millisecond
			if rng.IntN(20) == 0 {
				copied = len(l.records)
			}
			if rng.IntN(15) == 0 {
				copied = min(copied, len(l.records))
				l.records, l.generation = l.records[:copied:copied], l.generation+1
			}
			i := rng.IntN(len(daemons))
			switch d := daemons[i]; rng.IntN(4) {
			case 0:
				l.read(d, now)
			case 1:
				c, ok := d.Claim(now, Claim{Nonce: seed<<16 + uint64(step)})
				if !ok {
					continue
				}
				if !l.append(d.NextOffset(), c) {
					l.read(d, now)
				} else if rng.IntN(3) > 0 {
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
				if lastBy != i && d.FencingToken() <= lastToken || d.FencingToken() < lastToken {
					t.Fatalf("seed %d: token %d after %d", seed, d.FencingToken(), lastToken)
				}
				lastBy, lastAt, lastToken = i, max(lastAt, arrives), d.FencingToken()
			}
		}
	}
}

// Guards against a lease that is read at an offset beyond the end of a restored log for
// ever, where the store does not tell that it was restored, and against fencing tokens that
// this daemon has seen before.
func TestRewoundLogIsReadAgain(t *testing.T) {
	l := &log{}
	a, b := NewLease("a", pauseBetween), NewLease("b", pauseBetween)
	for i, d := range []*Lease{a, b, a} {
		now := time.Duration(i) * 7 * time.Second
		l.read(d, now-6*time.Second)
		if !claim(t, l, d, now, uint64(i)) {
			t.Fatal("no claim")
		}
	}
	before := a.FencingToken()
	l.records = l.records[:1]
	a.Rewind(30*time.Second, 0)
	l.read(a, 30*time.Second)
	if _, ok := a.Claim(31*time.Second, Claim{Nonce: 8}); ok {
		t.Error("claims at once, though another daemon may have held the lost lease")
	}
	if !claim(t, l, a, 37*time.Second, 9) {
		t.Error("never claims")
	}
	if a.FencingToken() <= before {
		t.Errorf("token %d after %d", a.FencingToken(), before)
	}
}
