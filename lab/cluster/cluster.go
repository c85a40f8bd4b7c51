// Package cluster runs whole daemons, put together as in production, in front
// of stand-ins in memory, so that its tests bring about failures in virtual
// time and give the same verdict on every run.
package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/daemon"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/rollout"
	"github.com/merlindock/merlindock/settings"
)

// Names of the deployment.
const (
	Model       = "codes"
	Key         = "key-registre"
	ServicePath = "/receipts/"
)

var zones = []fleet.ZoneID{"a", "b", "c"}

// Options describe a cluster. Zero values take small defaults.
type Options struct {
	Daemons  int
	Runners  int
	Services int
	Prefill  time.Duration // per prompt token
	Decode   time.Duration // per generated token
	Slots    int           // requests at once of a runner; 0: the stand-in's default
	NoOrders bool          // runners know no orders and name no weights
	Fences   bool          // runners refuse old fencing numbers
	Store    *standin.WeightStore
	ListLag  time.Duration
	Logs     *logging.Factory // nil: no lines
	Token    string           // of the administration API; empty: "token"
	// Flags are more settings of a node; nil: none.
	Flags func(node int) []string
	// KV describes the KV store; nil: there is none.
	KV              *standin.StoreOptions
	PieceTokens     int  // of the manifest and of runners
	CachePieces     int  // of one runner
	NoEvents        bool // daemons do not follow cache events
	NoAnnouncements bool // daemons send each other no notices
	// Crashes tells whether a request with the body ends the runner that runs it; nil:
	// none does.
	Crashes func(body string) bool
	// Limits are what runners name, in requests a second of all daemons; 0: nothing.
	Limits map[int]float64
}

// Cluster is a running deployment. It belongs to one goroutine.
type Cluster struct {
	Log      *plog.Log
	VMs      *plog.VMs
	Store    *standin.WeightStore
	Runners  []*standin.OrderedRunner
	Services []*standin.Service
	KV       *standin.Store // nil: there is none
	Nodes    []*Node
	Client   *http.Client

	o               Options
	network         standin.Network
	peerConns       peerConnections
	endpoints       []fleet.Endpoint
	servers         []*http.Server
	transport       *http.Transport
	crashes         atomic.Int64 // runners, by a request that ends them
	arrivalsMu      sync.Mutex
	limitedArrivals []time.Time // when requests reached a runner with a limit
}

// Node is one daemon.
type Node struct {
	ID      string
	URL     string     // for callers
	LogView *plog.View // to the log
	Daemon  *daemon.Daemon
	Ended   chan error

	index  int
	cancel context.CancelFunc
}

