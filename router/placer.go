package router

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/room"
	"github.com/merlindock/merlindock/weights"
)

// Weights and times of placing.
const (
	// placeTries bounds how often a request is placed anew because the endpoint
	// that was chosen is on trial with another request.
	placeTries = 3
	// waitPart is the part of the time left that a request may be expected to
	// wait for its first token. Past it the answer would come too late to be
	// of use, and the work would only delay others.
	waitPart = 0.8
	// noEndpointAfter is when to come back if no endpoint may take a request:
	// a load of weights or a restart takes about that long.
	noEndpointAfter = 400 * time.Millisecond
	// minOverloadAfter and maxOverloadAfter bound when to come back to a fleet
	// that is full. The time is spread between them, so that those turned away
	// together do not come back together.
	minOverloadAfter = 50 * time.Millisecond
	maxOverloadAfter = 400 * time.Millisecond
	// retryPart is the part of the shared allowance for retries that daemons
	// use; the rest covers windows that cut bursts differently.
	retryPart = 0.75
	// retryBurst is how many retries one daemon may save up. All daemons
	// together stay within the allowance that does not depend on traffic.
	retryBurst = 3
)

// Refusal codes.
const (
	codeNoEndpoint = "no_endpoint"
	codeOverloaded = "overloaded"
	codeAtLimits   = "endpoints_at_limits"
)

// placer implements forward.Placer.
type placer struct {
	s       *state
	watch   *cacheWatch   // nil: nothing is known of caches
	room    *room.Limiter // nil: limits of endpoints are not kept
	engines weights.Engines
	clock   func() time.Duration // boot clock
	old     time.Duration        // Settings.VersionWithin
	lastID  atomic.Uint64        // of placements; begins at random, as the ID draws among equal endpoints

	partsMu sync.Mutex
	parts   *partIndex // of the prompts placed for all daemons

	unansweredMu sync.Mutex
	unanswered   map[uint64]unanswered // by placement

	budgetMu sync.Mutex
	budget   *retry.Budget
	rng      *rand.Rand
}

func newPlacer(s *state, set *Settings, engines weights.Engines, clock func() time.Duration, rng *rand.Rand) *placer {
	p := &placer{parts: newPartIndex(), unanswered: map[uint64]unanswered{}, s: s, engines: engines, clock: clock, old: set.VersionWithin, rng: rng, budget: retry.NewBudget(retry.BudgetOptions{
		Fraction: set.RetryRatio * retryPart, Floor: 0.05, Burst: retryBurst, Debt: 1,
	})}
	p.lastID.Store(rng.Uint64())
	return p
}

// First implements forward.Placer.
func (p *placer) First() {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	p.budget.RecordRequest(time.Now())
}

// Failed implements forward.Placer.
func (p *placer) Failed(r *retry.Request, a retry.FailedAttempt) retry.Decision {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return retry.Decide(time.Now(), r, a, p.budget, p.rng)
}

// Place implements forward.Placer. While all endpoints are at their limits it waits for
// other daemons' words for a moment.
func (p *placer) Place(ctx context.Context, w *forward.Work) (forward.Placement, error) {
	for waited := 0; ; waited++ {
		out, err := p.place(ctx, w)
		var refused *forward.RefusedError
		if !errors.As(err, &refused) || refused.Code != codeAtLimits || waited == room.MaxReplyWaits || !p.room.AwaitingReply() {
			return out, err
		}
		if err := pause.For(ctx, room.ReplyWait); err != nil {
			return out, err
		}
	}
}

func (p *placer) place(ctx context.Context, w *forward.Work) (forward.Placement, error) {
	now := time.Now()
	p.s.settle(now)
	r := placement.Request{
		Pool: pools.ServicePool(w.Service.Name), Tokens: w.In.PromptTokens, Avoid: w.Avoid,
		Priority: priorityOf(w.Route.EffectivePriority(w.Organisation)),
	}
	if w.Service.Engine != nil && w.In.Model != "" {
		return p.placeModel(ctx, now, w, &r)
	}
	d, err := p.choose(now, &r, w.Route.Repeatable())
	if err != nil {
		return forward.Placement{}, err
	}
	if left := time.Until(w.Deadline); d.ExpectedFirstToken > time.Duration(waitPart*float64(left)) {
		p.s.view.Finished(now, r.ID)
		p.giveBack(d.Endpoint)
		return forward.Placement{}, &forward.RefusedError{Code: codeOverloaded, RetryAfter: p.spread()}
	}
	return p.placed(now, w, &r, &d, &way{}), nil
}

// placeKnown places a long prompt by what is known, without asking engines for their
// load: this daemon places all of them.
func (p *placer) placeKnown(now time.Time, w *forward.Work) (forward.Placement, error) {
	p.s.settle(now)
	r := placement.Request{
		Tokens: w.In.PromptTokens, Avoid: w.Avoid, Priority: priorityOf(w.Route.EffectivePriority(w.Organisation)),
		Exclusive: true,
	}
	return p.placeModel(context.Background(), now, w, &r)
}

