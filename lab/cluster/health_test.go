package cluster

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
)

// injectRepeatedly injects a fault into each of a runner's next n requests.
func injectRepeatedly(r *standin.OrderedRunner, n int, f standin.Fault) {
	for range n {
		r.InjectFaults(f)
	}
}

// A runner fails every request while its load report looks healthy. Each request
// placed on it costs a second attempt, and prompts keep preferring it. It must be
// ejected, and get requests again after it has recovered.
func TestEjectsAndReadmitsFailingRunner(t *testing.T) {
	for name, f := range map[string]standin.Fault{
		"before the first byte": {Kind: standin.FaultBeforeFirstByte},
		"in mid-stream":         {Kind: standin.FaultMidStream, After: 2},
	} {
		t.Run(name, func(t *testing.T) {
			o := Options{Daemons: 1, Runners: 4}
			withCluster(t, o, func(t *testing.T, c *Cluster) {
				injectRepeatedly(c.Runners[0], 1000, f)
				asked := c.askDuring(t, 10*time.Second, 0)
				got := receivedRequests(c.Runners[0])
				t.Logf("%d of %d attempts went to the failing runner", got, asked)
				if got > asked/10 {
					t.Errorf("%d of %d requests were sent to the failing runner", got, asked)
				}
				c.Runners[0].ClearFaults()
				c.askDuring(t, 20*time.Second, asked)
				before := receivedRequests(c.Runners[0])
				again := c.askDuring(t, 5*time.Second, 20*asked)
				if got := receivedRequests(c.Runners[0]) - before; got == 0 {
					t.Errorf("none of %d requests went to the recovered runner", again)
				}
			})
		})
	}
}

// askDuring sends requests with different prompts for the given time and returns their
// number. It fails the test if an answer is not complete.
func (c *Cluster) askDuring(t *testing.T, during time.Duration, first int) (asked int) {
	t.Helper()
	for began := time.Now(); time.Since(began) < during; asked++ {
		if a := c.ask(t, 0, fmt.Sprintf("question %d", first+asked), 5); !a.isComplete(5) {
			t.Fatalf("request %d: %s", asked, a)
		}
		time.Sleep(50 * time.Millisecond) // virtual
	}
	return asked
}

// A runner's process is replaced under the same address. Daemons still have locations
// of prefixes in the old process's cache. The number of cached tokens in an answer
// must be the one that the runner reports, and answers must stay complete.
func TestReportedCachedTokensAfterRunnerRestart(t *testing.T) {
	withCluster(t, Options{Daemons: 2, Runners: 1, Decode: time.Millisecond}, func(t *testing.T, c *Cluster) {
		for node := range c.Nodes {
			c.ask(t, node, "the same question", 5)
			if n := cachedTokens(t, c.ask(t, node, "the same question", 5)); n == 0 {
				t.Fatal("nothing was cached before the restart")
			}
		}
		c.Runners[0].Restart()
		a := c.ask(t, 0, "the same question", 5)
		if n := cachedTokens(t, a); n != 0 || !a.isComplete(5) {
			t.Errorf("%d tokens reported as cached by a new process: %s", n, a)
		}
		a = c.ask(t, 1, "the same question", 5)
		if n := cachedTokens(t, a); n == 0 || !a.isComplete(5) {
			t.Errorf("%d tokens cached by the new process: %s", n, a)
		}
	})
}

// cachedTokens returns the number of cached tokens that the answer reports.
func cachedTokens(t *testing.T, a *answer) int {
	t.Helper()
	n, err := strconv.Atoi(a.header.Get(gateway.HeaderCachedTokens))
	if err != nil {
		t.Fatalf("%v: %s", err, a)
	}
	return n
}

// The platform's list of VMs is empty for five minutes and unavailable for another
// five. If the daemon took the empty list as correct, it would remove every endpoint
// and every daemon and refuse all requests.
func TestEmptyOrUnavailableVMList(t *testing.T) {
	withCluster(t, Options{Daemons: 1, Runners: 2, Services: 1}, func(t *testing.T, c *Cluster) {
		c.VMs.Set(nil, nil)
		for minute := range 10 {
			c.VMs.SetOutage(minute >= 5)
			time.Sleep(time.Minute) // virtual
			if a := c.ask(t, 0, fmt.Sprintf("question %d", minute), 3); !a.isComplete(3) {
				t.Errorf("after %d minutes: %s", minute+1, a)
			}
			if a := c.book(t, 0, keyAt(time.Now(), byte(minute)), "slot"); !strings.Contains(a.body, "counter-1") {
				t.Errorf("after %d minutes: %s", minute+1, a)
			}
		}
	})
}
