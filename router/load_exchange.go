package router

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/placement/loadtable"
)

const (
	// exchangeAfter is how long load reports are exchanged after a service was short, after
	// a daemon first listed an endpoint of the service, and after its first load report:
	// the balancer may send the first request seconds after the daemon has started.
	exchangeAfter = 2 * time.Second
	// recipientTimeout is how long after its last message a daemon is sent the merged
	// reports, but at least for recipientIntervals intervals.
	recipientTimeout   = time.Second
	recipientIntervals = 2.5
	// maxRecipients bounds the daemons that are sent the merged reports of a service.
	maxRecipients = 4096
	// repeatedIntervals is for how many intervals each report is sent, so that the loss of
	// one message has no effect.
	repeatedIntervals = 2
	// sharedFor is how long after the last merged reports daemons are assumed to know the
	// same loads. If they stopped earlier, all would choose the endpoints that were the
	// least loaded in those reports.
	sharedFor = 2 * time.Second
	// sharedIntervals is the age that a report has at most when the next one of its endpoint
	// arrives: it is sent to the owner within one interval, to all daemons within another,
	// and may be lost once on each way.
	sharedIntervals = 4
	// transitAllowance is added to the age of a received report for its time on the
	// network. An age that is too low would cover reservations that the report does not
	// count.
	transitAllowance = 5 * time.Millisecond
	// tickTolerance is how early a message may be sent, so that a tick that is a little
	// early does not delay it by a whole refreshInterval.
	tickTolerance = refreshInterval / 4
	// malformedPerSecond bounds the log lines of malformed messages.
	malformedPerSecond = 20
)

// shortage states which services are short of capacity, and which daemon is the owner of a
// service.
type shortage interface {
	Short(service shares.Service) bool
	// Owner returns the address of the owner; self is true if it is this daemon. The address
	// is empty if no other daemon can be reached.
	Owner(now time.Duration, service shares.Service) (address string, self bool)
}

// shortageSource is a shortage and whether it is in use.
type shortageSource struct {
	shortage
	active func() bool // nil: always
}

// loadExchange sends the load reports that this daemon receives from endpoints to the owner
// of their service, and merges those of other daemons as an owner. It does so while a
// service is short and after a start; otherwise, and while the owner cannot be reached, a
// daemon knows the loads in the answers to its own requests only.
//
// state.mu is acquired before mu. Calls to the shortage, to placement and of send are made
// without mu.
type loadExchange struct {
	placer  *placer
	state   *state
	clock   func() time.Duration
	log     *logging.Logger
	scope   tally.Scope
	send    func(to string, data []byte)
	daemons func() int
	// sole reports whether this daemon places all long prompts of a model.
	sole         func(service, model string) bool
	malformedLog lineLimiter
	source       atomic.Pointer[shortageSource] // nil: there is no exchange

	mu       sync.Mutex
	services map[shares.Service]*exchangedService
	members  map[fleet.EndpointID]*exchangedEndpoint
}

// exchangedService is the state of the exchange about one service.
type exchangedService struct {
	id          shares.Service
	name, model string
	endpoints   map[loadtable.Key]fleet.EndpointID
	table       *loadtable.Table
	activeUntil time.Duration
	reported    bool // an endpoint has reported its load to this daemon

	sentAt     time.Duration            // last message to the owner
	mergedAt   time.Duration            // last message to the recipients
	receivedAt time.Duration            // last message of the owner
	recipients map[string]time.Duration // time of their last message, by address
}

// exchangedEndpoint is an endpoint with the services that it serves.
type exchangedEndpoint struct {
	service  string
	models   int
	key      loadtable.Key
	services []*exchangedService
}

func newLoadExchange(p *placer, clock func() time.Duration, scope tally.Scope, log *logging.Logger, send func(to string, data []byte)) *loadExchange {
	return &loadExchange{
		placer: p, state: p.state, clock: clock, log: log, scope: scope, send: send,
		daemons: func() int { return 1 }, sole: func(string, string) bool { return false },
		malformedLog: lineLimiter{perSecond: malformedPerSecond},
		services:     map[shares.Service]*exchangedService{}, members: map[fleet.EndpointID]*exchangedEndpoint{},
	}
}

