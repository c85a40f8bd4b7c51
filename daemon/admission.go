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

// admission lets requests enter by their organisation's share, one pool of
// runners apart from the other.
type admission struct {
	daemon *Daemon
	now    func() time.Time
	ids    requestIDs

	mu          sync.Mutex // guards the fields below, not the pools' own state
	shares      []contract.Share
	pools       map[string]*admissionPool
	liveDaemons int // daemons on the platform's list; 0: not known

	digestMu sync.Mutex
	nextPool int // the pool that the next digest to the neighbours begins with
}

// admissionPool guards the decisions for one pool and wakes those that wait.
type admissionPool struct {
	now func() time.Time

	mu      sync.Mutex
	core    *contract.Admission
	waiting map[contract.RequestID]chan contract.Decision
	outcomes []contract.Outcome
	timer   *time.Timer
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
			p.core.SetDaemons(a.now(), a.liveDaemons)
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
			Daemon: contract.DaemonID(d.o.Settings.Daemon.ID),
			Epoch:  uint64(d.startedAt.UnixMilli()),
			Rand:   rand.New(rand.NewPCG(seedOf(d.o.Settings.Daemon.ID, d.startedAt), a.ids.next())),
		}),
	}
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	return p
}

// clonePools copies the table of pools. The caller holds the lock.
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

// setDaemons tells how many daemons are live by the platform's list. Without it
// a daemon that has heard no neighbour yet would take the whole fleet for its
// own.
func (a *admission) setDaemons(live int) {
	a.mu.Lock()
	a.liveDaemons = live
	pools := a.clonePools()
	a.mu.Unlock()
	for _, p := range pools {
		p.mu.Lock()
		p.core.SetDaemons(p.now(), live)
		p.mu.Unlock()
	}
}

// setLoad tells how full the endpoints of a model say they are, from which
// admission sees whether a silent neighbour still spends its part.
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
		ID:           id,
		Organisation: r.Organisation,
		Priority:     clampPriority(r.Priority),
		Tokens:       float64(r.Tokens),
		Deadline:     r.Deadline,
		Unseen:       !r.Streamed,
	})
	if err != nil {
		return gateway.Admission{}, err
	}
	if d.Verdict != contract.Admitted {
		return gateway.Admission{}, admissionRefusal(d)
	}
	return gateway.Admission{
		Started: func() { p.started(id) },
		Release: func(used int) { p.finish(id, float64(used)) },
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

// admit returns the decision on a request, waiting for it if it is queued.
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

// deliverDecisions hands decisions to those that wait and sets the timer for the next one.
// The caller holds the lock.
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

// minTimerDelay keeps a decision that is due at once from spinning.
const minTimerDelay = time.Millisecond

// admissionRefusal tells the caller at once that nothing ran and when to come back.
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
