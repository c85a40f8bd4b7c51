package world

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/merlindock/merlindock/admin/client"
	"github.com/merlindock/merlindock/daemon"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/ports/httplog"
	"github.com/merlindock/merlindock/settings"
)

// Token is the token of the daemons' administration API.
const Token = "demo-admin-token"

// Node is one daemon of a cluster. It runs in this process and listens on TCP
// sockets.
type Node struct {
	ID         string
	CallersURL string
	AdminURL   string
	PeerAddr   string
	Daemon     *daemon.Daemon

	listeners daemon.Listeners
	ended     chan error
}

// Admin returns a client of the node's administration API.
func (n *Node) Admin() *client.Client { return &client.Client{BaseURL: n.AdminURL, Token: Token} }

// Ended returns a channel that receives the result of the daemon's Run once.
func (n *Node) Ended() <-chan error { return n.ended }

// Cluster is a set of daemons in front of a World.
type Cluster struct {
	World *World
	Nodes []*Node

	ctx    context.Context
	cancel context.CancelFunc
	adjust func(*settings.Settings)
}

// StartCluster starts daemons on free ports and assigns them to the zones in turn.
// The function adjust may change each daemon's settings, unless it is nil. The caller
// must Close the cluster.
func (w *World) StartCluster(daemons int, adjust func(*settings.Settings)) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{World: w, ctx: ctx, cancel: cancel, adjust: adjust}
	for i := range daemons {
		n, err := openNode(fmt.Sprintf("daemon-%d", i+1))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Nodes = append(c.Nodes, n)
	}
	c.publishDaemons()
	for i := range c.Nodes {
		if err := c.startNode(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func openNode(id string) (*Node, error) {
	n := &Node{ID: id, ended: make(chan error, 1)}
	for _, l := range []*net.Listener{&n.listeners.Callers, &n.listeners.Admin, &n.listeners.Peers} {
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("world: %w", err)
		}
		*l = opened
	}
	n.CallersURL = "http://" + n.listeners.Callers.Addr().String()
	n.AdminURL = "http://" + n.listeners.Admin.Addr().String()
	n.PeerAddr = n.listeners.Peers.Addr().String()
	return n, nil
}

// publishDaemons sets the platform's list of daemons to the nodes.
func (c *Cluster) publishDaemons() {
	var daemons []ports.Daemon
	for i, n := range c.Nodes {
		daemons = append(daemons, ports.Daemon{
			ID:          n.ID,
			Zone:        Zones[i%len(Zones)],
			PeerAddress: n.PeerAddr,
			State:       fleet.VMLive,
		})
	}
	c.World.SetDaemons(daemons)
}

func (c *Cluster) startNode(i int) error {
	n := c.Nodes[i]
	s, err := settings.Load(settings.Input{Args: []string{
		"-daemon.id=" + n.ID,
		"-daemon.zone=" + string(Zones[i%len(Zones)]),
		"-platform.url=" + c.World.PlatformURL,
		"-listen.callers=" + n.listeners.Callers.Addr().String(),
		"-listen.admin=" + n.listeners.Admin.Addr().String(),
		"-listen.peers=" + n.PeerAddr,
		"-drain.balancer-lag=100ms",
		"-platform.poll-interval=50ms",
		"-platform.list-interval=200ms",
	}})
	if err != nil {
		return err
	}
	if c.adjust != nil {
		c.adjust(&s)
	}
	platform, err := httplog.New(httplog.Options{BaseURL: c.World.PlatformURL, Timeout: s.Platform.Timeout})
	if err != nil {
		return err
	}
	n.Daemon, err = daemon.New(daemon.Options{
		Settings:  s,
		Token:     Token,
		Log:       platform,
		VMs:       platform,
		Logs:      logging.Discard(),
		Listeners: n.listeners,
	})
	if err != nil {
		return err
	}
	go func() { n.ended <- n.Daemon.Run(c.ctx) }()
	return nil
}

// Restart replaces a node whose daemon has ended by a new daemon with the same ID and
// other ports.
func (c *Cluster) Restart(i int) error {
	n, err := openNode(c.Nodes[i].ID)
	if err != nil {
		return err
	}
	c.Nodes[i] = n
	c.publishDaemons()
	return c.startNode(i)
}

// WaitReady waits until every node reports that it is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, n := range c.Nodes {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readyPollInterval is the interval between WaitReady's requests.
const readyPollInterval = 5 * time.Millisecond

// WaitReady waits until the node reports that it is ready.
func (n *Node) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		_, err := n.Admin().Get(ctx, "/readyz")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("world: %s is not ready: %w", n.ID, err)
		case <-ticker.C:
		}
	}
}

// Close ends all daemons without draining them, and waits for their end.
func (c *Cluster) Close() {
	c.cancel()
	for _, n := range c.Nodes {
		if n.Daemon != nil {
			<-n.ended //nolint:errcheck // the daemon was cancelled, so any error is expected
		}
	}
}
