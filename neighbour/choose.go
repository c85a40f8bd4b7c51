// Package neighbour decides which daemons a daemon talks to, and what it makes
// of what they say.
//
// All daemons compute the same graph from the platform's list, so that no
// message is needed to agree on it. The package does no I/O and reads no clock.
package neighbour

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// Options bounds the graph. Zero fields take the defaults.
type Options struct {
	// ZonePairs is the number of other zones, on each side in the circle of all
	// zones, with which a zone is linked.
	ZonePairs int
}

// DefaultZonePairs links every zone with every other one up to five zones.
const DefaultZonePairs = 2

// singleZoneRings is the number of rings when there is one zone only, so that the
// loss of two daemons does not cut the graph.
const singleZoneRings = 2

// MaxNeighbours is the most neighbours that Choose returns with the default
// options: two on the ring of the own zone and two for each linked zone.
const MaxNeighbours = 2 + 2*2*DefaultZonePairs

// Choose returns the neighbours of self, by id. Daemons that are leaving are
// no neighbours. Self need not be listed, since the list lags.
//
// The daemons of a zone form a ring, ordered by a hash of their ids, and so
// do the daemons of each two linked zones; neighbours are those before and
// after self on each ring. Each zone is thus connected without any other, and
// any two linked zones without a third, so that the loss of a zone leaves the
// rest connected before the list shows the loss. Replacing a daemon changes
// only the neighbours beside it.
func Choose(self ports.Daemon, list []ports.Daemon, o Options) []ports.Daemon {
	if o.ZonePairs <= 0 {
		o.ZonePairs = DefaultZonePairs
	}
	zones := byZone(self, list)
	names := zoneNames(zones)
	own := zones[self.Zone]
	chosen := map[string]ports.Daemon{}

	rings := 1
	if len(names) == 1 {
		rings = singleZoneRings
	}
	for i := range rings {
		addAdjacent(self, ringName(self.Zone, self.Zone, i), own, nil, chosen)
	}
	for _, other := range linkedZones(self.Zone, names, o.ZonePairs) {
		addAdjacent(self, ringName(self.Zone, other, 0), own, zones[other], chosen)
	}
	return sortedByID(chosen)
}

// byZone groups the daemons that take part, self among them, once each.
func byZone(self ports.Daemon, list []ports.Daemon) map[fleet.ZoneID][]ports.Daemon {
	zones := map[fleet.ZoneID][]ports.Daemon{self.Zone: {self}}
	for _, d := range list {
		if d.ID != self.ID && d.State != fleet.VMLeaving {
			zones[d.Zone] = append(zones[d.Zone], d)
		}
	}
	return zones
}

func zoneNames(zones map[fleet.ZoneID][]ports.Daemon) []fleet.ZoneID {
	names := make([]fleet.ZoneID, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	slices.Sort(names)
	return names
}

// linkedZones returns the zones at a distance of up to pairs from z in the circle of
// names.
func linkedZones(z fleet.ZoneID, names []fleet.ZoneID, pairs int) []fleet.ZoneID {
	at := slices.Index(names, z)
	n := len(names)
	var out []fleet.ZoneID
	for step := 1; step <= pairs; step++ {
		for _, i := range []int{(at + step) % n, (at - step%n + n) % n} {
			if names[i] != z && !slices.Contains(out, names[i]) {
				out = append(out, names[i])
			}
		}
	}
	return out
}

// ringName is the same whichever of the two zones asks.
func ringName(a, b fleet.ZoneID, i int) string {
	if b < a {
		a, b = b, a
	}
	return string(a) + "\x00" + string(b) + "\x00" + string(rune('0'+i))
}

// ringPosition is a daemon's ringPosition on a ring; the id breaks a tie of hashes.
type ringPosition struct {
	hash uint64
	id   string
}

func positionOnRing(ring, id string) ringPosition {
	return ringPosition{xxhash.Sum64String(ring + "\x00" + id), id}
}

func (p ringPosition) before(q ringPosition) bool {
	if p.hash != q.hash {
		return p.hash < q.hash
	}
	return p.id < q.id
}

// addAdjacent adds the daemons right before and right after self on a ring.
func addAdjacent(self ports.Daemon, ring string, as, bs []ports.Daemon, chosen map[string]ports.Daemon) {
	r := ringSearch{self: positionOnRing(ring, self.ID)}
	for _, daemons := range [][]ports.Daemon{as, bs} {
		for _, d := range daemons {
			if d.ID != self.ID {
				r.consider(d, positionOnRing(ring, d.ID))
			}
		}
	}
	if !r.found {
		return
	}
	chosen[r.next.daemon.ID] = r.next.daemon
	chosen[r.previous.daemon.ID] = r.previous.daemon
}

type candidate struct {
	daemon   ports.Daemon
	position ringPosition
}

// ringSearch finds the places next to self in one pass, without sorting.
type ringSearch struct {
	self           ringPosition
	found          bool
	next, previous candidate
}

func (r *ringSearch) consider(d ports.Daemon, p ringPosition) {
	c := candidate{d, p}
	if !r.found {
		r.found, r.next, r.previous = true, c, c
		return
	}
	if r.closerAfter(p, r.next.position) {
		r.next = c
	}
	if r.closerAfter(r.previous.position, p) {
		r.previous = c
	}
}

// closerAfter tells whether p comes before q when walking up from self.
func (r *ringSearch) closerAfter(p, q ringPosition) bool {
	pWraps, qWraps := p.before(r.self), q.before(r.self)
	if pWraps != qWraps {
		return qWraps
	}
	return p.before(q)
}

func sortedByID(chosen map[string]ports.Daemon) []ports.Daemon {
	out := make([]ports.Daemon, 0, len(chosen))
	for _, d := range chosen {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b ports.Daemon) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Initiates tells whether a rather than b opens the exchanges between them, so
// that a link costs one exchange in each interval, not two.
func Initiates(a, b string) bool {
	return positionOnRing("initiates", a).before(positionOnRing("initiates", b))
}
