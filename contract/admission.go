package contract

import (
	"math"
	"time"

	"github.com/merlindock/merlindock/internal/maxmin"
)

// Admission decides which requests of which organisation run now at one
// daemon, for one pool of endpoints (those that serve the same models).
//
// Work is charged in tokens by start-time fair queueing: an organisation's
// virtual time advances by tokens over its weight, and the one with the smallest
// goes first within a priority. An organisation without competition may use the
// full capacity and isn't charged for that later, as the system's virtual time
// follows the least served organisation with queued requests.
//
// An Admission isn't safe for concurrent use. The caller guards it by one lock,
// taken after the lock of the manifest in force and before the ones of
// placement and of endpoints.
type Admission struct {
	opts  Options
	start time.Time
	clock float64 // seconds since start; never goes back

	weightByOrganisation map[OrganisationID]float64
	totalWeight          float64 // of all organisations of the contract
	weightByHash         map[uint32]float64
	collidingHashes      map[uint32]bool // hashes that several organisations share

	tokensPerSecond float64 // of the whole fleet
	slots           float64
	load            fleetLoad

	active      map[OrganisationID]*organisation
	activeList  []*organisation // values of active, in a stable order
	entries     map[RequestID]*entry
	free        *entry
	due         indexedHeap[*entry]
	backlog     *backlog
	virtualTime float64
	running     int
	urgentMeter concurrencyMeter
	costs       [PriorityCount]costRatio // of all organisations

	startsReported      bool    // Started was called at least once
	prefillTokens       float64 // tokens of prompts sent that have no first token yet
	urgentPrefillTokens float64
	pendingRefusals     []Outcome // refused outside Next; the next call returns them

	peers         []*peer // by ascending ID
	daemons       int     // on the platform's list; 0 when unknown
	fleetFraction float64
	refreshAt     float64
	peerDemands   map[uint32]peerDemand
	peerFloors    float64 // sum of the floors of the truncated digests
	otherDaemons  float64 // estimated number of other daemons; fractional while one is taken over
	fleetDemands  []maxmin.Demand
	sequence      uint64
}

// NewAdmission returns an Admission without a contract: it refuses every request
// until SetContract is called.
func NewAdmission(opts Options) *Admission {
	a := &Admission{
		opts:                 opts.withDefaults(),
		weightByOrganisation: map[OrganisationID]float64{},
		weightByHash:         map[uint32]float64{},
		collidingHashes:      map[uint32]bool{},
		tokensPerSecond:      defaultTokensPerSec,
		slots:                defaultSlots,
		active:               map[OrganisationID]*organisation{},
		entries:              map[RequestID]*entry{},
		backlog:              newBacklog(),
		peerDemands:          map[uint32]peerDemand{},
		fleetFraction:        1,
	}
	a.due.less = func(x, y *entry) bool {
		if x.due != y.due {
			return x.due < y.due
		}
		return x.ID < y.ID
	}
	a.due.setIndex = func(e *entry, i int) { e.dueIndex = i }
	return a
}

// advance sets the clock to now. When now steps back the clock does not change, so
// that no meter and no expiry runs backwards.
func (a *Admission) advance(now time.Time) {
	if a.start.IsZero() {
		a.start = now
	}
	a.clock = max(a.clock, now.Sub(a.start).Seconds())
	if a.clock >= a.refreshAt {
		a.refresh()
	}
}

// SetContract replaces the organisations and their weights by those of the
// manifest in force. Shares beyond MaxOrganisations or without a weight are
// ignored; validation of the manifest rejects them before. Running requests of
// organisations that were removed continue, and queued ones are refused.
func (a *Admission) SetContract(now time.Time, shares []Share) {
	a.advance(now)
	clear(a.weightByOrganisation)
	clear(a.collidingHashes)
	clear(a.weightByHash)
	a.totalWeight = 0
	for _, s := range shares {
		if s.Weight <= 0 || len(a.weightByOrganisation) >= MaxOrganisations {
			continue
		}
		h := organisationHash(s.Organisation)
		if _, twice := a.weightByHash[h]; twice && a.weightByOrganisation[s.Organisation] == 0 {
			a.collidingHashes[h] = true
		}
		a.weightByHash[h] = s.Weight
		a.totalWeight += s.Weight - a.weightByOrganisation[s.Organisation]
		a.weightByOrganisation[s.Organisation] = s.Weight
	}
	for _, o := range a.activeList {
		o.contractWeight = a.weightByOrganisation[o.id]
		if o.contractWeight == 0 {
			a.refuseQueued(o, UnknownOrganisation)
		}
	}
	a.refresh()
}

