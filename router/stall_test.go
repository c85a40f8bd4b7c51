package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/routes"
)

const (
	stallBegins   = 3 * time.Second
	stallLasts    = 9 * time.Second // of the load
	stallInterval = 40 * time.Millisecond
	stallEvents   = 10
	stallGap      = 250 * time.Millisecond
)

// stallRun is a run of a fleet whose engines stall in streams from stallBegins on.
type stallRun struct {
	control      bool // Settings.OverloadControl
	tokens       int  // of the prompts; 0: plain endpoints
	notResumable bool
	short        bool // the service has too little capacity
	engines      int  // that stall, those with the most requests first
	event        int  // before which they stall
	stall        time.Duration
	frozen       bool // they stall once, before any event, for stall after stallBegins
}

// stallResult counts the streams of a stallRun that began after stallBegins.
type stallResult struct {
	sent, whole, moved int
	wrong              []string // answers with an event that is repeated, missing or out of order
	longest            time.Duration
	stalls             map[string]int64 // by verdict
}

func (s stallRun) run(t *testing.T) stallResult {
	f := newFleet(t, 2, 6, routes.Route{Kind: routes.Stream, Resumable: !s.notResumable, EventGap: stallGap})
	f.overloadControl = s.control
	counters := tally.NewTestScope("", nil)
	f.configure = func(r *Router) {
		r.metrics.scope = counters
		r.serviceShort = func(*forward.PlacementRequest) bool { return s.short }
	}
	for i := range f.daemons {
		f.startDaemon(i)
	}
	if s.tokens > 0 {
		f.serveModel(s.tokens)
	}
	var stalling sync.Map // endpoints that stall, from stallBegins on
	for _, e := range f.endpoints {
		e.events = stallEvents
		e.pauseBefore = func(event int) time.Duration {
			switch until, stalls := stalling.Load(e); {
			case stalls && s.frozen:
				return max(time.Until(until.(time.Time)), 0)
			case stalls && event == s.event:
				return s.stall
			}
			return 0
		}
	}
	time.AfterFunc(stallBegins, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		// Prompts of one length use some of the engines only.
		most := slices.Clone(f.endpoints)
		slices.SortFunc(most, func(a, b *simulatedEndpoint) int { return len(b.arrivals) - len(a.arrivals) })
		for _, e := range most[:s.engines] {
			stalling.Store(e, time.Now().Add(s.stall))
		}
	})
	var whole strings.Builder
	for i := range stallEvents {
		fmt.Fprintf(&whole, "id: %d\ndata: v1\n\n", i)
	}
	var mu sync.Mutex
	var out stallResult
	started := time.Now()
	f.sendLoad(stallInterval, stallLasts, func(at time.Duration, got *httptest.ResponseRecorder) {
		mu.Lock()
		defer mu.Unlock()
		if body := got.Body.String(); got.Code == http.StatusOK && !strings.HasPrefix(whole.String(), body) {
			out.wrong = append(out.wrong, body)
		}
		if at < stallBegins {
			return
		}
		out.sent++
		if got.Body.String() == whole.String() {
			out.whole++
			out.longest = max(out.longest, time.Since(started)-at)
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]int{}
	for _, e := range f.endpoints {
		for _, a := range e.arrivals {
			if a.ran {
				seen[a.body]++
			}
		}
	}
	for _, n := range seen {
		out.moved += n - 1
	}
	out.stalls = map[string]int64{}
	for _, c := range counters.Snapshot().Counters() {
		if c.Name() == "stream_stalls" {
			out.stalls[c.Tags()["result"]] += c.Value()
		}
	}
	return out
}

// Guards against streams that wait for an engine that has stalled until their deadline while
// other engines are idle, against events that are lost or repeated by the move, and against
// moves that are not allowed or of no use.
func TestStalledStreamsContinueElsewhere(t *testing.T) {
	const forever = time.Minute
	for _, c := range []struct {
		name  string
		run   stallRun
		moves bool
	}{
		{"before the first event", stallRun{control: true, engines: 1, stall: forever}, true},
		{"in mid-stream", stallRun{control: true, engines: 1, event: 5, stall: forever}, true},
		{"in mid-stream, for a while", stallRun{control: true, engines: 1, event: 5, stall: time.Second}, true},
		{"short prompts, before the first event", stallRun{control: true, tokens: 300, engines: 1, stall: forever}, true},
		{"short prompts, in mid-stream", stallRun{control: true, tokens: 300, engines: 1, event: 5, stall: forever}, true},
		{"long prompts, in mid-stream", stallRun{control: true, tokens: 8000, engines: 1, event: 5, stall: forever}, true},
		{"all slow before the first event", stallRun{control: true, engines: 6, stall: time.Second}, false},
		{"all frozen", stallRun{control: true, engines: 6, frozen: true, stall: time.Second}, false},
		{"one frozen", stallRun{control: true, engines: 1, frozen: true, stall: time.Second}, true},
		{"not resumable", stallRun{control: true, notResumable: true, engines: 1, event: 5, stall: time.Second}, false},
		{"service short", stallRun{control: true, short: true, engines: 1, event: 5, stall: time.Second}, false},
		{"disabled", stallRun{engines: 1, event: 5, stall: time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				got := c.run.run(t)
				t.Logf("%d of %d streams whole, the longest %v, %d moved, %v", got.whole, got.sent, got.longest, got.moved, got.stalls)
				if len(got.wrong) > 0 {
					t.Errorf("%d wrong answers, the first %q", len(got.wrong), got.wrong[0])
				}
				if !c.moves {
					if got.moved > 0 {
						t.Errorf("%d streams were moved", got.moved)
					}
					if got.whole < got.sent {
						t.Errorf("%d of %d streams are whole", got.whole, got.sent)
					}
					return
				}
				// Without moves, an engine that stalls for long leaves 43 to 147 of 150 streams whole.
				if got.moved == 0 || got.moved != int(got.stalls["moved"]) || got.whole < got.sent*4/5 {
					t.Errorf("%d of %d streams are whole, %d were moved", got.whole, got.sent, got.moved)
				}
				if lost := got.sent - got.whole; lost > int(got.stalls["no_budget"]) {
					t.Errorf("%d streams were lost, stalls %v", lost, got.stalls)
				}
			})
		})
	}
}
