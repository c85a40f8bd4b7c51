package router

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/merlindock/merlindock/contract/shares"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/retry"
)

// openRequest is a request under way at an endpoint.
type openRequest struct {
	service   shares.Service
	key       estimateKey
	endpoint  fleet.EndpointID
	placed    time.Time
	objective time.Duration
	readCost  float64       // slot-seconds
	readTime  time.Duration // expected, of the tokens that are not cached
	firstByte time.Duration // from placed; 0: none was received
	waited    time.Duration // part of firstByte
	unobserved
}

// unobserved is an admitted request whose wait was not passed to the node yet.
type unobserved struct {
	req   *forward.PlacementRequest // the same for all attempts of a request
	work  *shares.Work              // nil: the wait was passed on, or the request was not offered
	since time.Time
}

// offer decides on a request of a caller. It returns nil if the request is not subject to
// admission.
func (a *admission) offer(req *forward.PlacementRequest) (*shares.Work, shares.Decision) {
	if req.Attempt > 0 || req.Resuming || req.In.Continues {
		return nil, shares.Decision{Admitted: true}
	}
	w := &shares.Work{
		Service: serviceOf(req), Organisation: shares.OrganisationOf(""), Request: requestHash(req), Objective: objectiveOf(req.Route),
		// Within the share of an organisation, its kinds of requests are served in the order of
		// their routes, whatever the organisation's own priority.
		Priority: int(priorityOf(req.Route.Priority)),
	}
	if req.Organisation != nil {
		w.Organisation = shares.OrganisationOf(req.Organisation.Name)
	}
	known := false
	var d shares.Decision
	a.do(func(now time.Duration) {
		s := a.services[w.Service]
		if known = s != nil; !known {
			return // callers may name any model, for which there would be state
		}
		w.Cost, _ = a.cost(req, a.estimate(estimateKeyOf(req)))
		w.Cost *= s.costFactor()
		d = a.node.Offer(now, w)
	})
	if !known {
		return nil, shares.Decision{Admitted: true}
	}
	name := "share_admitted"
	if !d.Admitted {
		name = "share_refused"
	}
	a.scope.Tagged(map[string]string{"priority": strconv.Itoa(w.Priority)}).Counter(name).Inc(1)
	return w, d
}

// requestHash recognises a request that its caller sends again. It returns 0 if the request
// has no fingerprint.
func requestHash(req *forward.PlacementRequest) uint64 {
	var out uint64
	for _, b := range req.Identity.Request[:8] {
		out = out<<8 | uint64(b)
	}
	return out
}

// refusal returns the error for a request that is not admitted.
func (p *placer) refusal(w *shares.Work, d *shares.Decision) *forward.RefusedError {
	code := codeOverloaded
	if d.Fraction < 1 {
		code = codeOverShare
	}
	after := d.RetryAfter
	if after <= 0 {
		after = p.overloadRetryAfter()
	}
	return &forward.RefusedError{Code: code, RetryAfter: after, Share: &forward.ShareRefusal{
		Priority: w.Priority, Fraction: d.Fraction, Owner: d.Owner, Age: d.Age, Short: d.Short,
	}}
}

// Place implements forward.Placer. A request is placed only if it is admitted.
func (d *dispatchPlacer) Place(ctx context.Context, req *forward.PlacementRequest) (forward.Placement, error) {
	if !d.admission.enabled() {
		return d.placePermitted(ctx, req)
	}
	work, decision := d.admission.offer(req)
	if !decision.Admitted {
		return forward.Placement{}, d.refusal(work, &decision)
	}
	if req.Attempt > 0 {
		work = d.admission.takeRetried(req)
	}
	p, err := d.placePermitted(ctx, req)
	switch {
	case err == nil:
		d.admission.placed(time.Now(), req, &p, work)
	case work != nil:
		d.admission.withdraw(work, err)
	}
	return p, err
}

// withdraw records that an admitted request was not sent to an endpoint. If all endpoints are
// at their limits, it counts as rejected by them.
func (a *admission) withdraw(w *shares.Work, err error) {
	var refused *forward.RefusedError
	atLimits := errors.As(err, &refused) && refused.Code == codeAtLimits
	a.do(func(now time.Duration) {
		a.node.Withdraw(now, w)
		if atLimits {
			a.node.Observe(now, w.Service, shares.Wait{Waited: w.Objective, Allowed: w.Objective, Rejected: true, Retried: true, Cost: w.Cost})
		}
	})
}

// takeRetried returns the work of a request that is placed again; nil: it was observed before.
func (a *admission) takeRetried(req *forward.PlacementRequest) *shares.Work {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.retried[req]
	delete(a.retried, req)
	return u.work
}

// placed records a request that is sent to an endpoint. work is nil if its wait is not
// observed.
func (a *admission) placed(now time.Time, req *forward.PlacementRequest, p *forward.Placement, work *shares.Work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	service := serviceOf(req)
	if !a.active.Load() || a.services[service] == nil {
		return
	}
	key := estimateKeyOf(req)
	e := a.estimate(key)
	if tokens := req.In.PromptTokens; tokens > 0 && key.kind > 0 {
		e.uncached.add(1 - min(float64(p.Cached)/float64(tokens), 1))
	}
	o := &openRequest{service: service, key: key, endpoint: p.Target.Key, placed: now, objective: objectiveOf(req.Route), unobserved: unobserved{req: req, work: work}}
	if key.kind > 0 {
		_, o.readCost = a.cost(req, e)
		o.readTime = time.Duration(float64(max(0, req.In.PromptTokens-p.Cached)) / prefillRate * float64(time.Second))
	}
	a.open[p.ID] = o
}

