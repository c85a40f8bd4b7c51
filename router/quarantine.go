package router

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
	"github.com/merlindock/merlindock/forward"
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

// holder implements forward.Quarantine: it finds out which endpoints have ended, and
// carries the messages of a quarantine.Node.
type holder struct {
	me    string // name of this daemon
	clock func() time.Duration
	dial  forward.Dial
	log   *logging.Logger
	send  func(to string, data []byte)

	held, lifted, refused tally.Counter

	keeper *holdKeeper // nil: holds are not kept outside the daemons

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

func newHolder(me Neighbour, dial forward.Dial, clock func() time.Duration, rng *rand.Rand, scope tally.Scope, log *logging.Logger, send func(to string, data []byte)) *holder {
	if dial == nil {
		d := forward.Dialer()
		dial = d.DialContext
	}
	return &holder{
		me: me.Name, clock: clock, dial: dial, log: log, send: send,
		held: scope.Counter("quarantine_held"), lifted: scope.Counter("quarantine_lifted"), refused: scope.Counter("quarantine_refused"),
		node: quarantine.NewNode(quarantine.Options{
			Me:   gossip.Peer{Name: me.Name, Address: me.Address},
			Rand: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		}),
		checking: map[fleet.EndpointID]*endCheck{},
	}
}

// run does what is due with time alone until the context ends.
func (h *holder) run(ctx context.Context) {
	for pause.For(ctx, gossip.Tick) == nil {
		h.mu.Lock()
		now := h.clock()
		h.node.Tick(now)
		for key, c := range h.checking {
			if c.done && now-c.at > endedKnown {
				delete(h.checking, key)
			}
		}
		h.post()
		h.mu.Unlock()
	}
}

// receive takes a message of another daemon.
func (h *holder) receive(from string, data []byte) {
	h.mu.Lock()
	err := h.node.Receive(h.clock(), data)
	h.post()
	h.mu.Unlock()
	if err != nil {
		h.log.Info("Message is no daemon's.", "from", from, "error", err.Error())
	}
}

// post sends what the node has to send, and logs what it decided. Call it with mu held.
func (h *holder) post() {
	for _, d := range h.node.Outbox() {
		h.send(d.To, d.Data)
	}
	for _, c := range h.node.Changes() {
		if c.Held {
			h.held.Inc(1)
			h.keep(&c)
			h.log.Warn("Request is held.", "fingerprint", c.Fingerprint.String(), "reason", string(c.Reason), "ended", c.Ends, "left_ms", c.Left.Milliseconds())
			continue
		}
		h.lifted.Inc(1)
		h.keep(&c)
		h.log.Info("Request is no longer held.", "fingerprint", c.Fingerprint.String(), "reason", string(c.Reason))
	}
}

// setDaemons takes the list of all daemons.
func (h *holder) setDaemons(all []Neighbour) {
	peers := make([]gossip.Peer, 0, len(all))
	for _, d := range all {
		peers = append(peers, gossip.Peer{Name: d.Name, Address: d.Address})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node.SetPeers(peers)
}

// Held implements forward.Quarantine.
func (h *holder) Held(f quarantine.Fingerprint) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold, held := h.node.Held(h.clock(), f)
	if held {
		h.refused.Inc(1)
	}
	return hold.Left, held
}

// MayRepeat implements forward.Quarantine.
func (h *holder) MayRepeat(f quarantine.Fingerprint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.MayRepeat(h.clock(), f)
}

// Answered implements forward.Quarantine.
func (h *holder) Answered(f quarantine.Fingerprint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node.Answered(h.clock(), f)
	h.post()
}

// Lost implements forward.Quarantine. A connection also ends when an endpoint lives:
// it cut an answer short, or something between broke. Only one that takes no
// connection any more has ended.
func (h *holder) Lost(f quarantine.Fingerprint, t forward.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.checking[t.Key]
	switch {
	case c == nil || c.done && !c.ended:
		c = &endCheck{lost: []quarantine.Fingerprint{f}}
		h.checking[t.Key] = c
		go h.check(c, t)
	case !c.done:
		c.lost = append(c.lost, f)
	default:
		h.ended(f, t.Key)
	}
}

// check finds out whether the endpoint has ended.
func (h *holder) check(c *endCheck, t forward.Target) {
	ended := false
	for n := 0; n < endedTries && !ended; n++ {
		if n > 0 {
			_ = pause.For(context.Background(), endedAgain)
		}
		ended = h.refuses(t.Address)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at, c.done, c.ended = h.clock(), true, ended
	for _, f := range c.lost {
		if ended {
			h.ended(f, t.Key)
		}
	}
	c.lost = nil
}

// refuses tells whether nobody listens at the address any more.
func (h *holder) refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedTime)
	defer cancel()
	conn, err := h.dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(err, syscall.ECONNREFUSED)
}

// ended takes that an endpoint ended while it ran a request. Call it with mu held.
func (h *holder) ended(f quarantine.Fingerprint, key fleet.EndpointID) {
	h.log.Info("Endpoint ended under a request.", "fingerprint", f.String(), "endpoint", string(key))
	h.node.Ended(h.clock(), f, key)
	h.post()
}
