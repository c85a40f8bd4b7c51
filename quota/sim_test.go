package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation simulates daemons, their messages and callers in virtual time, in steps of
// a millisecond.
type simulation struct {
	t           testing.TB
	rng         *rand.Rand
	now         time.Duration
	tol         Tolerance
	limits      map[Key]Limit
	nodes       []*simDaemon
	byAddr      map[string]*simDaemon
	inTransit   map[time.Duration][]packet // by time of arrival
	loss        float64                    // fraction of the messages
	double      float64
	late        float64 // fraction of the messages that arrive up to a second late
	partitioned func(a, b int) bool
	use         map[Key]*history
	bytes       int
	sent        int
	fractions   *fractionLimiter // baseline to compare with; nil: the nodes decide
	// callersRetry makes callers retry rejected requests at the time given, at any daemon.
	callersRetry bool
	retries      map[time.Duration][]func() // by time
	// delay returns the additional delay of a message to a daemon; nil: none.
	delay     func(to *simDaemon) time.Duration
	onVerdict func(key Key, cost float64, v Verdict) // nil: not called
	// longPriority is the priority of long prompts.
	longPriority int
	preferUrgent bool // see Options; setPreferUrgent sets it
	// shortPriority is the priority of short prompts.
	shortPriority int
	// retryAfter replaces the Retry-After by which callersRetry retries; 0: none.
	retryAfter time.Duration
}

type packet struct {
	from string
	to   string
	data []byte
}

// simDaemon is a simulated daemon.
type simDaemon struct {
	index  int
	me     Daemon
	node   *Node
	down   bool
	paused bool
	queue  []packet // received while paused
	skew   time.Duration
}

// history records the requests of an organisation and their verdicts.
type history struct {
	limit           Limit
	admitted        []use // in order of time
	level           float64
	at              time.Duration
	asked           int
	withinLimit     int // requests within the limit, by the use before them
	wronglyRejected int // rejected ones among them
	rejected        int
	waits           []time.Duration
}

type use struct {
	at   time.Duration
	cost float64
}

var tolerance = Tolerance{Overage: 0.1, Slack: 190_000}

const window = 8 * time.Second

func newSimulation(t testing.TB, seed uint64, daemons int, limits map[Key]Limit) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), tol: tolerance, limits: limits, byAddr: map[string]*simDaemon{},
		inTransit: map[time.Duration][]packet{}, use: map[Key]*history{},
		retries: map[time.Duration][]func(){},
	}
	for i := range daemons {
		sim.add(i)
	}
	for _, m := range sim.nodes {
		m.node.SetDaemons(sim.list())
		m.node.SetLimits(0, limits)
	}
	for key, l := range limits {
		sim.use[key] = &history{limit: l, level: l.Burst}
	}
	return sim
}

func (sim *simulation) add(i int) {
	m := &simDaemon{index: i, me: Daemon{Name: fmt.Sprintf("front-%d", i), Address: fmt.Sprintf("10.0.%d.%d:7340", i/200, i%200)}}
	sim.nodes = append(sim.nodes, m)
	sim.byAddr[m.me.Address] = m
	m.node = sim.process(m)
}

func (sim *simulation) process(m *simDaemon) *Node {
	return NewNode(Options{Self: m.me, Tolerance: sim.tol, Nonce: sim.rng.Uint64(), Rand: sim.rng, PreferUrgent: sim.preferUrgent})
}

// setPreferUrgent sets the option at all daemons.
func (sim *simulation) setPreferUrgent() {
	sim.preferUrgent = true
	for _, m := range sim.nodes {
		m.node.o.PreferUrgent = true
	}
}

// restart replaces the process of a daemon by a new one, which gets the list and the
// limits at once.
func (sim *simulation) restart(m *simDaemon) {
	m.node, m.queue, m.down = sim.process(m), nil, false
	m.node.SetDaemons(sim.list())
	m.node.SetLimits(sim.now, sim.limits)
}

func (sim *simulation) list() []Daemon {
	var out []Daemon
	for _, m := range sim.nodes {
		out = append(out, m.me)
	}
	return out
}

