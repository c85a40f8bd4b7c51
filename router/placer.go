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
	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/pools"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/weights"
)

// Parameters of placement.
const (
	// maxPlaceAttempts bounds how often a request is placed again because the chosen
	// endpoint is being probed with another request after an ejection.
	maxPlaceAttempts = 3
	// maxWaitFraction is the fraction of the remaining time that a request may be
	// expected to wait for its first token. Above it the answer would come too late to
	// be of use, and the work would only delay others.
	maxWaitFraction = 0.8
	// noEndpointRetryAfter is the retry delay returned when no endpoint can take a
	// request. Loading weights or a restart takes about that long.
	noEndpointRetryAfter = 400 * time.Millisecond
	// minOverloadRetryAfter and maxOverloadRetryAfter bound the retry delay returned
	// when the fleet is full. The delay is random, so that requests refused together
	// are not retried together.
	minOverloadRetryAfter = 50 * time.Millisecond
	maxOverloadRetryAfter = 400 * time.Millisecond
	// retryBudgetFraction is the fraction of the shared retry budget that daemons use.
	// The rest covers measuring windows that divide bursts differently.
	retryBudgetFraction = 0.75
	// maxRetryBurst is the number of retries that one daemon may accumulate. With it, all
	// daemons together stay within the part of the allowance that does not depend on
	// traffic.
	maxRetryBurst = 3
)

// Refusal codes.
const (
	codeNoEndpoint = "no_endpoint"
	codeOverloaded = "overloaded"
	codeAtLimits   = "endpoints_at_limits"
	codeBackingOff = "endpoints_backing_off"
	// codeBuildGone refuses a stream whose software version no usable endpoint runs.
	codeBuildGone = "stream_version_gone"
)

// placer implements forward.Placer by placing requests on its own.
type placer struct {
	state          *state
	cacheTracker   *cacheTracker          // nil: cache contents are unknown
	endpointLimits *endpointlimit.Limiter // nil: limits of endpoints are not enforced
	permits        *endpointPermits
	admission      *admission
	loads          *loadExchange // nil: loads are not exchanged
	engines        weights.Engines
	clock          func() time.Duration // boot clock
	log            *logging.Logger
	versionBound   time.Duration // Settings.VersionWithin
	lastID         atomic.Uint64 // placement ID; starts at random, as the ID breaks ties between equal endpoints

	segmentsMu sync.Mutex
	segments   *segmentIndex // of the prompts placed as dispatcher

	unansweredMu sync.Mutex
	unanswered   map[uint64]unanswered // by placement ID

	budgetMu sync.Mutex
	budget   *retry.Budget
	rng      *rand.Rand
}

func newPlacer(s *state, set *Settings, engines weights.Engines, clock func() time.Duration, log *logging.Logger, rng *rand.Rand) *placer {
	p := &placer{log: log, segments: newSegmentIndex(), unanswered: map[uint64]unanswered{}, state: s, engines: engines, clock: clock, versionBound: set.VersionWithin, rng: rng, budget: retry.NewBudget(retry.BudgetOptions{
		Fraction: set.RetryRatio * retryBudgetFraction, Floor: 0.05, Burst: maxRetryBurst, Debt: 1,
	})}
	p.lastID.Store(rng.Uint64())
	p.permits = newEndpointPermits(gossip.Peer{Name: set.Name, Address: set.PeerAddress}, clock, log, rng)
	p.admission = newAdmission(set, s, clock, p.randomNumber, log)
	return p
}

// CountFirstAttempt implements forward.Placer.
func (p *placer) CountFirstAttempt() {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	p.budget.RecordRequest(time.Now())
}

// DecideRetry implements forward.Placer.
func (p *placer) DecideRetry(r *retry.Request, a retry.FailedAttempt) retry.Decision {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return retry.Decide(time.Now(), r, a, p.budget, p.rng)
}

// Place implements forward.Placer. While all endpoints are at their limits, it waits
// briefly for another daemon's answer on a limit.
func (p *placer) Place(ctx context.Context, req *forward.PlacementRequest) (forward.Placement, error) {
	for waited := 0; ; waited++ {
		out, err := p.place(ctx, req)
		var refused *forward.RefusedError
		if !errors.As(err, &refused) || refused.Code != codeAtLimits || waited == endpointlimit.MaxReplyWaits || p.endpointLimits == nil || !p.endpointLimits.AwaitingReply() {
			return out, err
		}
		if err := pause.For(ctx, endpointlimit.ReplyWait); err != nil {
			return out, err
		}
	}
}