// shared tells where the shared part of a prompt is, for the daemon that places all.
func (p *placer) shared(now time.Time, w *forward.Work, version int64) (*placement.PrefixLocations, fleet.EndpointID) {
	levels := prefix.SegmentLevels(seedOf(w, version), w.In.Parts)
	at := prefix.AffinityLevel(levels)
	if at < 0 || len(levels) < 2 {
		return &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}}, ""
	}
	p.partsMu.Lock()
	defer p.partsMu.Unlock()
	engine := w.Service.Engine
	held, from := p.parts.held(now, levels[at].Key, engine.CapacityTokens, p.mayFetch)
	if engine.BytesPerToken > 0 {
		held.FetchRate = engine.LinkMbps * 1e6 / 8 / float64(engine.BytesPerToken) / 2
	}
	return held, from
}

// expireParts forgets shared parts that were not used for long.
func (p *placer) expireParts(now time.Time) {
	p.partsMu.Lock()
	defer p.partsMu.Unlock()
	p.parts.expire(now)
}

// addTold adds what engines and stores tell themselves. What they do not hold yet may
// be on its way to them.
func addTold(h, told *placement.PrefixLocations) {
	for key, tokens := range told.Tokens {
		h.Tokens[key] = max(h.Tokens[key], tokens)
	}
	if told.MaxTokens > h.MaxTokens {
		h.MaxTokens, h.FetchRate = told.MaxTokens, told.FetchRate
	}
}

func (p *placer) mayFetch(key fleet.EndpointID) bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.roster.Find(key) != nil && !p.s.roster.Unusable(time.Now(), key)
}

// sent notes where the shared part of a prompt goes.
func (p *placer) sent(now time.Time, w *forward.Work, version int64, d *placement.Decision) {
	levels := prefix.SegmentLevels(seedOf(w, version), w.In.Parts)
	at := prefix.AffinityLevel(levels)
	if at < 0 || len(levels) < 2 {
		return
	}
	p.partsMu.Lock()
	defer p.partsMu.Unlock()
	p.parts.placed(now, levels[at].Key, levels[at].Tokens, w.In.PromptTokens, w.Service.Engine.CapacityTokens, d.Endpoint, now.Add(d.ExpectedFirstToken))
}

// placeModel places a prompt at an engine of its model.
func (p *placer) placeModel(ctx context.Context, now time.Time, w *forward.Work, r *placement.Request) (forward.Placement, error) {
	v, err := p.versions(w)
	if err != nil {
		return forward.Placement{}, err
	}
	in := laneOf(w.In.PromptTokens)
	all := ways(w, v, in, p.whereabouts())
	switch {
	case r.Exclusive:
		p.anywhere(now, w, all)
	case in == laneLong:
		first := *r
		first.Pool, first.Levels = all[0].pool, all[0].levels()
		p.ask(ctx, now, &first, w.In.Model)
	}
	best, err := p.chooseWay(now, w, r, all)
	if err != nil {
		return forward.Placement{}, err
	}
	// A stream that goes on elsewhere is not refused: its caller has a part.
	if !w.Resuming && best.decision.ExpectedWait > time.Duration(refuseParts[in]*float64(w.Route.TargetLatency)) {
		p.giveBack(best.decision.Endpoint)
		return forward.Placement{}, &forward.RefusedError{
			Code: codeOverloaded, RetryAfter: p.spread(),
			Endpoint: string(best.decision.Endpoint), Wait: best.decision.ExpectedWait, Age: best.decision.LoadAge,
		}
	}
	p.s.view.Reserve(now, best.request, &best.decision)
	if r.Exclusive {
		p.sent(now, w, best.version, &best.decision)
		best.kept = p.enginesKeep(now, w)
	}
	return p.placed(now, w, &best.request, &best.decision, &best.way), nil
}

// giveBack returns what a request took of an endpoint's limit that is not sent there.
func (p *placer) giveBack(e fleet.EndpointID) {
	if p.room != nil {
		p.room.Release(e)
	}
}

// anywhere has the ways lead to any engine, by where the shared part is rather than
// where its home is.
func (p *placer) anywhere(now time.Time, w *forward.Work, all []way) {
	for i := range all {
		at := &all[i]
		at.levels = func() []prefix.Level { return nil }
		held, from := p.shared(now, w, at.version)
		if told := at.held(); told != nil {
			addTold(held, told)
		}
		at.held = func() *placement.PrefixLocations { return held }
		at.from = from
	}
}

// chooseWay takes the best way to an endpoint that may be tried.
func (p *placer) chooseWay(now time.Time, w *forward.Work, r *placement.Request, all []way) (weighed, error) {
	try := *r
	t := p.tries(r.Avoid, laneOf(w.In.PromptTokens) == laneShort)
	for t.next() {
		try.ID, try.Avoid = p.lastID.Add(1), t.avoid()
		best, err := bestWay(now, p.s.view, try, all, w.Route.TargetLatency)
		if err != nil && t.widen() {
			continue
		}
		if err != nil {
			break
		}
		if t.take(now, best.decision.Endpoint, w.Route.Repeatable()) {
			return best, nil
		}
	}
	return weighed{}, t.refusal()
}

