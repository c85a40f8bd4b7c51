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

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/gossip"
	"github.com/merlindock/merlindock/guard"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/quarantine"
	"github.com/merlindock/merlindock/room"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/telemetry"
	"github.com/merlindock/merlindock/weights"
)

// Times of the daemon.
const (
	// freshPart is the part of Settings.RevokeWithin for which keys are
	// believed after the read that confirmed them was sent. The rest is for
	// clocks that run at different rates.
	freshPart = 0.96
	// readySlack is how much longer than a read may take the store may be silent
	// before the daemon is not ready any more, so that callers go elsewhere
	// before their keys can't be confirmed here.
	readySlack = 300 * time.Millisecond
	// tick is how often beliefs that change with time are looked at.
	tick = 100 * time.Millisecond
	// balancerLag is how long the balancer may send new connections after the
	// daemon is not ready: two questions, a second apart, and one on its way.
	balancerLag = 2300 * time.Millisecond
	// idleTick is how often a daemon that stops closes what has fallen idle.
	idleTick = 20 * time.Millisecond
	// stopReserve is kept of Settings.StopWithin to end the process.
	stopReserve = 300 * time.Millisecond
	// defaultIdle and defaultHeader hold until a configuration names bounds.
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second
	maxHeader     = 64 << 10
)

// Options are what a Router needs.
type Options struct {
	Settings Settings
	Store    Store
	Lease    LeaseLog
	Codec    Codec
	// Announcements tells daemons of each other; nil: each reads the store
	// itself.
	Announcements Announcements
	// Clock runs on while the machine is suspended; nil: BootClock.
	Clock     func() time.Duration
	CacheFeed CacheFeed // nil: nobody tells of caches
	// Dial opens connections to endpoints; nil: TCP.
	Dial    forward.Dial
	Wire    forward.HeaderCodec
	Engines weights.Engines
	Logs    *logging.Factory
	Rand    *rand.Rand // seeded
	// MetricsPort is where metrics are served at Settings.MetricsHost; 0: nowhere.
	MetricsPort string
}

// Router is one daemon.
type Router struct {
	o       Options
	clock   func() time.Duration // BootClock but in tests
	s       *state
	placer  *placer
	client  *forward.Client
	front   *http.Server
	callers *forward.CallerConns

	neighbours *neighbours
	watch      *cacheWatch
	datagrams  *datagrams
	limits     *limiter
	quarantine *guard.Guard
	keeper     *holdKeeper  // of holds; nil: there is no list of daemons
	room       *room.Keeper // at endpoints that name limits
	dispatch   *dispatch
	feeds      [topicCount]*feed.Feed
	log        *logging.Logger
	fold       fold // of the lines of ordinary requests
	registered fold // of the lines of endpoints that are ready
	metrics    *meters

	leaving atomic.Bool
	// stops is when the process ends, once callers should know of it.
	stops atomic.Pointer[time.Time]
}

// BootClock reads the clock that runs on while the machine is suspended. The
// steady clock of the runtime stands still then, and the time of day jumps.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no key is ever fresh.
		return 0
	}
	return time.Duration(ts.Nano())
}

// New returns a daemon that has not started.
func New(o Options) *Router {
	return newRouter(o, newMeters(telemetry.New(o.Settings.Name, string(o.Settings.Zone))))
}

