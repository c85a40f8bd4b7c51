// Package neighbour selects the daemons with which a daemon exchanges digests, and
// evaluates the digests received.
//
// All daemons compute the same graph from the platform's list, without exchanging
// messages to agree on it. The package does no I/O and reads no clock.
package neighbour

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// Options configures the graph. Zero fields take the defaults.
type Options struct {
	// ZonePairs is the number of other zones, on each side in the ring of all zones, with
	// which a zone is linked.
	ZonePairs int
}

// DefaultZonePairs links every zone with every other one if there are up to five zones.
const DefaultZonePairs = 2

// singleZoneRings is the number of rings in a deployment with one zone. With a single
// ring, the loss of two daemons could partition the graph.
const singleZoneRings = 2

// MaxNeighbours is the maximum number of neighbours that Choose returns with the default
// options: two on the ring of the own zone and two for each linked zone.
const MaxNeighbours = 2 + 2*2*DefaultZonePairs

// Choose returns the neighbours of self, sorted by ID. Daemons that are leaving are left
// out. Self need not be in the list, which lags.
//
// The daemons of a zone form a ring, ordered by a hash of their IDs, and so do the
// daemons of each pair of linked zones. The neighbours are the previous and the next
// daemon on each ring. Each zone is thus connected by itself, and so is each pair of
// linked zones: after the loss of a zone the others stay connected, even while the list
// still has its daemons. Replacing a daemon affects only the daemons next to it.
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

// byZone groups self and the daemons that are not leaving by zone.
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

// linkedZones returns the zones at a distance of up to pairs from z on the ring of all
// zones.
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

// ringName returns the name of the i-th ring of two zones, in either order.
func ringName(a, b fleet.ZoneID, i int) string {
	if b < a {
		a, b = b, a
	}
	return string(a) + "\x00" + string(b) + "\x00" + string(rune('0'+i))
}

// ringPosition is a daemon's position on a ring. The ID breaks ties between hashes.
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

// addAdjacent adds the previous and the next daemon on a ring to chosen.
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

// ringSearch finds the positions adjacent to self in one pass, without sorting.
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

// closerAfter reports whether p precedes q when the ring is followed upwards from self.
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

// Initiates reports whether a, and not b, opens the exchanges between them, so that a
// link costs one exchange per interval instead of two.
func Initiates(a, b string) bool {
	return positionOnRing("initiates", a).before(positionOnRing("initiates", b))
}