// connect starts the exchange. It takes place while active returns true; nil: always.
func (x *loadExchange) connect(s shortage, active func() bool) {
	x.source.Store(&shortageSource{s, active})
}

// inUse returns the source, or nil while there is no exchange. x may be nil.
func (x *loadExchange) inUse() *shortageSource {
	if x == nil {
		return nil
	}
	s := x.source.Load()
	if s == nil || s.active != nil && !s.active() {
		return nil
	}
	return s
}

// observe records a load that an endpoint reported to this daemon.
func (x *loadExchange) observe(key fleet.EndpointID, l *fleet.Load, age time.Duration) {
	if x.inUse() == nil {
		return
	}
	now := x.clock()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.members[key]
	if e == nil {
		return
	}
	r := loadtable.Report{Key: e.key, Age: age, Load: loadtable.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, DelayPercent: l.DelayPercent}}
	for _, s := range e.services {
		// Where a request waits at an endpoint, others may have free slots.
		if s.table.Observe(now, r) && (!s.reported || l.Waiting > 0) {
			s.reported = true
			s.activeUntil = max(s.activeUntil, now+exchangeAfter)
		}
	}
}

// observeAnswer records the load in an answer. An endpoint that rejects a request although
// it has free slots loads weights, and its load is removed.
func (x *loadExchange) observeAnswer(key fleet.EndpointID, info *forward.AnswerInfo) {
	switch {
	case info.Misplaced:
	case info.NotRun && !reportsFull(info.Load):
		x.remove(key)
	case info.Load != nil:
		x.observe(key, info.Load, 0)
	}
}

// remove removes the load of an endpoint that loads weights. It may be called with state.mu.
func (x *loadExchange) remove(key fleet.EndpointID) {
	if x.inUse() == nil {
		return
	}
	now := x.clock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.members[key]; e != nil {
		for _, s := range e.services {
			s.table.Remove(now, e.key)
		}
	}
}

// current reports whether this daemon has received the merged reports of a service within a
// time, or sent them as the owner.
func (x *loadExchange) current(service, model string, within time.Duration) bool {
	if x.inUse() == nil {
		return false
	}
	id, now := shares.ServiceOf(service, model), x.clock()
	x.mu.Lock()
	s := x.services[id]
	received := s != nil && s.receivedAt > 0 && now-s.receivedAt < within
	collects := s != nil && s.mergedAt > 0 && now-s.mergedAt < within
	x.mu.Unlock()
	return received || collects
}

// sharedWithin returns the age that the load reports of a request's service have when all
// daemons know of the next ones; 0: they are not exchanged.
func (x *loadExchange) sharedWithin(req *forward.PlacementRequest) time.Duration {
	model := ""
	if req.Service.Engine != nil {
		model = req.In.Model
	}
	if !x.current(req.Service.Name, model, sharedFor) {
		return 0
	}
	return sharedIntervals * loadtable.Interval(x.daemons())
}

// updateEndpoints applies changes of the list of endpoints.
func (x *loadExchange) updateEndpoints(now time.Duration) {
	x.state.mu.Lock()
	defer x.state.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	listed := 0
	for key, e := range x.state.roster.All() {
		listed++
		if m := x.members[key]; m == nil || m.service != e.Service || m.models != len(e.Versions) {
			x.forget(key)
			x.add(now, key, e)
		}
	}
	if listed < len(x.members) {
		for key := range x.members {
			if x.state.roster.Find(key) == nil {
				x.forget(key)
			}
		}
	}
	for id, s := range x.services {
		if len(s.endpoints) == 0 {
			delete(x.services, id)
			continue
		}
		s.table.Retain(now, func(k loadtable.Key) bool { return s.endpoints[k] != "" })
	}
}

