package fairness

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/contract"
)

const (
	tick        = 10 * time.Millisecond
	loadEvery   = 500 * time.Millisecond // reports of the endpoints
	digestDelay = 50 * time.Millisecond
)

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// daemon is one daemon of the run.
type daemon struct {
	gate    Admission
	core    *contract.Admission // nil for a baseline
	waiting map[contract.RequestID]*task
	phones  int // waiting interactive requests
	dead    bool
}

// callback is a refused caller that comes again.
type callback struct {
	at    time.Duration
	task  task
	tries int
}

type letter struct {
	at       time.Duration
	from, to int
	digest   contract.Digest
}

// world is one run in progress.
type world struct {
	s       Scenario
	rng     *rand.Rand
	daemons []*daemon
	engines []*fakeEngine
	next    contract.RequestID
	tries   map[contract.RequestID]int
	back    []callback
	letters []letter
	result  *Result
	done    []*task
	out     []contract.Outcome
}

// Run carries the scenario out. The same scenario gives the same result.
func Run(s Scenario) *Result {
	w := &world{s: s, rng: rand.New(rand.NewPCG(s.Seed, 17)), tries: map[contract.RequestID]int{}}
	w.result = newResult(&w.s)
	for range s.Engines.Count {
		w.engines = append(w.engines, &fakeEngine{opts: s.Engines})
	}
	for i := range s.Daemons {
		w.daemons = append(w.daemons, w.newDaemon(i))
	}
	for now := time.Duration(0); now < s.Length; now += tick {
		w.step(now)
	}
	w.result.finish()
	return w.result
}

func (w *world) newDaemon(i int) *daemon {
	d := &daemon{waiting: map[contract.RequestID]*task{}}
	slots := w.s.Engines.Count * w.s.Engines.Slots
	switch w.s.Policy {
	case PolicyOpen:
		d.gate = AdmitAll{}
	case PolicyFIFO:
		d.gate = &FIFO{Slots: slots / w.s.Daemons, MaxQueue: 64}
	case PolicyStatic:
		rates := map[contract.OrganisationID]float64{}
		for _, o := range w.s.Organisations {
			rates[o.ID] = o.Share * w.s.Rate / float64(w.s.Daemons)
		}
		d.gate = &StaticRates{Rates: rates, Burst: 2}
	default:
		d.core = contract.NewAdmission(contract.Options{
			Daemon: daemonID(i), Incarnation: 1, Rand: rand.New(rand.NewPCG(w.s.Seed, uint64(i))),
		})
		var shares []contract.Share
		for _, o := range w.s.Organisations {
			shares = append(shares, contract.Share{Organisation: o.ID, Weight: o.Share})
		}
		d.core.SetContract(epoch, shares)
		d.core.SetCapacity(epoch, w.s.Rate, slots)
		d.core.SetDaemonCount(epoch, w.s.Daemons)
		d.gate = d.core
	}
	return d
}

func daemonID(i int) contract.DaemonID { return contract.DaemonID(fmt.Sprintf("daemon-%d", i)) }

func (w *world) step(now time.Duration) {
	w.fault(now)
	w.control(now)
	w.callers(now)
	w.done = w.done[:0]
	for _, e := range w.engines {
		w.done = e.step(now, tick, w.done)
	}
	for _, t := range w.done {
		w.result.served(t)
		w.daemons[t.daemon].gate.Finish(at(now+tick), t.id, t.tokens)
	}
	for i, d := range w.daemons {
		w.out = d.gate.Next(at(now+tick), w.out[:0])
		for _, o := range w.out {
			w.outcome(now, i, o)
		}
	}
}

func (w *world) fault(now time.Duration) {
	if w.s.CrashedDaemon < 0 || now < w.s.FaultAt || w.daemons[w.s.CrashedDaemon].dead {
		return
	}
	d := w.daemons[w.s.CrashedDaemon]
	d.dead = true
	d.waiting = map[contract.RequestID]*task{}
	for _, e := range w.engines {
		e.running = without(e.running, w.s.CrashedDaemon)
		for p := range e.waiting {
			e.waiting[p] = without(e.waiting[p], w.s.CrashedDaemon)
		}
	}
	d.gate = AdmitAll{}
	d.core = nil
}

func without(tasks []*task, daemon int) []*task {
	rest := tasks[:0]
	for _, t := range tasks {
		if t.daemon != daemon {
			rest = append(rest, t)
		}
	}
	return rest
}

// control brings the endpoints' load reports and the daemons' digests.
func (w *world) control(now time.Duration) {
	if now%loadEvery == 0 {
		load := 0
		for _, e := range w.engines {
			load += e.load()
		}
		w.result.load(now, load)
		for _, d := range w.daemons {
			if d.core != nil {
				d.core.SetLoad(at(now), load, w.s.Engines.Count*w.s.Engines.Slots)
			}
		}
	}
	if w.s.ExpelSilentPeers && w.s.IsolatedDaemon >= 0 && now == w.s.FaultAt+contract.DefaultSilentAfter {
		for i, d := range w.daemons {
			live := w.s.Daemons - 1
			if i == w.s.IsolatedDaemon {
				live = 1
			}
			d.core.SetDaemonCount(at(now), live)
		}
	}
	if w.s.Policy == PolicyContract {
		w.digests(now)
	}
}

