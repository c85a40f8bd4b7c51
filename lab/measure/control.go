// Package measure measures the cost of single components of merlindock in
// processor time, bytes and latency. The capacity page is computed from its
// results. Each function performs one measurement on the local machine and
// sets no pass criteria.
package measure

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/peer"
	"github.com/merlindock/merlindock/ports"
)

// ControlPlaneOptions configure daemons that exchange digests with their
// neighbours over gRPC on loopback, all in this process.
type ControlPlaneOptions struct {
	Daemons       int
	Zones         int
	Interval      time.Duration // minimum between exchanges; 0: the default
	Budget        float64       // bytes a second; 0: the default
	Duration      time.Duration // of the measurement, after the connections are open
	Evidence      int           // endpoints with evidence in each digest
	Organisations int           // organisations with usage in each digest
	TLS           bool
}

// ControlPlaneCost is the average cost of the exchanges for one daemon.
type ControlPlaneCost struct {
	Daemons        int
	Neighbours     float64 // on average
	BytesPerSecond float64 // written to TCP; as many are received
	Cores          float64 // processor time in cores
}

// daemonNode is one daemon of a daemonCluster.
type daemonNode struct {
	daemon   ports.Daemon
	listener net.Listener
	service  *peer.Service

	mu         sync.Mutex // guards the fields below
	accepted   peer.Accepted
	receivedAt time.Time
}

// daemonCluster holds running daemons that all know each other.
type daemonCluster struct {
	nodes     []*daemonNode
	sentBytes atomic.Int64
	stop      context.CancelFunc
	running   sync.WaitGroup
	received  chan struct{} // one element for each daemon that accepted a manifest
	tlsFiles  *peer.TLSFiles
	tlsDir    string // directory of tlsFiles
}

// sendCountingConn adds the bytes written to sent.
type sendCountingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c sendCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

type sendCountingListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l sendCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return sendCountingConn{conn, l.sent}, nil
}

// Daemons returns a list of daemons that are spread evenly over the zones.
func Daemons(count, zones int) []ports.Daemon {
	list := make([]ports.Daemon, count)
	for i := range list {
		list[i] = ports.Daemon{
			ID:          fmt.Sprintf("entry-%d", i),
			Zone:        fleet.ZoneID(fmt.Sprintf("zone-%d", i%zones)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			State:       fleet.VMLive,
		}
	}
	return list
}

func startDaemons(o ControlPlaneOptions) (*daemonCluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &daemonCluster{stop: cancel, received: make(chan struct{}, o.Daemons)}
	if err := c.createTLSFiles(o); err != nil {
		c.close()
		return nil, err
	}
	list := Daemons(o.Daemons, o.Zones)
	for i := range list {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.close()
			return nil, err
		}
		list[i].PeerAddress = l.Addr().String()
		c.nodes = append(c.nodes, &daemonNode{daemon: list[i], listener: sendCountingListener{l, &c.sentBytes}})
	}
	for i, n := range c.nodes {
		s, err := peer.New(c.peerOptions(o, n, list, uint64(i)))
		if err != nil {
			c.close()
			return nil, err
		}
		n.service = s
		c.running.Go(func() { _ = s.Serve(ctx, n.listener) })
		c.running.Go(func() { _ = s.Run(ctx) })
	}
	return c, nil
}

func (c *daemonCluster) createTLSFiles(o ControlPlaneOptions) (err error) {
	if !o.TLS {
		return nil
	}
	if c.tlsDir, err = os.MkdirTemp("", "merlindock-measure"); err != nil {
		return err
	}
	c.tlsFiles, err = writeCertificates(c.tlsDir)
	return err
}

func (c *daemonCluster) close() {
	c.stop()
	if c.tlsDir != "" {
		defer os.RemoveAll(c.tlsDir)
	}
	c.running.Wait()
	for _, n := range c.nodes {
		if n.service != nil {
			n.service.Close()
		} else {
			n.listener.Close()
		}
	}
}

// connectTime is the wait for the daemons to open their connections.
const connectTime = 3 * time.Second

// errNotNewer is returned for a manifest that is not newer than the daemon's.
var errNotNewer = errors.New("measure: manifest is not newer than the accepted one")

