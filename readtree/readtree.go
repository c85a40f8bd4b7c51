// Package readtree selects the daemon of its own zone through which a daemon reads the
// metadata store.
//
// If every daemon read the store itself, the store's load would grow with the number of
// daemons. If all read through one daemon, its link and processor would carry them all:
// a change of 100 kB takes 2.6 s to reach 64 readers over 20 Mbit/s. The daemons of a
// zone therefore form a tree. They are sorted by link, processor and a hash of their
// names; the first reads the store, and each other one reads through an earlier one,
// which gets as many readers as its link carries. All daemons compute the same tree
// without exchanging messages. Daemons with different lists cannot form a cycle as long
// as they agree on the order, since each reads through earlier ones only.
//
// The package does no I/O and reads no clock. A Selector is not safe for concurrent
// use.
package readtree

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

const (
	// MinFanout is the number of readers of a daemon whose link is unknown or slow, as
	// long as all daemons answer. A daemon with a link of 20 Mbit/s passes a change of
	// 100 kB on to 8 readers in 0.3 s.
	MinFanout = 8
	// mbpsPerReader is the bandwidth of the link, in Mbit/s, that allows for one reader.
	// maxFanout limits the readers of a daemon: if it is lost, all of them change to
	// other daemons at once.
	mbpsPerReader = 20
	maxFanout     = 24
	// initialAvoidance is how long a daemon is avoided that did not answer or was behind
	// others. It doubles with each further failure up to maxAvoidance: lost machines stay
	// on the list, and each attempt costs a timeout.
	initialAvoidance = 2 * time.Second
	maxAvoidance     = 16 * time.Second
)

// Daemon is a daemon of the zone.
type Daemon struct {
	Name    string
	Address string  // IP:port
	Mbps    float64 // bandwidth of its link in Mbit/s; 0: not known
	Cores   float64 // processor cores that it may use; 0: not known
}

// fanout returns how many daemons read through this one as long as all answer.
func (d *Daemon) fanout() int {
	return max(MinFanout, min(int(d.Mbps/mbpsPerReader), maxFanout))
}

// Selector holds one daemon's view of the tree. Create it with New.
type Selector struct {
	self     Daemon
	order    []Daemon // the daemons of the zone, in the order of the tree
	index    int      // of self in order
	position position // of self in the tree
	avoided  map[string]avoidance
}

// position is a daemon's position in the tree.
type position struct {
	depth  int // hops from the store: 0 for the daemon that reads it
	parent int // index of the daemon that it reads through; -1: it reads the store
	// start is the index of the first daemon of the parent's level, and width the number
	// of daemons on that level.
	start, width int
}

// avoidance is the state of a daemon that is avoided after failures.
type avoidance struct {
	until   time.Duration
	backoff time.Duration
}

// New returns the Selector of a daemon without other daemons.
func New(self Daemon) *Selector {
	s := &Selector{self: self, avoided: map[string]avoidance{}}
	s.Set(nil)
	return s
}

// Set replaces the daemons of the zone. This daemon is added if it is not among them.
func (s *Selector) Set(zone []Daemon) {
	s.order = slices.DeleteFunc(slices.Clone(zone), func(d Daemon) bool { return d.Name == s.self.Name })
	s.order = append(s.order, s.self)
	ranks := make(map[string]uint64, len(s.order))
	for _, d := range s.order {
		ranks[d.Name] = rank(d)
	}
	slices.SortFunc(s.order, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(b.Mbps, a.Mbps), cmp.Compare(b.Cores, a.Cores), cmp.Compare(ranks[a.Name], ranks[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	s.index = slices.IndexFunc(s.order, func(d Daemon) bool { return d.Name == s.self.Name })
	s.position = positionOf(s.order, s.index)
	known := make(map[string]avoidance, len(s.avoided))
	for _, d := range s.order {
		if a, ok := s.avoided[d.Address]; ok {
			known[d.Address] = a
		}
	}
	s.avoided = known
}

func rank(d Daemon) uint64 { return hash.Text("reader/" + d.Name) }

// positionOf computes the position of the daemon at the index by filling the tree level by
// level, in order.
func positionOf(order []Daemon, index int) position {
	if index == 0 {
		return position{parent: -1}
	}
	p := position{depth: 1, width: 1}
	next, levelEnd := 1, 1 // the first daemon without a parent; the end of the parent's level
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

// Index returns the number of daemons that precede this one in the order of the tree.
func (s *Selector) Index() int { return s.index }

// Size returns the number of daemons in the zone, including this one.
func (s *Selector) Size() int { return len(s.order) }

// Candidates returns up to limit daemons to read through, best first: the parent in the
// tree, another daemon of the parent's level, then the remaining earlier daemons in
// order. Avoided daemons are omitted. It is empty for a daemon that reads the store
// itself.
func (s *Selector) Candidates(now time.Duration, limit int) []Daemon {
	var out []Daemon
	for _, i := range s.preferred() {
		if len(out) == limit {
			break
		}
		if d := s.order[i]; !s.isAvoided(now, d) && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// preferred returns the indexes of the earlier daemons, best first. The parent and its
// substitute occur twice.
func (s *Selector) preferred() []int {
	if s.index == 0 {
		return nil
	}
	p := s.position
	out := []int{p.parent}
	if p.width > 1 {
		// The readers of a lost daemon change to different daemons.
		out = append(out, p.start+(p.parent-p.start+1+s.index%(p.width-1))%p.width)
	}
	for i := range s.index {
		out = append(out, i)
	}
	return out
}

// Depth returns the number of daemons between this one and the store as long as all
// answer; 0: it reads the store itself.
func (s *Selector) Depth() int { return s.position.depth }

// RandomOther returns another daemon of the zone, chosen by random, a number in [0, 1);
// false if there is none. It is for a daemon that reaches neither a candidate nor the
// store.
func (s *Selector) RandomOther(random float64) (Daemon, bool) {
	others := len(s.order) - 1
	if others < 1 {
		return Daemon{}, false
	}
	i := int(random * float64(others))
	if i >= s.index {
		i++
	}
	return s.order[i], true
}

func (s *Selector) isAvoided(now time.Duration, d Daemon) bool {
	a, ok := s.avoided[d.Address]
	return ok && now < a.until
}

// Avoid excludes a daemon from the candidates for a while, for longer with each call.
func (s *Selector) Avoid(now time.Duration, d Daemon) {
	a, ok := s.avoided[d.Address]
	switch {
	case ok && now < a.until:
		return // failure of a read that was already in progress
	case ok:
		a.backoff = min(2*a.backoff, maxAvoidance)
	default:
		a.backoff = initialAvoidance
	}
	a.until = now + a.backoff
	s.avoided[d.Address] = a
}

// RecordAnswer records a usable answer of a daemon, which is then no longer avoided.
func (s *Selector) RecordAnswer(d Daemon) { delete(s.avoided, d.Address) }