// refuseParts is the part of the objective that a prompt may be expected to wait
// before it is read. A long one past it would be late, take as much of the engine
// as one in time, and make the next one late. The time of reading the prompt
// itself does not count: the longest prompts would never be served. Short ones
// are worth many times as much for the time that an engine spends on them, also
// when they are late, and are turned away only when the wait is hopeless.
var refuseParts = [laneCount]float64{laneLong: 0.6, laneShort: 3}

// spread draws a time to come back.
func (p *placer) spread() time.Duration {
	return minOverloadAfter + time.Duration(p.fraction()*float64(maxOverloadAfter-minOverloadAfter))
}

// fraction draws a number from 0 to 1.
func (p *placer) fraction() float64 {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return p.rng.Float64()
}

// number draws a number that is not drawn again.
func (p *placer) number() uint64 {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return p.rng.Uint64()
}

// arrived counts a prompt of this daemon's callers into the split of the engines.
func (p *placer) arrived(now time.Time, w *forward.Work) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.lanes.seen(now, laneOf(w.In.PromptTokens), w.In.PromptTokens, w.Service.Engine.Slots)
}

// versions chooses the weight versions that the request may be bound to.
func (p *placer) versions(w *forward.Work) (versions, error) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	n := p.s.named[w.In.Model]
	at := uint64(0)
	if len(w.In.Parts) > 0 {
		at = hash.Text(w.In.Parts[0].ID)
	}
	in := laneOf(w.In.PromptTokens)
	engines := p.s.roster.Counts(w.Service.Name, w.In.Model)
	clock := p.clock()
	lead := newerLead
	if in == laneShort {
		lead = math.Inf(1) // nothing of theirs is worth meeting in a cache
	}
	left := func(v int64) time.Duration { return n.left(v, clock, p.old) }
	allowed := func(v int64) bool { return left(v) > beginLeast }
	v := chooseVersions(engines.BySubpool[in], allowed, at, lead)
	v = v.orElse(chooseVersions(engines.ByVersion, allowed, at, lead))
	if v.first == 0 {
		return v, &forward.RefusedError{Code: codeNoEndpoint, RetryAfter: noEndpointAfter}
	}
	v.firstLeft = left(v.first)
	for i := range v.others {
		v.others[i].left = left(v.others[i].version)
	}
	return v, nil
}

// choose places the request at an endpoint that may be tried.
func (p *placer) choose(now time.Time, r *placement.Request, repeatable bool) (placement.Decision, error) {
	t := p.tries(r.Avoid, false)
	for t.next() {
		r.ID, r.Avoid = p.lastID.Add(1), t.avoid()
		d, err := p.s.view.Place(now, *r)
		switch {
		case errors.Is(err, placement.ErrNoEndpoint), errors.Is(err, placement.ErrUnknownPool):
			return d, t.refusal()
		case err != nil:
			return d, err
		}
		if t.take(now, d.Endpoint, repeatable) {
			return d, nil
		}
		p.s.view.Finished(now, r.ID)
	}
	return placement.Decision{}, t.refusal()
}

// mayTry tells whether the endpoint may have this request.
func (p *placer) mayTry(now time.Time, key fleet.EndpointID, repeatable bool) bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.roster.MayTry(now, key, repeatable)
}

// placed fills in what the endpoint is told.
func (p *placer) placed(now time.Time, w *forward.Work, r *placement.Request, d *placement.Decision, to *way) forward.Placement {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	e := p.s.roster.Find(d.Endpoint)
	out := forward.Placement{
		ID: r.ID, Reason: d.Reason.String(), Wait: d.ExpectedFirstToken, Cached: d.ExpectedCached, Age: d.LoadAge,
		Target: forward.Target{Key: e.Key, ID: e.ID, Address: e.Address},
		Out:    forward.Outbound{EndpointID: e.ID, Version: to.version, Urgency: forward.NoUrgency},
	}
	if w.Organisation != nil {
		out.Out.Organisation = w.Organisation.Name
	}
	if to.version == 0 {
		return out
	}
	if to.left != noBound {
		out.BeginBy = now.Add(to.left)
	}
	p.unansweredMu.Lock()
	p.unanswered[r.ID] = unanswered{
		endpoint: e.Key, priority: r.Priority, placed: now,
		reading: time.Duration(float64(r.Tokens) / prefillRate * float64(time.Second)),
	}
	p.unansweredMu.Unlock()
	out.Notes = forward.Notes{Prompt: int(laneOf(w.In.PromptTokens)), Engine: int(to.lane), Sole: r.Exclusive}
	out.Out.CacheSalt = salt(w, to.version)
	out.Out.Urgency = min(9, 1+2*w.Route.EffectivePriority(w.Organisation))
	if at := prefix.AffinityLevel(r.Levels); at >= 0 {
		out.Prefix = r.Levels[at].Key.String()[:prefixDigits]
	}
	p.moves(now, w, r, d, to, &out.Out)
	return out
}

// priorityOf maps the operator's ranks to the product's three.
func priorityOf(urgency int) contract.Priority {
	return contract.Priority(min(max(urgency, 0), int(contract.PriorityCount)-1))
}
