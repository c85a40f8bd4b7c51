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

// cacheOptions is a cluster whose runners prefill as fast as the daemons assume and
// hold two and a half documents.
var cacheOptions = Options{
	Daemons: 3, Runners: 6, Prefill: 125 * time.Microsecond, Decode: time.Millisecond,
	PieceTokens: 1000, CachePieces: 150,
}

const documentTokens = 60_000 // 7.5 s to prefill

// fillerText is fillerText of about n tokens that no other name has.
func fillerText(name string, n int) string { return strings.Repeat(name+" ", n*4/(len(name)+1)) }

// sendToRunner sends a prompt to a runner past the daemons and returns when its
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

// cacheDocument asks about the document and returns the runner that then has it.
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
	t.Fatal("no runner took the request")
	return 0
}

func (c *Cluster) requestCounts() []int {
	var n []int
	for _, r := range c.Runners {
		n = append(n, r.Stats().Requests)
	}
	return n
}

// routesToBusyRunner gives the runner other work, of which three seconds are left when the
// question comes; that is less than a document takes. It tells whether a question on the document goes there all
// the same, as it should only if the document is in its cache.
func (c *Cluster) routesToBusyRunner(t *testing.T, runner int, document, question string) bool {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.sendToRunner(t, runner, fillerText("other-work-"+question, 60_000))
	}()
	time.Sleep(4500 * time.Millisecond) // virtual; a silent runner's load is read every 3 s
	before := c.Runners[runner].Stats().Requests
	if a := c.askOn(t, 1, document, question, 3); !a.isComplete(3) {
		t.Fatalf("%s", a)
	}
	back := c.Runners[runner].Stats().Requests > before
	<-done
	return back
}

// evictAll fills the runner's cache with something else.
func (c *Cluster) evictAll(t *testing.T, runner int) {
	c.sendToRunner(t, runner, fillerText("eviction", 160_000))
}

// A document was asked about a minute ago and is still cached, which only
// events can tell so late; then it is evicted. Requests that still went there
// would wait behind other work for a cache that is gone.
func TestEvictedPrefixIsNotUsed(t *testing.T) {
	withCluster(t, cacheOptions, func(t *testing.T, c *Cluster) {
		document := fillerText("document", documentTokens)
		r := c.cacheDocument(t, document)
		time.Sleep(time.Minute) // virtual
		if !c.routesToBusyRunner(t, r, document, "cached") {
			t.Error("the cached document was not found")
		}
		time.Sleep(10 * time.Second) // virtual
		c.evictAll(t, r)
		time.Sleep(time.Second) // virtual
		if c.routesToBusyRunner(t, r, document, "evicted") {
			t.Error("the request went to a cache that is gone")
		}
	})
}

// The message that tells of the eviction is lost on the way, and the next one
// shows the hole. What events said before must then count by its age alone, or
// the daemon believes in the old cache for as long as the engine lives.
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
		time.Sleep(5 * time.Second) // virtual; the stream stands all the time
		c.Runners[r].SetEventFaults(standin.EventFaults{})
		<-done
		time.Sleep(time.Minute) // virtual
		if c.routesToBusyRunner(t, r, document, "evicted") {
			t.Error("the request went to a cache that is gone")
		}
	})
}

// A third of all messages is lost and the others are late. Daemons must go on
// giving whole answers, mostly from caches.
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

// A runner crashes and is back empty under its address within a second. Its
// requests before a minute ago say that it has the document.
func TestCachedPrefixForgottenAfterRunnerRestart(t *testing.T) {
	withCluster(t, cacheOptions, func(t *testing.T, c *Cluster) {
		document := fillerText("document", documentTokens)
		r := c.cacheDocument(t, document)
		time.Sleep(time.Second) // virtual
		c.Runners[r].Runner.Crash()
		time.Sleep(time.Second) // virtual
		c.Runners[r].Restart()
		// Until then it counts as the document's home, which holds prefixes that
		// nobody has asked this daemon for.
		time.Sleep(20 * time.Second) // virtual
		if c.routesToBusyRunner(t, r, document, "after the crash") {
			t.Error("the request relied on the cache of the former life")
		}
	})
}

// The KV store goes down while a runner takes a document from it. The caller
// must get the whole answer, and nobody may count what did not come.
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
	time.Sleep(500 * time.Millisecond) // virtual; a whole import takes 1.5 s
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
		t.Errorf("%d imports, %d tokens imported, %d said to be cached", asked, imported, cached)
	}
	delivered := c.KV.Stats().Tokens
	if whole := fault == standin.StoreNoFault; imported > delivered || whole != (imported >= documentTokens-cacheOptions.PieceTokens) {
		t.Errorf("%d tokens counted as imported, %d delivered", imported, delivered)
	}
}
