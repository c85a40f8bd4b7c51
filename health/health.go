// Package health decides which endpoints are tried: it ejects those that fail
// or are slow, lets them return by one trial and with little load at first, and
// never empties a zone on bad reports.
//
// The package does no I/O and reads no clock. A Tracker isn't safe for
// concurrent use; the shell guards it by one lock, taken after the ones of
// admission and placement and held for no call into either.
package health

import (
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Bounds and times.
const (
	// MaxEndpoints bounds the endpoints with state.
	MaxEndpoints = 1 << 16

	DefaultFailures      = 5
	DefaultEjection      = 2 * time.Second
	DefaultMaxEjection   = time.Minute
	DefaultMaxEjected    = 0.5
	DefaultTrial         = 10 * time.Second
	DefaultSlowStart     = 10 * time.Second
	DefaultSlowFactor    = 3.0
	DefaultMissingHold   = time.Minute
	ejectionJitter       = 0.2
	maxDoublings         = 16
	slowStartWeight      = 0.1
	slownessSmoothing    = 0.1
	slownessSamples      = 20
	forgiveAfter         = time.Minute // without a failure
	outlierCheckInterval = time.Second
)

// Options set up a Tracker. Zero values mean the defaults.
type Options struct {
	Rand         *rand.Rand    // seeded; nil means no jitter
	Failures     int           // consecutive failures that eject
	Ejection     time.Duration // first time away, doubled each time
	MaxEjection  time.Duration
	MaxEjected   float64       // largest part of a class in a zone that may be ejected
	Trial        time.Duration // time for a trial's result
	SlowStart    time.Duration // until an endpoint that came back has its whole load
	SlowFactor   float64       // times its class's median that make an endpoint slow
	MissingGrace time.Duration // how long one that the list leaves out is still tried
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (o Options) withDefaults() Options {
	o.Failures = orDefault(o.Failures, DefaultFailures)
	o.Ejection = orDefault(o.Ejection, DefaultEjection)
	o.MaxEjection = orDefault(o.MaxEjection, DefaultMaxEjection)
	o.MaxEjected = orDefault(o.MaxEjected, DefaultMaxEjected)
	o.Trial = orDefault(o.Trial, DefaultTrial)
	o.SlowStart = orDefault(o.SlowStart, DefaultSlowStart)
	o.SlowFactor = orDefault(o.SlowFactor, DefaultSlowFactor)
	o.MissingGrace = orDefault(o.MissingGrace, DefaultMissingHold)
	return o
}

// Status is whether an endpoint is tried.
type Status uint8

// The statuses.
const (
	Healthy Status = iota
	SlowStart
	Retained // would be ejected, but too many of its group are
	Trial    // one request may find out whether it is back
	Ejected  // not tried
	Leaving  // not tried, by its own word or the platform's
	statusCount
)

var statusNames = [statusCount]string{"healthy", "slow_start", "kept", "trial", "ejected", "leaving"}

// String returns the name used in dumps and metrics.
func (s Status) String() string {
	if s >= statusCount {
		return "status(?)"
	}
	return statusNames[s]
}

// group is the endpoints of one class in one zone.
type group struct {
	class string
	zone  fleet.ZoneID
}

type endpoint struct {
	fleet.Endpoint
	incarnation fleet.Incarnation
	before      fleet.Incarnation // the last one, whose late answers are dropped

	failures   int  // consecutive
	ejections  int  // that count for the next time away
	away       bool // ejected, or kept in spite of it
	kept       bool
	returnAt   time.Time
	trialUntil time.Time // zero: no trial is under way
	startedAt  time.Time // begin of the slow start; zero: none
	failedAt   time.Time

	draining  bool
	missingAt time.Time // when the list left it out; zero: it is listed
	answered  time.Time

	slowness float64 // smoothed ratio of observed to expected time
	samples  int
}

// Tracker holds what answers and lists tell of each endpoint.
type Tracker struct {
	opts      Options
	endpoints map[fleet.EndpointID]*endpoint
	groups    map[group][]*endpoint
	away      map[fleet.EndpointID]*endpoint // ejected, or kept in spite of it
	awayIn    map[group]int
	missed    map[fleet.EndpointID]*endpoint // that the list leaves out
	timed     bool                           // some answer told how slow its endpoint is
	checkAt   time.Time
	overflow  uint64
}

// New returns a Tracker without endpoints.
func New(opts Options) *Tracker {
	return &Tracker{
		opts:      opts.withDefaults(),
		endpoints: map[fleet.EndpointID]*endpoint{},
		groups:    map[group][]*endpoint{},
		away:      map[fleet.EndpointID]*endpoint{},
		awayIn:    map[group]int{},
		missed:    map[fleet.EndpointID]*endpoint{},
	}
}

// RecordSuccess tells of an answer. Slowness is the time to the first token over the
// time that was expected of the endpoint, 0 when it isn't known.
func (t *Tracker) RecordSuccess(now time.Time, id fleet.EndpointID, life fleet.Incarnation, slowness float64) {
	e := t.endpoints[id]
	if e == nil || !t.sameLife(now, e, life) {
		return
	}
	e.answered = now
	e.failures = 0
	if slowness > 0 {
		t.timed = true
		e.samples = min(e.samples+1, slownessSamples)
		e.slowness += (slowness - e.slowness) * max(slownessSmoothing, 1/float64(e.samples))
	}
	if e.away {
		t.answeredWhileAway(now, e)
	} else if e.ejections > 0 && now.Sub(e.failedAt) > forgiveAfter {
		e.ejections--
		e.failedAt = now
	}
	t.checkOutliers(now)
}

// RecordProbe tells that the endpoint answered a question of the daemon's own, such
// as one for its load. That is as good as a trial, for endpoints whose requests
// may not be sent twice.
func (t *Tracker) RecordProbe(now time.Time, id fleet.EndpointID, life fleet.Incarnation) {
	e := t.endpoints[id]
	if e != nil && t.sameLife(now, e, life) && e.away && !e.kept {
		t.answeredWhileAway(now, e)
	}
}

// answeredWhileAway ends an ejection by a trial's success. A success within the
// time away is of a request that was sent before it, and proves nothing.
func (t *Tracker) answeredWhileAway(now time.Time, e *endpoint) {
	if !e.kept && now.Before(e.returnAt) {
		return
	}
	t.setAway(e, false)
	e.kept = false
	e.trialUntil = time.Time{}
	e.startedAt = now
	e.slowness, e.samples = 0, 0
	t.keepFloor(e)
}

// RecordFailure tells of an attempt that the endpoint failed: connection refused or
// lost, an answer that broke off, an error of its own. Refusals of a full
// endpoint and errors of the caller are none.
func (t *Tracker) RecordFailure(now time.Time, id fleet.EndpointID, life fleet.Incarnation) {
	e := t.endpoints[id]
	if e == nil || !t.sameLife(now, e, life) {
		return
	}
	e.failedAt = now
	e.failures++
	trial := e.away && !e.kept && !now.Before(e.returnAt)
	if trial || (!e.away && e.failures >= t.opts.Failures) {
		t.eject(now, e)
	}
}

// UpdateLoad takes what an endpoint says of itself, in an answer or a load report.
func (t *Tracker) UpdateLoad(now time.Time, id fleet.EndpointID, load fleet.Load) {
	e := t.endpoints[id]
	if e == nil || !t.sameLife(now, e, load.Incarnation) {
		return
	}
	if e.draining != load.Draining {
		e.draining = load.Draining
		t.keepFloor(e)
	}
}

// sameLife notes a new incarnation and reports false for what belongs to an
// earlier one: a late failure of a crashed engine says nothing of the one that
// came back under its address.
func (t *Tracker) sameLife(now time.Time, e *endpoint, life fleet.Incarnation) bool {
	if life == 0 || life == e.incarnation {
		return true
	}
	if life == e.before {
		return false
	}
	if e.incarnation != 0 {
		e.before = e.incarnation
		e.failures, e.samples, e.slowness = 0, 0, 0
		e.draining = false
		e.startedAt = now
		if e.away {
			e.returnAt = now
		}
		t.keepFloor(e)
	}
	e.incarnation = life
	return true
}

// setAway notes that the endpoint is ejected, or not any more.
func (t *Tracker) setAway(e *endpoint, away bool) {
	if e.away == away {
		return
	}
	e.away = away
	g := group{class: e.Class, zone: e.Zone}
	if away {
		t.away[e.ID] = e
		t.awayIn[g]++
		return
	}
	delete(t.away, e.ID)
	if t.awayIn[g]--; t.awayIn[g] == 0 {
		delete(t.awayIn, g)
	}
}

// AppendEjected appends the endpoints that are ejected, or would be if not too many of
// their group were: all whose status may change with time or with another's failure.
func (t *Tracker) AppendEjected(to []fleet.EndpointID) []fleet.EndpointID {
	for id := range t.away {
		to = append(to, id)
	}
	return to
}

// eject sends the endpoint away for a time that doubles with each ejection. The
// jitter keeps a thousand daemons that ejected it together from trying it
// together.
func (t *Tracker) eject(now time.Time, e *endpoint) {
	away := t.opts.Ejection << min(e.ejections, maxDoublings)
	away = min(away, t.opts.MaxEjection)
	if t.opts.Rand != nil {
		away = time.Duration(float64(away) * (1 + ejectionJitter*(2*t.opts.Rand.Float64()-1)))
	}
	e.ejections = min(e.ejections+1, maxDoublings)
	t.setAway(e, true)
	e.failures = 0
	e.returnAt = now.Add(away)
	e.trialUntil = time.Time{}
	t.keepFloor(e)
}
