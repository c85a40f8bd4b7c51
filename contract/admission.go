package contract

import (
	"math"
	"time"
)

// Admission decides which requests of which organisation run now at one
// daemon, for one pool of endpoints (those that serve the same models).
//
// Work is charged in tokens by start-time fair queueing: an organisation's
// virtual time moves on by tokens over its weight, and the one with the least
// goes first within a priority. An organisation that nobody competes with may
// use all there is, and isn't made to pay for that later, as the system's
// virtual time follows the least served of those that wait.
//
// An Admission isn't safe for concurrent use. The shell guards it by one lock,
// taken after the lock of the manifest in force and before the ones of
// placement and of endpoints.
type Admission struct {
	opts  Options
	start time.Time
	clock float64 // seconds since start; never goes back

	shares  map[OrganisationID]float64
	weights float64 // all of the contract
	byHash  map[uint32]float64
	clashes map[uint32]bool // hashes that two organisations have in common

	tokensPerSecond float64 // of the whole fleet
	slots           float64
	load            fleetLoad

	active   map[OrganisationID]*organisation
	list     []*organisation // the active ones, in a stable order
	entries  map[RequestID]*entry
	free     *entry
	due      indexedHeap[*entry]
	backlog  *backlog
	virtual  float64
	running  int
	reserved interactiveMeter
	costs    [PriorityCount]cost // of all organisations

	startsKnown      bool    // Started is called
	prefilling       float64 // tokens of prompts sent whose first token hasn't come
	prefillingUrgent float64
	refused          []Outcome // given up outside Next, to be told by the next one

	peers     []*peer // by ascending id
	daemons   int     // told by the platform's list; 0 when it isn't known
	part      float64
	refreshAt float64
	sums      map[uint32]peerDemand
	floors    float64 // of the truncated digests
	others    float64 // how many other daemons there seem to be
	claims    []claim
	sequence  uint64
}

// NewAdmission returns an Admission without contract: it refuses everything
// until SetContract.
func NewAdmission(opts Options) *Admission {
	a := &Admission{
		opts:            opts.withDefaults(),
		shares:          map[OrganisationID]float64{},
		byHash:          map[uint32]float64{},
		clashes:         map[uint32]bool{},
		tokensPerSecond: defaultTokensPerSec,
		slots:           defaultSlots,
		active:          map[OrganisationID]*organisation{},
		entries:         map[RequestID]*entry{},
		backlog:         newBacklog(),
		sums:            map[uint32]peerDemand{},
		part:            1,
	}
	a.due.less = func(x, y *entry) bool {
		if x.due != y.due {
			return x.due < y.due
		}
		return x.ID < y.ID
	}
	a.due.place = func(e *entry, i int) { e.dueAt = i }
	return a
}

// advance moves the clock on. A clock that steps back stands still, so that no
// meter and no expiry runs backwards.
func (a *Admission) advance(now time.Time) {
	if a.start.IsZero() {
		a.start = now
	}
	a.clock = max(a.clock, now.Sub(a.start).Seconds())
	if a.clock >= a.refreshAt {
		a.refresh()
	}
}

// SetContract takes the organisations and their weights of the manifest in
// force. Shares beyond MaxOrganisations or without a weight are left out; the
// manifest's own check refuses them before. Requests of organisations that
// left the contract go on, if they run, and are refused, if they wait.
func (a *Admission) SetContract(now time.Time, shares []Share) {
	a.advance(now)
	clear(a.shares)
	clear(a.clashes)
	clear(a.byHash)
	a.weights = 0
	for _, s := range shares {
		if s.Weight <= 0 || len(a.shares) >= MaxOrganisations {
			continue
		}
		h := organisationHash(s.Organisation)
		if _, twice := a.byHash[h]; twice && a.shares[s.Organisation] == 0 {
			a.clashes[h] = true
		}
		a.byHash[h] = s.Weight
		a.weights += s.Weight - a.shares[s.Organisation]
		a.shares[s.Organisation] = s.Weight
	}
	for _, o := range a.list {
		o.share = a.shares[o.id]
		if o.share == 0 {
			a.refuseQueued(o, UnknownOrganisation)
		}
	}
	a.refresh()
}

