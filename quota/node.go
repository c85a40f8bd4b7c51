package quota

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

// Daemon is the name and the address of a daemon of the deployment.
type Daemon struct {
	Name    string
	Address string // IP:port for messages between daemons
}

// Datagram is a message to another daemon. It may be lost, delayed or duplicated.
type Datagram struct {
	To   string // Daemon.Address
	Data []byte
}

// Options configure a Node.
type Options struct {
	Self      Daemon
	Tolerance Tolerance
	Nonce     uint64     // random, new for each process
	Rand      *rand.Rand // seeded; spreads the Retry-After times
	// PreferUrgent makes less urgent requests of an organisation at its limit be rejected
	// before its more urgent ones.
	PreferUrgent bool
}

// Node enforces the limits at one daemon: it asks the owners for tokens, and is
// itself an owner for others. It is not safe for concurrent use. Outgoing
// messages are collected until Outbox is called.
type Node struct {
	o            Options
	accounts     map[Key]*account
	shards       [Shards]shard
	daemons      int // number of listed daemons; 0: no list yet
	seq          uint64
	started      bool // limits were set
	startedAt    time.Duration
	shuttingDown bool
	outbox       []Datagram
}

// shard is one daemon's view of a shard.
type shard struct {
	keys         []Key    // organisations with a limit
	order        []Daemon // daemons by rank
	skippedUntil map[string]time.Duration
	owner        Daemon      // currently asked
	pendingAsk   inFlightAsk // the ask without a reply yet
	pendingProbe inFlightAsk // an ask to a skipped daemon
	ownPledge    pledgeState
	roundTrip    time.Duration // of asks, smoothed
	lender       shardOwner
	// missed counts the consecutive daemons that did not reply.
	missed int
}

// pledgeState is this daemon's current pledge of its fraction.
type pledgeState struct {
	to     string // address
	until  time.Duration
	renews time.Duration // when the renewal is due
}

// NewNode returns a Node without limits and without a list of daemons.
func NewNode(o Options) *Node {
	n := &Node{o: o, accounts: map[Key]*account{}}
	for i := range n.shards {
		n.shards[i] = shard{skippedUntil: map[string]time.Duration{}, lender: newShardOwner(), owner: o.Self, order: []Daemon{o.Self}}
	}
	return n
}

// SetDaemons sets the list of all daemons, including this one.
func (n *Node) SetDaemons(all []Daemon) {
	n.daemons = len(all)
	if !slices.Contains(all, n.o.Self) {
		all = append(slices.Clone(all), n.o.Self)
	}
	for i := range n.shards {
		s := &n.shards[i]
		s.order = rankDaemons(i, all)
		if next := s.chooseOwner(n.o.Self); next != s.owner {
			s.owner, s.pendingAsk, s.ownPledge.renews = next, inFlightAsk{}, 0
		}
	}
}

// rankDaemons sorts the daemons by their rank for a shard. All daemons with the
// same list get the same order.
func rankDaemons(shard int, all []Daemon) []Daemon {
	type ranked struct {
		rank uint64
		Daemon
	}
	ranks := make([]ranked, len(all))
	for i, d := range all {
		ranks[i] = ranked{hash.Text(string(rune('a'+shard)) + "/quota-owner/" + d.Name), d}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Daemon, len(all))
	for i := range ranks {
		out[i] = ranks[i].Daemon
	}
	return out
}

// awaitsDaemons reports whether the list of daemons is expected soon. A daemon that pledged
// its fraction to itself meanwhile could not pledge it to an owner before that pledge ends.
func (n *Node) awaitsDaemons(now time.Duration) bool {
	return n.daemons == 0 && n.started && now-n.startedAt < maxDaemonsWait
}

// pledgeFraction returns this daemon's fraction of the limits.
func (n *Node) pledgeFraction() float64 {
	if n.daemons == 0 {
		return 1.0 / assumedDaemons
	}
	return 1 / float64(n.daemons)
}

// SetLimits sets the current limits. Organisations without one are not limited.
func (n *Node) SetLimits(now time.Duration, limits map[Key]Limit) {
	if !n.started {
		n.started, n.startedAt = true, now
	}
	var byShard [Shards]map[Key]Limit
	for i := range byShard {
		byShard[i] = map[Key]Limit{}
	}
	for key, limit := range limits {
		if limit.PerSecond <= 0 {
			continue
		}
		i := int(uint64(key) % Shards)
		byShard[i][key] = limit
		a := n.accounts[key]
		if a == nil {
			a = &account{key: key, shard: i, demandAt: now, expiresAt: now + grantTTL}
			n.accounts[key] = a
		}
		a.limit = limit
	}
	for key, a := range n.accounts {
		if _, ok := byShard[a.shard][key]; !ok {
			a.resolveWaiters(func(waiter) Verdict { return Verdict{Admitted: true} })
			delete(n.accounts, key)
		}
	}
	for i := range n.shards {
		n.shards[i].keys = slices.Sorted(maps.Keys(byShard[i]))
		n.shards[i].lender.setLimits(now, byShard[i])
	}
}

// resolveWaiters passes a verdict to all waiting requests.
func (a *account) resolveWaiters(verdict func(waiter) Verdict) {
	for _, w := range a.waiters {
		w.done(verdict(w))
	}
	a.waiters = nil
}

