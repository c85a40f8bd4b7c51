package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/streamorigin"
	"github.com/merlindock/merlindock/weights"
)

// Timeouts and limits for dispatching.
const (
	// dispatchTimeout is how long a daemon waits for the dispatcher's answer before it
	// places the prompt itself.
	dispatchTimeout = 30 * time.Millisecond
	// dispatcherAvoidance is how long a dispatcher that did not answer is avoided.
	dispatcherAvoidance = 2 * time.Second
	// enginesPerDispatcher is the maximum number of engines that one dispatcher
	// handles.
	enginesPerDispatcher = 256
	// beginTimeoutSlack is how much longer than expected the beginning of an answer may
	// take before a placement is considered ended. In that case the message about its
	// end was lost.
	beginTimeoutSlack = time.Second
	// maxLoadRecipients bounds the daemons that receive load messages: those that are
	// first in line as dispatchers. The others receive the same updates with the lease.
	maxLoadRecipients = 128
	// maxLoadsPerMessage bounds the engines in one load message.
	maxLoadsPerMessage = 8
	// maxAvoidedDispatchers is the number of avoided dispatchers from which a daemon
	// assumes that it is cut off itself and places prompts on its own.
	maxAvoidedDispatchers = 3
)

// dispatchPlacer implements forward.Placer. It lets one daemon, the dispatcher, place
// all long prompts of a model.
//
// Without a dispatcher, dozens of daemons each place a few long prompts a second, and
// none knows of the others' prompts until an engine reports its load. An engine reads
// one prompt at a time, for a tenth of a second or more. When two daemons choose the
// same engine, both answers are late while other engines are idle. The dispatcher is an
// optimisation only: any daemon can act as one, and a daemon that gets no answer places
// the prompt itself.
type dispatchPlacer struct {
	*placer
	self  Neighbour
	state *state
	clock func() time.Duration
	log   *logging.Logger
	send  func(to string, data []byte)

	mu             sync.Mutex
	daemons        []Neighbour
	avoidedUntil   map[string]time.Duration // by address, boot clock
	pendingAnswers map[uint64]chan placedMessage
	open           map[placementKey]*openPlacement // placed for other daemons
	observedLoads  map[fleet.EndpointID]observedLoad
}

// placementKey identifies a placement made for another daemon.
type placementKey struct {
	from string
	id   uint64
}

// openPlacement is a placement made for another daemon. It is considered ended when
// until has passed.
type openPlacement struct {
	forward.Placement
	until time.Time
}

func newDispatchPlacer(me Neighbour, s *state, p *placer, clock func() time.Duration, log *logging.Logger, send func(string, []byte)) *dispatchPlacer {
	return &dispatchPlacer{
		placer: p, self: me, state: s, clock: clock, log: log, send: send,
		avoidedUntil: map[string]time.Duration{}, pendingAnswers: map[uint64]chan placedMessage{}, open: map[placementKey]*openPlacement{}, observedLoads: map[fleet.EndpointID]observedLoad{},
	}
}

// sendLoads sends other daemons the engines that are about to load new weights or have
// finished. The lease carries the same updates up to a second later, and until then
// prompts sent to a loading engine would be rejected.
func (d *dispatchPlacer) sendLoads(updates []weights.EngineUpdate) {
	d.mu.Lock()
	all := d.daemons[:min(len(d.daemons), maxLoadRecipients)]
	d.mu.Unlock()
	for chunk := range slices.Chunk(updates, maxLoadsPerMessage) {
		for _, n := range all {
			if n.Name != d.self.Name {
				d.sendMessage(n.Address, kindLoads, chunk)
			}
		}
	}
}

// setDaemons replaces the list of daemons.
func (d *dispatchPlacer) setDaemons(all []Neighbour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemons = slices.DeleteFunc(slices.Clone(all), func(n Neighbour) bool { return n.Address == "" })
	slices.SortFunc(d.daemons, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
}

// dispatcher returns the daemon that places the prompts of a group. It returns false if
// this daemon should place them on its own.
func (d *dispatchPlacer) dispatcher(group string) (Neighbour, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case len(d.daemons) == 0:
		return Neighbour{}, false
	case len(d.daemons) == 1:
		return d.self, d.daemons[0] == d.self
	}
	now := d.clock()
	var best Neighbour
	avoided := 0
	for _, n := range d.daemons {
		if until, ok := d.avoidedUntil[n.Address]; ok && now < until {
			avoided++
			continue
		}
		if best.Name == "" || dispatchesBefore(group, n, best) {
			best = n
		}
	}
	return best, avoided < maxAvoidedDispatchers && best.Name != ""
}

