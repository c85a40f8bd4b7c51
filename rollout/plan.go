package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/fleet"
)

// candidate is an endpoint that has something declared.
type candidate struct {
	member fleet.Member
	target target
	row    *row
	fresh  bool // its status may be relied on
	next   *Order
}

// round is the work of one call of Plan.
type round struct {
	p      *Planner
	now    time.Time
	in     Input
	plan   Plan
	budget int // loads that may still begin
	models map[string]*use
}

// use counts the endpoints of one model.
type use struct {
	all     int // that should serve it
	serving int // that serve it, in any version
	ordered int // that an order keeps from serving
	broken  int // that do not serve after a failed load
	failed  int // of these, with no successful load anywhere since
}

// Plan decides what to read and which orders to send now.
func (p *Planner) Plan(now time.Time, in Input) Plan {
	r := &round{p: p, now: now, in: in, models: map[string]*use{}}
	cs := r.candidates()
	p.forget(in.Endpoints)
	r.reads(cs)
	unread := r.count(cs)
	r.budget = in.Manifest.Fleet.LoadsAtOnce - r.plan.Loading
	waits := unread > 0 && now.Sub(in.HeldSince) < p.o.UnreadGrace
	for _, c := range cs {
		if !c.member.Leaving {
			r.decide(c, waits)
		}
	}
	return r.plan
}

// candidates returns the endpoints with something declared, those that serve
// nothing first, then by a hash of their ids, so that two holders go through
// them in the same order and neighbours in the list are not loaded together.
func (r *round) candidates() []*candidate {
	byClass := targets(r.in.Manifest)
	var cs []*candidate
	for _, m := range r.in.Endpoints {
		t, declared := byClass[m.Class]
		if !declared || len(t.models) == 0 && t.role == "" {
			continue
		}
		if !m.Leaving {
			r.plan.Total++
		}
		c := &candidate{member: m, target: t, row: r.p.row(m.ID)}
		c.fresh = r.fresh(m, c.row)
		if c.fresh {
			c.next = t.next(&c.row.status)
		}
		cs = append(cs, c)
	}
	slices.SortFunc(cs, func(a, b *candidate) int {
		if a.serves() != b.serves() {
			return cmp.Compare(rank(a.serves()), rank(b.serves()))
		}
		return cmp.Compare(xxhash.Sum64String(string(a.member.ID)), xxhash.Sum64String(string(b.member.ID)))
	})
	return cs
}

// fresh tells whether a status may be relied on. An order to an endpoint that has
// not been read for very long is given up with it: kept, the place among the
// loads of an endpoint that died would be lost until the list forgot it.
func (r *round) fresh(m fleet.Member, x *row) bool {
	if x.sent != nil && r.now.Sub(x.sentAt) >= r.p.o.UnreachableTimeout {
		x.sent = nil
	}
	if x.read.IsZero() || x.read.Before(r.in.HeldSince) || r.now.Sub(x.read) >= r.p.o.UnreachableTimeout {
		return false
	}
	return sameLife(m, &x.status)
}

func rank(later bool) int {
	if later {
		return 1
	}
	return 0
}

// sameLife tells whether a status is of the life that answers requests now.
func sameLife(m fleet.Member, s *Status) bool {
	return m.Incarnation == 0 || s.Incarnation == 0 || m.Incarnation == s.Incarnation
}

// serves tells whether the endpoint has any declared model ready.
func (c *candidate) serves() bool {
	if !c.fresh || c.member.Doubtful {
		return false
	}
	for _, m := range c.target.models {
		if c.servesModel(m.ID) {
			return true
		}
	}
	return false
}

// servesModel tells whether requests for the model can run on the endpoint, in
// whichever version.
func (c *candidate) servesModel(id string) bool {
	if !c.fresh || c.member.Doubtful || c.interrupted() {
		return false
	}
	return c.row.status.model(id) != nil
}

// interrupted tells whether an order keeps the endpoint from serving.
func (c *candidate) interrupted() bool {
	if c.row.sent != nil && c.row.sent.interrupts() {
		return true
	}
	return c.fresh && c.row.status.Loading != nil && c.row.status.Loading.interrupts()
}

// forget drops rows of endpoints that are no more. One with an unsettled order
// stays until it cannot be under way any longer.
func (p *Planner) forget(members []fleet.Member) {
	if len(p.rows) <= 2*len(members)+1 {
		return
	}
	present := map[fleet.EndpointID]bool{}
	for _, m := range members {
		present[m.ID] = true
	}
	for id, r := range p.rows {
		if !present[id] && r.sent == nil {
			delete(p.rows, id)
		}
	}
}

// reads lists the endpoints whose status is due: those with an order under way
// first, then the longest unread.
func (r *round) reads(cs []*candidate) {
	var due []*candidate
	for _, c := range cs {
		after := r.p.o.StatusMaxAge
		if c.busy() || !c.fresh {
			after /= busyReads
		}
		if r.now.Sub(c.row.tried) >= after {
			due = append(due, c)
		}
	}
	slices.SortStableFunc(due, func(a, b *candidate) int {
		if a.busy() != b.busy() {
			return cmp.Compare(rank(b.busy()), rank(a.busy()))
		}
		return a.row.tried.Compare(b.row.tried)
	})
	for _, c := range due {
		r.plan.Read = append(r.plan.Read, c.member.ID)
	}
}

