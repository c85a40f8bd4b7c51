package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/readers"
)

// subscription is what a daemon knows of one topic through its neighbours. It is not
// safe for concurrent use.
type subscription struct {
	n     *neighbours
	topic Topic

	some      bool
	confirmed time.Duration // the store had no more than is known here then, by the boot clock
	lost      bool          // the store did not answer the newest read of it, and no neighbour since
	until     time.Duration // when a store that is lost may be asked again
	company   bool          // some neighbour answered the newest question, with whatever it knows
	// of and stamp are the neighbour of the newest answer and what that bore.
	of    string
	stamp int64
	// detached says that the newest answer came from a daemon that may read through this
	// one: this daemon has lost the store.
	detached bool
	// progress is when this daemon, or one that it reads through, last came closer to
	// knowing the topic.
	progress time.Duration
	// outdated are the neighbours that knew too little at the newest read. They are
	// left only if somebody knows more: when the store is lost, nobody does.
	outdated []readers.Daemon
}

// age is how old the daemon's knowledge is; false if it knows nothing yet.
func (s *subscription) age() (time.Duration, bool) {
	return s.n.clock() - s.confirmed, s.some
}

// failed takes that the store did not answer a read.
func (s *subscription) failed() {
	s.lost = true
	s.until = s.n.clock() + s.n.rest(rand.Float64())
}

// rests tells whether the store is left alone for now: neighbours that start as well
// will know soon, or a read failed a moment ago. A daemon that no neighbour answers asks
// it all the same, as nobody else would tell when it is back.
func (s *subscription) rests() bool {
	if !s.some && s.n.starting(s.topic, s.progress, s.company) {
		return true
	}
	return s.lost && s.company && s.n.clock() < s.until
}

// stale tells whether neighbours would be left for what the daemon knows.
func (s *subscription) stale() bool {
	age, some := s.age()
	return some && age >= s.n.patience(s.topic)
}

// confirm takes that the store had no more at a time. It returns whether that is news.
func (s *subscription) confirm(at time.Duration) bool {
	if s.some && at <= s.confirmed {
		return false
	}
	s.some, s.confirmed = true, at
	return true
}

// answered takes that the store itself answered a read.
func (s *subscription) answered() {
	s.lost, s.detached = false, false
	s.leaveOutdated()
}

func (s *subscription) leaveOutdated() {
	for _, d := range s.outdated {
		age, _ := s.age()
		s.n.leave(s.topic, d, "knows too little", age)
	}
	s.outdated = nil
}

// told is an answer of a neighbour that can be used.
type told struct {
	by        readers.Daemon
	answer    feed.Answer
	confirmed time.Duration
	detached  bool // see subscription
}

// read asks the neighbours for what comes from the offset on, or for the newest of the
// keys after one, waiting for news. ok is false if the store must be asked.
//
// A neighbour that is detached itself is taken only by a daemon that the store has just
// turned away: everybody else finds a way to the store, and would else wait for news
// that come from itself.
func (s *subscription) read(ctx context.Context, from int64, after string) (got feed.Answer, confirmed time.Duration, ok bool) {
	s.outdated, s.company = nil, false
	lost := s.lost
	var spare *told
	candidates := s.n.candidates(s.topic, lost, rand.Float64())
	for i, d := range candidates {
		got, confirmed, err := s.ask(ctx, d, from, after, i == 0)
		var refused *StatusError
		switch {
		case errors.As(err, &refused):
			s.company = true
			if refused.Quiet > 0 {
				s.progress = max(s.progress, s.n.clock()-refused.Quiet)
			}
			continue // it knows nothing yet
		case err != nil:
			if age, some := s.age(); some {
				s.n.leave(s.topic, d, "no answer", age)
			}
			continue
		}
		s.company = true
		if s.some {
			confirmed = max(confirmed, s.confirmed)
		}
		if s.n.clock()-confirmed > s.n.patience(s.topic) {
			s.outdated = append(s.outdated, d)
			continue
		}
		t := told{by: d, answer: got, confirmed: confirmed, detached: lost && i == len(candidates)-1}
		if got.Detached {
			s.outdated = append(s.outdated, d)
			t.detached = true
			spare = &t
			continue
		}
		s.use(&t)
		return got, confirmed, true
	}
	if lost && spare != nil && s.n.clock() < s.until {
		s.outdated = nil
		s.use(spare)
		s.lost = true // the store is asked again at this daemon's turn
		return spare.answer, spare.confirmed, true
	}
	return feed.Answer{}, 0, false
}

// use takes an answer.
func (s *subscription) use(t *told) {
	s.of, s.stamp = t.by.Name, t.answer.Stamp
	s.lost, s.detached, s.progress = false, t.detached, s.n.clock()
	s.leaveOutdated()
	s.n.serves(s.topic, t.by, t.answer.Age)
}

// ask puts the question to one neighbour, and returns when the store confirmed what
// it tells: the answer left Held after the question or later.
func (s *subscription) ask(ctx context.Context, d readers.Daemon, from int64, after string, first bool) (feed.Answer, time.Duration, error) {
	q, grace := feed.Query{From: from, After: after, MaxWait: s.n.next, AcceptDetached: s.lost}, s.n.grace
	age, some := s.age()
	if some {
		q.Age = age
		if s.of == d.Name {
			q.Stamp = s.stamp
		}
	} else {
		q.Age, grace = s.n.patience(s.topic), max(grace, relayPageTime)
	}
	if first && some {
		q.MaxWait = max(s.n.next, min(relayHold, s.n.patience(s.topic)-age))
	}
	call, cancel := context.WithTimeout(ctx, q.MaxWait+grace)
	defer cancel()
	sent := s.n.clock()
	got, err := s.n.ask(call, d.Address, s.topic, q)
	return got, sent + got.Waited - got.Age, err
}
