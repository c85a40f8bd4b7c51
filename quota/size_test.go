package quota

import (
	"fmt"
	"testing"
	"time"
)

// maxBytesPerSecond bounds the messages of one daemon. A daemon may send 3 KB/s for all
// exchange with others.
const maxBytesPerSecond = 3000

// With 1100 daemons and 333 organisations at a third of the target request rate, each
// daemon must stay within maxBytesPerSecond, and no organisation may be rejected below
// its limit.
func TestMessageRateOfThousandDaemons(t *testing.T) {
	t.Parallel()
	var rates []float64
	for i := range 333 {
		rates = append(rates, 3e6/float64(1+i)+60_000)
	}
	limits, traffic := organisations(0.55, rates...)
	sim := newSimulation(t, 7, 1100, limits)
	sim.run(700*time.Millisecond, nil)
	began, before := sim.now, sim.bytes
	sim.run(time.Second, traffic)
	each := float64(sim.bytes-before) / (sim.now - began).Seconds() / 1100
	checkWrongRejections(t, sim)
	if each > maxBytesPerSecond {
		t.Errorf("%.0f bytes/s per daemon", each)
	}
}

// BenchmarkAdmitFromBalance measures the common case: the lent tokens suffice.
func BenchmarkAdmitFromBalance(b *testing.B) {
	limits := map[Key]Limit{}
	for i := range 333 {
		limits[KeyOf(fmt.Sprint(i))] = Limit{PerSecond: 1e12, Burst: 1e12, Unit: Tokens}
	}
	sim := newSimulation(b, 1, 1, limits)
	sim.run(time.Second, nil)
	n, key := sim.nodes[0].node, KeyOf("7")
	n.accounts[key].add(1e15)
	n.accounts[key].expiresAt = time.Hour
	done := func(Verdict) {}
	b.ReportAllocs()
	for b.Loop() {
		if v, decided := n.Admit(sim.now, key, 390, 0, done); !decided || !v.Admitted {
			b.Fatal("refused")
		}
	}
}
