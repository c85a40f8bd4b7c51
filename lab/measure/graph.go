package measure

import (
	"fmt"
	"slices"

	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/ports"
)

// LinkChanges is what a change of the list of daemons does to their links.
type LinkChanges struct {
	Before    int // links before
	Closed    int
	Opened    int // each costs a TLS handshake
	MaxOpened int // links opened by one daemon that stayed, at the most
}

// links are the pairs of neighbours, the smaller id first.
type links map[[2]string]bool

func linksOf(list []ports.Daemon) links {
	out := links{}
	for _, d := range list {
		for _, n := range neighbour.Choose(d, list, neighbour.Options{}) {
			pair := [2]string{d.ID, n.ID}
			slices.Sort(pair[:])
			out[pair] = true
		}
	}
	return out
}

// ReplaceDaemons replaces some daemons by new ones in the same zones, at once.
func ReplaceDaemons(daemons, zones, replaced int) LinkChanges {
	before := Daemons(daemons, zones)
	after := slices.Clone(before)
	for i := range replaced {
		after[i*daemons/replaced].ID = fmt.Sprintf("replacement-%d", i)
	}
	return graphChange(before, after)
}

// RemoveZone takes the daemons of the first zone off the list.
func RemoveZone(daemons, zones int) LinkChanges {
	before := Daemons(daemons, zones)
	after := slices.DeleteFunc(slices.Clone(before), func(d ports.Daemon) bool { return d.Zone == before[0].Zone })
	return graphChange(before, after)
}

func graphChange(before, after []ports.Daemon) LinkChanges {
	was, is := linksOf(before), linksOf(after)
	c := LinkChanges{Before: len(was)}
	stayed := map[string]bool{}
	for _, d := range before {
		stayed[d.ID] = true
	}
	opened := map[string]int{}
	for pair := range is {
		if was[pair] {
			continue
		}
		c.Opened++
		for _, id := range pair {
			if stayed[id] {
				opened[id]++
				c.MaxOpened = max(c.MaxOpened, opened[id])
			}
		}
	}
	for pair := range was {
		if !is[pair] {
			c.Closed++
		}
	}
	return c
}
