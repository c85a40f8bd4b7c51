package permits

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/internal/hash"
)

// Parameters of a daemon that asks for permits.
const (
	// askTimeout is how long a daemon waits for an owner's verdict. It then asks once more,
	// and after that another owner.
	askTimeout = 30 * time.Millisecond
	// answerDelay is how long what an answer told waits for the end of its request, to be
	// sent with it.
	answerDelay = 50 * time.Millisecond
	// ownerAvoidance is how long an owner that did not answer is avoided.
	ownerAvoidance = 2 * time.Second
	// maxAvoided is the number of avoided owners from which on a daemon that has received no
	// message for isolationTime assumes that it is cut off from the others, and lends itself
	// permits.
	maxAvoided    = 3
	isolationTime = time.Second
	// ownAnswerTTL is how long an endpoint whose last answer did not report that it is
	// brittle is believed, while others of its service do.
	ownAnswerTTL = 2 * time.Second
	// ActiveTick and IdleTick are the intervals of Tick while Active and else.
	ActiveTick = 10 * time.Millisecond
	IdleTick   = gossip.TickInterval
)

// ID identifies a permit at the daemon that asked for it: the daemon's incarnation in the
// upper half and a number. 0 is none.
type ID uint64

func (id ID) incarnation() uint32 { return uint32(id >> 32) }

// Target identifies an endpoint.
type Target struct {
	ID      fleet.EndpointID
	Service string
	Slots   int // as listed; 0: unknown
}

func (t *Target) key() key       { return key(hash.Text("permit/" + string(t.ID))) }
func serviceKey(name string) key { return key(hash.Text("brittle/" + name)) }

// Options configure a Node.
type Options struct {
	Self  gossip.Peer
	Nonce uint32     // random, new for each process
	Rand  *rand.Rand // seeded; chooses the peers for gossip
}

// endpoint is what this daemon knows of an endpoint by its own answers.
type endpoint struct {
	brittle                bool
	limit                  float64
	answeredAt, rejectedAt time.Duration // 0: never
}

// pending is a request for a permit without a final verdict.
type pending struct {
	ask
	target fleet.EndpointID
	owner  gossip.Peer
	sentAt time.Duration
	until  time.Duration // when a queued one is given up; 0: not queued
	again  bool          // it was sent twice
	done   func(granted bool)
}

// permit is a permit that this daemon holds.
type permit struct {
	key       key
	target    fleet.EndpointID
	owner     gossip.Peer
	renewedAt time.Duration
	// answer is what the answer told and the owner has not been sent; nil: nothing.
	answer     *report
	answeredAt time.Duration
}

// returned is a permit whose end is told the owner a second time, as messages may be lost.
type returned struct {
	to   string // address
	key  key
	id   ID
	lost bool
}

// Node asks for permits at one daemon and lends those of the endpoints that it owns.
// Outgoing messages are collected until Outbox is called.
type Node struct {
	o         Options
	peers     *gossip.Peers
	hashes    []uint64            // of the names of peers.Others
	owners    map[key]gossip.Peer // first in order, avoided or not; of the present list of daemons
	selfHash  uint64
	notices   notices
	endpoints map[fleet.EndpointID]*endpoint
	lastID    ID
	pending   map[ID]*pending
	held      map[ID]*permit
	returned  []returned
	avoided   map[string]time.Duration // by address, until when
	owner     owner
	silent    []string      // names of owners that did not answer
	heardAt   time.Duration // last message of another daemon
	ticked    time.Duration
}

// NewNode returns a Node without other daemons.
func NewNode(o Options) *Node {
	n := &Node{
		o: o, peers: gossip.NewPeers(o.Self, o.Rand), selfHash: hash.Text(o.Self.Name), endpoints: map[fleet.EndpointID]*endpoint{},
		lastID: ID(o.Nonce) << 32, pending: map[ID]*pending{}, held: map[ID]*permit{}, avoided: map[string]time.Duration{}, owners: map[key]gossip.Peer{},
	}
	n.notices = notices{peers: n.peers, reportedAt: map[key]time.Duration{}}
	n.owner = owner{accounts: map[key]*account{}, askers: map[string]incarnations{}, decide: n.decide}
	return n
}

