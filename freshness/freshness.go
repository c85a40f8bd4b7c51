// Package freshness tells how old a daemon's knowledge of API keys is.
//
// A daemon that lost its way to the store goes on serving with the keys it
// knows. Some of them may have been taken away meanwhile, which nobody at the
// daemon can see; so keys are believed only for a bounded time after a read
// that was answered.
//
// Times are readings of a clock that runs on while the machine is suspended and
// does not jump with the time of day, given as the duration since any fixed
// moment. The package reads no clock itself.
package freshness

import (
	"sync"
	"time"
)

// Tracker holds when the newest answered read was sent. It is safe for
// concurrent use. The zero value has never been confirmed.
type Tracker struct {
	mu         sync.Mutex
	lastSent   time.Duration
	lastAnswer time.Duration
	confirmed  bool
}

// RecordAnswer notes a read that was sent at the given time and has been answered
// now. What it confirms counts from the sending: the answer may have been on
// its way for long, and says nothing of what happened since it left.
func (c *Tracker) RecordAnswer(sent, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswer = max(c.lastAnswer, now)
	if !c.confirmed || sent > c.lastSent {
		c.lastSent, c.confirmed = sent, true
	}
}

// SinceAnswer is the time since an answer came; false if there has been none. It
// tells whether there is a way to the store, while Age also grows as a read
// waits for news there.
func (c *Tracker) SinceAnswer(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.lastAnswer, c.confirmed
}

// Age is the time since the newest answered read was sent; false if there has
// been none.
func (c *Tracker) Age(now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.lastSent, c.confirmed
}

// Within tells whether knowledge is no older than the bound.
func (c *Tracker) Within(now, bound time.Duration) bool {
	age, ok := c.Age(now)
	return ok && age < bound
}
