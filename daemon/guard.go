package daemon

import (
	"net"
	"time"

	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/guard"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/room"
)

// newGuard returns what keeps requests from endpoints that end whenever they run them.
func (d *Daemon) newGuard() *guard.Guard {
	dial := d.o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return guard.New(guard.Options{
		Me: d.self(), Clock: d.clock, Dial: dial, Rand: newRand(d.o.Settings.Daemon.ID, d.startedAt),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.ComponentGateway), Send: d.sendMessage,
	})
}

// newLimiter returns what keeps endpoints within the limits that they name.
func (d *Daemon) newLimiter() *room.Limiter {
	return room.New(room.Options{
		Me: d.self(), Clock: d.clock, Rand: newRand(d.o.Settings.Daemon.ID, d.startedAt),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.ComponentGateway), Send: d.sendMessage,
	})
}

// self names this daemon among the others.
func (d *Daemon) self() gossip.Peer {
	return gossip.Peer{Name: d.o.Settings.Daemon.ID, Address: d.o.Settings.Listen.Peers}
}

// clock does not begin at zero, which is the time of nothing.
func (d *Daemon) clock() time.Duration { return time.Hour + d.o.Now().Sub(d.startedAt) }

func (d *Daemon) sendMessage(to string, data []byte) { d.peers.SendMessage(to, data) }

// receiveMessage takes another daemon's message. Daemons that are not listed are not answered.
func (d *Daemon) receiveMessage(from string, data []byte) {
	for _, other := range d.daemons.get() {
		if other.ID != from {
			continue
		}
		if !d.limiter.Receive(other.PeerAddress, data) {
			d.guard.Receive(from, data)
		}
		return
	}
}
