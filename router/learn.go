package router

import (
	"context"
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/weights"
)

// unanswered is a request whose answer has not begun.
type unanswered struct {
	endpoint fleet.EndpointID
	priority contract.Priority
	placed   time.Time
	reading  time.Duration // of the prompt, expected
}

// waited is how long it has waited for its prompt to be read.
func (u *unanswered) waited(now time.Time) time.Duration { return now.Sub(u.placed) - u.reading }

// overdue tells placement which requests have been waiting.
func (p *placer) overdue(now time.Time) {
	p.unansweredMu.Lock()
	defer p.unansweredMu.Unlock()
	for _, u := range p.unanswered {
		if w := u.waited(now); w > 0 {
			p.s.view.Waited(now, u.endpoint, u.priority, w, false)
		}
	}
}

// answered ends the waiting of a placement.
func (p *placer) answered(now time.Time, id uint64, ran bool) {
	p.unansweredMu.Lock()
	u, ok := p.unanswered[id]
	delete(p.unanswered, id)
	p.unansweredMu.Unlock()
	if ok && ran {
		p.s.view.Waited(now, u.endpoint, u.priority, u.waited(now), true)
	}
}

// ask has the homes of a long prompt report their load, if it is not known.
//
// With many daemons each hears of an engine every few seconds, too seldom to
// tell a full one from an idle one, and the reading of one long prompt behind
// others is what makes answers late. Two small questions cost a few
// milliseconds.
func (p *placer) ask(ctx context.Context, now time.Time, r *placement.Request, model string) {
	homes := p.s.view.Homes(*r, now.Add(-loadKnown), askedHomes)
	if len(homes) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var all sync.WaitGroup
	for _, key := range homes {
		target, ok := p.target(key)
		if !ok {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			report, err := p.engines.Report(call, target, model)
			if err != nil {
				return // placement goes by what it knows; the attempt shows what is wrong
			}
			p.s.view.LoadReported(key, fleet.Load{
				At: time.Now().Add(-reportLag), Running: report.Running, Waiting: report.Waiting,
				WaitingTokens: p.queuedTokens(laneLong, &report),
			})
		}()
	}
	all.Wait()
}

func (p *placer) target(key fleet.EndpointID) (weights.Target, bool) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	e := p.s.roster.Find(key)
	if e == nil {
		return weights.Target{}, false
	}
	return weights.Target{Key: e.Key, ID: e.ID, Address: e.Address}, true
}

// Times of asking engines for their load.
const (
	// loadKnown is the age up to which a load is taken as it was told.
	loadKnown = 300 * time.Millisecond
	// askTime bounds the question; engines answer in a few milliseconds.
	askTime = 40 * time.Millisecond
	// reportLag is how old a report is when it comes.
	reportLag  = 200 * time.Millisecond
	askedHomes = 2
)

// Answered implements forward.Placer.
func (p *placer) Answered(pl *forward.Placement, info *forward.AnswerInfo) {
	now := time.Now()
	if p.room != nil && !info.Misplaced { // else it may be another endpoint's
		p.room.Answered(pl.Target.Key, info.Limit)
	}
	if info.Load != nil {
		info.Load.At = now
		info.Load.WaitingTokens = p.waitingAt(pl, info.Load.Waiting)
	}
	p.answered(now, pl.ID, !info.NotRun)
	if !info.NotRun {
		pl.Notes.Began = now
		p.s.view.Answered(now, placement.Answer{ID: pl.ID, Endpoint: pl.Target.Key, CachedTokens: pl.Cached, Load: easyLoad(info.Load)})
		return
	}
	if info.Load != nil {
		p.s.view.LoadReported(pl.Target.Key, *info.Load)
	}
	p.turnedAway(now, pl, info)
}

// waitingAt estimates the prompts that wait at the engine of a placement. Where this
// daemon places all long prompts, it counts its own by their reservations, and what
// else waits is short.
func (p *placer) waitingAt(pl *forward.Placement, waiting int) int {
	if pl.Notes.Sole {
		return p.waitingTokens(laneShort, max(0, waiting-p.s.view.Unread(pl.Target.Key)))
	}
	return p.waitingTokens(lane(pl.Notes.Engine), waiting)
}

// waitingTokens estimates the prompts that wait at an engine of the lane. Engines
// tell in their answers how many requests wait, not how long they are.
func (p *placer) waitingTokens(in lane, waiting int) int {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return int(float64(waiting) * p.s.lanes.mean[in])
}

// queuedTokens estimates what an engine has still to read from its report, which
// tells the length of the prompt that waits first. The one that is being read is
// half done on average.
func (p *placer) queuedTokens(in lane, r *weights.Report) int {
	out := p.waitingTokens(in, max(0, r.Waiting-1)) + r.NextTokens
	return out + p.waitingTokens(in, r.Unread)/2
}

// easySlots is the size of a batch above which an endpoint counts as full. A step
// reads the weights once for all requests, and for each its own cache besides: with a
// few dozen of them the caches take as long as the weights, and from there on each
// further request slows the tokens of all others. An endpoint above it still gets work
// when none has room.
const easySlots = 64

// easyLoad counts an endpoint with a batch past easySlots as full. Short prompts
// with long answers passed their limit in batches of 128, beside engines with 20.
func easyLoad(l *fleet.Load) *fleet.Load {
	if l == nil {
		return nil
	}
	out := *l
	out.Slots = min(out.Slots, easySlots)
	return &out
}

// turnedAway learns from an endpoint that did not run a request: it is another
// endpoint, has other weights, takes new ones now, or is full.
func (p *placer) turnedAway(now time.Time, pl *forward.Placement, info *forward.AnswerInfo) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	full := info.Load != nil && info.Load.Slots > 0 && info.Load.Running >= info.Load.Slots
	if info.Misplaced || !full {
		p.s.roster.Rest(now, pl.Target.Key, restAfterRefusal)
	}
}

// Ended implements forward.Placer.
func (p *placer) Ended(pl *forward.Placement, end forward.AttemptEnd) {
	now := time.Now()
	p.answered(now, pl.ID, false)
	if end.Lost && end.Failure == retry.NotSent && pl.Notes.Dispatcher == "" {
		p.giveBack(pl.Target.Key)
	}
	if end.Whole || end.Left {
		p.s.view.Finished(now, pl.ID)
	} else {
		p.s.view.Failed(now, placement.Failure{ID: pl.ID, Endpoint: pl.Target.Key})
	}
	if end.NotRun || end.Left {
		return
	}
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	if end.Whole && !end.Error && pl.Out.Version != 0 && !pl.Notes.Began.IsZero() {
		p.s.lanes.ended(lane(pl.Notes.Prompt), now.Sub(pl.Notes.Began))
	}
	if end.Lost && end.Failure == retry.NotSent {
		// Nobody is there at all: nothing speaks for trying once more soon.
		p.s.roster.Rest(now, pl.Target.Key, restUnreachable)
	}
	if end.Lost {
		p.s.roster.Failed(now, pl.Target.Key)
	} else if end.Whole && !end.Error {
		p.s.roster.Answered(now, pl.Target.Key)
	}
}