func (p *placer) place(ctx context.Context, req *forward.PlacementRequest) (forward.Placement, error) {
	now := time.Now()
	p.state.refreshIfChanged(now)
	r := placement.Request{
		Pool: pools.ServicePool(req.Service.Name), Tokens: req.In.PromptTokens, Avoid: req.Excluded,
		Priority: priorityOf(req.Route.EffectivePriority(req.Organisation)),
	}
	if err := p.bindToOrigin(req, &r); err != nil {
		return forward.Placement{}, err
	}
	r.SharedWithin, r.SharedPool = p.loads.sharedWithin(req), r.Pool
	if req.Service.Engine != nil && req.In.Model != "" {
		return p.placeModel(ctx, now, req, &r)
	}
	d, e, err := p.chooseEndpoint(now, req, &r)
	if err != nil {
		return forward.Placement{}, err
	}
	if left := time.Until(req.Deadline); d.ExpectedFirstToken > time.Duration(maxWaitFraction*float64(left)) {
		p.state.view.Finished(now, r.ID)
		p.releaseLimit(d.Endpoint)
		return forward.Placement{}, &forward.RefusedError{Code: codeOverloaded, RetryAfter: p.overloadRetryAfter()}
	}
	return p.newPlacement(now, req, &r, &d, e, &candidate{}), nil
}

// placeAsDispatcher places a long prompt from local state without querying engines for
// their load, as this daemon places all long prompts of the group.
func (p *placer) placeAsDispatcher(now time.Time, req *forward.PlacementRequest) (forward.Placement, error) {
	p.state.refreshIfChanged(now)
	r := placement.Request{
		Tokens: req.In.PromptTokens, Avoid: req.Excluded, Priority: priorityOf(req.Route.EffectivePriority(req.Organisation)),
		Exclusive: true,
	}
	if err := p.bindToOrigin(req, &r); err != nil {
		return forward.Placement{}, err
	}
	return p.placeModel(context.Background(), now, req, &r)
}

// bindToOrigin restricts a request that continues a stream to the endpoints that may
// continue it.
func (p *placer) bindToOrigin(req *forward.PlacementRequest, r *placement.Request) error {
	if req.Origin == nil {
		return nil
	}
	if req.Origin.Service == req.Service.Name {
		p.state.mu.Lock()
		r.Only = p.state.roster.WithBuild(req.Origin.Service, req.Origin.Build)
		p.state.mu.Unlock()
	}
	if len(r.Only) == 0 {
		return &forward.RefusedError{Code: codeBuildGone, RetryAfter: noEndpointRetryAfter}
	}
	return nil
}

// segmentLocations returns where the shared segment of a prompt is held and from which
// engine it can be fetched. It is used by the dispatcher.
func (p *placer) segmentLocations(now time.Time, req *forward.PlacementRequest, version int64) (*placement.PrefixLocations, fleet.EndpointID) {
	levels := prefix.SegmentLevels(seedOf(req, version), req.In.Parts)
	at := prefix.AffinityLevel(levels)
	if at < 0 || len(levels) < 2 {
		return &placement.PrefixLocations{Tokens: map[fleet.EndpointID]int{}}, ""
	}
	p.segmentsMu.Lock()
	defer p.segmentsMu.Unlock()
	engine := req.Service.Engine
	held, from := p.segments.locate(now, levels[at].Key, engine.CapacityTokens, p.fetchable)
	if engine.BytesPerToken > 0 {
		held.FetchRate = engine.LinkMbps * 1e6 / 8 / float64(engine.BytesPerToken) / 2
	}
	return held, from
}

// expireSegments removes shared segments that were not used for a while.
func (p *placer) expireSegments(now time.Time) {
	p.segmentsMu.Lock()
	defer p.segmentsMu.Unlock()
	p.segments.expire(now)
}