// dispatchesBefore orders daemons by processor capacity and then by a hash, which
// spreads groups over daemons and gives the same order on every daemon.
func dispatchesBefore(group string, a, b Neighbour) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	rank := func(n Neighbour) uint64 { return hash.Text("dispatch/" + group + "/" + n.Name) }
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) < 0
}

// groupOf returns the name of the group of prompts that one dispatcher places together.
func (d *dispatchPlacer) groupOf(req *forward.PlacementRequest) string {
	d.state.mu.Lock()
	engines := d.state.roster.Engines(req.Service.Name, req.In.Model)
	d.state.mu.Unlock()
	group := req.Service.Name + "/" + req.In.Model
	if groups := dispatchGroups(engines); groups > 1 && len(req.In.Parts) > 0 {
		group += "/" + string(rune('a'+hash.Text(req.In.Parts[0].ID)%uint64(groups)))
	}
	return group
}

// sole reports whether this daemon places all long prompts of a model.
func (d *dispatchPlacer) sole(service, model string) bool {
	d.state.mu.Lock()
	groups := dispatchGroups(d.state.roster.Engines(service, model))
	d.state.mu.Unlock()
	to, some := d.dispatcher(service + "/" + model)
	return model != "" && groups == 1 && some && to == d.self
}

// daemonCount returns the number of daemons.
func (d *dispatchPlacer) daemonCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.daemons))
}

// dispatchGroups returns the number of groups into which the prompts of a model with
// the given number of engines are divided.
func dispatchGroups(engines int) int {
	return max(1, (engines+enginesPerDispatcher-1)/enginesPerDispatcher)
}

// choose returns the endpoint that suits the request best.
func (d *dispatchPlacer) choose(ctx context.Context, req *forward.PlacementRequest) (forward.Placement, error) {
	if req.Service.Engine == nil || req.In.Model == "" || subpoolOf(req.In.PromptTokens) != subpoolLong {
		return d.placer.Place(ctx, req)
	}
	to, some := d.dispatcher(d.groupOf(req))
	switch {
	case !some:
		return d.placer.Place(ctx, req)
	case to == d.self:
		return d.placeAsDispatcher(time.Now(), req)
	}
	p, ok, err := d.askDispatcher(ctx, to, req)
	if !ok {
		return d.placer.Place(ctx, req)
	}
	return p, err
}

// askDispatcher asks a dispatcher to place the request. ok is false if the dispatcher
// gave no usable answer.
func (d *dispatchPlacer) askDispatcher(ctx context.Context, to Neighbour, req *forward.PlacementRequest) (p forward.Placement, ok bool, err error) {
	m := placeMessage{
		ID: d.lastID.Add(1), Route: req.Route.Name, Service: req.Service.Name, In: *req.In,
		LeftMs: time.Until(req.Deadline).Milliseconds(), Avoid: append(d.unavailable(req), req.Excluded...), Resuming: req.Resuming, Origin: req.Origin,
	}
	m.In.APIKey = ""
	if !d.loads.current(req.Service.Name, req.In.Model, recipientTimeout) {
		m.Loads = d.takeObservedLoads(time.Now())
	}
	if req.Organisation != nil {
		m.Org, m.Isolated = req.Organisation.Name, req.Organisation.Isolated
	}
	answer := make(chan placedMessage, 1)
	d.mu.Lock()
	d.pendingAnswers[m.ID] = answer
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.pendingAnswers, m.ID)
		d.mu.Unlock()
	}()
	if !d.sendMessage(to.Address, kindPlace, m) {
		return p, false, nil
	}
	timer := time.NewTimer(dispatchTimeout)
	defer timer.Stop()
	select {
	case got := <-answer:
		return d.acceptAnswer(to, req, &got)
	case <-timer.C:
		d.avoidDispatcher(to)
	case <-ctx.Done():
	}
	return p, false, nil
}

// maxAvoidedEndpoints bounds the unavailable endpoints that a message to the dispatcher
// names. It has to fit into a datagram, and acceptAnswer checks the answer in any case.
const maxAvoidedEndpoints = 32

// unavailable returns the endpoints of the request's service that asked this daemon to back
// off. The dispatcher does not know of them.
func (d *dispatchPlacer) unavailable(req *forward.PlacementRequest) []fleet.EndpointID {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	all := d.state.roster.BackingOff(time.Now(), req.Service.Name)
	return all[:min(len(all), maxAvoidedEndpoints)]
}

