// Package replay drives the decision packages in virtual time with recorded
// traffic, against small runner fakes.
//
// Each daemon has its own view and sees only the requests that the balancer
// gives it. Runners have a block cache that evicts the least recently used,
// a prefill rate, batch slots and a queue by priority; their load reports and
// cache events come late and some events are lost. Between daemon and runner
// there is a fixed delay and nothing else: this is not a simulator of a
// cluster. A replay is a function of its options; the same options give the
// same report.
package replay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/merlindock/merlindock/lab/trace"
	"github.com/merlindock/merlindock/placement/baseline"
)

// Policy names a way of placing requests.
type Policy string

// The policies besides the baselines.
const (
	// PolicyOracle sees every cache and queue at once, with no delay.
	PolicyOracle Policy = "oracle"
	// PolicyAllSources is the product: placement.View fed by all it can get.
	PolicyAllSources Policy = "learnt"
	// PolicyAnswersOnly is the product without cache events and notices, as at the
	// target's size.
	PolicyAnswersOnly Policy = "answers"
	// PolicyLoadOnly is the product told only of load: rendezvous hashing with
	// bounded waits.
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

// The faults. Each comes at a third of the trace, or at FaultAt.
const (
	FaultCrash     FaultKind = "crash"    // one runner dies and returns empty
	FaultRestart   FaultKind = "restart"  // all daemons restart and know nothing
	FaultHotPrefix FaultKind = "hot"      // a new prefix takes half of all requests
	FaultOverload  FaultKind = "overload" // the largest organisation sends three times its traffic
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

// Options says what to replay. Zero fields take the defaults, or the trace's
// values.
type Options struct {
	Trace    *trace.Trace
	Policy   Policy
	Daemons  int
	Seed     uint64  // of the balancer and of what is lost
	Speed    float64 // how much faster than recorded requests arrive; default 1
	Faults   []FaultKind
	FaultAt  time.Duration // default: a third of the trace
	Downtime time.Duration // of the crashed runner

	ReportEvery   time.Duration // between two load reports of a runner
	ReportLag     time.Duration
	EventEvery    time.Duration // between two batches of cache events
	EventLag      time.Duration
	EventLoss     float64 // part of the batches that a daemon never gets
	ZoneDelay     time.Duration
	AnnounceEvery time.Duration // between two batches of notices between daemons
	AnnounceLag   time.Duration

	NewAdmitter func(daemon int, h trace.Header) Admitter // nil: all are admitted
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

// NoEventLoss is the EventLoss of a replay that loses no events, since 0 takes
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
