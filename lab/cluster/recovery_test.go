package cluster

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/ledger"
)

var smallOptions = Options{Daemons: 3, Runners: 6, Services: 1, Prefill: 10 * time.Microsecond, Decode: 10 * time.Millisecond}

// A daemon's VM is replaced while the platform's log is down, and the load balancer
// sends callers to the new daemon. If it could get the manifest only from the log, it
// would refuse them until the outage ends.
func TestDaemonRestartDuringLogOutage(t *testing.T) {
	withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
		c.Kill(1)
		c.Log.SetOutage(true)
		if err := c.Start(1); err != nil {
			t.Fatal(err)
		}
		took := c.waitReady(t, 1, 2*time.Second)
		if a := c.ask(t, 1, "after the restart", 5); !a.isComplete(5) {
			t.Errorf("%s after %s", a, took)
		}
	})
}

// All daemons are restarted at once while the log is down, so that none of them knows
// the manifest. Callers must get the outcome "not run" and a Retry-After header, and
// be served soon after the log is available again.
func TestAllDaemonsRestartDuringLogOutage(t *testing.T) {
	withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
		for i := range c.Nodes {
			c.Kill(i)
		}
		c.Log.SetOutage(true)
		for i := range c.Nodes {
			if err := c.Start(i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second) // virtual
		for i := range c.Nodes {
			a := c.ask(t, i, "without a manifest", 5)
			if a.outcome != gateway.OutcomeNotRun || a.header.Get("Retry-After") == "" {
				t.Errorf("%s", a)
			}
		}
		for i, r := range c.Runners {
			if n := r.Stats().Requests; n != 0 {
				t.Errorf("runner %d ran %d requests that were reported as not run", i, n)
			}
		}
		c.Log.SetOutage(false)
		for i := range c.Nodes {
			c.waitReady(t, i, 10*time.Second)
		}
		if a := c.ask(t, 0, "after the outage", 5); !a.isComplete(5) {
			t.Errorf("%s", a)
		}
	})
}

// One daemon loses its connection to the log while the others reach it. If it did not
// get the new manifest from its neighbours, it would serve by the old one for hours.
func TestManifestFromNeighboursWithoutLog(t *testing.T) {
	withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
		c.Nodes[2].LogView.Disconnect()
		second := c.Manifest("v1")
		second.Organisations[0].ID = "renamed"
		began := time.Now()
		r, err := c.Publish(t.Context(), 0, 1, second)
		if err != nil || r.Outcome != "accepted" {
			t.Fatalf("%+v, %v", r, err)
		}
		for c.Nodes[2].Daemon.Revision().Offset != r.Offset {
			if time.Since(began) > 5*time.Second {
				t.Fatalf("not in force after 5 s: %+v", c.Nodes[2].Daemon.Revision())
			}
			time.Sleep(50 * time.Millisecond) // virtual
		}
	})
}

// The weights of a model are replaced under traffic. A runner that loads is
// unavailable, and too many concurrent loads slow the store down. A request attempted
// at runners of both versions would get an answer mixed from both.
func TestRolloutUnderTraffic(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			o := smallOptions
			o.Fences = fences
			o.Store = &standin.WeightStore{AtOnce: 2, Load: 20 * time.Second}
			withCluster(t, o, checkRolloutUnderTraffic)
		})
	}
}

func checkRolloutUnderTraffic(t *testing.T, c *Cluster) {
	c.publish(t, 1, "v2")
	began := time.Now()
	for i := 0; !c.allServe("v2"); i++ {
		if time.Since(began) > 5*time.Minute {
			t.Fatal("the rollout is not over after 5 min")
		}
		if a := c.ask(t, i%len(c.Nodes), fmt.Sprintf("question %d", i), 20); !a.isComplete(20) {
			t.Fatalf("request %d, %s after the publication: %s", i, time.Since(began), a)
		}
	}
	if most := c.Store.MaxConcurrentLoads(); most > 2 {
		t.Errorf("%d concurrent loads, want at most 2", most)
	}
	time.Sleep(5 * time.Second) // virtual
	if a := c.ask(t, 0, "on the new weights", 5); !a.isComplete(5) {
		t.Errorf("%s", a)
	}
}

