package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/permits"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/weights"
)

// unanswered is a request whose answer has not begun.
type unanswered struct {
	endpoint     fleet.EndpointID
	priority     contract.Priority
	placed       time.Time
	expectedRead time.Duration // expected time to read the prompt
}

// waited returns how long the request has waited beyond the expected time to read its
// prompt.
func (u *unanswered) waited(now time.Time) time.Duration { return now.Sub(u.placed) - u.expectedRead }

// reportWaiting passes the requests that wait longer than expected to placement.
func (p *placer) reportWaiting(now time.Time) {
	p.unansweredMu.Lock()
	defer p.unansweredMu.Unlock()
	for _, u := range p.unanswered {
		if w := u.waited(now); w > 0 {
			p.state.view.ObserveWait(now, u.endpoint, u.priority, w, false)
		}
	}
}

// finishWaiting removes the unanswered entry of a placement. If the request ran, its
// final waiting time is passed to placement.
func (p *placer) finishWaiting(now time.Time, id uint64, ran bool) {
	p.unansweredMu.Lock()
	u, ok := p.unanswered[id]
	delete(p.unanswered, id)
	p.unansweredMu.Unlock()
	if ok && ran {
		p.state.view.ObserveWait(now, u.endpoint, u.priority, u.waited(now), true)
	}
}

// forgetWaits drops what was observed of waits at endpoints, and stops observing the
// requests that are under way there.
func (p *placer) forgetWaits(at map[fleet.EndpointID]bool) {
	p.unansweredMu.Lock()
	maps.DeleteFunc(p.unanswered, func(_ uint64, u unanswered) bool { return at[u.endpoint] })
	p.unansweredMu.Unlock()
	for key := range at {
		p.state.view.ForgetWaits(key)
	}
}

// queryLoads requests the load of the preferred engines of a long prompt unless a
// recent one is known.
//
// With many daemons, each receives a load from any one engine only every few seconds.
// That is too seldom to distinguish a full engine from an idle one, and late answers
// are caused mainly by long prompts that are read one after the other. Two small
// requests take a few milliseconds.
func (p *placer) queryLoads(ctx context.Context, now time.Time, r *placement.Request, model string) {
	preferred := p.state.view.StalePreferred(*r, now.Add(-freshLoadAge), maxQueriedEngines)
	if len(preferred) == 0 {
		return
	}
	queryCtx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, key := range preferred {
		target, ok := p.target(key)
		if !ok {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			report, err := p.engines.Report(queryCtx, target, model)
			if err != nil {
				return // placement uses the loads it has; the attempt shows the fault
			}
			if report.Leaving {
				p.endpointLeaving(time.Now(), key, target.ID)
			}
			load := fleet.Load{
				At: time.Now().Add(-loadReportAge), Running: report.Running, Waiting: report.Waiting,
				WaitingTokens: p.estimateQueued(subpoolLong, &report),
			}
			p.state.view.LoadReported(key, load)
			p.loads.observe(key, &load, loadReportAge)
		}()
	}
	wg.Wait()
}

func (p *placer) target(key fleet.EndpointID) (weights.Target, bool) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	e := p.state.roster.Find(key)
	if e == nil {
		return weights.Target{}, false
	}
	return weights.Target{Key: e.Key, ID: e.ID, Address: e.Address}, true
}

// Parameters of load queries to engines.
const (
	// freshLoadAge is the age below which a load is used without a query.
	freshLoadAge = 300 * time.Millisecond
	// loadQueryTimeout bounds a query; engines usually answer in a few milliseconds.
	loadQueryTimeout = 40 * time.Millisecond
	// loadReportAge is the assumed age of the load in a report when it arrives.
	loadReportAge = 200 * time.Millisecond
	// maxQueriedEngines bounds the engines queried for one prompt.
	maxQueriedEngines = 2
)

// AnswerStarted implements forward.Placer.
func (p *placer) AnswerStarted(pl *forward.Placement, info *forward.AnswerInfo) {
	now := time.Now()
	if p.endpointLimits != nil && !info.Misplaced { // a misplaced answer may come from another endpoint
		p.endpointLimits.Answered(pl.Target.Key, info.Limit)
	}
	p.observePermits(pl, info)
	if info.Leaving && identified(pl, info) {
		p.endpointLeaving(now, pl.Target.Key, pl.Target.ID)
	}
	if info.Backoff > 0 && identified(pl, info) {
		p.endpointBackoff(now, pl.Target.Key, info.Backoff)
	}
	if info.Load != nil {
		info.Load.At = now
		info.Load.WaitingTokens = p.estimateWaitingAt(pl, info.Load.Waiting)
	}
	p.finishWaiting(now, pl.ID, !info.NotRun)
	if !info.NotRun {
		pl.Notes.Began = now
		p.state.view.Answered(now, placement.Answer{ID: pl.ID, Endpoint: pl.Target.Key, CachedTokens: pl.Cached, Load: capSlots(info.Load)})
		return
	}
	if info.Load != nil {
		p.state.view.LoadReported(pl.Target.Key, *info.Load)
	}
	p.handleRejection(now, pl, info)
}

// identified reports whether an answer comes from the endpoint of the placement. Another
// endpoint at the same address refuses requests that name this one.
func identified(pl *forward.Placement, info *forward.AnswerInfo) bool {
	return !info.Misplaced || info.EndpointID == pl.Target.ID
}