// add adds an endpoint. mu must be held.
func (x *loadExchange) add(now time.Duration, key fleet.EndpointID, e *directory.Endpoint) {
	m := &exchangedEndpoint{service: e.Service, models: len(e.Versions), key: loadtable.KeyOf(key)}
	x.members[key] = m
	join := func(model string) {
		id := shares.ServiceOf(e.Service, model)
		s := x.services[id]
		if s == nil {
			s = &exchangedService{
				id: id, name: e.Service, model: model, activeUntil: now + exchangeAfter,
				endpoints: map[loadtable.Key]fleet.EndpointID{}, table: loadtable.New(), recipients: map[string]time.Duration{},
			}
			x.services[id] = s
		}
		s.endpoints[m.key] = key
		m.services = append(m.services, s)
	}
	for model := range e.Versions {
		join(model)
	}
	if len(e.Versions) == 0 {
		join("")
	}
}

// forget removes an endpoint. mu must be held.
func (x *loadExchange) forget(key fleet.EndpointID) {
	m := x.members[key]
	if m == nil {
		return
	}
	delete(x.members, key)
	for _, s := range m.services {
		delete(s.endpoints, m.key)
	}
}

// outgoing is a message with its recipients.
type outgoing struct {
	to   []string
	data []byte
}

func (x *loadExchange) sendAll(all []outgoing) {
	for _, m := range all {
		for _, to := range m.to {
			x.send(to, m.data)
		}
	}
}

// tick sends the messages that are due. It must be called every refreshInterval.
func (x *loadExchange) tick() {
	source := x.inUse()
	if source == nil {
		return
	}
	now, daemons := x.clock(), x.daemons()
	x.updateEndpoints(now)
	x.mu.Lock()
	ids := make([]shares.Service, 0, len(x.services))
	for id := range x.services {
		ids = append(ids, id)
	}
	x.mu.Unlock()
	for _, id := range ids {
		short := source.Short(id)
		owner, self := source.Owner(now, id)
		if self {
			owner = ""
		}
		x.mu.Lock()
		var out []outgoing
		if s := x.services[id]; s != nil {
			out = s.due(now, daemons, short, owner)
		}
		x.mu.Unlock()
		x.sendAll(out)
	}
}

// due returns the messages that are due. owner is the address of the owner; empty: there is
// no other daemon.
func (s *exchangedService) due(now time.Duration, daemons int, short bool, owner string) (out []outgoing) {
	if short {
		s.activeUntil = now + exchangeAfter
	}
	interval := loadtable.Interval(daemons)
	window := repeatedIntervals*interval + refreshInterval
	if owner != "" && now < s.activeUntil && now+tickTolerance >= s.sentAt+interval {
		s.sentAt = now
		out = append(out, outgoing{[]string{owner}, s.encode(loadtable.KindObserved, s.table.Observed(now, now-window, loadtable.Entries(loadtable.KindObserved, daemons)))})
	}
	timeout := max(recipientTimeout, time.Duration(recipientIntervals*float64(interval)))
	for address, at := range s.recipients {
		if now-at > timeout {
			delete(s.recipients, address)
		}
	}
	if len(s.recipients) == 0 || now+tickTolerance < s.mergedAt+interval {
		return out
	}
	s.mergedAt = now
	changed := s.table.Changed(now, now-window, loadtable.Entries(loadtable.KindMerged, daemons))
	to := make([]string, 0, len(s.recipients))
	for address := range s.recipients {
		to = append(to, address)
	}
	slices.Sort(to)
	return append(out, outgoing{to, s.encode(loadtable.KindMerged, changed)})
}

func (s *exchangedService) encode(k loadtable.Kind, reports []loadtable.Report) []byte {
	m := loadtable.Message{Kind: k, Service: uint64(s.id), Reports: reports}
	return m.Encode()
}

// receive handles a message of another daemon.
func (x *loadExchange) receive(from string, data []byte) {
	if x.inUse() == nil {
		return
	}
	m, err := loadtable.Decode(data)
	if err != nil {
		x.drop("malformed", 1, from, err.Error())
		return
	}
	if m.Implausible > 0 {
		x.drop("implausible", m.Implausible, from, "load reports are implausible or too old")
	}
	for i := range m.Reports {
		m.Reports[i].Age += transitAllowance
	}
	now, daemons := x.clock(), x.daemons()
	x.mu.Lock()
	s := x.services[shares.Service(m.Service)]
	if s == nil {
		x.mu.Unlock()
		x.scope.Tagged(map[string]string{"reason": "unknown_service"}).Counter("load_messages_dropped").Inc(1)
		return
	}
	known := slices.DeleteFunc(m.Reports, func(r loadtable.Report) bool { return s.endpoints[r.Key] == "" })
	newer := s.table.Merge(now, known)
	keys := make([]fleet.EndpointID, len(newer))
	for i, r := range newer {
		keys[i] = s.endpoints[r.Key]
	}
	var out []outgoing
	if m.Kind == loadtable.KindMerged {
		s.receivedAt = now
	} else {
		out = s.admit(now, daemons, from)
	}
	x.mu.Unlock()
	x.sendAll(out)
	x.apply(s, keys, newer)
}

