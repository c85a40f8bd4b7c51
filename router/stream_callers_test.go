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
	"time"

	"github.com/merlindock/merlindock/routes"
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
	if e.f.unframed {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
	} else if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := from; i < e.events; i++ {
		if e.pauseBefore != nil {
			time.Sleep(e.pauseBefore(i))
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, build)
		if e.f.unframed {
			_, _ = io.WriteString(c, event)
			time.Sleep(streamPause)
			continue
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(streamPause)
	}
	if e.f.unframed {
		return false
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