// mergeReported merges the locations that engines and stores report into locations. It
// removes none, as an engine that does not report a segment yet may be about to read
// it.
func mergeReported(locations, reported *placement.PrefixLocations) {
	for key, tokens := range reported.Tokens {
		locations.Tokens[key] = max(locations.Tokens[key], tokens)
	}
	if reported.MaxTokens > locations.MaxTokens {
		locations.MaxTokens, locations.FetchRate = reported.MaxTokens, reported.FetchRate
	}
}

func (p *placer) fetchable(key fleet.EndpointID) bool {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	return p.state.roster.Find(key) != nil && !p.state.roster.Unusable(time.Now(), key)
}

// recordSegment records to which engine the shared segment of a prompt is sent.
func (p *placer) recordSegment(now time.Time, req *forward.PlacementRequest, version int64, d *placement.Decision) {
	levels := prefix.SegmentLevels(seedOf(req, version), req.In.Parts)
	at := prefix.AffinityLevel(levels)
	if at < 0 || len(levels) < 2 {
		return
	}
	p.segmentsMu.Lock()
	defer p.segmentsMu.Unlock()
	p.segments.recordPlacement(now, levels[at].Key, levels[at].Tokens, req.In.PromptTokens, req.Service.Engine.CapacityTokens, d.Endpoint, now.Add(d.ExpectedFirstToken))
}

// placeModel places a prompt on an engine that serves its model.
func (p *placer) placeModel(ctx context.Context, now time.Time, req *forward.PlacementRequest, r *placement.Request) (forward.Placement, error) {
	v := p.eligibleVersions(req)
	if v.first == 0 {
		return forward.Placement{}, p.noEndpoint(now, req.Service.Name)
	}
	in := subpoolOf(req.In.PromptTokens)
	all := listCandidates(req, v, in, p.prefixLocations())
	if in == subpoolShort && p.admission.short(req) {
		useOtherSubpool(all)
	}
	switch {
	case r.Exclusive:
		p.useSegmentLocations(now, req, all)
	case in == subpoolLong:
		first := *r
		first.Pool, first.Levels = all[0].pool, all[0].levels()
		p.queryLoads(ctx, now, &first, req.In.Model)
	}
	tooLate := p.lateness(req)
	best, err := p.chooseCandidate(now, req, r, all, tooLate)
	if err != nil {
		return forward.Placement{}, err
	}
	// A stream that resumes on another engine is not refused, as its caller has
	// received a part of it.
	if !req.Resuming && tooLate(&best.decision) {
		p.releaseLimit(best.decision.Endpoint)
		return forward.Placement{}, &forward.RefusedError{
			Code: codeOverloaded, RetryAfter: p.overloadRetryAfter(),
			Endpoint: string(best.decision.Endpoint), Wait: best.decision.ExpectedWait, Age: best.decision.LoadAge,
		}
	}
	p.state.view.Reserve(now, best.request, &best.decision)
	if r.Exclusive {
		p.recordSegment(now, req, best.version, &best.decision)
		best.retained = p.enginesRetain(now, req)
	}
	return p.newPlacement(now, req, &best.request, &best.decision, best.endpoint, &best.candidate), nil
}

// releaseLimit returns the capacity that a request took of an endpoint's limit without
// being sent there.
func (p *placer) releaseLimit(e fleet.EndpointID) {
	if p.endpointLimits != nil {
		p.endpointLimits.Release(e)
	}
}

// useSegmentLocations makes the candidates consider any engine by where the shared
// segment is held instead of by its preferred endpoint.
func (p *placer) useSegmentLocations(now time.Time, req *forward.PlacementRequest, all []candidate) {
	for i := range all {
		at := &all[i]
		at.levels = func() []prefix.Level { return nil }
		held, from := p.segmentLocations(now, req, at.version)
		if reported := at.held(); reported != nil {
			mergeReported(held, reported)
		}
		at.held = func() *placement.PrefixLocations { return held }
		at.fetchFrom = from
	}
}

