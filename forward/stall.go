package forward

import (
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/retry"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/stream"
	"github.com/merlindock/merlindock/streamorigin"
)

// errStalled is the error of reads from a connection whose stream is moved.
var errStalled = errors.New("forward: stream stalled")

const (
	// maxStallChecks bounds how often another endpoint is looked for in one attempt. The time
	// until the next check doubles, so that the last one is at 16 times the wait of a stall.
	maxStallChecks = 5
	// maxStallRoutes bounds the routes with usual times, as names of routes change with the
	// configuration.
	maxStallRoutes = 1024
	// maxStallEndpoints bounds the endpoints of a route with a last answer, as endpoints come
	// and go. The answers of the last second are enough.
	maxStallEndpoints = 1024
	// resumeSkew is how far the ends of a wait that several endpoints have together may lie
	// apart, as this process reads what they send one after the other.
	resumeSkew = 20 * time.Millisecond
)

// StallControl moves stalled streams to other endpoints. It is safe for concurrent use.
type StallControl struct {
	// short reports whether the service of a request has too little capacity, so that a second
	// run would take capacity from other requests; nil: never.
	short func(req *PlacementRequest) bool

	mu     sync.Mutex
	routes map[string]*routeStreams // by name
	open   map[fleet.EndpointID]map[*stallWatch]bool
}

// routeStreams is what was observed of the streams of one route.
type routeStreams struct {
	usual stream.UsualTimes
	// answered is the newest attempt at each endpoint that has brought an event.
	answered map[fleet.EndpointID]answeredAttempt
}

// answeredAttempt is an attempt that has brought an event.
type answeredAttempt struct {
	began, firstEvent time.Time
	// slowUntil is when the last wait for a first event ended that counted against the
	// endpoint, of any attempt.
	slowUntil time.Time
}

// NewStallControl returns a StallControl without observations. short may be nil.
func NewStallControl(short func(req *PlacementRequest) bool) *StallControl {
	return &StallControl{short: short, routes: map[string]*routeStreams{}, open: map[fleet.EndpointID]map[*stallWatch]bool{}}
}

// with calls f with the usual times of a route.
func (s *StallControl) with(route *routes.Route, f func(u *stream.UsualTimes)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.route(route).usual)
}

// route returns the observations of a route. The caller has locked mu.
func (s *StallControl) route(route *routes.Route) *routeStreams {
	r := s.routes[route.Name]
	if r == nil {
		if len(s.routes) >= maxStallRoutes {
			clear(s.routes)
		}
		r = &routeStreams{answered: map[fleet.EndpointID]answeredAttempt{}}
		s.routes[route.Name] = r
	}
	return r
}

// firstEvent records the first event of an attempt.
func (s *StallControl) firstEvent(w *stallWatch, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.route(w.c.req.Route)
	slow := r.usual.Waits(&stream.Stall{Waited: waited, Expected: w.p.Wait, Objective: w.c.req.Route.TargetLatency})
	r.usual.ObserveFirst(waited)
	if len(r.answered) >= maxStallEndpoints {
		clear(r.answered)
	}
	a, at := r.answered[w.p.Target.Key], w.start.Add(waited)
	if w.start.After(a.began) {
		a.began, a.firstEvent = w.start, at
	}
	if slow {
		a.slowUntil = at
	}
	r.answered[w.p.Target.Key] = a
}

// add adds the watch of an attempt that begins.
func (s *StallControl) add(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.open[w.p.Target.Key]
	if at == nil {
		at = map[*stallWatch]bool{}
		s.open[w.p.Target.Key] = at
	}
	at[w] = true
}

// remove removes the watch of an attempt that has ended.
func (s *StallControl) remove(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[w.p.Target.Key], w)
	if len(s.open[w.p.Target.Key]) == 0 {
		delete(s.open, w.p.Target.Key)
	}
}

