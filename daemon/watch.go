package daemon

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/logging"
)

// Parameters of watch.
const (
	watchInterval   = 2 * time.Second
	logDownFailures = 3 // consecutive failed reads after which the log is considered down
)

// watch updates the gauges and logs when the platform's log becomes unavailable
// or available again, until ctx ends.
func (d *Daemon) watch(ctx context.Context) error {
	log := d.o.Logs.For(logging.ComponentLog)
	down := false
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		failures := d.updateGauges()
		if nowDown := failures >= logDownFailures; nowDown != down {
			down = nowDown
			d.reportLogState(log, down, failures)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) reportLogState(log *logging.Logger, down bool, failures int) {
	if down {
		log.Warn("Log is unavailable; the manifest stays in force and calls with an idempotency key are refused.", "failures", failures)
		return
	}
	log.Info("Log is available again.")
}

// updateGauges updates the gauges and returns the number of failed reads of the
// log.
func (d *Daemon) updateGauges() int {
	status := d.manifests.Status()
	usable, known := d.fleet.countEndpoints()
	scope := d.metrics.Scope
	scope.Gauge("open_requests").Update(float64(d.drainer.InFlight()))
	scope.Gauge("manifest_offset").Update(float64(status.Revision.Offset))
	scope.Gauge("manifest_conflicts").Update(float64(status.Conflicts))
	scope.Gauge("log_failures").Update(float64(status.Failures))
	scope.Gauge("endpoints_known").Update(float64(known))
	scope.Gauge("endpoints_usable").Update(float64(usable))
	scope.Gauge("neighbours").Update(float64(len(d.peers.Neighbours())))
	return status.Failures
}

// countEndpoints returns the numbers of endpoints that may receive requests and
// of all known endpoints.
func (v *fleetView) countEndpoints() (usable, known int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.usable), len(v.all)
}
