package router

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/routes"
)

// codeOverShare refuses a request of an organisation of whose work only a fraction is
// admitted, as its service is short of capacity.
const codeOverShare = "over_share"

// Intervals and parameters of admission.
const (
	// slotsRefreshTicks is the number of ticks between two updates of the slots, of the
	// metrics and of the state that is logged.
	slotsRefreshTicks = 4
	startTicks        = 20
	// statusLogInterval is the interval of the log lines of a service that is short.
	statusLogInterval = time.Second
	// lowestWindow is the time for which the lowest time to the first byte of a route is
	// kept at least; it is kept for twice as long at most.
	lowestWindow = 10 * time.Second
	// maxIdleFraction bounds the time to the first byte at an idle endpoint, as a fraction of
	// the objective. After a restart under overload, the first answers have all waited.
	maxIdleFraction = 0.5
	// answeringWithin is how recently an endpoint must have answered for requests without
	// an answer to count as waits. One that is silent may have crashed, which says nothing
	// about the load of the others.
	answeringWithin = time.Second
	// abandonedAfter exceeds the pause before a retry.
	abandonedAfter = time.Second
	// defaultObjective and defaultCost are used for a route without a latency objective,
	// and until a request of a route has ended.
	defaultObjective = time.Second
	defaultCost      = 0.1 // slot-seconds
	// costWeight is the least weight of a new sample in the moving averages of costs.
	costWeight = 0.02
)

// admission decides which requests of callers are placed while a service is short of
// capacity. It passes the daemon's observations to a shares.Node, which is created when
// the configuration first requires it.
type admission struct {
	clock   func() time.Duration // boot clock
	state   *state
	scope   tally.Scope
	log     *logging.Logger
	send    func(to string, data []byte)
	random  func() uint64
	self    shares.Daemon
	setting bool // Settings.OverloadControl

	malformedLog lineLimiter

	active atomic.Bool
	wake   chan struct{} // has an element after active was set

	mu         sync.Mutex
	node       *shares.Node // nil: it was never active
	daemons    []shares.Daemon
	services   map[shares.Service]*admittedService
	estimates  map[estimateKey]*routeEstimate
	open       map[uint64]*openRequest                  // by placement ID
	failed     map[uint64]unobserved                    // after an attempt failed, until it is decided whether to retry; by placement ID
	retried    map[*forward.PlacementRequest]unobserved // until it is placed again
	answeredAt map[fleet.EndpointID]time.Time
}

// admittedService is a service, or the engines of one of its models.
type admittedService struct {
	name, model string
	slots       float64
	configured  bool // by the table in force; otherwise listed by an endpoint only
	short       bool // as last logged
	loggedAt    time.Duration
	reportsLoad bool    // some endpoint has reported its load
	raw         average // costs of prompts before they are scaled
	duration    average // seconds of a request in a slot
}

// costFactor returns the factor that makes the sum of the costs of prompts equal the slot time
// that they take. The time that a prompt spends in the batch contains the pauses in which
// prompts of others are read, so that the sum of both terms of the cost counts reading twice.
func (s *admittedService) costFactor() float64 {
	if s.raw.value <= 0 || s.duration.value <= 0 {
		return 1
	}
	return s.duration.value / s.raw.value
}

// newAdmission returns the admission of a daemon without other daemons.
func newAdmission(set *Settings, s *state, clock func() time.Duration, random func() uint64, log *logging.Logger) *admission {
	a := &admission{
		clock: clock, state: s, scope: tally.NoopScope, log: log, send: func(string, []byte) {}, random: random,
		self:    shares.Daemon{Peer: gossip.Peer{Name: set.Name, Address: set.PeerAddress}, Cores: set.Cores},
		setting: set.OverloadControl, wake: make(chan struct{}, 1),
		malformedLog: lineLimiter{perSecond: malformedPerSecond},
		services:     map[shares.Service]*admittedService{}, estimates: map[estimateKey]*routeEstimate{}, open: map[uint64]*openRequest{}, failed: map[uint64]unobserved{}, retried: map[*forward.PlacementRequest]unobserved{}, answeredAt: map[fleet.EndpointID]time.Time{},
	}
	if a.setting {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.activate()
	}
	return a
}

// connect sets how metrics are counted and messages are sent. It must be called before use.
func (a *admission) connect(scope tally.Scope, send func(to string, data []byte)) {
	a.scope, a.send = scope, send
}

