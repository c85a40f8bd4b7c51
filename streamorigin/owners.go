package streamorigin

import (
	"cmp"
	"slices"

	"github.com/merlindock/merlindock/internal/hash"
)

// Daemon is a daemon of the deployment.
type Daemon struct {
	Name    string
	Zone    string
	Address string // IP:port
}

// Numbers of owners.
const (
	// toldOwners is the number of daemons that hold a record. They are in different zones
	// if possible.
	toldOwners = 3
	// askedOwners exceeds toldOwners, as the daemon that tells may know another list of
	// daemons, and is itself no owner.
	askedOwners = 6
)

// owners determines the owners of streams by rendezvous hashing.
type owners struct {
	all    []Daemon
	hashes []uint64 // of the names
	zoneOf []int    // numbers of the zones
	zones  int
}

func (o *owners) set(all []Daemon) {
	*o = owners{all: slices.Clone(all)}
	numbers := map[string]int{}
	for _, d := range all {
		if _, known := numbers[d.Zone]; !known {
			numbers[d.Zone] = len(numbers)
		}
		o.hashes = append(o.hashes, hash.Text(d.Name))
		o.zoneOf = append(o.zoneOf, numbers[d.Zone])
	}
	o.zones = len(numbers)
}

// ranked is a daemon with its place in the order of owners.
type ranked struct {
	at     int // index in owners.all
	inZone int // number of daemons of its zone before it
	score  uint64
}

// of returns the first n owners of a stream: first the best daemon of each zone, then the
// second of each, so that the loss of a zone leaves owners in others.
func (o *owners) of(id ID, n int) []Daemon {
	best := make([][]ranked, o.zones) // by zone, at most n, in order
	for i, zone := range o.zoneOf {
		r := ranked{at: i, score: hash.Mix(id.hash() ^ o.hashes[i])}
		if len(best[zone]) == n && r.score <= best[zone][n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best[zone], r, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		best[zone] = slices.Insert(best[zone], at, r)
		best[zone] = best[zone][:min(len(best[zone]), n)]
	}
	var order []ranked
	for _, zone := range best {
		for i := range zone {
			zone[i].inZone = i
		}
		order = append(order, zone...)
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.inZone, b.inZone), cmp.Compare(b.score, a.score), cmp.Compare(a.at, b.at))
	})
	out := make([]Daemon, 0, n)
	for _, r := range order[:min(len(order), n)] {
		out = append(out, o.all[r.at])
	}
	return out
}
