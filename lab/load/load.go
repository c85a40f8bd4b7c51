// Package load generates requests to a gateway or a runner and measures the latency
// and the failures that callers observe. It serves benchmarks and trials of a local
// deployment.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Defaults of Options.
const (
	DefaultCallers     = 8
	DefaultRequests    = 1000
	DefaultTokens      = 32
	DefaultPromptBytes = 4 << 10
	DefaultPrefixes    = 16
	DefaultTimeout     = time.Minute
)

// Options describe the load. Zero values take the defaults.
type Options struct {
	URL         string // base URL of the gateway or runner, without a path
	Key         string // API key
	Model       string
	Client      *http.Client // nil: a new one that keeps a connection per caller
	Callers     int          // concurrent requests at most
	Requests    int          // total number; fewer if the context ends
	Rate        float64      // requests per second; 0: as fast as answers arrive
	Tokens      int          // generated per request
	PromptBytes int          // of both messages of a prompt
	Prefixes    int          // number of different first messages, which are half of each prompt
	Priority    string       // empty: the gateway's default
	Timeout     time.Duration
	Seed        uint64
	// Progress, unless nil, is called after each request, also concurrently, with the
	// number of requests that have ended and the total number.
	Progress func(done, of int)
}

// generator is the state of one Run.
type generator struct {
	o      Options
	report Report
	mu     sync.Mutex // guards report
}

// Run makes the requests and returns a report, or an error if the URL or the model is
// missing. Failed requests are counted in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.URL == "" || o.Model == "" {
		return nil, errors.New("load: the URL or the model is missing")
	}
	o = o.withDefaults()
	g := &generator{o: o, report: newReport()}
	starts := make(chan int)
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error {
		defer close(starts)
		g.schedule(ctx, starts)
		return nil
	})
	began := time.Now()
	for range o.Callers {
		eg.Go(func() error { return g.runCaller(ctx, starts) })
	}
	err := eg.Wait()
	g.report.Elapsed = time.Since(began)
	return &g.report, err
}

func (o Options) withDefaults() Options {
	setDefault(&o.Callers, DefaultCallers)
	setDefault(&o.Requests, DefaultRequests)
	setDefault(&o.Tokens, DefaultTokens)
	setDefault(&o.PromptBytes, DefaultPromptBytes)
	setDefault(&o.Prefixes, DefaultPrefixes)
	setDefault(&o.Timeout, DefaultTimeout)
	if o.Client == nil {
		o.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Callers}}
	}
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// schedule sends the number of each request to starts when the request is due.
func (g *generator) schedule(ctx context.Context, starts chan<- int) {
	began := time.Now()
	for i := range g.o.Requests {
		if g.o.Rate > 0 {
			due := began.Add(time.Duration(float64(i) / g.o.Rate * float64(time.Second)))
			if !sleepUntil(ctx, due) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case starts <- i:
		}
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (g *generator) runCaller(ctx context.Context, starts <-chan int) error {
	c := newCaller(&g.o)
	for i := range starts {
		c.run(ctx, g.body(i))
		g.mu.Lock()
		g.report.add(c)
		done := g.report.Requests
		g.mu.Unlock()
		if g.o.Progress != nil {
			g.o.Progress(done, g.o.Requests)
		}
	}
	return nil
}

// body returns the body of request i: a first message that other requests share, and
// a question that is unique.
func (g *generator) body(i int) string {
	rng := rand.New(rand.NewPCG(g.o.Seed, uint64(i)))
	prefix := rng.IntN(g.o.Prefixes)
	half := max(g.o.PromptBytes/2, 1)
	var b strings.Builder
	b.Grow(2*half + bodyOverheadBytes)
	fmt.Fprintf(&b, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"`, g.o.Model, g.o.Tokens)
	appendText(&b, "specification sheet "+strconv.Itoa(prefix)+" ", half)
	b.WriteString(`"},{"role":"user","content":"`)
	appendText(&b, "question "+strconv.Itoa(i)+" ", half)
	b.WriteString(`"}]}`)
	return b.String()
}

// bodyOverheadBytes is the approximate size of a body without its two texts.
const bodyOverheadBytes = 256

// appendText appends a phrase repeatedly, until size bytes were added.
func appendText(b *strings.Builder, phrase string, size int) {
	for ; size > 0; size -= len(phrase) {
		b.WriteString(phrase[:min(len(phrase), size)])
	}
}
