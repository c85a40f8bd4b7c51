package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/routes"
)

// memoryFleet is a deployment in virtual time: daemons with callers in front of
// them, endpoints that run requests, and the messages between daemons.
type memoryFleet struct {
	t     *testing.T
	ctx   context.Context
	began time.Time
	table *routes.Table

	mu        sync.Mutex
	rng       *rand.Rand
	daemons   []*Router
	stops     []context.CancelFunc
	endpoints []*memoryEndpoint
	lost      float64                 // part of the messages between daemons that are lost
	cut       map[netip.AddrPort]bool // daemons that no message reaches or leaves
	sent      int                     // messages between daemons
	bytes     int
}

const (
	fleetWay       = 1500 * time.Microsecond // one way, between any two
	fleetRun       = 40 * time.Millisecond   // that an endpoint takes for a request
	fleetBack      = 2 * time.Second         // until an endpoint that ended is back
	fleetListed    = 500 * time.Millisecond  // until it is listed then
	fleetUnlisted  = 3600 * time.Millisecond // until it is no more
	fleetHost      = "h.example"
	fleetKey       = "key"
	fleetTimeout   = 4 * time.Second
	fleetStable    = 3 * time.Second // without a fault, after which daemons answer for what they do
	fleetRetryPart = 0.2
)

// newFleet starts daemons and endpoints of one service, with one route to it.
func newFleet(t *testing.T, daemons, endpoints int, route routes.Route) *memoryFleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &memoryFleet{
		t: t, ctx: ctx, began: time.Now(), rng: rand.New(rand.NewPCG(uint64(daemons), 29)), cut: map[netip.AddrPort]bool{},
	}
	t.Cleanup(func() {
		cancel()
		f.mu.Lock()
		for _, e := range f.endpoints {
			for c := range e.conns {
				_ = c.Close()
			}
		}
		f.mu.Unlock()
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
	f.table.BuildIndex()
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &memoryEndpoint{f: f, n: i, up: true, conns: map[net.Conn]bool{}})
	}
	f.daemons = make([]*Router, daemons)
	f.stops = make([]context.CancelFunc, daemons)
	for i := range daemons {
		f.startDaemon(i)
	}
	return f
}

func daemonAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7340)
}

// startDaemon starts a daemon, or starts it anew without what it knew.
func (f *memoryFleet) startDaemon(i int) {
	f.mu.Lock()
	seed := f.rng.Uint64()
	f.mu.Unlock()
	r := newRouter(Options{
		Settings: Settings{
			Name: fmt.Sprint("front-", i), Zone: "z", PeerAddress: daemonAddress(i).String(),
			DrainWithin: 2 * time.Second, ConfigWithin: 2 * time.Second, RevokeWithin: time.Hour, RetryRatio: fleetRetryPart,
		},
		Clock: f.clock, Dial: f.dial, Wire: memoryWire{}, Logs: logging.Discard(), Rand: rand.New(rand.NewPCG(seed, 1)),
	}, noMeters())
	me := daemonAddress(i)
	r.datagrams.write = func(to netip.AddrPort, data []byte) error { return f.carry(me, to, data) }
	r.state.table.Store(f.table)
	r.state.operator.RecordAnswer(f.clock(), f.clock())
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	if f.stops[i] != nil {
		f.stops[i]()
	}
	f.daemons[i], f.stops[i] = r, stop
	all := make([]Neighbour, len(f.daemons))
	for n := range all {
		all[n] = Neighbour{Name: fmt.Sprint("front-", n), Zone: "z", Address: daemonAddress(n).String()}
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
	for _, e := range up {
		r.list(e)
	}
	go r.runPeriodic(ctx)
	go r.quarantine.Run(ctx)
	go r.endpointLimits.Run(ctx)
}

// list tells the daemon of an endpoint, as its entry in the store does.
func (r *Router) list(e directory.Entry) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.roster.Put(e)
}

func (r *Router) unlist(id string) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.roster.Remove(time.Now(), time.Now(), id)
}

func noMeters() *meters {
	s := tally.NoopScope
	return &meters{
		scope: s, storeFailures: s.Counter(""), orders: s.Counter(""), attempts: s.Counter(""),
		duration: s.Histogram("", tally.DefaultBuckets), firstEvent: s.Histogram("", tally.DefaultBuckets),
	}
}

// clock does not begin at zero, which is the time of nothing.
func (f *memoryFleet) clock() time.Duration { return time.Hour + time.Since(f.began) }

// carry delivers a message between daemons, unless it is lost.
func (f *memoryFleet) carry(from, to netip.AddrPort, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	f.bytes += len(data)
	if f.cut[from] || f.cut[to] || f.rng.Float64() < f.lost {
		return nil
	}
	b := to.Addr().As4()
	i := int(b[2])<<8 + int(b[3])
	data = bytes.Clone(data)
	time.AfterFunc(fleetWay, func() {
		f.mu.Lock()
		r := f.daemons[i]
		f.mu.Unlock()
		r.receive(from.String(), data)
	})
	return nil
}

