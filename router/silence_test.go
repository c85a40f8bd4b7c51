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
