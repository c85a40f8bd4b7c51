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

func (p *peerConnections) register(l link, conn net.Conn) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked[l] {
		_ = conn.Close()
		return nil, fmt.Errorf("cluster: the link to %s is blocked", l.address)
	}
	if p.open == nil {
		p.open = map[link][]net.Conn{}
	}
	p.open[l] = append(p.open[l], conn)
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

func (p *peerConnections) setBlocked(l link, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked == nil {
		p.blocked = map[link]bool{}
	}
	p.blocked[l] = blocked
	for _, conn := range p.open[l] {
		_ = conn.Close()
	}
	delete(p.open, l)
}
