package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
)

// ErrNoEndpoint means that no endpoint can be used for an attempt.
var ErrNoEndpoint = errors.New("gateway: no endpoint can be used")

// AdmitAll admits every request immediately.
type AdmitAll struct{}

// Admit implements Admitter.
func (AdmitAll) Admit(context.Context, AdmitRequest) (Admission, error) {
	return Admission{Release: func(int) {}}, nil
}

// NoClaims refuses calls with an idempotency key: without a shared log it cannot
// be ensured that they run at most once.
type NoClaims struct{}

// Claim implements Claimer.
func (NoClaims) Claim(context.Context, ClaimRequest) (Claim, error) {
	return Claim{}, notRunRefusal(CodeClaimUnavailable, "calls with an idempotency key are not served here", 0)
}

// SimpleRetry allows retries of requests that did not run or are idempotent, with
// exponential backoff.
type SimpleRetry struct{}

const initialBackoff = 5 * time.Millisecond

// Next implements RetryPolicy.
func (SimpleRetry) Next(f FailedAttempt) (time.Duration, bool) {
	if f.Class.MayHaveRun() && !f.Idempotent {
		return 0, false
	}
	return initialBackoff << min(f.Attempt-1, 6), true
}

type noObserver struct{}

func (noObserver) Request(*Report)                                   {}
func (noObserver) Attempt(*PlaceRequest, *Placement, *AttemptResult) {}

// RendezvousPlacer places requests by rendezvous hashing of the prompt's first
// level over the endpoints that serve the model or class. It has no state, so all
// daemons choose the same endpoint.
type RendezvousPlacer struct {
	// Endpoints returns the currently known endpoints.
	Endpoints func() []fleet.Endpoint
	// Serves reports whether endpoints of a class can serve the request.
	Serves func(class string, r *PlaceRequest) bool
}

// Place implements Placer.
func (p *RendezvousPlacer) Place(_ context.Context, r *PlaceRequest) (Placement, error) {
	var best *fleet.Endpoint
	var bestScore uint64
	endpoints := p.Endpoints()
	for i := range endpoints {
		e := &endpoints[i]
		if e.State == fleet.VMLeaving || slices.Contains(r.Exclude, e.ID) || !p.Serves(e.Class, r) {
			continue
		}
		if s := score(r, e.ID); best == nil || s > bestScore {
			best, bestScore = e, s
		}
	}
	if best == nil {
		return Placement{}, ErrNoEndpoint
	}
	return Placement{Endpoint: best.ID, Address: best.Address}, nil
}

func score(r *PlaceRequest, id fleet.EndpointID) uint64 {
	h := fnv.New64a()
	prompt := r.Prompt
	if len(r.Levels) > 0 {
		prompt = prompt[:r.Levels[0]]
	}
	_, _ = h.Write([]byte(r.Organisation))
	_, _ = h.Write([]byte(r.Target.Model + r.Target.Version + r.Target.Adapter))
	_, _ = h.Write(prompt)
	_, _ = h.Write([]byte(id))
	// FNV sums of inputs that differ only in the last bytes are close together.
	return hash.Mix(h.Sum64())
}
