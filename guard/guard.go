// Package guard is a daemon's part in a quarantine: it finds out which endpoints have
// ended, carries the messages of a quarantine.Node, and shows operators what is held.
package guard

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

// Times of finding out whether an endpoint has ended.
const (
	// endedTries is how often an endpoint is connected to: its kernel may end its
	// connections one after another, and the one that listens last.
	endedTries = 2
	endedAgain = 150 * time.Millisecond
	// endedTime bounds one connection.
	endedTime = 400 * time.Millisecond
	// endedKnown is how long the result holds.
	endedKnown = 5 * time.Second
)

// Options are what a Guard needs.
type Options struct {
	Self  gossip.Peer
	Clock func() time.Duration // runs on while the machine is suspended
	// Dial opens connections to endpoints, as net.Dialer.DialContext does.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Rand  *rand.Rand // seeded
	Scope tally.Scope
	Log   *logging.Logger
	// Send sends a message to another daemon and does not wait for its way.
	Send func(to string, data []byte)
	// OnChange is told of holds that began or ended, and of what there is to keep of
	// one that began here; nil: holds are not kept outside the daemons. It must not
	// call back.
	OnChange func(c *quarantine.Change, kept *quarantine.Kept)
}

// Guard keeps requests from endpoints that end whenever they run them. It is safe for
// concurrent use.
type Guard struct {
	o   Options
	ctx context.Context // ends with Run
	end func()

	held, lifted, refused tally.Counter

	mu       sync.Mutex
	node     *quarantine.Node
	checking map[fleet.EndpointID]*endCheck
}

// endCheck is the question whether an endpoint has ended.
type endCheck struct {
	at    time.Duration
	done  bool
	ended bool
	lost  []quarantine.Fingerprint // that wait for the result
}

// New returns a Guard that holds nothing.
func New(o Options) *Guard {
	ctx, end := context.WithCancel(context.Background())
	return &Guard{
		o: o, ctx: ctx, end: end, held: o.Scope.Counter("quarantine_held"), lifted: o.Scope.Counter("quarantine_lifted"),
		refused:  o.Scope.Counter("quarantine_refused"),
		node:     quarantine.NewNode(quarantine.Options{Me: o.Self, Rand: rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))}),
		checking: map[fleet.EndpointID]*endCheck{},
	}
}

// Run does what is due with time alone until the context ends.
func (g *Guard) Run(ctx context.Context) {
	defer g.end()
	for pause.Tick(ctx, gossip.Tick) == nil {
		g.mu.Lock()
		now := g.o.Clock()
		g.node.Tick(now)
		for key, c := range g.checking {
			if c.done && now-c.at > endedKnown {
				delete(g.checking, key)
			}
		}
		g.post()
		g.mu.Unlock()
	}
}

// Receive takes a message of another daemon.
func (g *Guard) Receive(from string, data []byte) {
	g.mu.Lock()
	err := g.node.Receive(g.o.Clock(), data)
	g.post()
	g.mu.Unlock()
	if err != nil {
		g.o.Log.Info("Message is no daemon's.", "from", from, "error", err.Error())
	}
}

// post sends what the node has to send, and tells what it decided. Call it with mu held.
func (g *Guard) post() {
	for _, d := range g.node.Outbox() {
		g.o.Send(d.To, d.Data)
	}
	for _, c := range g.node.Changes() {
		g.tell(&c)
	}
}

func (g *Guard) tell(c *quarantine.Change) {
	var kept *quarantine.Kept
	if c.Held {
		g.held.Inc(1)
		g.o.Log.Warn("Request is held.", "fingerprint", c.Fingerprint.String(), "reason", string(c.Reason), "ended", c.Ends, "left_ms", c.Left.Milliseconds())
		if k, held := g.node.Keep(g.o.Clock(), c.Fingerprint); held && c.Reason == quarantine.ReasonEnds {
			kept = &k
		}
	} else {
		g.lifted.Inc(1)
		g.o.Log.Info("Request is no longer held.", "fingerprint", c.Fingerprint.String(), "reason", string(c.Reason))
	}
	if g.o.OnChange != nil {
		g.o.OnChange(c, kept)
	}
}

// Restore takes a hold that was kept outside the daemons.
func (g *Guard) Restore(k quarantine.Kept) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Recall(g.o.Clock(), k)
	g.post()
}

// SetDaemons takes the list of all daemons.
func (g *Guard) SetDaemons(all []gossip.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.SetPeers(all)
}

// Held tells how long the request is still held; false if it is not.
func (g *Guard) Held(f quarantine.Fingerprint) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	hold, held := g.node.Held(g.o.Clock(), f)
	if held {
		g.refused.Inc(1)
	}
	return hold.Left, held
}

// MayRepeat tells whether the request may be sent on after it was lost at an endpoint.
func (g *Guard) MayRepeat(f quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.MayRepeat(g.o.Clock(), f)
}

// Answered takes that an endpoint answered the request whole.
func (g *Guard) Answered(f quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node.Answered(g.o.Clock(), f)
	g.post()
}

// Lost takes an attempt whose connection ended. That also happens when the endpoint
// lives: it cut an answer short, or something between broke. Only one that takes no
// connection any more has ended. key names one life of the endpoint.
func (g *Guard) Lost(f quarantine.Fingerprint, key fleet.EndpointID, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.checking[key]
	switch {
	case c == nil || c.done && !c.ended:
		c = &endCheck{lost: []quarantine.Fingerprint{f}}
		g.checking[key] = c
		go g.check(c, key, address)
	case !c.done:
		c.lost = append(c.lost, f)
	default:
		g.ended(f, key)
	}
}

// check finds out whether the endpoint has ended.
func (g *Guard) check(c *endCheck, key fleet.EndpointID, address string) {
	ended := false
	for n := 0; n < endedTries && !ended; n++ {
		if n > 0 {
			if pause.For(g.ctx, endedAgain) != nil {
				return
			}
		}
		ended = g.gone(address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.at, c.done, c.ended = g.o.Clock(), true, ended
	for _, f := range c.lost {
		if ended {
			g.ended(f, key)
		}
	}
	c.lost = nil
}

// gone tells whether nobody listens at the address any more, or the host is silent.
func (g *Guard) gone(address string) bool {
	ctx, cancel := context.WithTimeout(g.ctx, endedTime)
	defer cancel()
	conn, err := g.o.Dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &timeout) && timeout.Timeout() && g.ctx.Err() == nil
}

// ended takes that an endpoint ended while it ran a request. Call it with mu held.
func (g *Guard) ended(f quarantine.Fingerprint, key fleet.EndpointID) {
	g.o.Log.Info("Endpoint ended under a request.", "fingerprint", f.String(), "endpoint", string(key))
	g.node.Ended(g.o.Clock(), f, key)
	g.post()
}