// ask sends a request to a daemon and returns the answer. A broken answer has status 0.
func (f *memoryFleet) ask(daemon int, key, body string) (answer *httptest.ResponseRecorder) {
	f.mu.Lock()
	r := f.daemons[daemon]
	id := strconv.FormatUint(f.rng.Uint64(), 16)
	f.mu.Unlock()
	req := httptest.NewRequestWithContext(f.ctx, http.MethodPost, "/x", bytes.NewBufferString(body))
	req.Host = fleetHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Key", key)
	answer = httptest.NewRecorder()
	defer func() {
		if broken := recover(); broken != nil {
			if err, ok := broken.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(broken)
			}
			answer.Code = 0
		}
	}()
	r.callerServer.Handler.ServeHTTP(answer, req)
	return answer
}

// load sends ordinary requests, all different, to drawn daemons at a steady rate, tells
// of each answer and returns when all are there.
func (f *memoryFleet) load(step, lasts time.Duration, answered func(at time.Duration, got *httptest.ResponseRecorder)) {
	var all sync.WaitGroup
	for at := time.Duration(0); at < lasts; at += step {
		all.Go(func() {
			time.Sleep(at)
			answered(at, f.ask(f.someDaemon(), fleetKey, fmt.Sprint("ordinary ", at)))
		})
	}
	all.Wait()
}

// someDaemon draws a daemon.
func (f *memoryFleet) someDaemon() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(len(f.daemons))
}

// memoryEndpoint runs requests.
type memoryEndpoint struct {
	f     *memoryFleet
	n     int
	up    bool
	life  int
	conns map[net.Conn]bool
	limit *float64 // requests a second that it names; nil: none
	dark  bool     // it falls silent with its host instead of ending

	arrivals []arrival
}

// arrival is a request that reached an endpoint.
type arrival struct {
	at   time.Time
	body string
	ran  bool
}

// Bodies of requests that end the endpoint, and whose answers it cuts short.
const (
	crashBody = "crash"
	cutBody   = "cut"
)

func (e *memoryEndpoint) id() string { return fmt.Sprintf("e%d-%d", e.n, e.life) }

func (e *memoryEndpoint) entry() directory.Entry {
	return directory.Entry{ID: e.id(), Service: "s", Address: fmt.Sprintf("e:%d", e.n), Zone: "z", Slots: 24}
}

// dial is forward.Dial.
func (f *memoryFleet) dial(_ context.Context, _, address string) (net.Conn, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * fleetWay)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[n]
	switch {
	case !e.up && e.dark:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	case !e.up:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	e.conns[far] = true
	go e.serve(far)
	return &memoryConn{Conn: near, dark: e.dark}, nil
}

// memoryConn is a daemon's side of a connection.
type memoryConn struct {
	net.Conn
	dark bool
}

// Read implements net.Conn. The end of a host that fell silent shows as a time-out.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.dark && errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
	return n, err
}

func (e *memoryEndpoint) serve(c net.Conn) {
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
		if !e.run(c, req, string(body)) {
			return
		}
	}
}

// run runs one request. It returns false if the connection has ended.
func (e *memoryEndpoint) run(c net.Conn, req *http.Request, body string) bool {
	e.f.mu.Lock()
	life, ours := e.life, req.Header.Get("Instance") == e.id()
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), body: body, ran: ours})
	limit := e.limit
	e.f.mu.Unlock()
	head := "Attempt-Id: " + req.Header.Get("Attempt-Id") + "\r\nSignature: s\r\n"
	if limit != nil {
		head += "Limit: " + strconv.FormatFloat(*limit, 'g', -1, 64) + "\r\n"
	}
	if !ours {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	time.Sleep(fleetRun)
	if body == crashBody {
		e.end(life)
		return false
	}
	if body == cutBody {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 99\r\n\r\nid: 0")
		return false
	}
	answer := "id: 0\ndata: one\n\n"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	return err == nil
}

// end ends the endpoint and everything that it runs. It comes back under another id.
func (e *memoryEndpoint) end(life int) {
	f := e.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up || e.life != life {
		return
	}
	e.up = false
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
	old := e.id()
	f.tell(fleetUnlisted, func(r *Router) { r.unlist(old) })
	time.AfterFunc(fleetBack, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.life++
		e.up = true
		entry := e.entry()
		f.tell(fleetListed, func(r *Router) { r.list(entry) })
	})
}

// tell tells all daemons of a change of the list.
func (f *memoryFleet) tell(after time.Duration, change func(r *Router)) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		all := append([]*Router(nil), f.daemons...)
		f.mu.Unlock()
		for _, r := range all {
			change(r)
		}
	})
}

// memoryWire names the headers of these tests.
type memoryWire struct{}

func (memoryWire) DecodeRequest(h http.Header) forward.RequestInfo {
	return forward.RequestInfo{AttemptID: h.Get("Attempt-Id"), APIKey: h.Get("Key"), LastEvent: forward.NoEvent}
}

func (memoryWire) EncodeRequest(h http.Header, o *forward.RouterInfo) {
	h.Set("Instance", o.EndpointID)
}

func (memoryWire) DecodeAnswer(status int, h http.Header) forward.AnswerInfo {
	misplaced := status == http.StatusMisdirectedRequest
	var limit *float64
	if v, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		limit = &v
	}
	return forward.AnswerInfo{
		Limit: limit, AttemptID: h.Get("Attempt-Id"), Signed: h.Get("Signature") != "", NotRun: misplaced, Misplaced: misplaced,
		KeepAlive: 5 * time.Second,
	}
}

func (memoryWire) EncodeRefusal(h http.Header, _ string, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}
