package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/internal/hash"
)

const (
	// spreadCost is the scale, in seconds, of the random cost that spreads requests over
	// endpoints of which all daemons know the same loads. A cached prefix that saves more
	// prevails.
	spreadCost = 0.1
	// maxSpreadCost is the cost, in seconds, of an endpoint that gets more than its part
	// without this request.
	maxSpreadCost = 2.0
)

// spread holds the expected load of one candidate.
type spread struct {
	candidate int
	slots     float64
	left      float64 // requests under way that will not have ended after the window
	part      float64 // of the next requests of all daemons, as a multiple of the mean
}

// spreadLoads determines which part of the next requests of all daemons each candidate
// should get, if all daemons know the same reports, each until the window has passed.
//
// If every daemon sent its requests to the endpoint that was least loaded in the report,
// that would get the requests of all daemons at once, and the others none. So the work that
// endpoints complete within the window is divided again such that all have the same load
// relative to their slots afterwards. An endpoint without a report is assumed to have the
// mean load: it gets neither no requests nor those of all daemons.
//
// The work is that of all endpoints of the service, as the requests that other candidate
// pools cannot take are sent to these candidates too.
func (v *View) spreadLoads(now time.Time, r *Request) {
	s := &v.scratch
	s.spreads = s.spreads[:0]
	known, load, slots := 0.0, 0.0, 0.0
	for i := range s.candidates {
		if e := &v.endpoints[s.candidates[i].endpoint]; !e.loadAt.IsZero() {
			known++
			load += float64(e.load.Running + e.load.Waiting)
			slots += float64(e.load.Slots)
		}
	}
	mean, meanSlots := load/max(known, 1), max(1, slots/max(known, 1))
	ended := 0.0
	for i := range s.candidates {
		e := &v.endpoints[s.candidates[i].endpoint]
		next := spread{candidate: i, slots: meanSlots}
		if e.load.Slots > 0 {
			next.slots = float64(e.load.Slots)
		}
		all := mean
		if !e.loadAt.IsZero() {
			all = float64(e.load.Running + e.load.Waiting)
		}
		all += float64(e.pendingCount)
		within := r.SharedWithin
		if !e.loadAt.IsZero() {
			within = max(within, now.Sub(e.loadAt))
		}
		done := min(all, next.slots) * v.endedFraction(within)
		next.left = all - done
		ended += done
		s.spreads = append(s.spreads, next)
	}
	divide(s.spreads, max(1, ended, v.endedWork(r)))
}

// endedFraction returns the expected fraction of the running requests that ends in a time.
func (v *View) endedFraction(within time.Duration) float64 {
	return 1 - math.Exp(-within.Seconds()/v.serviceTime)
}

// endedWork returns the expected number of requests that end within the window at all
// endpoints of the request's service.
func (v *View) endedWork(r *Request) float64 {
	p := v.pools[r.SharedPool]
	if p == nil {
		return 0
	}
	running := 0
	for _, ep := range p.members {
		running += v.endpoints[ep].load.Running
	}
	return float64(running) * v.endedFraction(r.SharedWithin)
}

// divide sets the parts such that the requests bring the candidates to the same load
// relative to their slots.
func divide(all []spread, requests float64) {
	slices.SortFunc(all, func(a, b spread) int {
		return cmp.Or(cmp.Compare(a.left/a.slots, b.left/b.slots), cmp.Compare(a.candidate, b.candidate))
	})
	level, left, slots := 0.0, 0.0, 0.0
	for i := range all {
		left, slots = left+all[i].left, slots+all[i].slots
		level = (left + requests) / slots
		if i+1 < len(all) && level <= all[i+1].left/all[i+1].slots {
			break
		}
	}
	for i := range all {
		all[i].part = max(0, level*all[i].slots-all[i].left) * float64(len(all)) / requests
	}
}

// addSpreadCosts adds the random costs after spreadLoads. A candidate is then the cheapest
// one of equals with a probability in proportion to its part.
func (v *View) addSpreadCosts(id uint64) {
	for _, p := range v.scratch.spreads {
		c := &v.scratch.candidates[p.candidate]
		cost := maxSpreadCost
		if p.part > 0 {
			random := (float64(hash.Mix(id^uint64(c.endpoint)<<32)) + 1) / (math.MaxUint64 + 1)
			cost = min(maxSpreadCost, -spreadCost*math.Log(random)/p.part)
		}
		c.cost += cost
	}
}
