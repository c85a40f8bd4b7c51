package router

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/streamorigin"
)

// Timing of the streams in these tests.
const (
	streamEvents   = 12
	streamPause    = 40 * time.Millisecond // between two events
	streamInterval = 15 * time.Millisecond // between two new streams of the fleet
	streamAttempts = 4                     // of a caller for one stream, the first one included
	streamBreakAt  = 3                     // events after which a caller's connection breaks
)

// stream answers a request event by event. The data of each event is the build that made it.
func (e *simulatedEndpoint) stream(c net.Conn, head string, req *http.Request) bool {
	from := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	e.f.mu.Lock()
	build := e.build
	e.f.mu.Unlock()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := from; i < e.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, build)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(streamPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// callerStream is what a caller has received of one stream over its attempts.
type callerStream struct {
	key       string // of the organisation
	path      string
	last      int    // id of the last event; -1: none
	began     string // attempt that brought the first event
	builds    map[string]bool
	breakAt   int         // number of events of one attempt after which the connection breaks; 0: never
	daemonEnd func() bool // whether the daemon of the current attempt has ended
	received  int         // events of the current attempt
	takenUp   bool        // the caller has tried to take it up
	wentOn    bool        // an attempt to take it up brought events or the end
	attempt   string
}

// errCallerGone is returned to a daemon whose caller's connection is gone.
var errCallerGone = errors.New("connection of the caller is gone")

// callerConn is the http.ResponseWriter of one attempt.
type callerConn struct {
	*httptest.ResponseRecorder
	s *callerStream
}

// Write implements http.ResponseWriter.
func (w *callerConn) Write(b []byte) (int, error) {
	if w.Code != http.StatusOK {
		return w.ResponseRecorder.Write(b)
	}
	for event := range bytes.SplitSeq(bytes.TrimSpace(b), []byte("\n\n")) {
		if w.s.daemonEnd() || w.s.breakAt > 0 && w.s.received >= w.s.breakAt {
			return 0, errCallerGone
		}
		var id int
		var build string
		if _, err := fmt.Sscanf(string(event), "id: %d\ndata: %s", &id, &build); err != nil {
			return 0, fmt.Errorf("event %q: %w", event, err)
		}
		if w.s.last < 0 {
			w.s.began = w.s.attempt
		}
		w.s.last, w.s.builds[build] = id, true
		w.s.received++
	}
	return len(b), nil
}

// takeUp sends the next attempt for a stream to a daemon and returns its status; 0: the
// answer was aborted.
func (f *simulatedFleet) takeUp(daemon int, s *callerStream) (status int) {
	f.mu.Lock()
	r := f.daemons[daemon]
	s.attempt = strconv.FormatUint(f.rng.Uint64(), 16)
	f.mu.Unlock()
	s.received = 0
	s.daemonEnd = func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.killed[r]
	}
	if s.daemonEnd() {
		return 0
	}
	req := httptest.NewRequestWithContext(f.ctx, http.MethodPost, s.path, strings.NewReader("ordinary "+s.path))
	req.Host = fleetHost
	req.Header.Set("Attempt-Id", s.attempt)
	req.Header.Set("Key", s.key)
	if f.promptTokens > 0 {
		req.Header.Set("Prompt", strconv.Itoa(f.promptTokens))
	}
	if s.last >= 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.began)
	}
	w := &callerConn{httptest.NewRecorder(), s}
	defer func() {
		if reason := recover(); reason != nil {
			if err, ok := reason.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(reason)
			}
			status = 0
		}
	}()
	r.callerServer.Handler.ServeHTTP(w, req)
	return w.Code
}

// kill ends a daemon and its connections. restart starts it again with empty state.
func (f *simulatedFleet) kill(daemon int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed[f.daemons[daemon]] = true
	f.disconnected[daemonAddress(daemon)] = true
	f.cancels[daemon]()
}

func (f *simulatedFleet) restart(daemon int) {
	f.mu.Lock()
	delete(f.disconnected, daemonAddress(daemon))
	f.mu.Unlock()
	f.startDaemon(daemon)
}

