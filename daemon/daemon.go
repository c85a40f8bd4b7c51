// Package daemon assembles one merlindock daemon: the gateway for callers, the
// view of the fleet, admission, the manifest log, the exchange with neighbours
// and the administration API.
//
// Decisions are made by packages without goroutines or clocks; the types here
// protect them with locks, pass the time to them and carry out their results.
// Lock order: admission (one lock for each pool), membership, placement,
// health, retries. No lock is held while a message is sent or a callback of
// another package is called.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/admin"
	"github.com/merlindock/merlindock/bytebudget"
	"github.com/merlindock/merlindock/cutoff"
	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/peer"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/quarantineguard"
	"github.com/merlindock/merlindock/settings"
	"github.com/merlindock/merlindock/telemetry"
)

// Options configure a Daemon.
type Options struct {
	Settings settings.Settings
	Token    string // bearer token of the administration API; if empty, calls that need it are refused
	Log      ports.Log
	VMs      ports.VMList
	Logs     *logging.Factory
	// Listeners replaces the listeners on the addresses of the settings, for
	// tests.
	Listeners Listeners
	// Dial opens connections to endpoints and neighbours; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DisableAnnouncements keeps the daemon from sending placement
	// announcements to other daemons, so that trials can measure their effect.
	DisableAnnouncements bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Listeners are the open listeners of a daemon. Run opens those that are nil.
type Listeners struct {
	Callers net.Listener
	Admin   net.Listener
	Peers   net.Listener
}

// Daemon is one entry point to the fleet: it serves callers, operators and the
// other daemons. Use New to create one.
type Daemon struct {
	o              Options
	startedAt      time.Time
	log            *logging.Logger
	metrics        *telemetry.Metrics
	catalogue      *catalogue
	manifests      *logio.Manifests
	fleet          *fleetView
	daemons        daemonList
	admission      *admission
	retries        *retries
	drainer        *gateway.Drainer
	shutdown       *shutdown
	peers          *peer.Service
	guard          *quarantineguard.Guard
	endpointLimits *endpointlimit.Limiter
	gateway        *gateway.Gateway
	held           *bytebudget.Budget // of callers' requests
	callers        *ingress.Conns
	operators      *ingress.Conns
	claimer        *claimer
	orderLeader    *orderLeader
}

// New returns a daemon. It does not serve until Run is called.
func New(o Options) (*Daemon, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logs == nil {
		o.Logs = logging.Discard()
	}
	s := o.Settings
	d := &Daemon{
		o:         o,
		startedAt: o.Now(),
		log:       o.Logs.For(logging.ComponentDaemon),
		metrics:   telemetry.New(s.Daemon.ID, string(s.Daemon.Zone)),
		drainer:   gateway.NewDrainer(),
	}
	d.shutdown = newShutdown(s.Drain, d.drainer, o.Now)
	d.catalogue = newCatalogue(o.Logs.For(logging.ComponentManifest))
	d.manifests = logio.NewManifests(logio.ManifestsOptions{
		Log:      o.Log,
		Poll:     s.Platform.PollInterval,
		Seed:     seedOf(s.Daemon.ID, d.startedAt),
		OnChange: d.onManifestChange,
	})
	d.held = bytebudget.New(ingress.HeldBytes(s.Daemon.MemoryBytes), o.Now)
	d.callers, d.operators = d.newConns()
	client := engine.New(engine.Options{DialContext: o.Dial})
	d.fleet = newFleetView(d, client)
	d.admission = newAdmission(d)
	d.retries = newRetries(o.Now, newRand(s.Daemon.ID, d.startedAt))
	d.claimer = newClaimer(d)
	d.orderLeader = newOrderLeader(d)
	d.guard, d.endpointLimits = d.newGuard(), d.newEndpointLimits()
	peers, err := peer.New(d.peerOptions())
	if err != nil {
		return nil, eris.Wrap(err, "daemon: peers")
	}
	d.peers = peers
	d.gateway = gateway.New(d.gatewayOptions(client))
	return d, nil
}

func (d *Daemon) gatewayOptions(client *engine.Client) gateway.Options {
	s := d.o.Settings.Callers
	return gateway.Options{
		Catalogue:     d.catalogue.index,
		ChooseVersion: d.fleet.chooseVersion,
		Engine:        client,
		Placer:        d.fleet,
		Admitter:      d.admission,
		Claimer:       d.claimer,
		Retry:         d.retries,
		Observer:      newObserver(d.metrics.Scope, d.o.Logs.For(logging.ComponentGateway)),
		Drainer:       d.drainer,
		Quarantine:    d.guard,
		Budget:        d.held,
		Limits: gateway.Limits{
			BodyBytes:      s.BodyBytes,
			StallBudget:    s.WriteTimeout,
			RequestTimeout: s.Deadline,
			StreamBytes:    s.StreamBytes,
			OpenRequests:   s.OpenStreams,
		},
	}
}

// Handler returns the handler of callers' requests.
func (d *Daemon) Handler() http.Handler { return d.gateway }

// AdminHandler returns the handler of the administration API.
func (d *Daemon) AdminHandler() http.Handler {
	return admin.New(admin.Options{
		System:  (*system)(d),
		Token:   d.o.Token,
		Metrics: d.metrics.Handler,
		Log:     d.o.Logs.For(logging.ComponentAdmin),
	})
}

// Drain starts a graceful shutdown. Run returns when it is complete. A second
// call ends open streams with an explicit error.
func (d *Daemon) Drain() {
	d.log.Info("Shutdown requested.", "open", d.drainer.InFlight())
	d.shutdown.signal()
}

// Run serves until a shutdown that was started by Drain is complete or ctx
// ends. The end of ctx aborts open requests. Run returns the first error that
// prevents the daemon from serving.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	d.background(ctx, g)
	requests, cut := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cut(nil)
	g.Go(func() error {
		return d.serve(ctx, requests, listeners.Callers, d.callers, &http.Server{Handler: d.gateway})
	})
	g.Go(func() error {
		return d.serve(ctx, requests, listeners.Admin, d.operators, &http.Server{Handler: d.AdminHandler(), ReadTimeout: adminReadTimeout})
	})
	g.Go(func() error { return d.peers.Serve(ctx, listeners.Peers) })
	g.Go(func() error {
		defer cancel()
		return d.shutdown.run(ctx, func() { d.closeIdle(listeners.Callers) }, func() { cut(gateway.ErrShutdown) })
	})
	d.log.Info("Daemon is serving.", "callers", listeners.Callers.Addr().String())
	err = g.Wait()
	d.peers.Close()
	closeErr := d.metrics.Close()
	d.log.Info("Daemon stopped.", "cut", d.shutdown.cutStreams())
	if d.shutdown.done() || errors.Is(err, context.Canceled) {
		return closeErr
	}
	return err
}

