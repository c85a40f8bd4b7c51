package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/readtree"
)

// subscription tracks what a daemon has read of one topic through its neighbours. It is
// not safe for concurrent use.
type subscription struct {
	neighbours *neighbours
	topic      Topic

	generation        int64 // of the store; answers of older ones are not used
	known             bool
	confirmed         time.Duration // boot clock; the store had no more records at this time
	storeLost         bool          // the last read from the store failed, and no neighbour has answered since
	storeRetryAt      time.Duration // earliest next read from the store while storeLost is set
	neighbourAnswered bool          // some neighbour answered the last request, with or without data
	// lastSource and lastStamp are the neighbour of the last answer and the stamp of
	// that answer.
	lastSource string
	lastStamp  int64
	// detached reports that the last answer came from a daemon that may read through
	// this one: this daemon has lost the store.
	detached bool
	// progress is when this daemon, or one that it reads through, last received data of
	// the topic.
	progress time.Duration
	// outdated holds the neighbours whose data was too old at the last read. They are
	// replaced only if another source has newer data: when the store is lost, none has.
	outdated []readtree.Daemon
}

// age returns the age of the daemon's data; false if it has none yet.
func (s *subscription) age() (time.Duration, bool) {
	return s.neighbours.clock() - s.confirmed, s.known
}

// failed records that a read from the store failed.
func (s *subscription) failed() {
	s.storeLost = true
	s.storeRetryAt = s.neighbours.clock() + s.neighbours.storeBackoff(rand.Float64())
}

// storeBackedOff reports whether the store must not be called now, because neighbours
// that are starting will soon have the data or because a read failed a moment ago. A
// daemon with no answering neighbour calls the store regardless, as nothing else would
// show that it is back.
func (s *subscription) storeBackedOff() bool {
	if !s.known && s.neighbours.waitForNeighbours(s.topic, s.progress, s.neighbourAnswered) {
		return true
	}
	return s.storeLost && s.neighbourAnswered && s.neighbours.clock() < s.storeRetryAt
}

// stale reports whether the daemon's data is older than what it accepts from
// neighbours.
func (s *subscription) stale() bool {
	age, some := s.age()
	return some && age >= s.neighbours.maxAnswerAge(s.topic)
}

// confirm records that the store had no further records at a time. It returns whether
// that time is newer.
func (s *subscription) confirm(at time.Duration) bool {
	if s.known && at <= s.confirmed {
		return false
	}
	s.known, s.confirmed = true, at
	return true
}

// answered records that the store itself answered a read.
func (s *subscription) answered() {
	s.storeLost, s.detached = false, false
	s.avoidOutdated()
}

func (s *subscription) avoidOutdated() {
	for _, d := range s.outdated {
		age, _ := s.age()
		s.neighbours.avoid(s.topic, d, "data too old", age)
	}
	s.outdated = nil
}

// usableAnswer is a usable answer of a neighbour.
type usableAnswer struct {
	by        readtree.Daemon
	answer    feed.Answer
	confirmed time.Duration
	detached  bool // see subscription.detached
}

// read asks the neighbours for the records from the offset on, or for a page of a full
// read after a key, and waits for changes. ok is false if the store must be called.
//
// An answer of a neighbour that is detached itself is used only if this daemon's read
// from the store has just failed. All other daemons reach the store by another path,
// and would otherwise wait for changes that they themselves relay.
func (s *subscription) read(ctx context.Context, from int64, after string) (got feed.Answer, confirmed time.Duration, ok bool) {
	s.outdated, s.neighbourAnswered = nil, false
	lost := s.storeLost
	var spare *usableAnswer
	candidates := s.neighbours.candidates(s.topic, lost, rand.Float64())
	for i, d := range candidates {
		got, confirmed, err := s.request(ctx, d, from, after, i == 0)
		var refused *StatusError
		switch {
		case errors.As(err, &refused):
			s.neighbourAnswered = true
			if refused.Quiet > 0 {
				s.progress = max(s.progress, s.neighbours.clock()-refused.Quiet)
			}
			continue // it has no data yet
		case ctx.Err() != nil:
			return feed.Answer{}, 0, false // no neighbour is at fault
		case err != nil:
			if age, some := s.age(); some {
				s.neighbours.avoid(s.topic, d, "no answer", age)
			}
			continue
		}
		s.neighbourAnswered = true
		if feed.Generation(got.Next) < s.generation {
			continue // it does not know yet that the store was restored
		}
		if s.known {
			confirmed = max(confirmed, s.confirmed)
		}
		if s.neighbours.clock()-confirmed > s.neighbours.maxAnswerAge(s.topic) {
			s.outdated = append(s.outdated, d)
			continue
		}
		t := usableAnswer{by: d, answer: got, confirmed: confirmed, detached: lost && i == len(candidates)-1}
		if got.Detached {
			s.outdated = append(s.outdated, d)
			t.detached = true
			spare = &t
			continue
		}
		s.accept(&t)
		return got, confirmed, true
	}
	if lost && spare != nil && s.neighbours.clock() < s.storeRetryAt {
		s.outdated = nil
		s.accept(spare)
		s.storeLost = true // the store is called again after the backoff
		return spare.answer, spare.confirmed, true
	}
	return feed.Answer{}, 0, false
}

// accept records an answer as the current one.
func (s *subscription) accept(t *usableAnswer) {
	s.lastSource, s.lastStamp = t.by.Name, t.answer.Stamp
	s.storeLost, s.detached, s.progress = false, t.detached, s.neighbours.clock()
	s.avoidOutdated()
	s.neighbours.recordUse(s.topic, t.by, t.answer.Age)
}

// request sends the query to one neighbour and returns the time at which the store
// confirmed the answer: the answer was sent at least Held after the request.
func (s *subscription) request(ctx context.Context, d readtree.Daemon, from int64, after string, first bool) (feed.Answer, time.Duration, error) {
	q, grace := feed.Query{From: from, After: after, MaxWait: s.neighbours.secondWait, AcceptDetached: s.storeLost}, s.neighbours.grace
	age, some := s.age()
	if some {
		q.Age = age
		if s.lastSource == d.Name {
			q.Stamp = s.lastStamp
		}
	} else {
		q.Age, grace = s.neighbours.maxAnswerAge(s.topic), max(grace, relayPageTimeout)
	}
	if first && some {
		q.MaxWait = max(s.neighbours.secondWait, min(maxRelayWait, s.neighbours.maxAnswerAge(s.topic)-age))
	}
	call, cancel := context.WithTimeout(ctx, q.MaxWait+grace)
	defer cancel()
	sent := s.neighbours.clock()
	got, err := s.neighbours.request(call, d.Address, s.topic, q)
	return got, sent + got.Waited - got.Age, err
}
