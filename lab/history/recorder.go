package history

import (
	"sync"
	"time"
)

// Recorder gathers a history. Its mutex is taken last.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder starts a history now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now is the time since the history began.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event that began at start and ends now.
func (r *Recorder) Add(client int, start time.Duration, input, output any) {
	end := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Event{Client: client, Start: start, End: end, Input: input, Output: output})
}

// Events returns the history so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
