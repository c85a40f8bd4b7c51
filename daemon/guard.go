package daemon

import (
	"net"
	"time"

	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quarantineguard"
)

// newGuard returns what keeps requests from endpoints that end whenever they run them.
func (d *Daemon) newGuard() *quarantineguard.Guard {
	dial := d.o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return quarantineguard.New(quarantineguard.Options{
		Self: d.peer(), Clock: d.clock, Dial: dial, Rand: newRand(d.o.Settings.Daemon.ID, d.life),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.PartGateway), Send: d.relay,
	})
}

// newRoom returns what keeps endpoints within the limits that they name.
func (d *Daemon) newRoom() *endpointlimit.Limiter {
	return endpointlimit.New(endpointlimit.Options{
		Me: d.peer(), Clock: d.clock, Rand: newRand(d.o.Settings.Daemon.ID, d.life),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.PartGateway), Send: d.relay,
	})
}

// peer names this daemon among the others.
func (d *Daemon) peer() gossip.Peer {
	return gossip.Peer{Name: d.o.Settings.Daemon.ID, Address: d.o.Settings.Listen.Peers}
}

// clock does not begin at zero, which is the time of nothing.
func (d *Daemon) clock() time.Duration { return time.Hour + d.o.Now().Sub(d.life) }

func (d *Daemon) relay(to string, data []byte) { d.peers.SendMessage(to, data) }

// relayed takes another daemon's message. Daemons that are not listed are not answered.
func (d *Daemon) relayed(from string, data []byte) {
	for _, other := range d.daemons.get() {
		if other.ID != from {
			continue
		}
		if !d.room.Receive(other.PeerAddress, data) {
			d.guard.Receive(from, data)
		}
		return
	}
}
