package shares

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

const (
	// TickInterval is the interval between two calls of Node.Tick.
	TickInterval = 50 * time.Millisecond

	// maxServices bounds the memory for services that messages name.
	maxServices = 1024
	// serviceIdle is the time after which a service without requests is removed.
	serviceIdle = time.Minute
	// maxCost bounds the cost of one request, in slot-seconds.
	maxCost = 10_000
	// Bounds of weights. The sum of several of 1e308 is infinite, with which all shares are 0.
	// Rate limits in tokens per second are far within them.
	minWeight, maxWeight = 1e-12, 1e15
)

// Node is the state of one daemon. It is not safe for concurrent use.
type Node struct {
	o             Options
	daemons       []Daemon // with an address; this one included
	names         map[string]string
	weights       map[Organisation]float64
	defaultWeight float64
	services      map[Service]*service
	refused       refusals
	avoided       map[string]time.Duration // by address, until
	outbox        []Message
	counters      Counters
	lastTick      time.Duration
}

// Counters counts messages that were discarded.
type Counters struct {
	Malformed   int // not in the format of this release
	Old         int // with a sequence number that is not newer
	Implausible int // with more offered work than there can be
}

// service is the state of one service at one daemon.
type service struct {
	id       Service
	slots    float64
	lastUsed time.Duration
	organisations
	observations
	local   localDecision
	verdict receivedVerdict
	report  reporting
	owner   *ownership // nil unless this daemon is or lately was the owner
}

// NewNode returns a Node that knows no other daemons.
func NewNode(o Options) *Node {
	n := &Node{o: o, defaultWeight: 1, services: map[Service]*service{}, avoided: map[string]time.Duration{}}
	n.SetDaemons(nil)
	return n
}

// SetDaemons replaces the list of all daemons, this one included.
func (n *Node) SetDaemons(all []Daemon) {
	n.daemons = slices.DeleteFunc(slices.Clone(all), func(d Daemon) bool {
		return d.Address == "" || d.Name == n.o.Self.Name
	})
	n.names = make(map[string]string, len(n.daemons))
	for _, d := range n.daemons {
		n.names[d.Address] = d.Name
	}
	n.daemons = append(n.daemons, n.o.Self)
}

// SetWeights replaces the weights of organisations. It returns the organisations whose
// weight is not from minWeight to maxWeight; they have the default. Organisations without a weight,
// and requests without an organisation, have defaultWeight, or 1 if that is invalid.
func (n *Node) SetWeights(weights map[Organisation]float64, defaultWeight float64) (dropped []Organisation) {
	n.weights = make(map[Organisation]float64, len(weights))
	for o, w := range weights {
		if !usableWeight(w) {
			dropped = append(dropped, o)
			continue
		}
		n.weights[o] = w
	}
	n.defaultWeight = 1
	if usableWeight(defaultWeight) {
		n.defaultWeight = defaultWeight
	}
	slices.Sort(dropped)
	return dropped
}

// usableWeight reports whether sums and quotients with a weight stay finite.
func usableWeight(w float64) bool { return w >= minWeight && w <= maxWeight }

func validWeight(w float64) bool { return w > 0 && !math.IsInf(w, 0) }

func (n *Node) weight(o Organisation) float64 {
	if w, ok := n.weights[o]; ok {
		return w
	}
	return n.defaultWeight
}

// SetSlots sets how many requests the usable endpoints of a service serve at once; 0 or an
// invalid number if that is unknown.
func (n *Node) SetSlots(id Service, slots float64) {
	if !validWeight(slots) {
		slots = 0
	}
	if s := n.service(n.lastTick, id); s != nil {
		s.slots = slots
	}
}

// service returns the state of a service, or nil if there are too many services.
func (n *Node) service(now time.Duration, id Service) *service {
	s := n.services[id]
	if s == nil {
		if len(n.services) >= maxServices {
			return nil
		}
		s = &service{id: id, lastUsed: now}
		s.byID = map[Organisation]*organisation{}
		n.services[id] = s
	}
	return s
}

// interval is the time between two reports of a daemon. Up to 256 daemons the owner's
// messages are few; beyond, the interval bounds their rate.
func (n *Node) interval() time.Duration {
	const base, unscaled = 200 * time.Millisecond, 256
	return base * time.Duration(max(unscaled, len(n.daemons))) / unscaled
}

// Observe records how long a request waited at an endpoint.
func (n *Node) Observe(now time.Duration, id Service, w Wait) {
	s := n.service(now, id)
	if s == nil {
		return
	}
	s.lastUsed = now
	s.observe(now, w)
	if !s.local.control.short && s.seemsShort(now) {
		n.enterLocal(now, s)
	}
}

// Tick performs periodic work. It must be called every TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.lastTick = now
	for address, until := range n.avoided {
		if now >= until {
			delete(n.avoided, address)
		}
	}
	for id, s := range n.services {
		if now-s.lastUsed > serviceIdle && s.slots == 0 {
			delete(n.services, id)
		}
	}
	// In a fixed order, so that runs with the same inputs have the same results.
	ids := make([]Service, 0, len(n.services))
	for id := range n.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := n.services[id]
		s.observations.tick(now, s.local.control.short || n.decide(now, s).short)
		s.organisations.tick(now)
		n.tickLocal(now, s)
		n.tickReports(now, s)
		n.tickOwner(now, s)
	}
}

// Short reports whether the service is short of capacity.
func (n *Node) Short(id Service) bool {
	s := n.services[id]
	if s == nil {
		return false
	}
	return n.decide(n.lastTick, s).short
}

// Owner returns the address of the owner of the service. self is true if it is this daemon;
// the address is empty if no other daemon can be reached.
func (n *Node) Owner(now time.Duration, id Service) (address string, self bool) {
	if s := n.services[id]; s != nil && now < s.report.aloneUntil {
		return "", true
	}
	best := n.o.Self
	for _, d := range n.daemons {
		if until, avoided := n.avoided[d.Address]; avoided && now < until {
			continue
		}
		if ownsBefore(id, d, best) {
			best = d
		}
	}
	if best.Name == n.o.Self.Name {
		return "", true
	}
	return best.Address, false
}

// ownsBefore orders daemons by processor capacity and then by a hash, which spreads
// services over daemons and gives the same order on every daemon.
func ownsBefore(id Service, a, b Daemon) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	rank := func(d Daemon) uint64 { return hash.Mix(uint64(id) ^ hash.Text("shares/owner/"+d.Name)) }
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) < 0
}

// Outbox returns the messages to send, and removes them.
func (n *Node) Outbox() []Message {
	out := n.outbox
	n.outbox = nil
	return out
}

// Counters returns the number of messages that were discarded since the start.
func (n *Node) Counters() Counters { return n.counters }

// Status returns the state of the services that are, or were lately, short of capacity.
func (n *Node) Status(now time.Duration) []Status {
	var all []Status
	for _, s := range n.services {
		d := n.decide(now, s)
		if !d.short && !n.reporting(now, s) {
			continue
		}
		st := Status{
			Service: s.id, Short: d.short, Owner: d.owner, Age: d.age, Offered: s.offeredRate(now), Admitted: s.admittedRate(now),
			Capacity: d.capacity, Wait: d.wait,
		}
		if d.short {
			for id, o := range s.byID {
				f := d.fractions(n, now, id, o)
				for p := range f {
					if f[p] < 1 && o.offered[p].rate(now, offeredMean) > 0 {
						st.Limited++
						break
					}
				}
			}
		}
		all = append(all, st)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
