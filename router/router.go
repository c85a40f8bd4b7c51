package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/merlindock/merlindock/bytebudget"
	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/cutoff"
	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/ingress"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/permits"
	"github.com/merlindock/merlindock/placement/loadtable"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/quarantineguard"
	"github.com/merlindock/merlindock/relay"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/streamorigin"
	"github.com/merlindock/merlindock/telemetry"
	"github.com/merlindock/merlindock/weights"
)

// Intervals and timeouts of the daemon.
const (
	// keyFreshnessFraction is the fraction of Settings.RevokeWithin for which keys are
	// accepted after the read that confirmed them was sent. The rest covers clocks that
	// run at different rates.
	keyFreshnessFraction = 0.96
	// readinessSlack is how long, beyond the longest read, the store may be silent
	// before the daemon reports that it is not ready. Callers then use other daemons
	// before this one can no longer confirm their keys.
	readinessSlack = 300 * time.Millisecond
	// refreshInterval is how often state that changes with time is updated.
	refreshInterval = 100 * time.Millisecond
	// balancerLag is how long the balancer may send new connections after the daemon
	// reports that it is not ready: two health checks, a second apart, and one that is
	// under way.
	balancerLag = 2300 * time.Millisecond
	// idleCloseInterval is how often a daemon that shuts down closes idle connections.
	idleCloseInterval = 20 * time.Millisecond
	// exitReserve is the part of Settings.StopWithin reserved for ending the process.
	exitReserve = 300 * time.Millisecond
	// Limits of the HTTP servers until a configuration sets its own.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
	// controlWriteTimeout is how long the balancer and operators may take to read an answer.
	controlWriteTimeout = 30 * time.Second
	// maxControlHeaderBytes bounds those of other daemons, the balancer and operators.
	maxControlHeaderBytes = 16 << 10
)

// Options configures a Router.
type Options struct {
	Settings Settings
	Store    Store
	Lease    LeaseLog
	Codec    Codec
	// DaemonRegistry is the list of daemons; nil: each daemon reads the store itself.
	DaemonRegistry DaemonRegistry
	// Clock continues while the machine is suspended; nil: BootClock.
	Clock func() time.Duration
	// NewCacheFeed and NewEngines return the clients of engines that use the given
	// connections. Without NewCacheFeed cache events are not followed.
	NewCacheFeed func(endpoints forward.Dial, limits *response.Limits) CacheFeed
	NewEngines   func(endpoints forward.Dial, limits *response.Limits) weights.Engines
	// Dial opens connections to endpoints, and DialPeer to other daemons; nil: TCP.
	Dial     forward.Dial
	DialPeer forward.Dial
	Wire     forward.HeaderCodec
	Logs     *logging.Factory
	Rand     *rand.Rand // seeded
	// MetricsPort is the port for metrics at Settings.MetricsHost; empty: none.
	MetricsPort string
}

// Router is a routing daemon. It serves callers from the state it follows in the store.
type Router struct {
	options      Options
	clock        func() time.Duration // BootClock except in tests
	state        *state
	placer       *placer
	engines      weights.Engines
	client       *forward.Client
	answerLimits *response.Limits
	callerServer *http.Server
	callers      *ingress.Conns
	held         *bytebudget.Budget

	neighbours     *neighbours
	cacheTracker   *cacheTracker
	datagrams      *datagrams
	limits         *limiter
	quarantine     *quarantineguard.Guard
	holdStore      *holdStore             // nil: there is no list of daemons
	endpointLimits *endpointlimit.Limiter // limits that endpoints report
	paths          *relay.Dialer          // connections to endpoints, through other daemons if need be
	relayServer    *relay.Server
	dispatch       *dispatchPlacer
	loads          *loadExchange
	// serviceShort reports whether the service of a request has too little capacity. It is set
	// before requests are served; nil: never.
	serviceShort func(req *forward.PlacementRequest) bool
	origins      *streamOrigins
	feeds        [topicCount]*feed.Feed
	log          *logging.Logger
	requestLog   lineLimiter // limits the lines of ordinary requests
	endpointLog  lineLimiter // limits the lines of endpoints that are ready
	unusableLog  lineLimiter // limits the lines of entries that name no usable endpoint
	metrics      *meters

	peerHosts    atomic.Pointer[map[string]bool] // hosts of the other daemons
	generation   atomic.Int64                    // of the store, as of the last complete read of a topic
	shuttingDown atomic.Bool
	// stopDeadline is when the process ends. It is nil until callers need to be
	// informed.
	stopDeadline atomic.Pointer[time.Time]
}