// busyReads is how many times as often an endpoint is read that carries out an
// order or is not known yet.
const busyReads = 5

// busy tells whether an order to the endpoint is under way.
func (c *candidate) busy() bool { return c.row.sent != nil || c.row.status.Loading != nil }

// count adds up the loads under way and the endpoints that serve each model,
// and returns how many endpoints are not read yet.
func (r *round) count(cs []*candidate) int {
	unread := 0
	for _, c := range cs {
		if !c.fresh {
			unread++
		}
		if c.loading() {
			r.plan.Loading++
		}
		if c.member.Leaving {
			continue // what it still loads counts, what it serves does not
		}
		for _, m := range c.target.models {
			r.models[m.ID] = r.models[m.ID].plus(c, m.ID, r.p.loaded)
		}
	}
	return unread
}

// plus counts one endpoint in; u may be nil. Loaded is when a load last succeeded.
func (u *use) plus(c *candidate, model string, loaded time.Time) *use {
	if u == nil {
		u = &use{}
	}
	u.all++
	if c.servesModel(model) {
		u.serving++
	}
	switch {
	case c.interrupted():
		u.ordered++
	case !c.row.failing.IsZero() && !c.servesModel(model):
		u.broken++
		if !loaded.After(c.row.failing) {
			u.failed++
		}
	}
	return u
}

// loading tells whether the endpoint reads from the weight store, as far as
// anyone can tell. An unsettled order counts: its answer may have been lost.
func (c *candidate) loading() bool {
	if c.row.sent != nil && c.row.sent.loads() {
		return true
	}
	return c.fresh && c.row.status.Loading != nil && c.row.status.Loading.loads()
}

// decide gives one endpoint its next order, or says why not.
func (r *round) decide(c *candidate, waits bool) {
	if c.fresh && c.next == nil && c.row.status.Loading == nil && c.row.sent == nil {
		r.plan.Done++
		return
	}
	if h := r.hold(c, waits); h != "" {
		r.plan.Held = append(r.plan.Held, Held{c.member.ID, h})
		return
	}
	o := *c.next
	o.Endpoint, o.Incarnation = c.member.ID, c.row.status.Incarnation
	o.Revision, o.Fence = r.in.Revision, r.in.Fence
	o.identify()
	if c.row.failed == o.ID && r.now.Before(c.row.failedTill) {
		r.plan.Held = append(r.plan.Held, Held{c.member.ID, HoldFailed})
		return
	}
	r.spend(c, &o)
	r.plan.Orders = append(r.plan.Orders, o)
}

// hold tells why an endpoint must wait; empty: it need not.
func (r *round) hold(c *candidate, waits bool) HoldReason {
	switch {
	case c.row.sent != nil:
		return HoldUnconfirmed
	case !c.fresh:
		return HoldUnread
	case c.row.status.Loading != nil:
		return HoldLoading
	case waits:
		return HoldInitialReads
	case c.next.loads() && r.now.Before(r.p.storeUntil):
		return HoldStore
	case c.next.loads() && r.budget <= 0:
		return HoldLoadLimit
	case c.next.interrupts() && !r.spare(c):
		return HoldNeeded
	}
	return ""
}

// spare tells whether the models that this endpoint serves can do without it.
// Without the rule a rollout would take a small model away whole, and its
// callers would be refused until the first endpoint had loaded.
func (r *round) spare(c *candidate) bool {
	for _, m := range c.target.models {
		if c.servesModel(m.ID) && !r.spares(r.models[m.ID]) {
			return false
		}
	}
	return true
}

// spares tells whether one more endpoint of a model may be taken away. Those that
// are dead count less than those that orders took away: if they counted the
// same, a few of them would stop every rollout for good.
func (r *round) spares(u *use) bool {
	allowed := max(1, int(r.p.o.MaxUnavailableFraction*float64(u.all)))
	if u.ordered >= allowed {
		return false
	}
	if u.ordered+u.failed >= allowed && !r.retries(u, allowed) {
		return false
	}
	left := u.serving - 1
	if 2*left >= u.all || u.all == 1 {
		return true
	}
	return left >= 1 && u.ordered == 0
}

// retries tells whether to go on although loads failed. When the weight store is
// down each load fails and leaves an endpoint that serves nothing; a rollout
// that went on would empty the fleet. When only an engine is broken, another
// one's load shows it. So one more is tried now and then, up to a bound.
func (r *round) retries(u *use, allowed int) bool {
	if u.ordered+u.broken >= max(allowed, maxBroken) {
		return false
	}
	return r.now.Sub(r.p.failed) >= r.p.o.LoadFailureDelay && r.now.Sub(r.p.probed) >= r.p.o.LoadFailureDelay
}

// maxBroken is how many endpoints of a small model may have failed their loads
// before no more is tried.
const maxBroken = 2

// spend books an order against the limits of this round.
func (r *round) spend(c *candidate, o *Order) {
	if o.loads() {
		r.budget--
	}
	if !o.interrupts() {
		return
	}
	for _, m := range c.target.models {
		u := r.models[m.ID]
		u.ordered++
		if !c.servesModel(m.ID) {
			continue
		}
		u.serving--
		if u.failed > 0 {
			r.p.probed = r.now
		}
	}
}
