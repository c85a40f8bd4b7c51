package router

import (
	"cmp"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
)

// An endpoint that rejected a request with Retry-After may receive backoffAllowed further
// requests of the same daemon between backoffSettleTime after that and the end of the
// time that it asked for.
const (
	backoffSettleTime = 500 * time.Millisecond
	backoffAllowed    = 2
)

// rejectAll makes the endpoint reject all requests with the Retry-After value; empty: it
// serves again.
func (e *simulatedEndpoint) rejectAll(retryAfter string) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	e.retryAfter = retryAfter
}

// busiestEndpoints returns the endpoints in the order of the requests that reached them,
// the busiest first.
func (f *simulatedFleet) busiestEndpoints() []*simulatedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.SortedFunc(slices.Values(f.endpoints), func(a, b *simulatedEndpoint) int { return cmp.Compare(len(b.arrivals), len(a.arrivals)) })
}

// maxDuringBackoff returns the largest number of requests of one daemon that reached the
// endpoint during one backoff that it had asked this daemon for.
func (e *simulatedEndpoint) maxDuringBackoff(backoff time.Duration) int {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	most := 0
	for i, asked := range e.arrivals {
		if !asked.rejected {
			continue
		}
		n := 0
		for _, a := range e.arrivals[i+1:] {
			if after := a.at.Sub(asked.at); a.daemon == asked.daemon && after > backoffSettleTime && after < backoff {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// arrivalsAfter returns the number of requests that reached the endpoint after the time.
func (e *simulatedEndpoint) arrivalsAfter(at time.Time) int {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	n := 0
	for _, a := range e.arrivals {
		if a.at.After(at) {
			n++
		}
	}
	return n
}

// Guards against daemons that repeat requests at an endpoint that asked them to back off,
// and refuse their callers as a result although other endpoints have free capacity.
func TestEndpointIsLeftAloneDuringBackoff(t *testing.T) {
	for _, c := range []struct {
		name               string
		daemons, endpoints int
		rejecting          int
		promptTokens       int // 0: requests without a model
		backoff            time.Duration
	}{
		{"plain", 6, 8, 3, 0, 3 * time.Second},
		{"most endpoints", 6, 8, 6, 0, 3 * time.Second},
		{"short prompts", 6, 16, 5, 300, 3 * time.Second},
		{"long prompts placed by a dispatcher", 6, 16, 5, 12_000, 3 * time.Second},
		{"long backoff", 3, 6, 2, 0, 20 * time.Second},
		{"fraction of a second", 3, 6, 2, 0, 800 * time.Millisecond},
		{"one daemon", 1, 4, 3, 300, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, c.daemons, c.endpoints, routes.Route{Kind: routes.Stream, Resumable: true})
				if c.promptTokens > 0 {
					f.serveModel(c.promptTokens)
				}
				var rejecting []*simulatedEndpoint
				time.AfterFunc(2*time.Second, func() {
					rejecting = f.busiestEndpoints()[:c.rejecting]
					for _, e := range rejecting {
						e.rejectAll(strconv.FormatFloat(c.backoff.Seconds(), 'f', -1, 64))
					}
				})
				time.AfterFunc(10*time.Second, func() {
					for _, e := range rejecting {
						e.rejectAll("")
					}
				})
				serving := time.Now().Add(10*time.Second + c.backoff)
				var mu sync.Mutex
				unserved, lateUnserved := 0, 0
				f.sendLoad(15*time.Millisecond, 14*time.Second+c.backoff, func(at time.Duration, got *httptest.ResponseRecorder) {
					mu.Lock()
					defer mu.Unlock()
					if got.Code != http.StatusOK {
						unserved++
						if at > 3*time.Second {
							lateUnserved++
						}
					}
				})
				for i, e := range rejecting {
					most := e.maxDuringBackoff(c.backoff)
					t.Logf("endpoint %d: %d requests of one daemon during a backoff, %d after the end", i, most, e.arrivalsAfter(serving))
					if most > backoffAllowed {
						t.Errorf("%d requests of one daemon during a backoff, allowed %d", most, backoffAllowed)
					}
				}
				// A prompt's prefix stays with the endpoint that read it meanwhile.
				if c.promptTokens == 0 && rejecting[0].arrivalsAfter(serving) == 0 {
					t.Error("the busiest endpoint got no requests after its backoff")
				}
				t.Logf("%d requests were not served, %d of them a second after the first rejection", unserved, lateUnserved)
				if c.backoff > time.Second && lateUnserved > c.rejecting*c.daemons {
					t.Errorf("%d requests were not served while other endpoints had free capacity", lateUnserved)
				}
			})
		})
	}
}

