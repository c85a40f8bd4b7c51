package shares

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/gossip"
)

const (
	sec     = time.Second
	ms      = time.Millisecond
	tested  = Service(7)
	netTime = 5 * ms // between two daemons
)

// simCaller is one organisation with Poisson arrivals.
type simCaller struct {
	name     string
	priority int
	load     func(now time.Duration) float64 // as a multiple of the slot capacity
	daemon   func(r *rand.Rand, n int) int   // nil: evenly
	cost     float64                         // multiple of the mean request's cost; 0: 1
	// repeat is how often a refused request is sent again: at the time given or, with
	// hasty, after 20 ms.
	repeat int
	hasty  bool
	// request numbers are omitted for callers that cannot be recognised.
	anonymous bool
}

type simEndpoint struct {
	slots, limit int // limit: requests that may wait; negative: any number
	slow         float64
	running      int
	queue        []*simRequest
}

type simRequest struct {
	caller   *simCaller
	stat     *simStat
	daemon   int
	number   uint64
	arrived  time.Duration // first offer
	sent     time.Duration
	attempts int
	observed bool
	cost     time.Duration
}

// simStat counts the requests of an organisation by the slice of time in which they
// were first offered, and the work answered in time in the slice.
type simStat struct {
	offered, admitted, inTime, late, attempts, served int
	work                                              float64 // slot-seconds
}

type simConfig struct {
	daemons, endpoints, slots, limit int
	service                          time.Duration // in a slot
	engine                           bool          // the first byte comes 30 ms after the start
	objective                        time.Duration
	listed                           float64 // slots passed to SetSlots as a multiple; 0: unknown
	callers                          []*simCaller
	seed                             uint64
	unobserved                       float64       // fraction of requests of which nothing is observed
	tickOnly                         bool          // messages are sent at ticks only
	transit                          time.Duration // of a message; 0: netTime
	misjudged                        float64       // the cost passed as a multiple of the true one; 0: 1
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

type sim struct {
	simConfig
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	events    simEvents
	order     int
	nodes     []*Node
	names     []Daemon
	index     map[string]int
	ends      []*simEndpoint
	stats     map[string]map[int]*simStat // by caller, then by slice of 100 ms
	next      uint64
	loss      float64
	cut       map[int]bool // daemons that no other one can reach
	dead      map[int]bool
	bytes     map[int]int // sent, by slice of 100 ms
	perDaemon []int       // bytes sent
	decisions func(i int, r *simRequest, d Decision)
}

func newSim(t *testing.T, c simConfig) *sim {
	s := &sim{
		simConfig: c, t: t, rng: rand.New(rand.NewPCG(c.seed, 1)), index: map[string]int{}, stats: map[string]map[int]*simStat{},
		cut: map[int]bool{}, dead: map[int]bool{}, bytes: map[int]int{}, perDaemon: make([]int, c.daemons),
	}
	for i := range c.daemons {
		d := Daemon{Peer: gossip.Peer{Name: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)}, Cores: 0.5}
		s.names = append(s.names, d)
		s.index[d.Address] = i
	}
	for i := range c.daemons {
		s.nodes = append(s.nodes, nil)
		s.start(i)
		s.at(time.Duration(s.rng.Int64N(int64(TickInterval))), func() { s.tick(i) })
	}
	for range c.endpoints {
		s.ends = append(s.ends, &simEndpoint{slots: c.slots, limit: c.limit, slow: 1})
	}
	for _, k := range c.callers {
		s.stats[k.name] = map[int]*simStat{}
		s.arrive(k)
	}
	return s
}

func (s *sim) start(i int) {
	n := NewNode(Options{Self: s.names[i], Nonce: s.rng.Uint64(), Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 2))})
	n.SetDaemons(s.names)
	s.nodes[i] = n
	s.setSlots(i)
}

func (s *sim) setSlots(i int) {
	slots := 0
	for _, e := range s.ends {
		slots += e.slots
	}
	if len(s.ends) == 0 {
		slots = s.endpoints * s.slots
	}
	if s.listed > 0 {
		s.nodes[i].SetSlots(tested, s.listed*float64(slots))
	}
}

