package router

import (
	"fmt"
	"net/http"
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
	var all sync.WaitGroup
	step := time.Duration(float64(time.Second) / l.perSecond)
	for at := time.Duration(0); at < l.lasts; at += step {
		all.Go(func() {
			time.Sleep(at)
			got := f.ask(f.someDaemon(), fleetKey, fmt.Sprint("ordinary ", at))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.asked++
			if got.Code != http.StatusOK {
				l.unserved++
			}
		})
	}
	all.Wait()
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
