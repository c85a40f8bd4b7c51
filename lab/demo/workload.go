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

// Parameters of the workload. Each prompt consists of an organisation's preamble, one
// of its documents and a unique question.
const (
	organisations     = 8
	documents         = 4 // of each organisation
	preambleTokens    = 400
	documentTokens    = 1600
	questionTokens    = 40
	answerTokens      = 8
	pieceTokens       = 200
	prefillPerTok     = 10 * time.Microsecond
	decodePerTok      = 500 * time.Microsecond
	concurrentCallers = 12
	workloadSeed      = 7
)

// fillerText returns a text of about n tokens that consists of the repeated name.
func fillerText(name string, n int) string {
	word := name + " "
	return strings.Repeat(word, n*standin.DefaultBytesPerToken/len(word)+1)
}

// workload returns n prompts that share nested prefixes. They are the same in each
// run.
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
				fillerText(fmt.Sprintf("preamble-%d", org), preambleTokens),
				fillerText(fmt.Sprintf("document-%d-%d", org, document), documentTokens),
				fillerText(fmt.Sprintf("question-%d", i), questionTokens),
			},
		}
	}
	return prompts
}

// referenceAnswers holds the correct answers to the workload and the least number of
// tokens that must be prefilled for it.
type referenceAnswers struct {
	answers   []string
	prefilled int // by a single runner that evicts nothing
}

// computeReference sends the prompts to a separate runner whose cache evicts nothing.
func computeReference(prompts []prompt) *referenceAnswers {
	ideal := standin.NewRunner(standin.RunnerOptions{
		WeightVersion: world.Version,
		PieceTokens:   pieceTokens,
		CachePieces:   1 << 20,
	})
	e := &referenceAnswers{}
	for i := range prompts {
		rec := httptest.NewRecorder()
		ideal.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(string(prompts[i].body()))))
		r := &reply{}
		if err := r.read(rec.Body, time.Now()); err != nil {
			panic(err) // read can decode every answer of the stand-in
		}
		e.answers = append(e.answers, r.text())
	}
	stats := ideal.Stats()
	e.prefilled = stats.PromptTokens - stats.CachedTokens
	return e
}

// runStats holds the statistics of a run of the workload.
type runStats struct {
	requests     int
	correct      int // complete answers to the caller's own request, with the end marker
	promptTokens int // tokens
	prefilled    int // tokens
	minPrefilled int // tokens, see referenceAnswers.prefilled
	firstToken   []time.Duration
}

// hitRate returns the fraction of the cacheable prompt tokens that were cached.
func (f *runStats) hitRate() float64 {
	return float64(f.promptTokens-f.prefilled) / float64(f.promptTokens-f.minPrefilled)
}

// wastedTokens returns the number of tokens prefilled beyond minPrefilled.
func (f *runStats) wastedTokens() int { return f.prefilled - f.minPrefilled }

func (f *runStats) percentile(q float64) time.Duration {
	if len(f.firstToken) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(f.firstToken))
	return sorted[int(q*float64(len(sorted)-1))]
}

// tokenTotals returns the sums of the runners' prompt tokens and cached tokens.
func tokenTotals(runners []*standin.Runner) (prompt, cached int) {
	for _, r := range runners {
		s := r.Stats()
		prompt += s.PromptTokens
		cached += s.CachedTokens
	}
	return prompt, cached
}

// runWorkload sends the prompts from concurrent callers, to the given URLs in turn.
func runWorkload(ctx context.Context, w *world.World, urls []string, prompts []prompt, e *referenceAnswers) *runStats {
	f := &runStats{requests: len(prompts), minPrefilled: e.prefilled}
	promptBefore, cachedBefore := tokenTotals(w.Runners)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan int)
	for range concurrentCallers {
		wg.Go(func() {
			for i := range next {
				r, err := sendPrompt(ctx, urls[i%len(urls)], &prompts[i])
				mu.Lock()
				if err == nil && r.complete && r.text() == e.answers[i] {
					f.correct++
					f.firstToken = append(f.firstToken, r.firstToken)
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
	prompt, cached := tokenTotals(w.Runners)
	f.promptTokens = prompt - promptBefore
	f.prefilled = f.promptTokens - (cached - cachedBefore)
	return f
}