// elsewhere returns the state of the streams of the route while w is stalled, and the other
// endpoints at which a stream waits (true) or goes on (false).
func (s *StallControl) elsewhere(now time.Time, w *stallWatch) (stream.Elsewhere, map[fleet.EndpointID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e stream.Elsewhere
	r, own, here := s.route(w.c.req.Route), w.wait(now), w.p.Target.Key
	slow := map[fleet.EndpointID]bool{}
	list := func(key fleet.EndpointID, waits bool) { slow[key] = slow[key] || waits }
	for key, at := range s.open {
		for other := range at {
			if other.c.req.Route.Name != w.c.req.Route.Name {
				continue
			}
			o := other.wait(now)
			switch waits := r.usual.Waits(&o); {
			case waits && key == here:
				e.Here++
			case waits, key != here && o.Waited < resumeSkew && other.wasSlow.Load():
				list(key, true)
			case key != here && o.Began && own.Began:
				list(key, false)
			}
		}
	}
	// Attempts answered early in the wait may have begun before all endpoints became slow.
	recent := now.Add(-own.Waited / 2)
	for key, a := range r.answered {
		if key != here && a.began.After(now.Add(-own.Waited)) && a.firstEvent.After(recent) {
			list(key, now.Sub(a.slowUntil) < resumeSkew)
		}
	}
	for _, waits := range slow {
		if waits {
			e.Waiting++
		} else {
			e.Fine++
		}
	}
	if limit, _, known := r.usual.Limit(&own); known {
		e.Overdue = own.Waited.Seconds() / limit.Seconds()
	}
	return e, slow
}

// StallReport describes a stall of an attempt, for logs and metrics.
type StallReport struct {
	Verdict stream.StallVerdict
	Began   bool          // the attempt had brought an event
	Usual   time.Duration // wait for an event
	Waited  time.Duration
}

// StallWatch watches the reads of an attempt.
type StallWatch interface {
	// Deadline returns when the stream counts as stalled; zero: never.
	Deadline() time.Time
	// Stalled is called when nothing was received until the deadline. It reports whether the
	// attempt ends with errStalled; otherwise it goes on waiting.
	Stalled() bool
}

// Read implements io.Reader. It ends with errStalled if the watch decides so.
func (k *conn) Read(b []byte) (int, error) {
	for {
		if k.watch == nil {
			return k.Conn.Read(b)
		}
		if err := k.setReadDeadline(k.watch.Deadline()); err != nil {
			return 0, err
		}
		n, err := k.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || k.ctx.Err() != nil {
			return n, err
		}
		if !k.nothingReceived() {
			// This process was late to read what arrived before the deadline.
			if err := k.setReadDeadline(time.Time{}); err != nil {
				return 0, err
			}
			return k.Conn.Read(b)
		}
		if k.watch.Stalled() {
			return 0, errStalled
		}
	}
}

// setReadDeadline sets the deadline of the next read. The end of the attempt's context, which
// sets a deadline in the past, takes precedence.
func (k *conn) setReadDeadline(at time.Time) error {
	if err := k.SetReadDeadline(at); err != nil {
		return err
	}
	if k.ctx.Err() != nil {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// stallWatch implements StallWatch for an attempt, and observes its times. A nil one does
// nothing. Its methods but wait are called by the goroutine of the request only.
type stallWatch struct {
	c     *call
	p     *Placement
	start time.Time
	since atomic.Int64 // from start to when the last event was sent to the caller, ns
	began atomic.Bool  // an event was received
	// wasSlow states that the wait before the last event counted against the endpoint.
	wasSlow atomic.Bool

	pauses     time.Duration // sum of the pauses between events
	pauseCount int
	checks     int       // of the current wait
	nextCheck  time.Time // valid if checks > 0
}

// watchStalls returns the watch of an attempt that begins; nil: stalls are not observed.
func (c *call) watchStalls(p *Placement) *stallWatch {
	if c.o.Stalls == nil || c.req.Route.Kind != routes.Stream {
		return nil
	}
	w := &stallWatch{c: c, p: p, start: time.Now()}
	c.o.Stalls.add(w)
	return w
}

// event records that an event was received.
func (w *stallWatch) event() {
	if w == nil {
		return
	}
	s := w.wait(time.Now())
	waited := s.Waited
	w.wasSlow.Store(false)
	if waited > stream.MinWaiting {
		w.c.o.Stalls.with(w.c.req.Route, func(u *stream.UsualTimes) { w.wasSlow.Store(u.Waits(&s)) })
	}
	if w.began.Load() {
		w.pauses += waited
		w.pauseCount++
	} else {
		w.began.Store(true)
		w.c.o.Stalls.firstEvent(w, waited)
	}
}

// eventSent records that the caller has received the event. The time that the caller takes to
// read it is not a pause of the endpoint.
func (w *stallWatch) eventSent() {
	if w != nil {
		w.since.Store(int64(time.Since(w.start)))
		w.checks = 0
	}
}

// ended records the pauses of the attempt.
func (w *stallWatch) ended() {
	if w != nil {
		w.c.o.Stalls.remove(w)
		w.c.o.Stalls.with(w.c.req.Route, func(u *stream.UsualTimes) { u.ObservePauses(w.pauses, w.pauseCount) })
	}
}

// wait returns the current wait for an event. It may be called by any goroutine.
func (w *stallWatch) wait(now time.Time) stream.Stall {
	route := w.c.req.Route
	return stream.Stall{
		Began: w.began.Load(), Waited: now.Sub(w.start) - time.Duration(w.since.Load()),
		Expected: w.p.Wait, Objective: route.TargetLatency, EventGap: route.EventGap,
	}
}

// stall returns the state of the attempt at the given time.
func (w *stallWatch) stall(now time.Time) *stream.Stall {
	c, s := w.c, w.wait(now)
	s.Delivered, s.Numbered = c.retryState.Delivered, c.events.last != NoEvent && !c.events.unnumbered
	s.Repeatable, s.Resumable, s.Moved = c.retryState.Idempotent, c.retryState.Resumable, c.move != nil
	return &s
}

// Deadline implements StallWatch.
func (w *stallWatch) Deadline() time.Time {
	now := time.Now()
	s := w.stall(now)
	if s.Moved || !s.Movable() || w.checks >= maxStallChecks {
		return time.Time{}
	}
	if w.checks > 0 {
		return w.nextCheck
	}
	var limit time.Duration
	var known bool
	w.c.o.Stalls.with(w.c.req.Route, func(u *stream.UsualTimes) { limit, _, known = u.Limit(s) })
	if !known {
		return time.Time{}
	}
	return now.Add(limit - s.Waited)
}

// Stalled implements StallWatch.
func (w *stallWatch) Stalled() bool {
	c, now := w.c, time.Now()
	s := w.stall(now)
	s.Short = c.o.Stalls.short != nil && c.o.Stalls.short(&c.req)
	report := StallReport{Began: s.Began, Waited: s.Waited}
	c.o.Stalls.with(c.req.Route, func(u *stream.UsualTimes) {
		_, report.Usual, _ = u.Limit(s)
		if report.Verdict = u.Decide(s); report.Verdict != stream.NoStall && w.checks == 0 {
			u.ObserveStall(s)
		}
	})
	if report.Verdict == stream.StallMoved {
		report.Verdict = w.tryMove(now)
	}
	if report.Verdict != stream.NoStall {
		c.report.Attempts[len(c.report.Attempts)-1].Stall = &report
	}
	w.checks++
	w.nextCheck = time.Now().Add(max(s.Waited, time.Millisecond))
	return report.Verdict == stream.StallMoved
}

// tryMove reserves capacity at another endpoint and takes a retry from the budget. The stream
// goes on waiting if either fails.
func (w *stallWatch) tryMove(now time.Time) stream.StallVerdict {
	c := w.c
	if c.o.Quarantine != nil && !c.o.Quarantine.MayRetry(&c.req.Identity) {
		return stream.StallNotMovable
	}
	elsewhere, slow := c.o.Stalls.elsewhere(now, w)
	if elsewhere.AllSlow() {
		return stream.StallAllSlow
	}
	req := c.req
	req.Attempt++
	req.Excluded = append(slices.Clone(req.Excluded), w.p.Target.Key)
	req.Resuming = req.Resuming || !c.sent.Nothing()
	p, err := c.o.Placer.Place(c.ctx, &req)
	if err != nil {
		return stream.StallNoEndpoint
	}
	verdict := stream.StallNoEndpoint
	if p.Target.Key != w.p.Target.Key {
		to := stream.Continuation{
			Wait: p.Wait, Objective: c.req.Route.TargetLatency, Left: c.req.Deadline.Sub(now), Events: c.remainingEvents(), Waits: slow[p.Target.Key],
		}
		c.o.Stalls.with(c.req.Route, func(u *stream.UsualTimes) { verdict = u.DecideContinuation(&to) })
	}
	if verdict == stream.StallMoved {
		// Decided on a copy, as the attempt goes on if the budget is used up.
		state := c.retryState
		d := c.o.Placer.DecideRetry(&state, retry.FailedAttempt{Endpoint: w.p.Target.Key, Failure: retry.Stalled})
		if d.Retry {
			c.retryState, c.move = state, &streamMove{to: p, decision: d, origin: req.Origin}
			return stream.StallMoved
		}
		verdict = stream.StallNoBudget
	}
	c.returnPlacement(&p)
	return verdict
}

// remainingEvents returns how many events the stream is expected to have left, by the caller's
// estimate of the answer's length; 0: unknown. Events are assumed to be numbered by tokens. The
// maximum length that callers give is no estimate: most answers are far shorter.
func (c *call) remainingEvents() int {
	if c.in.LikelyOutput <= 0 {
		return 0
	}
	expected := c.in.LikelyOutput
	if c.in.OutputTokens > 0 {
		expected = min(expected, c.in.OutputTokens)
	}
	return max(0, expected-int(c.events.last)-1)
}

// streamMove is the move of a stalled stream to another endpoint, for which capacity is
// reserved.
type streamMove struct {
	to       Placement
	decision retry.Decision
	decided  bool                 // decision was used
	placed   bool                 // the attempt at the other endpoint was begun, or its capacity returned
	origin   *streamorigin.Origin // of the stream when the other endpoint was chosen
}

// place returns the endpoint of the next attempt.
func (c *call) place() (Placement, error) {
	if m := c.move; m != nil && !m.placed {
		if m.origin == c.req.Origin {
			m.placed = true
			return m.to, nil
		}
		// The stalled attempt brought its first events together with an incomplete one, after
		// which it was ended. The other endpoint may have another software version.
		c.cancelMove()
	}
	return c.o.Placer.Place(c.ctx, &c.req)
}

// decideRetry decides what follows a failed attempt. For a stalled one this was decided before
// the attempt was ended.
func (c *call) decideRetry(failed retry.FailedAttempt) retry.Decision {
	if !c.sent.Continuable() {
		return retry.Decision{Code: c.brokenCode(failed.Failure), Outcome: retry.OutcomeUnknown}
	}
	if m := c.move; m != nil && !m.decided {
		m.decided = true
		if !c.watch.stall(time.Now()).Movable() {
			// It brought its first events together with an incomplete one, and they have no IDs.
			return retry.Decision{Code: retry.CodeStreamBroken, Outcome: retry.OutcomeUnknown}
		}
		return m.decision
	}
	return c.o.Placer.DecideRetry(&c.retryState, failed)
}

// brokenCode returns the code for an answer that no other attempt can continue.
func (c *call) brokenCode(f retry.Failure) retry.Code {
	switch {
	case f == retry.CallerLeft && c.callerSlow():
		return retry.CodeCallerSlow
	case f == retry.CallerLeft:
		return retry.CodeCallerLeft
	case c.req.Route.Kind == routes.Stream:
		return retry.CodeStreamBroken
	}
	return retry.CodeAnswerBroken
}

// cancelMove returns the capacity reserved for a move if the request ended before it.
func (c *call) cancelMove() {
	if m := c.move; m != nil && !m.placed {
		m.placed = true
		c.returnPlacement(&m.to)
	}
}

// returnPlacement returns the capacity reserved by a placement to which nothing was sent.
func (c *call) returnPlacement(p *Placement) {
	// Left ends the reservation without counting against the endpoint; a loss before anything
	// was sent also returns the capacity of the endpoint's own limit.
	c.o.Placer.AttemptEnded(p, AttemptEnd{Left: true, Lost: true, Failure: retry.NotSent})
}

// setStalled changes the end of an attempt whose stream is moved. It shows no fault of the
// connection.
func (c *call) setStalled(e *AttemptEnd) {
	if errors.Is(e.Cause, errStalled) {
		e.Stalled, e.Lost, e.Withdrawn, e.Failure = true, false, false, retry.Stalled
		e.MovedTo = c.move.to.ID
	}
}
