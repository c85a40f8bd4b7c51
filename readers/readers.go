// Package readers chooses through which other daemon of its zone a daemon reads
// the metadata store.
//
// If every daemon read the store itself, the calls would grow with the number of
// daemons, and if all read through one, that one's link and processor would carry
// them all: a change of 100 kB takes 2.6 s to reach 64 readers over 20 Mbit/s. So
// the daemons of a zone form a tree. Their links, processors and a hash of their names
// give them one order, the first reads the store and each other one reads through an
// earlier one, as many through each as its link carries. All come to the same tree with
// no message. Daemons that know of different ones still form no circle, as each reads
// through earlier ones only.
//
// The package does no I/O and reads no clock. A Choice is not safe for concurrent
// use.
package readers

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

const (
	// MinFanout is the most daemons that read through one as long as all answer, if its
	// link is not known to carry more. A daemon with a link of 20 Mbit/s passes on a
	// change of 100 kB to as many in 0.3 s.
	MinFanout = 8
	// mbpsPerReader is the link that one more reader takes, in Mbit/s, and mostFanout the most
	// readers of a daemon: when it is lost, all of them turn elsewhere at once.
	mbpsPerReader = 20
	maxFanout     = 24
	// initialAvoidance is how long a daemon is passed over that did not answer or knew less
	// than others; each further time twice as long, up to leaveAtMost. Machines
	// that are gone for good stay on the list, and each try costs a timeout.
	initialAvoidance = 2 * time.Second
	maxAvoidance     = 16 * time.Second
)

// Daemon is a daemon that can be read through.
type Daemon struct {
	Name    string
	Address string  // IP:port
	Mbps    float64 // of its link; 0: not known
	Cores   float64 // processor that it may use; 0: not known
}

// fanout is how many daemons read through this one as long as all answer.
func (d *Daemon) fanout() int {
	return max(MinFanout, min(int(d.Mbps/mbpsPerReader), maxFanout))
}

// Selector is one daemon's view of the tree.
type Selector struct {
	self     Daemon
	order    []Daemon // of the zone
	index    int      // of this daemon in it
	position position // of this daemon in the tree
	avoided  map[string]avoidance
}

// position is a daemon's position in the tree.
type position struct {
	depth  int // steps from the store
	parent int // index of the daemon that it reads through; -1: it reads the store
	// start and width are the index of the first daemon of the parent's level, and how
	// many that level has.
	start, width int
}

// avoidance is a daemon that is passed over.
type avoidance struct {
	until   time.Duration
	backoff time.Duration
}

// New returns the choice of a daemon that knows of no other yet.
func New(me Daemon) *Selector {
	c := &Selector{self: me, avoided: map[string]avoidance{}}
	c.Set(nil)
	return c
}

// Set takes the daemons of the zone. This daemon counts, whether it is among them
// or not.
func (c *Selector) Set(zone []Daemon) {
	c.order = slices.DeleteFunc(slices.Clone(zone), func(d Daemon) bool { return d.Name == c.self.Name })
	c.order = append(c.order, c.self)
	ranks := make(map[string]uint64, len(c.order))
	for _, d := range c.order {
		ranks[d.Name] = rank(d)
	}
	slices.SortFunc(c.order, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(b.Mbps, a.Mbps), cmp.Compare(b.Cores, a.Cores), cmp.Compare(ranks[a.Name], ranks[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	c.index = slices.IndexFunc(c.order, func(d Daemon) bool { return d.Name == c.self.Name })
	c.position = positionOf(c.order, c.index)
	known := make(map[string]avoidance, len(c.avoided))
	for _, d := range c.order {
		if a, ok := c.avoided[d.Address]; ok {
			known[d.Address] = a
		}
	}
	c.avoided = known
}

func rank(d Daemon) uint64 { return hash.Text("reader/" + d.Name) }

// positionOf fills the tree level by level, in order, up to the daemon at the index.
func positionOf(order []Daemon, index int) position {
	if index == 0 {
		return position{parent: -1}
	}
	p := position{depth: 1, width: 1}
	next, levelEnd := 1, 1 // the first daemon without a parent; the end of the parents' level
	for parent := 0; ; parent++ {
		if parent == levelEnd {
			p.depth++
			p.start, p.width = levelEnd, next-levelEnd
			levelEnd = next
		}
		if next += order[parent].fanout(); index < next {
			p.parent = parent
			return p
		}
	}
}

// Index is the number of daemons that come before this one.
func (c *Selector) Index() int { return c.index }

// Size is the number of daemons in the zone, this one included.
func (c *Selector) Size() int { return len(c.order) }

// Candidates lists the daemons to read through, the best first and no more than
// most: the one that the tree gives, another of that level, and then whoever comes
// first. It is empty for a daemon that reads the store itself.
func (c *Selector) Candidates(now time.Duration, most int) []Daemon {
	var out []Daemon
	for _, i := range c.preferred() {
		if len(out) == most {
			break
		}
		if d := c.order[i]; !c.isAvoided(now, d) && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// preferred lists all earlier daemons by their index, in the order of choice.
func (c *Selector) preferred() []int {
	if c.index == 0 {
		return nil
	}
	p := c.position
	out := []int{p.parent}
	if p.width > 1 {
		// Those that read through one daemon turn to different ones when it is lost.
		out = append(out, p.start+(p.parent-p.start+1+c.index%(p.width-1))%p.width)
	}
	for i := range c.index {
		out = append(out, i)
	}
	return out
}

// Depth is how many steps this daemon is from the store as long as all answer; 0:
// it reads the store itself.
func (c *Selector) Depth() int { return c.position.depth }

// RandomOther returns any other daemon of the zone, chosen by a number in [0, 1). It is
// for a daemon that finds neither a candidate nor the store.
func (c *Selector) RandomOther(number float64) (Daemon, bool) {
	others := len(c.order) - 1
	if others < 1 {
		return Daemon{}, false
	}
	i := int(number * float64(others))
	if i >= c.index {
		i++
	}
	return c.order[i], true
}

func (c *Selector) isAvoided(now time.Duration, d Daemon) bool {
	a, ok := c.avoided[d.Address]
	return ok && now < a.until
}

// Avoid passes a daemon over for a while.
func (c *Selector) Avoid(now time.Duration, d Daemon) {
	a, ok := c.avoided[d.Address]
	switch {
	case ok && now < a.until:
		return // several reads were under way
	case ok:
		a.backoff = min(2*a.backoff, maxAvoidance)
	default:
		a.backoff = initialAvoidance
	}
	a.until = now + a.backoff
	c.avoided[d.Address] = a
}

// RecordAnswer takes that a daemon gave an answer that could be used.
func (c *Selector) RecordAnswer(d Daemon) { delete(c.avoided, d.Address) }
