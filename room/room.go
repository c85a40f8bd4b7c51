// Package room is a daemon's part in keeping endpoints within the limits that they
// name: it carries the messages of a limits.Table and of a quota.Node, and tells
// placement which endpoints have room.
package room

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

// kindLimitQuota begins messages of package quota about limits of endpoints.
const kindLimitQuota = 0x42

// tick is how often answers of other daemons that do not come are given up.
const tick = 20 * time.Millisecond

// Times of placing while all endpoints are at their limits.
const (
	// Wait is how long a request waits for another daemon's answer on a limit, and Waits
	// how often.
	Wait  = 5 * time.Millisecond
	Waits = 8
)

// Options are what a Keeper needs.
type Options struct {
	Me    gossip.Peer
	Clock func() time.Duration // runs on while the machine is suspended
	Rand  *rand.Rand           // seeded
	Scope tally.Scope
	Log   *logging.Logger
	// Send sends a message to another daemon and does not wait for its way.
	Send func(to string, data []byte)
	// Changed takes the endpoints that have a limit; nil: nobody asks. It must not call
	// back.
	Changed func(limited map[fleet.EndpointID]bool)
}

// Keeper keeps all daemons' requests to an endpoint within the limit that it names. It
// is safe for concurrent use.
type Keeper struct {
	o Options

	passed, taken tally.Counter

	mu    sync.Mutex
	table *limits.Table
	quota *quota.Node
	keys  map[fleet.EndpointID]quota.Key // of endpoints with a limit
	asked map[quota.Key]bool             // another daemon's answer is waited for
	left  []quota.Key                    // taken by that answer, for requests that went elsewhere
}

// New returns a Keeper that knows no limits.
func New(o Options) *Keeper {
	draw := func() *rand.Rand { return rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())) }
	return &Keeper{
		o: o, passed: o.Scope.Counter("endpoint_limit_passed_over"), taken: o.Scope.Counter("endpoint_limit_taken"),
		table: limits.NewTable(limits.Options{Self: o.Me, Rand: draw()}),
		quota: quota.NewNode(quota.Options{
			Self: quota.Daemon{Name: o.Me.Name, Address: o.Me.Address}, Tolerance: limits.Tolerance,
			Nonce: o.Rand.Uint64(), Rand: draw(),
		}),
		keys: map[fleet.EndpointID]quota.Key{}, asked: map[quota.Key]bool{},
	}
}

// Run does what is due with time alone until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var told time.Duration // when the table was last asked what to pass on
	for pause.Tick(ctx, k.period()) == nil {
		k.mu.Lock()
		now := k.o.Clock()
		if now-told >= gossip.Tick-tick/2 {
			told = now
			k.table.Tick(now)
		}
		if len(k.keys) > 0 {
			k.quota.Tick(now)
		}
		k.post()
		k.mu.Unlock()
	}
}

// period is the time to the next tick. Answers are waited for only while limits are
// known.
func (k *Keeper) period() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.keys)+len(k.asked) > 0 {
		return tick
	}
	return gossip.Tick
}

// Receive takes a message of another daemon. It returns false for other messages.
func (k *Keeper) Receive(from string, data []byte) bool {
	if len(data) == 0 || !limits.IsMessage(data) && data[0] != kindLimitQuota {
		return false
	}
	var err error
	k.mu.Lock()
	if limits.IsMessage(data) {
		err = k.table.Receive(k.o.Clock(), data)
	} else {
		err = k.quota.Receive(k.o.Clock(), from, data[1:])
	}
	k.post()
	k.mu.Unlock()
	if err != nil {
		k.o.Log.Info("Message is no daemon's.", "from", from, "error", err.Error())
	}
	return true
}

// post puts changes into force and sends what there is to send. Call it with mu held.
func (k *Keeper) post() {
	if changes := k.table.Changes(); len(changes) > 0 {
		k.apply()
		for i := range changes {
			k.note(&changes[i])
		}
	}
	for _, key := range k.left {
		k.quota.Refund(key, -1)
	}
	k.left = k.left[:0]
	for _, d := range k.table.Outbox() {
		k.o.Send(d.To, d.Data)
	}
	for _, d := range k.quota.Outbox() {
		k.o.Send(d.To, append([]byte{kindLimitQuota}, d.Data...))
	}
}

// apply puts the limits that are known into force.
func (k *Keeper) apply() {
	k.quota.SetLimits(k.o.Clock(), k.table.Limits())
	clear(k.keys)
	limited := map[fleet.EndpointID]bool{}
	for _, e := range k.table.Limited() {
		k.keys[e] = limits.KeyOf(e)
		limited[e] = true
	}
	if k.o.Changed != nil {
		k.o.Changed(limited)
	}
}

func (k *Keeper) note(c *limits.Change) {
	fields := []any{"endpoint", string(c.Endpoint), "from_peer", c.FromPeer, "age_ms", c.Age.Milliseconds()}
	if c.Limit == nil {
		k.o.Log.Info("Endpoint names no limit any more.", fields...)
		return
	}
	k.o.Log.Info("Endpoint names a limit.", append(fields, "limit", *c.Limit)...)
}

// SetDaemons takes the list of all daemons.
func (k *Keeper) SetDaemons(all []gossip.Peer) {
	var daemons []quota.Daemon
	for _, d := range all {
		if d.Address != "" {
			daemons = append(daemons, quota.Daemon{Name: d.Name, Address: d.Address})
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.SetPeers(all)
	k.quota.SetDaemons(daemons)
}

// Leave has other daemons turn elsewhere at once.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quota.StopLending()
}

// Answered takes the limit that an answer of the endpoint named; nil: none.
func (k *Keeper) Answered(e fleet.EndpointID, limit *float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.SetFromAnswer(k.o.Clock(), e, limit)
	k.post()
}

// Full lists the endpoints that are at their limits.
func (k *Keeper) Full() []fleet.EndpointID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []fleet.EndpointID
	now := k.o.Clock()
	for e, key := range k.keys {
		if k.asked[key] || k.quota.Denied(now, key) {
			out = append(out, e)
		}
	}
	return out
}

// Limited lists the endpoints that have a limit.
func (k *Keeper) Limited() []fleet.EndpointID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.keys))
}

// Take counts a request that is about to be sent to the endpoint. It returns false if
// that has no room. It never waits: the answer of another daemon that comes later counts
// for the next request.
func (k *Keeper) Take(e fleet.EndpointID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	key, limited := k.keys[e]
	if !limited {
		return true
	}
	if !k.asked[key] && k.admit(key) {
		k.taken.Inc(1)
		return true
	}
	k.passed.Inc(1)
	return false
}

// admit asks for one request. Call it with mu held.
func (k *Keeper) admit(key quota.Key) bool {
	admitted, decided, returned := false, false, false
	v, now := k.quota.Admit(k.o.Clock(), key, -1, func(v quota.Verdict) {
		if !returned { // this daemon lends itself
			admitted, decided = v.Admitted, true
			return
		}
		delete(k.asked, key)
		if v.Admitted {
			k.left = append(k.left, key)
		}
	})
	returned = true
	if now {
		admitted, decided = v.Admitted, true
	}
	if !decided {
		k.asked[key] = true
	}
	k.post()
	return admitted
}

// Waiting tells whether some daemon's answer on a limit is waited for.
func (k *Keeper) Waiting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.asked) > 0
}

// GiveBack returns what a request took that was not sent.
func (k *Keeper) GiveBack(e fleet.EndpointID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if key, limited := k.keys[e]; limited {
		k.quota.Refund(key, -1)
	}
}
