package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/world"
)

// The demo's workload: preambles, documents below them and questions below
// those, in tokens.
const (
	organisations  = 8
	documents      = 4 // of each organisation
	preambleTokens = 400
	documentTokens = 1600
	questionTokens = 40
	answerTokens   = 8
	pieceTokens    = 200
	prefillPerTok  = 10 * time.Microsecond
	decodePerTok   = 500 * time.Microsecond
	callersAtOnce  = 12
	workloadSeed   = 7
)

// filler is text of about n tokens that no other name has.
func filler(name string, n int) string {
	word := name + " "
	return strings.Repeat(word, n*standin.DefaultBytesPerToken/len(word)+1)
}

// workload makes prompts that share nested prefixes.
func workload(n int) []prompt {
	r := rand.New(rand.NewPCG(workloadSeed, workloadSeed))
	prompts := make([]prompt, n)
	for i := range prompts {
		org := r.IntN(organisations)
		document := r.IntN(documents)
		prompts[i] = prompt{
			organisation: org,
			seed:         i + 1,
			tokens:       answerTokens,
			levels: []string{
				filler(fmt.Sprintf("preamble-%d", org), preambleTokens),
				filler(fmt.Sprintf("document-%d-%d", org, document), documentTokens),
				filler(fmt.Sprintf("question-%d", i), questionTokens),
			},
		}
	}
	return prompts
}

// expected is what a runner answers and what it takes at the least.
type expected struct {
	texts     []string
	prefilled int // by one runner that never forgets
}

// expect asks a runner of its own, whose cache holds everything, so that the
// demo knows each right answer and the least work.
func expect(prompts []prompt) *expected {
	ideal := standin.NewRunner(standin.RunnerOptions{
		WeightVersion: world.Version,
		PieceTokens:   pieceTokens,
		CachePieces:   1 << 20,
	})
	e := &expected{}
	for i := range prompts {
		rec := httptest.NewRecorder()
		ideal.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(string(prompts[i].body()))))
		r := &reply{}
		if err := r.read(rec.Body, time.Now()); err != nil {
			panic(err) // the stand-in writes what read reads
		}
		e.texts = append(e.texts, r.text())
	}
	stats := ideal.Stats()
	e.prefilled = stats.PromptTokens - stats.CachedTokens
	return e
}

// figures sum up a run of the workload.
type figures struct {
	asked     int
	right     int // whole, in order, the caller's own, with its end marker
	prompt    int // tokens
	prefilled int // tokens
	least     int // tokens that had to be prefilled by anyone
	first     []time.Duration
}

// hitRate is the part of the tokens that could come from a cache which did.
func (f *figures) hitRate() float64 {
	return float64(f.prompt-f.prefilled) / float64(f.prompt-f.least)
}

// waste is the tokens prefilled beyond the least.
func (f *figures) waste() int { return f.prefilled - f.least }

func (f *figures) percentile(q float64) time.Duration {
	if len(f.first) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(f.first))
	return sorted[int(q*float64(len(sorted)-1))]
}

// totals sums what the runners have done.
func totals(runners []*standin.Runner) (prompt, cached int) {
	for _, r := range runners {
		s := r.Stats()
		prompt += s.PromptTokens
		cached += s.CachedTokens
	}
	return prompt, cached
}

// drive sends the workload from several callers at once, over the given URLs
// in turn.
func drive(ctx context.Context, w *world.World, urls []string, prompts []prompt, e *expected) *figures {
	f := &figures{asked: len(prompts), least: e.prefilled}
	promptBefore, cachedBefore := totals(w.Runners)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan int)
	for range callersAtOnce {
		wg.Go(func() {
			for i := range next {
				r, err := ask(ctx, urls[i%len(urls)], &prompts[i])
				mu.Lock()
				if err == nil && r.ended && r.text() == e.texts[i] {
					f.right++
					f.first = append(f.first, r.firstToken)
				}
				mu.Unlock()
			}
		})
	}
	for i := range prompts {
		next <- i
	}
	close(next)
	wg.Wait()
	prompt, cached := totals(w.Runners)
	f.prompt = prompt - promptBefore
	f.prefilled = f.prompt - (cached - cachedBefore)
	return f
}