func (s *sim) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, simEvent{max(t, s.now), s.order, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// capacity is the rate of mean requests that the slots serve.
func (s *sim) capacity() float64 {
	return float64(s.endpoints*s.slots) / s.service.Seconds()
}

func (s *sim) tick(i int) {
	if !s.dead[i] {
		s.nodes[i].Tick(s.now)
		s.send(i)
	}
	s.at(s.now+TickInterval, func() { s.tick(i) })
}

func (s *sim) send(i int) {
	for _, m := range s.nodes[i].Outbox() {
		if len(m.Data) > 1400 {
			s.t.Fatalf("a message of %d bytes", len(m.Data))
		}
		s.bytes[int(s.now/(100*ms))] += len(m.Data)
		s.perDaemon[i] += len(m.Data)
		to, ok := s.index[m.To]
		if !ok {
			s.t.Fatalf("a message to %q", m.To)
		}
		if to == i {
			s.t.Fatal("a message to the daemon itself")
		}
		if s.cut[i] || s.cut[to] || s.rng.Float64() < s.loss {
			continue
		}
		transit := s.transit
		if transit == 0 {
			transit = netTime
		}
		s.at(s.now+transit, func() {
			if s.dead[to] || s.cut[to] {
				return
			}
			if err := s.nodes[to].Receive(s.now, s.names[i].Address, m.Data); err != nil {
				s.t.Fatal(err)
			}
			if !s.tickOnly {
				s.send(to)
			}
		})
	}
}

func (s *sim) arrive(k *simCaller) {
	load := k.load(s.now)
	if load <= 0 {
		s.at(s.now+10*ms, func() { s.arrive(k) })
		return
	}
	cost := k.cost
	if cost == 0 {
		cost = 1
	}
	gap := time.Duration(s.rng.ExpFloat64() / (load * s.capacity() / cost) * float64(sec))
	if gap > 100*ms { // the load may change
		s.at(s.now+100*ms, func() { s.arrive(k) })
		return
	}
	s.at(s.now+gap, func() {
		s.next++
		r := &simRequest{caller: k, arrived: s.now, number: s.next}
		if k.daemon != nil {
			r.daemon = k.daemon(s.rng, s.daemons)
		} else {
			r.daemon = s.rng.IntN(s.daemons)
		}
		r.cost = time.Duration(cost * float64(s.service) * (0.8 + 0.4*s.rng.Float64()))
		r.stat = s.slice(k.name)
		r.stat.offered++
		s.offer(r)
		s.arrive(k)
	})
}

// slice returns the counts of the present slice of time.
func (s *sim) slice(caller string) *simStat {
	i := int(s.now / (100 * ms))
	if s.stats[caller][i] == nil {
		s.stats[caller][i] = &simStat{}
	}
	return s.stats[caller][i]
}

func (s *sim) work(r *simRequest) *Work {
	w := &Work{
		Cost: s.trueCost(r), Service: tested, Organisation: OrganisationOf(r.caller.name), Priority: r.caller.priority,
		Request: r.number, Objective: s.objective,
	}
	if s.misjudged > 0 {
		w.Cost *= s.misjudged
	}
	if r.caller.anonymous {
		w.Request = 0
	}
	return w
}

// trueCost is the mean cost of requests of the caller.
func (s *sim) trueCost(r *simRequest) float64 {
	if r.caller.cost > 0 {
		return s.service.Seconds() * r.caller.cost
	}
	return s.service.Seconds()
}

func (s *sim) offer(r *simRequest) {
	for s.dead[r.daemon] {
		r.daemon = (r.daemon + 1) % s.daemons
	}
	r.attempts++
	d := s.nodes[r.daemon].Offer(s.now, s.work(r))
	if s.decisions != nil {
		s.decisions(r.daemon, r, d)
	}
	if !d.Admitted {
		if r.attempts <= r.caller.repeat {
			after := d.RetryAfter
			if r.caller.hasty {
				after = 20 * ms
			}
			s.at(s.now+after, func() { s.offer(r) })
		}
		return
	}
	r.stat.admitted++
	r.sent = s.now
	r.observed = s.rng.Float64() < s.unobserved
	// Of two random endpoints the less loaded one; a rejected request is sent to another one once.
	usable := make([]*simEndpoint, 0, len(s.ends))
	for _, e := range s.ends {
		if e.slots > 0 {
			usable = append(usable, e)
		}
	}
	for attempt := range 2 {
		a, b := usable[s.rng.IntN(len(usable))], usable[s.rng.IntN(len(usable))]
		if float64(b.running+len(b.queue))/float64(b.slots) < float64(a.running+len(a.queue))/float64(a.slots) {
			a = b
		}
		if a.limit >= 0 && a.running >= a.slots && len(a.queue) >= a.limit {
			s.observe(r, Wait{Rejected: true, Retried: attempt == 0, Allowed: s.objective - s.base()}, attempt == 1)
			continue
		}
		a.queue = append(a.queue, r)
		s.serve(a)
		allowed := s.objective - s.base()
		s.at(s.now+s.objective, func() { s.observe(r, Wait{Waited: allowed, Allowed: allowed}, true) })
		return
	}
}

func (s *sim) base() time.Duration {
	if s.engine {
		return 30 * ms
	}
	return s.service
}

// observe passes an observation on; a request is observed once, except for rejections.
func (s *sim) observe(r *simRequest, w Wait, last bool) {
	if r.observed {
		return
	}
	r.observed = last
	if !s.dead[r.daemon] {
		s.nodes[r.daemon].Observe(s.now, tested, w)
	}
}

func (s *sim) serve(e *simEndpoint) {
	for e.running < e.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		took := time.Duration(float64(r.cost) * e.slow)
		first := took
		if s.engine {
			first = time.Duration(30 * float64(ms) * e.slow)
		}
		begun := s.now + first
		s.at(begun, func() {
			waited := max(0, begun-r.sent-s.base())
			s.observe(r, Wait{Waited: waited, Allowed: s.objective - s.base()}, true)
			r.stat.served++
			r.stat.attempts += r.attempts
			if begun-r.sent <= s.objective {
				r.stat.inTime++
				s.slice(r.caller.name).work += s.trueCost(r)
			} else {
				r.stat.late++
			}
		})
		s.at(s.now+took, func() {
			e.running--
			s.serve(e)
		})
	}
}

