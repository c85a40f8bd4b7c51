package router

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/quota"
	"github.com/merlindock/merlindock/routes"
)

// unevenLoad is a steady load of which most goes to one daemon for a while, and then most to
// another one.
type unevenLoad struct {
	daemons, endpoints int
	fraction           float64 // of what the slots bear
	reports            bool    // endpoints report their load
	brittle            *float64
	limit              *float64       // that endpoints report, in requests/s
	quota              float64        // of the organisation, as a multiple of the load; 0: none
	promptTokens       int            // 0: plain requests
	refusals           map[string]int // codes of unserved requests by phase
	failing            float64        // fraction of the requests that endpoints fail
}

const (
	unevenEven    = 8 * time.Second // before most requests go to one daemon
	unevenFirst   = 8 * time.Second // while they go to the first one
	unevenSecond  = 8 * time.Second // and to the second one
	unevenSlots   = 8
	unevenRoom    = 2
	unevenService = 60 * time.Millisecond
	unevenShare   = 0.95 // of the requests that one daemon gets
)

// run sends the load and returns, for the phases, how many requests were sent and served.
// The first fleetSettleTime of a phase does not count.
func (l *unevenLoad) run(t *testing.T) (sent, served [3]int) {
	f := newFleet(t, l.daemons, l.endpoints, routes.Route{Kind: routes.Safe})
	for _, e := range f.endpoints {
		e.capacity = newCapacity(f, unevenSlots, unevenRoom, unevenService)
		e.capacity.reportsNothing, e.capacity.rejectionLimit = !l.reports, l.brittle
		e.failing = l.failing
		e.setLimit(l.limit)
	}
	perSecond := l.fraction * float64(l.endpoints*unevenSlots) / unevenService.Seconds()
	if l.quota > 0 {
		f.limitOrganisation(quota.Limit{PerSecond: l.quota * perSecond, Burst: l.quota * perSecond})
	}
	if l.promptTokens > 0 {
		f.serveModel(l.promptTokens)
	}
	step := time.Duration(float64(time.Second) / perSecond)
	var waits sync.WaitGroup
	var mu sync.Mutex
	for at := time.Duration(0); at < unevenEven+unevenFirst+unevenSecond; at += step {
		time.Sleep(step) // here, so that only requests under way have goroutines
		waits.Go(func() {
			phase, since := 0, at
			daemon := f.randomDaemon()
			for n, lasts := range []time.Duration{unevenEven, unevenFirst} {
				if since >= lasts && phase == n {
					phase, since = n+1, since-lasts
				}
			}
			if phase > 0 && f.draw() < unevenShare {
				daemon = (phase - 1) % l.daemons
			}
			got := f.request(daemon, fleetKey, fmt.Sprint("ordinary ", at))
			mu.Lock()
			defer mu.Unlock()
			if since >= fleetSettleTime {
				sent[phase]++
				if got.Code == http.StatusOK {
					served[phase]++
				} else {
					l.refusals[fmt.Sprint(phase, " ", strings.TrimSpace(got.Body.String()))]++
				}
			}
		})
	}
	waits.Wait()
	return sent, served
}

// limitOrganisation sets the rate limit of the organisation at all daemons.
func (f *simulatedFleet) limitOrganisation(limit quota.Limit) {
	org := f.table.Organisations[fleetKey]
	org.Limit, org.QuotaKey = limit, quota.KeyOf(org.Name)
	for _, r := range f.daemons {
		r.limits.setLimits(f.table)
		go r.limits.run(f.ctx)
	}
}

// Guards against callers who are served worse because most connections lead to one daemon,
// whose parts of limits, budgets and observed state are those of an equal share.
func TestDaemonWithMostConnectionsServesAsOften(t *testing.T) {
	brittle, limit := 5.0, 80.0
	for name, l := range map[string]unevenLoad{
		"endpoints report load":       {daemons: 6, endpoints: 6, fraction: 0.5, reports: true},
		"near capacity":               {daemons: 6, endpoints: 6, fraction: 0.85, reports: true},
		"24 daemons":                  {daemons: 24, endpoints: 12, fraction: 0.5, reports: true},
		"brittle endpoints":           {daemons: 6, endpoints: 6, fraction: 0.5, reports: true, brittle: &brittle},
		"24 daemons, brittle":         {daemons: 24, endpoints: 12, fraction: 0.5, reports: true, brittle: &brittle},
		"endpoints with limits":       {daemons: 6, endpoints: 6, fraction: 0.5, reports: true, limit: &limit},
		"24 daemons, limits":          {daemons: 24, endpoints: 12, fraction: 0.5, reports: true, limit: &limit},
		"organisation near its limit": {daemons: 6, endpoints: 6, fraction: 0.5, reports: true, quota: 1.1},
		"prompts":                     {daemons: 6, endpoints: 12, fraction: 0.4, reports: true, promptTokens: 120},
		"long prompts":                {daemons: 6, endpoints: 12, fraction: 0.05, reports: true, promptTokens: 9000},
		"endpoints fail some":         {daemons: 6, endpoints: 6, fraction: 0.5, reports: true, failing: 0.1},
	} {
		t.Run(name, func(t *testing.T) { l.check(t) })
	}
}

// Guards against the same where endpoints do not report their load.
func TestDaemonWithMostConnectionsServesAsOftenWithoutLoads(t *testing.T) {
	l := unevenLoad{daemons: 6, endpoints: 6, fraction: 0.5}
	l.check(t)
}

func (l unevenLoad) check(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l.refusals = map[string]int{}
		sent, served := l.run(t)
		t.Logf("%d of %d served evenly, %d of %d and %d of %d while most go to one daemon; refusals by phase %v", served[0], sent[0], served[1], sent[1], served[2], sent[2], l.refusals)
		for phase := 1; phase < len(sent); phase++ {
			if 4*served[phase]*sent[0] < 3*served[0]*sent[phase] {
				t.Errorf("%d of %d requests served while most go to one daemon, %d of %d before", served[phase], sent[phase], served[0], sent[0])
			}
		}
	})
}
