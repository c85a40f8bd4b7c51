package cluster

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/ports"
)

// A daemon is restarted repeatedly during a rollout, and gets requests before it has a
// report of any runner. If it chose the declared version for them, every runner that
// has not loaded that version yet would refuse them.
func TestDaemonRestartsDuringRollout(t *testing.T) {
	o := Options{Daemons: 3, Runners: 6, Decode: time.Millisecond, Store: &standin.WeightStore{AtOnce: 2, Load: 30 * time.Second}}
	withCluster(t, o, func(t *testing.T, c *Cluster) {
		c.publish(t, 1, "v2")
		asked := 0
		began := time.Now()
		for !c.allServe("v2") {
			if time.Since(began) > time.Hour {
				t.Fatal("the rollout is not over after an hour")
			}
			c.Kill(2)
			if err := c.Start(2); err != nil {
				t.Fatal(err)
			}
			c.waitReady(t, 2, 5*time.Second)
			for i := range 8 {
				asked++
				if a := c.ask(t, (2+i)%3, fmt.Sprintf("question %d", asked), 10); !a.isComplete(10) {
					t.Fatalf("request %d, %v after the publication: %s", asked, time.Since(began), a)
				}
			}
			time.Sleep(2 * time.Second) // virtual
		}
		t.Logf("%d answers in %v", asked, time.Since(began))
	})
}

// Two of nine daemons are disconnected from the log when a manifest is accepted, and
// one starts while the log is down. All must get the manifest from their neighbours
// within five seconds. Otherwise callers see two configurations.
func TestManifestPropagation(t *testing.T) {
	withCluster(t, Options{Daemons: 9, Runners: 3}, func(t *testing.T, c *Cluster) {
		c.Nodes[3].LogView.Disconnect()
		c.Nodes[6].LogView.Disconnect()
		c.publish(t, 1, "v2")
		t.Logf("in force on all after %v", c.waitInForce(t, 2))
		c.Log.SetOutage(true)
		c.Kill(8)
		if err := c.Start(8); err != nil {
			t.Fatal(err)
		}
		t.Logf("in force on one that started without the log after %v", c.waitInForce(t, 2))
	})
}

// waitInForce waits until the manifest at the offset is in force on each node and
// returns how long that took. It fails the test after 5 s, which is the guarantee.
func (c *Cluster) waitInForce(t *testing.T, offset ports.Offset) time.Duration {
	t.Helper()
	began := time.Now()
	for i := range c.Nodes {
		for c.Nodes[i].Daemon.Revision().Offset != offset {
			if time.Since(began) > 5*time.Second {
				t.Fatalf("%s has offset %d after 5 s", c.Nodes[i].ID, c.Nodes[i].Daemon.Revision().Offset)
			}
			time.Sleep(10 * time.Millisecond) // virtual
		}
	}
	return time.Since(began)
}

// One organisation of many is changed. A daemon that a neighbour notifies of the
// change must read its few hundred bytes from the log. If it fetched the neighbour's
// complete manifest, thousands of changes a day would take twenty times the bytes that
// are allowed for control traffic.
func TestReadsAnnouncedManifestFromLog(t *testing.T) {
	withCluster(t, Options{Daemons: 9, Runners: 3}, func(t *testing.T, c *Cluster) {
		time.Sleep(5 * time.Second) // virtual
		before := c.fetchedManifests(t)
		for i := range 5 {
			c.publish(t, ports.Offset(i+1), fmt.Sprintf("v%d", i+2))
			t.Logf("in force on all after %v", c.waitInForce(t, ports.Offset(i+2)))
			time.Sleep(5 * time.Second) // virtual
		}
		if n := c.fetchedManifests(t) - before; n > 0 {
			t.Errorf("%d manifests were fetched from neighbours while the log was up", n)
		}
	})
}

// fetchedManifests returns the number of manifests that nodes have fetched from
// neighbours.
func (c *Cluster) fetchedManifests(t *testing.T) int {
	t.Helper()
	total := 0
	for i := range c.Nodes {
		total += c.sumCounters(t, i, "peer_events", "fetched")
	}
	return total
}

// sumCounters returns the sum of the counters on a node's metrics page whose lines
// contain both texts.
func (c *Cluster) sumCounters(t *testing.T, i int, name, tag string) int {
	t.Helper()
	total := 0
	for line := range strings.Lines(c.metrics(t, i)) {
		if !strings.Contains(line, name) || !strings.Contains(line, tag) {
			continue
		}
		count, err := strconv.Atoi(line[strings.LastIndexByte(line, ' ')+1 : len(line)-1])
		if err != nil {
			t.Fatal(err)
		}
		total += count
	}
	return total
}

// metrics returns a node's metrics page.
func (c *Cluster) metrics(t *testing.T, i int) string {
	t.Helper()
	resp, err := c.Client.Get("http://" + c.Nodes[i].adminAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("metrics: %d, %v", resp.StatusCode, err)
	}
	return string(body)
}
