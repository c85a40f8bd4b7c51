package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/routes"
)

// Timing of the tests with daemons that are cut off from all endpoints.
const (
	partitionBegins   = 2 * time.Second
	partitionLasts    = 10 * time.Second
	partitionSettle   = 3 * time.Second // from the cut until its daemons must serve
	partitionLoad     = 14 * time.Second
	partitionInterval = 10 * time.Millisecond // between two requests to the fleet
)

// firstAttempts counts the first attempts at a group of daemons.
type firstAttempts struct{ sent, served int }

// partitionResult holds the first attempts that were sent from partitionSettle after the
// cut until its end, at the daemons that were cut off and at the others.
type partitionResult struct {
	mu          sync.Mutex
	cut, others firstAttempts
	codes       map[string]int // of the attempts that were not served at the daemons cut off
}

// runPartition cuts the first daemons off from all endpoints under steady load.
func runPartition(f *simulatedFleet, count int, mode cutMode) *partitionResult {
	out := &partitionResult{codes: map[string]int{}}
	began := time.Now()
	time.AfterFunc(partitionBegins, func() {
		for d := range count {
			f.cut(d, mode)
		}
	})
	time.AfterFunc(partitionBegins+partitionLasts, func() {
		for d := range count {
			f.cut(d, notCut)
		}
	})
	var all sync.WaitGroup
	for at := time.Duration(0); at < partitionLoad; at += partitionInterval {
		all.Go(func() {
			time.Sleep(at)
			daemon := f.randomDaemon()
			got := f.request(daemon, fleetKey, fmt.Sprint("ordinary ", at))
			out.add(at, daemon < count, got)
		})
	}
	all.Wait()
	f.t.Logf("%v after %v: %d of %d served at the daemons cut off, %d of %d at the others; not served: %v", mode, time.Since(began), out.cut.served, out.cut.sent, out.others.served, out.others.sent, out.codes)
	return out
}

func (r *partitionResult) add(at time.Duration, cut bool, got *httptest.ResponseRecorder) {
	if at < partitionBegins+partitionSettle || at >= partitionBegins+partitionLasts {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group := &r.others
	if cut {
		group = &r.cut
	}
	group.sent++
	if got.Code == http.StatusOK {
		group.served++
	} else if cut {
		r.codes[fmt.Sprint(got.Code, " ", got.Body)]++
	}
}

// check fails the test if callers of daemons cut off are served less than two thirds as
// often as others and more than 10 and one in 50 of them fail, or if others fail.
func (r *partitionResult) check(t *testing.T) {
	t.Helper()
	rate := func(a firstAttempts) float64 { return float64(a.served) / float64(a.sent) }
	failed := r.cut.sent - r.cut.served
	if r.others.sent > 0 && rate(r.cut) < rate(r.others)*2/3 && failed > 10+(r.cut.sent+r.others.sent)/50 {
		t.Errorf("%d of %d first attempts were served at daemons cut off, %d of %d at the others", r.cut.served, r.cut.sent, r.others.served, r.others.sent)
	}
	if failed := r.others.sent - r.others.served; failed > r.others.sent/50 {
		t.Errorf("%d of %d first attempts were not served at daemons that reach all endpoints", failed, r.others.sent)
	}
}

// checkRunsOnce fails the test if a request ran at several endpoints.
func (f *simulatedFleet) checkRunsOnce() {
	f.t.Helper()
	runs := map[string]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		for _, a := range e.arrivals {
			if a.ran {
				runs[a.body]++
			}
		}
	}
	for body, n := range runs {
		if n > 1 {
			f.t.Errorf("request %q ran %d times", body, n)
		}
	}
}

// checkDirect fails the test if a daemon still has other daemons relay its connections, and
// returns if all connect to endpoints themselves.
func (f *simulatedFleet) checkDirect() {
	f.t.Helper()
	for _, r := range f.daemons {
		if r.paths.Isolated() || r.paths.Lost() > 0 {
			f.t.Errorf("%s still counts %d paths as lost, isolated: %v", r.options.Settings.Name, r.paths.Lost(), r.paths.Isolated())
		}
	}
}

