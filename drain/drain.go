// Package drain decides how a daemon shuts down without cutting a request:
// it says that it isn't ready while it still serves, until the platform's
// balancer must have noticed; then it takes nothing new and waits for the open
// streams, for no longer than a bound.
//
// The package does no I/O and reads no clock.
package drain

import "time"

// State is how far a shutdown has come.
type State uint8

// The states, in their order. Each is entered at most once.
const (
	Serving  State = iota // ready
	Unready               // not ready, but whatever comes is served
	Closing               // takes nothing new, waits for open streams
	Stopping              // streams that are still open end with an explicit error
	Done                  // the process may exit
	stateCount
)

var stateNames = [stateCount]string{"serving", "unready", "closing", "stopping", "done"}

// String returns the name used in dumps and logs.
func (s State) String() string {
	if s >= stateCount {
		return "state(?)"
	}
	return stateNames[s]
}

// Defaults of Options.
const (
	DefaultBalancerLag  = 10 * time.Second
	DefaultMaxWait      = 10 * time.Minute
	DefaultErrorTimeout = 5 * time.Second
)

// Options set up a Shutdown. Zero values mean the defaults.
type Options struct {
	BalancerLag  time.Duration // how late the balancer may notice that the daemon isn't ready
	MaxWait      time.Duration // longest wait for open streams after the lag
	ErrorTimeout time.Duration // time for the last streams to be told their error
}

// Shutdown is the state of one daemon's shutdown. It isn't safe for concurrent
// use.
type Shutdown struct {
	opts  Options
	state State
	until time.Time // end of the state, unless the streams end it sooner
	open  int
	cut   int // streams that were open when Stopping began
}

// New returns a Shutdown that has not begun.
func New(opts Options) *Shutdown {
	if opts.BalancerLag <= 0 {
		opts.BalancerLag = DefaultBalancerLag
	}
	if opts.MaxWait <= 0 {
		opts.MaxWait = DefaultMaxWait
	}
	if opts.ErrorTimeout <= 0 {
		opts.ErrorTimeout = DefaultErrorTimeout
	}
	return &Shutdown{opts: opts}
}

// Signal begins the shutdown. A second one, from an operator who won't wait,
// has the open streams end with an explicit error; a third one ends at once.
func (s *Shutdown) Signal(now time.Time) State {
	s.Advance(now)
	switch s.state {
	case Serving:
		s.enter(Unready, now.Add(s.opts.BalancerLag))
	case Unready, Closing:
		s.stop(now)
	case Stopping:
		s.enter(Done, now)
	case Done:
	}
	return s.Advance(now)
}

// SetOpenRequests tells how many requests are open.
func (s *Shutdown) SetOpenRequests(now time.Time, open int) State {
	s.open = max(open, 0)
	return s.Advance(now)
}

// Advance moves on as time has passed.
func (s *Shutdown) Advance(now time.Time) State {
	if s.state == Unready && !now.Before(s.until) {
		s.enter(Closing, s.until.Add(s.opts.MaxWait))
	}
	if s.state == Closing && s.open > 0 && !now.Before(s.until) {
		s.stop(now)
	}
	closed := s.open == 0 && (s.state == Closing || s.state == Stopping)
	if closed || (s.state == Stopping && !now.Before(s.until)) {
		s.enter(Done, now)
	}
	return s.state
}

// NextDeadline is when Advance has something to do even if no stream ends; false in
// the states without a limit.
func (s *Shutdown) NextDeadline() (time.Time, bool) {
	switch s.state {
	case Unready, Closing, Stopping:
		return s.until, true
	case Serving, Done:
	}
	return time.Time{}, false
}

// State is the present state.
func (s *Shutdown) State() State { return s.state }

// Ready is what the balancer is told.
func (s *Shutdown) Ready() bool { return s.state == Serving }

// Accepts reports whether new requests are served. Those that come between the
// first signal and the balancer's noticing it are: to refuse them would be seen
// as errors at each release of the daemon.
func (s *Shutdown) Accepts() bool { return s.state == Serving || s.state == Unready }

// CutRequests is how many requests were ended with an error; 0 after a graceful
// shutdown.
func (s *Shutdown) CutRequests() int { return s.cut }

func (s *Shutdown) stop(now time.Time) {
	s.cut = s.open
	s.enter(Stopping, now.Add(s.opts.ErrorTimeout))
}

func (s *Shutdown) enter(state State, until time.Time) {
	s.state = state
	s.until = until
}
