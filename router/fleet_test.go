package router

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/pause"
	"github.com/merlindock/merlindock/limits"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/response"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/weights"
)

// simulatedFleet simulates a deployment in virtual time: daemons and their callers,
// endpoints that run requests, and the messages between daemons.
type simulatedFleet struct {
	t     *testing.T
	ctx   context.Context
	began time.Time
	table *routes.Table

	mu           sync.Mutex
	rng          *rand.Rand
	daemons      []*Router
	receiving    []sync.Mutex // by daemon
	cancels      []context.CancelFunc
	endpoints    []*simulatedEndpoint
	lossRate     float64                 // fraction of the messages between daemons that are lost
	disconnected map[netip.AddrPort]bool // daemons that can neither send nor receive messages
	sentMessages int                     // between daemons
	sentBytes    int
	promptTokens int // of each request; 0: requests name no model
	zoneOf       func(daemon int) fleet.ZoneID
	cuts         map[int]cutMode               // daemons that are cut off from all endpoints
	conns        map[*simulatedConn]bool       // open connections of daemons to endpoints
	peers        map[string]*simulatedListener // of the daemons, by address
	killed       map[*Router]bool              // daemons that have ended without shutting down
	sameIDs      bool                          // endpoints keep their IDs over a restart
	confirming   atomic.Bool                   // the store confirms the lists of endpoints
	unconfirmed  atomic.Pointer[Router]        // daemon that does not read the store; nil: all do
	unread       map[*Router][]*listChange     // changes of the list that a daemon has not read
	// crashingSegments crash each endpoint that answers a prompt with one of them.
	crashingSegments []string
	unframed         bool            // answers have neither a length nor chunks and end with their connection
	overloadControl  bool            // Settings.OverloadControl of the daemons that start from now on
	configure        func(r *Router) // called for each daemon before it starts; nil: none
	sentShares       int             // messages of package shares between daemons
	// shortageOf returns the shortage that a daemon is connected to; nil: loads are not exchanged.
	shortageOf func(daemon int) shortage
}

const (
	fleetLatency     = 1500 * time.Microsecond // one way, between any two hosts
	fleetServiceTime = 40 * time.Millisecond   // of an endpoint for one request
	fleetRestartTime = 2 * time.Second         // from the crash of an endpoint until it runs again
	fleetListDelay   = 500 * time.Millisecond  // from its restart until daemons see its new entry
	fleetUnlistDelay = 3600 * time.Millisecond // from its crash until daemons see that its entry is removed
	fleetHost        = "h.example"
	fleetKey         = "key"
	fleetModel       = "m"
	fleetTimeout     = 4 * time.Second
	fleetSettleTime  = 3 * time.Second // without a fault, after which limits and quarantine must hold
	fleetRetryRatio  = 0.2
)

// newFleet starts daemons and the endpoints of one service, with one route to it.
func newFleet(t *testing.T, daemons, endpoints int, route routes.Route) *simulatedFleet {
	return newFleetOfZones(t, daemons, endpoints, route, func(int) fleet.ZoneID { return "z" })
}

// newFleetOfZones is newFleet with the zone of each daemon.
func newFleetOfZones(t *testing.T, daemons, endpoints int, route routes.Route, zoneOf func(daemon int) fleet.ZoneID) *simulatedFleet {
	return newFleetWith(t, daemons, endpoints, route, zoneOf, func(*simulatedFleet) {})
}

