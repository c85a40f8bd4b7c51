package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// requestIDs generates IDs of requests that are unique within one daemon.
type requestIDs struct{ last atomic.Uint64 }

func (r *requestIDs) next() uint64 { return r.last.Add(1) }

func newRand(id string, startedAt time.Time) *rand.Rand {
	return rand.New(rand.NewPCG(seedOf(id, startedAt), uint64(startedAt.UnixNano())))
}

// maxTrialRetries limits how often a request is placed again because another
// request is already on trial at the chosen endpoint.
const maxTrialRetries = 3

// errAtLimits is the answer to callers while all endpoints are at the limits
// that they report.
var errAtLimits = &gateway.Refusal{
	Status: http.StatusServiceUnavailable, Code: gateway.CodeOverloaded, Outcome: gateway.OutcomeNotRun,
	Message: "all endpoints are at the limits that they name", RetryAfter: gateway.DefaultRetryAfter,
}

// Place implements gateway.Placer. While all endpoints are at their limits it
// waits briefly for the other daemons' replies.
func (v *fleetView) Place(ctx context.Context, r *gateway.PlaceRequest) (gateway.Placement, error) {
	if r.Attempt <= 1 {
		v.daemon.retries.recordRequest()
	}
	for waited := 0; ; waited++ {
		p, err := v.place(r)
		if !errors.Is(err, errAtLimits) || waited == endpointlimit.MaxReplyWaits || !v.daemon.endpointLimits.AwaitingReply() {
			return p, err
		}
		if err := pause.For(ctx, endpointlimit.ReplyWait); err != nil {
			return p, err
		}
	}
}

func (v *fleetView) place(r *gateway.PlaceRequest) (gateway.Placement, error) {
	levels := v.promptLevels(r)
	request := placement.Request{
		Pool:     classPool(r.Class),
		Levels:   levels,
		Tokens:   r.PromptTokens,
		Priority: clampPriority(r.Priority),
		Avoid:    r.Exclude,
	}
	if r.Kind == fleet.KindModel {
		request.Pool = modelPool(r.Target.Model, r.Target.Version)
	}
	repeatable := r.Kind == fleet.KindModel
	full := v.daemon.endpointLimits.AtLimit()
	request.Avoid = append(slices.Clone(r.Exclude), full...)
	for tries := 0; ; tries++ {
		request.ID = v.ids.next()
		decision, err := v.placement.Place(v.now(), request)
		if err != nil && repeatable && tries > 0 && tries < maxTrialRetries {
			// Only endpoints on trial are left; use one of them rather than none.
			tries, request.Avoid = maxTrialRetries-1, append(slices.Clone(r.Exclude), full...)
			continue
		}
		if err != nil && len(full) > 0 {
			return gateway.Placement{}, errAtLimits
		}
		if err != nil {
			return gateway.Placement{}, err
		}
		last := tries == maxTrialRetries
		if v.allowRequest(decision.Endpoint, repeatable) || (last && repeatable) {
			if v.daemon.endpointLimits.Acquire(decision.Endpoint) {
				return v.newPlacement(request.ID, levels, &decision), nil
			}
			v.placement.Finished(v.now(), request.ID)
			full = append(full, decision.Endpoint)
			request.Avoid = append(slices.Clone(request.Avoid), decision.Endpoint)
			tries--
			continue
		}
		v.placement.Finished(v.now(), request.ID)
		if last {
			// A call that must not be repeated is refused rather than risked
			// on a failing endpoint.
			return gateway.Placement{}, gateway.ErrNoEndpoint
		}
		request.Avoid = append(slices.Clone(request.Avoid), decision.Endpoint)
	}
}

// allowRequest reports whether an endpoint may receive this request. An ejected
// endpoint that is due for readmission gets one request at a time on trial;
// otherwise all requests with its prefixes would fail there together. A request
// that must not be repeated is never used for a trial.
func (v *fleetView) allowRequest(id fleet.EndpointID, repeatable bool) bool {
	v.healthMu.Lock()
	defer v.healthMu.Unlock()
	now := v.now()
	return v.health.Status(now, id) != health.Trial || v.health.Allow(now, id, repeatable)
}

// promptLevels splits the prompt into the prefix levels that placement uses. It
// returns nil for services.
func (v *fleetView) promptLevels(r *gateway.PlaceRequest) []prefix.Level {
	if r.Kind != fleet.KindModel {
		return nil
	}
	v.mu.Lock()
	pool := v.splitters
	v.mu.Unlock()
	splitter := pool.Get().(*prefix.Splitter)
	defer pool.Put(splitter)
	splitter.Reset(prefix.Seed{
		Organisation:   r.Organisation,
		Model:          r.Target.Model,
		Version:        r.Target.Version,
		Adapter:        r.Target.Adapter,
		AdapterVersion: r.Target.AdapterVersion,
	})
	begin := 0
	for _, end := range r.Levels {
		splitter.Write(r.Prompt[begin:end])
		splitter.EndMessage()
		begin = end
	}
	return append([]prefix.Level(nil), splitter.Levels()...)
}