// endpointLeaving stops the requests to an endpoint that announced its shutdown.
func (p *placer) endpointLeaving(now time.Time, key fleet.EndpointID, id string) {
	if p.state.markLeaving(now, key, id) {
		p.log.Info("Endpoint announced its shutdown.", "endpoint", string(key))
	}
}

// endpointBackoff stops the requests to an endpoint for the time that it asked this daemon
// for.
func (p *placer) endpointBackoff(now time.Time, key fleet.EndpointID, d time.Duration) {
	p.state.mu.Lock()
	began := p.state.roster.BackOff(now, key, d)
	p.state.mu.Unlock()
	if began {
		p.log.Info("Endpoint asked for a backoff.", "endpoint", string(key), "backoff_ms", d.Milliseconds())
	}
}

// estimateWaitingAt estimates the prompt tokens that wait at the engine of a placement.
// Where this daemon places all long prompts, it accounts for them by their
// reservations, and all other waiting prompts are short.
func (p *placer) estimateWaitingAt(pl *forward.Placement, waiting int) int {
	if pl.Notes.Sole {
		return p.estimateWaiting(subpoolShort, max(0, waiting-p.state.view.PendingPrompts(pl.Target.Key)))
	}
	return p.estimateWaiting(subpool(pl.Notes.Engine), waiting)
}

// estimateWaiting estimates the prompt tokens of the waiting requests at an engine of
// the subpool. Answers of engines contain the number of waiting requests but not their
// lengths.
func (p *placer) estimateWaiting(in subpool, waiting int) int {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	return int(float64(waiting) * p.state.subpools.meanTokens[in])
}

// estimateQueued estimates the tokens that an engine still has to read from its report,
// which contains the length of the first waiting prompt. A prompt that is being read is
// assumed to be half done.
func (p *placer) estimateQueued(in subpool, r *weights.Report) int {
	out := p.estimateWaiting(in, max(0, r.Waiting-1)) + r.FirstWaitingTokens
	return out + p.estimateWaiting(in, r.AwaitingAnswer)/2
}

// maxBatch is the batch size above which an endpoint counts as full. A generation step
// reads the weights once for all requests and, for each request, its own KV cache. With
// a few dozen requests the caches take as long as the weights, and each further request
// slows down the tokens of all others. An endpoint above this size still receives
// requests when no other has free slots.
const maxBatch = 64

// capSlots limits the slots of a load to maxBatch. Without the limit, short prompts with
// long answers exceed their time limit in batches of 128 while other engines have
// batches of 20.
func capSlots(l *fleet.Load) *fleet.Load {
	if l == nil {
		return nil
	}
	out := *l
	out.Slots = min(out.Slots, maxBatch)
	return &out
}

// lacksCapacity reports whether an endpoint rejected a request because it was full. A plain
// one that reports no load is assumed to be, and while admission is in use an engine of a
// service without load reports: without that, full engines would be excluded as if they were
// loading weights.
func (p *placer) lacksCapacity(pl *forward.Placement, info *forward.AnswerInfo) bool {
	unknown := info.Load == nil && (pl.Out.Version == 0 || p.admission.withoutReports(pl))
	return (reportsFull(info.Load) || unknown) && !info.Misplaced
}

// reportsFull reports whether a load has no free slot.
func reportsFull(l *fleet.Load) bool { return l != nil && l.Slots > 0 && l.Running >= l.Slots }

// handleRejection excludes an endpoint for a short time after it did not run a request
// because it is a different endpoint, has other weights or is loading new ones. An
// endpoint that is merely full is not excluded, but avoided for a moment, as is a plain
// one that reports no load.
func (p *placer) handleRejection(now time.Time, pl *forward.Placement, info *forward.AnswerInfo) {
	if p.lacksCapacity(pl, info) {
		p.state.view.Rejected(now, pl.Target.Key)
		return
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	p.state.roster.Suspend(now, pl.Target.Key, refusalSuspension)
}

// AttemptEnded implements forward.Placer.
func (p *placer) AttemptEnded(pl *forward.Placement, end forward.AttemptEnd) {
	now := time.Now()
	p.finishWaiting(now, pl.ID, end.Stalled)
	if pl.Notes.Permit != 0 {
		p.permits.release(permits.ID(pl.Notes.Permit), !end.Whole && !end.NotRun && end.Failure != retry.NotSent)
	}
	if end.Lost && end.Failure == retry.NotSent && pl.Notes.Dispatcher == "" {
		p.releaseLimit(pl.Target.Key)
	}
	if end.Whole || end.Left {
		p.state.view.Finished(now, pl.ID)
	} else {
		p.state.view.Failed(now, placement.Failure{ID: pl.ID, Endpoint: pl.Target.Key})
	}
	if end.NotRun || end.Left {
		return
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	if end.Whole && !end.Error && pl.Out.Version != 0 && !pl.Notes.Began.IsZero() {
		p.state.subpools.addAnswer(subpool(pl.Notes.Prompt), now.Sub(pl.Notes.Began))
	}
	if end.Lost && end.Failure == retry.NotSent {
		// The endpoint accepts no connection at all, so an early retry is unlikely to
		// succeed.
		p.state.roster.Suspend(now, pl.Target.Key, unreachableSuspension)
	}
	if end.Lost || end.Stalled {
		// An endpoint that stalls on one stream after another serves nothing, even if it
		// accepts connections. A complete answer resets the count of failures.
		if !end.RelayLost {
			p.state.roster.RecordFailure(now, pl.Target.Key)
		}
	} else if end.Whole && !end.Error {
		p.state.roster.RecordSuccess(now, pl.Target.Key)
	}
}