// newFleetWith is newFleetOfZones with further properties, which set sets before daemons
// start.
func newFleetWith(t *testing.T, daemons, endpoints int, route routes.Route, zoneOf func(daemon int) fleet.ZoneID, set func(f *simulatedFleet)) *simulatedFleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &simulatedFleet{
		t: t, ctx: ctx, began: time.Now(), rng: rand.New(rand.NewPCG(uint64(daemons), 29)), disconnected: map[netip.AddrPort]bool{},
		zoneOf: zoneOf, cuts: map[int]cutMode{}, conns: map[*simulatedConn]bool{}, peers: map[string]*simulatedListener{}, killed: map[*Router]bool{}, unread: map[*Router][]*listChange{},
	}
	f.confirming.Store(true)
	t.Cleanup(func() {
		cancel()
		f.mu.Lock()
		for _, e := range f.endpoints {
			for c := range e.conns {
				_ = c.Close()
			}
		}
		for _, l := range f.peers {
			l.close()
		}
		f.mu.Unlock()
		for _, r := range f.daemons {
			r.client.CloseIdle(func(fleet.EndpointID) bool { return false })
		}
		time.Sleep(time.Minute) // virtual, until everything has ended
	})
	route.Name, route.Host, route.PathPrefix, route.Timeout = "r", fleetHost, "/", fleetTimeout
	route.TargetLatency, route.MaxAttempts = 300*time.Millisecond, 2
	route.Backends = []routes.Backend{{Service: "s", Weight: 1}}
	f.table = &routes.Table{
		Version: 1, KeysRequired: true, Routes: []routes.Route{route},
		Services: map[string]*routes.Service{"s": {Name: "s"}},
		Organisations: map[string]*routes.Organisation{
			fleetKey: {Name: "org"}, "other": {Name: "other"},
		},
	}
	set(f)
	f.table.BuildIndex()
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &simulatedEndpoint{f: f, index: i, up: true, build: "v1", conns: map[net.Conn]bool{}})
	}
	f.daemons = make([]*Router, daemons)
	f.receiving = make([]sync.Mutex, daemons)
	f.cancels = make([]context.CancelFunc, daemons)
	for i := range daemons {
		f.startDaemon(i)
	}
	return f
}

func daemonAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7340)
}

// startDaemon starts a daemon, or restarts it with empty state.
func (f *simulatedFleet) startDaemon(i int) {
	f.mu.Lock()
	seed := f.rng.Uint64()
	f.mu.Unlock()
	r := newRouter(Options{
		Settings: Settings{
			Name: fmt.Sprint("front-", i), Zone: f.zoneOf(i), PeerAddress: daemonAddress(i).String(),
			DrainWithin: 2 * time.Second, ConfigWithin: 2 * time.Second, RevokeWithin: time.Hour, RetryRatio: fleetRetryRatio,
			OverloadControl: f.overloadControl,
		},
		Clock: f.clock, Dial: f.dialFrom(i), DialPeer: f.dialFrom(i), Wire: testWire{}, NewEngines: func(forward.Dial, *response.Limits) weights.Engines { return unresponsiveEngines{} }, Logs: logging.Discard(), Rand: rand.New(rand.NewPCG(seed, 1)),
	}, noopMeters())
	if f.configure != nil {
		f.configure(r)
	}
	me := daemonAddress(i)
	r.datagrams.write = func(to netip.AddrPort, data []byte) error { return f.deliver(me, to, data) }
	r.state.table.Store(f.table)
	r.placer.admission.setConfiguration(f.table)
	r.state.operator.RecordAnswer(f.clock(), f.clock())
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	if f.cancels[i] != nil {
		f.cancels[i]()
	}
	f.daemons[i], f.cancels[i] = r, stop
	all := make([]Neighbour, len(f.daemons))
	for n := range all {
		all[n] = Neighbour{Name: fmt.Sprint("front-", n), Zone: f.zoneOf(n), Address: daemonAddress(n).String()}
	}
	var up []directory.Entry
	for _, e := range f.endpoints {
		if e.up {
			up = append(up, e.entry())
		}
	}
	f.mu.Unlock()
	r.limits.setDaemons(all)
	r.quarantine.SetDaemons(peersOf(all))
	r.endpointLimits.SetDaemons(peersOf(all))
	r.dispatch.setDaemons(all)
	r.origins.setDaemons(all)
	r.setPeers(all)
	for _, e := range up {
		r.addEndpoint(e)
	}
	if f.shortageOf != nil {
		r.loads.connect(f.shortageOf(i), nil)
	}
	go r.runPeriodic(ctx)
	go f.confirmEndpoints(ctx, r)
	go r.quarantine.Run(ctx)
	go r.endpointLimits.Run(ctx)
	go r.placer.permits.run(ctx)
	go r.placer.admission.run(ctx)
	go r.paths.Run(ctx)
	go r.serveNeighbours(f.listen(me.String()))
}

