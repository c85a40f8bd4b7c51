// Package gossip spreads small facts among all daemons.
//
// Whoever learns a fact first tells up to DirectPeers daemons. Each daemon that hears
// it passes it on to RelayPeers drawn ones at each of the next RelayTimes ticks. Every
// SyncEvery a daemon tells a drawn one some of what it knows, for those that were cut
// off or have started anew. Messages may be lost, late and doubled, so a fact has to
// say by itself which of two is the newer one.
//
// The package does no I/O and reads no clock.
package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Times and bounds of spreading.
const (
	DirectFanout = 64
	RelayFanout  = 3
	RelayRounds  = 8
	SyncInterval = 250 * time.Millisecond
	// TickInterval is the time between two ticks.
	TickInterval = 100 * time.Millisecond
)

// Peer is a daemon of the deployment.
type Peer struct {
	Name    string
	Address string // where it takes messages, IP:port
}

// Datagram is a message to another daemon. It may be lost, late or doubled.
type Datagram struct {
	To   string // Peer.Address
	Data []byte
}

// Peers are the other daemons. Make them with NewPeers.
type Peers struct {
	self     Peer
	rng      *rand.Rand
	others   []Peer
	lastSync time.Duration
	out      []Datagram
}

// NewPeers returns Peers of which none are known yet. rng is seeded.
func NewPeers(me Peer, rng *rand.Rand) *Peers { return &Peers{self: me, rng: rng} }

// Set takes the list of all daemons.
func (p *Peers) Set(all []Peer) {
	p.others = slices.DeleteFunc(slices.Clone(all), func(o Peer) bool { return o.Name == p.self.Name || o.Address == "" })
}

// Others lists the other daemons.
func (p *Peers) Others() []Peer { return p.others }

// Sample draws daemons.
func (p *Peers) Sample(most int) []Peer {
	if len(p.others) <= most {
		return p.others
	}
	out := make([]Peer, 0, most)
	for _, i := range p.rng.Perm(len(p.others))[:most] {
		out = append(out, p.others[i])
	}
	return out
}

// SendToSample sends a message to drawn daemons.
func (p *Peers) SendToSample(most int, data []byte) {
	for _, to := range p.Sample(most) {
		p.Send(to, data)
	}
}

// Send sends a message to one daemon.
func (p *Peers) Send(to Peer, data []byte) {
	p.out = append(p.out, Datagram{To: to.Address, Data: data})
}

// SyncDue tells whether it is time to tell some daemon what is known.
func (p *Peers) SyncDue(now time.Duration) bool {
	if len(p.others) == 0 || now-p.lastSync < SyncInterval {
		return false
	}
	p.lastSync = now
	return true
}

// TakeOutbox returns what is to be sent, and forgets it.
func (p *Peers) TakeOutbox() []Datagram {
	out := p.out
	p.out = nil
	return out
}
