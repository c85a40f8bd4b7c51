// Package health decides which endpoints are used, by the results of their requests.
// It ejects endpoints that fail or are slow, readmits them after a successful trial
// and a slow start, and keeps a minimum of endpoints usable in each zone.
//
// The package does no I/O and reads no clock. A Tracker isn't safe for concurrent
// use. Its caller guards it by one lock, which is taken after those of admission and
// placement and is not held during calls into either.
package health

import (
	"math/rand/v2"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Limits and defaults of Options.
const (
	// MaxEndpoints bounds the endpoints of a Tracker.
	MaxEndpoints = 1 << 16

	DefaultFailures      = 5
	DefaultEjection      = 2 * time.Second
	DefaultMaxEjection   = time.Minute
	DefaultMaxEjected    = 0.5
	DefaultTrial         = 10 * time.Second
	DefaultSlowStart     = 10 * time.Second
	DefaultSlowFactor    = 3.0
	DefaultMissingGrace  = time.Minute
	ejectionJitter       = 0.2
	maxDoublings         = 16
	slowStartWeight      = 0.1
	slownessSmoothing    = 0.1
	slownessSamples      = 20
	ejectionDecay        = time.Minute // without a failure, until one doubling is reverted
	outlierCheckInterval = time.Second
)

// Options configure a Tracker. Zero values mean the defaults.
type Options struct {
	Rand         *rand.Rand    // seeded; nil: no jitter
	Failures     int           // consecutive failures that cause an ejection
	Ejection     time.Duration // duration of the first ejection, doubled for each further one
	MaxEjection  time.Duration
	MaxEjected   float64       // largest fraction of a class in a zone that may be ejected
	Trial        time.Duration // timeout of a trial
	SlowStart    time.Duration // duration until a readmitted endpoint gets its full load
	SlowFactor   float64       // multiple of the median of its class from which an endpoint is slow
	MissingGrace time.Duration // how long an unlisted endpoint is still used
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
	o.MissingGrace = orDefault(o.MissingGrace, DefaultMissingGrace)
	return o
}

// Status states whether an endpoint is used.
type Status uint8

// Values of Status.
const (
	Healthy Status = iota
	SlowStart
	Retained // ejected but used, as too many of its group are ejected
	Trial    // one request is sent to test it
	Ejected  // not used
	Leaving  // not used, as reported by the endpoint or the platform
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

// group identifies the endpoints of one class in one zone.
type group struct {
	class string
	zone  fleet.ZoneID
}

type endpoint struct {
	fleet.Endpoint
	incarnation         fleet.Incarnation
	previousIncarnation fleet.Incarnation // its late results are ignored

	failures   int  // consecutive
	ejections  int  // number of doublings of the next ejection
	ejected    bool // includes retained endpoints
	retained   bool
	returnAt   time.Time
	trialUntil time.Time // timeout of the current trial; zero: none
	startedAt  time.Time // start of the slow start; zero: none
	failedAt   time.Time

	draining  bool
	missingAt time.Time // since when it is not listed; zero: listed
	answered  time.Time

	slowness float64 // smoothed ratio of observed to expected time
	samples  int
}

// Tracker holds the health of each endpoint, from answers and from the platform's list.
type Tracker struct {
	opts        Options
	endpoints   map[fleet.EndpointID]*endpoint
	groups      map[group][]*endpoint
	ejected     map[fleet.EndpointID]*endpoint // includes retained endpoints
	ejectedIn   map[group]int
	unlisted    map[fleet.EndpointID]*endpoint // not in the platform's list
	hasSlowness bool                           // a slowness was recorded
	checkAt     time.Time
	overflow    uint64
}

// New returns a Tracker without endpoints.
func New(opts Options) *Tracker {
	return &Tracker{
		opts:      opts.withDefaults(),
		endpoints: map[fleet.EndpointID]*endpoint{},
		groups:    map[group][]*endpoint{},
		ejected:   map[fleet.EndpointID]*endpoint{},
		ejectedIn: map[group]int{},
		unlisted:  map[fleet.EndpointID]*endpoint{},
	}
}

// RecordSuccess records an answer of the endpoint. slowness is the ratio of the actual
// to the expected time to the first token, 0 if it isn't known.
func (t *Tracker) RecordSuccess(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation, slowness float64) {
	e := t.endpoints[id]
	if e == nil || !t.acceptIncarnation(now, e, incarnation) {
		return
	}
	e.answered = now
	e.failures = 0
	if slowness > 0 {
		t.hasSlowness = true
		e.samples = min(e.samples+1, slownessSamples)
		e.slowness += (slowness - e.slowness) * max(slownessSmoothing, 1/float64(e.samples))
	}
	if e.ejected {
		t.endEjection(now, e)
	} else if e.ejections > 0 && now.Sub(e.failedAt) > ejectionDecay {
		e.ejections--
		e.failedAt = now
	}
	t.ejectOutliers(now)
}

// RecordProbe records that the endpoint answered a request of the daemon itself, such
// as one for its load. It counts as a successful trial, for endpoints whose requests
// are not repeatable.
func (t *Tracker) RecordProbe(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) {
	e := t.endpoints[id]
	if e != nil && t.acceptIncarnation(now, e, incarnation) && e.ejected && !e.retained {
		t.endEjection(now, e)
	}
}

// endEjection readmits an ejected endpoint after a success, with a slow start. A
// success before returnAt belongs to a request sent before the ejection, and is
// ignored.
func (t *Tracker) endEjection(now time.Time, e *endpoint) {
	if !e.retained && now.Before(e.returnAt) {
		return
	}
	t.setEjected(e, false)
	e.retained = false
	e.trialUntil = time.Time{}
	e.startedAt = now
	e.slowness, e.samples = 0, 0
	t.updateRetained(e)
}

// RecordFailure records a failed attempt: connection refused or lost, a truncated
// answer, a server error. Refusals for lack of capacity and client errors must not be
// recorded.
func (t *Tracker) RecordFailure(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) {
	e := t.endpoints[id]
	if e == nil || !t.acceptIncarnation(now, e, incarnation) {
		return
	}
	e.failedAt = now
	e.failures++
	trial := e.ejected && !e.retained && !now.Before(e.returnAt)
	if trial || (!e.ejected && e.failures >= t.opts.Failures) {
		t.eject(now, e)
	}
}

// UpdateLoad applies the draining state from an answer or a load report.
func (t *Tracker) UpdateLoad(now time.Time, id fleet.EndpointID, load fleet.Load) {
	e := t.endpoints[id]
	if e == nil || !t.acceptIncarnation(now, e, load.Incarnation) {
		return
	}
	if e.draining != load.Draining {
		e.draining = load.Draining
		t.updateRetained(e)
	}
}

// acceptIncarnation switches to a new incarnation, and returns false for results of the
// previous one: a late failure of a crashed engine must not count against the one
// that replaced it under its address.
func (t *Tracker) acceptIncarnation(now time.Time, e *endpoint, incarnation fleet.Incarnation) bool {
	if incarnation == 0 || incarnation == e.incarnation {
		return true
	}
	if incarnation == e.previousIncarnation {
		return false
	}
	if e.incarnation != 0 {
		e.previousIncarnation = e.incarnation
		e.failures, e.samples, e.slowness = 0, 0, 0
		e.draining = false
		e.startedAt = now
		if e.ejected {
			e.returnAt = now
		}
		t.updateRetained(e)
	}
	e.incarnation = incarnation
	return true
}

// setEjected sets whether the endpoint is ejected, and updates the indexes.
func (t *Tracker) setEjected(e *endpoint, ejected bool) {
	if e.ejected == ejected {
		return
	}
	e.ejected = ejected
	g := group{class: e.Class, zone: e.Zone}
	if ejected {
		t.ejected[e.ID] = e
		t.ejectedIn[g]++
		return
	}
	delete(t.ejected, e.ID)
	if t.ejectedIn[g]--; t.ejectedIn[g] == 0 {
		delete(t.ejectedIn, g)
	}
}

// AppendEjected appends the ejected endpoints, including those on trial and retained
// ones. These are all whose status may change with time or by the failure of another.
func (t *Tracker) AppendEjected(to []fleet.EndpointID) []fleet.EndpointID {
	for id := range t.ejected {
		to = append(to, id)
	}
	return to
}

// eject ejects the endpoint for a time that doubles with each ejection. The jitter
// prevents daemons that ejected it at the same time from trying it at the same time.
func (t *Tracker) eject(now time.Time, e *endpoint) {
	duration := t.opts.Ejection << min(e.ejections, maxDoublings)
	duration = min(duration, t.opts.MaxEjection)
	if t.opts.Rand != nil {
		duration = time.Duration(float64(duration) * (1 + ejectionJitter*(2*t.opts.Rand.Float64()-1)))
	}
	e.ejections = min(e.ejections+1, maxDoublings)
	t.setEjected(e, true)
	e.failures = 0
	e.returnAt = now.Add(duration)
	e.trialUntil = time.Time{}
	t.updateRetained(e)
}
