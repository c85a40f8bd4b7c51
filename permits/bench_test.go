package permits

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// BenchmarkRequest is what one request at a brittle endpoint costs the daemon that sends it,
// without the owner's part and the kernel.
func BenchmarkRequest(b *testing.B) {
	for _, daemons := range []int{3, 72, 1100} {
		b.Run(fmt.Sprint(daemons, " daemons"), func(b *testing.B) {
			s := newSimulation(1, daemons, 1, 6)
			d, to := s.daemons[0], s.endpoints[0].target()
			answer := Answer{Limit: brittle(5), Load: load(1, 0)}
			b.ReportAllocs()
			for b.Loop() {
				id := d.Ask(s.now, to, 0, 0, func(bool) {})
				if p := d.pending[id]; p != nil {
					d.decided(s.now, p.owner.Address, p.key, id, granted)
				}
				d.Answered(s.now, to, id, answer)
				d.Release(s.now, id, false)
				d.Outbox()
				d.returned = d.returned[:0]
			}
		})
	}
}

// BenchmarkOwner is what one request costs the owner, and BenchmarkTick what a tick costs one
// with many endpoints.
func BenchmarkOwner(b *testing.B) {
	n := known()
	r := report{key: target.key(), answered: true, reports: true, slots: 4, limit: 5}
	b.ReportAllocs()
	for i := ID(1); b.Loop(); i++ {
		n.owner.ask(time.Second, "b:1", &ask{key: r.key, id: 1<<32 + i})
		r.id = 1<<32 + i
		n.owner.report(time.Second, "b:1", &r)
		n.Outbox()
	}
}

func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{10, 10_003} {
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			n := alone()
			for i := range endpoints {
				to := Target{ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "s"}
				n.Answered(time.Second, to, 0, Answer{Limit: brittle(5), Load: load(1, 0)})
			}
			b.ReportAllocs()
			for b.Loop() {
				n.Tick(time.Second)
			}
		})
	}
}
