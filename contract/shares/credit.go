package shares

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxOrganisations bounds the memory for organisations that callers name; further ones
	// share the entry of otherOrganisations.
	maxOrganisations = 1024
	// otherOrganisations is the identifier of organisations that are not listed singly.
	otherOrganisations Organisation = 0
	// offeredMean is the averaging time of offered work. It is short enough that a surge is
	// seen within an interval, and the sum over daemons has little noise.
	offeredMean = 300 * time.Millisecond
	// surgeMean is the averaging time for the first reports of a shortage. With offeredMean,
	// three quarters of a surge would be missing in them.
	surgeMean    = 80 * time.Millisecond
	admittedMean = time.Second
	// organisationIdle is the time after which an organisation without requests is removed.
	organisationIdle = 3 * time.Second
	creditPeriod     = 200 * time.Millisecond
	// maxAdvance is how much of the credit of later requests those use that are retried at the
	// time given.
	maxAdvance = time.Second
)

// organisation is the state of an organisation at one service of this daemon.
type organisation struct {
	offered    [Priorities]rateMeter
	surge      [Priorities]rateMeter // offered, averaged over surgeMean
	admitted   rateMeter
	credit     [Priorities]float64 // above 0: the next request is admitted
	begun      [Priorities]bool
	lastUsed   time.Duration
	nextReturn time.Duration // last retry time given to a refused request
}

type organisations struct {
	byID        map[Organisation]*organisation
	lastExpired time.Duration
}

// organisation returns the state of an organisation, and the identifier of its entry.
func (os *organisations) organisation(now time.Duration, id Organisation) (*organisation, Organisation) {
	o := os.byID[id]
	if o == nil {
		if len(os.byID) >= maxOrganisations {
			id = otherOrganisations
			o = os.byID[id]
		}
		if o == nil {
			o = &organisation{}
			os.byID[id] = o
		}
	}
	o.lastUsed = now
	return o, id
}

func (os *organisations) tick(now time.Duration) {
	if now-os.lastExpired < time.Second {
		return
	}
	os.lastExpired = now
	for id, o := range os.byID {
		if now-o.lastUsed > organisationIdle && o.nextReturn < now {
			delete(os.byID, id)
		}
	}
}

func (os *organisations) offeredRate(now time.Duration) float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(os.byID)) { // sums depend on the order
		sum += os.byID[id].offeredRate(now)
	}
	return sum
}

func (os *organisations) admittedRate(now time.Duration) float64 {
	sum := 0.0
	for _, o := range os.byID {
		sum += o.admitted.rate(now, admittedMean)
	}
	return sum
}

func (o *organisation) offeredRate(now time.Duration) float64 {
	sum := 0.0
	for p := range o.offered {
		sum += o.offered[p].rate(now, offeredMean)
	}
	return sum
}

// admit decides on a request of which a fraction is admitted. Credit accumulates by the
// fraction of the offered cost, and a request is admitted while there is any, so that the
// decision does not depend on the request's own cost. It starts with a random part of one
// request: without that, an organisation with few requests at each of many daemons would be
// served too late or too often.
func (o *organisation) admit(now time.Duration, rng *rand.Rand, priority int, cost, fraction float64, due bool) bool {
	c := &o.credit[priority]
	if !o.begun[priority] {
		o.begun[priority] = true
		*c = -rng.Float64() * cost
	}
	rate := fraction * o.offered[priority].rate(now, offeredMean)
	*c = min(*c+fraction*cost, max(rate*creditPeriod.Seconds(), cost))
	if fraction <= 0 {
		*c = min(*c, 0)
		return false
	}
	if *c <= 0 && (!due || *c <= -max(rate*maxAdvance.Seconds(), cost)) {
		return false
	}
	*c -= cost
	return true
}

// priority returns the index of a priority; out of range ones count as the nearest.
func (w *Work) priority() int { return min(max(w.Priority, 0), Priorities-1) }
