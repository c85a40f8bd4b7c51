package router

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
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
	"github.com/merlindock/merlindock/retry"
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

// estimateKey identifies requests of a similar duration.
type estimateKey struct {
	route string
	kind  int // 0: plain; else 1 + the subpool
}

// routeEstimate is what is known of the duration of a route's requests.
type routeEstimate struct {
	duration average    // seconds in a slot, without the wait
	uncached average    // fraction of the prompt tokens that an engine has to read
	lowest   lowestTime // to the first byte, without the time to read a prompt
}

// average is a moving average that begins with the mean of its first samples.
type average struct {
	value float64
	n     int
}

func (a *average) add(sample float64) {
	a.n++
	a.value += max(1/float64(a.n), costWeight) * (sample - a.value)
}

// lowestTime is the lowest time of the present window and the one before.
type lowestTime struct {
	began             time.Time
	present, previous time.Duration // 0: none
}

// add adds a sample.
func (l *lowestTime) add(now time.Time, sample time.Duration) {
	sample = max(sample, 1)
	switch since := now.Sub(l.began); {
	case since >= 2*lowestWindow:
		l.began, l.present, l.previous = now, 0, 0
	case since >= lowestWindow:
		l.began, l.previous, l.present = l.began.Add(lowestWindow), l.present, 0
	}
	if l.present == 0 || sample < l.present {
		l.present = sample
	}
}

