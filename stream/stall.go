package stream

import "time"

// Limits of stalls.
const (
	// firstEventFactor and pauseFactor are the multiples of the route's usual time above which
	// a stream counts as stalled.
	firstEventFactor = 3
	pauseFactor      = 10
	// minStall is the shortest wait that counts as a stall, for routes without an objective
	// or a longest pause. A busy daemon may read an event this late.
	minStall = 100 * time.Millisecond
	// lowWaitFraction is the expected wait at another endpoint, as a fraction of the latency
	// objective, up to which a stalled stream is moved there.
	lowWaitFraction = 0.5
	// waitingFraction is the fraction of the wait from which a stream is stalled above which
	// its endpoint counts as slow too. It is above the fraction that usual waits have.
	waitingFraction = 0.4
	// MinWaiting is the longest wait that never counts against an endpoint, see Waits.
	MinWaiting = time.Duration(waitingFraction * float64(minStall))
	// minWaitingHere is the number of waiting streams at one endpoint from which a stream is
	// moved although nothing is known of other endpoints. If they are as slow, the first
	// stream that is moved shows it.
	minWaitingHere = 3
	// minOverdue is the wait, as a multiple of that from which a stream is stalled, from which
	// a single stream is moved although nothing is known of other endpoints. Without it,
	// streams of a daemon with little traffic would not be moved.
	minOverdue = 3.5
	// minObservations is the number of streams from which usual times are known.
	minObservations = 8
	// averagedObservations is the number of streams over which the moving averages extend.
	averagedObservations = 32
	// maxStallObservation is the value of a stall in the averages at most, in multiples of the
	// usual time. With 2, the average grows without bound only if more than half of the
	// streams stall. They are then slow together, and no longer count as stalled.
	maxStallObservation = 2
)

// StallVerdict is a decision on a stream that has had no event for a while.
type StallVerdict uint8

// Verdicts on stalls. StallMoved is also the verdict of Decide on a stream that may be moved.
const (
	NoStall           StallVerdict = iota // it has not waited for longer than usual
	StallMoved                            // it continues at another endpoint
	StallNotMovable                       // the route or the received events do not allow it
	StallMovedBefore                      // the request was moved before
	StallServiceShort                     // the service has too little capacity
	StallNoEndpoint                       // no endpoint with a low expected wait
	StallTooLate                          // it would not end before its deadline elsewhere either
	StallAllSlow                          // streams are not known to go on as usual at other endpoints
	StallNoBudget                         // the retry budget or the attempts are used up
	stallVerdictCount
)

var stallVerdictNames = [stallVerdictCount]string{
	"none", "moved", "not_movable", "moved_before", "service_short", "no_endpoint", "too_late", "all_slow", "no_budget",
}

// String returns the verdict's name in logs and metrics.
func (v StallVerdict) String() string {
	if v >= stallVerdictCount {
		return "verdict(?)"
	}
	return stallVerdictNames[v]
}

// average is a moving average.
type average struct {
	value float64 // seconds
	count int     // observations, at most averagedObservations
}

func (a *average) add(d time.Duration) {
	a.count = min(a.count+1, averagedObservations)
	a.value += (max(d, 0).Seconds() - a.value) / float64(a.count)
}

// addStall adds a wait that has not ended.
func (a *average) addStall(d time.Duration) {
	a.add(min(d, time.Duration(maxStallObservation*a.value*float64(time.Second))))
}

// get returns the average, and false if there are too few observations.
func (a *average) get() (time.Duration, bool) {
	return time.Duration(a.value * float64(time.Second)), a.count >= minObservations
}

// UsualTimes holds the moving averages of the times in streams of one route. The zero value
// has no observations. It is not safe for concurrent use.
type UsualTimes struct {
	first, pause average
}

// ObserveFirst records the time from the start of an attempt to its first event.
func (u *UsualTimes) ObserveFirst(d time.Duration) { u.first.add(d) }

// ObservePauses records the pauses between the events of one attempt, by their sum and number.
func (u *UsualTimes) ObservePauses(sum time.Duration, n int) {
	if n > 0 {
		u.pause.add(sum / time.Duration(n))
	}
}

