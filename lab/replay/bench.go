package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/trace"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// maxAttempts is the number of times that a request is sent at most.
const maxAttempts = 4

// job is the state of one request of a replay.
type job struct {
	id       uint64
	org      contract.OrganisationID
	priority contract.Priority
	levels   []prefix.Level
	tokens   int
	output   int
	arrived  time.Time
	daemon   *daemon
	hot      bool
	reusable int // leading tokens that an earlier request had as well

	attempts  int
	avoid     []fleet.EndpointID
	decision  placement.Decision
	mayImport bool
	answered  bool

	runner      *runner
	incarnation fleet.Incarnation
	cached      int
	remaining   int // tokens still to prefill
	wasted      int // of remaining, cached at another live runner
	imported    int // tokens from the KV store
	importTime  time.Duration
	predicted   int // tokens that the oracle expects to be prefilled
}

// precedes reports whether a runner serves j before k: by priority, then in the
// order of arrival.
func (j *job) precedes(k *job) bool {
	if j.priority != k.priority {
		return j.priority < k.priority
	}
	return j.id < k.id
}

// bench is the state of one replay.
type bench struct {
	options   Options
	fleet     trace.Fleet
	clock     clock
	runners   []*runner
	byID      map[fleet.EndpointID]*runner
	store     *store
	daemons   []*daemon
	eventLoss *rand.Rand
	seenKeys  map[prefix.Key]struct{}
	meter     *meter
}

// Run replays a trace and returns its report. The error is ErrTrace, ErrPolicy
// or ErrFault if the options are not valid.
func Run(o Options) (Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return Report{}, err
	}
	b := newBench(o)
	b.scheduleArrivals()
	b.schedulePeriodic()
	b.scheduleFaults()
	b.clock.run()
	return b.meter.report(b), nil
}

func newBench(o Options) *bench {
	b := &bench{
		options: o, fleet: o.Trace.Header.Fleet, clock: clock{now: startTime},
		byID: map[fleet.EndpointID]*runner{}, eventLoss: rand.New(rand.NewPCG(o.Seed, 3)),
		seenKeys: map[prefix.Key]struct{}{}, meter: newMeter(),
	}
	b.store = newStore(b)
	for i := range b.fleet.Runners {
		r := newRunner(b, fleet.EndpointID(fmt.Sprintf("runner-%02d", i+1)), zoneName(i%b.fleet.Zones))
		b.runners = append(b.runners, r)
		b.byID[r.id] = r
	}
	for i := range o.Daemons {
		d := &daemon{b: b, index: i, zone: zoneName(i % b.fleet.Zones), queued: map[uint64]*job{}}
		d.start()
		b.daemons = append(b.daemons, d)
	}
	return b
}

func zoneName(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%c", 'a'+i)) }

// members returns the platform's list of endpoints, which includes runners that
// are down.
func (b *bench) members() []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, r := range b.runners {
		all = append(all, fleet.Endpoint{ID: r.id, Zone: r.zone, State: fleet.VMLive})
	}
	return all
}

// scheduleArrivals schedules the arrival of every request.
func (b *bench) scheduleArrivals() {
	for i, j := range b.jobs() {
		j.id = uint64(i + 1)
		b.clock.at(j.arrived, func() { b.arrive(j) })
	}
}

func (b *bench) arrive(j *job) {
	for _, l := range j.levels {
		if _, ok := b.seenKeys[l.Key]; !ok {
			break
		}
		j.reusable = l.Tokens
	}
	for _, l := range j.levels {
		b.seenKeys[l.Key] = struct{}{}
	}
	j.daemon.arrive(j)
}

func (b *bench) schedulePeriodic() {
	for i, r := range b.runners {
		phase := b.options.ReportEvery * time.Duration(i) / time.Duration(len(b.runners))
		b.clock.every(phase, b.options.ReportEvery, func() { b.sendLoad(r) })
		b.clock.every(phase, b.options.EventEvery, func() { b.sendEvents(r) })
	}
	for _, d := range b.daemons {
		b.clock.every(AdmitInterval, AdmitInterval, d.tick)
		phase := b.options.DigestEvery * time.Duration(d.index+1) / time.Duration(len(b.daemons))
		b.clock.every(phase, b.options.DigestEvery, d.sendDigest)
		b.clock.every(phase, b.options.AnnounceEvery, d.announce)
	}
}

func (b *bench) sendLoad(r *runner) {
	if r.down {
		return
	}
	l := r.load()
	b.clock.background(b.clock.now.Add(b.options.ReportLag), func() {
		for _, d := range b.daemons {
			d.loadReported(r.id, l)
		}
	})
}

func (b *bench) sendEvents(r *runner) {
	batch, ok := r.takeEvents()
	if !ok || r.down {
		return
	}
	b.clock.background(b.clock.now.Add(b.options.EventLag), func() {
		for _, d := range b.daemons {
			if b.eventLoss.Float64() >= b.options.EventLoss {
				d.chooser.cacheEvents(batch)
			}
		}
	})
}

// delay returns the one-way network delay between a daemon and a runner.
func (b *bench) delay(d *daemon, r *runner) time.Duration {
	if d.zone == r.zone {
		return 0
	}
	return b.options.ZoneDelay
}

// send sends a job to a runner. If the runner is down, the failure reaches the
// daemon after the network delay.
func (b *bench) send(j *job, r *runner) {
	j.attempts++
	j.incarnation = r.incarnation
	r.expect(j)
	b.clock.after(b.delay(j.daemon, r), func() {
		if !r.enqueue(j) {
			r.unexpect(j)
			b.clock.after(b.delay(j.daemon, r), func() { j.daemon.failed(j, r) })
			return
		}
		b.meter.reachedRunner(b, j)
	})
}

func (b *bench) firstToken(j *job) {
	l := j.runner.load()
	r := j.runner
	b.meter.prefilled(j)
	b.clock.after(b.delay(j.daemon, r), func() { j.daemon.firstToken(j, r.id, l) })
}

func (b *bench) finished(j *job) {
	b.clock.after(b.delay(j.daemon, j.runner), func() { j.daemon.finished(j) })
}

// longestMatchElsewhere returns the greatest number of leading levels that any
// other live runner has cached.
func (b *bench) longestMatchElsewhere(j *job) int {
	best := 0
	for _, r := range b.runners {
		if r != j.runner && !r.down {
			best = max(best, r.cache.match(j.levels))
		}
	}
	return best
}

// retry dispatches a job again after a failed attempt, avoiding the runner that
// failed. After maxAttempts the job ends.
func (b *bench) retry(j *job, r *runner) {
	j.avoid = append(j.avoid, r.id)
	if j.attempts >= maxAttempts {
		b.meter.refused("attempts used up")
		j.daemon.ended(j, 0)
		return
	}
	j.daemon.dispatch(j)
}
