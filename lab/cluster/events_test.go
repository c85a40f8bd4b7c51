package cluster

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/lab/standin"
)

// cacheOptions describes a cluster whose runners prefill as fast as the daemons assume.
// A runner's cache has space for two and a half documents.
var cacheOptions = Options{
	Daemons: 3, Runners: 6, Prefill: 125 * time.Microsecond, Decode: time.Millisecond,
	PieceTokens: 1000, CachePieces: 150,
}

const documentTokens = 60_000 // 7.5 s to prefill

// fillerText returns a text of about n tokens that consists of the repeated name.
func fillerText(name string, n int) string { return strings.Repeat(name+" ", n*4/(len(name)+1)) }

// sendToRunner sends a prompt to a runner, bypassing the daemons, and returns when the
// answer has begun.
func (c *Cluster) sendToRunner(t *testing.T, runner int, prompt string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":1,"prompt":%q}`, Model, prompt)
	address := fmt.Sprintf("http://10.0.1.%d:8000/v1/completions", runner+1)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		t.Error(err)
		return
	}
	_ = resp.Body.Close()
}

// cacheDocument sends a request on the document and returns the index of the runner that
// served it, which then has the document in its cache.
func (c *Cluster) cacheDocument(t *testing.T, document string) int {
	time.Sleep(time.Second) // virtual; until the daemons follow the events
	before := c.requestCounts()
	if a := c.askOn(t, 0, document, "first question", 3); !a.isComplete(3) {
		t.Fatalf("%s", a)
	}
	for i, n := range c.requestCounts() {
		if n > before[i] {
			return i
		}
	}
	t.Fatal("no runner got the request")
	return 0
}

func (c *Cluster) requestCounts() []int {
	var n []int
	for _, r := range c.Runners {
		n = append(n, r.Stats().Requests)
	}
	return n
}

// routesToBusyRunner keeps the runner busy with another request, which takes three
// more seconds when the question is sent; prefilling a document takes longer. It
// reports whether the question on the document is still routed to the runner, which is
// right only if the document is in its cache.
func (c *Cluster) routesToBusyRunner(t *testing.T, runner int, document, question string) bool {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.sendToRunner(t, runner, fillerText("other-work-"+question, 60_000))
	}()
	time.Sleep(4500 * time.Millisecond) // virtual; the load of a runner that sends no answers is read every 3 s
	before := c.Runners[runner].Stats().Requests
	if a := c.askOn(t, 1, document, question, 3); !a.isComplete(3) {
		t.Fatalf("%s", a)
	}
	routed := c.Runners[runner].Stats().Requests > before
	<-done
	return routed
}

// evictAll evicts the runner's cache by filling it with another prompt.
func (c *Cluster) evictAll(t *testing.T, runner int) {
	c.sendToRunner(t, runner, fillerText("eviction", 160_000))
}

// A document that was last used a minute ago is still cached. After that time only
// cache events can confirm it. Then the document is evicted; requests that were still
// routed to the runner would wait behind other requests without a cache hit.
func TestEvictedPrefixIsNotUsed(t *testing.T) {
	withCluster(t, cacheOptions, func(t *testing.T, c *Cluster) {
		document := fillerText("document", documentTokens)
		r := c.cacheDocument(t, document)
		time.Sleep(time.Minute) // virtual
		if !c.routesToBusyRunner(t, r, document, "cached") {
			t.Error("the request was not routed to the cached document")
		}
		time.Sleep(10 * time.Second) // virtual
		c.evictAll(t, r)
		time.Sleep(time.Second) // virtual
		if c.routesToBusyRunner(t, r, document, "evicted") {
			t.Error("the request was routed to a runner that had evicted the document")
		}
	})
}

// The message with the eviction is lost, and the next one shows the gap. The daemon
// must then rate earlier events by their age alone. Otherwise it would consider the
// document cached for as long as the runner's incarnation lasts.
func TestLostEvictionEvent(t *testing.T) {
	withCluster(t, cacheOptions, func(t *testing.T, c *Cluster) {
		document := fillerText("document", documentTokens)
		r := c.cacheDocument(t, document)
		time.Sleep(time.Second) // virtual
		c.Runners[r].SetEventFaults(standin.EventFaults{Loss: 1})
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.evictAll(t, r)
		}()
		time.Sleep(5 * time.Second) // virtual; the event stream stays open
		c.Runners[r].SetEventFaults(standin.EventFaults{})
		<-done
		time.Sleep(time.Minute) // virtual
		if c.routesToBusyRunner(t, r, document, "evicted") {
			t.Error("the request was routed to a runner that had evicted the document")
		}
	})
}

