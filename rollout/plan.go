package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
)

// candidate is an endpoint for whose class the manifest declares models or a role.
type candidate struct {
	member      fleet.Member
	target      target
	state       *endpointState
	statusValid bool // the last status read still applies
	nextOrder   *Order
}

// round is the state of one call of Plan.
type round struct {
	p      *Planner
	now    time.Time
	in     Input
	plan   Plan
	budget int // number of loads that may still be started
	models map[string]*modelCounts
}

// modelCounts counts the endpoints of one model by state.
type modelCounts struct {
	total       int // endpoints that should serve the model
	serving     int // endpoints that serve it, in any version
	interrupted int // endpoints that an order keeps from serving
	failing     int // endpoints that do not serve it after a failed load
	unresolved  int // failing endpoints since whose failure no load has succeeded anywhere
}

// Plan returns the endpoints to read and the orders to send at time now.
func (p *Planner) Plan(now time.Time, in Input) Plan {
	r := &round{p: p, now: now, in: in, models: map[string]*modelCounts{}}
	cs := r.candidates()
	p.removeAbsent(in.Endpoints)
	r.listReads(cs)
	unread := r.countEndpoints(cs)
	r.budget = in.Manifest.Fleet.LoadsAtOnce - r.plan.Loading
	waitForReads := unread > 0 && now.Sub(in.HeldSince) < p.opt.UnreadGrace
	for _, c := range cs {
		if !c.member.Leaving {
			r.planEndpoint(c, waitForReads)
		}
	}
	return r.plan
}

// candidates returns the endpoints for whose class the manifest declares models
// or a role: those that serve nothing first, then by a hash of their ids. Two
// holders thus process them in the same order, and endpoints next to each other
// in the platform's list are not loaded together.
func (r *round) candidates() []*candidate {
	byClass := classTargets(r.in.Manifest)
	var cs []*candidate
	for _, m := range r.in.Endpoints {
		t, declared := byClass[m.Class]
		if !declared || len(t.models) == 0 && t.role == "" {
			continue
		}
		if !m.Leaving {
			r.plan.Total++
		}
		c := &candidate{member: m, target: t, state: r.p.state(m.ID)}
		c.statusValid = r.statusValid(m, c.state)
		if c.statusValid {
			c.nextOrder = t.nextOrder(&c.state.status)
		}
		cs = append(cs, c)
	}
	slices.SortFunc(cs, func(a, b *candidate) int {
		if a.serves() != b.serves() {
			return cmp.Compare(boolRank(a.serves()), boolRank(b.serves()))
		}
		return cmp.Compare(xxhash.Sum64String(string(a.member.ID)), xxhash.Sum64String(string(b.member.ID)))
	})
	return cs
}

// statusValid reports whether the last status of an endpoint still applies: it was
// read by this holder, within UnreachableTimeout, from the present incarnation.
// An order that has had no result for UnreachableTimeout is dropped; otherwise
// a crashed endpoint would count as loading until the platform's list omitted it.
func (r *round) statusValid(m fleet.Member, s *endpointState) bool {
	if s.sent != nil && r.now.Sub(s.sentAt) >= r.p.opt.UnreachableTimeout {
		s.sent = nil
	}
	if s.statusAt.IsZero() || s.statusAt.Before(r.in.HeldSince) || r.now.Sub(s.statusAt) >= r.p.opt.UnreachableTimeout {
		return false
	}
	return sameIncarnation(m, &s.status)
}

func boolRank(later bool) int {
	if later {
		return 1
	}
	return 0
}

// sameIncarnation reports whether a status is from the incarnation that serves
// requests now. An unknown incarnation counts as the same.
func sameIncarnation(m fleet.Member, s *Status) bool {
	return m.Incarnation == 0 || s.Incarnation == 0 || m.Incarnation == s.Incarnation
}

// serves reports whether the endpoint serves any declared model.
func (c *candidate) serves() bool {
	if !c.statusValid || c.member.Doubtful {
		return false
	}
	for _, m := range c.target.models {
		if c.servesModel(m.ID) {
			return true
		}
	}
	return false
}