// streamResult counts streams, and the attempts by which callers took them up.
type streamResult struct {
	mu sync.Mutex

	sent, began, joined, whole int         // streams
	takenUp, wentOn            int         // streams whose callers took them up, and those that went on
	attempts, others           int         // to take streams up, and those that brought nothing
	statuses                   map[int]int // of these
}

// share returns the fraction a/b; 1 if b is 0.
func share(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// runStreams has callers send streams to random daemons and take them up at the daemon that
// next returns, until they are whole, the attempts are used up or next returns -1.
func runStreams(f *simulatedFleet, lasts time.Duration, breakAt int, next func(before int) int) *streamResult {
	out := &streamResult{statuses: map[int]int{}}
	var all sync.WaitGroup
	for at := time.Duration(0); at < lasts; at += streamInterval {
		all.Go(func() {
			time.Sleep(at)
			s := &callerStream{key: fleetKey, path: fmt.Sprint("/", at.Milliseconds()), last: -1, builds: map[string]bool{}, breakAt: breakAt}
			daemon := f.randomDaemon()
			for range streamAttempts {
				before := s.last
				status := f.takeUp(daemon, s)
				whole := s.last == streamEvents-1
				out.add(s, before, status, whole)
				if whole {
					break
				}
				time.Sleep(20 * time.Millisecond)
				if daemon = next(daemon); daemon < 0 {
					break
				}
			}
			out.end(s)
		})
	}
	all.Wait()
	f.t.Logf("%d of %d streams began, %d whole, %d joined; %d of %d that were taken up went on; %d of %d attempts to take one up brought nothing: %v",
		out.began, out.sent, out.whole, out.joined, out.wentOn, out.takenUp, out.others, out.attempts, out.statuses)
	return out
}

// add counts an attempt. before is the last event that the caller had before it.
func (r *streamResult) add(s *callerStream, before, status int, whole bool) {
	if before < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	s.takenUp = true
	if s.last > before || whole {
		s.wentOn = true
		return
	}
	r.others++
	r.statuses[status]++
}

// end counts a stream.
func (r *streamResult) end(s *callerStream) {
	count := func(n *int, counted bool) {
		if counted {
			*n++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	count(&r.began, s.last >= 0)
	count(&r.whole, s.last == streamEvents-1)
	count(&r.joined, len(s.builds) > 1)
	count(&r.takenUp, s.takenUp)
	count(&r.wentOn, s.wentOn)
}

// check fails the test if a stream holds events of two builds, or if streams that are taken
// up go on less than half as often as new ones begin.
func (r *streamResult) check(t *testing.T) {
	t.Helper()
	if r.joined > 0 {
		t.Errorf("%d of %d streams hold events of two software versions", r.joined, r.began)
	}
	if r.takenUp >= 12 && share(r.wentOn, r.takenUp) < share(r.began, r.sent)/2 {
		t.Errorf("%d of %d streams that were taken up went on, %d of %d new ones began", r.wentOn, r.takenUp, r.began, r.sent)
	}
}

// newFleetOfBuilds returns a fleet whose endpoints have the builds and stream their answers.
func newFleetOfBuilds(t *testing.T, daemons int, builds []string, promptTokens int) *simulatedFleet {
	f := newFleet(t, daemons, len(builds), routes.Route{Kind: routes.Stream, Resumable: true})
	for i, build := range builds {
		f.setBuild(i, build)
	}
	for _, e := range f.endpoints {
		e.events = streamEvents
	}
	if promptTokens > 0 {
		f.serveModel(promptTokens)
	}
	return f
}

// setBuild sets the software version of an endpoint, and of its entry at all daemons.
func (f *simulatedFleet) setBuild(endpoint int, build string) {
	f.mu.Lock()
	e := f.endpoints[endpoint]
	e.build = build
	entry := e.entry()
	f.mu.Unlock()
	for _, r := range f.daemons {
		r.addEndpoint(entry)
	}
}

// crashInTurn crashes one endpoint after another until the time is over.
func (f *simulatedFleet) crashInTurn(every, lasts time.Duration) {
	for at, i := every, 0; at < lasts; at, i = at+every, i+1 {
		e := f.endpoints[i%len(f.endpoints)]
		time.AfterFunc(at, func() {
			f.mu.Lock()
			incarnation := e.incarnation
			f.mu.Unlock()
			e.crash(incarnation)
		})
	}
}

// killInTurn kills one daemon after another and restarts each a second later.
func (f *simulatedFleet) killInTurn(every, lasts time.Duration) {
	for at, i := every, 0; at < lasts; at, i = at+every, i+1 {
		daemon := i % len(f.daemons)
		time.AfterFunc(at, func() { f.kill(daemon) })
		time.AfterFunc(at+time.Second, func() { f.restart(daemon) })
	}
}

// shutDownInTurn shuts down one daemon after another and restarts each with empty state.
func (f *simulatedFleet) shutDownInTurn(every, lasts time.Duration) {
	for at, i := every, 0; at < lasts; at, i = at+every, i+1 {
		daemon := i % len(f.daemons)
		time.AfterFunc(at, func() {
			f.mu.Lock()
			r := f.daemons[daemon]
			f.mu.Unlock()
			r.shuttingDown.Store(true)
			r.origins.handOver()
		})
		time.AfterFunc(at+every*3/4, func() { f.kill(daemon) })
		time.AfterFunc(at+every, func() { f.restart(daemon) })
	}
}

// promptLengths are the kinds of requests that are placed in different ways.
var promptLengths = map[string]int{"plain": 0, "short prompts": 300, "long prompts": 8000}

// Builds of the endpoints in the middle of a release and before it.
var (
	twoBuilds = []string{"v1", "v2", "v1", "v2", "v1", "v2", "v1", "v1"}
	oneBuild  = []string{"v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1"}
)

// releaseBegins is when the first endpoint of another version registers, after daemons have
// known a single one for long.
const releaseBegins = 30 * time.Second

// release replaces the endpoints one after another by such of v2. Daemons learn of each
// change at moments of their own, up to lag later.
func (f *simulatedFleet) release(every, lag time.Duration) {
	for i, e := range f.endpoints {
		time.AfterFunc(releaseBegins+time.Duration(i)*every, func() {
			f.mu.Lock()
			old := e.id()
			e.incarnation++
			e.build = "v2"
			entry := e.entry()
			all := append([]*Router(nil), f.daemons...)
			for c := range e.conns {
				_ = c.Close()
			}
			f.mu.Unlock()
			for d, r := range all {
				time.AfterFunc(lag*time.Duration(d)/time.Duration(len(all)), func() {
					r.removeEndpoint(old)
					r.addEndpoint(entry)
				})
			}
		})
	}
}

// Guards against a stream that another software version of its endpoint continues within one
// answer, after the endpoint has crashed.
func TestInterruptedStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	const lasts = 12 * time.Second
	for kind, tokens := range promptLengths {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfBuilds(t, 3, twoBuilds, tokens)
				f.crashInTurn(1500*time.Millisecond, lasts)
				got := runStreams(f, lasts, 0, func(int) int { return -1 })
				got.check(t)
				if share(got.whole, got.began) < 0.9 {
					t.Errorf("%d of %d streams are whole", got.whole, got.began)
				}
			})
		})
	}
}