// BootClock returns the time since boot, including time during which the machine was
// suspended. The runtime's monotonic clock stops during suspension, and the wall clock
// may jump.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has provided this clock since 2.6.39; without it no key is ever
		// considered fresh.
		return 0
	}
	return time.Duration(ts.Nano())
}

// New returns a daemon that is not started yet; call Run to start it.
func New(o Options) *Router {
	return newRouter(o, newMeters(telemetry.New(o.Settings.Name, string(o.Settings.Zone))))
}

func newRouter(o Options, metrics *meters) *Router {
	if o.Clock == nil {
		o.Clock = BootClock
	}
	// Endpoint health uses a random source of its own, as it is guarded by another lock
	// than retries.
	s := newState(&o.Settings, rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())))
	log := o.Logs.For(logging.ComponentRouter)
	r := &Router{
		options: o, clock: o.Clock, state: s,
		log:        log,
		metrics:    metrics,
		requestLog: lineLimiter{perSecond: ordinaryPerSecond}, endpointLog: lineLimiter{perSecond: readyPerSecond}, unusableLog: lineLimiter{perSecond: unusablePerSecond},
	}
	r.countStoreCalls()
	r.held = newHeldBudget(o.Settings.MemoryBytes)
	r.callers = r.newCallerConns()
	r.answerLimits = newAnswerLimits(r.held, r.metrics.scope, log)
	r.connectEndpoints()
	r.engines = o.NewEngines(r.paths.Dial, r.answerLimits)
	r.placer = newPlacer(s, &o.Settings, r.engines, o.Clock, log, o.Rand)
	var cacheFeed CacheFeed
	if o.NewCacheFeed != nil {
		cacheFeed = o.NewCacheFeed(r.paths.Dial, r.answerLimits)
	}
	r.cacheTracker = newCacheTracker(cacheFeed, o.Clock, r.log)
	r.placer.cacheTracker = r.cacheTracker
	me := Neighbour{Name: o.Settings.Name, Zone: o.Settings.Zone, Address: o.Settings.PeerAddress, Cores: o.Settings.Cores, LinkMbps: o.Settings.LinkMbps}
	r.neighbours = newNeighbours(me, &o.Settings, forward.Dialer(), o.Clock, r.log)
	r.datagrams = newDatagrams(r.metrics.scope, r.log)
	r.datagrams.handle = r.receive
	r.limits = newLimiter(me, &o.Settings, o.Clock, o.Rand, r.metrics.scope, r.log, r.datagrams.send)
	r.quarantine = r.newQuarantineGuard(me)
	r.endpointLimits = r.newEndpointLimits(me)
	r.placer.endpointLimits = r.endpointLimits
	r.placer.permits.connect(r.metrics.scope, r.datagrams.send)
	r.placer.admission.connect(r.metrics.scope, r.datagrams.send)
	r.dispatch = newDispatchPlacer(me, s, r.placer, o.Clock, r.log, r.datagrams.send)
	r.loads = newLoadExchange(r.placer, o.Clock, r.metrics.scope, r.log, r.datagrams.send)
	r.loads.daemons, r.loads.sole = r.dispatch.daemonCount, r.dispatch.sole
	r.placer.loads, s.weightsChanged = r.loads, r.loads.remove
	r.loads.connect(r.placer.admission, r.placer.admission.enabled)
	r.serviceShort = r.placer.admission.short
	r.origins = newStreamOrigins(me, &o.Settings, s, r.shuttingDown.Load, o.Clock, o.Rand, r.metrics.scope, r.log, r.datagrams.send)
	for t := range r.feeds {
		r.feeds[t] = feed.New(Topic(t) != TopicLease)
	}
	r.callerServer = &http.Server{
		Handler: forward.NewHandler(forward.Options{
			Codec: o.Wire, Client: r.client, Placer: r.dispatch,
			Table:            func() *routes.Table { return s.table.Load() },
			KeysFresh:        r.keysFresh,
			KeysAge:          r.keysAge,
			Draining:         r.shuttingDown.Load,
			ShutdownDeadline: r.stopTime,
			Budget:           r.held,
			Origins:          r.origins,
			Limiter:          r.limits,
			Quarantine:       r.quarantine,
			Stalls:           r.newStallControl(),
			Report:           r.report,
		}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      forward.DefaultTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	r.callers.Attach(r.callerServer)
	cutoff.Guard(r.callerServer)
	return r
}

// newQuarantineGuard creates the quarantine guard. If there is a list of daemons, holds
// are also stored beside it.
func (r *Router) newQuarantineGuard(me Neighbour) *quarantineguard.Guard {
	o := quarantineguard.Options{
		Self: gossip.Peer{Name: me.Name, Address: me.Address}, Clock: r.options.Clock, Dial: r.paths.Dial, Rand: r.options.Rand,
		Scope: r.metrics.scope, Log: r.log, Send: r.datagrams.send,
	}
	if r.options.DaemonRegistry != nil {
		r.holdStore = newHoldStore(me.Name, r.options.DaemonRegistry, r.log)
		o.OnChange = r.holdStore.changed
	}
	return quarantineguard.New(o)
}

// newStallControl returns the control that moves stalled streams; nil: it is disabled.
func (r *Router) newStallControl() *forward.StallControl {
	if !r.options.Settings.OverloadControl {
		return nil
	}
	return forward.NewStallControl(func(req *forward.PlacementRequest) bool {
		return r.serviceShort != nil && r.serviceShort(req)
	})
}

func (r *Router) newEndpointLimits(me Neighbour) *endpointlimit.Limiter {
	return endpointlimit.New(endpointlimit.Options{
		Me: gossip.Peer{Name: me.Name, Address: me.Address}, Clock: r.options.Clock, Rand: r.options.Rand,
		Scope: r.metrics.scope, Log: r.log, Send: r.datagrams.send,
		LimitsChanged: func(limited map[fleet.EndpointID]bool) { r.state.limited.Store(&limited) },
	})
}

func (r *Router) keysFresh() bool {
	return r.state.operator.Within(r.clock(), time.Duration(keyFreshnessFraction*float64(r.options.Settings.RevokeWithin)))
}

func (r *Router) keysAge() time.Duration {
	age, _ := r.state.operator.Age(r.clock())
	return age
}

// ready reports whether the balancer should send new connections to this daemon.
func (r *Router) ready() bool {
	if r.shuttingDown.Load() || r.state.table.Load() == nil || !r.keysFresh() {
		return false
	}
	_, listed := r.state.endpoints.Age(r.clock())
	silence, _ := r.state.operator.SinceAnswer(r.clock())
	longest := time.Duration(operatorReadFraction*float64(r.options.Settings.RevokeWithin)) + answerTimeout + readinessSlack
	return listed && silence < longest
}

// Run serves callers until the context ends and then shuts down without interrupting a
// request. It returns an error if an address cannot be listened on or callers can no
// longer be served.
func (r *Router) Run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", r.options.Settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "the callers' address cannot be listened on")
	}
	healthListener, err := net.Listen("tcp", r.options.Settings.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "the balancer's address cannot be listened on")
	}
	r.log.Info("Started.", "node", r.options.Settings.Name, "zone", string(r.options.Settings.Zone))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go r.followOperator(work)
	go r.followEndpoints(work)
	go r.runPeriodic(work)
	go r.runLeader(work)
	if r.options.NewCacheFeed != nil {
		go r.followCaches(work)
	}
	go r.serveReady(healthListener)
	if r.options.DaemonRegistry != nil && r.options.Settings.PeerAddress != "" {
		peers, err := net.Listen("tcp", r.options.Settings.PeerAddress)
		if err != nil {
			return eris.Wrap(err, "the other daemons' address cannot be listened on")
		}
		if err := r.datagrams.listen(r.options.Settings.PeerAddress); err != nil {
			return err
		}
		go r.datagrams.run(work)
		go r.serveNeighbours(peers)
		go r.followDaemons(work)
		go r.holdStore.run(work)
	} else {
		r.limits.setDaemons([]Neighbour{r.neighbours.self})
		r.origins.setDaemons([]Neighbour{r.neighbours.self})
		r.placer.admission.setDaemons([]Neighbour{r.neighbours.self})
		r.neighbours.allowReads()
	}
	go r.limits.run(work)
	go r.quarantine.Run(work)
	go r.endpointLimits.Run(work)
	go r.placer.permits.run(work)
	go r.placer.admission.run(work)
	go r.paths.Run(work)
	if r.options.MetricsPort != "" {
		go r.serveMetrics()
	}
	served := make(chan error, 1)
	go func() { served <- r.callerServer.Serve(r.callers.Listen(callerListener)) }()
	select {
	case err := <-served:
		return eris.Wrap(err, "callers can no longer be served")
	case <-ctx.Done():
	}
	return r.shutDown(callerListener)
}

