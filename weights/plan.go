package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Durations and bounds of a rollout.
const (
	// minLoadTime and loadTimeFactor, the latter in multiples of the mean, bound how long
	// an accepted order is assumed to be in progress while the engine does not report.
	minLoadTime    = 4 * time.Second
	loadTimeFactor = 3
	// resendAfter is when an order without an answer is sent again. It carries the same
	// count of accepted orders, so that at most one of the two is accepted.
	resendAfter = 1500 * time.Millisecond
	// maxReplyTime exceeds the time that the report before an order and the order itself may
	// take.
	maxReplyTime = 2 * time.Second
	// refusedPause keeps an engine that refused from being ordered again at once.
	refusedPause = 300 * time.Millisecond
	// loadingFraction is the fraction of the engines that load at a time. Platforms sustain
	// the loads of a sixth to a fifth of their engines at full speed, and part of the delay
	// until the end of a load is noticed counts as load time.
	loadingFraction = 0.15
	// maxOrderedFraction bounds the fraction of the engines under an order: the others
	// serve.
	maxOrderedFraction = 0.5
	// initialRatio is the assumed ratio of an engine's absence to its load time until
	// several absences are known.
	initialRatio = 1.5
	// minAbsenceHalfLife is the half-life with which the minimum rises towards later measurements:
	// loads may come to take longer.
	minAbsenceHalfLife = time.Minute
	// meanGain is the weight of one engine in the mean absence.
	meanGain = 0.2
	// backlogStep is the smallest difference of backlogs that affects the order of engines:
	// smaller ones are within the error of the estimate.
	backlogStep = 150 * time.Millisecond
)

// Engine is the state of one engine as far as Plan depends on it.
type Engine struct {
	Target
	Zone    fleet.ZoneID
	Version int64
	// Backlog is the expected time until the engine has finished the work that it ends
	// before it loads.
	Backlog time.Duration
	// UsableFor is how long the engine's present weights may still be used; 0 or less: no
	// longer.
	UsableFor time.Duration
}

// Plan selects the engines of one model to order next. It is not safe for concurrent use.
type Plan struct {
	orders      map[fleet.EndpointID]sentOrder
	meanAbsence time.Duration // smoothed mean time from an order to the end of its load; 0: none known
	minAbsence  time.Duration // slowly rising minimum of that time: an estimate of the load alone
	measuredAt  time.Duration // when these were last updated
}

type sentOrder struct {
	version int64
	sent    time.Duration
	until   time.Duration // until then the engine counts as under the order, or is not ordered again
	loading bool          // the engine may be loading
	// unanswered states that it is not known whether the engine will carry out the order.
	unanswered bool
	// awaitingReply states that Replied has not been called yet.
	awaitingReply bool
}

// NewPlan returns a Plan without orders.
func NewPlan() *Plan {
	return &Plan{orders: map[fleet.EndpointID]sentOrder{}}
}

// CountOutdated returns the number of engines with weights older than the named version.
func CountOutdated(engines []Engine, named int64) int {
	n := 0
	for _, e := range engines {
		if e.Version < named {
			n++
		}
	}
	return n
}

// Next returns the engines to order now to the named version. Engines skip superseded
// versions, since only the newest is ever ordered.
//
// Versions may be named within seconds of each other while the fleet is busy. An ordered
// engine finishes its requests first and accepts no others meanwhile, which takes about
// 0.7 s in all with little to do and 3.6 s with a queue. So engines whose weights may no
// longer be used are ordered first, and then those with the smallest backlog.
func (p *Plan) Next(now time.Duration, engines []Engine, named int64) []Engine {
	absent := map[fleet.ZoneID]int{}
	ordered, unanswered := 0, 0
	var waiting []Engine
	for _, e := range engines {
		if e.Version >= named {
			p.finish(now, e.Key)
			continue
		}
		o, known := p.orders[e.Key]
		if known && o.loading && o.version <= e.Version {
			p.finish(now, e.Key) // and superseded since
			known = false
		}
		switch {
		case !known || now >= o.until:
			waiting = append(waiting, e)
		case o.loading:
			ordered++
			if o.unanswered {
				unanswered++
			}
			absent[e.Zone]++
		}
	}
	slices.SortFunc(waiting, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(min(a.UsableFor, 0), min(b.UsableFor, 0)), cmp.Compare(a.Backlog/backlogStep, b.Backlog/backlogStep),
			cmp.Compare(a.Version, b.Version), cmp.Compare(absent[a.Zone], absent[b.Zone]), cmp.Compare(a.Key, b.Key))
	})
	// Most engines with an unanswered order serve on, so that they do not take the place of
	// others; but all of them may begin to load.
	free := min(p.maxOrdered(len(engines))-(ordered-unanswered), maxAbsent(len(engines))-ordered)
	return waiting[:min(max(0, free), len(waiting))]
}