// activate creates the node. The caller must hold mu.
func (a *admission) activate() {
	if a.node == nil {
		a.node = shares.NewNode(shares.Options{Self: a.self, Nonce: a.random(), Rand: rand.New(rand.NewPCG(a.random(), a.random()))})
		a.node.SetDaemons(a.daemons)
	}
	a.active.Store(true)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// enabled reports whether admission is in use.
func (a *admission) enabled() bool { return a.active.Load() }

// run performs periodic work until the context ends.
func (a *admission) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if !a.enabled() {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		if pause.Tick(ctx, shares.TickInterval) != nil {
			return
		}
		a.do(func(now time.Duration) { a.node.Tick(now) })
		// A daemon that has just started does not know its endpoints at the first tick.
		if n < startTicks || n%slotsRefreshTicks == 0 {
			a.refresh(time.Now())
		}
	}
}

// do runs a call to the node, and sends the messages that it brought about.
func (a *admission) do(call func(now time.Duration)) {
	a.mu.Lock()
	if a.node == nil {
		a.mu.Unlock()
		return
	}
	call(a.clock())
	out := a.node.Outbox()
	a.mu.Unlock()
	for _, m := range out {
		a.send(m.To, m.Data)
	}
}

// receive passes a message of another daemon to the node.
func (a *admission) receive(from string, data []byte) {
	if !a.enabled() {
		return
	}
	var err error
	a.do(func(now time.Duration) { err = a.node.Receive(now, from, data) })
	if err == nil {
		return
	}
	a.scope.Counter("share_messages_malformed").Inc(1)
	if write, _ := a.malformedLog.allow(time.Now()); write {
		a.log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
	}
}

// Short implements shortage.
func (a *admission) Short(id shares.Service) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node != nil && a.node.Short(id)
}

// Owner implements shortage.
func (a *admission) Owner(now time.Duration, id shares.Service) (address string, self bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.node == nil {
		return "", true
	}
	return a.node.Owner(now, id)
}

