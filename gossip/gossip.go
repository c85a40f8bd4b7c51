// Package gossip selects the recipients of messages that spread small updates among all
// daemons, and queues the messages.
//
// The origin of an update sends it to up to DirectFanout daemons. Each daemon that
// receives it for the first time relays it to RelayFanout random ones at each of the
// next RelayRounds ticks. Every SyncInterval a daemon sends part of its state to a random
// one, for daemons that were disconnected or have restarted. Messages may be lost,
// delayed and duplicated, so it must be possible to determine from two updates alone which
// is newer.
//
// The package does no I/O and reads no clock.
package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the protocol, see the package comment.
const (
	DirectFanout = 64
	RelayFanout  = 3
	RelayRounds  = 8
	SyncInterval = 250 * time.Millisecond
	// TickInterval is the time between relay rounds.
	TickInterval = 100 * time.Millisecond
)

// Peer is another daemon of the deployment.
type Peer struct {
	Name    string
	Address string // where it receives messages, IP:port
}

// Datagram is a message to another daemon. It may be lost, delayed or duplicated.
type Datagram struct {
	To   string // Peer.Address
	Data []byte
}

// Peers holds the other daemons and the messages to be sent to them. Create it with
// NewPeers.
type Peers struct {
	self     Peer
	rng      *rand.Rand
	others   []Peer
	lastSync time.Duration
	out      []Datagram
}

// NewPeers returns Peers without other daemons. rng must be seeded by the caller.
func NewPeers(self Peer, rng *rand.Rand) *Peers { return &Peers{self: self, rng: rng} }

// Set replaces the list of daemons. The own daemon and those without an address are
// omitted.
func (p *Peers) Set(all []Peer) {
	p.others = slices.DeleteFunc(slices.Clone(all), func(o Peer) bool { return o.Name == p.self.Name || o.Address == "" })
}

// Others returns the other daemons.
func (p *Peers) Others() []Peer { return p.others }

// Sample returns up to n random daemons.
func (p *Peers) Sample(n int) []Peer {
	if len(p.others) <= n {
		return p.others
	}
	out := make([]Peer, 0, n)
	for _, i := range p.rng.Perm(len(p.others))[:n] {
		out = append(out, p.others[i])
	}
	return out
}

// SendToSample queues a message to up to n random daemons.
func (p *Peers) SendToSample(n int, data []byte) {
	for _, to := range p.Sample(n) {
		p.Send(to, data)
	}
}

// Send queues a message to one daemon.
func (p *Peers) Send(to Peer, data []byte) {
	p.out = append(p.out, Datagram{To: to.Address, Data: data})
}

// SyncDue reports whether SyncInterval has passed since it last returned true and there
// are other daemons.
func (p *Peers) SyncDue(now time.Duration) bool {
	if len(p.others) == 0 || now-p.lastSync < SyncInterval {
		return false
	}
	p.lastSync = now
	return true
}

// TakeOutbox returns the queued messages and empties the queue.
func (p *Peers) TakeOutbox() []Datagram {
	out := p.out
	p.out = nil
	return out
}