// post sends the outgoing messages of a daemon.
func (sim *simulation) post(m *simDaemon) {
	for _, d := range m.node.Outbox() {
		sim.sent++
		sim.bytes += len(d.Data) + 28 // headers of IP and UDP
		to := sim.byAddr[d.To]
		if to == nil || sim.partitioned != nil && sim.partitioned(m.index, to.index) || sim.rng.Float64() < sim.loss {
			continue
		}
		copies := 1
		if sim.rng.Float64() < sim.double {
			copies = 2
		}
		for range copies {
			after := time.Millisecond * time.Duration(1+sim.rng.IntN(3))
			if sim.rng.Float64() < sim.late {
				after += time.Duration(sim.rng.IntN(1000)) * time.Millisecond
			}
			if sim.delay != nil {
				after += sim.delay(to)
			}
			sim.inTransit[sim.now+after] = append(sim.inTransit[sim.now+after], packet{m.me.Address, d.To, d.Data})
		}
	}
}

// step advances the simulation by one millisecond.
func (sim *simulation) step() {
	sim.now += time.Millisecond
	for _, l := range sim.inTransit[sim.now] {
		m := sim.byAddr[l.to]
		switch {
		case m.down:
		case m.paused:
			m.queue = append(m.queue, l)
		default:
			sim.deliver(m, l)
		}
	}
	delete(sim.inTransit, sim.now)
	for _, retry := range sim.retries[sim.now] {
		retry()
	}
	delete(sim.retries, sim.now)
	if sim.fractions != nil {
		sim.fractions.step(sim)
		return
	}
	for _, m := range sim.nodes {
		if m.down || m.paused {
			continue
		}
		every := int64(100)
		if m.node.Waiting() {
			every = 20
		}
		if (sim.now.Milliseconds()+int64(m.index)*7)%every == 0 {
			m.node.Tick(sim.now + m.skew)
			sim.post(m)
		}
	}
}

func (sim *simulation) deliver(m *simDaemon, l packet) {
	if err := m.node.Receive(sim.now+m.skew, l.from, l.data); err != nil {
		sim.t.Fatal(err)
	}
	sim.post(m)
}

func (sim *simulation) resume(m *simDaemon) {
	m.paused = false
	for _, l := range m.queue {
		sim.deliver(m, l)
	}
	m.queue = nil
}

// request sends a request of an organisation to a daemon.
func (sim *simulation) request(m *simDaemon, key Key, tokens int) {
	sim.requestWithPriority(m, key, tokens, 0)
}

func (sim *simulation) requestWithPriority(m *simDaemon, key Key, tokens, priority int) {
	if m.down || m.paused {
		return
	}
	h := sim.use[key]
	h.asked++
	since := sim.now
	done := func(v Verdict) {
		h.verdict(sim.now, sim.now-since, h.limit.Cost(tokens), v)
		if sim.onVerdict != nil {
			sim.onVerdict(key, h.limit.Cost(tokens), v)
		}
		if sim.callersRetry && !v.Admitted {
			after := v.RetryAfter
			if sim.retryAfter > 0 {
				after = sim.retryAfter
			}
			at := sim.now + max(time.Millisecond, after.Truncate(time.Millisecond))
			sim.retries[at] = append(sim.retries[at], func() {
				sim.requestWithPriority(sim.nodes[sim.rng.IntN(len(sim.nodes))], key, tokens, priority)
			})
		}
	}
	if sim.fractions != nil {
		done(Verdict{Admitted: sim.fractions.admit(m.index, key, h.limit.Cost(tokens))})
		return
	}
	if v, decided := m.node.Admit(sim.now+m.skew, key, tokens, priority, done); decided {
		done(v)
	}
	sim.post(m)
}

// verdict records a decision and compares it with that of a single token bucket for
// all requests.
func (h *history) verdict(now, waited time.Duration, cost float64, v Verdict) {
	h.level = min(h.limit.Burst, h.level+h.limit.PerSecond*(now-h.at).Seconds())
	h.at = now
	h.waits = append(h.waits, waited)
	within := h.level >= cost
	if within {
		h.withinLimit++
	}
	if v.Admitted {
		h.level -= cost
		h.admitted = append(h.admitted, use{now, cost})
		return
	}
	h.rejected++
	if within {
		h.wronglyRejected++
	}
}

