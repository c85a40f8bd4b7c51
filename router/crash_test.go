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

// crashingLoad repeats a request that crashes every endpoint that runs it, in addition
// to ordinary requests.
type crashingLoad struct {
	crashInterval    time.Duration // between two repeats of the crashing request
	ordinaryInterval time.Duration // between two ordinary requests
	duration         time.Duration

	mu           sync.Mutex
	ordinarySent int // ordinary requests
	unserved     int
	lateUnserved int // unserved requests that were sent after the settling time
}

// run sends the load to random daemons and returns when all requests were answered.
func (l *crashingLoad) run(f *simulatedFleet) {
	var all sync.WaitGroup
	for at := time.Duration(0); at < l.duration; at += l.crashInterval {
		all.Go(func() {
			time.Sleep(at)
			f.request(f.randomDaemon(), fleetKey, crashBody)
		})
	}
	f.sendLoad(l.ordinaryInterval, l.duration, func(at time.Duration, got *httptest.ResponseRecorder) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ordinarySent++
		if got.Code != http.StatusOK {
			l.unserved++
			if at > 2*fleetSettleTime+fleetRestartTime {
				l.lateUnserved++
			}
		}
	})
	all.Wait()
}

// crashArrivals returns the times at which the crashing request reached endpoints, and
// the time at which the third endpoint crashed, which is zero if fewer did.
func (f *simulatedFleet) crashArrivals() (reached []time.Time, third time.Time) {
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
				ends = append(ends, a.at.Add(fleetServiceTime))
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

// countAfter returns the number of times in the sorted list that are after the given one.
func countAfter(all []time.Time, than time.Time) int {
	at, _ := slices.BinarySearchFunc(all, than, func(a, b time.Time) int {
		return cmp.Compare(a.UnixNano(), b.UnixNano())
	})
	return len(all) - at
}

// Guards against a request that crashes one endpoint after another because its caller
// repeats it with new attempt ids at other daemons.
func TestQuarantinesRequestThatCrashesEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		route           routes.Route
		hostUnreachable bool
	}{
		"resumable stream":  {routes.Route{Kind: routes.Stream, Resumable: true}, false},
		"stream":            {routes.Route{Kind: routes.Stream}, false},
		"safe":              {routes.Route{Kind: routes.Safe}, false},
		"unsafe":            {routes.Route{Kind: routes.Unsafe}, false},
		"hosts unreachable": {routes.Route{Kind: routes.Safe}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 9, 18, c.route)
				for _, e := range f.endpoints {
					e.hostUnreachable = c.hostUnreachable
				}
				l := crashingLoad{crashInterval: 200 * time.Millisecond, ordinaryInterval: 20 * time.Millisecond, duration: 30 * time.Second}
				l.run(f)
				if got := f.request(0, fleetKey, crashBody); got.Code != http.StatusServiceUnavailable || got.Body.String() != "quarantined\n" || got.Header().Get("Retry-After") == "" {
					t.Errorf("a repeat of the crashing request was answered with %d %q %v", got.Code, got.Body, got.Header())
				}
				if got := f.request(0, "other", "ordinary"); got.Code != http.StatusOK {
					t.Errorf("another organisation's request was answered with %d %q", got.Code, got.Body)
				}
				reached, third := f.crashArrivals()
				if third.IsZero() {
					t.Fatal("fewer than three endpoints crashed")
				}
				after := countAfter(reached, third.Add(fleetSettleTime))
				t.Logf("reached endpoints %d times, %d after the settling time; %d of %d other requests not served, %d of them after the settling time", len(reached), after, l.unserved, l.ordinarySent, l.lateUnserved)
				if after > 3 {
					t.Errorf("reached endpoints %d times after the settling time", after)
				}
				if l.lateUnserved > 0 {
					t.Errorf("%d ordinary requests were not served after the settling time", l.lateUnserved)
				}
			})
		})
	}
}

// Guards against quarantining a request that many callers send because it was running at
// endpoints that crashed together for another reason.
func TestServesFrequentRequestAfterManyEndpointsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 18, routes.Route{Kind: routes.Stream, Resumable: true})
		var all sync.WaitGroup
		var mu sync.Mutex
		quarantined := 0
		for at := time.Duration(0); at < 10*time.Second; at += 5 * time.Millisecond {
			all.Go(func() {
				time.Sleep(at)
				if got := f.request(f.randomDaemon(), fleetKey, "hot"); got.Body.String() == "quarantined\n" {
					mu.Lock()
					quarantined++
					mu.Unlock()
				}
			})
		}
		time.Sleep(4 * time.Second)
		for _, e := range f.endpoints[:9] {
			e.crash(0)
		}
		all.Wait()
		if quarantined > 0 {
			t.Errorf("%d requests were quarantined", quarantined)
		}
	})
}

// Guards against treating an answer that an endpoint truncated as a crash of the endpoint.
func TestTruncatedAnswersCauseNoQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 6, routes.Route{Kind: routes.Safe})
		for range 20 {
			f.request(f.randomDaemon(), fleetKey, truncatedBody)
			time.Sleep(100 * time.Millisecond)
		}
		if got := f.request(0, fleetKey, truncatedBody); got.Body.String() == "quarantined\n" {
			t.Error("the request was quarantined")
		}
	})
}