// Guards against streams that another software version of their endpoint continues, in one
// answer or over a caller's attempts.
func TestStreamsContinueAtTheirSoftwareVersion(t *testing.T) {
	otherDaemon := func(f *simulatedFleet) func(int) int {
		return func(before int) int { return (before + 1 + f.randomDaemon()%(len(f.daemons)-1)) % len(f.daemons) }
	}
	for _, c := range []struct {
		name    string
		daemons int
		builds  []string
		run     func(f *simulatedFleet) *streamResult
	}{
		{"endpoints crash", 3, twoBuilds, func(f *simulatedFleet) *streamResult {
			const lasts = 12 * time.Second
			f.crashInTurn(1500*time.Millisecond, lasts)
			return runStreams(f, lasts, 0, func(before int) int { return before })
		}},
		{"callers return to the same daemon", 4, twoBuilds, func(f *simulatedFleet) *streamResult {
			return runStreams(f, 8*time.Second, streamBreakAt, func(before int) int { return before })
		}},
		{"callers return to another daemon", 4, twoBuilds, func(f *simulatedFleet) *streamResult {
			return runStreams(f, 8*time.Second, streamBreakAt, otherDaemon(f))
		}},
		{"daemons are killed", 6, twoBuilds, func(f *simulatedFleet) *streamResult {
			const lasts = 20 * time.Second
			f.killInTurn(1300*time.Millisecond, lasts)
			return runStreams(f, lasts, 0, otherDaemon(f))
		}},
		{"daemons are killed in pairs", 6, twoBuilds, func(f *simulatedFleet) *streamResult {
			const lasts = 20 * time.Second
			f.killInTurn(2500*time.Millisecond, lasts)
			time.AfterFunc(500*time.Millisecond, func() { f.killInTurn(2500*time.Millisecond, lasts) })
			return runStreams(f, lasts, 0, otherDaemon(f))
		}},
		{"daemons shut down in turn", 6, twoBuilds, func(f *simulatedFleet) *streamResult {
			const lasts = 20 * time.Second
			f.shutDownInTurn(400*time.Millisecond, lasts)
			return runStreams(f, lasts, streamBreakAt, otherDaemon(f))
		}},
		{"messages are lost", 4, twoBuilds, func(f *simulatedFleet) *streamResult {
			f.lossRate = 0.1
			return runStreams(f, 8*time.Second, streamBreakAt, otherDaemon(f))
		}},
		{"a release begins", 6, oneBuild, func(f *simulatedFleet) *streamResult {
			const lasts = releaseBegins + 12*time.Second
			f.release(time.Second, time.Second)
			f.killInTurn(2300*time.Millisecond, lasts)
			return runStreams(f, lasts, 0, otherDaemon(f))
		}},
	} {
		for kind, tokens := range promptLengths {
			t.Run(c.name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c.run(newFleetOfBuilds(t, c.daemons, c.builds, tokens)).check(t)
				})
			})
		}
	}
}

