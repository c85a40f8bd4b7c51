package quota

import (
	"fmt"
	"testing"
	"time"
)

// maxBytesPerSecond is what the messages of limits may take of the 3 KB/s that a daemon has for
// all that it tells others.
const maxBytesPerSecond = 3000

// A thousand daemons and 333 organisations, at a third of the target's requests: what
// each daemon sends must stay within its bytes, and no organisation may be refused below
// its limit.
func TestMessageRateOfThousandDaemons(t *testing.T) {
	t.Parallel()
	var rates []float64
	for i := range 333 {
		rates = append(rates, 3e6/float64(1+i)+60_000)
	}
	limits, traffic := organisations(0.55, rates...)
	w := newWorld(t, 7, 1100, limits)
	w.play(700*time.Millisecond, nil)
	began, before := w.now, w.bytes
	w.play(time.Second, traffic)
	each := float64(w.bytes-before) / (w.now - began).Seconds() / 1100
	checkWrongRefusals(t, w)
	if each > maxBytesPerSecond {
		t.Errorf("%.0f bytes a second and daemon", each)
	}
}

// The path of nearly all requests: tokens are there.
func BenchmarkAdmitFromBalance(b *testing.B) {
	limits := map[Key]Limit{}
	for i := range 333 {
		limits[KeyOf(fmt.Sprint(i))] = Limit{PerSecond: 1e12, Burst: 1e12, Unit: Tokens}
	}
	w := newWorld(b, 1, 1, limits)
	w.play(time.Second, nil)
	n, key := w.nodes[0].node, KeyOf("7")
	n.accounts[key].add(1e15)
	n.accounts[key].expiresAt = time.Hour
	done := func(Verdict) {}
	b.ReportAllocs()
	for b.Loop() {
		if v, decided := n.Admit(w.now, key, 390, done); !decided || !v.Admitted {
			b.Fatal("refused")
		}
	}
}
