package cluster

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlindock/merlindock/cacheevents"
	"github.com/merlindock/merlindock/lab/standin"
)

// The defaults keep the test short; docs/measurements/events.md lists the flags of its
// measurement.
var (
	measuredSeeds = flag.Int("events.seeds", 1, "seeds of the measurement of cache events")
	measuredTime  = flag.Duration("events.for", 12*time.Second, "virtual time of the measurement")
	allVariants   = flag.Bool("events.all", false, "also measure events and placement announcements separately")
)

// Parameters of the workload, which is like the demo's but has more documents.
const (
	groupCount          = 8
	groupPreambleTokens = 400 // tokens
	groupDocumentTokens = 1600
	requestRate         = 60.0 // requests/s
	warmUpTime          = 5 * time.Second
	documentsPerGroup   = 12 // of each group at a time
)

var eventOptions = Options{
	Daemons: 9, Runners: 18, PieceTokens: 200, CachePieces: 60,
	Prefill: 125 * time.Microsecond, Decode: 2 * time.Millisecond,
}

// runStats holds the results of one run.
type runStats struct {
	prompt, cached int     // tokens
	bytes, events  float64 // per second and daemon
	gaps           int64
	incomplete     int
}

// documentRequest returns the body of a request on a document. The set of documents
// changes over time: each group replaces one of them every two seconds.
func documentRequest(r *rand.Rand, i int, at time.Duration) string {
	group, slot := r.IntN(groupCount), r.IntN(documentsPerGroup)
	age := (int(at/(2*time.Second)) + slot) / documentsPerGroup
	preamble := fillerText(fmt.Sprintf("preamble-%d", group), groupPreambleTokens)
	document := fillerText(fmt.Sprintf("document-%d-%d-%d", group, slot, age), groupDocumentTokens)
	return fmt.Sprintf(`{"model":%q,"stream":true,"seed":1,"max_tokens":8,"messages":[`+
		`{"role":"system","content":%q},{"role":"user","content":%q},{"role":"user","content":"question %d, in forty tokens or so"}]}`,
		Model, preamble, document, i)
}

// measure runs the workload and returns the results without those of the warm-up.
func measure(t *testing.T, o Options, seed uint64) (w runStats) {
	withCluster(t, o, func(t *testing.T, c *Cluster) {
		time.Sleep(time.Second) // virtual
		r := rand.New(rand.NewPCG(seed, seed))
		var wg sync.WaitGroup
		var mu sync.Mutex
		began := time.Now()
		warm := false
		for i := 0; time.Since(began) < warmUpTime+*measuredTime; i++ {
			if !warm && time.Since(began) >= warmUpTime {
				warm = true
				w.addCounters(c, -1)
			}
			node, body := r.IntN(o.Daemons), documentRequest(r, i, time.Since(began))
			wg.Go(func() {
				a := c.post(t, node, "/v1/chat/completions", body)
				if a.status != http.StatusOK || !strings.Contains(a.body, "[DONE]") {
					mu.Lock()
					w.incomplete++
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(r.ExpFloat64() / requestRate * float64(time.Second))) // virtual
		}
		wg.Wait()
		w.addCounters(c, 1)
	})
	return w
}

// addCounters adds the current counters multiplied by sign.
func (w *runStats) addCounters(c *Cluster, sign int) {
	for _, r := range c.Runners {
		s := r.Stats()
		w.prompt += sign * s.PromptTokens
		w.cached += sign * s.CachedTokens
	}
	per := float64(sign) / measuredTime.Seconds() / float64(len(c.Nodes))
	for i := range c.Nodes {
		s := c.eventStats(i)
		w.bytes += per * float64(s.Bytes)
		w.events += per * float64(s.Events)
		w.gaps += int64(sign) * s.Gaps
	}
}

func (c *Cluster) eventStats(i int) cacheevents.Stats {
	var d struct {
		Events cacheevents.Stats `json:"cache_events"`
	}
	req, _ := http.NewRequest(http.MethodGet, "http://"+c.Nodes[i].adminAddress()+"/dump", http.NoBody)
	req.Header.Set("Authorization", "Bearer token")
	if resp, err := c.Client.Do(req); err == nil {
		_ = json.NewDecoder(resp.Body).Decode(&d)
		_ = resp.Body.Close()
	}
	return d.Events
}

// idealTokens returns the prompt tokens of the same requests after the warm-up, and how
// many of them a single runner that evicts nothing would compute.
func idealTokens(seed uint64) (prompt, computed int) {
	ideal := standin.NewRunner(standin.RunnerOptions{PieceTokens: eventOptions.PieceTokens, CachePieces: 1 << 20})
	r := rand.New(rand.NewPCG(seed, seed))
	at := time.Duration(0)
	warm := false
	for i := 0; at < warmUpTime+*measuredTime; i++ {
		if s := ideal.Stats(); !warm && at >= warmUpTime {
			warm = true
			prompt, computed = -s.PromptTokens, s.CachedTokens-s.PromptTokens
		}
		_ = r.IntN(eventOptions.Daemons)
		body := documentRequest(r, i, at)
		ideal.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
		at += time.Duration(r.ExpFloat64() / requestRate * float64(time.Second))
	}
	s := ideal.Stats()
	return prompt + s.PromptTokens, computed + s.PromptTokens - s.CachedTokens
}

type variant struct {
	name                      string
	noEvents, noAnnouncements bool
}

// Compares the same requests with cache events and placement announcements and
// without either, at runners that evict prefixes within seconds. If daemons applied
// events wrongly, more tokens would be recomputed with them than without.
func TestEventsImproveHitRate(t *testing.T) {
	variants := []variant{{"both", false, false}, {"neither", true, true}}
	if *allVariants {
		variants = append(variants, variant{"events only", false, true}, variant{"announce only", true, false})
	}
	for seed := range uint64(*measuredSeeds) {
		prompt, computed := idealTokens(seed + 1)
		t.Logf("seed %d: %d prompt tokens, at least %d to compute", seed+1, prompt, computed)
		var found []runStats
		for _, v := range variants {
			o := eventOptions
			o.NoEvents, o.NoAnnouncements = v.noEvents, v.noAnnouncements
			var w runStats
			t.Run(v.name, func(t *testing.T) { w = measure(t, o, seed+1) })
			found = append(found, w)
			t.Logf("%-13s hit rate %.1f%%, recomputed %6d tokens, %.0f B/s, %.1f events/s for each daemon, %d gaps, %d incomplete",
				v.name, 100*float64(w.cached)/float64(prompt-computed), w.prompt-w.cached-computed, w.bytes, w.events, w.gaps, w.incomplete)
		}
		both, neither := found[0], found[1]
		if both.incomplete+neither.incomplete > 0 || both.cached < neither.cached {
			t.Errorf("with both %+v, with neither %+v", both, neither)
		}
	}
}
