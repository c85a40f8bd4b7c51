// Package replay drives the decision packages in virtual time with recorded
// traffic, against simple fakes of runners.
//
// Each daemon has its own view and sees only the requests that the balancer
// sends to it. A runner has a block cache with LRU eviction, a prefill rate,
// batch slots and a priority queue; its load reports and cache events are
// delayed, and some batches of events are lost. The network between a daemon
// and a runner is a fixed delay; nothing else of a cluster is simulated. A
// replay is deterministic: the same options give the same report.
package replay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/merlindock/merlindock/lab/trace"
	"github.com/merlindock/merlindock/placement/baseline"
)

// Policy names a placement policy.
type Policy string

// Policies other than the baselines.
const (
	// PolicyOracle knows every cache and queue without delay or loss.
	PolicyOracle Policy = "oracle"
	// PolicyAllSources is placement.View with load reports, answers, cache events
	// and placement announcements.
	PolicyAllSources Policy = "learnt"
	// PolicyAnswersOnly is placement.View without cache events and placement
	// announcements, as daemons run in a fleet of the target's size.
	PolicyAnswersOnly Policy = "answers"
	// PolicyLoadOnly is placement.View with load reports only, which makes it
	// rendezvous hashing with bounded waits.
	PolicyLoadOnly Policy = "homes"
)

// Policies lists all policies, the oracle first and the baselines last.
func Policies() []Policy {
	all := []Policy{PolicyOracle, PolicyAllSources, PolicyAnswersOnly, PolicyLoadOnly}
	for _, k := range baseline.Kinds() {
		all = append(all, Policy(k))
	}
	return all
}

// FaultKind names a fault.
type FaultKind string

// Kinds of faults. A fault occurs at FaultAt, by default after a third of the
// trace.
const (
	FaultCrash     FaultKind = "crash"    // the busiest runner dies and restarts with an empty cache
	FaultRestart   FaultKind = "restart"  // all daemons restart with empty state
	FaultHotPrefix FaultKind = "hot"      // half of all requests ask for one new prefix
	FaultOverload  FaultKind = "overload" // the largest organisation triples its traffic
)

// Faults lists all faults.
func Faults() []FaultKind {
	return []FaultKind{FaultCrash, FaultRestart, FaultHotPrefix, FaultOverload}
}

// Errors of Run.
var (
	ErrPolicy = errors.New("replay: unknown policy")
	ErrFault  = errors.New("replay: unknown fault")
	ErrTrace  = errors.New("replay: the trace has no requests")
)

// Options configure a replay. A zero field takes its default, or the value of
// the trace.
type Options struct {
	Trace    *trace.Trace
	Policy   Policy
	Daemons  int
	Seed     uint64  // of the balancer's choices and of lost events
	Speed    float64 // factor by which requests arrive faster than recorded; default 1
	Faults   []FaultKind
	FaultAt  time.Duration // default: a third of the trace
	Downtime time.Duration // of the crashed runner

	ReportEvery   time.Duration // interval of a runner's load reports
	ReportLag     time.Duration
	EventEvery    time.Duration // interval of a runner's batches of cache events
	EventLag      time.Duration
	EventLoss     float64 // fraction of the batches that do not reach a daemon
	ZoneDelay     time.Duration
	AnnounceEvery time.Duration // interval of placement announcements between daemons
	AnnounceLag   time.Duration

	NewAdmitter func(daemon int, h trace.Header) Admitter // nil: every request is admitted
	DigestEvery time.Duration
	DigestLag   time.Duration
}

// Defaults of Options.
const (
	DefaultReportEvery   = 500 * time.Millisecond
	DefaultReportLag     = 250 * time.Millisecond
	DefaultEventEvery    = 200 * time.Millisecond
	DefaultEventLag      = 300 * time.Millisecond
	DefaultEventLoss     = 0.01
	DefaultZoneDelay     = 1500 * time.Microsecond
	DefaultAnnounceEvery = 100 * time.Millisecond
	DefaultAnnounceLag   = 50 * time.Millisecond
	DefaultDowntime      = 4 * time.Second
	DefaultDigestEvery   = time.Second
	DefaultDigestLag     = 200 * time.Millisecond
)

// NoEventLoss is the value of EventLoss for a replay without loss; 0 selects
// the default.
const NoEventLoss = -1

func (o Options) withDefaults() (Options, error) {
	if o.Trace == nil || len(o.Trace.Requests) == 0 {
		return o, ErrTrace
	}
	if !slices.Contains(Policies(), o.Policy) {
		return o, fmt.Errorf("%w %q, expected one of %v", ErrPolicy, o.Policy, Policies())
	}
	for _, f := range o.Faults {
		if !slices.Contains(Faults(), f) {
			return o, fmt.Errorf("%w %q, expected one of %v", ErrFault, f, Faults())
		}
	}
	setDefault(&o.Daemons, o.Trace.Header.Fleet.Daemons)
	setDefault(&o.Speed, 1)
	last := o.Trace.Requests[len(o.Trace.Requests)-1].AtMS / o.Speed
	setDefault(&o.FaultAt, milliseconds(last/3))
	setDefault(&o.Downtime, DefaultDowntime)
	setDefault(&o.ReportEvery, DefaultReportEvery)
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.EventEvery, DefaultEventEvery)
	setDefault(&o.EventLag, DefaultEventLag)
	setDefault(&o.EventLoss, DefaultEventLoss)
	setDefault(&o.ZoneDelay, DefaultZoneDelay)
	setDefault(&o.AnnounceEvery, DefaultAnnounceEvery)
	setDefault(&o.AnnounceLag, DefaultAnnounceLag)
	setDefault(&o.DigestEvery, DefaultDigestEvery)
	setDefault(&o.DigestLag, DefaultDigestLag)
	return o, nil
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
func seconds(s float64) time.Duration       { return time.Duration(s * float64(time.Second)) }
