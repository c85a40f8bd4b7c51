package daemon

import (
	"net"
	"time"

	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/guard"
	"github.com/merlindock/merlindock/logging"
)

// newGuard returns what keeps requests from endpoints that end whenever they run them.
func (d *Daemon) newGuard() *guard.Guard {
	s := d.o.Settings
	dial := d.o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return guard.New(guard.Options{
		Me:    gossip.Peer{Name: s.Daemon.ID, Address: s.Listen.Peers},
		Clock: func() time.Duration { return d.o.Now().Sub(d.life) },
		Dial:  dial, Rand: newRand(s.Daemon.ID, d.life),
		Scope: d.metrics.Scope, Log: d.o.Logs.For(logging.PartGateway),
		Send: func(to string, data []byte) { d.peers.Relay(to, data) },
	})
}