// receive dispatches a message of another daemon by its first byte, which is the
// message type.
func (r *Router) receive(from string, data []byte) {
	switch {
	case r.dispatch.receive(from, data):
	case r.endpointLimits.Receive(from, data):
	case shares.IsMessage(data):
		r.placer.admission.receive(from, data)
	case loadtable.IsMessage(data):
		r.loads.receive(from, data)
	case permits.IsMessage(data):
		r.placer.permits.receive(from, data)
	case streamorigin.IsMessage(data):
		r.origins.receive(from, data)
	case quarantine.IsMessage(data):
		r.quarantine.Receive(from, data)
	default:
		r.limits.receive(from, data)
	}
}

// Reload logs settings that were read again. If err is not nil, the previous settings
// stay in force.
func (r *Router) Reload(set Settings, err error) {
	if err != nil {
		r.log.Error("New settings are not valid, the previous ones stay in force.", "error", err.Error())
		return
	}
	r.log.Info("Settings were reloaded.", "node", set.Name, "store", set.StoreAddress)
}

// shutDown reports that the daemon is not ready, serves until the balancer has noticed,
// and then closes connections as they become idle, until none is left or the time is
// up.
func (r *Router) shutDown(front net.Listener) error {
	began := time.Now()
	r.shuttingDown.Store(true)
	r.limits.stopLending()
	r.endpointLimits.Leave()
	r.origins.handOver()
	r.log.Info("Stopping.")
	end := began.Add(r.options.Settings.StopWithin - exitReserve)
	_ = pause.For(context.Background(), balancerLag)
	r.stopDeadline.Store(&end)
	// From now on the kernel refuses new connections, and callers connect to other
	// daemons.
	_ = front.Close()
	left := r.callers.CloseIdle()
	for left > 0 && time.Now().Before(end) {
		_ = pause.For(context.Background(), idleCloseInterval)
		left = r.callers.CloseIdle()
	}
	r.log.Info("Stopped.", "after_ms", time.Since(began).Milliseconds(), "requests_cut", left)
	return nil
}

