package contract

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func manyShares(n int) []Share {
	shares := make([]Share, n)
	for i := range shares {
		shares[i] = Share{Organisation: OrganisationID(fmt.Sprintf("organisation-%05d", i)), Weight: 1}
	}
	return shares
}

// fullAdmission returns an Admission with n active organisations and all slots taken.
func fullAdmission(n int) (*Admission, []Share) {
	shares := manyShares(n)
	a := NewAdmission(Options{RefreshInterval: time.Hour})
	a.SetContract(epoch, shares)
	a.SetCapacity(epoch, 1e6, 256)
	for i := range n + 256 {
		a.Offer(epoch, Request{ID: RequestID(i), Organisation: shares[i%n].Organisation, Priority: PriorityBatch, Tokens: 1000})
	}
	return a, shares
}

// BenchmarkOfferFinishNext measures a request at a full daemon: Offer, which
// queues or refuses it, Finish of another request, and Next.
func BenchmarkOfferFinishNext(b *testing.B) {
	for _, n := range []int{8, 1000, 11_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			a, shares := fullAdmission(n)
			running := make([]RequestID, 0, 1024)
			for id, e := range a.entries {
				if !e.queued {
					running = append(running, id)
				}
			}
			out := make([]Outcome, 0, 1024)
			id := RequestID(1 << 30)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				d := a.Offer(now, Request{ID: id, Organisation: shares[int(id)%n].Organisation, Priority: Priority(id % 3), Tokens: 1000})
				if d.Verdict == Admitted {
					running = append(running, id)
				}
				if len(running) > 0 {
					a.Finish(now, running[0], 900)
					running = append(running[:0], running[1:]...)
				}
				out = a.Next(now, out[:0])
				for _, o := range out {
					if o.Verdict == Admitted {
						running = append(running, o.ID)
					}
				}
			}
		})
	}
}

// BenchmarkRefresh measures a refresh, which runs twice a second by default, with
// all organisations active and the digests of eight peers.
func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{8, 1000, 11_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			a, _ := fullAdmission(n)
			digest := a.Digest(epoch, false)
			for i := range 8 {
				a.MergeDigest(epoch, daemonID(i), digest)
			}
			wire, _ := digest.AppendBinary(nil)
			b.ReportAllocs()
			for b.Loop() {
				a.refresh()
			}
			b.ReportMetric(float64(len(wire)), "digest-bytes")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures the bytes for an organisation of the contract, the
// additional bytes for an active one, and the bytes for a queued request.
func BenchmarkMemory(b *testing.B) {
	const n, queued = 11_000, 4096
	for b.Loop() {
		shares := manyShares(n)
		base := heap()
		a := NewAdmission(Options{RefreshInterval: time.Hour, IdleTimeout: time.Hour})
		a.SetContract(epoch, shares)
		idle := heap()
		a.SetCapacity(epoch, 1e9, 1e6)
		for i := range n {
			a.Offer(epoch, Request{ID: RequestID(i), Organisation: shares[i].Organisation, Tokens: 1})
		}
		for i := range n {
			a.Finish(epoch, RequestID(i), 1)
		}
		a.entries = map[RequestID]*entry{}
		a.free, a.due.items = nil, nil
		active := heap()
		a.SetCapacity(epoch, 1e9, 1)
		for i := range queued {
			a.Offer(epoch, Request{ID: RequestID(i), Organisation: shares[i].Organisation, Priority: PriorityBatch, Tokens: 1})
		}
		full := heap()
		b.ReportMetric(float64(idle-base)/n, "B/contract-organisation")
		b.ReportMetric(float64(active-idle)/n, "B/active-organisation")
		b.ReportMetric(float64(full-active)/queued, "B/queued-request")
		runtime.KeepAlive(a)
		runtime.KeepAlive(shares)
	}
}
