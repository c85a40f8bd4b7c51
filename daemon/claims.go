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

// replacedServiceGrace is how long a service runs on after the window has changed.
const replacedServiceGrace = 2 * time.Minute

// claimPollFactor is how many polls of the log pass between reads of an idle claim
// stream. A claim reads its stream at once, so that nobody waits for it.
const claimPollFactor = 2

// claimer runs the claims service with the window of the manifest in force.
type claimer struct {
	daemon *Daemon
	log    *logging.Logger

	mu      sync.Mutex
	service *claims.Service
	window  manifest.Duration
	start   func(*claims.Service) context.CancelFunc // set by run
	stop    context.CancelFunc
}

func newClaimer(d *Daemon) *claimer {
	return &claimer{daemon: d, log: d.o.Logs.For(logging.ComponentClaims)}
}

// setManifest begins anew when the window has changed. The log's marks keep
// daemons with the old window and the new one from deciding apart.
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
		c.log.Error("Claims cannot be made.", "error", err.Error())
		return
	}
	c.service = service
	c.window = m.Retention.ClaimWindow
	c.restart()
}

// restart runs the present service in place of the one before. The caller
// holds the lock.
func (c *claimer) restart() {
	if c.start == nil || c.service == nil {
		return
	}
	if c.stop != nil {
		// Calls that it has granted still have their results to write.
		time.AfterFunc(replacedServiceGrace, c.stop)
	}
	c.stop = c.start(c.service)
}

// run lets services run until ctx ends.
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

// claimRefusals says how each reason is told to the caller. Nothing has run in
// any of them.
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

// claimRefusal turns a refused claim into what the caller is told.
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
