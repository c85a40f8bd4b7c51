// Package daemon assembles one merlindock daemon: the gateway for callers, the
// view of the fleet, admission, the fold of the log, the exchange with
// neighbours and the administration API.
//
// Decisions are taken in the pure packages; the types here guard them with
// locks, give them the time and carry their results. Lock order: admission
// (one lock for each pool), then membership, then placement, then health, then
// retries. No lock is held while a message is sent or a callback of another
// package is called.
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
	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/logio"
	"github.com/merlindock/merlindock/peer"
	"github.com/merlindock/merlindock/ports"
	"github.com/merlindock/merlindock/quarantineguard"
	"github.com/merlindock/merlindock/settings"
	"github.com/merlindock/merlindock/telemetry"
)

// Options are what a daemon needs.
type Options struct {
	Settings settings.Settings
	Token    string // of the administration API; empty refuses its guarded calls
	Log      ports.Log
	VMs      ports.VMList
	Logs     *logging.Factory
	// Listeners replace listening on the settings' addresses, for tests.
	Listeners Listeners
	// Dial opens connections to endpoints and neighbours; nil: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// NoNotices keeps placement's notices from other daemons, to measure what
	// they are worth.
	NoNotices bool
	// Now is the clock; nil: time.Now.
	Now func() time.Time
}

// Listeners are where a daemon is reached. Nil ones are opened by Run.
type Listeners struct {
	Callers net.Listener
	Admin   net.Listener
	Peers   net.Listener
}

// Daemon is one daemon.
type Daemon struct {
	o         Options
	life      time.Time
	log       *logging.Logger
	metrics   *telemetry.Metrics
	catalogue *catalogue
	manifests *logio.Manifests
	fleet     *fleetView
	daemons   daemonList
	admission *admission
	retries   *retries
	drainer   *gateway.Drainer
	shutdown  *shutdown
	peers     *peer.Service
	guard     *quarantineguard.Guard
	room      *endpointlimit.Limiter
	gateway   *gateway.Gateway
	claimer   *claimer
	orders    *orderGiver
}

// New returns a daemon that is not yet running.
func New(o Options) (*Daemon, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logs == nil {
		o.Logs = logging.Discard()
	}
	s := o.Settings
	d := &Daemon{
		o:       o,
		life:    o.Now(),
		log:     o.Logs.For(logging.PartDaemon),
		metrics: telemetry.New(s.Daemon.ID, string(s.Daemon.Zone)),
		drainer: gateway.NewDrainer(),
	}
	d.shutdown = newShutdown(s.Drain, d.drainer, o.Now)
	d.catalogue = newCatalogue(o.Logs.For(logging.PartManifest))
	d.manifests = logio.NewManifests(logio.ManifestsOptions{
		Log:      o.Log,
		Poll:     s.Platform.PollInterval,
		Seed:     seedOf(s.Daemon.ID, d.life),
		OnChange: d.changed,
	})
	client := engine.New(engine.Options{DialContext: o.Dial})
	d.fleet = newFleetView(d, client)
	d.admission = newAdmission(d)
	d.retries = newRetries(o.Now, newRand(s.Daemon.ID, d.life))
	d.claimer = newClaimer(d)
	d.orders = newOrderGiver(d)
	d.guard, d.room = d.newGuard(), d.newRoom()
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
		ChooseVersion: d.fleet.bind,
		Engine:        client,
		Placer:        d.fleet,
		Admitter:      d.admission,
		Claimer:       d.claimer,
		Retry:         d.retries,
		Observer:      newObserver(d.metrics.Scope, d.o.Logs.For(logging.PartGateway)),
		Drainer:       d.drainer,
		Quarantine:    d.guard,
		Limits: gateway.Limits{
			BodyBytes:      s.BodyBytes,
			StallBudget:    s.WriteTimeout,
			RequestTimeout: s.Deadline,
			StreamBytes:    s.StreamBytes,
			OpenRequests:   s.OpenStreams,
		},
	}
}

// Handler serves callers.
func (d *Daemon) Handler() http.Handler { return d.gateway }

// AdminHandler serves operators.
func (d *Daemon) AdminHandler() http.Handler {
	return admin.New(admin.Options{
		System:  (*system)(d),
		Token:   d.o.Token,
		Metrics: d.metrics.Handler,
		Log:     d.o.Logs.For(logging.PartAdmin),
	})
}

// Drain starts a graceful shutdown; Run returns when it is over. A second call
// ends open streams with an explicit error.
func (d *Daemon) Drain() {
	d.log.Info("Shutdown asked for.", "open", d.drainer.InFlight())
	d.shutdown.signal()
}

// Run serves until a shutdown asked for by Drain is over, or ctx ends, which
// cuts open requests. It returns the first error that keeps it from serving.
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
	g.Go(func() error { return d.serve(ctx, requests, listeners.Callers, d.gateway) })
	g.Go(func() error { return d.serve(ctx, requests, listeners.Admin, d.AdminHandler()) })
	g.Go(func() error { return d.peers.Serve(ctx, listeners.Peers) })
	g.Go(func() error {
		defer cancel()
		return d.shutdown.run(ctx, func() { cut(gateway.ErrShutdown) })
	})
	d.log.Info("Daemon serves.", "callers", listeners.Callers.Addr().String())
	err = g.Wait()
	d.peers.Close()
	closeErr := d.metrics.Close()
	d.log.Info("Daemon ends.", "cut", d.shutdown.cut())
	if d.shutdown.done() || errors.Is(err, context.Canceled) {
		return closeErr
	}
	return err
}

// background starts what goes on beside requests.
func (d *Daemon) background(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return d.manifests.Run(ctx) })
	g.Go(func() error { return d.fleet.run(ctx) })
	g.Go(func() error { return d.peers.Run(ctx) })
	g.Go(func() error { return d.claimer.run(ctx) })
	g.Go(func() error { return d.watch(ctx) })
	g.Go(func() error { return d.orders.run(ctx) })
	g.Go(func() error { return d.closeGaps(ctx) })
	g.Go(func() error {
		d.guard.Run(ctx)
		return nil
	})
	g.Go(func() error {
		d.room.Run(ctx)
		return nil
	})
	g.Go(func() error {
		d.bootstrap(ctx)
		return nil
	})
}

// serve serves until ctx ends. Requests take their context from the second
// one, so that a shutdown can end them with an explicit error before their
// connections are closed.
func (d *Daemon) serve(ctx, requests context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{
		Handler:           h,
		BaseContext:       func(net.Listener) context.Context { return requests },
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    d.o.Settings.Callers.HeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "daemon: listener %s", l.Addr())
}

// Bounds of the listeners' connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)