// SetCapacity sets the capacity of all live endpoints together: tokens per
// second, prefilled and generated, and concurrent requests.
func (a *Admission) SetCapacity(now time.Time, tokensPerSecond float64, slots int) {
	a.advance(now)
	a.tokensPerSecond = max(tokensPerSecond, 1)
	a.slots = max(float64(slots), 1)
}

// Offer requests admission. Until it ends the request is charged with its expected
// work, estimated from the actual work of earlier requests of its priority.
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
	requestedTokens := r.Tokens
	r.Tokens = a.charge(o, &r)
	o.lastActive = a.clock
	o.counts.Offered++
	o.demand.add(a.clock, r.Tokens, a.opts.MeterConstant.Seconds())
	a.updateWeight(o)
	o.tag = a.startTag(o)
	if a.canStartNow(o, r.Priority) {
		a.admit(a.newEntry(o, r, requestedTokens))
		return Decision{Verdict: Admitted}
	}
	if reason := a.queueRefusal(o, &r); reason != NoReason {
		return a.refuse(o, r.Tokens, reason)
	}
	e := a.newEntry(o, r, requestedTokens)
	e.queued = true
	e.due = a.queueExpiry(&r)
	a.due.push(e)
	a.backlog.push(e)
	return Decision{Verdict: Queued}
}

// Next appends to out the outcomes of queued requests since the last call: the
// ones to send now and the refused ones. Call it after each Finish, Cancel
// and change of capacity, and at NextAt.
func (a *Admission) Next(now time.Time, out []Outcome) []Outcome {
	a.advance(now)
	out = append(out, a.pendingRefusals...)
	a.pendingRefusals = a.pendingRefusals[:0]
	out = a.expire(out)
	for {
		e := a.selectNext()
		if e == nil {
			return out
		}
		a.backlog.remove(e)
		a.due.remove(e.dueIndex)
		a.admit(e)
		out = append(out, Outcome{ID: e.ID, Decision: Decision{Verdict: Admitted}})
	}
}

// NextAt returns the time of the next expiry, at which Next must be called even
// if nothing else happens. It returns false when no request is queued or running.
func (a *Admission) NextAt() (time.Time, bool) {
	if a.due.len() == 0 {
		return time.Time{}, false
	}
	return a.start.Add(seconds(a.due.min().due)), true
}

// Finish ends a reservation and corrects its charge to the actual work. It returns
// false for a reservation that has expired or never existed.
func (a *Admission) Finish(now time.Time, id RequestID, actualTokens float64) bool {
	a.advance(now)
	e := a.entries[id]
	if e == nil || e.queued {
		return false
	}
	o := e.org
	a.recordCost(e, actualTokens)
	correction := max(actualTokens, 0) - e.Tokens
	o.use.add(a.clock, correction, a.opts.MeterConstant.Seconds())
	a.backlog.retag(o, o.tag+correction/o.localWeight)
	a.release(e)
	return true
}

// Cancel removes a queued request, or ends a running one that took no work. It
// returns false for an unknown request. When a caller left after the endpoint did
// part of the work, call Finish instead.
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
	a.due.remove(e.dueIndex)
	a.recycle(e)
	return true
}

// Queued returns the number of queued requests.
func (a *Admission) Queued() int { return a.backlog.queued }

// Running returns the number of reservations.
func (a *Admission) Running() int { return a.running }

func (a *Admission) organisation(id OrganisationID) *organisation {
	if o := a.active[id]; o != nil {
		if o.contractWeight <= 0 {
			return nil
		}
		return o
	}
	share := a.weightByOrganisation[id]
	if share <= 0 || len(a.active) >= MaxOrganisations {
		return nil
	}
	o := &organisation{id: id, hash: organisationHash(id), contractWeight: share}
	o.demand.updatedAt, o.use.updatedAt = a.clock, a.clock
	o.remoteDemand = a.estimateRemoteDemand(o.hash, 0)
	o.fraction = a.fraction(o)
	o.localWeight = o.contractWeight * o.fraction
	a.active[id] = o
	a.activeList = append(a.activeList, o)
	return o
}

