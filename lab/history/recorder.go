package history

import (
	"sync"
	"time"
)

// Recorder collects a history. It may be called with other mutexes locked, as it
// calls no other code while it holds its own.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder returns an empty history that begins now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the time since the beginning of the history.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event that began at start and ends now.
func (r *Recorder) Add(client int, start time.Duration, input, output any) {
	end := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Event{Client: client, Start: start, End: end, Input: input, Output: output})
}

// Events returns a copy of the history so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
