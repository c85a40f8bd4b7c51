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

// Sizes of the endpoints of the tests of even use.
const (
	evenSlots   = 8
	evenRoom    = 3
	evenService = 100 * time.Millisecond
	evenLasts   = 16 * time.Second
	evenCounted = 10 * time.Second // at the end
)

// evenLoad is a steady load on plain endpoints.
type evenLoad struct {
	daemons, endpoints int
	fraction           float64 // of what the slots bear
	reports            bool    // endpoints report their load
	burst              bool    // twice what the slots bear for 2 s, before what is counted
	crashes            bool    // a third of the endpoints crash before what is counted
}

// Guards against services whose endpoints report no load, of which one does all the work, or
// of which all are full at one moment and avoided at the next.
func TestEndpointsAreUsedEvenly(t *testing.T) {
	for _, reports := range []bool{false, true} {
		for _, l := range []evenLoad{
			{daemons: 1, endpoints: 3, fraction: 0.45},
			{daemons: 3, endpoints: 6, fraction: 0.125},
			{daemons: 6, endpoints: 6, fraction: 0.125},
			{daemons: 6, endpoints: 6, fraction: 0.45},
			{daemons: 6, endpoints: 6, fraction: 0.8},
			{daemons: 6, endpoints: 6, fraction: 0.45, burst: true},
			{daemons: 6, endpoints: 6, fraction: 0.45, crashes: true},
			{daemons: 24, endpoints: 12, fraction: 0.45},
			{daemons: 24, endpoints: 12, fraction: 0.8},
		} {
			l.reports = reports
			t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, l.check)
			})
		}
	}
}

func (l evenLoad) check(t *testing.T) {
	f := newFleet(t, l.daemons, l.endpoints, routes.Route{Kind: routes.Safe})
	for _, e := range f.endpoints {
		e.capacity = newCapacity(f, evenSlots, evenRoom, evenService)
		e.capacity.reportsNothing = !l.reports
	}
	borne := float64(l.endpoints*evenSlots) / evenService.Seconds()
	step := time.Duration(float64(time.Second) / (l.fraction * borne))
	counted := evenLasts - evenCounted
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, unserved := 0, 0
	send := func(at time.Duration, count bool) {
		all.Go(func() {
			got := f.request(f.randomDaemon(), fleetKey, fmt.Sprint("ordinary ", at))
			mu.Lock()
			defer mu.Unlock()
			if !count {
				return
			}
			sent++
			if got.Code != http.StatusOK {
				unserved++
			}
		})
	}
	if l.burst {
		all.Go(func() {
			time.Sleep(counted - 3*time.Second)
			for at, step := time.Duration(0), time.Duration(float64(time.Second)/(2*borne)); at < 2*time.Second; at += step {
				time.Sleep(step)
				send(at, false)
			}
		})
	}
	if l.crashes {
		time.AfterFunc(counted-fleetRestartTime-fleetListDelay-2*time.Second, func() {
			for _, e := range f.endpoints[:l.endpoints/3] {
				e.crash(e.incarnation)
			}
		})
	}
	for at := time.Duration(0); at < evenLasts; at += step {
		time.Sleep(step) // here, so that only requests under way have goroutines
		send(at, at >= counted)
	}
	all.Wait()
	most := 0
	for _, e := range f.endpoints {
		n := 0
		f.mu.Lock()
		for _, a := range e.arrivals {
			if a.at.Sub(f.began) >= counted {
				n++
			}
		}
		f.mu.Unlock()
		most = max(most, n)
	}
	t.Logf("%d of %d not served, an endpoint got at most %.2f of its share", unserved, sent, float64(most*l.endpoints)/float64(sent))
	if unserved > sent/200 {
		t.Errorf("%d of %d requests not served", unserved, sent)
	}
	if 2*most*l.endpoints > 3*sent {
		t.Errorf("one of %d endpoints got %d of %d requests", l.endpoints, most, sent)
	}
}
