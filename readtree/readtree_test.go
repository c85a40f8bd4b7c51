package readtree

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// selectors returns the Selectors of the n daemons of a zone, in the order of the tree.
func selectors(n int) []*Selector {
	var all []Daemon
	for i := range n {
		all = append(all, Daemon{Name: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	out := make([]*Selector, n)
	for _, d := range all {
		c := New(d)
		c.Set(all)
		out[c.index] = c
	}
	return out
}

// Guards against 220 daemons of a zone that read through one with a link of 20 Mbit/s:
// updates arrive late at all of them, and some refuse requests. No daemon may have more
// readers than the fan-out, and the depth of the tree is bounded.
func TestFanoutAndDepthAreBounded(t *testing.T) {
	for n, deepest := range map[int]int{1: 0, 2: 1, 9: 1, 10: 2, 65: 2, 73: 2, 220: 3} {
		children, depth := map[string]int{}, map[string]int{}
		for _, c := range selectors(n) {
			through := c.Candidates(0, 1)
			if len(through) == 0 {
				if c.index != 0 {
					t.Errorf("of %d daemons number %d reads the store", n, c.index)
				}
				continue
			}
			children[through[0].Name]++
			depth[c.self.Name] = depth[through[0].Name] + 1
			if depth[c.self.Name] > deepest {
				t.Errorf("of %d daemons number %d has depth %d", n, c.index, depth[c.self.Name])
			}
		}
		for name, k := range children {
			if k > MinFanout {
				t.Errorf("%d of %d daemons read through %s", k, n, name)
			}
		}
	}
}

// Guards against cycles among daemons that start at the same time and have different
// lists: two that read through each other get no change of the configuration until one
// gives up.
func TestNoCyclesWithDifferentLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 80).Draw(t, "daemons")
		var all []Daemon
		for i := range n {
			all = append(all, Daemon{Name: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)})
		}
		for i, d := range all {
			c := New(d)
			known := rapid.SliceOfDistinct(rapid.SampledFrom(all), func(d Daemon) string { return d.Name }).Draw(t, fmt.Sprint("known to ", i))
			c.Set(known)
			if c.order[c.index].Name != d.Name {
				t.Fatalf("%s has the index of %s", d.Name, c.order[c.index].Name)
			}
			for _, through := range c.Candidates(0, n) {
				if rank(through) >= rank(d) {
					t.Fatalf("%s reads through %s, which comes later", d.Name, through.Name)
				}
			}
		}
	})
}

// Guards against readers of a lost daemon that stay with it or all change to the same
// other daemon.
func TestReadersOfLostDaemonAreSpread(t *testing.T) {
	all := selectors(73)
	for lost := 1; lost <= MinFanout; lost++ {
		next := map[string]int{}
		for _, c := range all[9:] {
			through := c.Candidates(0, 1)[0]
			if through.Name != all[lost].self.Name {
				continue
			}
			c.Avoid(0, through)
			instead := c.Candidates(0, 1)[0]
			if instead.Name == all[lost].self.Name {
				t.Fatalf("%s goes on with the lost daemon", c.self.Name)
			}
			if next[instead.Name]++; next[instead.Name] > 2 {
				t.Errorf("%d readers of daemon %d change to %s", next[instead.Name], lost, instead.Name)
			}
			c.RecordAnswer(through)
		}
		if next[all[0].self.Name] > 0 {
			t.Errorf("%d readers of daemon %d change to the first", next[all[0].self.Name], lost)
		}
	}
}

// Guards against repeated timeouts: a lost machine stays on the list, and at a fixed
// interval of two seconds each reader would wait for it every two seconds.
func TestAvoidBacksOff(t *testing.T) {
	c := selectors(10)[9]
	lost := c.Candidates(0, 1)[0]
	now, asked := time.Duration(0), 0
	for ; now < time.Minute; now += 100 * time.Millisecond {
		if c.Candidates(now, 1)[0] == lost {
			asked++
			c.Avoid(now, lost)
		}
	}
	if asked < 4 || asked > 7 {
		t.Errorf("asked %d times in a minute", asked)
	}
	c.RecordAnswer(lost)
	if c.Candidates(now, 1)[0] != lost {
		t.Error("not taken back when it answered")
	}
}

// A daemon that reaches neither the store nor an earlier daemon may read through any
// other daemon, but not through itself.
func TestRandomOtherIsNeverSelf(t *testing.T) {
	for _, c := range selectors(7) {
		seen := map[string]bool{}
		for i := range 60 {
			d, ok := c.RandomOther(float64(i) / 60)
			if !ok || d.Name == c.self.Name {
				t.Fatalf("%s is given %v", c.self.Name, d)
			}
			seen[d.Name] = true
		}
		if len(seen) != 6 {
			t.Errorf("%s gets %d of 6 others", c.self.Name, len(seen))
		}
	}
	if _, ok := New(Daemon{Name: "alone"}).RandomOther(0.5); ok {
		t.Error("a daemon alone in its zone found another")
	}
}

// Guards against trees with slow links near the root: a daemon with 20 Mbit/s that reads
// for 220 others falls behind, and all of them read from the store at once.
func TestDaemonsWithFastLinksAreParents(t *testing.T) {
	const large, small = 10, 210
	var all []Daemon
	for i := range large + small {
		d := Daemon{Name: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Mbps: 20, Cores: 0.2}
		if i%22 == 7 {
			d.Mbps, d.Cores = 1000, 1.6
		}
		all = append(all, d)
	}
	children := map[string]int{}
	for _, d := range all {
		c := New(d)
		c.Set(all)
		if c.Depth() > 2 {
			t.Errorf("%s has depth %d", d.Name, c.Depth())
		}
		for _, through := range c.Candidates(0, 1) {
			if through.Mbps < 1000 {
				t.Errorf("%s reads through %s, which has %v Mbit/s", d.Name, through.Name, through.Mbps)
			}
			children[through.Name]++
		}
	}
	for name, n := range children {
		if n > maxFanout {
			t.Errorf("%d read through %s", n, name)
		}
	}
	// A daemon that is not on the list yet uses its own link.
	c := New(all[7])
	c.Set(all[:5])
	if c.Depth() != 0 {
		t.Error("a large link reads through a small one that may read through it")
	}
}
