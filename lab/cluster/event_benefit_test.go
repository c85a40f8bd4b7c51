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

// Without flags the test is short; docs/measurements/events.md gives those of
// its figures.
var (
	worthSeeds = flag.Int("events.seeds", 1, "seeds of the measurement of cache events")
	worthFor   = flag.Duration("events.for", 12*time.Second, "virtual time that is measured")
	worthAll   = flag.Bool("events.all", false, "measure events and notices alone as well")
)

// The demo's workload, spread over more documents and in virtual time.
const (
	worthGroups    = 8
	worthPreamble  = 400 // tokens
	worthDocument  = 1600
	worthRate      = 60.0 // requests/s
	worthWarm      = 5 * time.Second
	worthDocuments = 12 // of each group
)

var worthOptions = Options{
	Daemons: 9, Runners: 18, PieceTokens: 200, CachePieces: 60,
	Prefill: 125 * time.Microsecond, Decode: 2 * time.Millisecond,
}

// worth is what one run gave.
type worth struct {
	prompt, cached int     // tokens
	bytes, events  float64 // per second and daemon
	gaps           int64
	bad            int
}

// question returns the body of a request on a document that changes over time:
// each group replaces one of its documents every two seconds.
func question(r *rand.Rand, i int, at time.Duration) string {
	group, slot := r.IntN(worthGroups), r.IntN(worthDocuments)
	age := (int(at/(2*time.Second)) + slot) / worthDocuments
	preamble := text(fmt.Sprintf("preamble-%d", group), worthPreamble)
	document := text(fmt.Sprintf("document-%d-%d-%d", group, slot, age), worthDocument)
	return fmt.Sprintf(`{"model":%q,"stream":true,"seed":1,"max_tokens":8,"messages":[`+
		`{"role":"system","content":%q},{"role":"user","content":%q},{"role":"user","content":"question %d, in forty tokens or so"}]}`,
		Model, preamble, document, i)
}

// measure runs the workload and returns what came of it, without the warm-up.
func measure(t *testing.T, o Options, seed uint64) (w worth) {
	inCluster(t, o, func(t *testing.T, c *Cluster) {
		time.Sleep(time.Second) // virtual
		r := rand.New(rand.NewPCG(seed, seed))
		var wg sync.WaitGroup
		var mu sync.Mutex
		began := time.Now()
		warm := false
		for i := 0; time.Since(began) < worthWarm+*worthFor; i++ {
			if !warm && time.Since(began) >= worthWarm {
				warm = true
				w.take(c, -1)
			}
			node, body := r.IntN(o.Daemons), question(r, i, time.Since(began))
			wg.Go(func() {
				a := c.post(t, node, "/v1/chat/completions", body)
				if a.status != http.StatusOK || !strings.Contains(a.body, "[DONE]") {
					mu.Lock()
					w.bad++
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(r.ExpFloat64() / worthRate * float64(time.Second))) // virtual
		}
		wg.Wait()
		w.take(c, 1)
	})
	return w
}

// take adds or subtracts what has been counted until now.
func (w *worth) take(c *Cluster, sign int) {
	for _, r := range c.Runners {
		s := r.Stats()
		w.prompt += sign * s.PromptTokens
		w.cached += sign * s.CachedTokens
	}
	per := float64(sign) / worthFor.Seconds() / float64(len(c.Nodes))
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

// least returns the tokens that one runner which never forgets would compute of
// the same requests after the warm-up.
func least(seed uint64) (prompt, computed int) {
	ideal := standin.NewRunner(standin.RunnerOptions{PieceTokens: worthOptions.PieceTokens, CachePieces: 1 << 20})
	r := rand.New(rand.NewPCG(seed, seed))
	at := time.Duration(0)
	warm := false
	for i := 0; at < worthWarm+*worthFor; i++ {
		if s := ideal.Stats(); !warm && at >= worthWarm {
			warm = true
			prompt, computed = -s.PromptTokens, s.CachedTokens-s.PromptTokens
		}
		_ = r.IntN(worthOptions.Daemons)
		body := question(r, i, at)
		ideal.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
		at += time.Duration(r.ExpFloat64() / worthRate * float64(time.Second))
	}
	s := ideal.Stats()
	return prompt + s.PromptTokens, computed + s.PromptTokens - s.CachedTokens
}

type variant struct {
	name              string
	noEvents, noNotes bool
}

// The same requests with cache events and notices and without either, at
// runners that evict within seconds. A daemon that believed events wrongly would
// have more computed anew than one that gets none.
func TestEventsAreWorthTheirBytes(t *testing.T) {
	variants := []variant{{"both", false, false}, {"neither", true, true}}
	if *worthAll {
		variants = append(variants, variant{"events only", false, true}, variant{"notices only", true, false})
	}
	for seed := range uint64(*worthSeeds) {
		prompt, computed := least(seed + 1)
		t.Logf("seed %d: %d prompt tokens, at least %d to compute", seed+1, prompt, computed)
		var found []worth
		for _, v := range variants {
			o := worthOptions
			o.NoEvents, o.NoNotices = v.noEvents, v.noNotes
			var w worth
			t.Run(v.name, func(t *testing.T) { w = measure(t, o, seed+1) })
			found = append(found, w)
			t.Logf("%-13s hit rate %.1f%%, recomputed %6d tokens, %.0f B/s, %.1f events/s for each daemon, %d gaps, %d bad",
				v.name, 100*float64(w.cached)/float64(prompt-computed), w.prompt-w.cached-computed, w.bytes, w.events, w.gaps, w.bad)
		}
		both, neither := found[0], found[1]
		if both.bad+neither.bad > 0 || both.cached < neither.cached {
			t.Errorf("with both %+v, with neither %+v", both, neither)
		}
	}
}