// A third of all event messages is lost and the others are delayed. Answers must stay
// complete, and most prompt tokens must be cached.
func TestPlacementWithLossyEvents(t *testing.T) {
	withCluster(t, cacheOptions, func(t *testing.T, c *Cluster) {
		for i, r := range c.Runners {
			r.SetEventFaults(standin.EventFaults{Loss: 0.3, Delay: 500 * time.Millisecond, Seed: uint64(i)})
		}
		const documents, rounds = 4, 8
		cached, prompt := 0, 0
		for i := range documents * rounds {
			d := fillerText(fmt.Sprintf("document-%d", i%documents), documentTokens/2)
			a := c.askOn(t, i%3, d, fmt.Sprintf("question %d", i), 3)
			if !a.isComplete(3) {
				t.Fatalf("%s", a)
			}
			n, _ := strconv.Atoi(a.header.Get(engine.HeaderCachedTokens))
			cached += n
			prompt += documentTokens / 2
		}
		// All but the first question on each document could be cached.
		if least := prompt * (rounds - 2) / rounds; cached < least {
			t.Errorf("%d of %d tokens cached, at least %d expected", cached, prompt, least)
		}
	})
}

// A runner crashes and restarts empty under the same address within a second. By its
// earlier requests it would still have the document.
func TestCachedPrefixForgottenAfterRunnerRestart(t *testing.T) {
	withCluster(t, cacheOptions, func(t *testing.T, c *Cluster) {
		document := fillerText("document", documentTokens)
		r := c.cacheDocument(t, document)
		time.Sleep(time.Second) // virtual
		c.Runners[r].Runner.Crash()
		time.Sleep(time.Second) // virtual
		c.Runners[r].Restart()
		// Until then the runner is the document's preferred endpoint, which is assumed
		// to hold prefixes that this daemon was not asked for.
		time.Sleep(20 * time.Second) // virtual
		if c.routesToBusyRunner(t, r, document, "after the crash") {
			t.Error("the request relied on the cache of the former incarnation")
		}
	})
}

// The KV store fails while a runner imports a document from it. The caller must get
// the complete answer, and tokens that were not delivered must not count as cached.
func TestStoreFailureDuringImport(t *testing.T) {
	for _, fault := range []standin.StoreFault{standin.StoreNoFault, standin.StoreDown, standin.StoreOverstates, standin.StoreHangs} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			o := cacheOptions
			o.KV = &standin.StoreOptions{Latency: 30 * time.Millisecond, Rate: 40_000, Delay: 500 * time.Millisecond}
			withCluster(t, o, func(t *testing.T, c *Cluster) { checkImportWithFault(t, c, fault) })
		})
	}
}

func checkImportWithFault(t *testing.T, c *Cluster, fault standin.StoreFault) {
	document := fillerText("document", documentTokens)
	r := c.cacheDocument(t, document)
	time.Sleep(2 * time.Second) // virtual
	c.Runners[r].Runner.Crash()
	time.Sleep(2 * time.Second) // virtual
	if fault != standin.StoreDown {
		c.KV.SetFault(fault)
	}
	got := make(chan *answer)
	go func() { got <- c.askOn(t, 0, document, "after the crash", 3) }()
	time.Sleep(500 * time.Millisecond) // virtual; a complete import takes 1.5 s
	if fault == standin.StoreDown {
		c.KV.SetFault(fault)
	}
	a := <-got
	if !a.isComplete(3) {
		t.Fatalf("%s", a)
	}
	imported, asked := 0, 0
	for _, r := range c.Runners {
		imported += r.Stats().ImportedTokens
		asked += r.Stats().Imports
	}
	cached, _ := strconv.Atoi(a.header.Get(engine.HeaderCachedTokens))
	if asked != 1 || imported != cached {
		t.Errorf("%d imports, %d tokens imported, %d reported as cached", asked, imported, cached)
	}
	delivered := c.KV.Stats().Tokens
	if complete := fault == standin.StoreNoFault; imported > delivered || complete != (imported >= documentTokens-cacheOptions.PieceTokens) {
		t.Errorf("%d tokens counted as imported, %d delivered", imported, delivered)
	}
}