// newPlacement converts a decision into a gateway.Placement. Its callbacks
// update the view with the result of the attempt.
func (v *fleetView) newPlacement(id uint64, levels []prefix.Level, d *placement.Decision) gateway.Placement {
	v.mu.Lock()
	address := v.endpoints[d.Endpoint].Address
	store := v.endpoints[d.ImportFrom].Address
	v.mu.Unlock()
	p := gateway.Placement{
		Endpoint:       d.Endpoint,
		Address:        address,
		Incarnation:    d.Incarnation,
		ExpectedCached: d.ExpectedCached,
		ImportFrom:     store,
		Prefix:         prefix.Format(prefix.ReusableLevels(levels)),
	}
	expected := d.ExpectedFirstToken
	p.OnHeader = func(m engine.Metadata) { v.onBegan(id, p.Endpoint, levels, m) }
	p.OnDone = func(r gateway.AttemptResult) { v.onDone(id, p.Endpoint, expected, r) }
	return p
}

func (v *fleetView) onBegan(id uint64, e fleet.EndpointID, levels []prefix.Level, m engine.Metadata) {
	v.daemon.endpointLimits.Answered(e, m.Limit)
	if m.NotRun {
		return
	}
	a := placement.Answer{
		ID:           id,
		Endpoint:     e,
		Incarnation:  m.Incarnation,
		CachedTokens: max(m.CachedTokens, 0),
		Levels:       levels,
	}
	if m.HasLoad {
		a.Load = &m.Load
		a.Load.At = v.now()
		v.applyReport(e, m.Load)
	}
	v.placement.Answered(v.now(), a)
}

// onDone passes the result of an attempt to placement, membership and health.
func (v *fleetView) onDone(id uint64, e fleet.EndpointID, expected time.Duration, r gateway.AttemptResult) {
	now := v.now()
	if r.Outcome == gateway.AttemptSucceeded || r.Outcome == gateway.AttemptCancelled {
		v.placement.Finished(now, id)
	} else {
		connectionLost := r.Outcome == gateway.AttemptNotSent
		v.placement.Failed(now, placement.Failure{ID: id, Endpoint: e, ConnectionLost: connectionLost})
	}
	if r.Status != 0 {
		v.daemon.endpointLimits.Answered(e, r.Meta.Limit)
	}
	switch r.Outcome {
	case gateway.AttemptSucceeded:
		v.healthMu.Lock()
		v.health.RecordSuccess(now, e, r.Meta.Incarnation, slowness(r.FirstToken, expected))
		v.healthMu.Unlock()
	case gateway.AttemptNotSent:
		v.daemon.endpointLimits.Release(e)
		v.recordRefusal(e)
	case gateway.AttemptNotRun:
		v.onNotRun(e, r.Meta)
	case gateway.AttemptFailed:
		v.healthMu.Lock()
		v.health.RecordFailure(now, e, r.Meta.Incarnation)
		v.healthMu.Unlock()
	case gateway.AttemptCancelled:
	}
}

// onNotRun handles a refusal by an endpoint. Its own report takes effect at
// once: a leaving endpoint gets no further requests, whatever the platform's
// list contains, and one that serves another weight version gets only requests
// for that version.
func (v *fleetView) onNotRun(e fleet.EndpointID, m engine.Metadata) {
	if !m.HasLoad {
		return
	}
	v.applyReport(e, m.Load)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.poolsStale {
		v.refresh()
	}
}

// slowness returns the ratio of the observed to the expected time to the first
// token, or 0 if either is unknown.
func slowness(observed, expected time.Duration) float64 {
	if observed <= 0 || expected <= 0 {
		return 0
	}
	return float64(observed) / float64(expected)
}

// readLoad requests the load report of an endpoint.
func readLoad(ctx context.Context, client *engine.Client, e fleet.Endpoint) (fleet.Load, error) {
	ans, err := client.Send(ctx, &engine.Attempt{
		ID:       "probe-" + string(e.ID),
		Endpoint: e.ID,
		Address:  e.Address,
		Method:   "GET",
		Path:     engine.PathLoad,
		Deadline: time.Now().Add(fleet.DefaultProbeAfter),
	})
	if err != nil {
		return fleet.Load{}, err
	}
	defer ans.Close()
	return parseLoad(ans)
}
