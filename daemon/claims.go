package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/merlindock/merlindock/claims"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/ledger"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/manifest"
)

// replacedServiceGrace is how long a claims service keeps running after a
// change of the claim window has replaced it, so that its calls can store their
// results.
const replacedServiceGrace = 2 * time.Minute

// claimPollFactor is the poll interval of an idle claim stream in poll
// intervals of the manifest log. It can be longer because a claim reads its
// stream at once and does not wait for the poll.
const claimPollFactor = 2

// claimer runs the claims service with the claim window of the manifest in
// force.
type claimer struct {
	daemon *Daemon
	log    *logging.Logger

	mu      sync.Mutex
	service *claims.Service
	window  manifest.Duration
	start   func(*claims.Service) context.CancelFunc // nil unless run is active
	stop    context.CancelFunc
}

func newClaimer(d *Daemon) *claimer {
	return &claimer{daemon: d, log: d.o.Logs.For(logging.ComponentClaims)}
}

// setManifest replaces the service if the claim window has changed. Daemons
// with different windows cannot decide differently about a claim: the markers
// in the log show each daemon's layout.
func (c *claimer) setManifest(m *manifest.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.service != nil && c.window == m.Retention.ClaimWindow {
		return
	}
	s := c.daemon.o.Settings
	service, err := claims.New(claims.Options{
		Log:    c.daemon.o.Log,
		Owner:  fmt.Sprintf("%s/%d", s.Daemon.ID, c.daemon.startedAt.UnixNano()),
		Layout: ledger.Layout{Partitions: s.Claims.Partitions, Window: m.Retention.ClaimWindow},
		Linger: s.Claims.BatchDelay,
		Poll:   claimPollFactor * s.Platform.PollInterval,
		Seed:   seedOf(s.Daemon.ID, c.daemon.startedAt),
	})
	if err != nil {
		c.log.Error("Claims service could not be created.", "error", err.Error())
		return
	}
	c.service = service
	c.window = m.Retention.ClaimWindow
	c.restart()
}

// restart starts the current service and schedules the end of the previous one.
// The caller holds c.mu.
func (c *claimer) restart() {
	if c.start == nil || c.service == nil {
		return
	}
	if c.stop != nil {
		// Calls that were granted by the previous service still store their results through it.
		time.AfterFunc(replacedServiceGrace, c.stop)
	}
	c.stop = c.start(c.service)
}

// run keeps the current service running until ctx ends, and returns after all
// services have stopped.
func (c *claimer) run(ctx context.Context) error {
	var running sync.WaitGroup
	c.mu.Lock()
	c.start = func(s *claims.Service) context.CancelFunc {
		ctx, cancel := context.WithCancel(ctx)
		running.Go(func() { _ = s.Run(ctx) })
		return cancel
	}
	c.restart()
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.start = nil
	c.mu.Unlock()
	running.Wait()
	return ctx.Err()
}

func (c *claimer) current() *claims.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service
}

// Claim implements gateway.Claimer.
func (c *claimer) Claim(ctx context.Context, r gateway.ClaimRequest) (gateway.Claim, error) {
	service := c.current()
	if service == nil {
		return gateway.Claim{}, claimRefusal(claims.Answer{Reason: claims.ReasonNotReady, RetryAfter: time.Second})
	}
	a := service.Claim(ctx, claims.Request{
		Organisation: string(r.Organisation),
		Key:          r.Key,
		Digest:       ledger.HashID(string(r.Digest[:])),
	})
	c.daemon.metrics.Scope.Tagged(map[string]string{"outcome": string(a.Outcome)}).Counter("claims").Inc(1)
	switch a.Outcome {
	case claims.Granted:
		return grantedClaim(a.Grant), nil
	case claims.Stored:
		stored := gateway.StoredAnswer{Status: a.Result.Status, ContentType: a.Result.ContentType, Body: a.Result.Body}
		return gateway.Claim{Decision: gateway.ClaimStored, Stored: stored}, nil
	case claims.Unknown:
		return gateway.Claim{Decision: gateway.ClaimUnknown}, nil
	}
	return gateway.Claim{}, claimRefusal(a)
}

func grantedClaim(g *claims.Grant) gateway.Claim {
	return gateway.Claim{
		Decision: gateway.ClaimRun,
		Complete: func(ctx context.Context, a gateway.StoredAnswer) error {
			return g.Complete(ctx, ledger.Result{Status: a.Status, ContentType: a.ContentType, Body: a.Body})
		},
		Abandon: g.Abandon,
	}
}

// claimRefusals maps the reason of a refused claim to the answer to the caller.
// In all of these cases nothing has run.
var claimRefusals = map[claims.Reason]gateway.Refusal{
	claims.ReasonInvalidKey: {
		Status: http.StatusBadRequest, Code: gateway.CodeKeyInvalid, Outcome: gateway.OutcomeRefused,
		Message: "the idempotency key must be a UUIDv7",
	},
	claims.ReasonExpired: {
		Status: http.StatusConflict, Code: gateway.CodeKeyInvalid, Outcome: gateway.OutcomeNotRun,
		Message: "the idempotency key is older than what is remembered",
	},
	claims.ReasonEarly: {
		Status: http.StatusConflict, Code: gateway.CodeKeyInvalid, Outcome: gateway.OutcomeNotRun,
		Message: "the idempotency key's time lies ahead of the log's",
	},
	claims.ReasonDiffers: {
		Status: http.StatusUnprocessableEntity, Code: gateway.CodeKeyReused, Outcome: gateway.OutcomeRefused,
		Message: "the idempotency key stands for another call",
	},
	claims.ReasonTooManyAttempts: {
		Status: http.StatusConflict, Code: gateway.CodeKeyInvalid, Outcome: gateway.OutcomeNotRun,
		Message: "the call was given up too often under this key; take a new one",
	},
}

// claimRefusal returns the error answer for a refused claim. Reasons that are
// missing from claimRefusals are temporary and get status 503.
func claimRefusal(a claims.Answer) *gateway.Refusal {
	r, ok := claimRefusals[a.Reason]
	if !ok {
		r = gateway.Refusal{
			Status:  http.StatusServiceUnavailable,
			Code:    gateway.CodeClaimUnavailable,
			Outcome: gateway.OutcomeNotRun,
			Message: "the call cannot be claimed now: " + string(a.Reason),
		}
	}
	r.RetryAfter = a.RetryAfter
	return &r
}
