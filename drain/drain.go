// Package drain is the state machine of a daemon's graceful shutdown. The daemon
// first reports not ready but still serves all requests, until the platform's
// balancer must have noticed. Then it accepts no new requests and waits for the
// open ones up to a time limit.
//
// The package does no I/O and reads no clock.
package drain

import "time"

// State is a state of a shutdown.
type State uint8

// States in the order in which they are entered. Each is entered at most once.
const (
	Serving  State = iota // ready
	Unready               // not ready, but new requests are served
	Closing               // refuses new requests and waits for open ones
	Stopping              // ends open requests with an explicit error
	Done                  // the process may exit
	stateCount
)

var stateNames = [stateCount]string{"serving", "unready", "closing", "stopping", "done"}

// String returns the state's name in dumps and logs.
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

// Options configures a Shutdown. Zero values mean the defaults.
type Options struct {
	BalancerLag  time.Duration // maximum time until the balancer notices that the daemon is not ready
	MaxWait      time.Duration // maximum wait for open requests after BalancerLag
	ErrorTimeout time.Duration // maximum time to send the error to the requests that are ended
}

// Shutdown is the state machine of one daemon's shutdown. It is not safe for
// concurrent use.
type Shutdown struct {
	opts         Options
	state        State
	deadline     time.Time // latest end of the current state
	openRequests int
	cutRequests  int // requests that were open when Stopping began
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

// Signal starts the shutdown. A second signal, from an operator who does not want to
// wait, ends the open requests with an explicit error. A third one ends the shutdown
// immediately.
func (s *Shutdown) Signal(now time.Time) State {
	s.Advance(now)
	switch s.state {
	case Serving:
		s.setState(Unready, now.Add(s.opts.BalancerLag))
	case Unready, Closing:
		s.beginStopping(now)
	case Stopping:
		s.setState(Done, now)
	case Done:
	}
	return s.Advance(now)
}

// SetOpenRequests sets the number of open requests and returns the new state.
func (s *Shutdown) SetOpenRequests(now time.Time, open int) State {
	s.openRequests = max(open, 0)
	return s.Advance(now)
}

// Advance enters the states that are due at the given time and returns the current
// one.
func (s *Shutdown) Advance(now time.Time) State {
	if s.state == Unready && !now.Before(s.deadline) {
		s.setState(Closing, s.deadline.Add(s.opts.MaxWait))
	}
	if s.state == Closing && s.openRequests > 0 && !now.Before(s.deadline) {
		s.beginStopping(now)
	}
	closed := s.openRequests == 0 && (s.state == Closing || s.state == Stopping)
	if closed || (s.state == Stopping && !now.Before(s.deadline)) {
		s.setState(Done, now)
	}
	return s.state
}

// NextDeadline returns when Advance must be called even if no request ends. It
// returns false in states without a time limit.
func (s *Shutdown) NextDeadline() (time.Time, bool) {
	switch s.state {
	case Unready, Closing, Stopping:
		return s.deadline, true
	case Serving, Done:
	}
	return time.Time{}, false
}

// State returns the current state.
func (s *Shutdown) State() State { return s.state }

// Ready reports whether the balancer should send new requests.
func (s *Shutdown) Ready() bool { return s.state == Serving }

// Accepts reports whether new requests are served. Requests that arrive after the
// first signal, before the balancer has noticed, are served: refusing them would
// cause errors at every release of the daemon.
func (s *Shutdown) Accepts() bool { return s.state == Serving || s.state == Unready }

// CutRequests returns the number of requests that were ended with an error. It is 0
// after a graceful shutdown.
func (s *Shutdown) CutRequests() int { return s.cutRequests }

func (s *Shutdown) beginStopping(now time.Time) {
	s.cutRequests = s.openRequests
	s.setState(Stopping, now.Add(s.opts.ErrorTimeout))
}

func (s *Shutdown) setState(state State, until time.Time) {
	s.state = state
	s.deadline = until
}
