// Package telemetry provides the metrics of a process: a tally scope for the
// components and a handler for Prometheus.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally transfers its values to the Prometheus
// registry.
const reportInterval = time.Second

// Metrics holds the root scope of a process's metrics and the handler that
// exposes them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // exposes the metrics in the Prometheus text format
	closer  io.Closer
}

// DurationBuckets returns the histogram buckets for durations. They include the
// latency targets: 0.98 s to the first token and 52 ms between tokens.
func DurationBuckets() tally.Buckets {
	return tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
		10 * time.Millisecond, 25 * time.Millisecond, 52 * time.Millisecond,
		100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
		980 * time.Millisecond, 2 * time.Second, 5 * time.Second,
		15 * time.Second, time.Minute,
	}
}

// New returns the metrics of one process, tagged with the daemon and its zone.
// Close stops their reporting.
func New(daemon, zone string) *Metrics {
	// The default registry is shared within a process, and registering the
	// metrics of a second daemon in it would fail.
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

// Close reports the pending values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
