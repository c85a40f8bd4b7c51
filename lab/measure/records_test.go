package measure

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/manifest"
)

var organisationCounts = []int{8, 1000, 11_000}

func BenchmarkManifestDecode(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			text, err := EncodeSampleManifest(n)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := manifest.Decode(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}

func BenchmarkManifestCheck(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			text, _ := EncodeSampleManifest(n)
			m, err := manifest.Decode(text)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := manifest.Check(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkManifestDigest(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			text, _ := EncodeSampleManifest(n)
			m, err := manifest.Decode(text)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := manifest.DigestOf(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApplyManifest(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			r, err := NewManifestRecord(n)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if d := ledger.NewState(ledger.Options{}).Apply(r); d[0].Outcome != ledger.Accepted {
					b.Fatal(d)
				}
			}
			b.ReportMetric(float64(len(r.Data)), "bytes/record")
		})
	}
}

func BenchmarkApplySection(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			apply, size, err := SectionApplier(n)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := apply(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes/record")
		})
	}
}

func BenchmarkApplyClaims(b *testing.B) {
	const records = 1000
	for _, each := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("claims=%d", each), func(b *testing.B) {
			list, err := NewClaimRecords(records, each)
			if err != nil {
				b.Fatal(err)
			}
			var state *ledger.Claims
			before := liveHeapBytes()
			for b.Loop() {
				state = ledger.NewClaims(ClaimLayout())
				for _, r := range list {
					state.Apply(r)
				}
			}
			per := float64(records * each)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/per, "ns/claim")
			b.ReportMetric(float64(liveHeapBytes()-before)/per, "heap-B/claim")
			b.ReportMetric(float64(len(list[0].Data))/float64(each), "record-B/claim")
			runtime.KeepAlive(state)
		})
	}
}

func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkApplyLease(b *testing.B) {
	const records = 1000
	list, err := NewLeaseRecords(records)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		l := ledger.NewLeases()
		for _, r := range list {
			l.Apply(r)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/records, "ns/record")
	b.ReportMetric(float64(len(list[1].Data)), "bytes/record")
}

func BenchmarkLogRead(b *testing.B) {
	for b.Loop() {
		idle, one, err := LogReadBytes(220)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(idle), "idle-B")
		b.ReportMetric(float64(one), "one-record-B")
	}
}

// BenchmarkClaims measures, for each batch size, the highest rate of claims and
// then the latency at half that rate.
func BenchmarkClaims(b *testing.B) {
	for _, items := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("batch=%d", items), func(b *testing.B) {
			o := ClaimOptions{Daemons: 9, BatchItems: items, AppendRate: 300, LogDelay: 5 * time.Millisecond, WarmUp: 3 * time.Second, Duration: 5 * time.Second}
			for b.Loop() {
				o.Workers = 16 * o.Daemons * items
				maxRate, err := RunClaims(b.Context(), o)
				if err != nil {
					b.Fatal(err)
				}
				o.Workers, o.Rate = 0, maxRate.ClaimsPerSecond/2
				halfRate, err := RunClaims(b.Context(), o)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(maxRate.ClaimsPerSecond, "claims/s")
				b.ReportMetric(maxRate.AppendsPerSecond, "appends/s")
				b.ReportMetric(float64(maxRate.Refused), "refused")
				b.ReportMetric(halfRate.ClaimsPerSecond, "half-claims/s")
				b.ReportMetric(halfRate.P50.Seconds()*1000, "half-p50-ms")
				b.ReportMetric(halfRate.P99.Seconds()*1000, "half-p99-ms")
				b.ReportMetric(float64(halfRate.Refused), "half-refused")
				b.ReportMetric(halfRate.BytesPerOperation, "record-B/op")
			}
		})
	}
}

// BenchmarkClaimsLowRate measures the latency of claims at 10 calls a second,
// as in a small deployment with few calls with idempotency keys.
func BenchmarkClaimsLowRate(b *testing.B) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		b.Run(fmt.Sprintf("log=%v", delay), func(b *testing.B) {
			for b.Loop() {
				r, err := RunClaims(b.Context(), ClaimOptions{
					Daemons: 9, AppendRate: 300, LogDelay: delay, Rate: 10, WarmUp: time.Second, Duration: 10 * time.Second,
				})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(r.ClaimsPerSecond, "claims/s")
				b.ReportMetric(r.P50.Seconds()*1000, "p50-ms")
				b.ReportMetric(r.P99.Seconds()*1000, "p99-ms")
				b.ReportMetric(r.AppendsPerSecond, "appends/s")
				b.ReportMetric(r.BytesPerOperation, "record-B/op")
			}
		})
	}
}