// confirmEndpoints confirms the daemon's list of endpoints as reads of the store do, up to the
// oldest change that the daemon has not read. A read that is wanted brings all changes.
func (f *simulatedFleet) confirmEndpoints(ctx context.Context, r *Router) {
	for ctx.Err() == nil {
		wanted, _ := pause.Unless(ctx, 500*time.Millisecond, r.origins.listWanted)
		if !f.confirming.Load() || f.unconfirmed.Load() == r {
			continue
		}
		asOf := f.clock()
		f.mu.Lock()
		unread := slices.Clone(f.unread[r])
		f.mu.Unlock()
		if wanted {
			_ = pause.For(ctx, 2*fleetLatency)
		}
		for _, c := range unread {
			if wanted {
				f.apply(r, c)
			} else {
				asOf = min(asOf, c.written)
			}
		}
		r.state.endpoints.RecordAnswer(asOf, f.clock())
		r.origins.listed(asOf)
	}
}

// listChange is a change of the list of endpoints.
type listChange struct {
	written time.Duration
	apply   func(r *Router)
}

// apply has a daemon read a change, unless it has.
func (f *simulatedFleet) apply(r *Router, c *listChange) {
	f.mu.Lock()
	at := slices.Index(f.unread[r], c)
	if at >= 0 {
		f.unread[r] = slices.Delete(f.unread[r], at, at+1)
	}
	f.mu.Unlock()
	if at >= 0 {
		c.apply(r)
	}
}

// readLater applies a change of the list of endpoints, which is written now, to a daemon that
// reads it after a delay.
func (f *simulatedFleet) readLater(r *Router, after time.Duration, change func(r *Router)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &listChange{written: f.clock(), apply: change}
	f.unread[r] = append(f.unread[r], c)
	time.AfterFunc(after, func() { f.apply(r, c) })
}

// addEndpoint adds an endpoint to the daemon's list, as its entry in the store does.
func (r *Router) addEndpoint(e directory.Entry) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.roster.Put(e)
}

// removeEndpoint removes an endpoint from the daemon's list, as the removal of its entry
// from the store does.
func (r *Router) removeEndpoint(id string) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.roster.Remove(time.Now(), time.Now(), id)
}

func noopMeters() *meters {
	s := tally.NoopScope
	return &meters{
		scope: s, storeFailures: s.Counter(""), orders: s.Counter(""), attempts: s.Counter(""),
		duration: s.Histogram("", tally.DefaultBuckets), firstEvent: s.Histogram("", tally.DefaultBuckets),
	}
}

// clock starts at an hour, as a zero time means that it is not set.
func (f *simulatedFleet) clock() time.Duration { return time.Hour + time.Since(f.began) }

// deliver delivers a message to another daemon after fleetLatency unless it is lost.
func (f *simulatedFleet) deliver(from, to netip.AddrPort, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentMessages++
	f.sentBytes += len(data)
	if shares.IsMessage(data) {
		f.sentShares++
	}
	if f.disconnected[from] || f.disconnected[to] || f.rng.Float64() < f.lossRate {
		return nil
	}
	b := to.Addr().As4()
	i := int(b[2])<<8 + int(b[3])
	data = bytes.Clone(data)
	time.AfterFunc(fleetLatency, func() {
		f.mu.Lock()
		r := f.daemons[i]
		f.mu.Unlock()
		f.receiving[i].Lock() // a daemon handles one message after another
		defer f.receiving[i].Unlock()
		r.receive(from.String(), data)
	})
	return nil
}

// request sends a request to a daemon and returns the answer. The status of an aborted
// answer is 0.
func (f *simulatedFleet) request(daemon int, key, body string) *httptest.ResponseRecorder {
	return f.requestWith(daemon, key, body, func(http.Header) {})
}

// requestWith is request with further headers, which set adds.
func (f *simulatedFleet) requestWith(daemon int, key, body string, set func(http.Header)) *httptest.ResponseRecorder {
	return f.requestPath(daemon, "/x", key, body, set)
}

