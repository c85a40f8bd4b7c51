package placement

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

const (
	benchOrganisations = 11_000
	benchDocuments     = 4 // of each organisation
)

// benchRequests returns one request for every document of every organisation, with a
// preamble, four pieces of document, and a question.
func benchRequests() []Request {
	c := prefix.NewSplitter(prefix.Options{BytesPerToken: 1})
	text := make([]byte, 8000)
	var all []Request
	for o := range benchOrganisations {
		for d := range benchDocuments {
			c.Reset(prefix.Seed{Organisation: contract.OrganisationID(fmt.Sprint("o", o)), Model: "m"})
			c.Write(text[:1000])
			c.EndMessage()
			copy(text, fmt.Sprint("document ", d))
			c.Write(text)
			c.EndMessage()
			c.Write(text[:100])
			c.EndMessage()
			all = append(all, Request{Pool: testPool, Tokens: 9100, Levels: append([]prefix.Level(nil), c.Levels()...)})
		}
	}
	return all
}

// serve places one request, answers it and finishes it.
func serve(v interface {
	Place(time.Time, Request) (Decision, error)
	Answered(time.Time, Answer)
	Finished(time.Time, uint64)
}, now time.Time, r Request, l *fleet.Load,
) {
	d, err := v.Place(now, r)
	if err != nil {
		panic(err)
	}
	l.At = now
	v.Answered(now, Answer{ID: r.ID, Endpoint: d.Endpoint, Incarnation: 1, Levels: r.Levels, Load: l})
	v.Finished(now, r.ID)
}

// warmView returns a View that has served every prefix twice, with a full prefix table.
func warmView(endpoints int, all []Request) (*View, time.Time) {
	v := NewView(Options{Zone: "zone-0", Daemons: 9})
	v.SetPool(testPool, testFleet(endpoints))
	now, load := epoch, fleet.Load{Incarnation: 1, Slots: 64}
	for i := range 2 * len(all) {
		now = now.Add(time.Millisecond)
		r := all[i%len(all)]
		r.ID = uint64(i)
		serve(v, now, r, &load)
		v.Expire(now)
		if i%100 == 0 {
			v.TakeAnnouncements(nil)
		}
	}
	return v, now
}

func BenchmarkPlace(b *testing.B) {
	all := benchRequests()
	for _, n := range []int{18, 500, 4600} {
		v, now := warmView(n, all)
		hot := all[:64*benchDocuments]
		for name, requests := range map[string][]Request{"remembered": hot, "any": all} {
			b.Run(fmt.Sprintf("endpoints=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				var id uint64 = 1 << 40
				for b.Loop() {
					id++
					now = now.Add(time.Millisecond)
					r := requests[id%uint64(len(requests))]
					r.ID = id
					if _, err := v.Place(now, r); err != nil {
						b.Fatal(err)
					}
					v.Finished(now, id)
				}
			})
		}
	}
}

func BenchmarkAnswered(b *testing.B) {
	all := benchRequests()
	v, now := warmView(4600, all)
	load := fleet.Load{Incarnation: 1, Slots: 64}
	b.ReportAllocs()
	var i int
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		load.At = now
		v.Answered(now, Answer{Endpoint: "runner-7", Incarnation: 1, Levels: all[i%len(all)].Levels, Load: &load})
	}
}

func BenchmarkCacheEvents(b *testing.B) {
	all := benchRequests()
	v, now := warmView(18, all)
	batch := EventBatch{Endpoint: "runner-7", Incarnation: 1, Seq: 1, Events: make([]Event, 100)}
	b.ReportAllocs()
	for b.Loop() {
		for i := range batch.Events {
			batch.Events[i].Key = all[(int(batch.Seq)+i)%len(all)].Levels[2].Key
		}
		batch.At = now
		v.CacheEvents(batch)
		batch.Seq += uint64(len(batch.Events))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(batch.Events)), "ns/event")
}

// BenchmarkMembership measures a change of one member together with the next placement of a
// known prefix, which recomputes the rendezvous order.
func BenchmarkMembership(b *testing.B) {
	all := benchRequests()
	v, now := warmView(4600, all)
	members := testFleet(4600)
	b.ReportAllocs()
	var id uint64 = 1 << 40
	for b.Loop() {
		id++
		v.SetPool(testPool, members[:4599+id%2])
		r := all[id%64]
		r.ID = id
		_, _ = v.Place(now, r)
		v.Finished(now, id)
	}
}

// BenchmarkMemory reports the heap used per endpoint, prefix and organisation.
func BenchmarkMemory(b *testing.B) {
	all := benchRequests()
	for b.Loop() {
		before := heap()
		v := NewView(Options{})
		v.SetPool(testPool, testFleet(4600))
		endpoints := heap()
		b.ReportMetric(float64(endpoints-before)/4600, "B/endpoint")
		v2, _ := warmView(4600, all)
		full := heap()
		b.ReportMetric(float64(full-endpoints-(endpoints-before))/float64(len(v2.prefixes.index)), "B/prefix")
		b.ReportMetric(float64(len(v2.prefixes.index)), "prefixes")
		b.ReportMetric(float64(full-endpoints)/benchOrganisations, "B/organisation")
		runtime.KeepAlive(v)
		runtime.KeepAlive(v2)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkShared compares 12 workers with one on the same SharedView. "request" also
// splits the prompt, as a worker does; "table" only places.
func BenchmarkShared(b *testing.B) {
	all := benchRequests()
	text := make([]byte, 4*9100)
	for _, cut := range []bool{false, true} {
		for _, workers := range []int{1, 12} {
			name := map[bool]string{false: "table", true: "request"}[cut]
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				s := NewSharedView(Options{Zone: "zone-0", Daemons: 9})
				s.SetPool(testPool, testFleet(500))
				var next atomic.Uint64
				var group sync.WaitGroup
				for range workers {
					group.Go(func() {
						c := prefix.NewSplitter(prefix.Options{})
						load := fleet.Load{Incarnation: 1, Slots: 64}
						for {
							id := next.Add(1)
							if id > uint64(b.N) {
								return
							}
							if cut {
								c.Reset(prefix.Seed{Organisation: "o", Model: "m"})
								c.Write(text)
								c.EndMessage()
							}
							r := all[id%uint64(len(all))]
							r.ID = id
							serve(s, epoch.Add(time.Duration(id)*time.Millisecond), r, &load)
						}
					})
				}
				group.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}