// New starts a deployment whose log is empty. Close must be called.
func New(o Options) (*Cluster, error) {
	if o.Store == nil {
		o.Store = &standin.WeightStore{AtOnce: 2, Load: 20 * time.Second}
	}
	if o.Logs == nil {
		o.Logs = logging.Discard()
	}
	if o.Token == "" {
		o.Token = "token"
	}
	if o.PieceTokens == 0 {
		o.PieceTokens = 10
	}
	c := &Cluster{
		o:     o,
		Log:   plog.New(plog.Options{Now: time.Now}),
		VMs:   plog.NewVMs(time.Now, o.ListLag),
		Store: o.Store,
	}
	c.transport = &http.Transport{DialContext: c.network.DialContext}
	c.Client = &http.Client{Transport: c.transport}
	c.startEndpoints(o)
	for i := range o.Daemons {
		c.Nodes = append(c.Nodes, &Node{ID: fmt.Sprintf("daemon-%d", i+1), index: i})
	}
	c.publishList()
	for i := range c.Nodes {
		if err := c.Start(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startEndpoints(o Options) {
	store := ""
	if o.KV != nil {
		store = "10.0.3.1:8000"
		c.KV = standin.NewStore(*o.KV)
		c.addEndpoint("store-1", "store", store, 0, c.KV)
	}
	for i := range o.Runners {
		id := fmt.Sprintf("runner-%d", i+1)
		r := standin.NewRunner(standin.RunnerOptions{
			ID:            fleet.EndpointID(id),
			WeightVersion: "v1",
			PieceTokens:   o.PieceTokens,
			Prefill:       o.Prefill,
			Decode:        o.Decode,
			Slots:         o.Slots,
			CachePieces:   o.CachePieces,
			Store:         store,
			Dial:          c.network.DialContext,
		})
		if o.NoOrders {
			c.Runners = append(c.Runners, &standin.OrderedRunner{Runner: r})
			c.addEndpoint(id, "runner", fmt.Sprintf("10.0.1.%d:8000", i+1), i, r)
			continue
		}
		ordered := r.AcceptOrders(standin.OrderOptions{
			Store:  o.Store,
			Fences: o.Fences,
			Models: []rollout.Model{{ID: Model, Version: "v1"}},
		})
		c.Runners = append(c.Runners, ordered)
		c.addEndpoint(id, "runner", fmt.Sprintf("10.0.1.%d:8000", i+1), i, ordered)
	}
	for i := range o.Services {
		id := fmt.Sprintf("counter-%d", i+1)
		s := standin.NewService(fleet.EndpointID(id))
		c.Services = append(c.Services, s)
		c.addEndpoint(id, "counter", fmt.Sprintf("10.0.2.%d:8000", i+1), i, s)
	}
}

func (c *Cluster) addEndpoint(id, class, address string, i int, h http.Handler) {
	if class == "runner" && c.o.Crashes != nil {
		h = c.withCrashes(i, address, h)
	}
	if limit := c.o.Limits[i]; class == "runner" && limit > 0 {
		h = c.withLimit(limit, h)
	}
	c.servers = append(c.servers, c.network.Serve(address, h))
	c.endpoints = append(c.endpoints, fleet.Endpoint{
		ID:      fleet.EndpointID(id),
		VM:      fleet.VMID("vm-" + id),
		Zone:    zones[i%len(zones)],
		Class:   class,
		Address: address,
		State:   fleet.VMLive,
	})
}

// restartDelay is the time until a runner that ended is back.
const restartDelay = 2 * time.Second

// withCrashes ends a runner that gets a request which ends it, and everything that it runs.
func (c *Cluster) withCrashes(i int, address string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !c.o.Crashes(string(body)) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, r)
			return
		}
		c.crashes.Add(1)
		c.network.SetRefused(address, true)
		c.Runners[i].Runner.Crash()
		time.AfterFunc(restartDelay, func() {
			c.Runners[i].Restart()
			c.network.SetRefused(address, false)
		})
		panic(http.ErrAbortHandler)
	})
}

// withLimit has a runner name a limit, and notes when requests reach it.
func (c *Cluster) withLimit(limit float64, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engine.PathLoad && r.URL.Path != engine.PathEvents {
			c.arrivalsMu.Lock()
			c.limitedArrivals = append(c.limitedArrivals, time.Now())
			c.arrivalsMu.Unlock()
		}
		w.Header().Set(engine.HeaderLimit, strconv.FormatFloat(limit, 'g', -1, 64))
		h.ServeHTTP(w, r)
	})
}

// publishList puts endpoints and daemons on the platform's publishList.
func (c *Cluster) publishList() {
	var daemons []ports.Daemon
	for _, n := range c.Nodes {
		daemons = append(daemons, ports.Daemon{
			ID:          n.ID,
			Zone:        zones[n.index%len(zones)],
			PeerAddress: n.peerAddress(),
			State:       fleet.VMLive,
		})
	}
	c.VMs.Set(c.endpoints, daemons)
}

// MarkLeaving has the platform's list call an endpoint leaving.
func (c *Cluster) MarkLeaving(id fleet.EndpointID) {
	for i := range c.endpoints {
		if c.endpoints[i].ID == id {
			c.endpoints[i].State = fleet.VMLeaving
		}
	}
	c.publishList()
}

func (n *Node) address() string      { return fmt.Sprintf("10.9.0.%d:8080", n.index+1) }
func (n *Node) adminAddress() string { return fmt.Sprintf("10.9.0.%d:8081", n.index+1) }
func (n *Node) peerAddress() string  { return fmt.Sprintf("10.9.0.%d:8082", n.index+1) }

