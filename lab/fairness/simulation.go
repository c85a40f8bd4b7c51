package fairness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/contract"
)

const (
	tick         = 10 * time.Millisecond
	loadInterval = 500 * time.Millisecond // of the engines' load reports
	digestDelay  = 50 * time.Millisecond
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func wallTime(d time.Duration) time.Time { return epoch.Add(d) }

// daemon is the state of one daemon.
type daemon struct {
	admission          Admission
	core               *contract.Admission // nil for a baseline
	waiting            map[contract.RequestID]*task
	waitingInteractive int // number of interactive requests in waiting
	crashed            bool
}

// retry is a refused request that is offered again later.
type retry struct {
	at       time.Duration
	task     task
	attempts int
}

// digestMessage is a digest on its way between two daemons.
type digestMessage struct {
	at       time.Duration
	from, to int
	digest   contract.Digest
}

// simulation is the state of a run.
type simulation struct {
	scenario  Scenario
	rng       *rand.Rand
	daemons   []*daemon
	engines   []*fakeEngine
	next      contract.RequestID
	attempts  map[contract.RequestID]int
	retries   []retry
	inTransit []digestMessage
	result    *Result
	done      []*task
	out       []contract.Outcome
}

// Run simulates the scenario and returns its figures. It is deterministic: the
// same scenario gives the same result.
func Run(s Scenario) *Result {
	sim := &simulation{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 17)), attempts: map[contract.RequestID]int{}}
	sim.result = newResult(&sim.scenario)
	for range s.Engines.Count {
		sim.engines = append(sim.engines, &fakeEngine{opts: s.Engines})
	}
	for i := range s.Daemons {
		sim.daemons = append(sim.daemons, sim.newDaemon(i))
	}
	for now := time.Duration(0); now < s.Length; now += tick {
		sim.step(now)
	}
	sim.result.finish()
	return sim.result
}

func (sim *simulation) newDaemon(i int) *daemon {
	d := &daemon{waiting: map[contract.RequestID]*task{}}
	slots := sim.scenario.Engines.Count * sim.scenario.Engines.Slots
	switch sim.scenario.Policy {
	case PolicyOpen:
		d.admission = AdmitAll{}
	case PolicyFIFO:
		d.admission = &FIFO{Slots: slots / sim.scenario.Daemons, MaxQueue: 64}
	case PolicyStatic:
		rates := map[contract.OrganisationID]float64{}
		for _, o := range sim.scenario.Organisations {
			rates[o.ID] = o.Share * sim.scenario.Rate / float64(sim.scenario.Daemons)
		}
		d.admission = &StaticRates{Rates: rates, Burst: 2}
	default:
		d.core = contract.NewAdmission(contract.Options{
			Daemon: daemonID(i), Incarnation: 1, Rand: rand.New(rand.NewPCG(sim.scenario.Seed, uint64(i))),
		})
		var shares []contract.Share
		for _, o := range sim.scenario.Organisations {
			shares = append(shares, contract.Share{Organisation: o.ID, Weight: o.Share})
		}
		d.core.SetContract(epoch, shares)
		d.core.SetCapacity(epoch, sim.scenario.Rate, slots)
		d.core.SetDaemonCount(epoch, sim.scenario.Daemons)
		d.admission = d.core
	}
	return d
}

func daemonID(i int) contract.DaemonID { return contract.DaemonID(fmt.Sprintf("daemon-%d", i)) }

func (sim *simulation) step(now time.Duration) {
	sim.crashDaemon(now)
	sim.deliverReports(now)
	sim.generateRequests(now)
	sim.done = sim.done[:0]
	for _, e := range sim.engines {
		sim.done = e.step(now, tick, sim.done)
	}
	for _, t := range sim.done {
		sim.result.served(t)
		sim.daemons[t.daemon].admission.Finish(wallTime(now+tick), t.id, t.tokens)
	}
	for i, d := range sim.daemons {
		sim.out = d.admission.Next(wallTime(now+tick), sim.out[:0])
		for _, o := range sim.out {
			sim.applyOutcome(now, i, o)
		}
	}
}

func (sim *simulation) crashDaemon(now time.Duration) {
	if sim.scenario.CrashedDaemon < 0 || now < sim.scenario.FaultAt || sim.daemons[sim.scenario.CrashedDaemon].crashed {
		return
	}
	d := sim.daemons[sim.scenario.CrashedDaemon]
	d.crashed = true
	d.waiting = map[contract.RequestID]*task{}
	for _, e := range sim.engines {
		e.running = withoutDaemon(e.running, sim.scenario.CrashedDaemon)
		for p := range e.waiting {
			e.waiting[p] = withoutDaemon(e.waiting[p], sim.scenario.CrashedDaemon)
		}
	}
	d.admission = AdmitAll{}
	d.core = nil
}

func withoutDaemon(tasks []*task, daemon int) []*task {
	kept := tasks[:0]
	for _, t := range tasks {
		if t.daemon != daemon {
			kept = append(kept, t)
		}
	}
	return kept
}

// deliverReports delivers the engines' load reports and the daemons' digests
// that are due.
func (sim *simulation) deliverReports(now time.Duration) {
	if now%loadInterval == 0 {
		load := 0
		for _, e := range sim.engines {
			load += e.requests()
		}
		sim.result.recordLoad(now, load)
		for _, d := range sim.daemons {
			if d.core != nil {
				d.core.SetLoad(wallTime(now), load, sim.scenario.Engines.Count*sim.scenario.Engines.Slots)
			}
		}
	}
	if sim.scenario.ExpelSilentPeers && sim.scenario.IsolatedDaemon >= 0 && now == sim.scenario.FaultAt+contract.DefaultSilentAfter {
		for i, d := range sim.daemons {
			live := sim.scenario.Daemons - 1
			if i == sim.scenario.IsolatedDaemon {
				live = 1
			}
			d.core.SetDaemonCount(wallTime(now), live)
		}
	}
	if sim.scenario.Policy == PolicyContract {
		sim.exchangeDigests(now)
	}
}

