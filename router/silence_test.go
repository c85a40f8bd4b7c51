package router

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/routes"
)

// Guards against prompts that are refused as overloaded for seconds after engines that were
// silent for a moment answer at once again.
func TestEnginesAreUsedAgainAfterSilence(t *testing.T) {
	const (
		begins   = 3 * time.Second
		silence  = 1400 * time.Millisecond
		settle   = time.Second // after the silence, by then the engines have answered all prompts
		lasts    = 12 * time.Second
		interval = 100 * time.Millisecond
	)
	for name, tokens := range map[string]int{"short prompts": 300, "long prompts": 8000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 2, routes.Route{Kind: routes.Stream, Resumable: true})
				f.serveModel(tokens)
				time.AfterFunc(begins, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					for _, e := range f.endpoints {
						e.silentUntil = time.Now().Add(silence)
					}
				})
				var mu sync.Mutex
				late, refused, failed := 0, 0, 0
				f.sendLoad(interval, lasts, func(at time.Duration, got *httptest.ResponseRecorder) {
					mu.Lock()
					defer mu.Unlock()
					switch {
					case at >= begins+silence+settle:
						late++
						if got.Code != http.StatusOK {
							refused++
						}
					case got.Code != http.StatusOK && got.Code != http.StatusServiceUnavailable:
						failed++
					}
				})
				t.Logf("%d of %d prompts refused later than %v after the silence, %d others lost", refused, late, settle, failed)
				if refused > 0 || failed > 0 {
					t.Errorf("%d of %d prompts were refused later than %v after a silence of %v, %d were lost", refused, late, settle, silence, failed)
				}
			})
		})
	}
}

// Guards against prompts of all daemons that are refused as overloaded because the daemon
// that places them is cut off silently, and takes that for waits at the engines.
func TestSilentCutIsNoWaitAtEngines(t *testing.T) {
	const (
		begins   = 3 * time.Second
		settle   = 2 * time.Second
		lasts    = 7 * time.Second
		interval = 25 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, routes.Route{Kind: routes.Stream, Resumable: true})
		f.serveModel(3000)
		dispatcher, _ := f.daemons[0].dispatch.dispatcher("s/" + fleetModel)
		cut := 0
		for f.daemons[cut].options.Settings.Name != dispatcher.Name {
			cut++
		}
		time.AfterFunc(begins, func() { f.cut(cut, cutSilent) })
		var mu sync.Mutex
		sent, refused := 0, 0
		f.sendLoad(interval, lasts, func(at time.Duration, got *httptest.ResponseRecorder) {
			mu.Lock()
			defer mu.Unlock()
			if at < begins+settle {
				return
			}
			sent++
			if got.Code != http.StatusOK {
				refused++
			}
		})
		f.cut(cut, notCut)
		if refused > sent/50 {
			t.Errorf("%d of %d prompts were refused from %v after the dispatcher was cut off silently", refused, sent, settle)
		}
	})
}