func (c *daemonCluster) peerOptions(o ControlPlaneOptions, n *daemonNode, list []ports.Daemon, seed uint64) peer.Options {
	// A non-zero revision makes digests as large as those of a daemon in service.
	n.accepted.Revision = neighbour.Revision{Offset: 1}
	evidence := NewEvidence(o.Evidence)
	usage := EncodeUsage(o.Organisations)
	return peer.Options{
		Self:     n.daemon,
		Seed:     seed,
		Interval: o.Interval,
		Budget:   o.Budget,
		TLS:      c.tlsFiles,
		Daemons:  func() []ports.Daemon { return list },
		LocalDigest: func(now time.Time) peer.LocalState {
			for i := range evidence {
				evidence[i].At = now
			}
			return peer.LocalState{Accepted: n.acceptedManifest().Revision, Endpoints: append([]fleet.Evidence(nil), evidence...), Usage: usage}
		},
		FetchManifest: func(context.Context, neighbour.Revision) (peer.Accepted, error) { return n.acceptedManifest(), nil },
		Merge:         func(_ context.Context, _ string, a peer.Accepted) error { return c.acceptManifest(n, a) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return sendCountingConn{conn, &c.sentBytes}, nil
		},
	}
}

func (n *daemonNode) acceptedManifest() peer.Accepted {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

func (c *daemonCluster) acceptManifest(n *daemonNode, a peer.Accepted) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Revision.Offset <= n.accepted.Revision.Offset {
		return errNotNewer
	}
	n.accepted, n.receivedAt = a, time.Now()
	c.received <- struct{}{}
	return nil
}

// RunControlPlane measures the cost of the regular exchanges for each daemon
// while no manifest is published.
func RunControlPlane(o ControlPlaneOptions) (ControlPlaneCost, error) {
	c, err := startDaemons(o)
	if err != nil {
		return ControlPlaneCost{}, err
	}
	defer c.close()
	time.Sleep(connectTime)
	sent, used, began := c.sentBytes.Load(), cpuTime(), time.Now()
	time.Sleep(o.Duration)
	took := time.Since(began).Seconds() * float64(o.Daemons)
	cost := ControlPlaneCost{
		Daemons:        o.Daemons,
		BytesPerSecond: float64(c.sentBytes.Load()-sent) / took,
		Cores:          (cpuTime() - used).Seconds() / took,
	}
	for _, n := range c.nodes {
		cost.Neighbours += float64(len(n.service.Neighbours())) / float64(o.Daemons)
	}
	return cost, nil
}

// cpuTime returns the processor time of this process in user and system mode,
// or 0 if the system doesn't report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// RunManifestPropagation measures, on loopback, the time from the acceptance of
// a manifest of the given size by one daemon until all others have accepted it.
// It fails after a minute.
func RunManifestPropagation(o ControlPlaneOptions, manifestBytes int) (time.Duration, error) {
	c, err := startDaemons(o)
	if err != nil {
		return 0, err
	}
	defer c.close()
	time.Sleep(connectTime)
	text := make([]byte, manifestBytes)
	began := time.Now()
	a := peer.Accepted{Revision: neighbour.Revision{Offset: 2, Digest: sha256.Sum256(text)}, Manifest: text}
	if err := c.acceptManifest(c.nodes[0], a); err != nil {
		return 0, err
	}
	c.nodes[0].service.AnnounceManifest()
	timeout := time.After(time.Minute)
	for range c.nodes {
		select {
		case <-c.received:
		case <-timeout:
			return 0, errors.New("measure: manifest did not reach all daemons within a minute")
		}
	}
	var last time.Time
	for _, n := range c.nodes {
		n.mu.Lock()
		if n.receivedAt.After(last) {
			last = n.receivedAt
		}
		n.mu.Unlock()
	}
	return last.Sub(began), nil
}

// NewEvidence returns sample evidence of the given number of endpoints.
func NewEvidence(count int) []fleet.Evidence {
	list := make([]fleet.Evidence, count)
	for i := range list {
		list[i] = fleet.Evidence{
			Endpoint:    fleet.EndpointID(fmt.Sprintf("runner-%04d", i)),
			Incarnation: fleet.Incarnation(1_700_000_000_000_000_000 + i),
			Draining:    i%2 == 0,
		}
	}
	return list
}

// EncodeUsage returns an encoded usage digest with the given number of
// organisations, or nil if a digest cannot hold that many.
func EncodeUsage(organisations int) []byte {
	d := contract.Digest{Incarnation: 1_700_000_000_000_000_000, Sequence: 100_000}
	for i := range organisations {
		d.Entries = append(d.Entries, contract.DigestEntry{
			Hash:   uint32(i+1) * (1 << 25),
			Demand: 20_000,
			Use:    15_000,
		})
	}
	text, err := d.AppendBinary(nil)
	if err != nil {
		return nil // more organisations than a digest can hold
	}
	return text
}
