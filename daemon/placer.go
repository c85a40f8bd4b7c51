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

// requestIDs numbers what one daemon places and admits.
type requestIDs struct{ last atomic.Uint64 }

func (r *requestIDs) next() uint64 { return r.last.Add(1) }

func newRand(id string, life time.Time) *rand.Rand {
	return rand.New(rand.NewPCG(seedOf(id, life), uint64(life.UnixNano())))
}

// trialsAtOnce bounds how often a request is placed anew because the endpoint
// that was chosen is on trial with another one.
const trialsAtOnce = 3

// errAtLimits is what callers are told while all endpoints are at the limits that they
// name.
var errAtLimits = &gateway.Refusal{
	Status: http.StatusServiceUnavailable, Code: gateway.CodeOverloaded, Outcome: gateway.OutcomeNotRun,
	Message: "all endpoints are at the limits that they name", RetryAfter: gateway.DefaultRetryAfter,
}

// Place implements gateway.Placer. While all endpoints are at their limits it waits for
// other daemons' words for a moment.
func (v *fleetView) Place(ctx context.Context, r *gateway.PlaceRequest) (gateway.Placement, error) {
	if r.Attempt <= 1 {
		v.daemon.retries.earn()
	}
	for waited := 0; ; waited++ {
		p, err := v.place(r)
		if !errors.Is(err, errAtLimits) || waited == endpointlimit.MaxReplyWaits || !v.daemon.room.AwaitingReply() {
			return p, err
		}
		if err := pause.For(ctx, endpointlimit.ReplyWait); err != nil {
			return p, err
		}
	}
}

func (v *fleetView) place(r *gateway.PlaceRequest) (gateway.Placement, error) {
	levels := v.levels(r)
	request := placement.Request{
		Pool:     classPool(r.Class),
		Levels:   levels,
		Tokens:   r.PromptTokens,
		Priority: priorityOf(r.Priority),
		Avoid:    r.Exclude,
	}
	if r.Kind == fleet.KindModel {
		request.Pool = modelPool(r.Target.Model, r.Target.Version)
	}
	repeatable := r.Kind == fleet.KindModel
	full := v.daemon.room.AtLimit()
	request.Avoid = append(slices.Clone(r.Exclude), full...)
	for tries := 0; ; tries++ {
		request.ID = v.ids.next()
		decision, err := v.placement.Place(v.now(), request)
		if err != nil && repeatable && tries > 0 && tries < trialsAtOnce {
			// Only endpoints on trial are left: better one of them than none.
			tries, request.Avoid = trialsAtOnce-1, append(slices.Clone(r.Exclude), full...)
			continue
		}
		if err != nil && len(full) > 0 {
			return gateway.Placement{}, errAtLimits
		}
		if err != nil {
			return gateway.Placement{}, err
		}
		last := tries == trialsAtOnce
		if v.mayTry(decision.Endpoint, repeatable) || (last && repeatable) {
			if v.daemon.room.Acquire(decision.Endpoint) {
				return v.placed(request.ID, levels, &decision), nil
			}
			v.placement.Finished(v.now(), request.ID)
			full = append(full, decision.Endpoint)
			request.Avoid = append(slices.Clone(request.Avoid), decision.Endpoint)
			tries--
			continue
		}
		v.placement.Finished(v.now(), request.ID)
		if last {
			// "Not run" is better than a call lost on an endpoint that fails.
			return gateway.Placement{}, gateway.ErrNoEndpoint
		}
		request.Avoid = append(slices.Clone(request.Avoid), decision.Endpoint)
	}
}

// mayTry reports whether an endpoint that is due back after failing may have
// this request. One at a time finds out whether it is back; else all requests
// of its prefixes would be lost on it together. A call that may not be repeated
// is never the one.
func (v *fleetView) mayTry(id fleet.EndpointID, repeatable bool) bool {
	v.healthMu.Lock()
	defer v.healthMu.Unlock()
	now := v.now()
	return v.health.Status(now, id) != health.Trial || v.health.Allow(now, id, repeatable)
}

// levels cuts the prompt into the levels that placement counts in.
func (v *fleetView) levels(r *gateway.PlaceRequest) []prefix.Level {
	if r.Kind != fleet.KindModel {
		return nil
	}
	v.mu.Lock()
	pool := v.cutters
	v.mu.Unlock()
	c := pool.Get().(*prefix.Splitter)
	defer pool.Put(c)
	c.Reset(prefix.Seed{
		Organisation:   r.Organisation,
		Model:          r.Target.Model,
		Version:        r.Target.Version,
		Adapter:        r.Target.Adapter,
		AdapterVersion: r.Target.AdapterVersion,
	})
	begin := 0
	for _, end := range r.Levels {
		c.Write(r.Prompt[begin:end])
		c.EndMessage()
		begin = end
	}
	return append([]prefix.Level(nil), c.Levels()...)
}

// placed turns a decision into a placement whose callbacks correct the view.
func (v *fleetView) placed(id uint64, levels []prefix.Level, d *placement.Decision) gateway.Placement {
	v.mu.Lock()
	address := v.places[d.Endpoint].Address
	store := v.places[d.ImportFrom].Address
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
	p.OnHeader = func(m engine.Metadata) { v.began(id, p.Endpoint, levels, m) }
	p.OnDone = func(r gateway.AttemptResult) { v.ended(id, p.Endpoint, expected, r) }
	return p
}

func (v *fleetView) began(id uint64, e fleet.EndpointID, levels []prefix.Level, m engine.Metadata) {
	v.daemon.room.Answered(e, m.Limit)
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
		v.reported(e, m.Load)
	}
	v.placement.Answered(v.now(), a)
}

// ended tells placement, membership and health how the attempt went.
func (v *fleetView) ended(id uint64, e fleet.EndpointID, expected time.Duration, r gateway.AttemptResult) {
	now := v.now()
	if r.Outcome == gateway.AttemptSucceeded || r.Outcome == gateway.AttemptCancelled {
		v.placement.Finished(now, id)
	} else {
		dead := r.Outcome == gateway.AttemptNotSent
		v.placement.Failed(now, placement.Failure{ID: id, Endpoint: e, ConnectionLost: dead})
	}
	if r.Status != 0 {
		v.daemon.room.Answered(e, r.Meta.Limit)
	}
	switch r.Outcome {
	case gateway.AttemptSucceeded:
		v.healthMu.Lock()
		v.health.RecordSuccess(now, e, r.Meta.Incarnation, slowness(r.FirstToken, expected))
		v.healthMu.Unlock()
	case gateway.AttemptNotSent:
		v.daemon.room.Release(e)
		v.refused(e)
	case gateway.AttemptNotRun:
		v.notRun(e, r.Meta)
	case gateway.AttemptFailed:
		v.healthMu.Lock()
		v.health.RecordFailure(now, e, r.Meta.Incarnation)
		v.healthMu.Unlock()
	case gateway.AttemptCancelled:
	}
}

// notRun takes an endpoint's refusal. What it says of itself counts at once: one
// that is leaving gets no new work, whatever the platform's list says, and one
// that serves another weight version gets requests for that.
func (v *fleetView) notRun(e fleet.EndpointID, m engine.Metadata) {
	if !m.HasLoad {
		return
	}
	v.reported(e, m.Load)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.dirty {
		v.refresh()
	}
}

// slowness is the time to the first token over the one expected; 0 means that
// it is not known.
func slowness(got, expected time.Duration) float64 {
	if got <= 0 || expected <= 0 {
		return 0
	}
	return float64(got) / float64(expected)
}

// readLoad asks an endpoint for its load.
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
