package neighbour

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// daemons returns a list of count daemons, distributed over the zones.
func daemons(count, zones int) []ports.Daemon {
	list := make([]ports.Daemon, 0, count)
	for i := range count {
		list = append(list, ports.Daemon{
			ID:          fmt.Sprintf("entry-%d", i),
			Zone:        fleet.ZoneID(fmt.Sprintf("zone-%d", i%zones)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			State:       fleet.VMLive,
		})
	}
	return list
}

// graph holds the IDs of each daemon's neighbours, as that daemon computes them.
type graph map[string][]string

func graphOf(list []ports.Daemon) graph {
	g := graph{}
	for _, d := range list {
		ids := []string{}
		for _, n := range Choose(d, list, Options{}) {
			ids = append(ids, n.ID)
		}
		g[d.ID] = ids
	}
	return g
}

// connected reports whether all daemons that are up can reach each other over links
// between daemons that are up.
func (g graph) connected(up func(id string) bool) bool {
	seen := map[string]bool{}
	var queue []string
	want := 0
	for id := range g {
		if !up(id) {
			continue
		}
		want++
		if len(queue) == 0 {
			queue, seen[id] = append(queue, id), true
		}
	}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		for _, n := range g[id] {
			if up(n) && !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen) == want
}

func (g graph) symmetric() bool {
	for id, ns := range g {
		for _, n := range ns {
			if !slices.Contains(g[n], id) {
				return false
			}
		}
	}
	return true
}

// Guards against a graph that is partitioned by the loss of a zone, while the platform's
// list still has its daemons: a new manifest would reach one part only, and callers
// would be served by two configurations.
func TestGraphConnectedWithoutAnyZone(t *testing.T) {
	for _, c := range []struct{ count, zones int }{{9, 3}, {6, 3}, {100, 5}, {1100, 5}, {1100, 12}, {9, 1}} {
		t.Run(fmt.Sprintf("%d in %d", c.count, c.zones), func(t *testing.T) {
			list := daemons(c.count, c.zones)
			g := graphOf(list)
			if !g.symmetric() {
				t.Error("a neighbour does not have the daemon as its neighbour")
			}
			if !g.connected(func(string) bool { return true }) {
				t.Error("not connected with all up")
			}
			for z := range c.zones {
				lost := fleet.ZoneID(fmt.Sprintf("zone-%d", z))
				up := map[string]bool{}
				for _, d := range list {
					up[d.ID] = d.Zone != lost
				}
				if !g.connected(func(id string) bool { return up[id] }) {
					t.Errorf("not connected without %s", lost)
				}
			}
			for id, ns := range g {
				if len(ns) > MaxNeighbours {
					t.Errorf("%s has %d neighbours", id, len(ns))
				}
			}
		})
	}
}

// Guards against daemons of a region that are connected only through the other region:
// two regions of three and two zones are cut off from each other, and a manifest that one
// region still gets from the log must reach all of that region.
func TestGraphConnectedWithinRegion(t *testing.T) {
	list := daemons(1100, 5)
	g := graphOf(list)
	for _, region := range [][]fleet.ZoneID{{"zone-0", "zone-1", "zone-2"}, {"zone-3", "zone-4"}} {
		here := map[string]bool{}
		for _, d := range list {
			here[d.ID] = slices.Contains(region, d.Zone)
		}
		if !g.connected(func(id string) bool { return here[id] }) {
			t.Errorf("not connected within %v", region)
		}
	}
}

// Zones may differ in size after failures, and any of them may be lost.
func TestGraphConnectedWithUnevenZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 9).Draw(t, "zones")
		var list []ports.Daemon
		for z := range zones {
			for i := range rapid.IntRange(0, 20).Draw(t, "size") {
				list = append(list, ports.Daemon{
					ID:    fmt.Sprintf("d%d-%d-%d", rapid.IntRange(0, 99).Draw(t, "name"), z, i),
					Zone:  fleet.ZoneID(fmt.Sprintf("z%d", z)),
					State: fleet.VMLive,
				})
			}
		}
		g := graphOf(list)
		if !g.symmetric() || !g.connected(func(string) bool { return true }) {
			t.Fatal("not symmetric and connected")
		}
		lost := fleet.ZoneID(fmt.Sprintf("z%d", rapid.IntRange(0, zones-1).Draw(t, "lost")))
		up := map[string]bool{}
		for _, d := range list {
			up[d.ID] = d.Zone != lost
		}
		if !g.connected(func(id string) bool { return up[id] }) {
			t.Fatalf("not connected without %s", lost)
		}
	})
}

// Guards against replacements that move many links: a hundred VMs are replaced on an
// ordinary day, and the new connections would exceed the budget for control traffic.
func TestReplacementChangesFewNeighbours(t *testing.T) {
	list := daemons(1100, 5)
	before := graphOf(list)
	list[500].ID = "replacement"
	after := graphOf(list)
	moved := 0
	for id, ns := range before {
		if id != "entry-500" && !slices.Equal(ns, after[id]) {
			moved++
		}
	}
	if moved > 2*MaxNeighbours {
		t.Errorf("%d daemons changed their neighbours", moved)
	}
}

// A daemon that has just started is not in the list yet, and one that is leaving still is.
func TestChooseWithLaggingList(t *testing.T) {
	list := daemons(9, 3)
	fresh := ports.Daemon{ID: "fresh", Zone: "zone-1", State: fleet.VMLive}
	if ns := Choose(fresh, list, Options{}); len(ns) == 0 {
		t.Error("an unlisted daemon has no neighbours")
	}
	list[0].State = fleet.VMLeaving
	for _, n := range Choose(fresh, list, Options{}) {
		if n.ID == list[0].ID {
			t.Error("a leaving daemon is a neighbour")
		}
	}
	if ns := Choose(fresh, nil, Options{}); len(ns) != 0 {
		t.Errorf("neighbours from an empty list: %v", ns)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 100, 1100} {
		list := daemons(count, 5)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				Choose(list[0], list, Options{})
			}
		})
	}
}