// value returns the lowest time; 0: none was added.
func (l *lowestTime) value() time.Duration {
	if l.previous == 0 || l.present != 0 && l.present < l.previous {
		return l.present
	}
	return l.previous
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

// openRequest is a request under way at an endpoint.
type openRequest struct {
	service   shares.Service
	key       estimateKey
	endpoint  fleet.EndpointID
	placed    time.Time
	objective time.Duration
	readCost  float64       // slot-seconds
	readTime  time.Duration // expected, of the tokens that are not cached
	firstByte time.Duration // from placed; 0: none was received
	waited    time.Duration // part of firstByte
	unobserved
}

// unobserved is an admitted request whose wait was not passed to the node yet.
type unobserved struct {
	req   *forward.PlacementRequest // the same for all attempts of a request
	work  *shares.Work              // nil: the wait was passed on, or the request was not offered
	since time.Time
}

// wait returns the wait of a request that has taken the given time to the first byte, or
// has had none in that time.
func (o *openRequest) wait(e *routeEstimate, took time.Duration) shares.Wait {
	idle := e.lowest.value()
	if idle == 0 {
		idle = took
	}
	idle = min(idle+o.readTime, time.Duration(maxIdleFraction*float64(o.objective)))
	return shares.Wait{Waited: max(0, took-idle), Allowed: o.objective - idle}
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

func objectiveOf(r *routes.Route) time.Duration {
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	return defaultObjective
}

func estimateKeyOf(req *forward.PlacementRequest) estimateKey {
	if req.Service.Engine == nil || req.In.Model == "" {
		return estimateKey{route: req.Route.Name}
	}
	return estimateKey{route: req.Route.Name, kind: 1 + int(subpoolOf(req.In.PromptTokens))}
}

// estimate returns what is known of a kind of requests. The caller must hold mu.
func (a *admission) estimate(key estimateKey) *routeEstimate {
	e := a.estimates[key]
	if e == nil {
		e = &routeEstimate{}
		a.estimates[key] = e
	}
	return e
}

// cost returns the expected endpoint time of a request in slot-seconds, and the part of it
// that reading a prompt takes, before both are scaled. The caller must hold mu.
//
// An engine reads the prompts of its batch one after another, and all its slots wait
// meanwhile.
func (a *admission) cost(req *forward.PlacementRequest, e *routeEstimate) (cost, read float64) {
	cost = defaultCost
	if e.duration.n > 0 {
		cost = e.duration.value
	}
	if req.Service.Engine == nil || req.In.Model == "" {
		return cost, 0
	}
	uncached := 1.0
	if e.uncached.n > 0 {
		uncached = e.uncached.value
	}
	read = float64(max(req.In.PromptTokens, 0)) * uncached / prefillRate * float64(max(req.Service.Engine.Slots, 1))
	return cost + read, read
}

// offer decides on a request of a caller. It returns nil if the request is not subject to
// admission.
func (a *admission) offer(req *forward.PlacementRequest) (*shares.Work, shares.Decision) {
	if req.Attempt > 0 || req.Resuming || req.In.Continues {
		return nil, shares.Decision{Admitted: true}
	}
	w := &shares.Work{
		Service: serviceOf(req), Organisation: shares.OrganisationOf(""), Request: requestHash(req), Objective: objectiveOf(req.Route),
		// Within the share of an organisation, its kinds of requests are served in the order of
		// their routes, whatever the organisation's own priority.
		Priority: int(priorityOf(req.Route.Priority)),
	}
	if req.Organisation != nil {
		w.Organisation = shares.OrganisationOf(req.Organisation.Name)
	}
	known := false
	var d shares.Decision
	a.do(func(now time.Duration) {
		s := a.services[w.Service]
		if known = s != nil; !known {
			return // callers may name any model, for which there would be state
		}
		w.Cost, _ = a.cost(req, a.estimate(estimateKeyOf(req)))
		w.Cost *= s.costFactor()
		d = a.node.Offer(now, w)
	})
	if !known {
		return nil, shares.Decision{Admitted: true}
	}
	name := "share_admitted"
	if !d.Admitted {
		name = "share_refused"
	}
	a.scope.Tagged(map[string]string{"priority": strconv.Itoa(w.Priority)}).Counter(name).Inc(1)
	return w, d
}

// requestHash recognises a request that its caller sends again. It returns 0 if the request
// has no fingerprint.
func requestHash(req *forward.PlacementRequest) uint64 {
	var out uint64
	for _, b := range req.Identity.Request[:8] {
		out = out<<8 | uint64(b)
	}
	return out
}

// refusal returns the error for a request that is not admitted.
func (p *placer) refusal(w *shares.Work, d *shares.Decision) *forward.RefusedError {
	code := codeOverloaded
	if d.Fraction < 1 {
		code = codeOverShare
	}
	after := d.RetryAfter
	if after <= 0 {
		after = p.overloadRetryAfter()
	}
	return &forward.RefusedError{Code: code, RetryAfter: after, Share: &forward.ShareRefusal{
		Priority: w.Priority, Fraction: d.Fraction, Owner: d.Owner, Age: d.Age, Short: d.Short,
	}}
}

// Place implements forward.Placer. A request is placed only if it is admitted.
func (d *dispatchPlacer) Place(ctx context.Context, req *forward.PlacementRequest) (forward.Placement, error) {
	if !d.admission.enabled() {
		return d.placePermitted(ctx, req)
	}
	work, decision := d.admission.offer(req)
	if !decision.Admitted {
		return forward.Placement{}, d.refusal(work, &decision)
	}
	if req.Attempt > 0 {
		work = d.admission.takeRetried(req)
	}
	p, err := d.placePermitted(ctx, req)
	switch {
	case err == nil:
		d.admission.placed(time.Now(), req, &p, work)
	case work != nil:
		d.admission.withdraw(work, err)
	}
	return p, err
}

// withdraw records that an admitted request was not sent to an endpoint. If all endpoints are
// at their limits, it counts as rejected by them.
func (a *admission) withdraw(w *shares.Work, err error) {
	var refused *forward.RefusedError
	atLimits := errors.As(err, &refused) && refused.Code == codeAtLimits
	a.do(func(now time.Duration) {
		a.node.Withdraw(now, w)
		if atLimits {
			a.node.Observe(now, w.Service, shares.Wait{Waited: w.Objective, Allowed: w.Objective, Rejected: true, Retried: true, Cost: w.Cost})
		}
	})
}

// takeRetried returns the work of a request that is placed again; nil: it was observed before.
func (a *admission) takeRetried(req *forward.PlacementRequest) *shares.Work {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.retried[req]
	delete(a.retried, req)
	return u.work
}

// placed records a request that is sent to an endpoint. work is nil if its wait is not
// observed.
func (a *admission) placed(now time.Time, req *forward.PlacementRequest, p *forward.Placement, work *shares.Work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	service := serviceOf(req)
	if !a.active.Load() || a.services[service] == nil {
		return
	}
	key := estimateKeyOf(req)
	e := a.estimate(key)
	if tokens := req.In.PromptTokens; tokens > 0 && key.kind > 0 {
		e.uncached.add(1 - min(float64(p.Cached)/float64(tokens), 1))
	}
	o := &openRequest{service: service, key: key, endpoint: p.Target.Key, placed: now, objective: objectiveOf(req.Route), unobserved: unobserved{req: req, work: work}}
	if key.kind > 0 {
		_, o.readCost = a.cost(req, e)
		o.readTime = time.Duration(float64(max(0, req.In.PromptTokens-p.Cached)) / prefillRate * float64(time.Second))
	}
	a.open[p.ID] = o
}

// answerStarted observes the wait of a request, or that an endpoint rejected it for want of
// capacity.
func (a *admission) answerStarted(now time.Time, p *forward.Placement, info *forward.AnswerInfo, lacksCapacity bool) {
	if !a.enabled() {
		return
	}
	a.do(func(clock time.Duration) {
		o := a.open[p.ID]
		if o == nil || info.Misplaced {
			return
		}
		a.answeredAt[o.endpoint] = now
		if s := a.services[o.service]; s != nil && info.Load != nil {
			s.reportsLoad = true
		}
		if info.NotRun {
			if lacksCapacity && o.work != nil {
				// attemptEnded and retryDecided handle what becomes of the request.
				a.node.Observe(clock, o.service, shares.Wait{Waited: o.objective, Allowed: o.objective, Rejected: true, Retried: true, Cost: o.work.Cost})
			}
			return
		}
		o.firstByte = max(now.Sub(o.placed), 1)
		w := o.wait(a.estimate(o.key), o.firstByte)
		o.waited = w.Waited
		a.observe(clock, o, w)
	})
}

// withoutReports reports whether admission is in use and no endpoint of the placement's
// service has reported its load.
func (a *admission) withoutReports(p *forward.Placement) bool {
	if !a.enabled() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.open[p.ID]
	if o == nil {
		return false
	}
	s := a.services[o.service]
	return s != nil && !s.reportsLoad
}

// observe passes the wait of a request to the node, once. The caller must hold mu.
func (a *admission) observe(now time.Duration, o *openRequest, w shares.Wait) {
	if o.work == nil {
		return
	}
	w.Cost = o.work.Cost
	a.node.Observe(now, o.service, w)
	o.work = nil
}

// attemptEnded updates the estimates by a request that was answered in full. Errors may be
// answered at once.
func (a *admission) attemptEnded(now time.Time, p *forward.Placement, end *forward.AttemptEnd) {
	if !a.enabled() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.open[p.ID]
	delete(a.open, p.ID)
	if o != nil && o.work != nil {
		o.since = now
		if to := a.open[end.MovedTo]; end.MovedTo != 0 && to != nil {
			to.unobserved = o.unobserved
		} else {
			a.failed[p.ID] = o.unobserved
		}
		o.work = nil // observeWaiting may still hold o
	}
	if o == nil || o.firstByte == 0 || !end.Whole || end.Error {
		return
	}
	e := a.estimate(o.key)
	e.lowest.add(now, o.firstByte-o.readTime)
	served := max(0, now.Sub(o.placed)-o.waited).Seconds()
	e.duration.add(served)
	if s := a.services[o.service]; s != nil {
		s.duration.add(served)
		if o.key.kind > 0 {
			s.raw.add(e.duration.value + o.readCost)
		}
	}
}

// DecideRetry implements forward.Placer.
func (d *dispatchPlacer) DecideRetry(r *retry.Request, f retry.FailedAttempt) retry.Decision {
	out := d.placer.DecideRetry(r, f)
	if d.admission.enabled() {
		d.admission.retryDecided(f.Placement, out.Retry)
	}
	return out
}

// retryDecided records whether a request is placed again whose attempt failed before its wait
// was observed. If not, it is withdrawn.
func (a *admission) retryDecided(id uint64, again bool) {
	a.do(func(now time.Duration) {
		u, some := a.failed[id]
		delete(a.failed, id)
		switch {
		case !some:
		case again:
			a.retried[u.req] = u
		default:
			a.node.Withdraw(now, u.work)
		}
	})
}

// withdrawAbandoned withdraws requests whose callers left between two attempts. The caller
// must hold mu.
func (a *admission) withdrawAbandoned(now time.Duration, wall time.Time) {
	for id, u := range a.failed {
		if wall.Sub(u.since) > abandonedAfter {
			a.node.Withdraw(now, u.work)
			delete(a.failed, id)
		}
	}
	for req, u := range a.retried {
		if wall.Sub(u.since) > abandonedAfter {
			a.node.Withdraw(now, u.work)
			delete(a.retried, req)
		}
	}
}

// observeWaiting observes the requests that have had no answer for longer than the allowed
// wait, each once. Those at an endpoint that is lost, ejected or silent are left out.
func (a *admission) observeWaiting(now time.Time) {
	if !a.enabled() {
		return
	}
	var late []*openRequest
	a.mu.Lock()
	for _, o := range a.open {
		if o.work == nil || now.Sub(a.answeredAt[o.endpoint]) > answeringWithin {
			continue
		}
		if w := o.wait(a.estimate(o.key), now.Sub(o.placed)); w.Waited > w.Allowed {
			late = append(late, o)
		}
	}
	a.mu.Unlock()
	if len(late) == 0 {
		return
	}
	a.state.mu.Lock()
	late = slices.DeleteFunc(late, func(o *openRequest) bool {
		return a.state.roster.Find(o.endpoint) == nil || a.state.roster.Unusable(now, o.endpoint)
	})
	a.state.mu.Unlock()
	a.do(func(clock time.Duration) {
		for _, o := range late {
			a.observe(clock, o, o.wait(a.estimate(o.key), now.Sub(o.placed)))
		}
	})
}
