package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Times and bounds of a rollout.
const (
	// loadTime is how long an accepted order is taken to be in progress while
	// nothing is heard of the engine: running requests end and weights load.
	loadTime = 6 * time.Second
	// lostAfter is when an order without an answer is given again. It names the
	// same count of accepted orders, so that at most one of the two is taken.
	lostAfter = 1500 * time.Millisecond
	// refusedPause keeps a refused engine from being asked again at once.
	refusedPause = 300 * time.Millisecond
	// atOncePart is the part of the engines that are under an order at a time.
	// Loads slow each other down above about a fifth of the engines, and of those
	// under an order some still end their requests.
	atOncePart = 0.22
)

// Engine is what the plan needs to know of one engine.
type Engine struct {
	Target
	Zone    fleet.ZoneID
	Version int64
}

// Plan decides which engines of one model are ordered next. It is not safe for
// concurrent use.
type Plan struct {
	orders map[fleet.EndpointID]sentOrder
}

type sentOrder struct {
	version int64
	until   time.Duration // the engine counts as loading, or is left alone, until then
	loads   bool
}

// NewPlan returns a plan without orders.
func NewPlan() *Plan { return &Plan{orders: map[fleet.EndpointID]sentOrder{}} }

// AtOnce is how many of n engines load at a time.
func AtOnce(n int) int { return max(1, int(math.Round(atOncePart*float64(n)))) }

// Behind counts the engines with older weights than named.
func Behind(engines []Engine, named int64) int {
	n := 0
	for _, e := range engines {
		if e.Version < named {
			n++
		}
	}
	return n
}

// Next returns the engines to order now to the named version: few at a time,
// the ones furthest behind first, spread over the zones. Engines skip versions
// that were overtaken, since only the newest is ever ordered.
func (p *Plan) Next(now time.Duration, engines []Engine, named int64) []Engine {
	loading := map[fleet.ZoneID]int{}
	busy := 0
	var waiting []Engine
	for _, e := range engines {
		if e.Version >= named {
			delete(p.orders, e.Key)
			continue
		}
		o, ordered := p.orders[e.Key]
		switch {
		case !ordered || now >= o.until || (o.loads && o.version <= e.Version):
			waiting = append(waiting, e)
		case o.loads:
			busy++
			loading[e.Zone]++
		}
	}
	slices.SortFunc(waiting, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(loading[a.Zone], loading[b.Zone]), cmp.Compare(a.Key, b.Key))
	})
	room := max(0, AtOnce(len(engines))-busy)
	return waiting[:min(room, len(waiting))]
}

// Replied takes what an engine said to an order.
func (p *Plan) Replied(now time.Duration, key fleet.EndpointID, version int64, r Reply) {
	switch r {
	case Accepted:
		p.orders[key] = sentOrder{version: version, until: now + loadTime, loads: true}
	case Unanswered:
		p.orders[key] = sentOrder{version: version, until: now + lostAfter, loads: true}
	case AlreadyHolds, Refused:
		p.orders[key] = sentOrder{version: version, until: now + refusedPause}
	}
}

// Forget drops engines that are gone.
func (p *Plan) Forget(known map[fleet.EndpointID]bool) {
	for key := range p.orders {
		if !known[key] {
			delete(p.orders, key)
		}
	}
}
