// Package telemetry holds the process's metrics: a tally scope that the parts
// report to and a handler that a scraper reads.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its figures to the scraper's page.
const reportInterval = time.Second

// Metrics is the root of a process's metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // the scraper's page, in Prometheus' text format
	closer  io.Closer
}

// DurationBuckets are the buckets for times, in seconds, around the target of 0.98 s
// to the first token and 52 ms between tokens.
func DurationBuckets() tally.Buckets {
	return tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
		10 * time.Millisecond, 25 * time.Millisecond, 52 * time.Millisecond,
		100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
		980 * time.Millisecond, 2 * time.Second, 5 * time.Second,
		15 * time.Second, time.Minute,
	}
}

// New returns the metrics of one process. Close stops their reporting.
func New(daemon, zone string) *Metrics {
	// A registry of its own: in the library's shared one, two daemons in one
	// process would refuse each other's metrics.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "merlindock",
		Tags:           map[string]string{"daemon": daemon, "zone": zone},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,

		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