func (c *Cluster) allServe(version string) bool {
	for _, r := range c.Runners {
		models := r.Status().Models
		if len(models) != 1 || models[0].Version != version {
			return false
		}
	}
	return true
}

// An endpoint starts to leave, in one case while the platform's list is unavailable,
// so that only its own refusals show it. Requests that were still sent to it would be
// refused and retried at other endpoints, which delays the first token.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	for _, listDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("list down %v", listDown), func(t *testing.T) {
			withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
				c.VMs.SetOutage(listDown)
				c.Runners[0].SetDraining(true)
				c.MarkLeaving("runner-1")
				time.Sleep(3 * time.Second) // virtual
				before := receivedRequests(c.Runners[0])
				for i := range 60 {
					if a := c.ask(t, i%3, fmt.Sprintf("question %d", i), 2); !a.isComplete(2) {
						t.Fatalf("%s", a)
					}
				}
				if n := receivedRequests(c.Runners[0]) - before; n != 0 {
					t.Errorf("%d requests went to the leaving endpoint", n)
				}
			})
		})
	}
}

// receivedRequests returns the number of requests that reached the runner, including
// refused ones.
func receivedRequests(r *standin.OrderedRunner) int {
	s := r.Stats()
	return s.Requests + s.Refused
}

// A zone is lost with its runners and its daemon while streams are open. Callers of
// the other daemons must still get complete answers.
func TestZoneLossKeepsOtherStreams(t *testing.T) {
	withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
		answers := make(chan *answer)
		const open = 30
		for i := range open {
			go func() { answers <- c.ask(t, i%2, fmt.Sprintf("long question %d", i), 100) }()
		}
		time.Sleep(300 * time.Millisecond) // virtual
		c.Runners[2].Crash()
		c.Runners[5].Crash()
		c.Kill(2)
		for range open {
			if a := <-answers; !a.isComplete(100) {
				t.Errorf("%s", a)
			}
		}
	})
}

// A daemon is drained while it streams an answer. The caller must get the complete
// answer.
func TestDrainCompletesStreams(t *testing.T) {
	withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
		got := make(chan *answer)
		go func() { got <- c.ask(t, 0, "long question", 2000) }()
		time.Sleep(time.Second) // virtual
		c.Nodes[0].Daemon.Drain()
		synctest.Wait()
		if c.Ready(0) {
			t.Error("still ready")
		}
		if a := <-got; !a.isComplete(2000) {
			t.Errorf("%s", a)
		}
		if err := <-c.Nodes[0].Ended; err != nil {
			t.Errorf("drained daemon ended with %v", err)
		}
		c.Nodes[0].cancel = nil
	})
}

// One daemon is disconnected from the log until records that it has not read have
// expired. When it reaches the log again, it must soon be able to decide publications,
// with the help of its neighbours. Otherwise it would refuse them for hours.
func TestNeighboursCloseManifestGap(t *testing.T) {
	withCluster(t, smallOptions, func(t *testing.T, c *Cluster) {
		c.Nodes[2].LogView.Disconnect()
		c.publish(t, 1, "v1b")
		time.Sleep(5 * time.Second) // virtual
		// One more record, which all daemons refuse and the checkpoint of v1b does not
		// cover.
		if _, err := c.Log.Append(t.Context(), ledger.StreamManifest, []byte("no manifest")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second) // virtual
		c.Log.TruncateAll()
		c.Nodes[2].LogView.Reconnect()
		time.Sleep(3 * time.Second) // virtual; until it has read again
		began := time.Now()
		for !c.decided(t, 2) {
			if time.Since(began) > 30*time.Second {
				t.Fatal("no decision 30 s after the log was back")
			}
			time.Sleep(time.Second) // virtual
		}
		if offset := c.Nodes[2].Daemon.Revision().Offset; offset != 2 {
			t.Errorf("offset %d is in force", offset)
		}
	})
}

// decided reports whether a node's state of the manifest stream is complete enough to
// decide publications.
func (c *Cluster) decided(t *testing.T, i int) bool {
	t.Helper()
	return strings.Contains(c.dump(t, i), `"decided":true`)
}

// dump returns a node's state as JSON.
func (c *Cluster) dump(t *testing.T, i int) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.Nodes[i].adminAddress()+"/dump", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.o.Token)
	resp, err := c.Client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("dump: %d, %v", resp.StatusCode, err)
	}
	return string(body)
}
