package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/routes"
)

// Intervals and limits of rate limiting.
const (
	// quotaInterval is how often the quota node runs while no request waits.
	quotaInterval = 100 * time.Millisecond
	// quotaWaitInterval is how often it runs while a request waits.
	quotaWaitInterval = 20 * time.Millisecond
	// maxMetricOrganisations bounds the organisations with their own metrics. The others
	// share one label.
	maxMetricOrganisations = 64
)

// limiter implements forward.Limiter on top of a quota.Node, whose messages it sends
// and receives.
type limiter struct {
	clock func() time.Duration
	log   *logging.Logger
	send  func(to string, data []byte)

	mu     sync.Mutex
	node   *quota.Node
	meters map[string]*quotaMeters
	scope  tally.Scope
}

// quotaMeters are the metrics of one organisation.
type quotaMeters struct {
	admitted, refused, units tally.Counter
	used                     tally.Gauge
}

func newLimiter(me Neighbour, set *Settings, clock func() time.Duration, rng *rand.Rand, scope tally.Scope, log *logging.Logger, send func(to string, data []byte)) *limiter {
	return &limiter{
		clock: clock, log: log, send: send, meters: map[string]*quotaMeters{}, scope: scope,
		node: quota.NewNode(quota.Options{
			Self: quota.Daemon{Name: me.Name, Address: me.Address}, Tolerance: set.QuotaTolerance,
			PreferUrgent: set.OverloadControl,
			Nonce:        rng.Uint64(), Rand: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		}),
	}
}

// run runs the node periodically until the context ends.
func (l *limiter) run(ctx context.Context) {
	for pause.Tick(ctx, quotaInterval) == nil {
		l.tick()
	}
}

func (l *limiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Tick(l.clock())
	l.sendPending()
}

// receive passes a message of another daemon to the node.
func (l *limiter) receive(from string, data []byte) {
	l.mu.Lock()
	err := l.node.Receive(l.clock(), from, data)
	l.sendPending()
	l.mu.Unlock()
	if err != nil {
		l.log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
	}
}

// sendPending sends the messages in the node's outbox. The caller must hold mu.
func (l *limiter) sendPending() {
	for _, d := range l.node.Outbox() {
		l.send(d.To, d.Data)
	}
}

// setDaemons replaces the list of daemons.
func (l *limiter) setDaemons(all []Neighbour) {
	var list []quota.Daemon
	for _, d := range all {
		if d.Address != "" {
			list = append(list, quota.Daemon{Name: d.Name, Address: d.Address})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetDaemons(list)
}

// setLimits applies the rate limits of a configuration.
func (l *limiter) setLimits(t *routes.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetLimits(l.clock(), t.RateLimits())
	l.sendPending()
}

// stopLending makes the node refuse to lend, as this daemon shuts down. Other daemons then
// ask another owner at once.
func (l *limiter) stopLending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.StopLending()
}

// Admit implements forward.Limiter.
func (l *limiter) Admit(ctx context.Context, org *routes.Organisation, tokens, priority int) (quota.Verdict, error) {
	later := make(chan quota.Verdict, 1)
	l.mu.Lock()
	v, decided := l.node.Admit(l.clock(), org.QuotaKey, tokens, priority, func(v quota.Verdict) { later <- v })
	l.sendPending()
	l.mu.Unlock()
	if decided {
		return l.count(org, tokens, v), nil
	}
	again := time.NewTicker(quotaWaitInterval)
	defer again.Stop()
	for {
		select {
		case v = <-later:
			return l.count(org, tokens, v), nil
		case <-again.C:
			l.tick()
		case <-ctx.Done():
			go l.returnLate(org, tokens, later)
			return quota.Verdict{}, ctx.Err()
		}
	}
}

// returnLate returns what a request took if its caller left before the verdict.
func (l *limiter) returnLate(org *routes.Organisation, tokens int, later <-chan quota.Verdict) {
	if v := <-later; v.Admitted {
		l.Refund(org, tokens)
	}
}

// Refund implements forward.Limiter.
func (l *limiter) Refund(org *routes.Organisation, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Refund(org.QuotaKey, tokens)
}

// Charge implements forward.Limiter.
func (l *limiter) Charge(org *routes.Organisation, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Charge(org.QuotaKey, tokens)
}

// count adds a verdict to the metrics.
func (l *limiter) count(org *routes.Organisation, tokens int, v quota.Verdict) quota.Verdict {
	l.mu.Lock()
	m := l.metric(org.Name)
	l.mu.Unlock()
	if v.Admitted {
		m.admitted.Inc(1)
		m.units.Inc(int64(org.Limit.Cost(tokens)))
	} else {
		m.refused.Inc(1)
	}
	m.used.Update(v.Used)
	return v
}

// metric returns the metrics of an organisation. The caller must hold mu.
func (l *limiter) metric(name string) *quotaMeters {
	m := l.meters[name]
	if m != nil {
		return m
	}
	label := name
	if len(l.meters) >= maxMetricOrganisations {
		label = "other"
	}
	s := l.scope.Tagged(map[string]string{"organisation": label})
	m = &quotaMeters{
		admitted: s.Counter("quota_admitted"), refused: s.Counter("quota_refused"),
		units: s.Counter("quota_units"), used: s.Gauge("quota_used"),
	}
	l.meters[name] = m
	return m
}
