package router

import (
	"cmp"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/routes"
)

// crashLoad is a request that ends the endpoints that run it, sent again and again
// beside ordinary ones.
type crashLoad struct {
	every    time.Duration // between two of its repeats
	ordinary time.Duration // between two ordinary requests
	lasts    time.Duration

	mu       sync.Mutex
	asked    int // ordinary requests
	unserved int
	late     int // of these, sent after the settling time
}

// play sends the load to all daemons.
func (l *crashLoad) play(f *memoryFleet) {
	var all sync.WaitGroup
	for at := time.Duration(0); at < l.lasts; at += l.every {
		all.Go(func() {
			time.Sleep(at)
			f.ask(f.someDaemon(), fleetKey, crashBody)
		})
	}
	f.load(l.ordinary, l.lasts, func(at time.Duration, got *httptest.ResponseRecorder) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asked++
		if got.Code != http.StatusOK {
			l.unserved++
			if at > 2*fleetStable+fleetBack {
				l.late++
			}
		}
	})
	all.Wait()
}

// crashes lists when the request reached endpoints, and when the third of them ended.
func (f *memoryFleet) crashes() (reached []time.Time, third time.Time) {
	var ends []time.Time
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		for _, a := range e.arrivals {
			if a.body != crashBody {
				continue
			}
			reached = append(reached, a.at)
			if a.ran {
				ends = append(ends, a.at.Add(fleetRun))
			}
		}
	}
	slices.SortFunc(reached, time.Time.Compare)
	slices.SortFunc(ends, time.Time.Compare)
	if len(ends) < 3 {
		return reached, time.Time{}
	}
	return reached, ends[2]
}

// later counts the times after the given one.
func later(all []time.Time, than time.Time) int {
	at, _ := slices.BinarySearchFunc(all, than, func(a, b time.Time) int {
		return cmp.Compare(a.UnixNano(), b.UnixNano())
	})
	return len(all) - at
}

// Guards against a request that ends engine after engine because its caller repeats it
// under new ids at other daemons.
func TestRepeatedRequestThatCrashesEndpointsIsKeptFromThem(t *testing.T) {
	for name, c := range map[string]struct {
		route routes.Route
		dark  bool
	}{
		"resumable stream":  {routes.Route{Kind: routes.Stream, Resumable: true}, false},
		"stream":            {routes.Route{Kind: routes.Stream}, false},
		"safe":              {routes.Route{Kind: routes.Safe}, false},
		"unsafe":            {routes.Route{Kind: routes.Unsafe}, false},
		"hosts fall silent": {routes.Route{Kind: routes.Safe}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 9, 18, c.route)
				for _, e := range f.endpoints {
					e.dark = c.dark
				}
				l := crashLoad{every: 200 * time.Millisecond, ordinary: 20 * time.Millisecond, lasts: 30 * time.Second}
				l.play(f)
				if got := f.ask(0, fleetKey, crashBody); got.Code != http.StatusServiceUnavailable || got.Body.String() != "quarantined\n" || got.Header().Get("Retry-After") == "" {
					t.Errorf("a repeat is answered with %d %q %v", got.Code, got.Body, got.Header())
				}
				if got := f.ask(0, "other", "ordinary"); got.Code != http.StatusOK {
					t.Errorf("another organisation's request is answered with %d %q", got.Code, got.Body)
				}
				reached, third := f.crashes()
				if third.IsZero() {
					t.Fatal("no three endpoints ended")
				}
				after := later(reached, third.Add(fleetStable))
				t.Logf("reached endpoints %d times, %d after the settling time; %d of %d others not served, %d of them late", len(reached), after, l.unserved, l.asked, l.late)
				if after > 3 {
					t.Errorf("reached endpoints %d times more", after)
				}
				if l.late > 0 {
					t.Errorf("%d ordinary requests were not served after the settling time", l.late)
				}
			})
		})
	}
}

// Guards against refusing a request that many callers send since it stood at endpoints
// that ended together for another reason.
func TestHotRequestIsServedAfterARackEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 18, routes.Route{Kind: routes.Stream, Resumable: true})
		var all sync.WaitGroup
		var mu sync.Mutex
		held := 0
		for at := time.Duration(0); at < 10*time.Second; at += 5 * time.Millisecond {
			all.Go(func() {
				time.Sleep(at)
				if got := f.ask(f.someDaemon(), fleetKey, "hot"); got.Body.String() == "quarantined\n" {
					mu.Lock()
					held++
					mu.Unlock()
				}
			})
		}
		time.Sleep(4 * time.Second)
		for _, e := range f.endpoints[:9] {
			e.end(0)
		}
		all.Wait()
		if held > 0 {
			t.Errorf("%d requests were held", held)
		}
	})
}

// Guards against taking an answer that an endpoint cut short for the end of the
// endpoint.
func TestEndpointThatCutsAnswersHasNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 6, routes.Route{Kind: routes.Safe})
		for range 20 {
			f.ask(f.someDaemon(), fleetKey, cutBody)
			time.Sleep(100 * time.Millisecond)
		}
		if got := f.ask(0, fleetKey, cutBody); got.Body.String() == "quarantined\n" {
			t.Error("the request is held")
		}
	})
}