// upgradeInTurn restarts one endpoint after another as v2, under its ID and address. Daemons
// read its new entry after a delay.
func (f *simulatedFleet) upgradeInTurn(every, entryDelay time.Duration) {
	for i, e := range f.endpoints {
		time.AfterFunc(time.Duration(i+1)*every, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			e.incarnation++
			e.build = "v2"
			entry := e.entry()
			for c := range e.conns {
				_ = c.Close()
			}
			clear(e.conns)
			f.notifyDaemons(entryDelay, func(r *Router) { r.addEndpoint(entry) })
		})
	}
}

// Guards against a stream that continues at an endpoint that has restarted under its ID and
// address with another software version, of which the daemon has not read yet.
func TestStreamDoesNotContinueAtAnUpgradedEndpoint(t *testing.T) {
	const every = 1200 * time.Millisecond
	for kind, tokens := range promptLengths {
		for name, breakAt := range map[string]int{"endpoints restart": 0, "callers lose their connections": streamBreakAt} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetOfBuilds(t, 4, oneBuild, tokens)
					f.sameIDs = true
					for i := range f.endpoints {
						old := fmt.Sprintf("e%d-0", i)
						for _, r := range f.daemons {
							r.removeEndpoint(old)
						}
						f.setBuild(i, "v1")
					}
					f.upgradeInTurn(every, time.Second)
					lasts := every * time.Duration(len(f.endpoints)+2)
					runStreams(f, lasts, breakAt, func(before int) int { return (before + 1) % 4 }).check(t)
				})
			})
		}
	}
}

