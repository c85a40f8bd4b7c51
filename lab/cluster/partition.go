package cluster

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// peerConnections are the connections that nodes have opened, and the links that are
// blocked.
type peerConnections struct {
	mu      sync.Mutex // guards what follows
	blocked map[link]bool
	open    map[link][]net.Conn
}

// link is the network link from a node to an address.
type link struct {
	from    int
	address string
}

// dial returns a node's dial function. It fails while the link to the address is
// blocked.
func (c *Cluster) dial(from int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.network.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.peerConns.register(link{from, address}, conn)
	}
}

func (w *peerConnections) register(by link, conn net.Conn) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blocked[by] {
		_ = conn.Close()
		return nil, fmt.Errorf("cluster: the link to %s is blocked", by.address)
	}
	if w.open == nil {
		w.open = map[link][]net.Conn{}
	}
	w.open[by] = append(w.open[by], conn)
	return conn, nil
}

// Partition closes the connections between two nodes' peer addresses and blocks new
// ones until Heal.
func (c *Cluster) Partition(i, j int) {
	c.peerConns.setBlocked(link{i, c.Nodes[j].peerAddress()}, true)
	c.peerConns.setBlocked(link{j, c.Nodes[i].peerAddress()}, true)
}

// Heal unblocks the connections that Partition blocked.
func (c *Cluster) Heal(i, j int) {
	c.peerConns.setBlocked(link{i, c.Nodes[j].peerAddress()}, false)
	c.peerConns.setBlocked(link{j, c.Nodes[i].peerAddress()}, false)
}

func (w *peerConnections) setBlocked(by link, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blocked == nil {
		w.blocked = map[link]bool{}
	}
	w.blocked[by] = cut
	for _, conn := range w.open[by] {
		_ = conn.Close()
	}
	delete(w.open, by)
}