// requestPath is requestWith with a path.
func (f *simulatedFleet) requestPath(daemon int, path, key, body string, set func(http.Header)) (answer *httptest.ResponseRecorder) {
	f.mu.Lock()
	r := f.daemons[daemon]
	id := strconv.FormatUint(f.rng.Uint64(), 16)
	f.mu.Unlock()
	req := httptest.NewRequestWithContext(f.ctx, http.MethodPost, path, bytes.NewBufferString(body))
	req.Host = fleetHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Key", key)
	if f.promptTokens > 0 {
		req.Header.Set("Prompt", strconv.Itoa(f.promptTokens))
	}
	set(req.Header)
	answer = httptest.NewRecorder()
	defer func() {
		if reason := recover(); reason != nil {
			if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(reason)
			}
			answer.Code = 0
		}
	}()
	r.callerServer.Handler.ServeHTTP(answer, req)
	return answer
}

// sendLoad sends distinct ordinary requests to random daemons at a steady rate, passes
// each answer to answered, and returns when all were answered.
func (f *simulatedFleet) sendLoad(step, lasts time.Duration, answered func(at time.Duration, got *httptest.ResponseRecorder)) {
	var all sync.WaitGroup
	for at := time.Duration(0); at < lasts; at += step {
		all.Go(func() {
			time.Sleep(at)
			answered(at, f.request(f.randomDaemon(), fleetKey, fmt.Sprint("ordinary ", at)))
		})
	}
	all.Wait()
}

// randomDaemon returns the index of a random daemon.
func (f *simulatedFleet) randomDaemon() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(len(f.daemons))
}

// simulatedEndpoint is an endpoint that runs requests and crashes on some of them.
type simulatedEndpoint struct {
	f               *simulatedFleet
	index           int
	up              bool
	incarnation     int
	conns           map[net.Conn]bool
	limit           *float64                      // requests/s that its answers report; nil: none
	leaving         bool                          // its answers announce its shutdown
	retryAfter      string                        // if set, it rejects all requests with this Retry-After
	hostUnreachable bool                          // its host is unreachable after a crash, instead of refusing connections
	silentUntil     time.Time                     // requests wait until then; zero: they do not
	capacity        *simulatedCapacity            // nil: it runs any number of requests at once
	build           string                        // its software version
	events          int                           // of its answers; 0: all at once, one event
	pauseBefore     func(event int) time.Duration // further pause before an event; nil: none
	failing         float64                       // fraction of the requests that it answers with a server error
	slots           int                           // of its entry; 0: 24

	arrivals       []arrival
	segmentCrashes []segmentCrash
}

// segmentCrash is a crash under a prompt with one of the crashing segments.
type segmentCrash struct {
	at      time.Time
	segment string
}

// arrival is a request that reached an endpoint.
type arrival struct {
	at       time.Time
	daemon   int // that sent it
	body     string
	segments []string // of the prompt
	ran      bool
	rejected bool
}

// Bodies of requests that crash the endpoint or whose answers it truncates.
const (
	crashBody     = "crash"
	truncatedBody = "cut"
)

func (e *simulatedEndpoint) id() string {
	if e.f.sameIDs {
		return fmt.Sprintf("e%d", e.index)
	}
	return fmt.Sprintf("e%d-%d", e.index, e.incarnation)
}

// born returns the start of the incarnation that the endpoint reports; 0: it reports none.
func (e *simulatedEndpoint) born() int64 {
	if e.f.sameIDs {
		return int64(1 + e.incarnation)
	}
	return 0
}

func (e *simulatedEndpoint) entry() directory.Entry {
	entry := directory.Entry{ID: e.id(), Service: "s", Address: fmt.Sprintf("e:%d", e.index), Zone: "z", Build: e.build, Born: e.born(), Slots: cmp.Or(e.slots, 24)}
	if e.f.table.Services["s"].Engine != nil {
		entry.Models = map[string]int64{fleetModel: 1}
	}
	return entry
}

// serveModel makes the endpoints engines of one model, and all requests prompts of the
// given length.
func (f *simulatedFleet) serveModel(promptTokens int) {
	f.promptTokens = promptTokens
	f.table.Services["s"].Engine = &routes.Engine{Slots: 24, Models: []string{fleetModel}}
	for _, e := range f.endpoints {
		for _, r := range f.daemons {
			r.addEndpoint(e.entry())
		}
	}
}

// dialFrom returns the forward.Dial of a daemon.
func (f *simulatedFleet) dialFrom(daemon int) forward.Dial {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return f.dial(ctx, daemon, address) }
}