func newRouter(o Options, metrics *meters) *Router {
	if o.Clock == nil {
		o.Clock = BootClock
	}
	// The health of endpoints is judged under another lock than retries are.
	s := newState(&o.Settings, rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())))
	r := &Router{
		o: o, clock: o.Clock, s: s,
		placer:  newPlacer(s, &o.Settings, o.Engines, o.Clock, o.Rand),
		client:  forward.NewClient(o.Wire, o.Dial),
		callers: forward.NewCallerConns(),
		log:     o.Logs.For(logging.PartRouter),
		metrics: metrics,
		fold:    fold{most: ordinaryPerSecond}, registered: fold{most: readyPerSecond},
	}
	r.countStoreCalls()
	r.watch = newCacheWatch(o.CacheFeed, o.Clock, r.log)
	r.placer.watch = r.watch
	me := Neighbour{Name: o.Settings.Name, Zone: o.Settings.Zone, Address: o.Settings.PeerAddress, Cores: o.Settings.Cores, LinkMbps: o.Settings.LinkMbps}
	r.neighbours = newNeighbours(me, &o.Settings, forward.Dialer(), o.Clock, r.log)
	r.datagrams = newDatagrams(r.metrics.scope, r.log)
	r.datagrams.take = r.receive
	r.limits = newLimiter(me, &o.Settings, o.Clock, o.Rand, r.metrics.scope, r.log, r.datagrams.send)
	r.quarantine = r.newGuard(me)
	r.room = r.newRoom(me)
	r.placer.room = r.room
	r.dispatch = newDispatch(me, s, r.placer, o.Clock, r.log, r.datagrams.send)
	for t := range r.feeds {
		r.feeds[t] = feed.New(Topic(t) != TopicLease)
	}
	r.front = &http.Server{
		Handler: forward.NewHandler(forward.Options{
			Codec: o.Wire, Client: r.client, Placer: r.dispatch,
			Table:            func() *routes.Table { return s.table.Load() },
			KeysFresh:        r.keysFresh,
			KeysAge:          r.keysAge,
			Draining:         r.leaving.Load,
			ShutdownDeadline: r.stopsAt,
			Callers:          r.callers,
			Limiter:          r.limits,
			Quarantine:       r.quarantine,
			Report:           r.report,
		}),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnContext:       r.callers.Context,
		ConnState:         r.callers.State,
	}
	return r
}

// newGuard sets the keeping of holds up, where there is a list of daemons to keep them
// beside.
func (r *Router) newGuard(me Neighbour) *guard.Guard {
	o := guard.Options{
		Me: gossip.Peer{Name: me.Name, Address: me.Address}, Clock: r.o.Clock, Dial: r.o.Dial, Rand: r.o.Rand,
		Scope: r.metrics.scope, Log: r.log, Send: r.datagrams.send,
	}
	if o.Dial == nil {
		d := forward.Dialer()
		o.Dial = d.DialContext
	}
	if r.o.Announcements != nil {
		r.keeper = newHoldKeeper(me.Name, r.o.Announcements, r.log)
		o.Changed = r.keeper.changed
	}
	return guard.New(o)
}

func (r *Router) newRoom(me Neighbour) *room.Keeper {
	return room.New(room.Options{
		Me: gossip.Peer{Name: me.Name, Address: me.Address}, Clock: r.o.Clock, Rand: r.o.Rand,
		Scope: r.metrics.scope, Log: r.log, Send: r.datagrams.send,
		Changed: func(limited map[fleet.EndpointID]bool) { r.s.limited.Store(&limited) },
	})
}

func (r *Router) keysFresh() bool {
	return r.s.operator.Within(r.clock(), time.Duration(freshPart*float64(r.o.Settings.RevokeWithin)))
}

func (r *Router) keysAge() time.Duration {
	age, _ := r.s.operator.Age(r.clock())
	return age
}

// ready tells whether the balancer should send new connections.
func (r *Router) ready() bool {
	if r.leaving.Load() || r.s.table.Load() == nil || !r.keysFresh() {
		return false
	}
	_, listed := r.s.endpoints.Age(r.clock())
	silence, _ := r.s.operator.Silence(r.clock())
	longest := time.Duration(operatorPart*float64(r.o.Settings.RevokeWithin)) + answerTime + readySlack
	return listed && silence < longest
}

// Run serves until the context ends and then shuts down without cutting a
// request. It returns an error if the addresses can't be listened on.
func (r *Router) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", r.o.Settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "the callers' address cannot be listened on")
	}
	questions, err := net.Listen("tcp", r.o.Settings.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "the balancer's address cannot be listened on")
	}
	r.log.Info("Started.", "node", r.o.Settings.Name, "zone", string(r.o.Settings.Zone))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go r.followOperator(work)
	go r.followEndpoints(work)
	go r.keepTime(work)
	go r.leadOrders(work)
	if o := r.o.CacheFeed; o != nil {
		go r.followCaches(work)
	}
	go r.serveReady(questions)
	if r.o.Announcements != nil && r.o.Settings.PeerAddress != "" {
		peers, err := net.Listen("tcp", r.o.Settings.PeerAddress)
		if err != nil {
			return eris.Wrap(err, "the other daemons' address cannot be listened on")
		}
		if err := r.datagrams.listen(r.o.Settings.PeerAddress); err != nil {
			return err
		}
		go r.datagrams.run(work)
		go r.serveNeighbours(peers)
		go r.followDaemons(work)
		go r.keeper.run(work)
	} else {
		r.limits.setDaemons([]Neighbour{r.neighbours.me})
		r.neighbours.proceed()
	}
	go r.limits.run(work)
	go r.quarantine.Run(work)
	go r.room.Run(work)
	if r.o.MetricsPort != "" {
		go r.serveMetrics()
	}
	served := make(chan error, 1)
	go func() { served <- r.front.Serve(r.callers.Listen(front)) }()
	select {
	case err := <-served:
		return eris.Wrap(err, "callers can no longer be served")
	case <-ctx.Done():
	}
	return r.shutDown(front)
}

