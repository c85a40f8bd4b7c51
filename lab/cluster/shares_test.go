package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/manifest"
)

// Traffic of the two organisations.
const (
	otherKey        = "key-tsukushi"
	promptTokens    = 500
	trafficDuration = 5 * time.Second
	maxQueueWait    = 2 * time.Second // of a standard request
)

// tenants counts the results of callers of two organisations with equal shares. The
// keys of its maps are an API key and a priority, except in refusedIDs.
type tenants struct {
	c *Cluster

	mu         sync.Mutex // guards what follows
	served     map[string]int
	refused    map[string]int
	slowest    map[string]time.Duration // latency of a served request
	refusedIDs map[string]bool          // of refused requests
	violations []string
	running    sync.WaitGroup
}

// ask sends one prompt that is in no cache and counts the result. A refusal must come
// within maxQueueWait, with the outcome "not run" and a Retry-After header.
func (s *tenants) ask(t *testing.T, n int, key, priority string) {
	began := time.Now()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":2,"messages":[{"role":"user","content":%q}]}`,
		Model, fmt.Sprintf("%s %d ", key, n)+strings.Repeat("word", promptTokens))
	a := s.c.post(t, n%3, "/v1/chat/completions", body,
		"Authorization", "Bearer "+key, gateway.HeaderPriority, priority)
	took := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.status == http.StatusOK && strings.Contains(a.body, "[DONE]") {
		s.served[key+" "+priority]++
		s.slowest[key+" "+priority] = max(s.slowest[key+" "+priority], took)
		return
	}
	s.refused[key+" "+priority]++
	s.refusedIDs[a.header.Get(gateway.HeaderRequest)] = true
	if took > maxQueueWait+100*time.Millisecond || a.header.Get("Retry-After") == "" || a.outcome != gateway.OutcomeNotRun {
		s.violations = append(s.violations, fmt.Sprintf("after %v: %s", took, a))
	}
}

// sendEvery sends requests in the background at a fixed interval for
// trafficDuration.
func (s *tenants) sendEvery(t *testing.T, step time.Duration, key string, priorities ...string) {
	s.running.Go(func() {
		for n := 0; time.Duration(n)*step < trafficDuration; n++ {
			s.running.Go(func() { s.ask(t, n, key, priorities[n/3%len(priorities)]) })
			time.Sleep(step) // virtual
		}
	})
}

// One organisation sends three times its share, over all daemons. The other one stays
// within its share and must be served with little delay. Refused callers must get the
// outcome "not run" and a Retry-After header promptly.
func TestFairSharesUnderOverload(t *testing.T) {
	o := Options{Daemons: 3, Runners: 2, Slots: 6, Prefill: 6 * time.Second / 8000}
	withCluster(t, o, func(t *testing.T, c *Cluster) {
		m := c.Manifest("v1")
		sum := sha256.Sum256([]byte(otherKey))
		m.Organisations = append(m.Organisations, manifest.Organisation{
			ID:         "tsukushi",
			KeyHashes:  []string{hex.EncodeToString(sum[:])},
			Share:      1,
			Priorities: []string{"interactive", "standard"},
		})
		if r, err := c.Publish(t.Context(), 0, 1, m); err != nil || r.Outcome != "accepted" {
			t.Fatalf("%+v, %v", r, err)
		}
		c.waitInForce(t, 2)
		time.Sleep(5 * time.Second) // virtual; until the daemons have each other's reports
		s := &tenants{c: c, refusedIDs: map[string]bool{}, served: map[string]int{}, refused: map[string]int{}, slowest: map[string]time.Duration{}}
		// Two runners prefill 16,000 tokens a second, 16 prompts for each share.
		s.sendEvery(t, time.Second/48, Key, "interactive", "standard")
		s.sendEvery(t, time.Second/12, otherKey, "interactive")
		s.running.Wait()
		t.Logf("served %v, refused %v, slowest %v", s.served, s.refused, s.slowest)
		s.check(t)
	})
}

func (s *tenants) check(t *testing.T) {
	t.Helper()
	for i, f := range s.violations {
		if i < 3 {
			t.Errorf("refused %s", f)
		}
	}
	other := otherKey + " interactive"
	if all := s.served[other] + s.refused[other]; s.served[other] < all*9/10 {
		t.Errorf("%d of %d requests within the share were served", s.served[other], all)
	}
	if slowest := s.slowest[other]; slowest > 1500*time.Millisecond {
		t.Errorf("a request within the share took %v", slowest)
	}
	first, later := s.served[Key+" interactive"], s.served[Key+" standard"]
	if s.refused[Key+" interactive"]+s.refused[Key+" standard"] == 0 || first <= later {
		t.Errorf("of the organisation over its share, %d interactive and %d standard requests were served", first, later)
	}
	for _, r := range s.c.Runners {
		for attempt := range r.Stats().Attempts {
			if id, _, _ := strings.Cut(attempt, "-"); s.refusedIDs[id] {
				t.Errorf("a runner saw attempt %s of a refused request", attempt)
			}
		}
	}
}