// servesModel reports whether requests for the model, in any version, can run on
// the endpoint.
func (c *candidate) servesModel(id string) bool {
	if !c.statusValid || c.member.Doubtful || c.interrupted() {
		return false
	}
	return c.state.status.model(id) != nil
}

// interrupted reports whether an order keeps the endpoint from serving.
func (c *candidate) interrupted() bool {
	if c.state.sent != nil && c.state.sent.interrupts() {
		return true
	}
	return c.statusValid && c.state.status.Loading != nil && c.state.status.Loading.interrupts()
}

// removeAbsent drops the state of endpoints that are no longer listed, once there
// are more than twice as many as listed endpoints. State with an unconfirmed
// order is kept, since the order may still be in progress.
func (p *Planner) removeAbsent(members []fleet.Member) {
	if len(p.endpoints) <= 2*len(members)+1 {
		return
	}
	present := map[fleet.EndpointID]bool{}
	for _, m := range members {
		present[m.ID] = true
	}
	for id, r := range p.endpoints {
		if !present[id] && r.sent == nil {
			delete(p.endpoints, id)
		}
	}
}

// listReads adds the endpoints whose status is due to the plan: those with an
// order in progress first, then by the time of the last attempt to read them.
func (r *round) listReads(cs []*candidate) {
	var due []*candidate
	for _, c := range cs {
		after := r.p.opt.StatusMaxAge
		if c.busy() || !c.statusValid {
			after /= busyReadFactor
		}
		if r.now.Sub(c.state.readAttemptAt) >= after {
			due = append(due, c)
		}
	}
	slices.SortStableFunc(due, func(a, b *candidate) int {
		if a.busy() != b.busy() {
			return cmp.Compare(boolRank(b.busy()), boolRank(a.busy()))
		}
		return a.state.readAttemptAt.Compare(b.state.readAttemptAt)
	})
	for _, c := range due {
		r.plan.Read = append(r.plan.Read, c.member.ID)
	}
}

// busyReadFactor divides StatusMaxAge for endpoints that execute an order or
// whose status is not known.
const busyReadFactor = 5

// busy reports whether an order to the endpoint is in progress.
func (c *candidate) busy() bool { return c.state.sent != nil || c.state.status.Loading != nil }

// countEndpoints counts the loads in progress and, by model, the endpoints in
// each state. It returns the number of endpoints without a valid status.
func (r *round) countEndpoints(cs []*candidate) int {
	unread := 0
	for _, c := range cs {
		if !c.statusValid {
			unread++
		}
		if c.loading() {
			r.plan.Loading++
		}
		if c.member.Leaving {
			continue // its load counts, but not the models it serves
		}
		for _, m := range c.target.models {
			r.models[m.ID] = r.models[m.ID].add(c, m.ID, r.p.lastLoadSuccess)
		}
	}
	return unread
}

// add counts one endpoint and returns u, or new counts if u is nil. Loaded is the
// time of the last successful load of any endpoint.
func (counts *modelCounts) add(c *candidate, model string, loaded time.Time) *modelCounts {
	if counts == nil {
		counts = &modelCounts{}
	}
	counts.total++
	if c.servesModel(model) {
		counts.serving++
	}
	switch {
	case c.interrupted():
		counts.interrupted++
	case !c.state.failingSince.IsZero() && !c.servesModel(model):
		counts.failing++
		if !loaded.After(c.state.failingSince) {
			counts.unresolved++
		}
	}
	return counts
}

// loading reports whether the endpoint may be reading from the weight store. An
// unconfirmed order counts, since its answer may have been lost.
func (c *candidate) loading() bool {
	if c.state.sent != nil && c.state.sent.loads() {
		return true
	}
	return c.statusValid && c.state.status.Loading != nil && c.state.status.Loading.loads()
}