// SetPeers sets the list of all daemons. A daemon that has started asks some of them which
// services have brittle endpoints.
func (n *Node) SetPeers(all []gossip.Peer) {
	first := len(n.peers.Others()) == 0
	n.peers.Set(all)
	if first {
		n.peers.SendToSample(noticeSources, []byte{kindNoticeAsk})
	}
	clear(n.owners)
	n.hashes = n.hashes[:0]
	for _, p := range n.peers.Others() {
		n.hashes = append(n.hashes, hash.Text(p.Name))
	}
}

// Active reports whether Tick is due every ActiveTick.
func (n *Node) Active() bool { return len(n.pending)+len(n.held)+len(n.owner.accounts) > 0 }

// Brittle reports whether some endpoint may be brittle. While none is, no request needs a
// permit.
func (n *Node) Brittle() bool { return len(n.endpoints)+len(n.notices.reportedAt) > 0 }

// Required reports whether a request to the endpoint needs a permit.
func (n *Node) Required(now time.Duration, to Target) bool {
	if e := n.endpoints[to.ID]; e != nil && (e.brittle || now-e.answeredAt < ownAnswerTTL) {
		return e.brittle
	}
	return n.notices.brittle(now, serviceKey(to.Service))
}

// maxOwners bounds the endpoints whose owner is kept.
const maxOwners = 1 << 14

// chooseOwner returns the daemon that lends the permits of an endpoint.
func (n *Node) chooseOwner(now time.Duration, k key) gossip.Peer {
	if len(n.avoided) > 0 {
		return n.rankOwners(now, k)
	}
	first, known := n.owners[k]
	if !known {
		if len(n.owners) >= maxOwners {
			clear(n.owners)
		}
		first = n.rankOwners(now, k)
		n.owners[k] = first
	}
	return first
}

// rankOwners returns the daemon that is first in the order of an endpoint's owners and not
// avoided.
func (n *Node) rankOwners(now time.Duration, k key) gossip.Peer {
	best, most, avoided := n.o.Self, hash.Mix(uint64(k)^n.selfHash), 0
	for i, p := range n.peers.Others() {
		if until, some := n.avoided[p.Address]; some && now < until {
			avoided++
			continue
		}
		if rank := hash.Mix(uint64(k) ^ n.hashes[i]); rank > most {
			best, most = p, rank
		}
	}
	if avoided >= maxAvoided && now-n.heardAt >= isolationTime {
		return n.o.Self
	}
	return best
}

// Ask requests a permit. wait is how long it may be queued; 0: it is decided at once. done
// is called with the verdict, from within this call or a later one to the Node.
func (n *Node) Ask(now time.Duration, to Target, wait time.Duration, priority byte, done func(granted bool)) ID {
	n.lastID++
	limit := 0.0
	if e := n.endpoints[to.ID]; e != nil {
		limit = e.limit
	}
	p := &pending{
		ask:    ask{key: to.key(), id: n.lastID, wait: min(wait, maxWait), priority: priority, slots: min(max(to.Slots, 0), maxSlots), limit: limit},
		target: to.ID, done: done,
	}
	n.pending[p.id] = p
	n.send(now, p, n.chooseOwner(now, p.key))
	return p.id
}

// send asks an owner.
func (n *Node) send(now time.Duration, p *pending, owner gossip.Peer) {
	p.owner, p.sentAt = owner, now
	if owner.Name == n.o.Self.Name {
		n.owner.ask(now, "", &p.ask)
		return
	}
	n.peers.Send(owner, p.encode())
}

// decide passes an owner's verdict to the daemon that asked.
func (n *Node) decide(now time.Duration, k key, to holder, v verdict) {
	if to.from == "" {
		n.decided(now, "", k, to.id, v)
		return
	}
	n.peers.Send(gossip.Peer{Address: to.from}, encodeVerdict(k, to.id, v))
}

// decided handles the verdict of the owner with the given address; empty: this daemon.
func (n *Node) decided(now time.Duration, from string, k key, id ID, v verdict) {
	p := n.pending[id]
	if p == nil || from != "" && from != p.owner.Address {
		// The request was given up, or another owner is asked by now.
		if v == granted && n.held[id] == nil {
			n.tell(now, gossip.Peer{Address: from}, report{key: k, id: id})
		}
		return
	}
	if v == queued {
		p.until = now + p.wait + askTimeout
		return
	}
	n.resolve(now, p, v == granted)
}

func (n *Node) resolve(now time.Duration, p *pending, ok bool) {
	delete(n.pending, p.id)
	if ok {
		n.held[p.id] = &permit{key: p.key, target: p.target, owner: p.owner, renewedAt: now}
	}
	p.done(ok)
}

