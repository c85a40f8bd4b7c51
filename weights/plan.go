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
	// leastLoadTime and loadTimes, in times of the mean, are how long an accepted
	// order is taken to be in progress while nothing is heard of the engine.
	leastLoadTime = 4 * time.Second
	loadTimes     = 3
	// lostAfter is when an order without an answer is given again. It names the
	// same count of accepted orders, so that at most one of the two is taken.
	lostAfter = 1500 * time.Millisecond
	// refusedPause keeps a refused engine from being asked again at once.
	refusedPause = 300 * time.Millisecond
	// loadPart is the part of the engines that load at a time. Platforms carry the
	// loads of a sixth to a fifth of their engines at full speed, and some of the
	// time until the end of a load is noticed counts as load.
	loadPart = 0.15
	// mostAtOncePart bounds the part of the engines under an order: the others serve.
	mostAtOncePart = 0.5
	// firstRatio is how much longer than a mere load an engine is taken to be away
	// until several were seen.
	firstRatio = 1.5
	// leastLife is the time in which the least time rises half of the way to those
	// seen since: loads may come to take longer.
	leastLife = time.Minute
	// awayGain is the weight of one engine in the mean time away.
	awayGain = 0.2
	// backlogStep is the difference of backlogs that decides who is ordered first:
	// smaller ones are within the error of their estimate.
	backlogStep = 150 * time.Millisecond
)

// Engine is what the plan needs to know of one engine.
type Engine struct {
	Target
	Zone    fleet.ZoneID
	Version int64
	// Backlog is how long the engine has work that it ends before it loads.
	Backlog time.Duration
	// UsableFor is how long its weights may still be used; 0 and less: not any more.
	UsableFor time.Duration
}

// Plan decides which engines of one model are ordered next. It is not safe for
// concurrent use.
type Plan struct {
	orders map[fleet.EndpointID]sentOrder
	away   time.Duration // mean time from an order to its end, smoothed; 0: none was seen
	least  time.Duration // the least such time, which rises slowly: that of the load alone
	learnt time.Duration // when that changed
}

type sentOrder struct {
	version int64
	sent    time.Duration
	until   time.Duration // the engine counts as under the order, or is left alone, until then
	loads   bool
}

// NewPlan returns a plan without orders.
func NewPlan() *Plan {
	return &Plan{orders: map[fleet.EndpointID]sentOrder{}}
}

// CountOutdated counts the engines with older weights than named.
func CountOutdated(engines []Engine, named int64) int {
	n := 0
	for _, e := range engines {
		if e.Version < named {
			n++
		}
	}
	return n
}

// NextOffset returns the engines to order now to the named version. Engines skip
// versions that were overtaken, since only the newest is ever ordered.
//
// The pattern: versions are named within seconds of each other while the fleet is
// busy. An engine that is ordered ends its requests first, and takes no others
// meanwhile: 0.7 s in all with little to do, 3.6 s with a queue. So those whose
// weights nobody may use any more go first, and then those with the least to end.
func (p *Plan) Next(now time.Duration, engines []Engine, named int64) []Engine {
	away := map[fleet.ZoneID]int{}
	ordered := 0
	var waiting []Engine
	for _, e := range engines {
		if e.Version >= named {
			p.done(now, e.Key)
			continue
		}
		o, known := p.orders[e.Key]
		if known && o.loads && o.version <= e.Version {
			p.done(now, e.Key) // and overtaken since
			known = false
		}
		switch {
		case !known || now >= o.until:
			waiting = append(waiting, e)
		case o.loads:
			ordered++
			away[e.Zone]++
		}
	}
	slices.SortFunc(waiting, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(min(a.UsableFor, 0), min(b.UsableFor, 0)), cmp.Compare(a.Backlog/backlogStep, b.Backlog/backlogStep),
			cmp.Compare(a.Version, b.Version), cmp.Compare(away[a.Zone], away[b.Zone]), cmp.Compare(a.Key, b.Key))
	})
	room := max(0, p.atOnce(len(engines))-ordered)
	return waiting[:min(room, len(waiting))]
}

// atOnce is how many of n engines may be under an order.
//
// Loads share a link and slow each other down, so that more of them at once are not
// done any sooner; but an engine that ends its requests first does not load yet. As
// many are ordered as it takes to keep loadPart of the engines loading, by how much
// longer than a mere load an engine is away.
func (p *Plan) atOnce(n int) int {
	ratio := firstRatio
	if p.least > 0 {
		ratio = p.away.Seconds() / p.least.Seconds()
	}
	most := max(1, int(mostAtOncePart*float64(n)))
	return min(max(1, int(math.Round(loadPart*ratio*float64(n)))), most)
}

// done takes that an engine has the weights, and learns how long it was away.
func (p *Plan) done(now time.Duration, key fleet.EndpointID) {
	if o, ordered := p.orders[key]; ordered && o.loads {
		p.learn(now, now-o.sent)
	}
	delete(p.orders, key)
}

func (p *Plan) learn(now, took time.Duration) {
	if p.least == 0 {
		p.least, p.away = took, time.Duration(firstRatio*float64(took))
	}
	p.away += time.Duration(awayGain * float64(took-p.away))
	rise := 1 - math.Exp2(-(now-p.learnt).Seconds()/leastLife.Seconds())
	p.least = min(took, p.least+time.Duration(rise*float64(took-p.least)))
	p.learnt = now
}

// Replied takes what an engine said to an order.
func (p *Plan) Replied(now time.Duration, key fleet.EndpointID, version int64, r Reply) {
	switch r {
	case Accepted:
		sent := now
		if o, ok := p.orders[key]; ok && o.loads && o.version == version {
			sent = o.sent // it was asked again
		}
		p.orders[key] = sentOrder{version: version, sent: sent, until: now + max(leastLoadTime, loadTimes*p.away), loads: true}
	case Unanswered:
		p.orders[key] = sentOrder{version: version, sent: now, until: now + lostAfter, loads: true}
	case AlreadyHolds, Refused:
		p.orders[key] = sentOrder{version: version, until: now + refusedPause}
	}
}

// RemoveUnknown drops engines that are gone.
func (p *Plan) RemoveUnknown(known map[fleet.EndpointID]bool) {
	for key := range p.orders {
		if !known[key] {
			delete(p.orders, key)
		}
	}
}