// planEndpoint adds the next order of one endpoint to the plan, or the reason why
// it gets none.
func (r *round) planEndpoint(c *candidate, waitForReads bool) {
	if c.statusValid && c.nextOrder == nil && c.state.status.Loading == nil && c.state.sent == nil {
		r.plan.Done++
		return
	}
	if h := r.holdReason(c, waitForReads); h != "" {
		r.plan.Held = append(r.plan.Held, Held{c.member.ID, h})
		return
	}
	o := *c.nextOrder
	o.Endpoint, o.Incarnation = c.member.ID, c.state.status.Incarnation
	o.Revision, o.Fence = r.in.Revision, r.in.Fence
	o.identify()
	if c.state.failedOrder == o.ID && r.now.Before(c.state.failedUntil) {
		r.plan.Held = append(r.plan.Held, Held{c.member.ID, HoldFailed})
		return
	}
	r.countOrder(c, &o)
	r.plan.Orders = append(r.plan.Orders, o)
}

// holdReason returns the reason why an endpoint must wait for its next order, and
// the empty string if it need not wait.
func (r *round) holdReason(c *candidate, waitForReads bool) HoldReason {
	switch {
	case c.state.sent != nil:
		return HoldUnconfirmed
	case !c.statusValid:
		return HoldUnread
	case c.state.status.Loading != nil:
		return HoldLoading
	case waitForReads:
		return HoldInitialReads
	case c.nextOrder.loads() && r.now.Before(r.p.storeBusyUntil):
		return HoldStore
	case c.nextOrder.loads() && r.budget <= 0:
		return HoldLoadLimit
	case c.nextOrder.interrupts() && !r.canInterrupt(c):
		return HoldNeeded
	}
	return ""
}

// canInterrupt reports whether enough other endpoints serve the models of this
// one. Without this check a rollout would interrupt all endpoints of a small
// model at once, and its callers would be refused until the first load ended.
func (r *round) canInterrupt(c *candidate) bool {
	for _, m := range c.target.models {
		if c.servesModel(m.ID) && !r.canInterruptModel(r.models[m.ID]) {
			return false
		}
	}
	return true
}

// canInterruptModel reports whether one more endpoint of a model may be
// interrupted. MaxUnavailableFraction limits the number of endpoints that are
// interrupted by orders, and, except for retries, the number of those that are
// interrupted or failing since the last successful load. Half of the endpoints
// must keep serving; if crashed endpoints make that impossible, one that serves is
// enough while no other is interrupted. If crashed endpoints counted like interrupted
// ones, a few of them would block every rollout permanently.
func (r *round) canInterruptModel(counts *modelCounts) bool {
	allowed := max(1, int(r.p.opt.MaxUnavailableFraction*float64(counts.total)))
	if counts.interrupted >= allowed {
		return false
	}
	if counts.interrupted+counts.unresolved >= allowed && !r.canRetryAfterFailure(counts, allowed) {
		return false
	}
	left := counts.serving - 1
	if 2*left >= counts.total || counts.total == 1 {
		return true
	}
	return left >= 1 && counts.interrupted == 0
}

// canRetryAfterFailure reports whether one more endpoint may be interrupted
// although loads have failed. If the weight store is unavailable, each load
// fails and leaves an endpoint that serves nothing, so that a rollout that
// continued would interrupt the whole fleet. If only one engine is faulty, a
// successful load elsewhere shows it. Therefore one more endpoint is tried per
// LoadFailureDelay, up to a maximum of interrupted and failing endpoints.
func (r *round) canRetryAfterFailure(counts *modelCounts, allowed int) bool {
	if counts.interrupted+counts.failing >= max(allowed, maxFailingEndpoints) {
		return false
	}
	return r.now.Sub(r.p.lastFailure) >= r.p.opt.LoadFailureDelay && r.now.Sub(r.p.lastRetry) >= r.p.opt.LoadFailureDelay
}

// maxFailingEndpoints is the minimum, for models with few endpoints, of the number
// of interrupted and failing endpoints at which failed loads are no longer
// retried.
const maxFailingEndpoints = 2

// countOrder counts an order towards the limits of this round.
func (r *round) countOrder(c *candidate, o *Order) {
	if o.loads() {
		r.budget--
	}
	if !o.interrupts() {
		return
	}
	for _, m := range c.target.models {
		counts := r.models[m.ID]
		counts.interrupted++
		if !c.servesModel(m.ID) {
			continue
		}
		counts.serving--
		if counts.unresolved > 0 {
			r.p.lastRetry = r.now
		}
	}
}
