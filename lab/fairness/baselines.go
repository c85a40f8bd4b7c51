package fairness

import (
	"time"

	"github.com/merlindock/merlindock/contract"
)

// Admission decides at one daemon which requests are dispatched. It is
// implemented by contract.Admission and by the baselines of this file.
type Admission interface {
	Offer(now time.Time, r contract.Request) contract.Decision
	Next(now time.Time, out []contract.Outcome) []contract.Outcome
	Finish(now time.Time, id contract.RequestID, actualTokens float64) bool
}

// AdmitAll admits every request at once, so that requests queue at the engines.
type AdmitAll struct{}

// Offer admits the request.
func (AdmitAll) Offer(time.Time, contract.Request) contract.Decision {
	return contract.Decision{Verdict: contract.Admitted}
}

// Next returns out unchanged, since no request is queued.
func (AdmitAll) Next(_ time.Time, out []contract.Outcome) []contract.Outcome { return out }

// Finish does nothing.
func (AdmitAll) Finish(time.Time, contract.RequestID, float64) bool { return true }

// FIFO admits a fixed number of requests at a time and holds the others in one
// queue for all organisations.
type FIFO struct {
	Slots    int
	MaxQueue int
	queue    []contract.RequestID
	running  int
}

// Offer admits the request while a slot is free, queues it otherwise, and
// refuses it if the queue is full.
func (f *FIFO) Offer(_ time.Time, r contract.Request) contract.Decision {
	if f.running < f.Slots {
		f.running++
		return contract.Decision{Verdict: contract.Admitted}
	}
	if len(f.queue) >= f.MaxQueue {
		return contract.Decision{Reason: contract.NoCapacity, RetryAfter: time.Second}
	}
	f.queue = append(f.queue, r.ID)
	return contract.Decision{Verdict: contract.Queued}
}

// Next admits queued requests in the order of arrival while slots are free.
func (f *FIFO) Next(_ time.Time, out []contract.Outcome) []contract.Outcome {
	for f.running < f.Slots && len(f.queue) > 0 {
		out = append(out, contract.Outcome{ID: f.queue[0], Decision: contract.Decision{Verdict: contract.Admitted}})
		f.queue = f.queue[1:]
		f.running++
	}
	return out
}

// Finish frees a slot.
func (f *FIFO) Finish(time.Time, contract.RequestID, float64) bool {
	f.running--
	return true
}

// StaticRates limits each organisation at each daemon with a token bucket whose
// rate is the organisation's share divided by the number of daemons. Unused
// shares are not lent.
type StaticRates struct {
	Rates   map[contract.OrganisationID]float64 // tokens per second
	Burst   float64                             // capacity of a bucket, in seconds of its rate
	buckets map[contract.OrganisationID]*bucket
}

type bucket struct {
	level float64
	at    time.Time
}

// Offer admits the request if the level of the organisation's bucket is above
// zero. The level may fall below zero by one request.
func (s *StaticRates) Offer(now time.Time, r contract.Request) contract.Decision {
	rate := s.Rates[r.Organisation]
	if s.buckets == nil {
		s.buckets = map[contract.OrganisationID]*bucket{}
	}
	b := s.buckets[r.Organisation]
	if b == nil {
		b = &bucket{level: rate * s.Burst, at: now}
		s.buckets[r.Organisation] = b
	}
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), rate*s.Burst)
	b.at = now
	if b.level <= 0 {
		return contract.Decision{Reason: contract.OverShare, RetryAfter: time.Second}
	}
	b.level -= r.Tokens
	return contract.Decision{Verdict: contract.Admitted}
}

// Next returns out unchanged, since no request is queued.
func (s *StaticRates) Next(_ time.Time, out []contract.Outcome) []contract.Outcome { return out }

// Finish does nothing.
func (s *StaticRates) Finish(time.Time, contract.RequestID, float64) bool { return true }
