// Package world runs stand-ins for a complete deployment on local ports: the
// platform's log and list of VMs, model runners, a KV store and plain services. The
// demo, the load tool and the stand-in command use it.
package world

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/standin/plog"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// Names used in the manifest of the deployment.
const (
	Model        = "codes"
	Version      = "v1"
	ServicePath  = "/receipts/"
	classRunner  = "runner"
	classCounter = "counter"
	classStore   = "store"
)

// Zones are the availability zones of the deployment.
var Zones = []fleet.ZoneID{"quebec-est-a", "quebec-est-b", "quebec-est-c"}

// Options describe the deployment. Zero values take small defaults.
type Options struct {
	Host          string // IP to listen on; empty: 127.0.0.1
	PlatformPort  int    // 0: any
	Runners       int
	Services      int
	Organisations int
	Prefill       time.Duration // per prompt token that is not cached
	Decode        time.Duration // per generated token
	AnswerTokens  int
	PieceTokens   int
	CachePieces   int           // cache capacity of one runner
	Slots         int           // concurrent requests of one runner
	ListLag       time.Duration // delay of changes in the platform's list
	Store         standin.StoreOptions
}

// World is a running deployment without daemons, see StartCluster.
type World struct {
	Log      *plog.Log
	VMs      *plog.VMs
	Runners  []*standin.Runner
	Services []*standin.Service
	Store    *standin.Store

	// PlatformURL is the base URL of the platform's stand-in.
	PlatformURL string

	o         Options
	endpoints []fleet.Endpoint
	daemons   []ports.Daemon
	servers   []*http.Server
	failed    chan error
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Start starts the deployment. The caller must Close it.
func Start(o Options) (*World, error) {
	setDefault(&o.Host, "127.0.0.1")
	setDefault(&o.Runners, 6)
	setDefault(&o.Services, 1)
	setDefault(&o.Organisations, 8)
	setDefault(&o.AnswerTokens, 16)
	setDefault(&o.PieceTokens, 200)
	setDefault(&o.CachePieces, 400)
	w := &World{
		Log:    plog.New(plog.Options{Now: time.Now}),
		VMs:    plog.NewVMs(time.Now, o.ListLag),
		o:      o,
		failed: make(chan error, 1),
	}
	address, err := w.serve(o.PlatformPort, plog.Handler(w.Log, w.VMs))
	if err != nil {
		return nil, err
	}
	w.PlatformURL = "http://" + address
	if err := w.startEndpoints(); err != nil {
		w.Close()
		return nil, err
	}
	w.publishList()
	return w, nil
}

func (w *World) startEndpoints() error {
	w.Store = standin.NewStore(w.o.Store)
	store, err := w.serve(0, w.Store)
	if err != nil {
		return err
	}
	for i := range w.o.Runners {
		r := standin.NewRunner(standin.RunnerOptions{
			ID:            fleet.EndpointID(fmt.Sprintf("runner-%02d", i+1)),
			WeightVersion: Version,
			PieceTokens:   w.o.PieceTokens,
			CachePieces:   w.o.CachePieces,
			Slots:         w.o.Slots,
			AnswerTokens:  w.o.AnswerTokens,
			Prefill:       w.o.Prefill,
			Decode:        w.o.Decode,
			Store:         store,
		})
		w.Runners = append(w.Runners, r)
		if err := w.startEndpoint(fmt.Sprintf("runner-%02d", i+1), classRunner, i, r); err != nil {
			return err
		}
	}
	for i := range w.o.Services {
		id := fmt.Sprintf("counter-%02d", i+1)
		s := standin.NewService(fleet.EndpointID(id))
		w.Services = append(w.Services, s)
		if err := w.startEndpoint(id, classCounter, i, s); err != nil {
			return err
		}
	}
	w.addEndpoint("store-01", classStore, 0, store)
	return nil
}

func (w *World) startEndpoint(id, class string, i int, h http.Handler) error {
	address, err := w.serve(0, h)
	if err != nil {
		return err
	}
	w.addEndpoint(id, class, i, address)
	return nil
}

func (w *World) addEndpoint(id, class string, i int, address string) {
	w.endpoints = append(w.endpoints, fleet.Endpoint{
		ID:      fleet.EndpointID(id),
		VM:      fleet.VMID("vm-" + id),
		Zone:    Zones[i%len(Zones)],
		Class:   class,
		Address: address,
		State:   fleet.VMLive,
	})
}

func (w *World) serve(port int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.o.Host, port))
	if err != nil {
		return "", fmt.Errorf("world: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case w.failed <- err:
			default:
			}
		}
	}()
	return l.Addr().String(), nil
}

// Endpoints returns the endpoints of the platform's list: runners, then services,
// then the store.
func (w *World) Endpoints() []fleet.Endpoint { return w.endpoints }

// SetDaemons sets the platform's list of daemons.
func (w *World) SetDaemons(daemons []ports.Daemon) {
	w.daemons = daemons
	w.publishList()
}

// MarkLeaving marks an endpoint as leaving in the platform's list.
func (w *World) MarkLeaving(id fleet.EndpointID) {
	for i := range w.endpoints {
		if w.endpoints[i].ID == id {
			w.endpoints[i].State = fleet.VMLeaving
		}
	}
	w.publishList()
}

func (w *World) publishList() { w.VMs.Set(append([]fleet.Endpoint(nil), w.endpoints...), w.daemons) }

// Close stops all stand-ins.
func (w *World) Close() {
	for _, srv := range w.servers {
		_ = srv.Close()
	}
}

// Wait returns nil when ctx ends, or an error when a stand-in's server fails.
func (w *World) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-w.failed:
		return err
	}
}

// APIKey returns the API key of the organisation with the given index.
func APIKey(i int) string { return fmt.Sprintf("demo-key-%d", i+1) }

// Organisation returns the ID of the organisation with the given index.
func Organisation(i int) contract.OrganisationID {
	return contract.OrganisationID(fmt.Sprintf("org-%d", i+1))
}

// Manifest returns a manifest that declares the deployment.
func (w *World) Manifest() manifest.Manifest {
	m := manifest.Manifest{
		Rules: manifest.RulesVersion,
		Name:  "stand-in",
		Fleet: manifest.Fleet{
			PieceTokens:     w.o.PieceTokens,
			BytesPerToken:   standin.DefaultBytesPerToken,
			LoadsAtOnce:     2,
			FirstTokenLimit: manifest.Duration(time.Second),
		},
		Models: []manifest.Model{{ID: Model, Version: Version}},
		Classes: []manifest.Class{
			{ID: classRunner, Kind: fleet.KindModel, Models: []string{Model}},
			{ID: classCounter, Kind: fleet.KindService},
			{ID: classStore, Kind: fleet.KindStore},
		},
		Services: []manifest.Service{{
			ID:         "receipts",
			PathPrefix: ServicePath,
			Class:      classCounter,
			Calls:      []manifest.Call{{Method: http.MethodGet, Path: "*", Idempotent: true}},
		}},
		Retention: manifest.Retention{
			ClaimWindow: manifest.Duration(time.Hour),
			LogRecords:  manifest.Duration(6 * time.Hour),
		},
	}
	for i := range w.o.Organisations {
		sum := sha256.Sum256([]byte(APIKey(i)))
		m.Organisations = append(m.Organisations, manifest.Organisation{
			ID:         Organisation(i),
			KeyHashes:  []string{hex.EncodeToString(sum[:])},
			Share:      float64(1 + i%3),
			Priorities: []string{"interactive", "standard", "batch"},
		})
	}
	return m
}