// receive takes a message of another daemon by the first byte, which names its kind.
func (r *Router) receive(from string, data []byte) {
	switch {
	case r.dispatch.receive(from, data):
	case r.room.Receive(from, data):
	case quarantine.IsMessage(data):
		r.quarantine.Receive(from, data)
	default:
		r.limits.receive(from, data)
	}
}

// Reload takes settings that have changed. What was accepted stays in force if
// they can't be used.
func (r *Router) Reload(set Settings, err error) {
	if err != nil {
		r.log.Error("New settings can't be used, the old ones stay in force.", "error", err.Error())
		return
	}
	r.log.Info("Settings were read again.", "node", set.Name, "store", set.StoreAddress)
}

// shutDown says not ready, serves on until the balancer has noticed, and then
// closes connections as they fall idle until none is left.
func (r *Router) shutDown(front net.Listener) error {
	began := time.Now()
	r.leaving.Store(true)
	r.limits.leave()
	r.room.Leave()
	r.log.Info("Stopping.")
	end := began.Add(r.o.Settings.StopWithin - stopReserve)
	_ = pause.For(context.Background(), balancerLag)
	r.stops.Store(&end)
	// Callers that connect from now on are refused by the kernel and connect
	// elsewhere.
	_ = front.Close()
	left := r.callers.CloseIdle()
	for left > 0 && time.Now().Before(end) {
		_ = pause.For(context.Background(), idleTick)
		left = r.callers.CloseIdle()
	}
	r.log.Info("Stopped.", "after_ms", time.Since(began).Milliseconds(), "requests_cut", left)
	return nil
}

// stopsAt is when the process ends, zero as long as callers need not know.
func (r *Router) stopsAt() time.Time {
	if end := r.stops.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

func (r *Router) serveReady(l net.Listener) {
	s := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	if err := s.Serve(l); err != nil {
		r.log.Error("The balancer's question can no longer be answered.", "error", err.Error())
	}
}

func (r *Router) serveMetrics() {
	address := net.JoinHostPort(r.o.Settings.MetricsHost, r.o.MetricsPort)
	s := &http.Server{Addr: address, ReadHeaderTimeout: headerTimeout, Handler: r.operations()}
	if err := s.ListenAndServe(); err != nil {
		r.log.Error("Metrics are not served.", "address", address, "error", err.Error())
	}
}

// operations serves metrics, and holds of requests to operators.
func (r *Router) operations() http.Handler {
	mux := http.NewServeMux()
	r.quarantine.Handle(mux)
	mux.Handle("/", r.metrics.handler())
	return mux
}

// keepTime looks at what changes with time alone.
func (r *Router) keepTime(ctx context.Context) {
	wasReady, wasFresh := false, false
	for n := 0; pause.Tick(ctx, tick) == nil; n++ {
		now := time.Now()
		r.s.mu.Lock()
		r.s.refresh(now)
		r.s.mu.Unlock()
		r.placer.overdue(now)
		r.dispatch.expire(now)
		if ready := r.ready(); ready != wasReady {
			wasReady = ready
			r.log.Info("Readiness changed.", "ready", ready, "keys_age_ms", r.keysAge().Milliseconds(), "leaving", r.leaving.Load())
		}
		if fresh := r.keysFresh(); fresh != wasFresh {
			wasFresh = fresh
			r.log.Info("Belief in keys changed.", "fresh", fresh, "keys_age_ms", r.keysAge().Milliseconds())
		}
		if n%10 == 0 {
			r.everySecond(now)
		}
	}
}

func (r *Router) everySecond(now time.Time) {
	r.s.view.Expire(now)
	r.placer.expireParts(now)
	r.measureReading()
	r.s.mu.Lock()
	r.s.roster.Expire(now)
	for key, at := range r.s.saved {
		if now.Sub(at) > savedFor {
			delete(r.s.saved, key)
		}
	}
	r.s.mu.Unlock()
	r.client.CloseIdle(r.s.usable)
}
