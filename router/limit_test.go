package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/routes"
)

// What an endpoint that names a limit may get in limitWindow, and from when on.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// limitLoad is a steady load while endpoints name limits.
type limitLoad struct {
	perSecond float64
	lasts     time.Duration

	mu       sync.Mutex
	asked    int
	unserved int
}

func (l *limitLoad) play(f *memoryFleet) {
	step := time.Duration(float64(time.Second) / l.perSecond)
	f.load(step, l.lasts, func(_ time.Duration, got *httptest.ResponseRecorder) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asked++
		if got.Code != http.StatusOK {
			l.unserved++
		}
	})
}

// name has an endpoint name a limit from now on; nil: none.
func (e *memoryEndpoint) name(limit *float64) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	e.limit = limit
}

// most is the largest number of requests that reached the endpoint within the window
// between two moments, and all is their number.
func (e *memoryEndpoint) most(from, to time.Time) (most, all int) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	first := 0
	for i, a := range e.arrivals {
		for a.at.Sub(e.arrivals[first].at) > limitWindow || e.arrivals[first].at.Before(from) {
			if first++; first > i {
				break
			}
		}
		if first <= i && !a.at.After(to) {
			most, all = max(most, i-first+1), all+1
		}
	}
	return most, all
}

func allowed(limit float64) int {
	return int(limitOverage*limit*limitWindow.Seconds()) + limitSlack
}

// Guards against each daemon keeping to an endpoint's limit alone, or not at all, so
// that the endpoint gets many times what it takes.
func TestLimitOfAnEndpointHoldsOverAllDaemons(t *testing.T) {
	for _, c := range []struct {
		daemons, endpoints int
		limit, perSecond   float64
	}{
		{6, 3, 22, 120},
		{6, 18, 1, 60},
		{9, 3, 1, 60},
		{9, 6, 0.2, 60},
		{3, 2, 5, 40},
		{73, 9, 10, 300},
		{73, 9, 1, 300},
	} {
		t.Run(fmt.Sprintf("%d daemons limit %g", c.daemons, c.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, c.daemons, c.endpoints, routes.Route{Kind: routes.Stream, Resumable: true})
				time.AfterFunc(2*time.Second, func() { f.endpoints[0].name(&c.limit) })
				bound := time.Now().Add(2*time.Second + fleetStable)
				l := limitLoad{perSecond: c.perSecond, lasts: 20 * time.Second}
				l.play(f)
				most, all := f.endpoints[0].most(bound, time.Now())
				t.Logf("at most %d in %v, allowed %d; %.2f a second of %g; %d of %d not served", most, limitWindow, allowed(c.limit), float64(all)/15, c.limit, l.unserved, l.asked)
				if most > allowed(c.limit) {
					t.Errorf("got %d requests in %v, allowed %d", most, limitWindow, allowed(c.limit))
				}
				if l.unserved > 0 {
					t.Errorf("%d requests were not served while other endpoints had room", l.unserved)
				}
			})
		})
	}
}

// Guards against turning callers away, or leaving endpoints idle, while all endpoints
// of a service name limits below what is asked of them.
func TestEndpointsAtTheirLimitsAreUsedToThem(t *testing.T) {
	for _, daemons := range []int{6, 73} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, count = 20.0, 4
				f := newFleet(t, daemons, count, routes.Route{Kind: routes.Safe})
				for _, e := range f.endpoints {
					rate := limit
					e.name(&rate)
				}
				bound := time.Now().Add(fleetStable)
				l := limitLoad{perSecond: 2 * limit * count, lasts: 15 * time.Second}
				l.play(f)
				for i, e := range f.endpoints {
					most, all := e.most(bound, time.Now())
					t.Logf("endpoint %d: at most %d in %v, %.1f a second", i, most, limitWindow, float64(all)/12)
					if most > allowed(limit) {
						t.Errorf("endpoint %d got %d in %v, allowed %d", i, most, limitWindow, allowed(limit))
					}
					if rate := float64(all) / 12; rate < 0.8*limit {
						t.Errorf("endpoint %d got %.1f a second of %g", i, rate, limit)
					}
				}
			})
		})
	}
}

// Guards against a limit that goes on after the endpoint has stopped naming it, and
// against one that was lowered and is kept as it was.
func TestChangedLimitIsKeptAndItsEndIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 3, routes.Route{Kind: routes.Stream, Resumable: true})
		e := f.endpoints[0]
		high, low, zero := 20.0, 2.0, 0.0
		e.name(&high)
		began := time.Now()
		time.AfterFunc(8*time.Second, func() { e.name(&low) })
		time.AfterFunc(16*time.Second, func() { e.name(&zero) })
		time.AfterFunc(40*time.Second, func() { e.name(nil) })
		l := limitLoad{perSecond: 60, lasts: 70 * time.Second}
		l.play(f)
		at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
		for _, c := range []struct {
			from, to int
			limit    float64
		}{{3, 8, high}, {11, 16, low}, {19, 40, zero}} {
			if most, _ := e.most(at(c.from), at(c.to)); most > allowed(c.limit) {
				t.Errorf("from %d to %d s: %d in %v, allowed %d", c.from, c.to, most, limitWindow, allowed(c.limit))
			}
		}
		if _, all := e.most(at(60), at(70)); all < 100 {
			t.Errorf("%d requests in 10 s after the limit was over", all)
		}
		if l.unserved > 0 {
			t.Errorf("%d requests were not served", l.unserved)
		}
	})
}

// Guards against daemons that pass a limit together after a restart, a cut or a freeze
// of some of them, or after an endpoint is back under another id.
func TestLimitHoldsWhileDaemonsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 9
		f := newFleet(t, daemons, 3, routes.Route{Kind: routes.Stream, Resumable: true})
		e, limit := f.endpoints[0], 15.0
		e.name(&limit)
		bound := time.Now().Add(fleetStable)
		time.AfterFunc(5*time.Second, func() {
			f.mu.Lock()
			for i := range 4 {
				f.cut[daemonAddress(i)] = true
			}
			f.mu.Unlock()
		})
		time.AfterFunc(12*time.Second, func() {
			f.mu.Lock()
			clear(f.cut)
			f.mu.Unlock()
		})
		for i := range daemons {
			time.AfterFunc(time.Duration(15+i)*time.Second, func() { f.startDaemon(i) })
		}
		l := limitLoad{perSecond: 90, lasts: 30 * time.Second}
		l.play(f)
		most, all := e.most(bound, time.Now())
		t.Logf("at most %d in %v, allowed %d; %.1f a second", most, limitWindow, allowed(limit), float64(all)/27)
		if most > allowed(limit) {
			t.Errorf("got %d requests in %v, allowed %d", most, limitWindow, allowed(limit))
		}
	})
}
