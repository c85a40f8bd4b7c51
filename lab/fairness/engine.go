// Package fairness drives the admission of many daemons in virtual time in
// front of small fakes of model engines, and measures whether organisations get
// their shares and whether people wait behind batch work.
//
// There is no network model: digests between daemons come after a fixed delay
// or not at all.
package fairness

import (
	"time"

	"github.com/merlindock/merlindock/contract"
)

// EngineOptions describe the engines, all alike.
type EngineOptions struct {
	Count   int
	Slots   int     // requests in a batch
	Prefill float64 // tokens a second of one engine
	Decode  float64 // tokens a second of one stream
}

// task is one request at an engine.
type task struct {
	id       contract.RequestID
	daemon   int
	org      int
	priority contract.Priority
	offered  time.Duration // the first time
	arrived  time.Duration // at the daemon
	prefill  float64       // left
	decode   float64       // left
	tokens   float64       // in all
	first    time.Duration // first token; 0 before
	call     int           // in the result's list
}

// fakeEngine batches continuously: requests take a slot, the more urgent ones
// first, prefill one after the other by priority, and then decode together.
type fakeEngine struct {
	opts    EngineOptions
	waiting [contract.PriorityCount][]*task
	running []*task

	prefilling []*task
}

func (e *fakeEngine) add(t *task) { e.waiting[t.priority] = append(e.waiting[t.priority], t) }

func (e *fakeEngine) load() int {
	n := len(e.running)
	for _, q := range e.waiting {
		n += len(q)
	}
	return n
}

// step runs the engine for the span and appends the tasks that ended.
func (e *fakeEngine) step(now, span time.Duration, done []*task) []*task {
	e.fill()
	e.prefill(e.opts.Prefill * span.Seconds())
	decoded := e.opts.Decode * span.Seconds()
	rest := e.running[:0]
	for _, t := range e.running {
		if t.prefill <= 0 {
			if t.first == 0 {
				t.first = now + span
			}
			t.decode -= decoded
		}
		if t.prefill <= 0 && t.decode <= 0 {
			done = append(done, t)
			continue
		}
		rest = append(rest, t)
	}
	e.running = rest
	return done
}

func (e *fakeEngine) fill() {
	for p := range e.waiting {
		for len(e.waiting[p]) > 0 && len(e.running) < e.opts.Slots {
			e.running = append(e.running, e.waiting[p][0])
			e.waiting[p] = e.waiting[p][1:]
		}
	}
}

func (e *fakeEngine) prefill(budget float64) {
	e.prefilling = e.prefilling[:0]
	for _, t := range e.running {
		if t.prefill > 0 {
			e.prefilling = append(e.prefilling, t)
		}
	}
	for p := contract.PriorityInteractive; p < contract.PriorityCount; p++ {
		for _, t := range e.prefilling {
			if t.priority != p || budget <= 0 {
				continue
			}
			part := min(t.prefill, budget)
			t.prefill -= part
			budget -= part
		}
	}
}
