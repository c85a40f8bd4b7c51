package cluster

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// ways are the connections that nodes have opened to each other.
type ways struct {
	mu   sync.Mutex // guards what follows
	cut  map[way]bool
	open map[way][]net.Conn
}

// way is from a node to an address.
type way struct {
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
		return c.ways.opened(way{from, address}, conn)
	}
}

func (w *ways) opened(by way, conn net.Conn) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[by] {
		_ = conn.Close()
		return nil, fmt.Errorf("cluster: %s cannot be reached", by.address)
	}
	if w.open == nil {
		w.open = map[way][]net.Conn{}
	}
	w.open[by] = append(w.open[by], conn)
	return conn, nil
}

// Part breaks the connections between two nodes' peer addresses, and lets none
// be opened until Join.
func (c *Cluster) Part(i, j int) {
	c.ways.set(way{i, c.Nodes[j].peerAddress()}, true)
	c.ways.set(way{j, c.Nodes[i].peerAddress()}, true)
}

// Join ends Part.
func (c *Cluster) Join(i, j int) {
	c.ways.set(way{i, c.Nodes[j].peerAddress()}, false)
	c.ways.set(way{j, c.Nodes[i].peerAddress()}, false)
}

func (w *ways) set(by way, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == nil {
		w.cut = map[way]bool{}
	}
	w.cut[by] = cut
	for _, conn := range w.open[by] {
		_ = conn.Close()
	}
	delete(w.open, by)
}
