package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/limits"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quota"
)

// kindLimitQuota begins messages of package quota about limits of endpoints.
const kindLimitQuota = 0x42

// Times of placing while all endpoints are at their limits.
const (
	// roomWait is how long a request waits for another daemon's word on a limit, and
	// roomWaits how often.
	roomWait  = 5 * time.Millisecond
	roomWaits = 8
)

// endpointLimits keeps all daemons' requests to an endpoint within the limit that it
// names. It carries the messages of a limits.Book and a quota.Node.
type endpointLimits struct {
	clock func() time.Duration
	log   *logging.Logger
	send  func(to string, data []byte)

	passed, taken tally.Counter
	changed       func(limited map[fleet.EndpointID]bool) // must not call back

	mu    sync.Mutex
	book  *limits.Book
	quota *quota.Node
	keys  map[fleet.EndpointID]quota.Key // of endpoints with a limit
	asked map[quota.Key]bool             // another daemon's word is waited for
	left  []quota.Key                    // taken by that word, for requests that went elsewhere
}

func newEndpointLimits(me Neighbour, clock func() time.Duration, rng *rand.Rand, scope tally.Scope, log *logging.Logger, send func(to string, data []byte)) *endpointLimits {
	return &endpointLimits{
		clock: clock, log: log, send: send,
		passed: scope.Counter("endpoint_limit_passed_over"), taken: scope.Counter("endpoint_limit_taken"),
		book: limits.NewBook(limits.Options{
			Me:   gossip.Peer{Name: me.Name, Address: me.Address},
			Rand: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		}),
		quota: quota.NewNode(quota.Options{
			Me: quota.Daemon{Name: me.Name, Address: me.Address}, Tolerance: limits.Tolerance,
			Nonce: rng.Uint64(), Rand: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		}),
		changed: func(map[fleet.EndpointID]bool) {},
		keys:    map[fleet.EndpointID]quota.Key{}, asked: map[quota.Key]bool{},
	}
}

// run does what is due with time alone until the context ends.
func (l *endpointLimits) run(ctx context.Context) {
	for n := 0; pause.For(ctx, quotaPatience) == nil; n++ {
		l.mu.Lock()
		now := l.clock()
		if n%int(gossip.Tick/quotaPatience) == 0 {
			l.book.Tick(now)
		}
		if len(l.keys) > 0 {
			l.quota.Tick(now)
		}
		l.post()
		l.mu.Unlock()
	}
}

// receive takes a message of another daemon. It returns false for other messages.
func (l *endpointLimits) receive(from string, data []byte) bool {
	if len(data) == 0 || !limits.Owns(data) && data[0] != kindLimitQuota {
		return false
	}
	var err error
	l.mu.Lock()
	if limits.Owns(data) {
		err = l.book.Receive(l.clock(), data)
	} else {
		err = l.quota.Receive(l.clock(), from, data[1:])
	}
	l.post()
	l.mu.Unlock()
	if err != nil {
		l.log.Info("Message is no daemon's.", "from", from, "error", err.Error())
	}
	return true
}

// post puts changes into force and sends what there is to send. Call it with mu held.
func (l *endpointLimits) post() {
	if changes := l.book.Changes(); len(changes) > 0 {
		l.apply()
		for i := range changes {
			l.note(&changes[i])
		}
	}
	for _, key := range l.left {
		l.quota.GiveBack(key, -1)
	}
	l.left = l.left[:0]
	for _, d := range l.book.Outbox() {
		l.send(d.To, d.Data)
	}
	for _, d := range l.quota.Outbox() {
		l.send(d.To, append([]byte{kindLimitQuota}, d.Data...))
	}
}

// apply puts the limits that are known into force.
func (l *endpointLimits) apply() {
	l.quota.SetLimits(l.clock(), l.book.Limits())
	clear(l.keys)
	limited := map[fleet.EndpointID]bool{}
	for _, e := range l.book.Limited() {
		l.keys[e] = limits.KeyOf(e)
		limited[e] = true
	}
	l.changed(limited)
}

func (l *endpointLimits) note(c *limits.Change) {
	fields := []any{"endpoint", string(c.Endpoint), "told", c.Told, "age_ms", c.Age.Milliseconds()}
	if c.Limit == nil {
		l.log.Info("Endpoint names no limit any more.", fields...)
		return
	}
	l.log.Info("Endpoint names a limit.", append(fields, "limit", *c.Limit)...)
}

// setDaemons takes the list of all daemons.
func (l *endpointLimits) setDaemons(all []Neighbour) {
	var daemons []quota.Daemon
	for _, d := range all {
		if d.Address != "" {
			daemons = append(daemons, quota.Daemon{Name: d.Name, Address: d.Address})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.SetPeers(peersOf(all))
	l.quota.SetDaemons(daemons)
}

// leave has other daemons turn elsewhere at once.
func (l *endpointLimits) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Leave()
}

// answered takes what an answer said.
func (l *endpointLimits) answered(e fleet.EndpointID, info *forward.AnswerInfo) {
	if info.Misplaced {
		return // it may be another endpoint's
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Answered(l.clock(), e, info.Limit)
	l.post()
}

// full lists the endpoints that are at their limits.
func (l *endpointLimits) full() []fleet.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.EndpointID
	now := l.clock()
	for e, key := range l.keys {
		if l.asked[key] || l.quota.Denied(now, key) {
			out = append(out, e)
		}
	}
	return out
}

// limited lists the endpoints that have a limit.
func (l *endpointLimits) limited() []fleet.EndpointID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.keys))
}

// has tells whether the endpoint has a limit.
func (l *endpointLimits) has(e fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.keys[e]
	return limited
}

// take counts a request that is about to be sent to the endpoint. It returns false if
// that has no room. It never waits: the word of another daemon that comes later counts
// for the next request.
func (l *endpointLimits) take(e fleet.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, limited := l.keys[e]
	if !limited {
		return true
	}
	if !l.asked[key] && l.admit(key) {
		l.taken.Inc(1)
		return true
	}
	l.passed.Inc(1)
	return false
}

// admit asks for one request. Call it with mu held.
func (l *endpointLimits) admit(key quota.Key) bool {
	admitted, decided, returned := false, false, false
	v, now := l.quota.Admit(l.clock(), key, -1, func(v quota.Verdict) {
		if !returned { // this daemon lends itself
			admitted, decided = v.Admitted, true
			return
		}
		delete(l.asked, key)
		if v.Admitted {
			l.left = append(l.left, key)
		}
	})
	returned = true
	if now {
		admitted, decided = v.Admitted, true
	}
	if !decided {
		l.asked[key] = true
	}
	l.post()
	return admitted
}

// waits tells whether some daemon's word on a limit is waited for.
func (l *endpointLimits) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asked) > 0
}

// giveBack returns what a request took that was not sent.
func (l *endpointLimits) giveBack(e fleet.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key, limited := l.keys[e]; limited {
		l.quota.GiveBack(key, -1)
	}
}