// chooseCandidate returns the best candidate whose endpoint can take the request.
func (p *placer) chooseCandidate(now time.Time, req *forward.PlacementRequest, r *placement.Request, all []candidate, tooLate func(*placement.Decision) bool) (evaluatedCandidate, error) {
	try := *r
	tries := p.newAttempts(req, r.Avoid, subpoolOf(req.In.PromptTokens) == subpoolShort)
	for tries.next() {
		try.ID, try.Avoid = p.lastID.Add(1), tries.excludedEndpoints()
		best, err := bestCandidate(now, p.state.view, try, all, req.Route.TargetLatency)
		if err != nil && tries.includeReserved() {
			continue
		}
		if err != nil {
			break
		}
		if tooLate(&best.decision) {
			if idle, ok := idleCandidate(now, p.state.view, try, all, req.Route.TargetLatency); ok {
				best = idle
			}
		}
		if best.endpoint = tries.acquire(now, best.decision.Endpoint, req.Route.Repeatable()); best.endpoint != nil {
			return best, nil
		}
	}
	return evaluatedCandidate{}, tries.refusal(now)
}

// modelWaitFractions is the expected wait before a prompt is read above which it is
// refused, as a fraction of the latency objective. A long prompt above it would be
// late, take as much engine time as one in time, and delay the next one. The time to
// read the prompt itself is not included, as the longest prompts would otherwise always
// be refused. Short prompts are worth many times as much for the engine time they take,
// even when late, and are refused only when the wait is far beyond the objective.
var modelWaitFractions = [subpoolCount]float64{subpoolLong: 0.6, subpoolShort: 3}

// exceedsMaxWait reports whether a prompt has to wait longer than it is accepted for while
// its service has capacity.
func exceedsMaxWait(req *forward.PlacementRequest, d *placement.Decision) bool {
	most := modelWaitFractions[subpoolOf(req.In.PromptTokens)]
	return d.ExpectedWait > time.Duration(most*float64(req.Route.TargetLatency))
}

// lateness returns the function that decides whether a prompt is refused because it would
// have to wait for too long at an endpoint.
//
// While its service is short of capacity, a prompt is refused if its first token is expected
// later than its objective: it would take the place of one that can be answered in time. An
// engine that is idle, or that has not been observed for longer than the objective, gets one
// prompt of this daemon all the same, as nothing else would show that it can serve in time.
func (p *placer) lateness(req *forward.PlacementRequest) func(*placement.Decision) bool {
	if !p.admission.short(req) {
		return func(d *placement.Decision) bool { return exceedsMaxWait(req, d) }
	}
	objective := objectiveOf(req.Route)
	return func(d *placement.Decision) bool {
		unobserved := d.LoadAge < 0 || d.LoadAge > objective
		return d.ExpectedFirstToken > objective && !p.state.view.Idle(d.Endpoint) &&
			(!unobserved || p.state.view.PendingPrompts(d.Endpoint) > 0)
	}
}

// overloadRetryAfter returns a random retry delay.
func (p *placer) overloadRetryAfter() time.Duration {
	return minOverloadRetryAfter + time.Duration(p.randomFraction()*float64(maxOverloadRetryAfter-minOverloadRetryAfter))
}

// randomFraction returns a random number in [0, 1).
func (p *placer) randomFraction() float64 {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return p.rng.Float64()
}

// randomNumber returns a random 64-bit number for use as a nonce.
func (p *placer) randomNumber() uint64 {
	p.budgetMu.Lock()
	defer p.budgetMu.Unlock()
	return p.rng.Uint64()
}

// recordArrival adds a prompt of this daemon's callers to the work that divides the
// engines.
func (p *placer) recordArrival(now time.Time, req *forward.PlacementRequest) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	p.state.subpools.addRequest(now, subpoolOf(req.In.PromptTokens), req.In.PromptTokens, req.Service.Engine.Slots)
}