// Admit decides on a request. tokens is negative if the request states no token
// count. priority 0 is the most urgent. If an owner has to be asked first, decided is
// false, and done is called with the verdict, from within this call or a later one to the
// Node.
func (n *Node) Admit(now time.Duration, key Key, tokens, priority int, done func(Verdict)) (v Verdict, decided bool) {
	a := n.accounts[key]
	if a == nil {
		return Verdict{Admitted: true}, true
	}
	a.expireLent(now)
	cost := a.limit.Cost(tokens)
	rank := 0
	if n.o.PreferUrgent {
		priority = clampPriority(priority)
		a.urgency.seenUntil[priority] = now + urgentMemory
		rank = a.urgency.rank(now, priority)
	} else {
		priority = 0
	}
	if rank == 0 {
		a.countDemand(now, cost)
		a.urgency.demand += cost / smoothingTime.Seconds()
	}
	s := &n.shards[a.shard]
	if !a.waitingBefore(priority) && a.spendRanked(now, cost, rank) {
		if rank > 0 {
			a.countDemand(now, cost)
		}
		return Verdict{Admitted: true, Owner: s.owner.Name, Age: now - a.updatedAt, Used: a.used}, true
	}
	if now < a.deniedUntil {
		a.rejected += cost
		return n.rejection(now, a, a.deniedUntil, s.owner.Name), true
	}
	if rank > 0 && now < a.urgency.yieldsUntil[priority] {
		return n.rejectLessUrgent(now, a, cost, priority, s.owner.Name), true
	}
	a.enqueue(waiter{cost: cost, since: now, done: done, priority: priority, rank: rank})
	if s.pendingAsk.seq == 0 {
		n.ask(now, a.shard)
	}
	return Verdict{}, false
}

// CanAdmit reports whether a request of one unit would be admitted at once.
func (n *Node) CanAdmit(now time.Duration, key Key) bool {
	a := n.accounts[key]
	if a == nil {
		return true
	}
	a.expireLent(now)
	return len(a.waiters) == 0 && a.balance() >= 1-roundingError
}

// WouldReject reports whether a request of one unit would be rejected at once.
func (n *Node) WouldReject(now time.Duration, key Key) bool {
	a := n.accounts[key]
	return a != nil && now < a.deniedUntil && !n.CanAdmit(now, key)
}

// Refund returns the units of an admitted request that did not run.
func (n *Node) Refund(key Key, tokens int) {
	if a := n.accounts[key]; a != nil {
		a.add(a.limit.Cost(tokens))
	}
}

// Charge takes the units of a further run of a request, even if too few are left.
func (n *Node) Charge(key Key, tokens int) {
	if a := n.accounts[key]; a != nil {
		a.add(-a.limit.Cost(tokens))
	}
}

// rejection returns the verdict for a request that can't be admitted before the given time.
func (n *Node) rejection(now time.Duration, a *account, until time.Duration, owner string) Verdict {
	after := max(a.retryAfter, until-now)
	spread := time.Duration(float64(after) * n.o.Rand.Float64() / 4)
	if after += spread; after > maxRetryAfter {
		after = maxRetryAfter - spread
	}
	return Verdict{RetryAfter: after, Owner: owner, Age: now - a.updatedAt, Used: a.used}
}

// Receive handles a message from the given address. The error is ErrMalformed.
func (n *Node) Receive(now time.Duration, from string, data []byte) error {
	if len(data) > 0 && data[0] == kindAsk {
		q, err := decodeAsk(data)
		if err != nil {
			return err
		}
		n.handleAsk(now, from, &q)
		return nil
	}
	r, err := decodeReply(data)
	if err != nil {
		return err
	}
	s := &n.shards[r.Shard]
	switch {
	case r.Seq == s.pendingAsk.seq && from == s.pendingAsk.to.Address:
		s.roundTrip += (now - s.pendingAsk.sent - s.roundTrip) / 4
		s.pendingAsk, s.missed = inFlightAsk{}, 0
		n.handleReply(now, r.Shard, &r)
	case r.Seq == s.pendingProbe.seq && from == s.pendingProbe.to.Address:
		n.handleProbeReply(now, r.Shard, &r)
	}
	// Any other reply is late. The units that it lends are lost, so that the use
	// stays below the limit.
	return nil
}

func (n *Node) handleAsk(now time.Duration, from string, q *ask) {
	s := &n.shards[q.Shard]
	r := reply{Seq: q.Seq, Shard: q.Shard, ShuttingDown: true}
	if !n.shuttingDown && n.daemons > 0 && len(s.lender.buckets) > 0 {
		var fresh bool
		if r, fresh = s.lender.lend(now, n.o.Tolerance, from, q); !fresh {
			return
		}
	}
	n.outbox = append(n.outbox, Datagram{To: from, Data: r.encode()})
}

// Tick runs the timers: accrual, timeouts, pledges and probes. Call it about every
// 20 ms while Waiting returns true, and every 100 ms otherwise.
func (n *Node) Tick(now time.Duration) {
	for i := range n.shards {
		s := &n.shards[i]
		if len(s.keys) == 0 {
			continue
		}
		s.lender.accrue(now, n.o.Tolerance)
		n.handleTimeouts(now, i)
		if s.pendingAsk.seq == 0 && now >= s.ownPledge.renews {
			n.ask(now, i)
		}
		n.probeSkipped(now, i)
	}
}

// Waiting reports whether an ask has no reply yet.
func (n *Node) Waiting() bool {
	for i := range n.shards {
		if n.shards[i].pendingAsk.seq != 0 {
			return true
		}
	}
	return false
}

// StopLending makes the node reply to all asks that it is leaving, so that the
// other daemons choose another owner at once.
func (n *Node) StopLending() { n.shuttingDown = true }

// Outbox returns the messages to be sent and clears the list.
func (n *Node) Outbox() []Datagram {
	out := n.outbox
	n.outbox = nil
	return out
}