// drop counts and logs messages or reports that were dropped.
func (x *loadExchange) drop(reason string, n int, from, text string) {
	x.scope.Tagged(map[string]string{"reason": reason}).Counter("load_messages_dropped").Inc(int64(n))
	if write, _ := x.malformedLog.allow(time.Now()); write {
		x.log.Info("Message of another daemon is malformed.", "from", from, "error", text)
	}
}

// admit adds the sender of a message to the recipients of the merged reports. A new one is
// sent all of them at once.
func (s *exchangedService) admit(now time.Duration, daemons int, from string) []outgoing {
	_, known := s.recipients[from]
	if !known && len(s.recipients) >= maxRecipients {
		return nil
	}
	s.recipients[from] = now
	if known {
		return nil
	}
	return []outgoing{{[]string{from}, s.encode(loadtable.KindMerged, s.table.Changed(now, 0, loadtable.Entries(loadtable.KindMerged, daemons)))}}
}

// apply passes loads from other daemons to placement, except those of endpoints that get no
// requests.
func (x *loadExchange) apply(s *exchangedService, keys []fleet.EndpointID, reports []loadtable.Report) {
	if len(keys) == 0 {
		return
	}
	now, sole := time.Now(), x.sole(s.name, s.model)
	for i, r := range reports {
		slots, usable := x.slotsOf(now, keys[i])
		if !usable {
			continue
		}
		if r.Slots > 0 {
			slots = r.Slots
		}
		x.placer.applyRemoteLoad(keys[i], fleet.Load{
			At: now.Add(-r.Age), Running: r.Running, Waiting: r.Waiting, Slots: min(slots, maxBatch), DelayPercent: r.DelayPercent,
		}, sole)
	}
}

// slotsOf returns the listed number of slots of an endpoint, and false if the endpoint gets
// no requests.
func (x *loadExchange) slotsOf(now time.Time, key fleet.EndpointID) (slots int, usable bool) {
	x.state.mu.Lock()
	defer x.state.mu.Unlock()
	e := x.state.roster.Find(key)
	if e == nil || x.state.roster.Unusable(now, key) {
		return 0, false
	}
	return e.Slots, true
}

// updateGauges updates the metrics of the table.
func (x *loadExchange) updateGauges() {
	if x.inUse() == nil {
		return
	}
	now := x.clock()
	x.mu.Lock()
	entries, sum := 0, time.Duration(0)
	for _, s := range x.services {
		n, age := s.table.Stats(now)
		entries += n
		sum += time.Duration(n) * age
	}
	x.mu.Unlock()
	x.scope.Gauge("load_entries").Update(float64(entries))
	x.scope.Gauge("load_entries_age_seconds").Update(sum.Seconds() / float64(max(entries, 1)))
}

// applyRemoteLoad passes a load that another daemon observed to placement, with the same
// estimate of the waiting tokens as for this daemon's own observations. sole states that
// this daemon places all long prompts, which it accounts for by their reservations.
func (p *placer) applyRemoteLoad(key fleet.EndpointID, l fleet.Load, sole bool) {
	if sole {
		l.WaitingTokens = p.estimateWaiting(subpoolShort, max(0, l.Waiting-p.state.view.PendingPrompts(key)))
	} else {
		l.WaitingTokens = p.estimateWaiting(p.subpoolOfEngine(key), l.Waiting)
	}
	p.state.view.LoadReported(key, l)
}

// subpoolOfEngine returns the subpool that an engine belongs to.
func (p *placer) subpoolOfEngine(key fleet.EndpointID) subpool {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	return p.state.roster.Subpool(key)
}
