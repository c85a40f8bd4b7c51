package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Sync takes the platform's list. What it calls leaving gets no new work. What
// it leaves out is still tried for a while as long as it answers, as the list
// lags and has been cut short before.
func (t *Tracker) Sync(now time.Time, list []fleet.Endpoint) {
	listed := make(map[fleet.EndpointID]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		t.list(now, l)
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.missing(now, id)
		}
	}
	t.Expire(now)
	for g := range t.groups {
		t.keepFloorOf(g)
	}
}

// SetListed takes that the platform lists one endpoint. It is Sync for a shell that is told
// of changes.
func (t *Tracker) SetListed(now time.Time, l fleet.Endpoint) {
	t.list(now, l)
	t.keepFloorOf(group{class: l.Class, zone: l.Zone})
}

func (t *Tracker) list(now time.Time, l fleet.Endpoint) {
	e := t.endpoints[l.ID]
	if e != nil && (e.Class != l.Class || e.Zone != l.Zone) {
		t.remove(e)
		t.keepFloor(e)
		e = nil
	}
	if e == nil {
		t.add(now, l)
		return
	}
	e.Endpoint = l
	e.missingAt = time.Time{}
	delete(t.missed, l.ID)
}

// SetMissing takes that the platform does not list an endpoint any more.
func (t *Tracker) SetMissing(now time.Time, id fleet.EndpointID) { t.missing(now, id) }

func (t *Tracker) missing(now time.Time, id fleet.EndpointID) {
	if e := t.endpoints[id]; e != nil && e.missingAt.IsZero() {
		e.missingAt = now
		t.missed[id] = e
	}
}

// Expire forgets endpoints that the platform has not listed for long and that do not
// answer. Call it about once a second.
func (t *Tracker) Expire(now time.Time) {
	for _, e := range t.missed {
		if now.Sub(e.missingAt) > t.opts.MissingGrace && now.Sub(e.answered) > t.opts.MissingGrace {
			t.remove(e)
			t.keepFloor(e)
		}
	}
}

func (t *Tracker) add(now time.Time, l fleet.Endpoint) {
	if len(t.endpoints) >= MaxEndpoints {
		t.overflow++
		return
	}
	e := &endpoint{Endpoint: l, answered: now}
	g := group{class: l.Class, zone: l.Zone}
	t.groups[g] = append(t.groups[g], e)
	t.endpoints[l.ID] = e
}

func (t *Tracker) remove(e *endpoint) {
	delete(t.endpoints, e.ID)
	delete(t.missed, e.ID)
	t.setAway(e, false)
	g := group{class: e.Class, zone: e.Zone}
	rest := slices.DeleteFunc(t.groups[g], func(o *endpoint) bool { return o == e })
	t.groups[g] = rest
	if len(rest) == 0 {
		delete(t.groups, g)
	}
}

func (e *endpoint) leaving() bool {
	return e.draining || e.State == fleet.VMLeaving
}

// keepFloor decides anew which endpoints of the group are tried in spite of
// their ejection. A network fault or a bad release makes all endpoints of a
// zone look failed to one daemon; without the floor it would have nowhere to
// send, and one zone's load would fall on the next, which then fails as well.
// The ones kept are those due back first.
func (t *Tracker) keepFloor(e *endpoint) {
	t.keepFloorOf(group{class: e.Class, zone: e.Zone})
}

func (t *Tracker) keepFloorOf(g group) {
	if t.awayIn[g] == 0 {
		return
	}
	staying := 0
	var away []*endpoint
	for _, e := range t.groups[g] {
		if e.leaving() {
			e.kept = false
			continue
		}
		staying++
		if e.away {
			away = append(away, e)
		}
	}
	most := int(math.Floor(t.opts.MaxEjected * float64(staying)))
	slices.SortFunc(away, func(x, y *endpoint) int {
		return cmp.Or(x.returnAt.Compare(y.returnAt), cmp.Compare(x.ID, y.ID))
	})
	for i, e := range away {
		e.kept = i < len(away)-most
		if e.kept {
			e.trialUntil = time.Time{}
		}
	}
}

// checkOutliers ejects endpoints that are much slower than the others of their
// class, over all zones. An engine with a failing accelerator answers
// everything, late: no failure shows it, only first tokens.
func (t *Tracker) checkOutliers(now time.Time) {
	if now.Before(t.checkAt) {
		return
	}
	t.checkAt = now.Add(outlierCheckInterval)
	if !t.timed {
		return
	}
	medians := t.medians()
	for _, e := range t.endpoints {
		m := medians[e.Class]
		if e.away || e.samples < slownessSamples || m <= 0 || e.slowness <= t.opts.SlowFactor*m {
			continue
		}
		e.failedAt = now
		e.samples, e.slowness = 0, 0
		t.eject(now, e)
	}
}

func (t *Tracker) medians() map[string]float64 {
	all := map[string][]float64{}
	for _, e := range t.endpoints {
		if e.samples >= slownessSamples {
			all[e.Class] = append(all[e.Class], e.slowness)
		}
	}
	medians := map[string]float64{}
	for class, values := range all {
		slices.Sort(values)
		medians[class] = values[(len(values)-1)/2]
	}
	return medians
}

// Status tells whether the endpoint is tried. Endpoints that are not known are
// Leaving.
func (t *Tracker) Status(now time.Time, id fleet.EndpointID) Status {
	e := t.endpoints[id]
	if e == nil {
		return Leaving
	}
	return t.status(now, e)
}

func (t *Tracker) status(now time.Time, e *endpoint) Status {
	switch {
	case e.leaving():
		return Leaving
	case e.kept:
		return Retained
	case e.away && now.Before(e.returnAt):
		return Ejected
	case e.away && now.Before(e.trialUntil):
		return Ejected
	case e.away:
		return Trial
	case t.inSlowStart(now, e):
		return SlowStart
	}
	return Healthy
}

func (t *Tracker) inSlowStart(now time.Time, e *endpoint) bool {
	return !e.startedAt.IsZero() && now.Sub(e.startedAt) < t.opts.SlowStart
}

// Allow reports whether an attempt may go to the endpoint. For one on trial it
// takes the trial, which only a request that may be sent again is used for: it
// is the one most likely to be lost. A trial whose result never comes expires.
func (t *Tracker) Allow(now time.Time, id fleet.EndpointID, repeatable bool) bool {
	switch t.Status(now, id) {
	case Healthy, SlowStart, Retained:
		return true
	case Trial:
		if repeatable {
			t.endpoints[id].trialUntil = now.Add(t.opts.Trial)
		}
		return repeatable
	case Ejected, Leaving:
	}
	return false
}

// Weight is the part of its usual load that the endpoint may get, from 0 to 1.
// One that came back empty and got its whole load at once would be slow, and
// ejected again.
func (t *Tracker) Weight(now time.Time, id fleet.EndpointID) float64 {
	switch t.Status(now, id) {
	case SlowStart:
		part := float64(now.Sub(t.endpoints[id].startedAt)) / float64(t.opts.SlowStart)
		return max(part, slowStartWeight)
	case Healthy, Retained:
		return 1
	case Trial:
		return slowStartWeight
	case Ejected, Leaving:
	}
	return 0
}

// AppendUnusable appends the endpoints that get no new work, for placement.
// Those on trial aren't among them: Allow decides on each attempt.
func (t *Tracker) AppendUnusable(now time.Time, to []fleet.EndpointID) []fleet.EndpointID {
	for id, e := range t.endpoints {
		if s := t.status(now, e); s == Ejected || s == Leaving {
			to = append(to, id)
		}
	}
	return to
}