// SetCapacity tells what the whole fleet of live endpoints can do: tokens a
// second, prefilled and generated, and requests at a time.
func (a *Admission) SetCapacity(now time.Time, tokensPerSecond float64, slots int) {
	a.advance(now)
	a.tokensPerSecond = max(tokensPerSecond, 1)
	a.slots = max(float64(slots), 1)
}

// Offer asks for a place. What the request is charged until it ends is learnt
// from what such requests really took.
func (a *Admission) Offer(now time.Time, r Request) Decision {
	a.advance(now)
	if _, twice := a.entries[r.ID]; twice {
		return Decision{Reason: DuplicateRequest}
	}
	o := a.organisation(r.Organisation)
	if o == nil {
		return Decision{Reason: UnknownOrganisation}
	}
	if r.Priority < 0 || r.Priority >= PriorityCount {
		r.Priority = PriorityBatch
	}
	asked := r.Tokens
	r.Tokens = a.charge(o, &r)
	o.seen = a.clock
	o.counts.Offered++
	o.demand.add(a.clock, r.Tokens, a.opts.MeterConstant.Seconds())
	a.reweigh(o)
	o.tag = a.startTag(o)
	if a.startsAtOnce(o, r.Priority) {
		a.admit(a.newEntry(o, r, asked))
		return Decision{Verdict: Admitted}
	}
	if reason := a.cannotQueue(o, &r); reason != NoReason {
		return a.refuse(o, r.Tokens, reason)
	}
	e := a.newEntry(o, r, asked)
	e.queued = true
	e.due = a.waitUntil(&r)
	a.due.push(e)
	a.backlog.push(e)
	return Decision{Verdict: Queued}
}

// Next appends to out what became of queued requests since the last call: the
// ones to send now and the ones given up. Call it after each Finish, Cancel
// and change of capacity, and at NextAt.
func (a *Admission) Next(now time.Time, out []Outcome) []Outcome {
	a.advance(now)
	out = append(out, a.refused...)
	a.refused = a.refused[:0]
	out = a.expire(out)
	for {
		e := a.pick()
		if e == nil {
			return out
		}
		a.backlog.remove(e)
		a.due.remove(e.dueAt)
		a.admit(e)
		out = append(out, Outcome{ID: e.ID, Decision: Decision{Verdict: Admitted}})
	}
}

// NextAt is when Next has something to do even if nothing else happens. It is
// false when nothing waits or runs.
func (a *Admission) NextAt() (time.Time, bool) {
	if a.due.len() == 0 {
		return time.Time{}, false
	}
	return a.start.Add(seconds(a.due.min().due)), true
}

// Finish ends a reservation with the work that was really done. It reports
// false for a reservation that had expired or never was.
func (a *Admission) Finish(now time.Time, id RequestID, actualTokens float64) bool {
	a.advance(now)
	e := a.entries[id]
	if e == nil || e.queued {
		return false
	}
	o := e.org
	a.learnCost(e, actualTokens)
	correction := max(actualTokens, 0) - e.Tokens
	o.use.add(a.clock, correction, a.opts.MeterConstant.Seconds())
	a.backlog.retag(o, o.tag+correction/o.weight)
	a.release(e)
	return true
}

// Cancel takes back a queued request, or ends one that runs with nothing done.
// A caller that left is told by Finish when the endpoint did part of the work.
func (a *Admission) Cancel(now time.Time, id RequestID) bool {
	a.advance(now)
	e := a.entries[id]
	if e == nil {
		return false
	}
	if !e.queued {
		return a.Finish(now, id, 0)
	}
	a.backlog.remove(e)
	a.due.remove(e.dueAt)
	a.recycle(e)
	return true
}

// Queued and Running are the requests that wait and the reservations.
func (a *Admission) Queued() int { return a.backlog.queued }

// Running is the number of reservations.
func (a *Admission) Running() int { return a.running }

func (a *Admission) organisation(id OrganisationID) *organisation {
	if o := a.active[id]; o != nil {
		if o.share <= 0 {
			return nil
		}
		return o
	}
	share := a.shares[id]
	if share <= 0 || len(a.active) >= MaxOrganisations {
		return nil
	}
	o := &organisation{id: id, hash: organisationHash(id), share: share}
	o.demand.at, o.use.at = a.clock, a.clock
	o.there = a.elsewhere(o.hash, 0)
	o.fraction = a.fraction(o)
	o.weight = o.share * o.fraction
	a.active[id] = o
	a.list = append(a.list, o)
	return o
}