// Guards against callers that wait for their deadline, or all return in one instant, or
// before an endpoint takes requests again, when all endpoints asked for a backoff.
func TestAllEndpointsBackingOffIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, routes.Route{Kind: routes.Safe})
		for i, e := range f.endpoints {
			e.rejectAll(strconv.Itoa(3 + i))
		}
		asked := time.Now()
		f.request(0, fleetKey, "both endpoints reject it")
		returns := map[string]bool{}
		for range 20 {
			began := time.Now()
			got := f.request(0, fleetKey, "refused")
			if took := time.Since(began); took > 50*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
			after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			back := time.Since(asked) + time.Duration(after*float64(time.Second))
			if got.Code != http.StatusServiceUnavailable || err != nil || back < 3*time.Second || back > 3600*time.Millisecond {
				t.Errorf("status %d, returns %v after the first rejection, error %v", got.Code, back, err)
			}
			returns[got.Header().Get("Retry-After")] = true
			time.Sleep(10 * time.Millisecond)
		}
		if len(returns) < 10 {
			t.Errorf("20 callers return at %d times", len(returns))
		}
	})
}

// Guards against a dispatcher that stops its own requests for a backoff that an endpoint
// asked another daemon for, and against one that chooses such an endpoint for that daemon.
func TestBackoffConcernsOneDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newDispatchCluster(t, 2, 4)
		other, dispatcher := c.daemons[0], c.daemons[1]
		req := c.longPrompt(other, "part")
		if to, ok := other.dispatcher(other.groupOf(req)); ok && to == other.self {
			other, dispatcher = dispatcher, other
		}
		p := c.place(t, other, "part")
		if p.Notes.Dispatcher == "" {
			t.Fatal("the dispatcher did not place the prompt")
		}
		other.AnswerStarted(&p, &forward.AnswerInfo{NotRun: true, Backoff: time.Minute})
		other.AttemptEnded(&p, forward.AttemptEnd{NotRun: true, Failure: retry.NotRun})
		if got := other.unavailable(req); len(got) != 1 || got[0] != p.Target.Key {
			t.Errorf("the daemon backs off from %v", got)
		}
		if got := dispatcher.unavailable(req); len(got) != 0 {
			t.Errorf("the dispatcher backs off from %v", got)
		}
		time.Sleep(2 * refusalSuspension)
		dispatcher.state.refresh(time.Now())
		if again := c.place(t, other, "part"); again.Target.Key == p.Target.Key || again.Notes.Dispatcher == "" {
			t.Errorf("placed on %s by %q", again.Target.Key, again.Notes.Dispatcher)
		}
	})
}

// Guards against an announcement or a backoff that is taken for that of the endpoint a
// request was meant for, while another one answers at its address.
func TestMisplacedAnswerSaysNothingOfItsTarget(t *testing.T) {
	c := newDispatchCluster(t, 1, 2)
	d := c.daemons[0]
	p := c.place(t, d, "part")
	d.AnswerStarted(&p, &forward.AnswerInfo{NotRun: true, Misplaced: true, Leaving: true, Backoff: time.Minute})
	d.state.refresh(time.Now())
	if d.state.roster.Find(p.Target.Key) == nil || len(d.unavailable(c.longPrompt(d, "part"))) > 0 {
		t.Error("the endpoint counts as leaving or in a backoff")
	}
	d.AnswerStarted(&p, &forward.AnswerInfo{NotRun: true, Misplaced: true, Leaving: true, EndpointID: p.Target.ID})
	d.state.refresh(time.Now())
	if d.state.roster.Find(p.Target.Key) != nil {
		t.Error("an announcement that names the endpoint is ignored")
	}
}