func (f *simulatedFleet) dial(ctx context.Context, daemon int, address string) (net.Conn, error) {
	f.mu.Lock()
	peer, cut := f.peers[address], f.cuts[daemon]
	f.mu.Unlock()
	if peer != nil {
		time.Sleep(2 * fleetLatency)
		return peer.connect(daemonAddress(daemon).String())
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	if cut == cutSilent {
		return nil, unansweredDial(ctx)
	}
	time.Sleep(2 * fleetLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[n]
	switch {
	case !e.up && e.hostUnreachable:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	case !e.up || cut != notCut:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	e.conns[far] = true
	go e.serve(far, daemon)
	c := &simulatedConn{Conn: near, f: f, daemon: daemon, hostUnreachable: e.hostUnreachable}
	f.conns[c] = true
	return c, nil
}

func (e *simulatedEndpoint) serve(c net.Conn, daemon int) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.URL.Path == identityPath {
			e.f.mu.Lock()
			born := strconv.FormatInt(e.born(), 10)
			e.f.mu.Unlock()
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(born), born); err != nil {
				return
			}
			continue
		}
		if !e.run(c, daemon, req, string(body)) {
			return
		}
	}
}

// run runs one request. It returns false if the connection has to be closed.
func (e *simulatedEndpoint) run(c net.Conn, daemon int, req *http.Request, body string) bool {
	e.f.mu.Lock()
	silence := time.Until(e.silentUntil)
	e.f.mu.Unlock()
	if silence > 0 {
		time.Sleep(silence)
	}
	e.f.mu.Lock()
	incarnation, ours := e.incarnation, req.Header.Get("Instance") == e.id()
	rejected := ours && e.retryAfter != ""
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), daemon: daemon, body: body, segments: strings.Split(req.Header.Get("Segments"), ","), ran: ours && !rejected, rejected: rejected})
	limit, retryAfter, leaving := e.limit, e.retryAfter, e.leaving
	e.f.mu.Unlock()
	head := "Attempt-Id: " + req.Header.Get("Attempt-Id") + "\r\nSignature: s\r\n"
	if limit != nil {
		head += "Limit: " + strconv.FormatFloat(*limit, 'g', -1, 64) + "\r\n"
	}
	if leaving && ours {
		head += "Leaving: 1\r\n"
	}
	if rejected {
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+"Not-Run: 1\r\nRetry-After: "+retryAfter+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if k := e.capacity; k != nil && ours {
		if !k.enter(e) {
			if k.fallen(e) {
				e.crash(incarnation)
				return false
			}
			if k.retryAfter != "" {
				head += "Retry-After: " + k.retryAfter + "\r\n"
			}
			_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+head+k.header()+"Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		defer k.leave(e)
	}
	if !ours {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	if k := e.capacity; k != nil {
		if k.firstAfter > 0 {
			return k.stream(c, head)
		}
		k.serve()
		head += k.header()
	} else {
		time.Sleep(fleetServiceTime)
	}
	if e.failing > 0 && e.f.draw() < e.failing {
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	if e.crashOnSegment(c, head, req, incarnation) {
		return false
	}
	if body == crashBody {
		e.crash(incarnation)
		return false
	}
	if body == truncatedBody {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 99\r\n\r\nid: 0")
		return false
	}
	if e.events > 0 {
		return e.stream(c, head, req)
	}
	answer := "id: 0\ndata: one\n\n"
	if e.f.unframed {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+answer)
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	return err == nil
}

// crashOnSegment crashes the endpoint if the prompt has one of the crashing segments, after
// the first event of an answer that has several.
func (e *simulatedEndpoint) crashOnSegment(c net.Conn, head string, req *http.Request, incarnation int) bool {
	segments := strings.Split(req.Header.Get("Segments"), ",")
	at := slices.IndexFunc(e.f.crashingSegments, func(s string) bool { return slices.Contains(segments, s) })
	if at < 0 {
		return false
	}
	if e.events > 1 {
		from := 0
		if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
			from = last + 1
		}
		event := fmt.Sprintf("id: %d\ndata: one\n\n", from)
		if e.f.unframed {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+event)
		} else {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(event), event)
		}
		time.Sleep(streamPause)
	} else if e.f.unframed {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
	}
	e.f.mu.Lock()
	if e.up && e.incarnation == incarnation {
		e.segmentCrashes = append(e.segmentCrashes, segmentCrash{time.Now(), e.f.crashingSegments[at]})
	}
	e.f.mu.Unlock()
	e.crash(incarnation)
	return true
}

