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
