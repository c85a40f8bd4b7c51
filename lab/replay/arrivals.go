package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/lab/trace"
)

// Parameters of the faults that change the traffic.
const (
	hotFraction    = 0.5  // of all requests, for the hot prefix
	hotTokens      = 8000 // length of the hot document
	overloadFactor = 3    // multiplies the largest organisation's traffic
)

// jobs returns the requests in the order of arrival, with those that the faults
// add or change. The balancer's choice of a daemon is drawn here, so that it is
// the same for all policies.
func (b *bench) jobs() []*job {
	requests := b.requests()
	splitter := b.options.Trace.NewSplitter()
	balancer := rand.New(rand.NewPCG(b.options.Seed, 2))
	jobs := make([]*job, 0, len(requests))
	for i := range requests {
		q := &requests[i]
		p, _ := contract.ParsePriority(q.Priority)
		jobs = append(jobs, &job{
			org: q.Organisation, priority: p, levels: q.Levels(splitter), tokens: q.Tokens(), output: q.Output,
			arrived: startTime.Add(milliseconds(q.AtMS / b.options.Speed)),
			daemon:  b.daemons[balancer.IntN(len(b.daemons))],
			hot:     len(q.Parts) > 1 && q.Parts[1].ID == hotID,
		})
	}
	return jobs
}

const hotID = "hot without warning"

func (b *bench) requests() []trace.Request {
	requests := slices.Clone(b.options.Trace.Requests)
	if slices.Contains(b.options.Faults, FaultOverload) {
		requests = b.addOverload(requests)
	}
	if slices.Contains(b.options.Faults, FaultHotPrefix) {
		b.addHotPrefix(requests)
	}
	return requests
}

// addHotPrefix makes half of the requests after the fault ask for one new
// document.
func (b *bench) addHotPrefix(requests []trace.Request) {
	random := rand.New(rand.NewPCG(b.options.Seed, 4))
	largest := b.options.Trace.Header.Organisations[0].ID
	var preamble trace.Part
	for i := range requests {
		if requests[i].Organisation == largest {
			preamble = requests[i].Parts[0]
			break
		}
	}
	for i := range requests {
		q := &requests[i]
		if startTime.Add(milliseconds(q.AtMS/b.options.Speed)).Before(startTime.Add(b.options.FaultAt)) || random.Float64() >= hotFraction {
			continue
		}
		last := q.Parts[len(q.Parts)-1]
		q.Organisation = largest
		q.Parts = []trace.Part{preamble, {ID: hotID, Tokens: hotTokens}, last}
	}
}

// addOverload repeats the largest organisation's requests after the fault, with
// other last segments, until it sends overloadFactor times its traffic.
func (b *bench) addOverload(requests []trace.Request) []trace.Request {
	random := rand.New(rand.NewPCG(b.options.Seed, 5))
	largest := b.options.Trace.Header.Organisations[0].ID
	const spreadMS = 2000
	var repeats []trace.Request
	for _, q := range requests {
		if q.Organisation != largest || milliseconds(q.AtMS/b.options.Speed) < b.options.FaultAt {
			continue
		}
		for n := range overloadFactor - 1 {
			repeat := q
			repeat.AtMS += random.Float64() * spreadMS
			repeat.Parts = slices.Clone(q.Parts)
			repeat.Parts[len(repeat.Parts)-1].ID += fmt.Sprint(" again ", n)
			repeats = append(repeats, repeat)
		}
	}
	requests = append(requests, repeats...)
	slices.SortStableFunc(requests, func(a, b trace.Request) int {
		if a.AtMS < b.AtMS {
			return -1
		}
		return 1
	})
	return requests
}

func (b *bench) scheduleFaults() {
	at := startTime.Add(b.options.FaultAt)
	for _, f := range b.options.Faults {
		switch f {
		case FaultCrash:
			b.clock.at(at, b.crashBusiestRunner)
		case FaultRestart:
			b.clock.at(at, b.restartDaemons)
		case FaultHotPrefix, FaultOverload:
		}
	}
}

// crashBusiestRunner kills the runner with the longest busy time, and restarts
// it with an empty cache after Downtime.
func (b *bench) crashBusiestRunner() {
	victim := b.runners[0]
	for _, r := range b.runners {
		if r.busyTime > victim.busyTime {
			victim = r
		}
	}
	b.meter.crashed = victim
	for _, j := range victim.crash() {
		victim.unexpect(j)
		b.clock.after(b.delay(j.daemon, victim), func() { j.daemon.failed(j, victim) })
	}
	b.clock.after(b.options.Downtime, victim.restart)
}

func (b *bench) restartDaemons() {
	for _, d := range b.daemons {
		d.start()
	}
}