// crash stops the endpoint and all requests that it runs, unless that incarnation has
// stopped already. The endpoint restarts under another id.
func (e *simulatedEndpoint) crash(incarnation int) {
	f := e.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up || e.incarnation != incarnation {
		return
	}
	e.up = false
	if e.capacity != nil {
		e.capacity.reset()
	}
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
	old := e.id()
	f.notifyDaemons(fleetUnlistDelay, func(r *Router) { r.removeEndpoint(old) })
	time.AfterFunc(fleetRestartTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.incarnation++
		e.up = true
		entry := e.entry()
		f.notifyDaemons(fleetListDelay, func(r *Router) { r.addEndpoint(entry) })
	})
}

// notifyDaemons applies a change of the list of endpoints to all daemons after a delay.
func (f *simulatedFleet) notifyDaemons(after time.Duration, change func(r *Router)) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		all := append([]*Router(nil), f.daemons...)
		f.mu.Unlock()
		for _, r := range all {
			change(r)
		}
	})
}

// testWire implements forward.HeaderCodec with headers that only these tests use.
type testWire struct{}

func (testWire) DecodeRequest(h http.Header) forward.RequestInfo {
	in := forward.RequestInfo{AttemptID: h.Get("Attempt-Id"), APIKey: h.Get("Key"), LastEvent: forward.NoEvent}
	in.Continues, in.Resumes = h.Get("Last-Event-Id") != "" || h.Get("Resumes") != "", h.Get("Resumes")
	if id, err := strconv.ParseInt(h.Get("Last-Event-Id"), 10, 64); err == nil {
		in.LastEvent = id
	}
	if tokens, err := strconv.Atoi(h.Get("Prompt")); err == nil {
		in.Model, in.PromptTokens = cmp.Or(h.Get("Model"), fleetModel), tokens
		in.Parts = []prefix.Segment{{ID: "shared", Tokens: tokens / 2}, {ID: in.AttemptID, Tokens: tokens - tokens/2}}
		if text := h.Get("Segments"); text != "" {
			in.Parts = nil
			all := strings.Split(text, ",")
			for _, id := range all {
				in.Parts = append(in.Parts, prefix.Segment{ID: id, Tokens: tokens / len(all)})
			}
		}
	}
	return in
}

// identityPath is where simulated endpoints state the start of their incarnation.
const identityPath = "/identity"

// IdentityPath implements forward.IdentityCodec.
func (testWire) IdentityPath() string { return identityPath }

// DecodeIdentity implements forward.IdentityCodec.
func (testWire) DecodeIdentity(body []byte) int64 {
	born, _ := strconv.ParseInt(string(body), 10, 64)
	return born
}

func (testWire) EncodeRequest(h http.Header, o *forward.RouterInfo) {
	h.Set("Instance", o.EndpointID)
	if o.LastEvent != forward.NoEvent {
		h.Set("Last-Event-Id", strconv.FormatInt(o.LastEvent, 10))
	}
}

func (testWire) DecodeAnswer(status int, h http.Header) forward.AnswerInfo {
	misplaced := status == http.StatusMisdirectedRequest
	var limit *float64
	if v, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		limit = &v
	}
	var backoff time.Duration
	if v, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
		backoff = time.Duration(v * float64(time.Second))
	}
	var load *fleet.Load
	var running, waiting, slots int
	if n, _ := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &running, &waiting, &slots); n == 3 {
		load = &fleet.Load{Running: running, Waiting: waiting, Slots: slots}
	}
	return forward.AnswerInfo{
		Load: load, RejectionLimit: limits.Parse(h.Get("Brittle")),
		Limit: limit, AttemptID: h.Get("Attempt-Id"), Signed: h.Get("Signature") != "", NotRun: misplaced || h.Get("Not-Run") != "", Misplaced: misplaced,
		KeepAlive: 5 * time.Second, Leaving: h.Get("Leaving") != "", Backoff: backoff,
	}
}

func (testWire) EncodeRefusal(h http.Header, _ string, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}
