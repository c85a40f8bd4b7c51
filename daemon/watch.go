package daemon

import (
	"context"
	"time"

	"github.com/merlindock/merlindock/logging"
)

// Times and bounds of watching the daemon's own state.
const (
	watchEvery = 2 * time.Second
	logDownAt  = 3 // failed reads after which the log counts as down
)

// watch keeps the gauges up to date and logs when the platform's log goes down
// or comes back, until ctx ends.
func (d *Daemon) watch(ctx context.Context) error {
	log := d.o.Logs.For(logging.ComponentLog)
	down := false
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		failures := d.gauge()
		if now := failures >= logDownAt; now != down {
			down = now
			d.tellLog(log, down, failures)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) tellLog(log *logging.Logger, down bool, failures int) {
	if down {
		log.Warn("Log cannot be read; the manifest in force stays, keyed calls are refused.", "failures", failures)
		return
	}
	log.Info("Log is read again.")
}

// gauge reports the present state and returns the log's failed reads.
func (d *Daemon) gauge() int {
	status := d.manifests.Status()
	usable, known := d.fleet.count()
	scope := d.metrics.Scope
	scope.Gauge("open_requests").Update(float64(d.drainer.Open()))
	scope.Gauge("manifest_offset").Update(float64(status.Revision.Offset))
	scope.Gauge("manifest_conflicts").Update(float64(status.Conflicts))
	scope.Gauge("log_failures").Update(float64(status.Failures))
	scope.Gauge("endpoints_known").Update(float64(known))
	scope.Gauge("endpoints_usable").Update(float64(usable))
	scope.Gauge("neighbours").Update(float64(len(d.peers.Neighbours())))
	return status.Failures
}

// count is the number of endpoints that may get new work, and of all.
func (v *fleetView) count() (usable, known int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.usable), len(v.all)
}
