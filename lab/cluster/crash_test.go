package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// checkCrashesEnd sends requests that crash runners, and others beside them. It checks that
// few runners crash once three have, and that the others are served.
func (c *Cluster) checkCrashesEnd(t *testing.T, crash func(i int)) {
	const settled = 3 * time.Second
	var unserved atomic.Int64
	third, before := time.Time{}, int64(0)
	began := time.Now()
	for i := 0; time.Since(began) < 30*time.Second; i++ {
		crash(i)
		go func() {
			if a := c.ask(t, (i+1)%len(c.Nodes), fmt.Sprint("question ", i), 5); !a.isComplete(5) && time.Since(began) > 10*time.Second {
				unserved.Add(1)
			}
		}()
		time.Sleep(200 * time.Millisecond) // virtual
		if n := c.crashes.Load(); third.IsZero() && n >= 3 {
			third = time.Now()
		}
		if !third.IsZero() && time.Since(third) < settled {
			before = c.crashes.Load()
		}
	}
	time.Sleep(time.Second) // virtual
	t.Logf("%d runners crashed, %d of them after the settling time; %d other requests not served", c.crashes.Load(), c.crashes.Load()-before, unserved.Load())
	if n := c.crashes.Load() - before; n > 3 {
		t.Errorf("%d runners crashed after the settling time", n)
	}
	if n := unserved.Load(); n > 0 {
		t.Errorf("%d other requests were not served", n)
	}
}

// A caller repeats a request that crashes every runner it reaches at one daemon after
// the other. The daemons must stop sending it to runners, and keep serving other
// requests.
func TestQuarantinesRepeatedCrashingRequest(t *testing.T) {
	const deadly = "deadly question"
	ends := func(body string) bool { return strings.Contains(body, deadly) }
	withCluster(t, Options{Daemons: 3, Runners: 8, NoOrders: true, Crashes: ends}, func(t *testing.T, c *Cluster) {
		c.checkCrashesEnd(t, func(i int) { c.ask(t, i%len(c.Nodes), deadly, 5) })
		a := c.ask(t, 0, deadly, 5)
		if a.status != http.StatusServiceUnavailable || a.outcome != "not_run" || a.header.Get("Retry-After") == "" {
			t.Errorf("repeated request: %s", a)
		}
	})
}

// Guards against a document that crashes one runner after another because each request asks
// another question about it.
func TestQuarantinesDocumentThatCrashesRunners(t *testing.T) {
	const deadly = "deadly document"
	ends := func(body string) bool { return strings.Contains(body, deadly) }
	withCluster(t, Options{Daemons: 3, Runners: 8, NoOrders: true, Crashes: ends}, func(t *testing.T, c *Cluster) {
		c.checkCrashesEnd(t, func(i int) { c.askOn(t, i%len(c.Nodes), deadly, fmt.Sprint("question ", i), 5) })
		if a := c.askOn(t, 0, deadly, "another question", 5); a.status != http.StatusServiceUnavailable || a.outcome != "not_run" {
			t.Errorf("another question: %s", a)
		}
	})
}
