// Package endpointlimit keeps endpoints within the request limits that they report: it
// exchanges the messages of a limits.Table and a quota.Node with other daemons, and lists
// the endpoints at their limits for placement.
package endpointlimit

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/limits"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quota"
)

// messageKind is the first byte of messages of package quota about limits of endpoints.
const messageKind = 0x42

// replyTick is the interval at which pending replies of other daemons are checked for
// timeout.
const replyTick = 20 * time.Millisecond

// Retries of placement while all endpoints are at their limits.
const (
	// ReplyWait is how long a request waits for another daemon's reply about a limit, and
	// MaxReplyWaits how often.
	ReplyWait     = 5 * time.Millisecond
	MaxReplyWaits = 8
)

// Options configures a Limiter.
type Options struct {
	Me    gossip.Peer
	Clock func() time.Duration // advances while the machine is suspended
	Rand  *rand.Rand           // seeded
	Scope tally.Scope
	Log   *logging.Logger
	// Send sends a message to another daemon without waiting for delivery.
	Send func(to string, data []byte)
	// LimitsChanged is called with the endpoints that have a limit; nil: not called. It
	// must not call back.
	LimitsChanged func(limited map[fleet.EndpointID]bool)
}

// Limiter keeps the requests of all daemons to an endpoint within the limit that the
// endpoint reports. It is safe for concurrent use.
type Limiter struct {
	o Options

	passedOver, taken tally.Counter

	mu       sync.Mutex
	table    *limits.Table
	quota    *quota.Node
	keys     map[fleet.EndpointID]quota.Key // of endpoints with a limit
	awaiting map[quota.Key]bool             // another daemon's reply is pending
	unused   []quota.Key                    // admitted by late replies, after the requests went elsewhere
}

// New returns a Limiter without limits.
func New(o Options) *Limiter {
	draw := func() *rand.Rand { return rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())) }
	return &Limiter{
		o: o, passedOver: o.Scope.Counter("endpoint_limit_passed_over"), taken: o.Scope.Counter("endpoint_limit_taken"),
		table: limits.NewTable(limits.Options{Self: o.Me, Rand: draw()}),
		quota: quota.NewNode(quota.Options{
			Self: quota.Daemon{Name: o.Me.Name, Address: o.Me.Address}, Tolerance: limits.Tolerance,
			Nonce: o.Rand.Uint64(), Rand: draw(),
		}),
		keys: map[fleet.EndpointID]quota.Key{}, awaiting: map[quota.Key]bool{},
	}
}

// Run performs periodic work until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	var lastTick time.Duration // time of the table's last tick
	for pause.Tick(ctx, l.period()) == nil {
		l.mu.Lock()
		now := l.o.Clock()
		if now-lastTick >= gossip.TickInterval-replyTick/2 {
			lastTick = now
			l.table.Tick(now)
		}
		if len(l.keys) > 0 {
			l.quota.Tick(now)
		}
		l.flush()
		l.mu.Unlock()
	}
}

// period returns the time to the next tick. Replies are pending only while limits are
// known.
func (l *Limiter) period() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys)+len(l.awaiting) > 0 {
		return replyTick
	}
	return gossip.TickInterval
}

// Receive handles a message of another daemon. It returns false for messages of other
// kinds.
func (l *Limiter) Receive(from string, data []byte) bool {
	if len(data) == 0 || !limits.IsMessage(data) && data[0] != messageKind {
		return false
	}
	var err error
	l.mu.Lock()
	if limits.IsMessage(data) {
		err = l.table.Receive(l.o.Clock(), data)
	} else {
		err = l.quota.Receive(l.o.Clock(), from, data[1:])
	}
	l.flush()
	l.mu.Unlock()
	if err != nil {
		l.o.Log.Info("Message of another daemon is malformed.", "from", from, "error", err.Error())
	}
	return true
}

