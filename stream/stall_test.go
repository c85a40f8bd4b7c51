package stream

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// usualOf returns usual times with enough observations of the given values.
func usualOf(first, pause time.Duration) *UsualTimes {
	u := &UsualTimes{}
	for range minObservations {
		u.ObserveFirst(first)
		u.ObservePauses(20*pause, 20)
	}
	return u
}

// Guards against streams that are moved although they are not stalled or may not be moved, and
// against stalled ones that keep waiting.
func TestDecideStall(t *testing.T) {
	base := Stall{Expected: 50 * ms, Objective: 500 * ms, EventGap: 250 * ms, Numbered: true, Repeatable: true, Resumable: true}
	usual := usualOf(100*ms, 7*ms)
	for _, c := range []struct {
		name   string
		usual  *UsualTimes
		change func(s *Stall)
		want   StallVerdict
	}{
		{"first event within three times the usual time", usual, func(s *Stall) { s.Waited = 299 * ms }, NoStall},
		{"first event after three times the usual time", usual, func(s *Stall) { s.Waited = 300 * ms }, StallMoved},
		{"longer expected wait", usual, func(s *Stall) { s.Waited, s.Expected = 649*ms, 400*ms }, NoStall},
		{"half of the objective beyond the expected wait", usual, func(s *Stall) { s.Waited, s.Expected = 650*ms, 400*ms }, StallMoved},
		{"slow as usual", usualOf(time.Second, 7*ms), func(s *Stall) { s.Waited = 2900 * ms }, NoStall},
		{"no usual time", &UsualTimes{}, func(s *Stall) { s.Waited = time.Minute }, NoStall},
		{"pause within the longest of the route", usual, func(s *Stall) { s.Began, s.Delivered, s.Waited = true, 3, 249*ms }, NoStall},
		{"pause beyond the longest of the route", usual, func(s *Stall) { s.Began, s.Delivered, s.Waited = true, 3, 250*ms }, StallMoved},
		{"pauses usual", usualOf(100*ms, 40*ms), func(s *Stall) { s.Began, s.Delivered, s.Waited = true, 3, 399*ms }, NoStall},
		{"pause beyond ten times the usual one", usualOf(100*ms, 40*ms), func(s *Stall) { s.Began, s.Delivered, s.Waited = true, 3, 400*ms }, StallMoved},
		{"not resumable", usual, func(s *Stall) {
			s.Began, s.Delivered, s.Waited, s.Resumable = true, 3, time.Second, false
		}, StallNotMovable},
		{"not numbered", usual, func(s *Stall) { s.Began, s.Delivered, s.Waited, s.Numbered = true, 3, time.Second, false }, StallNotMovable},
		{"repeatable without an event", usual, func(s *Stall) { s.Waited, s.Resumable = time.Second, false }, StallMoved},
		{"neither resumable nor repeatable", usual, func(s *Stall) { s.Waited, s.Resumable, s.Repeatable = time.Second, false, false }, StallNotMovable},
		{"moved before", usual, func(s *Stall) { s.Waited, s.Moved = time.Second, true }, StallMovedBefore},
		{"service short", usual, func(s *Stall) { s.Waited, s.Short = time.Second, true }, StallServiceShort},
	} {
		s := base
		c.change(&s)
		if got := c.usual.Decide(&s); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against moves to endpoints with a queue, and against moves that cannot end in time.
func TestDecideContinuation(t *testing.T) {
	usual := usualOf(100*ms, 10*ms)
	for _, c := range []struct {
		name string
		c    Continuation
		want StallVerdict
	}{
		{"low wait", Continuation{Wait: 250 * ms, Objective: 500 * ms, Left: time.Second}, StallMoved},
		{"long wait", Continuation{Wait: 251 * ms, Objective: 500 * ms, Left: time.Second}, StallNoEndpoint},
		{"another stream waits there", Continuation{Waits: true, Objective: 500 * ms, Left: time.Second}, StallNoEndpoint},
		{"no objective", Continuation{Wait: 500 * ms, Left: time.Second}, StallMoved},
		{"ends in time", Continuation{Wait: 100 * ms, Objective: 500 * ms, Left: time.Second, Events: 90}, StallMoved},
		{"ends late", Continuation{Wait: 100 * ms, Objective: 500 * ms, Left: time.Second, Events: 91}, StallTooLate},
		{"deadline passed", Continuation{Objective: 500 * ms, Left: -1}, StallTooLate},
	} {
		if got := usual.DecideContinuation(&c.c); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against moves while all endpoints are slow, and against streams that are not moved
// because this daemon has no others.
func TestAllSlow(t *testing.T) {
	for _, c := range []struct {
		name string
		e    Elsewhere
		want bool
	}{
		{"one of two fine", Elsewhere{Fine: 1, Here: 1, Overdue: 1}, false},
		{"most endpoints fine", Elsewhere{Fine: 3, Waiting: 2, Here: 1, Overdue: 1}, false},
		{"half of the endpoints slow", Elsewhere{Fine: 2, Waiting: 2, Here: 1, Overdue: 1}, true},
		{"nothing known of other endpoints", Elsewhere{Here: 1, Overdue: 1}, true},
		{"all streams at the stalled endpoint", Elsewhere{Here: 3, Overdue: 1}, false},
		{"slow elsewhere as well", Elsewhere{Here: 3, Waiting: 1, Overdue: 4}, true},
		{"single stream, long overdue", Elsewhere{Here: 1, Overdue: 4}, false},
	} {
		if got := c.e.AllSlow(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against moves of nearly all streams when a whole service becomes slow, and against
// usual times that rise because of a few engines that stall.
func TestStallsRaiseUsualTimesOnlyIfMostStreamsStall(t *testing.T) {
	stalled := func(every int) int {
		u := usualOf(100*ms, 7*ms)
		n := 0
		for i := range 400 {
			s := Stall{Waited: 2 * time.Second, Expected: 50 * ms, Objective: 100 * ms, Resumable: true}
			if i%every != 0 {
				u.ObserveFirst(100 * ms)
				continue
			}
			if u.Decide(&s) == StallMoved {
				n++
				u.ObserveStall(&s)
			} else {
				u.ObserveFirst(s.Waited)
			}
		}
		return n
	}
	if n := stalled(1); n > 60 {
		t.Errorf("%d of 400 streams stalled while all were slow, want at most 60", n)
	}
	if n := stalled(4); n != 100 {
		t.Errorf("%d of 100 slow streams stalled among 400, want all", n)
	}
}