// setDaemons replaces the list of daemons.
func (a *admission) setDaemons(all []Neighbour) {
	var list []shares.Daemon
	for _, d := range all {
		if d.Address != "" {
			list = append(list, shares.Daemon{Peer: gossip.Peer{Name: d.Name, Address: d.Address}, Cores: d.Cores})
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = list
	if a.node != nil {
		a.node.SetDaemons(list)
	}
}

// setConfiguration applies the weights and services of a configuration.
func (a *admission) setConfiguration(t *routes.Table) {
	weights, weighted := organisationWeights(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.services {
		s.configured = false
	}
	for name, s := range t.Services {
		switch {
		case s.Store != nil:
		case s.Engine == nil:
			a.service(name, "").configured = true
		default:
			for _, model := range s.Engine.Models {
				a.service(name, model).configured = true
			}
		}
	}
	for key := range a.estimates {
		if !slices.ContainsFunc(t.Routes, func(r routes.Route) bool { return r.Name == key.route }) {
			delete(a.estimates, key)
		}
	}
	if !a.setting && !weighted {
		if a.active.Swap(false) {
			a.state.clearSlotTimes()
		}
		clear(a.open)
		clear(a.failed)
		clear(a.retried)
		return
	}
	a.activate()
	a.node.SetWeights(weights, 1)
}

// service returns the state of a service. The caller must hold mu.
func (a *admission) service(name, model string) *admittedService {
	id := shares.ServiceOf(name, model)
	s := a.services[id]
	if s == nil {
		s = &admittedService{name: name, model: model}
		a.services[id] = s
	}
	return s
}

// organisationWeights returns the weights of the organisations, and whether the
// configuration gives one to any of them. Organisations without have their rate limit as
// weight, in multiples of the mean limit, and those without a limit 1. Limits in tokens and
// in requests cannot be compared: if there are both, none of them counts.
func organisationWeights(t *routes.Table) (weights map[shares.Organisation]float64, weighted bool) {
	organisations := map[string]*routes.Organisation{}
	for _, o := range t.Organisations {
		organisations[o.Name] = o
	}
	sum, limits := 0.0, 0
	units := map[quota.Unit]bool{}
	for _, o := range organisations {
		if o.Limit.PerSecond > 0 {
			sum += o.Limit.PerSecond
			limits++
			units[o.Limit.Unit] = true
		}
	}
	weights = map[shares.Organisation]float64{}
	for name, o := range organisations {
		switch {
		case o.Weight > 0:
			weights[shares.OrganisationOf(name)], weighted = o.Weight, true
		case o.Limit.PerSecond > 0 && len(units) == 1:
			if w := o.Limit.PerSecond / sum * float64(limits); w > 0 && !math.IsInf(w, 0) {
				weights[shares.OrganisationOf(name)] = w
			}
		}
	}
	return weights, weighted
}

// refresh updates the slots of the services and the metrics, and logs the state of the
// services that are short.
func (a *admission) refresh(now time.Time) {
	type target struct{ service, model string }
	slots := map[target]float64{}
	listed := map[fleet.EndpointID]bool{}
	serves := map[fleet.EndpointID][]target{}
	a.state.mu.Lock()
	for key, e := range a.state.roster.All() {
		listed[key] = true
		usable := 0.0
		if !a.state.roster.Unusable(now, key) {
			usable = float64(max(e.Slots, 0))
		}
		if len(e.Models) == 0 {
			slots[target{e.Service, ""}] += usable
			serves[key] = append(serves[key], target{e.Service, ""})
		}
		for model := range e.Models {
			slots[target{e.Service, model}] += usable
			serves[key] = append(serves[key], target{e.Service, model})
		}
	}
	a.state.mu.Unlock()
	a.do(func(clock time.Duration) {
		if !a.active.Load() {
			return // setConfiguration has cleared the slot times since
		}
		for to, n := range slots {
			a.service(to.service, to.model).slots = n
		}
		for id, s := range a.services {
			n, used := slots[target{s.name, s.model}]
			if !used && !s.configured {
				a.node.SetSlots(id, 0)
				delete(a.services, id)
				continue
			}
			s.slots = n
			a.node.SetSlots(id, n)
		}
		for key := range a.answeredAt {
			if !listed[key] {
				delete(a.answeredAt, key)
			}
		}
		for key, all := range serves {
			seconds := 0.0
			for _, to := range all {
				seconds = max(seconds, a.service(to.service, to.model).duration.value)
			}
			a.state.view.SetSlotTime(key, time.Duration(seconds*float64(time.Second)))
		}
		a.withdrawAbandoned(clock, now)
		a.reportStatus(clock)
	})
}

// reportStatus updates the metrics, and logs the services that are short. The caller must
// hold mu.
func (a *admission) reportStatus(now time.Duration) {
	var capacity, wait float64
	short := 0
	for _, s := range a.node.Status(now) {
		capacity += s.Capacity
		wait = max(wait, s.Wait)
		if s.Short {
			short++
		}
		at := a.services[s.Service]
		if at == nil {
			continue // only known at other daemons
		}
		switch {
		case s.Short && !at.short:
			a.log.Info("Service is short of capacity.", "service", at.name, "model", at.model, "slots", at.slots, "owner", s.Owner, "wait", s.Wait)
		case !s.Short && at.short:
			a.log.Info("Service has capacity again.", "service", at.name, "model", at.model, "slots", at.slots, "owner", s.Owner, "wait", s.Wait)
		}
		at.short = s.Short
		if s.Short && now-at.loggedAt >= statusLogInterval {
			at.loggedAt = now
			a.log.Info("Shares of a service that is short of capacity.", "service", at.name, "model", at.model, "owner", s.Owner, "verdict_age_ms", s.Age.Milliseconds(),
				"offered", s.Offered, "admitted", s.Admitted, "capacity", s.Capacity, "slots", at.slots, "wait", s.Wait, "limited", s.Limited)
		}
	}
	a.scope.Gauge("share_capacity").Update(capacity)
	a.scope.Gauge("share_wait").Update(wait)
	a.scope.Gauge("share_short").Update(float64(short))
}

// short reports whether the service that a request is for is short of capacity.
func (a *admission) short(req *forward.PlacementRequest) bool {
	if !a.enabled() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active.Load() && a.node.Short(serviceOf(req))
}

func serviceOf(req *forward.PlacementRequest) shares.Service {
	if req.Service.Engine == nil {
		return shares.ServiceOf(req.Service.Name, "")
	}
	return shares.ServiceOf(req.Service.Name, req.In.Model)
}
