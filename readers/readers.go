// Package readers chooses through which other daemon of its zone a daemon reads
// the metadata store.
//
// If every daemon read the store itself, the calls would grow with the number of
// daemons, and if all read through one, that one's link and processor would carry
// them all: a change of 100 kB takes 2.6 s to reach 64 readers over 20 Mbit/s. So
// the daemons of a zone form a tree. A hash of the names gives them one order, the
// first reads the store and each other one reads through an earlier one, at most
// Fanout through each. All come to the same tree with no message. Daemons that know
// of different ones still form no circle, as each reads through earlier ones only.
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
	// Fanout is the most daemons that read through one as long as all answer. 65
	// daemons of a zone are two steps from the store with it, 220 are three, and a
	// daemon with a link of 20 Mbit/s passes on a change of 100 kB in 0.3 s.
	Fanout = 8
	// leaveFor is how long a daemon is passed over that did not answer or knew less
	// than others; each further time twice as long, up to leaveAtMost. Machines
	// that are gone for good stay on the list, and each try costs a timeout.
	leaveFor    = 2 * time.Second
	leaveAtMost = 16 * time.Second
)

// Daemon is a daemon that can be read through.
type Daemon struct {
	Name    string
	Address string // IP:port
}

// Choice is one daemon's view of the tree.
type Choice struct {
	me    string
	order []Daemon // of the zone
	index int      // of this daemon in it
	left  map[string]absence
}

// absence is a daemon that is passed over.
type absence struct {
	until time.Duration
	span  time.Duration
}

// New returns the choice of a daemon that knows of no other yet.
func New(me string) *Choice {
	return &Choice{me: me, order: []Daemon{{Name: me}}, left: map[string]absence{}}
}

// Set takes the daemons of the zone. This daemon counts, whether it is among them
// or not.
func (c *Choice) Set(zone []Daemon) {
	c.order = slices.DeleteFunc(slices.Clone(zone), func(d Daemon) bool { return d.Name == c.me })
	c.order = append(c.order, Daemon{Name: c.me})
	slices.SortFunc(c.order, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	c.index = slices.IndexFunc(c.order, func(d Daemon) bool { return d.Name == c.me })
	known := make(map[string]absence, len(c.left))
	for _, d := range c.order {
		if a, ok := c.left[d.Address]; ok {
			known[d.Address] = a
		}
	}
	c.left = known
}

func rank(d Daemon) uint64 { return hash.Text("reader/" + d.Name) }

// Size is the number of daemons in the zone, this one included.
func (c *Choice) Size() int { return len(c.order) }

// Candidates lists the daemons to read through, the best first and no more than
// most: the one that the tree gives, another of that level, and then whoever comes
// first. It is empty for a daemon that reads the store itself.
func (c *Choice) Candidates(now time.Duration, most int) []Daemon {
	var out []Daemon
	for _, i := range c.preferred() {
		if len(out) == most {
			break
		}
		if d := c.order[i]; !c.passedOver(now, d) && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// preferred lists all earlier daemons by their index, in the order of choice.
func (c *Choice) preferred() []int {
	if c.index == 0 {
		return nil
	}
	parent := (c.index - 1) / Fanout
	_, start, width := level(parent)
	out := []int{parent}
	if width > 1 {
		// Those that read through one daemon turn to different ones when it is lost.
		out = append(out, start+(parent-start+1+c.index%(width-1))%width)
	}
	for i := range c.index {
		out = append(out, i)
	}
	return out
}

// Depth is how many steps this daemon is from the store as long as all answer; 0:
// it reads the store itself.
func (c *Choice) Depth() int {
	depth, _, _ := level(c.index)
	return depth
}

// level returns the depth of an index in the order, and where that level of the tree
// begins and how many fit into it.
func level(index int) (depth, start, width int) {
	width = 1
	for index >= start+width {
		depth, start, width = depth+1, start+width, width*Fanout
	}
	return depth, start, width
}

// Other returns any other daemon of the zone, chosen by a number in [0, 1). It is
// for a daemon that finds neither a candidate nor the store.
func (c *Choice) Other(number float64) (Daemon, bool) {
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

func (c *Choice) passedOver(now time.Duration, d Daemon) bool {
	a, ok := c.left[d.Address]
	return ok && now < a.until
}

// Leave passes a daemon over for a while.
func (c *Choice) Leave(now time.Duration, d Daemon) {
	a, ok := c.left[d.Address]
	switch {
	case ok && now < a.until:
		return // several reads were under way
	case ok:
		a.span = min(2*a.span, leaveAtMost)
	default:
		a.span = leaveFor
	}
	a.until = now + a.span
	c.left[d.Address] = a
}

// Served takes that a daemon gave an answer that could be used.
func (c *Choice) Served(d Daemon) { delete(c.left, d.Address) }