// Start starts a node, or starts it again after it has ended.
func (c *Cluster) Start(i int) error {
	n := c.Nodes[i]
	n.URL = "http://" + n.address()
	n.LogView = c.Log.View()
	n.Ended = make(chan error, 1)
	args := []string{
		"-daemon.id=" + n.ID,
		"-daemon.zone=" + string(zones[i%len(zones)]),
		"-platform.url=http://10.8.0.1:7400",
		"-listen.callers=" + n.address(),
		"-listen.admin=" + n.adminAddress(),
		"-listen.peers=" + n.peerAddress(),
	}
	if c.o.Flags != nil {
		args = append(args, c.o.Flags(i)...)
	}
	s, err := settings.Load(settings.Input{Args: args})
	if err != nil {
		return err
	}
	if c.o.NoEvents {
		s.Routing.EventEndpoints = 0
	}
	n.Daemon, err = daemon.New(daemon.Options{
		Settings:  s,
		NoNotices: c.o.NoAnnouncements,
		Token:     c.o.Token,
		Log:       n.LogView,
		VMs:       c.VMs,
		Logs:      c.o.Logs,
		Dial:      c.dial(i),
		Listeners: daemon.Listeners{
			Callers: c.network.Listen(n.address()),
			Admin:   c.network.Listen(n.adminAddress()),
			Peers:   c.network.Listen(n.peerAddress()),
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.Ended <- n.Daemon.Run(ctx) }()
	return nil
}

// Kill ends a node at once, with whatever it has open, and waits for its end.
func (c *Cluster) Kill(i int) {
	n := c.Nodes[i]
	if n.cancel == nil {
		return
	}
	n.cancel()
	n.cancel = nil
	// A caller's idle connection to the dead daemon would take its next request
	// and break: the caller's own affair, and not what the tests are about.
	defer c.transport.CloseIdleConnections()
	<-n.Ended //nolint:errcheck // cut off, so its error tells nothing
}

// Close ends everything.
func (c *Cluster) Close() {
	for i := range c.Nodes {
		c.Kill(i)
	}
	c.transport.CloseIdleConnections()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// Ready tells whether a node is ready.
func (c *Cluster) Ready(i int) bool {
	resp, err := c.Client.Get("http://" + c.Nodes[i].adminAddress() + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Publish proposes a manifest by a node's way to the log.
func (c *Cluster) Publish(ctx context.Context, i int, base ports.Offset, m manifest.Manifest) (logio.PublishResult, error) {
	return logio.Publish(ctx, c.Nodes[i].LogView, logio.PublishRequest{Base: base, Manifest: m, Author: "test"})
}

// Manifest is a manifest that declares the given weight version.
func (c *Cluster) Manifest(version string) manifest.Manifest {
	sum := sha256.Sum256([]byte(Key))
	return manifest.Manifest{
		Rules: manifest.RulesVersion,
		Name:  "cluster",
		Fleet: manifest.Fleet{
			PieceTokens:     c.o.PieceTokens,
			BytesPerToken:   4,
			LoadsAtOnce:     2,
			FirstTokenLimit: manifest.Duration(time.Second),
		},
		Organisations: []manifest.Organisation{{
			ID:         "registre",
			KeyHashes:  []string{hex.EncodeToString(sum[:])},
			Share:      1,
			Priorities: []string{"interactive", "standard", "batch"},
		}},
		Models: []manifest.Model{{ID: Model, Version: version}},
		Classes: []manifest.Class{
			{ID: "runner", Kind: fleet.KindModel, Models: []string{Model}},
			{ID: "counter", Kind: fleet.KindService},
			{ID: "store", Kind: fleet.KindStore},
		},
		Services: []manifest.Service{{
			ID:         "receipts",
			PathPrefix: ServicePath,
			Class:      "counter",
			Calls:      []manifest.Call{{Method: http.MethodGet, Path: "*", Idempotent: true}},
		}},
		Retention: manifest.Retention{
			ClaimWindow: manifest.Duration(time.Hour),
			LogRecords:  manifest.Duration(6 * time.Hour),
		},
	}
}
