// Package measure measures what the parts of merlindock cost, in figures that
// the capacity page is worked out from. Each function is one measurement on
// this machine; none of them is a test with a verdict.
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

// ControlPlaneOptions describe daemons that talk to their neighbours over real gRPC
// on loopback, all in this process.
type ControlPlaneOptions struct {
	Daemons       int
	Zones         int
	Interval      time.Duration // between exchanges at the least; 0: the default
	Budget        float64       // bytes a second; 0: the default
	Duration      time.Duration // measured, after a warm-up
	Evidence      int           // endpoints named in each digest
	Organisations int           // whose use each digest carries
	TLS           bool
}

// ControlPlaneCost is what control costs one daemon.
type ControlPlaneCost struct {
	Daemons        int
	Neighbours     float64 // on average
	BytesPerSecond float64 // bytes a second handed to TCP; as many are received
	Cores          float64 // share of one core
}

// controlNode is one daemon of a measurement.
type controlNode struct {
	daemon   ports.Daemon
	listener net.Listener
	service  *peer.Service

	mu       sync.Mutex // guards what follows
	accepted peer.Accepted
	reached  time.Time
}

// control is a number of daemons that run.
type control struct {
	nodes []*controlNode
	sent  atomic.Int64
	stop  context.CancelFunc
	done  sync.WaitGroup
	got   chan struct{} // one for each daemon that took a manifest
	files *peer.TLSFiles
	dir   string // of files
}

// countedConn counts the bytes written.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.sent}, nil
}

// Daemons makes a list of daemons over zones.
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

func startControl(o ControlPlaneOptions) (*control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{stop: cancel, got: make(chan struct{}, o.Daemons)}
	if err := c.secure(o); err != nil {
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
		c.nodes = append(c.nodes, &controlNode{daemon: list[i], listener: countedListener{l, &c.sent}})
	}
	for i, n := range c.nodes {
		s, err := peer.New(c.options(o, n, list, uint64(i)))
		if err != nil {
			c.close()
			return nil, err
		}
		n.service = s
		c.done.Go(func() { _ = s.Serve(ctx, n.listener) })
		c.done.Go(func() { _ = s.Run(ctx) })
	}
	return c, nil
}

func (c *control) secure(o ControlPlaneOptions) (err error) {
	if !o.TLS {
		return nil
	}
	if c.dir, err = os.MkdirTemp("", "merlindock-measure"); err != nil {
		return err
	}
	c.files, err = writeCertificates(c.dir)
	return err
}

func (c *control) close() {
	c.stop()
	if c.dir != "" {
		defer os.RemoveAll(c.dir)
	}
	c.done.Wait()
	for _, n := range c.nodes {
		if n.service != nil {
			n.service.Close()
		} else {
			n.listener.Close()
		}
	}
}

// warmUp is the time in which the connections are opened.
const warmUp = 3 * time.Second

// errEarlier says that a daemon has a later manifest already.
var errEarlier = errors.New("measure: manifest is not later")

func (c *control) options(o ControlPlaneOptions, n *controlNode, list []ports.Daemon, seed uint64) peer.Options {
	// Each link should carry a revision, as it does in service.
	n.accepted.Revision = neighbour.Revision{Offset: 1}
	evidence := NewEvidence(o.Evidence)
	usage := EncodeUsage(o.Organisations)
	return peer.Options{
		Self:     n.daemon,
		Seed:     seed,
		Interval: o.Interval,
		Budget:   o.Budget,
		TLS:      c.files,
		Daemons:  func() []ports.Daemon { return list },
		LocalDigest: func(now time.Time) peer.LocalState {
			for i := range evidence {
				evidence[i].At = now
			}
			return peer.LocalState{Accepted: n.state().Revision, Endpoints: append([]fleet.Evidence(nil), evidence...), Usage: usage}
		},
		FetchManifest: func(context.Context, neighbour.Revision) (peer.Accepted, error) { return n.state(), nil },
		Merge:         func(_ context.Context, _ string, a peer.Accepted) error { return c.take(n, a) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, &c.sent}, nil
		},
	}
}

func (n *controlNode) state() peer.Accepted {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

func (c *control) take(n *controlNode, a peer.Accepted) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Revision.Offset <= n.accepted.Revision.Offset {
		return errEarlier
	}
	n.accepted, n.reached = a, time.Now()
	c.got <- struct{}{}
	return nil
}

// MeasureControlPlane measures what control costs each daemon when nothing happens.
func MeasureControlPlane(o ControlPlaneOptions) (ControlPlaneCost, error) {
	c, err := startControl(o)
	if err != nil {
		return ControlPlaneCost{}, err
	}
	defer c.close()
	time.Sleep(warmUp)
	sent, used, began := c.sent.Load(), processorTime(), time.Now()
	time.Sleep(o.Duration)
	took := time.Since(began).Seconds() * float64(o.Daemons)
	cost := ControlPlaneCost{
		Daemons:        o.Daemons,
		BytesPerSecond: float64(c.sent.Load()-sent) / took,
		Cores:          (processorTime() - used).Seconds() / took,
	}
	for _, n := range c.nodes {
		cost.Neighbours += float64(len(n.service.Neighbours())) / float64(o.Daemons)
	}
	return cost, nil
}

// processorTime is what this process has used, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MeasureManifestPropagation measures, on loopback, how long a manifest of the given size takes
// from one daemon that has accepted it to all the others.
func MeasureManifestPropagation(o ControlPlaneOptions, manifestBytes int) (time.Duration, error) {
	c, err := startControl(o)
	if err != nil {
		return 0, err
	}
	defer c.close()
	time.Sleep(warmUp)
	text := make([]byte, manifestBytes)
	began := time.Now()
	a := peer.Accepted{Revision: neighbour.Revision{Offset: 2, Digest: sha256.Sum256(text)}, Manifest: text}
	if err := c.take(c.nodes[0], a); err != nil {
		return 0, err
	}
	c.nodes[0].service.AnnounceManifest()
	limit := time.After(time.Minute)
	for range c.nodes {
		select {
		case <-c.got:
		case <-limit:
			return 0, errors.New("measure: manifest did not reach all daemons in a minute")
		}
	}
	var last time.Time
	for _, n := range c.nodes {
		n.mu.Lock()
		if n.reached.After(last) {
			last = n.reached
		}
		n.mu.Unlock()
	}
	return last.Sub(began), nil
}

// NewEvidence makes news of the given number of endpoints.
func NewEvidence(count int) []fleet.Evidence {
	es := make([]fleet.Evidence, count)
	for i := range es {
		es[i] = fleet.Evidence{
			Endpoint:    fleet.EndpointID(fmt.Sprintf("runner-%04d", i)),
			Incarnation: fleet.Incarnation(1_700_000_000_000_000_000 + i),
			Draining:    i%2 == 0,
		}
	}
	return es
}

// EncodeUsage makes the digest of the given number of organisations' use.
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
		return nil // more organisations than a digest may carry
	}
	return text
}