// answerStarted observes the wait of a request, or that an endpoint rejected it for want of
// capacity.
func (a *admission) answerStarted(now time.Time, p *forward.Placement, info *forward.AnswerInfo, lacksCapacity bool) {
	if !a.enabled() {
		return
	}
	a.do(func(clock time.Duration) {
		o := a.open[p.ID]
		if o == nil || info.Misplaced {
			return
		}
		a.answeredAt[o.endpoint] = now
		if s := a.services[o.service]; s != nil && info.Load != nil {
			s.reportsLoad = true
		}
		if info.NotRun {
			if lacksCapacity && o.work != nil {
				// attemptEnded and retryDecided handle what becomes of the request.
				a.node.Observe(clock, o.service, shares.Wait{Waited: o.objective, Allowed: o.objective, Rejected: true, Retried: true, Cost: o.work.Cost})
			}
			return
		}
		o.firstByte = max(now.Sub(o.placed), 1)
		w := o.wait(a.estimate(o.key), o.firstByte)
		o.waited = w.Waited
		a.observe(clock, o, w)
	})
}

// withoutReports reports whether admission is in use and no endpoint of the placement's
// service has reported its load.
func (a *admission) withoutReports(p *forward.Placement) bool {
	if !a.enabled() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.open[p.ID]
	if o == nil {
		return false
	}
	s := a.services[o.service]
	return s != nil && !s.reportsLoad
}

// attemptEnded updates the estimates by a request that was answered in full. Errors may be
// answered at once.
func (a *admission) attemptEnded(now time.Time, p *forward.Placement, end *forward.AttemptEnd) {
	if !a.enabled() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.open[p.ID]
	delete(a.open, p.ID)
	if o != nil && o.work != nil {
		o.since = now
		if to := a.open[end.MovedTo]; end.MovedTo != 0 && to != nil {
			to.unobserved = o.unobserved
		} else {
			a.failed[p.ID] = o.unobserved
		}
		o.work = nil // observeWaiting may still hold o
	}
	if o == nil || o.firstByte == 0 || !end.Whole || end.Error {
		return
	}
	e := a.estimate(o.key)
	e.lowest.add(now, o.firstByte-o.readTime)
	served := max(0, now.Sub(o.placed)-o.waited).Seconds()
	e.duration.add(served)
	if s := a.services[o.service]; s != nil {
		s.duration.add(served)
		if o.key.kind > 0 {
			s.raw.add(e.duration.value + o.readCost)
		}
	}
}

// DecideRetry implements forward.Placer.
func (d *dispatchPlacer) DecideRetry(r *retry.Request, f retry.FailedAttempt) retry.Decision {
	out := d.placer.DecideRetry(r, f)
	if d.admission.enabled() {
		d.admission.retryDecided(f.Placement, out.Retry)
	}
	return out
}

// retryDecided records whether a request is placed again whose attempt failed before its wait
// was observed. If not, it is withdrawn.
func (a *admission) retryDecided(id uint64, again bool) {
	a.do(func(now time.Duration) {
		u, some := a.failed[id]
		delete(a.failed, id)
		switch {
		case !some:
		case again:
			a.retried[u.req] = u
		default:
			a.node.Withdraw(now, u.work)
		}
	})
}

// withdrawAbandoned withdraws requests whose callers left between two attempts. The caller
// must hold mu.
func (a *admission) withdrawAbandoned(now time.Duration, wall time.Time) {
	for id, u := range a.failed {
		if wall.Sub(u.since) > abandonedAfter {
			a.node.Withdraw(now, u.work)
			delete(a.failed, id)
		}
	}
	for req, u := range a.retried {
		if wall.Sub(u.since) > abandonedAfter {
			a.node.Withdraw(now, u.work)
			delete(a.retried, req)
		}
	}
}

// observeWaiting observes the requests that have had no answer for longer than the allowed
// wait, each once. Those at an endpoint that is lost, ejected or silent are left out.
func (a *admission) observeWaiting(now time.Time) {
	if !a.enabled() {
		return
	}
	var late []*openRequest
	a.mu.Lock()
	for _, o := range a.open {
		if o.work == nil || now.Sub(a.answeredAt[o.endpoint]) > answeringWithin {
			continue
		}
		if w := o.wait(a.estimate(o.key), now.Sub(o.placed)); w.Waited > w.Allowed {
			late = append(late, o)
		}
	}
	a.mu.Unlock()
	if len(late) == 0 {
		return
	}
	a.state.mu.Lock()
	late = slices.DeleteFunc(late, func(o *openRequest) bool {
		return a.state.roster.Find(o.endpoint) == nil || a.state.roster.Unusable(now, o.endpoint)
	})
	a.state.mu.Unlock()
	a.do(func(clock time.Duration) {
		for _, o := range late {
			a.observe(clock, o, o.wait(a.estimate(o.key), now.Sub(o.placed)))
		}
	})
}
