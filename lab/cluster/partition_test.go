package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/ports"
)

// A zone is partitioned from the others and from the log for three minutes, while
// three manifests are published. Its daemon must keep serving by its current manifest.
// When the partition ends it must have the newest manifest within seconds, from its
// neighbours if the log is still unreachable, and never return to an older one.
func TestZonePartition(t *testing.T) {
	for _, logBack := range []bool{true, false} {
		t.Run(fmt.Sprintf("log back %v", logBack), func(t *testing.T) {
			withCluster(t, Options{Daemons: 3, Runners: 3, Decode: time.Millisecond}, func(t *testing.T, c *Cluster) {
				c.checkZonePartition(t, logBack)
			})
		})
	}
}

func (c *Cluster) checkZonePartition(t *testing.T, logBack bool) {
	time.Sleep(2 * time.Second) // virtual; until the daemons have exchanged reports
	c.Partition(0, 2)
	c.Partition(1, 2)
	c.Nodes[2].LogView.Disconnect()
	for n := range 3 {
		m := c.Manifest("v1")
		m.Name = fmt.Sprintf("change-%d", n)
		r, err := c.Publish(t.Context(), n%2, ports.Offset(n+1), m)
		if err != nil || r.Outcome != "accepted" {
			t.Fatalf("%+v, %v", r, err)
		}
		time.Sleep(60 * time.Second) // virtual
		if offset := c.Nodes[2].Daemon.Revision().Offset; offset != 1 {
			t.Fatalf("the partitioned daemon has offset %d", offset)
		}
		for node := range c.Nodes {
			if a := c.ask(t, node, fmt.Sprintf("question %d", n), 3); !a.isComplete(3) {
				t.Errorf("node %d, change %d: %s", node, n, a)
			}
		}
	}
	c.Heal(0, 2)
	c.Heal(1, 2)
	if logBack {
		c.Nodes[2].LogView.Reconnect()
	}
	t.Logf("in force on all after %v", c.waitInForce(t, 4))
	for range 100 {
		time.Sleep(100 * time.Millisecond) // virtual
		for _, n := range c.Nodes {
			if offset := n.Daemon.Revision().Offset; offset != 4 {
				t.Fatalf("%s returned to offset %d", n.ID, offset)
			}
		}
	}
}
