package router

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/streamorigin"
)

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
				f.readLater(r, lag*time.Duration(d)/time.Duration(len(all)), func(r *Router) {
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

// Guards against a daemon that is cut off from the store, or shuts down, and takes a version
// for the only one because it does not hear of others.
func TestOutdatedListShowsNoSingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfBuilds(t, 2, oneBuild, 300)
		time.Sleep(releaseBegins)
		r := f.daemons[0]
		if !r.origins.Single("s") || r.origins.Single("unheard of") {
			t.Error("the version of a service that has had one for long is not known, or that of one without endpoints is")
		}
		f.confirming.Store(false)
		time.Sleep(r.options.Settings.DrainWithin + time.Second)
		if r.origins.Single("s") {
			t.Error("an outdated list shows a single version")
		}
		f.confirming.Store(true)
		time.Sleep(time.Second)
		if !r.origins.Single("s") {
			t.Error("the version is not known again")
		}
		r.shuttingDown.Store(true)
		if r.origins.Single("s") {
			t.Error("a daemon that shuts down answers for a single version")
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
