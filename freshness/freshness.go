// Package freshness tracks the age of a daemon's copy of the API keys.
//
// A daemon that has lost its connection to the store goes on serving with the keys that
// it has. Some of them may have been revoked since, which the daemon cannot see, so keys
// are accepted only for a limited time after the last answered read.
//
// Times are readings of a clock that continues while the machine is suspended and is not
// affected by changes of the time of day, as durations since an arbitrary fixed time.
// The package reads no clock itself.
package freshness

import (
	"sync"
	"time"
)

// Tracker records when the latest answered read was sent. It is safe for concurrent
// use. Its zero value has no answered read.
type Tracker struct {
	mu         sync.Mutex
	lastSent   time.Duration
	lastAnswer time.Duration
	confirmed  bool
}

// RecordAnswer records a read that was sent at the given time and answered now. The age
// counts from the sending: the answer may have been delayed, and does not cover what
// happened after it was sent.
func (t *Tracker) RecordAnswer(sent, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastAnswer = max(t.lastAnswer, now)
	if !t.confirmed || sent > t.lastSent {
		t.lastSent, t.confirmed = sent, true
	}
}

// SinceAnswer returns the time since the last answer was received; false if there has
// been none. It shows whether the store can be reached, whereas Age also grows while a
// read is held by the store until there are new records.
func (t *Tracker) SinceAnswer(now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.lastAnswer, t.confirmed
}

// Age returns the time since the latest answered read was sent; false if there has been
// none.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.lastSent, t.confirmed
}

// Within reports whether the age is below the bound.
func (t *Tracker) Within(now, bound time.Duration) bool {
	age, ok := t.Age(now)
	return ok && age < bound
}
