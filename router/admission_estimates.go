package router

import (
	"time"

	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/routes"
)

// estimateKey identifies requests of a similar duration.
type estimateKey struct {
	route string
	kind  int // 0: plain; else 1 + the subpool
}

// routeEstimate is what is known of the duration of a route's requests.
type routeEstimate struct {
	duration average    // seconds in a slot, without the wait
	uncached average    // fraction of the prompt tokens that an engine has to read
	lowest   lowestTime // to the first byte, without the time to read a prompt
}

// average is a moving average that begins with the mean of its first samples.
type average struct {
	value float64
	n     int
}

func (a *average) add(sample float64) {
	a.n++
	a.value += max(1/float64(a.n), costWeight) * (sample - a.value)
}

// lowestTime is the lowest time of the present window and the one before.
type lowestTime struct {
	began             time.Time
	present, previous time.Duration // 0: none
}

// add adds a sample.
func (l *lowestTime) add(now time.Time, sample time.Duration) {
	sample = max(sample, 1)
	switch since := now.Sub(l.began); {
	case since >= 2*lowestWindow:
		l.began, l.present, l.previous = now, 0, 0
	case since >= lowestWindow:
		l.began, l.previous, l.present = l.began.Add(lowestWindow), l.present, 0
	}
	if l.present == 0 || sample < l.present {
		l.present = sample
	}
}

// value returns the lowest time; 0: none was added.
func (l *lowestTime) value() time.Duration {
	if l.previous == 0 || l.present != 0 && l.present < l.previous {
		return l.present
	}
	return l.previous
}

// wait returns the wait of a request that has taken the given time to the first byte, or
// has had none in that time.
func (o *openRequest) wait(e *routeEstimate, took time.Duration) shares.Wait {
	idle := e.lowest.value()
	if idle == 0 {
		idle = took
	}
	idle = min(idle+o.readTime, time.Duration(maxIdleFraction*float64(o.objective)))
	return shares.Wait{Waited: max(0, took-idle), Allowed: o.objective - idle}
}

func objectiveOf(r *routes.Route) time.Duration {
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	return defaultObjective
}

func estimateKeyOf(req *forward.PlacementRequest) estimateKey {
	if req.Service.Engine == nil || req.In.Model == "" {
		return estimateKey{route: req.Route.Name}
	}
	return estimateKey{route: req.Route.Name, kind: 1 + int(subpoolOf(req.In.PromptTokens))}
}

// estimate returns what is known of a kind of requests. The caller must hold mu.
func (a *admission) estimate(key estimateKey) *routeEstimate {
	e := a.estimates[key]
	if e == nil {
		e = &routeEstimate{}
		a.estimates[key] = e
	}
	return e
}

// cost returns the expected endpoint time of a request in slot-seconds, and the part of it
// that reading a prompt takes, before both are scaled. The caller must hold mu.
//
// An engine reads the prompts of its batch one after another, and all its slots wait
// meanwhile.
func (a *admission) cost(req *forward.PlacementRequest, e *routeEstimate) (cost, read float64) {
	cost = defaultCost
	if e.duration.n > 0 {
		cost = e.duration.value
	}
	if req.Service.Engine == nil || req.In.Model == "" {
		return cost, 0
	}
	uncached := 1.0
	if e.uncached.n > 0 {
		uncached = e.uncached.value
	}
	read = float64(max(req.In.PromptTokens, 0)) * uncached / prefillRate * float64(max(req.Service.Engine.Slots, 1))
	return cost + read, read
}

// observe passes the wait of a request to the node, once. The caller must hold mu.
func (a *admission) observe(now time.Duration, o *openRequest, w shares.Wait) {
	if o.work == nil {
		return
	}
	w.Cost = o.work.Cost
	a.node.Observe(now, o.service, w)
	o.work = nil
}
