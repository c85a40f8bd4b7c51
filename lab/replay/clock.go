package replay

import (
	"container/heap"
	"time"
)

// startTime is the virtual time at which every replay begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs events in virtual time, in the order of their time. Events of the
// same time run in the order in which they were scheduled.
type clock struct {
	now     time.Time
	events  eventHeap
	seq     uint64
	pending int // scheduled events that keep the replay running
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// at schedules an event that keeps the replay running until it has run.
func (c *clock) at(t time.Time, run func()) {
	c.pending++
	c.background(t, func() {
		c.pending--
		run()
	})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every runs an event periodically while other events are pending.
func (c *clock) every(first, period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		if c.pending > 0 {
			c.background(c.now.Add(period), again)
		}
	}
	c.background(c.now.Add(first), again)
}

// background schedules an event that does not keep the replay running.
func (c *clock) background(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, run: run})
}

func (c *clock) run() {
	for len(c.events) > 0 && c.pending > 0 {
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
