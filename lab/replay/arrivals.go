package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/lab/trace"
)

// Shape of the faults that change the traffic.
const (
	hotPart      = 0.5  // of all requests ask for the hot prefix
	hotTokens    = 8000 // of its document
	overloadRate = 3    // times its traffic, for the largest organisation
)

// jobs returns the requests in the order of arrival, with what the faults add.
// The daemon of each is drawn here, so that all policies see the same.
func (b *bench) jobs() []*job {
	requests := b.requests()
	cutter := b.o.Trace.NewCutter()
	balancer := rand.New(rand.NewPCG(b.o.Seed, 2))
	jobs := make([]*job, 0, len(requests))
	for i := range requests {
		q := &requests[i]
		p, _ := contract.ParsePriority(q.Priority)
		jobs = append(jobs, &job{
			org: q.Organisation, priority: p, levels: q.Levels(cutter), tokens: q.Tokens(), output: q.Output,
			arrived: start.Add(milliseconds(q.AtMS / b.o.Speed)),
			daemon:  b.daemons[balancer.IntN(len(b.daemons))],
			hot:     len(q.Parts) > 1 && q.Parts[1].ID == hotID,
		})
	}
	return jobs
}

const hotID = "hot without warning"

func (b *bench) requests() []trace.Request {
	requests := slices.Clone(b.o.Trace.Requests)
	if slices.Contains(b.o.Faults, FaultOverload) {
		requests = b.overload(requests)
	}
	if slices.Contains(b.o.Faults, FaultHotPrefix) {
		b.heat(requests)
	}
	return requests
}

// heat points half of the requests after the fault at one new document.
func (b *bench) heat(requests []trace.Request) {
	random := rand.New(rand.NewPCG(b.o.Seed, 4))
	largest := b.o.Trace.Header.Organisations[0].ID
	var preamble trace.Part
	for i := range requests {
		if requests[i].Organisation == largest {
			preamble = requests[i].Parts[0]
			break
		}
	}
	for i := range requests {
		q := &requests[i]
		if start.Add(milliseconds(q.AtMS/b.o.Speed)).Before(start.Add(b.o.FaultAt)) || random.Float64() >= hotPart {
			continue
		}
		question := q.Parts[len(q.Parts)-1]
		q.Organisation = largest
		q.Parts = []trace.Part{preamble, {ID: hotID, Tokens: hotTokens}, question}
	}
}

// overload repeats the largest organisation's requests with other questions.
func (b *bench) overload(requests []trace.Request) []trace.Request {
	random := rand.New(rand.NewPCG(b.o.Seed, 5))
	largest := b.o.Trace.Header.Organisations[0].ID
	const spreadMS = 2000
	var more []trace.Request
	for _, q := range requests {
		if q.Organisation != largest || milliseconds(q.AtMS/b.o.Speed) < b.o.FaultAt {
			continue
		}
		for n := range overloadRate - 1 {
			again := q
			again.AtMS += random.Float64() * spreadMS
			again.Parts = slices.Clone(q.Parts)
			again.Parts[len(again.Parts)-1].ID += fmt.Sprint(" again ", n)
			more = append(more, again)
		}
	}
	requests = append(requests, more...)
	slices.SortStableFunc(requests, func(a, b trace.Request) int {
		if a.AtMS < b.AtMS {
			return -1
		}
		return 1
	})
	return requests
}

func (b *bench) setFaults() {
	at := start.Add(b.o.FaultAt)
	for _, f := range b.o.Faults {
		switch f {
		case FaultCrash:
			b.clock.at(at, b.crash)
		case FaultRestart:
			b.clock.at(at, b.restart)
		case FaultHotPrefix, FaultOverload:
		}
	}
}

// crash kills the runner that has the most to do.
func (b *bench) crash() {
	victim := b.runners[0]
	for _, r := range b.runners {
		if r.busyFor > victim.busyFor {
			victim = r
		}
	}
	b.m.crashed = victim
	for _, j := range victim.crash() {
		victim.gone(j)
		b.clock.after(b.delay(j.daemon, victim), func() { j.daemon.failed(j, victim) })
	}
	b.clock.after(b.o.Downtime, victim.back)
}

func (b *bench) restart() {
	for _, d := range b.daemons {
		d.start()
	}
}