func (w *world) digests(now time.Duration) {
	for i, d := range w.daemons {
		// Each daemon sends at its own moment of the period.
		moment := w.s.DigestEvery * time.Duration(i) / time.Duration(w.s.Daemons) / tick * tick
		if d.core == nil || now%w.s.DigestEvery != moment {
			continue
		}
		digest := d.core.Digest(at(now), false)
		wire, err := digest.AppendBinary(nil)
		if err != nil {
			continue
		}
		w.result.DigestBytes = max(w.result.DigestBytes, len(wire))
		parsed, err := contract.ParseDigest(wire)
		if err != nil {
			continue
		}
		for j := range w.daemons {
			if j != i && w.rng.Float64() >= w.s.DigestLoss && !w.cutBetween(now, i, j) {
				w.letters = append(w.letters, letter{at: now + digestDelay, from: i, to: j, digest: parsed})
			}
		}
	}
	rest := w.letters[:0]
	for _, l := range w.letters {
		if l.at > now {
			rest = append(rest, l)
			continue
		}
		if d := w.daemons[l.to]; d.core != nil {
			d.core.MergeDigest(at(now), daemonID(l.from), l.digest)
		}
	}
	w.letters = rest
}

func (w *world) cutBetween(now time.Duration, i, j int) bool {
	return w.s.IsolatedDaemon >= 0 && now >= w.s.FaultAt && (i == w.s.IsolatedDaemon || j == w.s.IsolatedDaemon)
}

// callers makes the requests of this tick.
func (w *world) callers(now time.Duration) {
	for i := range w.s.Organisations {
		o := &w.s.Organisations[i]
		for f := range o.Flows {
			flow := &o.Flows[f]
			for expect := flow.Rate(now) * tick.Seconds(); expect > 0; expect-- {
				if w.rng.Float64() < expect {
					w.offer(now, task{org: i, priority: flow.Priority, prefill: size(w.rng, flow.Prefill), decode: size(w.rng, flow.Decode)}, 0)
				}
			}
		}
	}
	rest := w.back[:0]
	due := []callback{}
	for _, b := range w.back {
		if b.at > now {
			rest = append(rest, b)
		} else {
			due = append(due, b)
		}
	}
	w.back = rest
	for _, b := range due {
		w.offer(now, b.task, b.tries)
	}
}

func (w *world) offer(now time.Duration, t task, tries int) {
	w.next++
	t.id = w.next
	t.daemon = w.chooseDaemon(t.org)
	t.arrived = now
	t.tokens = t.prefill + t.decode
	if tries == 0 {
		t.offered = now
		w.result.offered(now, &t)
	}
	w.tries[t.id] = tries
	d := w.daemons[t.daemon]
	decision := d.gate.Offer(at(now), contract.Request{
		ID: t.id, Organisation: w.s.Organisations[t.org].ID, Priority: t.priority, Tokens: t.tokens,
	})
	d.waiting[t.id] = &t
	if t.priority == contract.PriorityInteractive {
		d.phones++
	}
	w.outcome(now, t.daemon, contract.Outcome{ID: t.id, Decision: decision})
}

func (w *world) outcome(now time.Duration, daemon int, o contract.Outcome) {
	d := w.daemons[daemon]
	t := d.waiting[o.ID]
	if t == nil || o.Verdict == contract.Queued {
		return
	}
	delete(d.waiting, o.ID)
	if t.priority == contract.PriorityInteractive {
		d.phones--
	}
	if o.Verdict == contract.Refused {
		w.result.refused(t, o.Reason)
		w.comeBack(now, t, o.RetryAfter)
		return
	}
	if t.priority == contract.PriorityBatch && d.phones > 0 {
		w.result.passed(now, d.phones)
	}
	w.result.admitted(now, t)
	w.place(t)
}

func (w *world) comeBack(now time.Duration, t *task, after time.Duration) {
	tries := w.tries[t.id]
	delete(w.tries, t.id)
	if tries < w.s.MaxRetries {
		w.back = append(w.back, callback{at: now + after, task: *t, tries: tries + 1})
	}
}

// place takes the less loaded of two engines.
func (w *world) place(t *task) {
	delete(w.tries, t.id)
	a := w.engines[w.rng.IntN(len(w.engines))]
	if b := w.engines[w.rng.IntN(len(w.engines))]; b.load() < a.load() {
		a = b
	}
	a.add(t)
}

func (w *world) chooseDaemon(org int) int {
	spread := w.s.Organisations[org].Spread
	for {
		i := w.rng.IntN(len(w.daemons))
		if len(spread) > 0 {
			i = pick(w.rng, spread)
		}
		if !w.daemons[i].dead {
			return i
		}
	}
}

func pick(rng *rand.Rand, weights []float64) int {
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