// stopTime returns when the process ends, or the zero time while callers need not be
// informed.
func (r *Router) stopTime() time.Time {
	if end := r.stopDeadline.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

func (r *Router) serveReady(l net.Listener) {
	conns := r.newControlConns("balancer", r.controlConns())
	s := r.controlServer(conns, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	if err := s.Serve(conns.Listen(l)); err != nil {
		r.log.Error("Health checks of the balancer are no longer served.", "error", err.Error())
	}
}

func (r *Router) serveMetrics() {
	address := net.JoinHostPort(r.options.Settings.MetricsHost, r.options.MetricsPort)
	conns := r.newControlConns("operators", r.controlConns())
	s := r.controlServer(conns, r.operationsHandler())
	cutoff.Guard(s)
	l, err := net.Listen("tcp", address)
	if err == nil {
		err = s.Serve(conns.Listen(l))
	}
	if err != nil {
		r.log.Error("Metrics are not served.", "address", address, "error", err.Error())
	}
}

// operationsHandler serves metrics, and the quarantine interface for operators.
func (r *Router) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	r.quarantine.RegisterHandlers(mux)
	mux.Handle("/", r.metrics.handler())
	return mux
}

// runPeriodic updates the state that changes with time.
func (r *Router) runPeriodic(ctx context.Context) {
	wasReady, wasFresh := false, false
	for n := 0; pause.Tick(ctx, refreshInterval) == nil; n++ {
		now := time.Now()
		r.state.mu.Lock()
		r.state.refresh(now)
		r.state.mu.Unlock()
		r.placer.reportWaiting(now)
		r.placer.admission.observeWaiting(now)
		r.dispatch.expire(now)
		r.loads.tick()
		r.origins.tick()
		if ready := r.ready(); ready != wasReady {
			wasReady = ready
			r.log.Info("Readiness changed.", "ready", ready, "keys_age_ms", r.keysAge().Milliseconds(), "leaving", r.shuttingDown.Load())
		}
		if fresh := r.keysFresh(); fresh != wasFresh {
			wasFresh = fresh
			r.log.Info("Key freshness changed.", "fresh", fresh, "keys_age_ms", r.keysAge().Milliseconds())
		}
		if n%10 == 0 {
			r.runEverySecond(now)
		}
	}
}

func (r *Router) runEverySecond(now time.Time) {
	r.state.view.Expire(now)
	r.placer.expireSegments(now)
	r.origins.expire()
	r.updateGauges()
	r.callers.CloseExpired()
	r.state.mu.Lock()
	r.state.roster.Expire(now)
	for key, at := range r.state.savedAt {
		if now.Sub(at) > savedLifetime {
			delete(r.state.savedAt, key)
		}
	}
	r.state.mu.Unlock()
	r.client.CloseIdle(r.state.usable)
	r.placer.permits.retain(r.state.usable)
}
