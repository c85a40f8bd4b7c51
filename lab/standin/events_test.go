package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/prefix"
)

// A runner that reported other keys than the requests' prefix header has, or did
// not report evictions, would make daemons route to endpoints without the prefix.
func TestRunnerReportsStoredAndEvictedPrefixes(t *testing.T) {
	r := NewRunner(RunnerOptions{PieceTokens: 10, CachePieces: 2})
	srv := httptest.NewServer(r)
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+engine.PathEvents, nil)
	resp, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func() engine.CacheEvents {
		var e engine.CacheEvents
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
				if err := json.Unmarshal([]byte(data), &e); err != nil {
					t.Fatal(err)
				}
				return e
			}
		}
		t.Fatal("stream ended")
		return e
	}
	if e := next(); len(e.Events) != 0 || e.Incarnation != 1 {
		t.Fatalf("first message: %+v", e)
	}
	want := map[string]bool{}
	for i := range 2 {
		key := prefix.Key{byte(i + 1)}
		body := fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":%q}]}`, strings.Repeat(fmt.Sprint(i), 80))
		completionReq := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		completionReq.Header.Set(engine.HeaderPrefix, prefix.Format([]prefix.Level{{Key: key, Tokens: 25}}))
		r.ServeHTTP(httptest.NewRecorder(), completionReq)
		want["stored "+key.String()] = true
	}
	want["removed "+prefix.Key{1}.String()] = true
	for len(want) > 0 {
		for _, e := range next().Events {
			text := e.Kind + " " + e.Key.String()
			if !want[text] {
				t.Fatalf("unexpected: %s", text)
			}
			delete(want, text)
		}
	}
}
