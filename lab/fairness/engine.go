// Package fairness runs the admission of many daemons in virtual time against
// simple fakes of model engines. It measures whether organisations get their
// shares, and whether interactive requests wait behind batch requests.
//
// There is no network model: digests between daemons arrive after a fixed delay
// or are lost.
package fairness

import (
	"time"

	"github.com/merlindock/merlindock/contract"
)

// EngineOptions describe the engines of a scenario, which are all equal.
type EngineOptions struct {
	Count   int
	Slots   int     // requests that one engine runs at a time
	Prefill float64 // tokens per second of one engine
	Decode  float64 // tokens per second of one request
}

// task is the state of one request.
type task struct {
	id         contract.RequestID
	daemon     int
	org        int
	priority   contract.Priority
	offered    time.Duration // first offer, before any retry
	arrived    time.Duration // current attempt, at the daemon
	prefill    float64       // remaining tokens
	decode     float64       // remaining tokens
	tokens     float64       // total
	firstToken time.Duration // time of the first token; 0 before it
	call       int           // index in Result.calls
}

// fakeEngine is a fake engine with continuous batching. Requests take slots in
// the order of priority, are prefilled one after the other in that order, and
// decode concurrently.
type fakeEngine struct {
	opts    EngineOptions
	waiting [contract.PriorityCount][]*task
	running []*task

	prefilling []*task
}

func (e *fakeEngine) enqueue(t *task) { e.waiting[t.priority] = append(e.waiting[t.priority], t) }

func (e *fakeEngine) requests() int {
	n := len(e.running)
	for _, q := range e.waiting {
		n += len(q)
	}
	return n
}

// step runs the engine for span and appends the tasks that finished to done.
func (e *fakeEngine) step(now, span time.Duration, done []*task) []*task {
	e.fillSlots()
	e.prefill(e.opts.Prefill * span.Seconds())
	decoded := e.opts.Decode * span.Seconds()
	unfinished := e.running[:0]
	for _, t := range e.running {
		if t.prefill <= 0 {
			if t.firstToken == 0 {
				t.firstToken = now + span
			}
			t.decode -= decoded
		}
		if t.prefill <= 0 && t.decode <= 0 {
			done = append(done, t)
			continue
		}
		unfinished = append(unfinished, t)
	}
	e.running = unfinished
	return done
}

func (e *fakeEngine) fillSlots() {
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
			tokens := min(t.prefill, budget)
			t.prefill -= tokens
			budget -= tokens
		}
	}
}
