// Package quarantineguard runs the quarantine of one daemon. It checks whether endpoints
// have crashed, exchanges the messages of a quarantine.Node with other daemons, and
// serves the operators' API for held requests.
package quarantineguard

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quarantine"
)

// Parameters of the check whether an endpoint has crashed.
const (
	// dialAttempts is the number of connection attempts. More than one is needed because
	// the kernel of an endpoint that crashes may close the listening socket last.
	dialAttempts   = 2
	dialRetryDelay = 150 * time.Millisecond
	// dialTimeout limits one connection attempt.
	dialTimeout = 400 * time.Millisecond
	// checkResultTTL is how long the result of a check is used.
	checkResultTTL = 5 * time.Second
)

// Options configures a Guard.
type Options struct {
	Self  gossip.Peer
	Clock func() time.Duration // includes time while the machine is suspended
	// Dial opens connections to endpoints, like net.Dialer.DialContext.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Rand  *rand.Rand // seeded
	Scope tally.Scope
	Log   *logging.Logger
	// Send sends a message to another daemon without waiting for its delivery.
	Send func(to string, data []byte)
	// OnChange, unless nil, is called for each hold that began or ended, with kept set
	// if this daemon decided the hold and it has to be stored outside the daemons. It
	// must not call methods of the Guard.
	OnChange func(c *quarantine.Change, kept *quarantine.StoredHold)
}

// Guard holds requests that crashed several endpoints, so that they reach no further
// endpoint. It is safe for concurrent use.
type Guard struct {
	o      Options
	ctx    context.Context // ends when Run returns
	cancel func()

	held, lifted, refused tally.Counter

	mu     sync.Mutex
	node   *quarantine.Node
	checks map[fleet.EndpointID]*endpointCheck
}

// endpointCheck is a check whether an endpoint has crashed.
type endpointCheck struct {
	checkedAt time.Duration
	done      bool
	crashed   bool
	waiting   []lostAttempt // wait for the result
}

// lostAttempt is an attempt whose connection was lost or ended with the answer.
type lostAttempt struct {
	id      *quarantine.Identity
	version int64 // of the weights
	// answered states that the connection ended with an answer, which is complete unless
	// the endpoint has crashed.
	answered bool
}

// New returns a Guard without holds.
func New(o Options) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		o: o, ctx: ctx, cancel: cancel, held: o.Scope.Counter("quarantine_held"), lifted: o.Scope.Counter("quarantine_lifted"),
		refused: o.Scope.Counter("quarantine_refused"),
		node:    quarantine.NewNode(quarantine.Options{Self: o.Self, Rand: rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))}),
		checks:  map[fleet.EndpointID]*endpointCheck{},
	}
}

// Run performs the periodic work until the context ends.
func (g *Guard) Run(ctx context.Context) {
	defer g.cancel()
	for pause.Tick(ctx, gossip.TickInterval) == nil {
		g.mu.Lock()
		now := g.o.Clock()
		g.node.Tick(now)
		for key, c := range g.checks {
			if c.done && now-c.checkedAt > checkResultTTL {
				delete(g.checks, key)
			}
		}
		g.flush()
		g.mu.Unlock()
	}
}

// Receive processes a message from another daemon.
func (g *Guard) Receive(from string, data []byte) {
	g.mu.Lock()
	err := g.node.Receive(g.o.Clock(), data)
	g.flush()
	g.mu.Unlock()
	if err != nil {
		g.o.Log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
	}
}

// flush sends the node's messages and reports its changes. The caller must hold mu.
func (g *Guard) flush() {
	for _, d := range g.node.Outbox() {
		g.o.Send(d.To, d.Data)
	}
	for _, c := range g.node.Changes() {
		g.reportChange(&c)
	}
}

func (g *Guard) reportChange(c *quarantine.Change) {
	var kept *quarantine.StoredHold
	if c.Held {
		g.held.Inc(1)
		g.o.Log.Warn("Request is held.", "fingerprint", c.Fingerprint.String(), "segment", c.Fingerprint.IsSegment(), "reason", string(c.Reason), "ended", c.Crashed, "left_ms", c.Left.Milliseconds())
		if k, held := g.node.HoldToStore(g.o.Clock(), c.Fingerprint); held && c.Reason == quarantine.ReasonCrashes {
			kept = &k
		}
	} else {
		g.lifted.Inc(1)
		g.o.Log.Info("Request is no longer held.", "fingerprint", c.Fingerprint.String(), "segment", c.Fingerprint.IsSegment(), "reason", string(c.Reason))
	}
	if g.o.OnChange != nil {
		g.o.OnChange(c, kept)
	}
}

