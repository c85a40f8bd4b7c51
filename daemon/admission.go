package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/manifest"
)

// admission decides which requests may start, by the share of their
// organisation. Each model has a pool of its own with separate accounting.
type admission struct {
	daemon *Daemon
	now    func() time.Time
	ids    requestIDs

	mu          sync.Mutex // guards shares, pools and liveDaemons; each pool has its own lock
	shares      []contract.Share
	pools       map[string]*admissionPool
	liveDaemons int // daemons on the platform's list that are not leaving; 0: unknown

	digestMu sync.Mutex
	nextPool int // index of the first pool in the next digest to the neighbours
}

// admissionPool serialises the admission decisions of one model and passes them
// to the waiting requests.
type admissionPool struct {
	now func() time.Time

	mu       sync.Mutex
	core     *contract.Admission
	waiting  map[contract.RequestID]chan contract.Decision
	outcomes []contract.Outcome
	timer    *time.Timer
}

func newAdmission(d *Daemon) *admission {
	return &admission{daemon: d, now: d.o.Now, pools: map[string]*admissionPool{}}
}

func (a *admission) setManifest(m *manifest.Manifest) {
	var shares []contract.Share
	for i := range m.Organisations {
		o := &m.Organisations[i]
		shares = append(shares, contract.Share{Organisation: o.ID, Weight: o.Share})
	}
	a.mu.Lock()
	a.shares = shares
	for i := range m.Models {
		if a.pools[m.Models[i].ID] == nil {
			p := a.newPool()
			p.core.SetDaemonCount(a.now(), a.liveDaemons)
			a.pools[m.Models[i].ID] = p
		}
	}
	pools := a.clonePools()
	a.mu.Unlock()
	for _, p := range pools {
		p.setContract(shares)
	}
}

func (a *admission) newPool() *admissionPool {
	d := a.daemon
	p := &admissionPool{
		now:     a.now,
		waiting: map[contract.RequestID]chan contract.Decision{},
		core: contract.NewAdmission(contract.Options{
			Daemon:      contract.DaemonID(d.o.Settings.Daemon.ID),
			Incarnation: uint64(d.startedAt.UnixMilli()),
			Rand:        rand.New(rand.NewPCG(seedOf(d.o.Settings.Daemon.ID, d.startedAt), a.ids.next())),
		}),
	}
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	return p
}

// clonePools returns a copy of the pools by model. The caller holds a.mu.
func (a *admission) clonePools() map[string]*admissionPool {
	pools := make(map[string]*admissionPool, len(a.pools))
	for name, p := range a.pools {
		pools[name] = p
	}
	return pools
}

func (a *admission) listPools() map[string]*admissionPool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clonePools()
}

// setDaemons sets the number of live daemons on the platform's list. Without
// it, a daemon that has not yet received a neighbour's digest would use the
// capacity of the whole fleet for itself.
func (a *admission) setDaemons(live int) {
	a.mu.Lock()
	a.liveDaemons = live
	pools := a.clonePools()
	a.mu.Unlock()
	for _, p := range pools {
		p.mu.Lock()
		p.core.SetDaemonCount(p.now(), live)
		p.mu.Unlock()
	}
}

// setLoad sets the load that the endpoints of a model report. Admission uses it
// to detect whether a neighbour that sends no digests still uses its fraction
// of the capacity.
func (a *admission) setLoad(model string, requests, slots int) {
	p := a.listPools()[model]
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetLoad(p.now(), requests, slots)
}

// Admit implements gateway.Admitter.
func (a *admission) Admit(ctx context.Context, r gateway.AdmitRequest) (gateway.Admission, error) {
	p := a.pool(r.Model)
	if p == nil {
		return gateway.Admission{}, admissionRefusal(contract.Decision{Reason: contract.NoCapacity, RetryAfter: gateway.DefaultRetryAfter})
	}
	c := a.daemon.fleet.capacityOf(r.Model)
	id := contract.RequestID(a.ids.next())
	rate := float64(c.endpoints) * a.daemon.o.Settings.Routing.RunnerTokens
	d, err := p.admit(ctx, rate, c.slots, contract.Request{
		ID:              id,
		Organisation:    r.Organisation,
		Priority:        clampPriority(r.Priority),
		Tokens:          float64(r.Tokens),
		Deadline:        r.Deadline,
		StartUnobserved: !r.Streamed,
	})
	if err != nil {
		return gateway.Admission{}, err
	}
	if d.Verdict != contract.Admitted {
		return gateway.Admission{}, admissionRefusal(d)
	}
	return gateway.Admission{
		OnFirstToken: func() { p.started(id) },
		Release:      func(used int) { p.finish(id, float64(used)) },
	}, nil
}

func (a *admission) pool(model string) *admissionPool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[model]
}

func (p *admissionPool) setContract(shares []contract.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetContract(p.now(), shares)
	p.deliverDecisions()
}

// admit offers a request to the pool. If the request is queued, admit waits for
// the decision or until ctx ends, which cancels the request.
func (p *admissionPool) admit(ctx context.Context, rate float64, slots int, r contract.Request) (contract.Decision, error) {
	p.mu.Lock()
	p.core.SetCapacity(p.now(), rate, slots)
	d := p.core.Offer(p.now(), r)
	if d.Verdict != contract.Queued {
		p.deliverDecisions()
		p.mu.Unlock()
		return d, nil
	}
	decided := make(chan contract.Decision, 1)
	p.waiting[r.ID] = decided
	p.deliverDecisions()
	p.mu.Unlock()
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		p.cancel(r.ID)
		return contract.Decision{}, ctx.Err()
	}
}

func (p *admissionPool) cancel(id contract.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.core.Cancel(p.now(), id)
	p.deliverDecisions()
}

func (p *admissionPool) started(id contract.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Started(p.now(), id)
	p.deliverDecisions()
}

func (p *admissionPool) finish(id contract.RequestID, used float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Finish(p.now(), id, used)
	p.deliverDecisions()
}

func (p *admissionPool) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliverDecisions()
}

// deliverDecisions sends the decisions that are due to the waiting requests and
// sets the timer for the next one. The caller holds p.mu.
func (p *admissionPool) deliverDecisions() {
	now := p.now()
	p.outcomes = p.core.Next(now, p.outcomes[:0])
	for _, o := range p.outcomes {
		if decided, ok := p.waiting[o.ID]; ok {
			decided <- o.Decision
			delete(p.waiting, o.ID)
		}
	}
	if at, ok := p.core.NextAt(); ok {
		p.timer.Reset(max(at.Sub(now), minTimerDelay))
	}
}

// minTimerDelay keeps the timer from firing in a busy loop while a decision is
// due at once.
const minTimerDelay = time.Millisecond

// admissionRefusal returns the error answer for a request that was not
// admitted. Nothing has run; RetryAfter is the time after which the caller may
// try again.
func admissionRefusal(d contract.Decision) *gateway.Refusal {
	r := &gateway.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       gateway.CodeOverloaded,
		Outcome:    gateway.OutcomeNotRun,
		Message:    "the fleet is busy: " + d.Reason.String(),
		RetryAfter: d.RetryAfter,
	}
	switch d.Reason {
	case contract.OverShare:
		r.Status = http.StatusTooManyRequests
		r.Message = "the organisation uses more than its share"
	case contract.UnknownOrganisation:
		r.Status = http.StatusForbidden
		r.Code = gateway.CodeNotPermitted
		r.Outcome = gateway.OutcomeRefused
	}
	return r
}