// sum adds the counts of the requests of a caller first offered in a period; all callers
// for an empty name.
func (s *sim) sum(name string, from, to time.Duration) simStat {
	var sum simStat
	for k, slices := range s.stats {
		if name != "" && k != name {
			continue
		}
		for i, x := range slices {
			if at := time.Duration(i) * 100 * ms; at >= from && at < to {
				sum.offered += x.offered
				sum.admitted += x.admitted
				sum.inTime += x.inTime
				sum.late += x.late
				sum.attempts += x.attempts
				sum.served += x.served
				sum.work += x.work
			}
		}
	}
	return sum
}

// fraction of a caller's requests of a period that were answered in time.
func (s *sim) inTime(name string, from, to time.Duration) float64 {
	x := s.sum(name, from, to)
	return float64(x.inTime) / float64(max(1, x.offered))
}

// used is the work of a period that was answered in time, as a fraction of the capacity.
func (s *sim) used(name string, from, to time.Duration) float64 {
	return s.sum(name, from, to).work / (to - from).Seconds() / float64(s.endpoints*s.slots)
}

func (s *sim) trafficPerDaemon(from, to time.Duration) float64 {
	sum := 0
	for i, b := range s.bytes {
		if at := time.Duration(i) * 100 * ms; at >= from && at < to {
			sum += b
		}
	}
	return float64(sum) / (to - from).Seconds() / float64(s.daemons)
}

func constant(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

// between is a load of x during a period and base otherwise.
func between(from, to time.Duration, x, base float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return x
		}
		return base
	}
}

// mostlyAtOne sends nine tenths of the requests to the first daemon.
func mostlyAtOne(r *rand.Rand, n int) int {
	if r.Float64() < 0.9 {
		return 0
	}
	return r.IntN(n)
}
