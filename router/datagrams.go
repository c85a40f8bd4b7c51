package router

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/logging"
)

// datagramBytes bounds one message between daemons so that it fits into a single packet
// on common links.
const datagramBytes = 1400

// datagrams sends and receives small UDP messages between daemons. Messages may be
// lost, delayed or duplicated, so users must not depend on any single one.
type datagrams struct {
	log    *logging.Logger
	unsent tally.Counter
	conn   *net.UDPConn
	write  func(to netip.AddrPort, data []byte) error // nil: there are no other daemons
	handle func(from string, data []byte)
}

func newDatagrams(scope tally.Scope, log *logging.Logger) *datagrams {
	return &datagrams{log: log, unsent: scope.Counter("datagrams_unsent")}
}

// listen opens the UDP address for messages of other daemons. It must be called before
// run.
func (d *datagrams) listen(address string) error {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return eris.Wrap(err, "the address for messages of other daemons is malformed")
	}
	d.conn, err = net.ListenUDP("udp4", at)
	d.write = func(to netip.AddrPort, data []byte) error {
		_, err := d.conn.WriteToUDPAddrPort(data, to)
		return err
	}
	return eris.Wrap(err, "the address for messages of other daemons cannot be listened on")
}

// run receives messages until the context ends.
func (d *datagrams) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				d.log.Error("Messages of other daemons are no longer received.", "error", err.Error())
			}
			return
		}
		d.handle(from.String(), buffer[:n])
	}
}

// send passes a message to the kernel without waiting for its delivery.
func (d *datagrams) send(to string, data []byte) {
	if d.write == nil {
		return
	}
	at, err := netip.ParseAddrPort(to)
	if err == nil {
		err = d.write(at, data)
	}
	if err != nil {
		d.unsent.Inc(1) // treated like a message lost on the network
	}
}

// peersOf converts daemons to the peer type of package gossip.
func peersOf(all []Neighbour) []gossip.Peer {
	out := make([]gossip.Peer, 0, len(all))
	for _, d := range all {
		out = append(out, gossip.Peer{Name: d.Name, Address: d.Address})
	}
	return out
}