// startTag returns the virtual time at which the organisation's next request
// starts. One that was idle starts at most its credit before the others.
func (a *Admission) startTag(o *organisation) float64 {
	if o.backlogged() {
		return o.tag
	}
	return max(o.tag, a.virtualTime-a.credit(o))
}

// credit returns the credit of an organisation that was idle, in virtual time. It
// keeps the contract for organisations whose callers come in bursts.
func (a *Admission) credit(o *organisation) float64 {
	credit := a.opts.CreditTokens / o.localWeight
	if a.totalWeight > 0 {
		credit = max(credit, a.opts.CreditDuration.Seconds()*a.tokensPerSecond/a.totalWeight)
	}
	return credit
}

func (a *Admission) newEntry(o *organisation, r Request, requestedTokens float64) *entry {
	e := a.free
	if e == nil {
		e = &entry{}
	} else {
		a.free = e.next
	}
	*e = entry{Request: r, org: o, requestedTokens: requestedTokens, since: a.clock}
	a.entries[r.ID] = e
	return e
}

func (a *Admission) recycle(e *entry) {
	delete(a.entries, e.ID)
	*e = entry{next: a.free}
	a.free = e
}

// admit charges the request and reserves its slot. The reservation expires
// after the caller's deadline, or after Options.ReservationTTL without one: a
// request whose end is never reported (a panic, a missed cancel) would otherwise
// hold its slot for ever, and the daemon would admit less and less.
func (a *Admission) admit(e *entry) {
	o := e.org
	e.urgent = a.urgent(o, e.Priority)
	started := o.tag
	a.backlog.retag(o, o.tag+e.Tokens/o.localWeight)
	if least, waiting := a.backlog.least(); waiting {
		a.virtualTime = max(a.virtualTime, least)
	} else {
		a.virtualTime = max(a.virtualTime, started)
	}
	o.use.add(a.clock, e.Tokens, a.opts.MeterConstant.Seconds())
	o.running++
	o.counts.Admitted++
	a.running++
	a.beginPrefill(e)
	if e.urgent {
		a.urgentMeter.started(a.clock)
	}
	e.queued = false
	e.since = a.clock
	e.due = a.reservationExpiry(e)
	a.due.push(e)
}

// reservationExpiry returns when the reservation expires, in seconds of the clock. It is
// a little after the deadline, to give the caller time to report the end.
func (a *Admission) reservationExpiry(e *entry) float64 {
	if e.Deadline.IsZero() {
		return a.clock + a.opts.ReservationTTL.Seconds()
	}
	deadline := max(e.Deadline.Sub(a.start).Seconds(), a.clock) + deadlineGrace
	return min(deadline, a.clock+maxReservationSeconds)
}

const (
	deadlineGrace         = 5       // seconds
	maxReservationSeconds = 60 * 60 // bound for any deadline
)

func (a *Admission) release(e *entry) {
	a.endPrefill(e)
	e.org.running--
	e.org.lastActive = a.clock
	a.running--
	if a.running == 0 { // drop accumulated rounding errors
		a.prefillTokens, a.urgentPrefillTokens = 0, 0
	}
	if e.urgent {
		a.urgentMeter.ended(a.clock)
	}
	a.due.remove(e.dueIndex)
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
		out = append(out, a.refuseEntry(e, a.refusalReason(e.org)))
	}
	return out
}

func (a *Admission) refuseEntry(e *entry, reason Reason) Outcome {
	a.backlog.remove(e)
	a.due.remove(e.dueIndex)
	result := Outcome{ID: e.ID, Decision: a.refuse(e.org, e.Tokens, reason)}
	a.recycle(e)
	return result
}

func (a *Admission) refuseQueued(o *organisation, reason Reason) {
	for p := range o.queues {
		for o.queues[p].n > 0 {
			a.pendingRefusals = append(a.pendingRefusals, a.refuseEntry(o.queues[p].head, reason))
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
