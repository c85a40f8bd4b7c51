package replay

import (
	"container/heap"
	"time"
)

// start is the moment at which every replay begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs events in the order of their time, and in the order in which they
// were set where times are equal.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
	work   int // events that are not periodic
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// at sets an event that the replay waits for.
func (c *clock) at(t time.Time, run func()) {
	c.work++
	c.push(t, func() {
		c.work--
		run()
	})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every repeats an event until nothing else is left to happen.
func (c *clock) every(first, period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		if c.work > 0 {
			c.push(c.now.Add(period), again)
		}
	}
	c.push(c.now.Add(first), again)
}

func (c *clock) push(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

func (c *clock) runAll() {
	for len(c.events) > 0 && c.work > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
