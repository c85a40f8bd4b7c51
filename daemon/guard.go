package daemon

import (
	"net"
	"time"

	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quarantineguard"
)

// newGuard returns the guard that quarantines requests that crash the endpoints
// that run them.
func (d *Daemon) newGuard() *quarantineguard.Guard {
	dial := d.o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return quarantineguard.New(quarantineguard.Options{
		Self: d.self(), Clock: d.clock, Dial: dial, Rand: newRand(d.o.Settings.Daemon.ID, d.startedAt),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.ComponentGateway), Send: d.sendMessage,
	})
}

// newEndpointLimits returns the limiter that keeps endpoints within the limits
// that they report.
func (d *Daemon) newEndpointLimits() *endpointlimit.Limiter {
	return endpointlimit.New(endpointlimit.Options{
		Me: d.self(), Clock: d.clock, Rand: newRand(d.o.Settings.Daemon.ID, d.startedAt),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.ComponentGateway), Send: d.sendMessage,
	})
}

// self returns this daemon's name and address for messages to the other
// daemons.
func (d *Daemon) self() gossip.Peer {
	return gossip.Peer{Name: d.o.Settings.Daemon.ID, Address: d.o.Settings.Listen.Peers}
}

// clock returns the time since the start of the daemon plus one hour, because
// zero means "no time" to the packages that use it.
func (d *Daemon) clock() time.Duration { return time.Hour + d.o.Now().Sub(d.startedAt) }

func (d *Daemon) sendMessage(to string, data []byte) { d.peers.SendMessage(to, data) }

// receiveMessage dispatches a message from another daemon. Messages from
// daemons that are not listed are ignored.
func (d *Daemon) receiveMessage(from string, data []byte) {
	for _, other := range d.daemons.get() {
		if other.ID != from {
			continue
		}
		if !d.endpointLimits.Receive(other.PeerAddress, data) {
			d.guard.Receive(from, data)
		}
		return
	}
}
