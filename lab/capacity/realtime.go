package capacity

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/lab/standin"

	labmeasure "github.com/merlindock/merlindock/lab/measure"
)

// Parameters of the measurements that run complete components in real time.
const (
	controlInterval = 2 * time.Second // peers.interval
	controlWindow   = 10 * time.Second
	claimsDuration  = 2 * time.Second
	claimsWarmUp    = time.Second
	logRate         = 300 // appends per second; the log is specified for "several hundred"
	claimWorkers    = 400
)

func digestBytes() Slope {
	return measure("digest between daemons", "endpoints reported, 64 at most", "bytes", []int{1, 8, 64}, func(size int) float64 {
		return float64(labmeasure.DigestSize(size, 8))
	})
}

func sectionBytes() Slope {
	return measure("record of one organisation's change", "organisations", "bytes", organisationSizes, func(size int) float64 {
		_, bytes, err := labmeasure.SectionApplier(size)
		return float64(must(bytes, err))
	})
}

func applySection() Slope {
	return measure("apply one organisation's change", "organisations", "ns", organisationSizes, func(size int) float64 {
		apply, _, err := labmeasure.SectionApplier(size)
		must(apply, err)
		return nanoseconds(func(n int) {
			for range n {
				must(0, apply())
			}
		})
	})
}

func pollBytes() Slope {
	return measure("one read of the log", "bytes of the record", "bytes", []int{1, 1000, 100_000}, func(size int) float64 {
		_, one, err := labmeasure.LogReadBytes(size)
		return float64(must(one, err))
	})
}

func planOrders() Slope {
	return measure("plan one round of orders", "endpoints", "ns", endpointSizes, func(size int) float64 {
		plan := labmeasure.RolloutPlanner(size)
		return nanoseconds(func(n int) {
			for range n {
				plan()
			}
		})
	})
}

// controlRuns caches the runs of idle daemons that exchange digests over real
// gRPC, by number of daemons. Two slopes are measured with each run.
type controlRuns map[int]labmeasure.ControlPlaneCost

func (c controlRuns) at(daemons int) labmeasure.ControlPlaneCost {
	if r, done := c[daemons]; done {
		return r
	}
	c[daemons] = must(labmeasure.RunControlPlane(labmeasure.ControlPlaneOptions{
		Daemons:       daemons,
		Zones:         zoneCount(daemons),
		Interval:      controlInterval,
		Duration:      controlWindow,
		Evidence:      2,
		Organisations: 8,
	}))
	return c[daemons]
}

// zoneCount returns the number of zones of a deployment: three for the size of
// the current ones, five for larger ones, as at the target.
func zoneCount(daemons int) int {
	if daemons <= 9 {
		return 3
	}
	return zones
}

var controlSizes = []int{9, 50, 100}

func (c controlRuns) bytes() Slope {
	return measureOnce("digests sent by one daemon", "daemons", "bytes/s", controlSizes, func(size int) float64 {
		return c.at(size).BytesPerSecond
	})
}

func (c controlRuns) processor() Slope {
	return measureOnce("processor time for digests", "daemons", "share of a core", controlSizes, func(size int) float64 {
		return c.at(size).Cores
	})
}

// claimRuns caches the runs of calls with idempotency keys, by batch size. Two
// slopes are measured with each run.
type claimRuns map[int]labmeasure.ClaimResult

func (c claimRuns) at(batch int) labmeasure.ClaimResult {
	if r, done := c[batch]; done {
		return r
	}
	c[batch] = must(labmeasure.RunClaims(context.Background(), labmeasure.ClaimOptions{
		Daemons:    3,
		BatchItems: batch,
		AppendRate: logRate,
		LogDelay:   2 * time.Millisecond,
		Workers:    claimWorkers,
		WarmUp:     claimsWarmUp,
		Duration:   claimsDuration,
	}))
	return c[batch]
}

var claimBatches = []int{1, 10, 100}

func (c claimRuns) perSecond() Slope {
	return measureOnce("keyed calls at 300 appends/s", "claims in one append", "calls/s", claimBatches, func(size int) float64 {
		return c.at(size).ClaimsPerSecond
	})
}

func (c claimRuns) bytes() Slope {
	return measureOnce("one keyed call in the log", "claims in one append", "bytes", claimBatches, func(size int) float64 {
		return c.at(size).BytesPerOperation
	})
}

// probeBytes measures the bytes of one load request to an endpoint, in both
// directions over a persistent connection.
func probeBytes() Slope {
	return measureOnce("load request to an endpoint", "endpoints", "bytes", []int{1}, func(int) float64 {
		server := httptest.NewServer(standin.NewRunner(standin.RunnerOptions{ID: "runner-00001"}))
		defer server.Close()
		var wire atomic.Int64
		client := engine.New(engine.Options{DialContext: labmeasure.CountingDial(&wire)})
		defer client.CloseIdle()
		probe := func() {
			ans := must(client.Send(context.Background(), &engine.Attempt{
				ID:       "probe-runner-00001",
				Endpoint: "runner-00001",
				Address:  server.Listener.Addr().String(),
				Method:   http.MethodGet,
				Path:     engine.PathLoad,
			}))
			must(ans.ReadAll())
			ans.Close()
		}
		probe()
		before := wire.Load()
		const probes = 10
		for range probes {
			probe()
		}
		return float64(wire.Load()-before) / probes
	})
}
