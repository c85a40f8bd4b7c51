package measure

import (
	"fmt"
	"slices"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/ports"
)

// LinkChanges counts the links between daemons that a change of the list of
// daemons closes and opens.
type LinkChanges struct {
	Before    int // links before the change
	Closed    int
	Opened    int // each costs a TLS handshake
	MaxOpened int // maximum of links opened by one daemon that was on the list before
}

// linkSet holds pairs of neighbours by id, the smaller id first.
type linkSet map[[2]string]bool

func linksOf(list []ports.Daemon) linkSet {
	out := linkSet{}
	for _, d := range list {
		for _, n := range neighbour.Choose(d, list, neighbour.Options{}) {
			pair := [2]string{d.ID, n.ID}
			slices.Sort(pair[:])
			out[pair] = true
		}
	}
	return out
}

// ReplaceDaemons returns the changes when count daemons are replaced at once by
// new ones in the same zones.
func ReplaceDaemons(daemons, zones, count int) LinkChanges {
	before := Daemons(daemons, zones)
	after := slices.Clone(before)
	for i := range count {
		after[i*daemons/count].ID = fmt.Sprintf("replacement-%d", i)
	}
	return compareLinks(before, after)
}

// RemoveZone returns the changes when all daemons of the first zone are removed
// from the list.
func RemoveZone(daemons, zones int) LinkChanges {
	before := Daemons(daemons, zones)
	after := slices.DeleteFunc(slices.Clone(before), func(d ports.Daemon) bool { return d.Zone == before[0].Zone })
	return compareLinks(before, after)
}

func compareLinks(before, after []ports.Daemon) LinkChanges {
	oldLinks, newLinks := linksOf(before), linksOf(after)
	c := LinkChanges{Before: len(oldLinks)}
	existing := map[string]bool{}
	for _, d := range before {
		existing[d.ID] = true
	}
	opened := map[string]int{}
	for pair := range newLinks {
		if oldLinks[pair] {
			continue
		}
		c.Opened++
		for _, id := range pair {
			if existing[id] {
				opened[id]++
				c.MaxOpened = max(c.MaxOpened, opened[id])
			}
		}
	}
	for pair := range oldLinks {
		if !newLinks[pair] {
			c.Closed++
		}
	}
	return c
}