// eligibleVersions chooses the weight versions that the request may be bound to. There is
// no first one if no engine can take the request.
func (p *placer) eligibleVersions(req *forward.PlacementRequest) versionChoice {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	n := p.state.named[req.In.Model]
	segmentHash := uint64(0)
	if len(req.In.Parts) > 0 {
		segmentHash = hash.Text(req.In.Parts[0].ID)
	}
	pool := subpoolOf(req.In.PromptTokens)
	engines := p.state.roster.Counts(req.Service.Name, req.In.Model)
	clock := p.clock()
	lead := newestVersionFactor
	if pool == subpoolShort {
		lead = math.Inf(1) // short prompts share too little for a cache to matter
	}
	timeLeft := func(v int64) time.Duration { return n.timeToBegin(v, clock, p.versionBound) }
	allowed := func(v int64) bool { return timeLeft(v) > minBeginTime }
	v := chooseVersions(engines.BySubpool[pool], allowed, segmentHash, lead)
	v = v.fillFrom(chooseVersions(engines.ByVersion, allowed, segmentHash, lead))
	if v.first == 0 {
		return v
	}
	v.firstBeginWithin = timeLeft(v.first)
	for i := range v.others {
		v.others[i].beginWithin = timeLeft(v.others[i].version)
	}
	return v
}

// chooseEndpoint places the request on an endpoint that can take it.
func (p *placer) chooseEndpoint(now time.Time, req *forward.PlacementRequest, r *placement.Request) (placement.Decision, *directory.Endpoint, error) {
	tries := p.newAttempts(req, r.Avoid, false)
	for tries.next() {
		r.ID, r.Avoid = p.lastID.Add(1), tries.excludedEndpoints()
		d, err := p.state.view.Place(now, *r)
		switch {
		case errors.Is(err, placement.ErrNoEndpoint) && tries.includeReserved():
			continue
		case errors.Is(err, placement.ErrNoEndpoint), errors.Is(err, placement.ErrUnknownPool):
			return d, nil, tries.refusal(now)
		case err != nil:
			return d, nil, err
		}
		if e := tries.acquire(now, d.Endpoint, req.Route.Repeatable()); e != nil {
			return d, e, nil
		}
		p.state.view.Finished(now, r.ID)
	}
	return placement.Decision{}, nil, tries.refusal(now)
}

// mayTry returns the endpoint if it may be sent this request, and nil otherwise.
func (p *placer) mayTry(now time.Time, key fleet.EndpointID, repeatable bool) *directory.Endpoint {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	if !p.state.roster.MayTry(now, key, repeatable) {
		return nil
	}
	return p.state.roster.Find(key)
}

// newPlacement builds the placement with the headers for the endpoint, and records the
// request as unanswered. The endpoint may have been removed from the roster meanwhile.
func (p *placer) newPlacement(now time.Time, req *forward.PlacementRequest, r *placement.Request, d *placement.Decision, e *directory.Endpoint, to *candidate) forward.Placement {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	out := forward.Placement{
		ID: r.ID, Reason: d.Reason.String(), Wait: d.ExpectedFirstToken, Cached: d.ExpectedCached, Age: d.LoadAge,
		Target: forward.Target{Key: e.Key, ID: e.ID, Address: e.Address, Born: e.Born}, Build: e.Build,
		Out: forward.RouterInfo{EndpointID: e.ID, Version: to.version, Urgency: forward.NoUrgency},
	}
	if req.Organisation != nil {
		out.Out.Organisation = req.Organisation.Name
	}
	if to.version == 0 {
		return out
	}
	if to.beginWithin != noTimeLimit {
		out.BeginBy = now.Add(to.beginWithin)
	}
	p.unansweredMu.Lock()
	p.unanswered[r.ID] = unanswered{
		endpoint: e.Key, priority: r.Priority, placed: now,
		expectedRead: time.Duration(float64(r.Tokens) / prefillRate * float64(time.Second)),
	}
	p.unansweredMu.Unlock()
	out.Notes.Prompt, out.Notes.Engine, out.Notes.Sole = int(subpoolOf(req.In.PromptTokens)), int(to.subpool), r.Exclusive
	out.Out.CacheSalt = salt(req, to.version)
	out.Out.Urgency = min(9, 1+2*req.Route.EffectivePriority(req.Organisation))
	if at := prefix.AffinityLevel(r.Levels); at >= 0 {
		out.Prefix = r.Levels[at].Key.String()[:prefixDigits]
	}
	p.setCacheTransfer(now, req, r, d, e, to, &out.Out)
	return out
}

// priorityOf maps an urgency of the configuration to one of the three priorities.
func priorityOf(urgency int) contract.Priority {
	return contract.Priority(min(max(urgency, 0), int(contract.PriorityCount)-1))
}
