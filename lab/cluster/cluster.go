// Package cluster runs complete daemons, assembled as in production, in front of
// in-memory stand-ins. Its tests inject failures in virtual time, so that every run
// has the same result.
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

// Names used in the cluster's manifest, and an API key.
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
	Slots    int           // concurrent requests of a runner; 0: the stand-in's default
	NoOrders bool          // runners execute no orders and report no weights
	Fences   bool          // runners refuse outdated fencing tokens
	Store    *standin.WeightStore
	ListLag  time.Duration    // delay of changes in the platform's list
	Logs     *logging.Factory // nil: logs are discarded
	Token    string           // of the administration API; empty: "token"
	// Flags returns further command-line flags of a node; nil: none.
	Flags func(node int) []string
	// KV describes the KV store; nil: no KV store.
	KV              *standin.StoreOptions
	PieceTokens     int  // in the manifest and in runners; 0: 10
	CachePieces     int  // cache capacity of one runner
	NoEvents        bool // daemons do not follow cache events
	NoAnnouncements bool // daemons send each other no placement announcements
	// Crashes reports whether a request with the given body crashes the runner that it
	// reaches; nil: no request does.
	Crashes func(body string) bool
	// Limits are the rate limits that runners announce, by the runner's index, in
	// requests/s over all daemons. Runners without an entry announce none.
	Limits map[int]float64
}

// Cluster is a running deployment. Apart from its Client, it is not safe for
// concurrent use.
type Cluster struct {
	Log      *plog.Log
	VMs      *plog.VMs
	Store    *standin.WeightStore
	Runners  []*standin.OrderedRunner
	Services []*standin.Service
	KV       *standin.Store // nil: no KV store
	Nodes    []*Node
	Client   *http.Client

	o               Options
	network         standin.Network
	peerConns       peerConnections
	endpoints       []fleet.Endpoint
	servers         []*http.Server
	transport       *http.Transport
	crashes         atomic.Int64 // number of runner crashes by Options.Crashes
	arrivalsMu      sync.Mutex
	limitedArrivals []time.Time // times when requests reached a runner with a limit
}

// Node is one daemon.
type Node struct {
	ID      string
	URL     string     // base URL for callers
	LogView *plog.View // the node's connection to the log
	Daemon  *daemon.Daemon
	Ended   chan error // receives the result of the daemon's Run

	index  int
	cancel context.CancelFunc
}

// New starts a deployment with an empty log. The caller must Close it.
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

// restartDelay is the time until a crashed runner restarts.
const restartDelay = 2 * time.Second

// withCrashes wraps a runner's handler: a request selected by Options.Crashes crashes the
// runner with all its requests. Connections are refused until it restarts.
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

// withLimit wraps a runner's handler: answers announce a rate limit, and the arrival of
// each request is recorded.
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

// publishList sets the platform's list to the current endpoints and daemons.
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

// MarkLeaving marks an endpoint as leaving in the platform's list.
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

// Start starts a node, or restarts it after it has ended.
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
		Settings:             s,
		DisableAnnouncements: c.o.NoAnnouncements,
		Token:                c.o.Token,
		Log:                  n.LogView,
		VMs:                  c.VMs,
		Logs:                 c.o.Logs,
		Dial:                 c.dial(i),
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

// Kill ends a node without draining it and waits for its end.
func (c *Cluster) Kill(i int) {
	n := c.Nodes[i]
	if n.cancel == nil {
		return
	}
	n.cancel()
	n.cancel = nil
	// Otherwise the client would send its next request on an idle connection to the
	// ended daemon and get an error, which the tests are not meant to cover.
	defer c.transport.CloseIdleConnections()
	<-n.Ended //nolint:errcheck // the daemon was cancelled, so any error is expected
}

// Close ends all nodes and stand-ins.
func (c *Cluster) Close() {
	for i := range c.Nodes {
		c.Kill(i)
	}
	c.transport.CloseIdleConnections()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// Ready reports whether a node is ready.
func (c *Cluster) Ready(i int) bool {
	resp, err := c.Client.Get("http://" + c.Nodes[i].adminAddress() + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Publish publishes a manifest over a node's connection to the log.
func (c *Cluster) Publish(ctx context.Context, i int, base ports.Offset, m manifest.Manifest) (logio.PublishResult, error) {
	return logio.Publish(ctx, c.Nodes[i].LogView, logio.PublishRequest{Base: base, Manifest: m, Author: "test"})
}

// Manifest returns a manifest that declares the given weight version.
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
