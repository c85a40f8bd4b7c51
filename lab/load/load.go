// Package load makes callers' requests to a gateway or a runner and measures
// what the callers see. It is for benchmarks and for trying a deployment on
// loopback.
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
	URL         string // of the gateway or runner, without a path
	Key         string // API key
	Model       string
	Client      *http.Client // nil: one of its own with a connection per caller
	Callers     int          // requests in flight at most
	Requests    int          // in all; ends sooner with the context
	Rate        float64      // requests a second; 0: as fast as answers come
	Tokens      int          // generated per request
	PromptBytes int          // of the whole prompt
	Prefixes    int          // different first messages, half of each prompt
	Priority    string       // empty: the gateway's default
	Timeout     time.Duration
	Seed        uint64
	// Progress, unless nil, is told now and then how many requests have ended.
	Progress func(done, of int)
}

// generator is one run.
type generator struct {
	o      Options
	report Report
	mu     sync.Mutex // guards report
}

// Run makes the requests and returns what the callers saw. The error is about
// the run; failed requests are counted in the report.
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

// schedule hands out the numbers of the requests when each is due.
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

// body returns the body of request i: a first message that many requests
// share, and a question of its own.
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

// bodyOverheadBytes is about what a body has beside its two texts.
const bodyOverheadBytes = 256

// appendText adds a phrase over and over, up to a size.
func appendText(b *strings.Builder, phrase string, size int) {
	for ; size > 0; size -= len(phrase) {
		b.WriteString(phrase[:min(len(phrase), size)])
	}
}