// Guards against a stream that continues at any software version because the caller names its
// first attempt wrongly, or not at all, or that of another organisation or path.
func TestStreamThatIsNamedWronglyIsRefusedWhileVersionsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfBuilds(t, 4, twoBuilds, 300)
		began := func(path string) *callerStream {
			s := &callerStream{key: fleetKey, path: path, last: -1, builds: map[string]bool{}, breakAt: streamBreakAt}
			f.takeUp(0, s)
			if s.last != streamBreakAt-1 {
				t.Fatalf("the stream began up to event %d", s.last)
			}
			return s
		}
		for i, wrong := range []func(s *callerStream){
			func(s *callerStream) { s.began = "" },
			func(s *callerStream) { s.began = "never" },
			func(s *callerStream) { s.began = strings.Repeat("a", 9<<10) },
			func(s *callerStream) { s.key = "other" },
			func(s *callerStream) { s.path += "/" },
		} {
			s := began(fmt.Sprint("/", i))
			wrong(s)
			if status := f.takeUp(1+i%3, s); status != http.StatusServiceUnavailable || s.received > 0 {
				t.Errorf("case %d: status %d, %d events", i, status, s.received)
			}
		}
		s := began("/same")
		s.breakAt = 0
		if status := f.takeUp(2, s); status != http.StatusOK || s.last != streamEvents-1 || len(s.builds) != 1 {
			t.Errorf("named rightly: status %d, last event %d of builds %v", status, s.last, s.builds)
		}
	})
}

// Guards against a stream that is refused, or held, while its software version has no
// endpoints left, although it is known at once.
func TestStreamWhoseSoftwareVersionIsGoneIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfBuilds(t, 4, twoBuilds, 300)
		s := &callerStream{key: fleetKey, path: "/x", last: -1, builds: map[string]bool{}, breakAt: streamBreakAt}
		f.takeUp(0, s)
		for i := range f.endpoints {
			other := "v2"
			if s.builds["v2"] {
				other = "v1"
			}
			f.setBuild(i, other)
		}
		asked := time.Now()
		if status := f.takeUp(1, s); status != http.StatusServiceUnavailable || s.received > 0 || time.Since(asked) > 100*time.Millisecond {
			t.Errorf("status %d after %v, %d events", status, time.Since(asked), s.received)
		}
	})
}

// Guards against a stream that continues at the software version that a dispatcher of an
// earlier release chose, which ignores where the stream began.
func TestDispatcherThatIgnoresTheOriginIsNotFollowed(t *testing.T) {
	c := newDispatchCluster(t, 2, 4)
	for _, d := range c.daemons {
		for _, id := range []string{"A", "B", "C", "D"} {
			build := "v1"
			if id == "D" {
				build = "v2"
			}
			d.state.roster.Put(directory.Entry{ID: id, Service: "s", Address: id, Zone: "z", Build: build, Slots: 16, Models: map[string]int64{"m": 1}})
		}
	}
	d := c.daemons[0]
	req := c.longPrompt(d, "p")
	for _, origin := range []streamorigin.Origin{{Service: "s", Build: "v2"}, {Service: "s", Build: "v1"}, {Service: "s", Build: ""}, {Service: "other", Build: "v2"}} {
		req.Origin = &origin
		placed := placedMessage{ID: 1, Place: &forward.Placement{Target: forward.Target{Key: "D@0", ID: "D"}, Out: forward.RouterInfo{Version: 1}}}
		p, ok, err := d.acceptAnswer(c.daemons[1].self, req, &placed)
		if want := origin == (streamorigin.Origin{Service: "s", Build: "v2"}); err != nil || ok != want || ok && p.Build != "v2" {
			t.Errorf("origin %+v: accepted %v, build %q, %v", origin, ok, p.Build, err)
		}
		p, err = d.Place(t.Context(), req)
		if known := origin.Service == "s" && origin.Build != ""; known && (err != nil || p.Build != origin.Build) || !known && err == nil {
			t.Errorf("origin %+v: placed at %q, %v", origin, p.Build, err)
		}
	}
}