// acceptAnswer validates a dispatcher's answer against this daemon's own state.
func (d *dispatchPlacer) acceptAnswer(from Neighbour, req *forward.PlacementRequest, got *placedMessage) (forward.Placement, bool, error) {
	switch {
	case got.Refused != nil && got.Refused.Code != codeOverloaded:
		// The dispatcher may be cut off from the endpoints or from the daemon that
		// distributes a limit, or was itself asked to back off, while this daemon is not.
		return forward.Placement{}, false, nil
	case got.Refused != nil:
		return forward.Placement{}, true, got.Refused
	case got.Place == nil:
		return forward.Placement{}, false, nil
	}
	p := *got.Place
	beginWithin := d.checkPlacement(req, &p)
	if got.LeftMs > 0 {
		beginWithin = min(beginWithin, time.Duration(got.LeftMs)*time.Millisecond)
	}
	if beginWithin <= minBeginTime || slices.Contains(req.Excluded, p.Target.Key) {
		d.sendMessage(from.Address, kindEnded, endedMessage{ID: got.ID, End: forward.AttemptEnd{Left: true}})
		return forward.Placement{}, false, nil
	}
	p.BeginBy = time.Time{}
	if beginWithin != noTimeLimit {
		p.BeginBy = time.Now().Add(beginWithin)
	}
	p.ID, p.Notes.Dispatcher = got.ID, from.Address
	return p, true, nil
}

// checkPlacement returns how long a prompt may wait at the endpoint that a dispatcher chose
// before it must begin, according to this daemon's state; 0: it must not be sent there. It
// sets the endpoint's software version and the start of its incarnation.
//
// A dispatcher that has lost the store sees neither newly named weights nor endpoints
// that are draining. If its answer were accepted unchecked, prompts would begin on
// weights that are out of use. One of an earlier release knows no software versions.
func (d *dispatchPlacer) checkPlacement(req *forward.PlacementRequest, p *forward.Placement) time.Duration {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	e := d.state.roster.Find(p.Target.Key)
	if e == nil || e.ID != p.Target.ID || e.Service != req.Service.Name || d.state.roster.Unusable(time.Now(), p.Target.Key) {
		return 0
	}
	p.Build, p.Target.Born = e.Build, e.Born
	if o := req.Origin; o != nil && (o.Build == "" || *o != streamorigin.Origin{Service: e.Service, Build: e.Build}) {
		return 0
	}
	return d.state.named[req.In.Model].timeToBegin(p.Out.Version, d.placer.clock(), d.versionBound)
}

func (d *dispatchPlacer) avoidDispatcher(n Neighbour) {
	d.mu.Lock()
	d.avoidedUntil[n.Address] = d.clock() + dispatcherAvoidance
	d.mu.Unlock()
	d.log.Info("Dispatcher did not answer.", "dispatcher", n.Name, "waited_ms", dispatchTimeout.Milliseconds())
}

// AnswerStarted implements forward.Placer.
func (d *dispatchPlacer) AnswerStarted(p *forward.Placement, info *forward.AnswerInfo) {
	if info.Load != nil && p.Out.Version != 0 {
		d.observeLoad(p.Target.Key, info.Load)
	}
	d.loads.observeAnswer(p.Target.Key, info)
	if p.Notes.Dispatcher != "" {
		d.sendMessage(p.Notes.Dispatcher, kindAnswered, answeredMessage{ID: p.ID, Info: *info})
	}
	d.admission.answerStarted(time.Now(), p, info, info.NotRun && d.lacksCapacity(p, info))
	d.placer.AnswerStarted(p, info)
}

// AttemptEnded implements forward.Placer.
func (d *dispatchPlacer) AttemptEnded(p *forward.Placement, end forward.AttemptEnd) {
	if p.Notes.Dispatcher != "" {
		d.sendMessage(p.Notes.Dispatcher, kindEnded, endedMessage{ID: p.ID, End: end})
	}
	d.admission.attemptEnded(time.Now(), p, &end)
	d.placer.AttemptEnded(p, end)
}

// expire ends placements for other daemons whose end was not reported in time.
func (d *dispatchPlacer) expire(now time.Time) {
	d.mu.Lock()
	var over []*openPlacement
	for key, o := range d.open {
		if now.After(o.until) {
			over = append(over, o)
			delete(d.open, key)
		}
	}
	d.mu.Unlock()
	for _, o := range over {
		d.placer.AttemptEnded(&o.Placement, forward.AttemptEnd{Left: true})
	}
}
