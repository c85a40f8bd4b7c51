package cluster

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// peerConnections are the connections that nodes have opened to each other.
type peerConnections struct {
	mu      sync.Mutex // guards what follows
	blocked map[link]bool
	open    map[link][]net.Conn
}

// link is from a node to an address.
type link struct {
	from    int
	address string
}

// dial opens a connection for a node, unless its way is cut.
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
		return nil, fmt.Errorf("cluster: %s cannot be reached", by.address)
	}
	if w.open == nil {
		w.open = map[link][]net.Conn{}
	}
	w.open[by] = append(w.open[by], conn)
	return conn, nil
}

// Partition breaks the connections between two nodes' peer addresses, and lets none
// be opened until Join.
func (c *Cluster) Partition(i, j int) {
	c.peerConns.setBlocked(link{i, c.Nodes[j].peerAddress()}, true)
	c.peerConns.setBlocked(link{j, c.Nodes[i].peerAddress()}, true)
}

// Heal ends Part.
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