// maxOrdered returns how many of n engines may be under an order.
//
// Loads share a link and slow each other down, so that more of them at once do not end
// sooner; but an engine that finishes its requests first does not load yet. So
// loadingFraction of the engines is scaled by the ratio of the mean absence to the load
// time.
func (p *Plan) maxOrdered(n int) int {
	ratio := initialRatio
	if p.minAbsence > 0 {
		ratio = p.meanAbsence.Seconds() / p.minAbsence.Seconds()
	}
	return min(max(1, int(math.Round(loadingFraction*ratio*float64(n)))), maxAbsent(n))
}

// maxAbsent returns how many of n engines may be under an order that they have answered or
// not.
func maxAbsent(n int) int { return max(1, int(maxOrderedFraction*float64(n))) }

// finish records that an engine has the weights, and measures its absence.
func (p *Plan) finish(now time.Duration, key fleet.EndpointID) {
	if o, ordered := p.orders[key]; ordered && o.loading {
		p.measure(now, now-o.sent)
	}
	delete(p.orders, key)
}

func (p *Plan) measure(now, took time.Duration) {
	if p.minAbsence == 0 {
		p.minAbsence, p.meanAbsence = took, time.Duration(initialRatio*float64(took))
	}
	p.meanAbsence += time.Duration(meanGain * float64(took-p.meanAbsence))
	rise := 1 - math.Exp2(-(now-p.measuredAt).Seconds()/minAbsenceHalfLife.Seconds())
	p.minAbsence = min(took, p.minAbsence+time.Duration(rise*float64(took-p.minAbsence)))
	p.measuredAt = now
}

// Sent records that an order is about to be sent to an engine. Until Replied is called, the
// engine counts as loading.
func (p *Plan) Sent(now time.Duration, key fleet.EndpointID, version int64) {
	p.orders[key] = sentOrder{version: version, sent: p.firstSent(now, key, version), until: now + maxReplyTime, loading: true, awaitingReply: true}
}

// firstSent returns when an order that may be repeated was first sent.
func (p *Plan) firstSent(now time.Duration, key fleet.EndpointID, version int64) time.Duration {
	if o, ok := p.orders[key]; ok && o.loading && o.version == version {
		return o.sent
	}
	return now
}

// Replied records an engine's reply to an order.
func (p *Plan) Replied(now time.Duration, key fleet.EndpointID, version int64, r Reply) {
	switch r {
	case Accepted:
		p.orders[key] = sentOrder{version: version, sent: p.firstSent(now, key, version), until: now + max(minLoadTime, loadTimeFactor*p.meanAbsence), loading: true}
	case Unanswered:
		p.orders[key] = sentOrder{version: version, sent: now, until: now + resendAfter, loading: true, unanswered: true}
	case AlreadyHolds, Refused:
		p.orders[key] = sentOrder{version: version, until: now + refusedPause}
	}
}

// EndSuperseded ends an order to an engine that has loaded older weights than ordered since
// the order was sent: it was loading them already, or carried out an earlier order late. It
// will not carry out this order, which would otherwise count until it expires. EndSuperseded
// returns false, and changes nothing, if the reply to the order is awaited or the last order
// was to another version.
func (p *Plan) EndSuperseded(now time.Duration, key fleet.EndpointID, version int64) bool {
	if o := p.orders[key]; o.awaitingReply || o.version != version {
		return false
	}
	p.Replied(now, key, version, AlreadyHolds)
	return true
}

// RemoveUnknown removes the state of engines that are not in known.
func (p *Plan) RemoveUnknown(known map[fleet.EndpointID]bool) {
	for key := range p.orders {
		if !known[key] {
			delete(p.orders, key)
		}
	}
}