// ObserveStall records a stall, so that the usual times rise if most streams become slow
// together.
func (u *UsualTimes) ObserveStall(s *Stall) {
	if s.Began {
		u.pause.addStall(s.Waited)
	} else {
		u.first.addStall(s.Waited)
	}
}

// Stall describes an attempt that waits for an event.
type Stall struct {
	Began     bool          // the attempt has brought an event
	Waited    time.Duration // since the attempt began, or since its last event
	Expected  time.Duration // until the first event, as of the placement
	Objective time.Duration // of the route, for the first event; 0: none
	EventGap  time.Duration // longest pause that the route allows; 0: none

	Delivered  int  // events that the caller has, of all attempts
	Numbered   bool // all delivered events have an ID after which another endpoint can continue
	Repeatable bool // the request may run twice
	Resumable  bool // the route allows a stream to continue at another endpoint
	Moved      bool // the request was moved before
	Short      bool // the service has too little capacity
}

// Limit returns the wait from which the stream counts as stalled and the usual time that it
// follows from. It returns false if the usual time is unknown.
func (u *UsualTimes) Limit(s *Stall) (limit, usual time.Duration, known bool) {
	if s.Began {
		usual, known = u.pause.get()
		return max(s.EventGap, pauseFactor*usual, minStall), usual, known
	}
	usual, known = u.first.get()
	return max(s.Expected+s.Objective/2, firstEventFactor*usual, minStall), usual, known
}

// Waits reports whether the stream has waited long enough to count against its endpoint.
func (u *UsualTimes) Waits(s *Stall) bool {
	limit, _, known := u.Limit(s)
	return known && s.Waited > time.Duration(waitingFraction*float64(limit))
}

// Movable reports whether the stream may continue at another endpoint.
func (s *Stall) Movable() bool {
	if s.Delivered > 0 {
		return s.Resumable && s.Numbered
	}
	return s.Resumable || s.Repeatable
}

// Decide decides whether the stream is stalled and may be moved. The caller then looks for
// another endpoint.
func (u *UsualTimes) Decide(s *Stall) StallVerdict {
	limit, _, known := u.Limit(s)
	switch {
	case !known || s.Waited < limit:
		return NoStall
	case !s.Movable():
		return StallNotMovable
	case s.Moved:
		return StallMovedBefore
	case s.Short:
		return StallServiceShort
	}
	return StallMoved
}

// Elsewhere describes the streams of a route at the time of a stall.
type Elsewhere struct {
	// Fine and Waiting are the numbers of other endpoints at which streams go on as usual, and
	// at which one waits.
	Fine, Waiting int
	Here          int     // streams that wait at the stalled endpoint, the stalled one included
	Overdue       float64 // wait of the stalled stream, as a multiple of its limit
}

// AllSlow reports whether a stall is probably not due to its endpoint. While streams are slow
// at most endpoints, moves would add to the load without ending the waits.
func (e *Elsewhere) AllSlow() bool {
	if e.Fine+e.Waiting == 0 {
		return e.Here < minWaitingHere && e.Overdue < minOverdue
	}
	return e.Fine <= e.Waiting
}

// Continuation describes the rest of a stalled stream at another endpoint.
type Continuation struct {
	Wait      time.Duration // expected until its first event there
	Objective time.Duration // of the route; 0: none
	Left      time.Duration // until the deadline
	Events    int           // expected; 0: unknown
	Waits     bool          // another stream there waits (UsualTimes.Waits)
}

// DecideContinuation decides whether a stalled stream is moved to the endpoint. A stream that
// would not end before its deadline there either would only take capacity from others.
func (u *UsualTimes) DecideContinuation(c *Continuation) StallVerdict {
	low := time.Duration(lowWaitFraction * float64(c.Objective))
	if c.Objective <= 0 {
		low = time.Duration(lowWaitFraction * float64(c.Left))
	}
	if c.Wait > low || c.Waits {
		return StallNoEndpoint
	}
	usual, known := u.pause.get()
	if !known {
		usual = 0
	}
	if c.Wait+time.Duration(max(c.Events, 0))*usual > c.Left {
		return StallTooLate
	}
	return StallMoved
}
