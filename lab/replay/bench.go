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

// maxAttempts bounds how often one request is sent.
const maxAttempts = 4

// job is one request on its way.
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
	reusable int // tokens that some earlier request had

	attempts   int
	avoid      []fleet.EndpointID
	decision   placement.Decision
	importFrom bool
	answered   bool

	runner    *runner
	life      fleet.Incarnation
	cached    int
	left      int // tokens still to prefill
	wasted    int // of those, held by another live runner
	imported  int // tokens from the KV store
	importing time.Duration
	expected  int // what the oracle thinks is left
}

// before tells whether the job goes first in a runner's queue.
func (j *job) before(k *job) bool {
	if j.priority != k.priority {
		return j.priority < k.priority
	}
	return j.id < k.id
}

// bench is one replay.
type bench struct {
	o       Options
	fleet   trace.Fleet
	clock   clock
	runners []*runner
	byID    map[fleet.EndpointID]*runner
	store   *store
	daemons []*daemon
	lost    *rand.Rand
	seen    map[prefix.Key]struct{}
	m       *meter
}

// Run replays a trace. It returns ErrTrace, ErrPolicy or ErrFault for options
// that it cannot replay.
func Run(o Options) (Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return Report{}, err
	}
	b := newBench(o)
	b.load()
	b.periodic()
	b.setFaults()
	b.clock.runAll()
	return b.m.report(b), nil
}

func newBench(o Options) *bench {
	b := &bench{
		o: o, fleet: o.Trace.Header.Fleet, clock: clock{now: start},
		byID: map[fleet.EndpointID]*runner{}, lost: rand.New(rand.NewPCG(o.Seed, 3)),
		seen: map[prefix.Key]struct{}{}, m: newMeter(),
	}
	b.store = newStore(b)
	for i := range b.fleet.Runners {
		r := newRunner(b, fleet.EndpointID(fmt.Sprintf("runner-%02d", i+1)), zoneName(i%b.fleet.Zones))
		b.runners = append(b.runners, r)
		b.byID[r.id] = r
	}
	for i := range o.Daemons {
		d := &daemon{b: b, index: i, zone: zoneName(i % b.fleet.Zones), held: map[uint64]*job{}}
		d.start()
		b.daemons = append(b.daemons, d)
	}
	return b
}

func zoneName(i int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%c", 'a'+i)) }

// members is the platform's list, which names a runner that is down as well.
func (b *bench) members() []fleet.Endpoint {
	var all []fleet.Endpoint
	for _, r := range b.runners {
		all = append(all, fleet.Endpoint{ID: r.id, Zone: r.zone, State: fleet.VMLive})
	}
	return all
}

// load sets the arrival of every request.
func (b *bench) load() {
	for i, j := range b.jobs() {
		j.id = uint64(i + 1)
		b.clock.at(j.arrived, func() { b.arrive(j) })
	}
}

func (b *bench) arrive(j *job) {
	for _, l := range j.levels {
		if _, ok := b.seen[l.Key]; !ok {
			break
		}
		j.reusable = l.Tokens
	}
	for _, l := range j.levels {
		b.seen[l.Key] = struct{}{}
	}
	j.daemon.arrive(j)
}

func (b *bench) periodic() {
	for i, r := range b.runners {
		phase := b.o.ReportEvery * time.Duration(i) / time.Duration(len(b.runners))
		b.clock.every(phase, b.o.ReportEvery, func() { b.sendLoad(r) })
		b.clock.every(phase, b.o.EventEvery, func() { b.sendEvents(r) })
	}
	for _, d := range b.daemons {
		b.clock.every(AdmitInterval, AdmitInterval, d.tick)
		phase := b.o.DigestEvery * time.Duration(d.index+1) / time.Duration(len(b.daemons))
		b.clock.every(phase, b.o.DigestEvery, d.digest)
		b.clock.every(phase, b.o.AnnounceEvery, d.notify)
	}
}

func (b *bench) sendLoad(r *runner) {
	if r.down {
		return
	}
	l := r.load()
	b.clock.push(b.clock.now.Add(b.o.ReportLag), func() {
		for _, d := range b.daemons {
			d.loadReported(r.id, l)
		}
	})
}

func (b *bench) sendEvents(r *runner) {
	batch, ok := r.flush()
	if !ok || r.down {
		return
	}
	b.clock.push(b.clock.now.Add(b.o.EventLag), func() {
		for _, d := range b.daemons {
			if b.lost.Float64() >= b.o.EventLoss {
				d.chooser.events(batch)
			}
		}
	})
}

// delay is the one-way delay between a daemon and a runner.
func (b *bench) delay(d *daemon, r *runner) time.Duration {
	if d.zone == r.zone {
		return 0
	}
	return b.o.ZoneDelay
}

// send gives a job to a runner.
func (b *bench) send(j *job, r *runner) {
	j.attempts++
	j.life = r.life
	r.comes(j)
	b.clock.after(b.delay(j.daemon, r), func() {
		if !r.take(j) {
			r.gone(j)
			b.clock.after(b.delay(j.daemon, r), func() { j.daemon.failed(j, r) })
			return
		}
		b.m.began(b, j)
	})
}

func (b *bench) firstToken(j *job) {
	l := j.runner.load()
	r := j.runner
	b.m.prefilled(j)
	b.clock.after(b.delay(j.daemon, r), func() { j.daemon.firstToken(j, r.id, l) })
}

func (b *bench) finished(j *job) {
	b.clock.after(b.delay(j.daemon, j.runner), func() { j.daemon.finished(j) })
}

// bestElsewhere is the number of levels that the best of the other live
// runners holds.
func (b *bench) bestElsewhere(j *job) int {
	best := 0
	for _, r := range b.runners {
		if r != j.runner && !r.down {
			best = max(best, r.cache.match(j.levels))
		}
	}
	return best
}

// retry places a job again after a failed attempt.
func (b *bench) retry(j *job, r *runner) {
	j.avoid = append(j.avoid, r.id)
	if j.attempts >= maxAttempts {
		b.m.outcome("attempts used up")
		j.daemon.ended(j, 0)
		return
	}
	j.daemon.dispatch(j)
}