// background starts the goroutines that do not serve requests.
func (d *Daemon) background(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return d.manifests.Run(ctx) })
	g.Go(func() error { return d.fleet.run(ctx) })
	g.Go(func() error { return d.peers.Run(ctx) })
	g.Go(func() error { return d.claimer.run(ctx) })
	g.Go(func() error { return d.watch(ctx) })
	g.Go(func() error { return d.orderLeader.run(ctx) })
	g.Go(func() error { return d.requestCheckpoints(ctx) })
	g.Go(func() error {
		d.guard.Run(ctx)
		return nil
	})
	g.Go(func() error {
		d.endpointLimits.Run(ctx)
		return nil
	})
	g.Go(func() error {
		d.bootstrap(ctx)
		return nil
	})
}

// serve runs an HTTP server on l, whose connections are conns, until ctx ends. Requests derive
// their contexts from the context requests instead, so that a shutdown can end them with an
// explicit error before their connections are closed.
func (d *Daemon) serve(ctx, requests context.Context, l net.Listener, conns *ingress.Conns, srv *http.Server) error {
	srv.BaseContext = func(net.Listener) context.Context { return requests }
	srv.ReadHeaderTimeout, srv.IdleTimeout = readHeaderTimeout, idleTimeout
	srv.WriteTimeout = gateway.DefaultWriteTimeout
	srv.MaxHeaderBytes = d.o.Settings.Callers.HeaderBytes
	conns.Attach(srv)
	cutoff.Guard(srv)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(l)
	if errors.Is(err, net.ErrClosed) {
		<-ctx.Done() // requests under way go on without the listener
		return srv.Close()
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "daemon: listener %s", l.Addr())
}

// closeIdle ends what callers have not finished once the balancer has noticed the shutdown: new
// connections are refused by the kernel, idle ones closed, and requests whose bodies are not
// complete refused. It is called periodically.
func (d *Daemon) closeIdle(callers net.Listener) {
	_ = callers.Close()
	d.callers.CloseIdle()
}

// Timeouts of client connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	adminReadTimeout  = 30 * time.Second
)