// flush applies changes of limits and sends all queued messages. The caller holds mu.
func (l *Limiter) flush() {
	if changes := l.table.Changes(); len(changes) > 0 {
		l.applyLimits()
		for i := range changes {
			l.logChange(&changes[i])
		}
	}
	for _, key := range l.unused {
		l.quota.Refund(key, -1)
	}
	l.unused = l.unused[:0]
	for _, d := range l.table.Outbox() {
		l.o.Send(d.To, d.Data)
	}
	for _, d := range l.quota.Outbox() {
		l.o.Send(d.To, append([]byte{messageKind}, d.Data...))
	}
}

// applyLimits applies the known limits.
func (l *Limiter) applyLimits() {
	l.quota.SetLimits(l.o.Clock(), l.table.Limits())
	clear(l.keys)
	limited := map[fleet.EndpointID]bool{}
	for _, e := range l.table.Limited() {
		l.keys[e] = limits.KeyOf(e)
		limited[e] = true
	}
	if l.o.LimitsChanged != nil {
		l.o.LimitsChanged(limited)
	}
}

func (l *Limiter) logChange(c *limits.Change) {
	fields := []any{"endpoint", string(c.Endpoint), "from_peer", c.FromPeer, "age_ms", c.Age.Milliseconds()}
	if c.Limit == nil {
		l.o.Log.Info("Endpoint no longer reports a limit.", fields...)
		return
	}
	l.o.Log.Info("Endpoint reports a limit.", append(fields, "limit", *c.Limit)...)
}

// SetDaemons sets the list of all daemons.
func (l *Limiter) SetDaemons(all []gossip.Peer) {
	var daemons []quota.Daemon
	for _, d := range all {
		if d.Address != "" {
			daemons = append(daemons, quota.Daemon{Name: d.Name, Address: d.Address})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetPeers(all)
	l.quota.SetDaemons(daemons)
}

// Leave stops lending to other daemons, so that they ask another daemon at once.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.StopLending()
}

// Answered records the limit that an answer of the endpoint reported; nil: none.
func (l *Limiter) Answered(e fleet.EndpointID, limit *float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetFromAnswer(l.o.Clock(), e, limit)
	l.flush()
}

// AtLimit returns the endpoints that are at their limits, and those for which another
// daemon's reply is pending.
func (l *Limiter) AtLimit() []fleet.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EndpointID
	now := l.o.Clock()
	for e, key := range l.keys {
		if l.awaiting[key] || l.quota.WouldReject(now, key) {
			out = append(out, e)
		}
	}
	return out
}

// Limited returns the endpoints that have a limit.
func (l *Limiter) Limited() []fleet.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.keys))
}

// Acquire counts a request that is about to be sent to the endpoint. It returns false if
// the endpoint is at its limit or another daemon's reply is pending. It never waits: a
// later reply counts for the next request.
func (l *Limiter) Acquire(e fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, limited := l.keys[e]
	if !limited {
		return true
	}
	if !l.awaiting[key] && l.admit(key) {
		l.taken.Inc(1)
		return true
	}
	l.passedOver.Inc(1)
	return false
}

// admit requests the admission of one request. The caller holds mu.
func (l *Limiter) admit(key quota.Key) bool {
	admitted, decided, returned := false, false, false
	v, now := l.quota.Admit(l.o.Clock(), key, -1, 0, func(v quota.Verdict) {
		if !returned { // decided by this daemon itself
			admitted, decided = v.Admitted, true
			return
		}
		delete(l.awaiting, key)
		if v.Admitted {
			l.unused = append(l.unused, key)
		}
	})
	returned = true
	if now {
		admitted, decided = v.Admitted, true
	}
	if !decided {
		l.awaiting[key] = true
	}
	l.flush()
	return admitted
}

// AwaitingReply reports whether another daemon's reply about a limit is pending.
func (l *Limiter) AwaitingReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.awaiting) > 0
}

// Release returns the admission of a request that was not sent.
func (l *Limiter) Release(e fleet.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key, limited := l.keys[e]; limited {
		l.quota.Refund(key, -1)
	}
}