// Restore adds a hold that was stored outside the daemons.
func (g *Guard) Restore(k quarantine.StoredHold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.RestoreHold(g.o.Clock(), k)
	g.flush()
}

// SetDaemons sets the list of all daemons.
func (g *Guard) SetDaemons(all []gossip.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetPeers(all)
}

// Held returns the hold by which the request is refused, and false if there is none.
func (g *Guard) Held(id *quarantine.Identity) (quarantine.Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hold, held := g.node.Held(g.o.Clock(), id)
	if held {
		g.refused.Inc(1)
	}
	return hold, held
}

// MayRetry reports whether a request may be retried after it was lost at an endpoint.
func (g *Guard) MayRetry(id *quarantine.Identity) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.MayRetry(g.o.Clock(), id)
}

// Answered records that an endpoint gave a complete answer to the request on weights of
// the given version.
func (g *Guard) Answered(id *quarantine.Identity, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Answered(g.o.Clock(), id, version)
	g.flush()
}

// Lost records an attempt whose connection broke, and checks the endpoint unless it
// is known to have crashed. An endpoint that aborted only one answer, or whose network
// failed, may still run, so it counts as crashed only if it accepts no more connections.
func (g *Guard) Lost(id *quarantine.Identity, version int64, at quarantine.Endpoint) {
	g.checkFor(lostAttempt{id: id, version: version}, at)
}

// Ended records an answer that ended with its connection, and checks the endpoint as Lost
// does.
func (g *Guard) Ended(id *quarantine.Identity, version int64, at quarantine.Endpoint) {
	g.checkFor(lostAttempt{id: id, version: version, answered: true}, at)
}

func (g *Guard) checkFor(lost lostAttempt, at quarantine.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.checks[at.Key]
	switch {
	case c == nil || c.done && !c.crashed:
		c = &endpointCheck{waiting: []lostAttempt{lost}}
		g.checks[at.Key] = c
		go g.check(c, at)
	case !c.done:
		c.waiting = append(c.waiting, lost)
	default:
		g.recordCrash(lost, at.Key)
	}
}

// check determines whether the endpoint has crashed and records this for the waiting
// attempts.
func (g *Guard) check(c *endpointCheck, at quarantine.Endpoint) {
	crashed := false
	for n := 0; n < dialAttempts && !crashed; n++ {
		if n > 0 {
			if pause.For(g.ctx, dialRetryDelay) != nil {
				return
			}
		}
		crashed = g.unreachable(at.Address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.checkedAt, c.done, c.crashed = g.o.Clock(), true, crashed
	for _, lost := range c.waiting {
		switch {
		case crashed:
			g.recordCrash(lost, at.Key)
		case lost.answered:
			g.node.Answered(g.o.Clock(), lost.id, lost.version)
		}
	}
	c.waiting = nil
	g.flush()
}

// unreachable reports whether the address refuses connections or the host does not respond.
func (g *Guard) unreachable(address string) bool {
	ctx, cancel := context.WithTimeout(g.ctx, dialTimeout)
	defer cancel()
	conn, err := g.o.Dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout() && g.ctx.Err() == nil
}

// recordCrash records that an endpoint crashed while it ran the request. The caller must
// hold mu.
func (g *Guard) recordCrash(lost lostAttempt, key fleet.EndpointID) {
	counted := g.node.EndpointCrashed(g.o.Clock(), lost.id, lost.version, key)
	g.o.Log.Info("Endpoint crashed while it ran a request.", "fingerprint", lost.id.Request.String(), "endpoint", string(key), "version", lost.version, "counted", countedText(lost.id, counted))
	g.flush()
}

// Limits of the fingerprints in a log line.
const (
	maxLoggedFingerprints = 8
	maxLoggedSegmentID    = 16 // bytes
)

// countedText formats the first fingerprints that a crash counts against, those of
// segments after "ID=".
func countedText(id *quarantine.Identity, counted []quarantine.Fingerprint) []string {
	out := make([]string, 0, maxLoggedFingerprints)
	for _, f := range counted[:min(len(counted), maxLoggedFingerprints)] {
		text := f.String()
		if segment := id.SegmentID(f); segment != "" {
			text = segment[:min(len(segment), maxLoggedSegmentID)] + "=" + text
		}
		out = append(out, text)
	}
	return out
}