// Guards against callers that are refused because their daemon, or the one that places long
// prompts for all, is cut off from all endpoints while other daemons reach them.
func TestDaemonCutFromAllEndpointsServesItsCallers(t *testing.T) {
	modes := map[string]cutMode{"silent": cutSilent, "reset": cutReset, "new connections refused": cutRefused}
	for kind, c := range map[string]struct {
		route        routes.Route
		promptTokens int // 0: no prompts
	}{
		"safe":             {routes.Route{Kind: routes.Safe}, 0},
		"unsafe":           {routes.Route{Kind: routes.Unsafe}, 0},
		"stream":           {routes.Route{Kind: routes.Stream}, 0},
		"resumable stream": {routes.Route{Kind: routes.Stream, Resumable: true}, 0},
		"short prompts":    {routes.Route{Kind: routes.Stream, Resumable: true}, 300},
		"long prompts":     {routes.Route{Kind: routes.Stream, Resumable: true}, 17_000},
	} {
		for name, mode := range modes {
			for _, count := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, %s, %d of 4", kind, name, count), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(t, 4, 18, c.route)
						if c.promptTokens > 0 {
							f.serveModel(c.promptTokens)
						}
						runPartition(f, count, mode).check(t)
						f.checkDirect()
						if !c.route.Repeatable() {
							f.checkRunsOnce()
						}
					})
				})
			}
		}
	}
}

// Guards against callers of a whole zone, or of all zones but one, that are refused because
// daemons ask only those for help that are cut off as well.
func TestZonesCutFromAllEndpointsServeTheirCallers(t *testing.T) {
	for _, zones := range []int{1, 2} {
		for name, mode := range map[string]cutMode{"silent": cutSilent, "reset": cutReset} {
			t.Run(fmt.Sprintf("%s, %d of 3 zones", name, zones), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					const zoneDaemons = 8
					f := newFleetOfZones(t, 3*zoneDaemons, 18, routes.Route{Kind: routes.Unsafe}, func(daemon int) fleet.ZoneID {
						return fleet.ZoneID(fmt.Sprint("z", daemon/zoneDaemons))
					})
					runPartition(f, zones*zoneDaemons, mode).check(t)
					f.checkDirect()
					f.checkRunsOnce()
				})
			})
		}
	}
}

// Guards against a request that runs twice, or an endpoint that is taken for sick, because
// the daemon that relays it falls silent or ends.
func TestLostHelperIsNoFailureOfTheEndpoint(t *testing.T) {
	for name, end := range map[string]func(f *simulatedFleet, helper int){
		"ends":             func(f *simulatedFleet, helper int) { f.closePeers(helper) },
		"is cut off later": func(f *simulatedFleet, helper int) { f.cut(helper, cutReset) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4, 18, routes.Route{Kind: routes.Unsafe})
				time.AfterFunc(7*time.Second, func() { end(f, 1) })
				runPartition(f, 1, cutReset).check(t)
				f.checkRunsOnce()
			})
		})
	}
}

// Guards against daemons that relay for each other in a loop while none reaches endpoints,
// and against callers that wait for their deadline then.
func TestRefusesAtOnceWhileNoDaemonReachesEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 18, routes.Route{Kind: routes.Safe})
		for d := range f.daemons {
			f.cut(d, cutReset)
		}
		for at := range 200 {
			began := time.Now()
			got := f.request(f.randomDaemon(), fleetKey, fmt.Sprint("ordinary ", at))
			if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
				t.Fatalf("answered with %d %q", got.Code, got.Body)
			}
			if took := time.Since(began); took > 300*time.Millisecond {
				t.Errorf("refused only after %v", took)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for d := range f.daemons {
			f.cut(d, notCut)
		}
		time.Sleep(2 * time.Second)
		if got := f.request(0, fleetKey, "ordinary"); got.Code != http.StatusOK {
			t.Errorf("answered with %d %q after the cut", got.Code, got.Body)
		}
		f.checkDirect()
	})
}