func (sim *simulation) exchangeDigests(now time.Duration) {
	for i, d := range sim.daemons {
		// The daemons send in turn, spread over the interval.
		offset := sim.scenario.DigestEvery * time.Duration(i) / time.Duration(sim.scenario.Daemons) / tick * tick
		if d.core == nil || now%sim.scenario.DigestEvery != offset {
			continue
		}
		digest := d.core.Digest(wallTime(now), false)
		wire, err := digest.AppendBinary(nil)
		if err != nil {
			continue
		}
		sim.result.DigestBytes = max(sim.result.DigestBytes, len(wire))
		parsed, err := contract.ParseDigest(wire)
		if err != nil {
			continue
		}
		for j := range sim.daemons {
			if j != i && sim.rng.Float64() >= sim.scenario.DigestLoss && !sim.disconnected(now, i, j) {
				sim.inTransit = append(sim.inTransit, digestMessage{at: now + digestDelay, from: i, to: j, digest: parsed})
			}
		}
	}
	pending := sim.inTransit[:0]
	for _, message := range sim.inTransit {
		if message.at > now {
			pending = append(pending, message)
			continue
		}
		if d := sim.daemons[message.to]; d.core != nil {
			d.core.MergeDigest(wallTime(now), daemonID(message.from), message.digest)
		}
	}
	sim.inTransit = pending
}

func (sim *simulation) disconnected(now time.Duration, i, j int) bool {
	return sim.scenario.IsolatedDaemon >= 0 && now >= sim.scenario.FaultAt && (i == sim.scenario.IsolatedDaemon || j == sim.scenario.IsolatedDaemon)
}

// generateRequests offers the new requests and the due retries of this tick.
func (sim *simulation) generateRequests(now time.Duration) {
	for i := range sim.scenario.Organisations {
		o := &sim.scenario.Organisations[i]
		for f := range o.Flows {
			flow := &o.Flows[f]
			for expect := flow.Rate(now) * tick.Seconds(); expect > 0; expect-- {
				if sim.rng.Float64() < expect {
					sim.offer(now, task{org: i, priority: flow.Priority, prefill: drawTokens(sim.rng, flow.Prefill), decode: drawTokens(sim.rng, flow.Decode)}, 0)
				}
			}
		}
	}
	pending := sim.retries[:0]
	due := []retry{}
	for _, retried := range sim.retries {
		if retried.at > now {
			pending = append(pending, retried)
		} else {
			due = append(due, retried)
		}
	}
	sim.retries = pending
	for _, retried := range due {
		sim.offer(now, retried.task, retried.attempts)
	}
}

func (sim *simulation) offer(now time.Duration, t task, attempts int) {
	sim.next++
	t.id = sim.next
	t.daemon = sim.chooseDaemon(t.org)
	t.arrived = now
	t.tokens = t.prefill + t.decode
	if attempts == 0 {
		t.offered = now
		sim.result.offered(now, &t)
	}
	sim.attempts[t.id] = attempts
	d := sim.daemons[t.daemon]
	decision := d.admission.Offer(wallTime(now), contract.Request{
		ID: t.id, Organisation: sim.scenario.Organisations[t.org].ID, Priority: t.priority, Tokens: t.tokens,
	})
	d.waiting[t.id] = &t
	if t.priority == contract.PriorityInteractive {
		d.waitingInteractive++
	}
	sim.applyOutcome(now, t.daemon, contract.Outcome{ID: t.id, Decision: decision})
}

func (sim *simulation) applyOutcome(now time.Duration, daemon int, o contract.Outcome) {
	d := sim.daemons[daemon]
	t := d.waiting[o.ID]
	if t == nil || o.Verdict == contract.Queued {
		return
	}
	delete(d.waiting, o.ID)
	if t.priority == contract.PriorityInteractive {
		d.waitingInteractive--
	}
	if o.Verdict == contract.Refused {
		sim.result.refused(t, o.Reason)
		sim.scheduleRetry(now, t, o.RetryAfter)
		return
	}
	if t.priority == contract.PriorityBatch && d.waitingInteractive > 0 {
		sim.result.batchAdmitted(now, d.waitingInteractive)
	}
	sim.result.admitted(now, t)
	sim.place(t)
}

func (sim *simulation) scheduleRetry(now time.Duration, t *task, after time.Duration) {
	attempts := sim.attempts[t.id]
	delete(sim.attempts, t.id)
	if attempts < sim.scenario.MaxRetries {
		sim.retries = append(sim.retries, retry{at: now + after, task: *t, attempts: attempts + 1})
	}
}

// place sends the task to the less loaded of two random engines.
func (sim *simulation) place(t *task) {
	delete(sim.attempts, t.id)
	a := sim.engines[sim.rng.IntN(len(sim.engines))]
	if b := sim.engines[sim.rng.IntN(len(sim.engines))]; b.requests() < a.requests() {
		a = b
	}
	a.enqueue(t)
}

func (sim *simulation) chooseDaemon(org int) int {
	spread := sim.scenario.Organisations[org].Spread
	for {
		i := sim.rng.IntN(len(sim.daemons))
		if len(spread) > 0 {
			i = pickWeighted(sim.rng, spread)
		}
		if !sim.daemons[i].crashed {
			return i
		}
	}
}

func pickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, v := range weights {
		sum += v
	}
	x := rng.Float64() * sum
	for i, v := range weights {
		if x -= v; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