// startTag is the virtual time at which the organisation's next request would
// start: one that was idle starts before the others by no more than its credit.
func (a *Admission) startTag(o *organisation) float64 {
	if o.backlogged() {
		return o.tag
	}
	return max(o.tag, a.virtual-a.credit(o))
}

// credit is in virtual time. Over its length the contract is kept though an
// organisation's callers come in bursts.
func (a *Admission) credit(o *organisation) float64 {
	credit := a.opts.CreditTokens / o.weight
	if a.weights > 0 {
		credit = max(credit, a.opts.CreditDuration.Seconds()*a.tokensPerSecond/a.weights)
	}
	return credit
}

func (a *Admission) newEntry(o *organisation, r Request, asked float64) *entry {
	e := a.free
	if e == nil {
		e = &entry{}
	} else {
		a.free = e.next
	}
	*e = entry{Request: r, org: o, asked: asked, since: a.clock}
	a.entries[r.ID] = e
	return e
}

func (a *Admission) recycle(e *entry) {
	delete(a.entries, e.ID)
	*e = entry{next: a.free}
	a.free = e
}

// admit charges the request and reserves its place. The reservation expires
// when the caller's deadline has passed, or after the longest hold: a shell
// that lost track of a request (a panic, a missed cancel) would otherwise take
// the place for ever, seen as a daemon that admits less and less.
func (a *Admission) admit(e *entry) {
	o := e.org
	e.urgent = a.urgent(o, e.Priority)
	started := o.tag
	a.backlog.retag(o, o.tag+e.Tokens/o.weight)
	if least, waiting := a.backlog.least(); waiting {
		a.virtual = max(a.virtual, least)
	} else {
		a.virtual = max(a.virtual, started)
	}
	o.use.add(a.clock, e.Tokens, a.opts.MeterConstant.Seconds())
	o.running++
	o.counts.Admitted++
	a.running++
	a.prefillBegins(e)
	if e.urgent {
		a.reserved.started(a.clock)
	}
	e.queued = false
	e.since = a.clock
	e.due = a.holdUntil(e)
	a.due.push(e)
}

// holdUntil leaves the shell a little time after the deadline to tell the end
// itself.
func (a *Admission) holdUntil(e *entry) float64 {
	if e.Deadline.IsZero() {
		return a.clock + a.opts.ReservationTTL.Seconds()
	}
	deadline := max(e.Deadline.Sub(a.start).Seconds(), a.clock) + deadlineGrace
	return min(deadline, a.clock+maxHold)
}

const (
	deadlineGrace = 5       // seconds
	maxHold       = 60 * 60 // seconds, whatever the deadline
)

func (a *Admission) release(e *entry) {
	a.prefillEnded(e)
	e.org.running--
	e.org.seen = a.clock
	a.running--
	if a.running == 0 { // nothing is left of rounding
		a.prefilling, a.prefillingUrgent = 0, 0
	}
	if e.urgent {
		a.reserved.ended(a.clock)
	}
	a.due.remove(e.dueAt)
	a.recycle(e)
}

func (a *Admission) expire(out []Outcome) []Outcome {
	for a.due.len() > 0 && a.due.min().due <= a.clock {
		e := a.due.min()
		if !e.queued {
			e.org.counts.Expired++
			a.release(e)
			continue
		}
		out = append(out, a.giveUp(e, a.reason(e.org)))
	}
	return out
}

func (a *Admission) giveUp(e *entry, reason Reason) Outcome {
	a.backlog.remove(e)
	a.due.remove(e.dueAt)
	result := Outcome{ID: e.ID, Decision: a.refuse(e.org, e.Tokens, reason)}
	a.recycle(e)
	return result
}

func (a *Admission) refuseQueued(o *organisation, reason Reason) {
	for p := range o.queues {
		for o.queues[p].n > 0 {
			a.refused = append(a.refused, a.giveUp(o.queues[p].head, reason))
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
