package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Sync applies the platform's list of endpoints. Endpoints in state VMLeaving get
// no new requests. Endpoints that are not listed are still used for MissingGrace,
// and for as long as they answer: the list may be outdated or incomplete.
func (t *Tracker) Sync(now time.Time, list []fleet.Endpoint) {
	listed := make(map[fleet.EndpointID]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		t.setListed(now, l)
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.setMissing(now, id)
		}
	}
	t.Expire(now)
	for g := range t.groups {
		t.updateRetainedIn(g)
	}
}

// SetListed records that the platform lists the endpoint. With SetMissing it replaces
// Sync for callers that receive changes instead of lists.
func (t *Tracker) SetListed(now time.Time, l fleet.Endpoint) {
	t.setListed(now, l)
	t.updateRetainedIn(group{class: l.Class, zone: l.Zone})
}

func (t *Tracker) setListed(now time.Time, l fleet.Endpoint) {
	e := t.endpoints[l.ID]
	if e != nil && (e.Class != l.Class || e.Zone != l.Zone) {
		t.remove(e)
		t.updateRetained(e)
		e = nil
	}
	if e == nil {
		t.add(now, l)
		return
	}
	e.Endpoint = l
	e.missingAt = time.Time{}
	delete(t.unlisted, l.ID)
}

// SetMissing records that the platform no longer lists the endpoint.
func (t *Tracker) SetMissing(now time.Time, id fleet.EndpointID) { t.setMissing(now, id) }

func (t *Tracker) setMissing(now time.Time, id fleet.EndpointID) {
	if e := t.endpoints[id]; e != nil && e.missingAt.IsZero() {
		e.missingAt = now
		t.unlisted[id] = e
	}
}

// Expire removes endpoints that have neither been listed nor answered for
// MissingGrace. Call it about once a second.
func (t *Tracker) Expire(now time.Time) {
	for _, e := range t.unlisted {
		if now.Sub(e.missingAt) > t.opts.MissingGrace && now.Sub(e.answered) > t.opts.MissingGrace {
			t.remove(e)
			t.updateRetained(e)
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
	delete(t.unlisted, e.ID)
	t.setEjected(e, false)
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

// updateRetained recomputes which ejected endpoints of the group are retained, that
// is, used nevertheless. To one daemon, a network fault or a faulty release makes all
// endpoints of a zone look failed. Without a lower bound on the usable ones, it could
// not send any requests, or would move the load of the zone to another one, which
// then fails as well. Endpoints whose ejection ends first are retained.
func (t *Tracker) updateRetained(e *endpoint) {
	t.updateRetainedIn(group{class: e.Class, zone: e.Zone})
}

func (t *Tracker) updateRetainedIn(g group) {
	if t.ejectedIn[g] == 0 {
		return
	}
	staying := 0
	var ejected []*endpoint
	for _, e := range t.groups[g] {
		if e.leaving() {
			e.retained = false
			continue
		}
		staying++
		if e.ejected {
			ejected = append(ejected, e)
		}
	}
	maxEjected := int(math.Floor(t.opts.MaxEjected * float64(staying)))
	slices.SortFunc(ejected, func(x, y *endpoint) int {
		return cmp.Or(x.returnAt.Compare(y.returnAt), cmp.Compare(x.ID, y.ID))
	})
	for i, e := range ejected {
		e.retained = i < len(ejected)-maxEjected
		if e.retained {
			e.trialUntil = time.Time{}
		}
	}
}

// ejectOutliers ejects endpoints that are much slower than the others of their class
// across all zones. An engine with a failing accelerator answers all requests, but
// late, so that only the time to the first token reveals it.
func (t *Tracker) ejectOutliers(now time.Time) {
	if now.Before(t.checkAt) {
		return
	}
	t.checkAt = now.Add(outlierCheckInterval)
	if !t.hasSlowness {
		return
	}
	medians := t.medians()
	for _, e := range t.endpoints {
		m := medians[e.Class]
		if e.ejected || e.samples < slownessSamples || m <= 0 || e.slowness <= t.opts.SlowFactor*m {
			continue
		}
		e.failedAt = now
		e.samples, e.slowness = 0, 0
		t.eject(now, e)
	}
}

// medians returns the median slowness by class.
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

// Status returns the status of the endpoint. Unknown endpoints are Leaving.
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
	case e.retained:
		return Retained
	case e.ejected && now.Before(e.returnAt):
		return Ejected
	case e.ejected && now.Before(e.trialUntil):
		return Ejected
	case e.ejected:
		return Trial
	case t.inSlowStart(now, e):
		return SlowStart
	}
	return Healthy
}

func (t *Tracker) inSlowStart(now time.Time, e *endpoint) bool {
	return !e.startedAt.IsZero() && now.Sub(e.startedAt) < t.opts.SlowStart
}

// Allow reports whether an attempt may be sent to the endpoint. For an endpoint on
// trial it starts the trial, but only with a repeatable request, since a trial is
// likely to fail. A trial without a result expires.
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

// Weight returns the fraction of its usual load that the endpoint may get, from 0 to 1.
// An endpoint that returned with empty caches and got its full load at once would be
// slow and be ejected again.
func (t *Tracker) Weight(now time.Time, id fleet.EndpointID) float64 {
	switch t.Status(now, id) {
	case SlowStart:
		fraction := float64(now.Sub(t.endpoints[id].startedAt)) / float64(t.opts.SlowStart)
		return max(fraction, slowStartWeight)
	case Healthy, Retained:
		return 1
	case Trial:
		return slowStartWeight
	case Ejected, Leaving:
	}
	return 0
}

// AppendUnusable appends the endpoints that get no new requests, for placement. It
// omits those on trial, since Allow decides on each of their attempts.
func (t *Tracker) AppendUnusable(now time.Time, to []fleet.EndpointID) []fleet.EndpointID {
	for id, e := range t.endpoints {
		if s := t.status(now, e); s == Ejected || s == Leaving {
			to = append(to, id)
		}
	}
	return to
}