// peakUse returns the largest use in any window.
func (h *history) peakUse() float64 {
	most, sum, from := 0.0, 0.0, 0
	for i := range h.admitted {
		sum += h.admitted[i].cost
		for h.admitted[i].at-h.admitted[from].at >= window {
			sum -= h.admitted[from].cost
			from++
		}
		most = max(most, sum)
	}
	return most
}

func allowedUse(l Limit, t Tolerance, span time.Duration) float64 {
	return (l.PerSecond*span.Seconds()+l.Burst)*(1+t.Overage) + t.Slack
}

// check fails the test if an organisation used more than allowed in any window.
func (sim *simulation) check() {
	sim.t.Helper()
	for key, h := range sim.use {
		if most, allowed := h.peakUse(), allowedUse(h.limit, sim.tol, window); most > allowed {
			sim.t.Errorf("organisation %x used %.0f in %v, allowed are %.0f", uint64(key), most, window, allowed)
		}
	}
}

// wrongRejections returns the fraction of the requests within the limit that were rejected.
func (sim *simulation) wrongRejections() (fraction float64, lost, owed int) {
	for _, h := range sim.use {
		lost += h.wronglyRejected
		owed += h.withinLimit
	}
	return float64(lost) / float64(max(owed, 1)), lost, owed
}

// demand is the traffic of one organisation: requests of two sizes.
type demand struct {
	key    Key
	long   float64 // requests/s with a long prompt
	short  float64 // requests/s with a short one
	middle float64 // requests/s of 2,000 tokens with priority 1
	plain  float64 // requests/s without a token count
	// at lists the daemons that receive the requests; nil: all.
	at []int
}

// run runs the simulation for the given time with the traffic.
func (sim *simulation) run(span time.Duration, traffic []demand) {
	for end := sim.now + span; sim.now < end; {
		sim.step()
		for i := range traffic {
			d := &traffic[i]
			sim.arrive(d, d.long, sim.longPriority, func() int { return longTokens(sim.rng) })
			sim.arrive(d, d.short, sim.shortPriority, func() int { return 390 })
			sim.arrive(d, d.middle, 1, func() int { return 2000 })
			sim.arrive(d, d.plain, 0, func() int { return -1 })
		}
	}
}

func (sim *simulation) arrive(d *demand, perSecond float64, priority int, tokens func() int) {
	for expected := perSecond / 1000; expected > 0; expected-- {
		if sim.rng.Float64() >= expected {
			return
		}
		at := sim.rng.IntN(len(sim.nodes))
		if d.at != nil {
			at = d.at[sim.rng.IntN(len(d.at))]
		}
		sim.requestWithPriority(sim.nodes[at], d.key, tokens(), priority)
	}
}

// longTokens draws the size of a long prompt, 17,000 tokens on average.
func longTokens(rng *rand.Rand) int { return 3000 + rng.IntN(28_000) }

// organisations returns limits of the given rates in tokens/s, with a burst of one
// second, and traffic that uses the given fraction of them.
func organisations(used float64, rates ...float64) (map[Key]Limit, []demand) {
	limits := map[Key]Limit{}
	var traffic []demand
	for i, rate := range rates {
		key := KeyOf(fmt.Sprintf("org-%d", i))
		limits[key] = Limit{PerSecond: rate, Burst: rate, Unit: Tokens, DefaultCost: 200}
		// A long prompt has 17,000 tokens, and six short ones of 390 come with it.
		long := used * rate / (17_000 + 6*390)
		traffic = append(traffic, demand{key: key, long: long, short: 6 * long})
	}
	return limits, traffic
}

func scaleTraffic(traffic []demand, x float64) []demand {
	var out []demand
	for _, d := range traffic {
		d.long, d.short = d.long*x, d.short*x
		out = append(out, d)
	}
	return out
}