// Cancel gives up a request for a permit. done is not called any more.
func (n *Node) Cancel(now time.Duration, id ID) {
	if p := n.pending[id]; p != nil {
		delete(n.pending, id)
		n.tell(now, p.owner, report{key: p.key, id: id})
	}
}

// Release returns a permit. lost states that the connection of its request was lost, so that
// the endpoint may still run it.
func (n *Node) Release(now time.Duration, id ID, lost bool) {
	h := n.held[id]
	if h == nil {
		return
	}
	delete(n.held, id)
	r := report{key: h.key}
	if h.answer != nil {
		r = *h.answer
	}
	r.id, r.lost = id, lost
	n.tell(now, h.owner, r)
}

// tell passes a report to an owner.
func (n *Node) tell(now time.Duration, to gossip.Peer, r report) {
	if to.Address == "" || to.Address == n.o.Self.Address {
		n.owner.report(now, "", &r)
		return
	}
	n.peers.Send(to, r.encode())
	if r.id != 0 {
		n.returned = append(n.returned, returned{to: to.Address, key: r.key, id: r.id, lost: r.lost})
	}
}

// Tick sends and expires what is due. Call it every ActiveTick while Active, and else every
// IdleTick.
func (n *Node) Tick(now time.Duration) {
	for _, p := range n.pending {
		n.checkPending(now, p)
	}
	for _, h := range n.held {
		if h.answer != nil && now-h.answeredAt >= answerDelay {
			n.tell(now, h.owner, *h.answer)
			h.answer = nil
		}
	}
	n.owner.tick(now)
	if now-n.ticked < gossip.TickInterval {
		return
	}
	n.ticked = now
	n.notices.tick(now)
	n.renew(now)
	for _, r := range n.returned {
		again := report{key: r.key, id: r.id, lost: r.lost}
		n.peers.Send(gossip.Peer{Address: r.to}, again.encode())
	}
	n.returned = n.returned[:0]
}

// checkPending asks again, or another owner, if no verdict arrived in time.
func (n *Node) checkPending(now time.Duration, p *pending) {
	switch {
	case p.until > 0 && now >= p.until:
		n.resolve(now, p, false)
		n.tell(now, p.owner, report{key: p.key, id: p.id})
	case p.until > 0 || p.owner.Name == n.o.Self.Name || now-p.sentAt < askTimeout:
	case !p.again:
		p.again = true
		n.send(now, p, p.owner)
	default:
		n.avoided[p.owner.Address] = now + ownerAvoidance
		n.silent = append(n.silent, p.owner.Name)
		n.tell(now, p.owner, report{key: p.key, id: p.id})
		p.again = false
		n.send(now, p, n.chooseOwner(now, p.key))
	}
}

// renew renews the permits that are held for long.
func (n *Node) renew(now time.Duration) {
	due := map[string][]renewal{}
	for id, h := range n.held {
		if now-h.renewedAt < renewInterval {
			continue
		}
		h.renewedAt = now
		if h.owner.Name == n.o.Self.Name {
			n.owner.renew(now, "", h.key, id)
			continue
		}
		due[h.owner.Address] = append(due[h.owner.Address], renewal{h.key, id})
	}
	for to, all := range due {
		for chunk := range slices.Chunk(all, maxRenewals) {
			n.peers.Send(gossip.Peer{Address: to}, encodeRenewals(chunk))
		}
	}
}

// Retain removes the endpoints that are not known any more, and what has expired. Call it
// about every second.
func (n *Node) Retain(now time.Duration, known func(fleet.EndpointID) bool) {
	for id, e := range n.endpoints {
		if !known(id) || !e.brittle && now-e.answeredAt >= noticeTTL {
			delete(n.endpoints, id)
		}
	}
	for address, until := range n.avoided {
		if now >= until {
			delete(n.avoided, address)
		}
	}
}

// Outbox returns the messages to be sent and clears the list.
func (n *Node) Outbox() []gossip.Datagram { return n.peers.TakeOutbox() }

// Silent returns the names of the owners that did not answer and are avoided now, and clears
// the list.
func (n *Node) Silent() []string {
	out := n.silent
	n.silent = nil
	return out
}

// Usage returns the sums over the endpoints that this daemon owns.
func (n *Node) Usage(now time.Duration) Usage { return n.owner.usage(now) }

// validLimit returns a limit received from another daemon, or 0 if it is not a number.
func validLimit(v float64) float64 {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return v
}
