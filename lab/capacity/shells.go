package capacity

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/lab/standin"

	bench "github.com/merlindock/merlindock/lab/measure"
)

// Bounds of the measurements that run whole shells in real time.
const (
	controlInterval = 2 * time.Second // peers.interval
	controlWindow   = 10 * time.Second
	claimsFor       = 2 * time.Second
	claimsWarm      = time.Second
	logRate         = 300 // appends a second, as the brief's "several hundred"
	claimWorkers    = 400
)

func digestBytes() Slope {
	return measure("digest between daemons", "endpoints in the news, 64 at most", "bytes", []int{1, 8, 64}, func(size int) float64 {
		return float64(bench.DigestSize(size, 8))
	})
}

func sectionBytes() Slope {
	return measure("record of one organisation's change", "organisations", "bytes", organisationSizes, func(size int) float64 {
		_, bytes, err := bench.SectionApplier(size)
		return float64(must(bytes, err))
	})
}

func sectionFold() Slope {
	return measure("fold one organisation's change", "organisations", "ns", organisationSizes, func(size int) float64 {
		fold, _, err := bench.SectionApplier(size)
		must(fold, err)
		return nanoseconds(func(n int) {
			for range n {
				must(0, fold())
			}
		})
	})
}

func pollBytes() Slope {
	return measure("one read of the log", "bytes of the record", "bytes", []int{1, 1000, 100_000}, func(size int) float64 {
		_, one, err := bench.LogReadBytes(size)
		return float64(must(one, err))
	})
}

func planOrders() Slope {
	return measure("plan one round of orders", "endpoints", "ns", endpointSizes, func(size int) float64 {
		plan := bench.RolloutPlanner(size)
		return nanoseconds(func(n int) {
			for range n {
				plan()
			}
		})
	})
}

// controlRuns keeps the runs of idle daemons that exchange digests over real
// gRPC, since two slopes come from each.
type controlRuns map[int]bench.ControlPlaneCost

func (c controlRuns) at(daemons int) bench.ControlPlaneCost {
	if r, done := c[daemons]; done {
		return r
	}
	c[daemons] = must(bench.MeasureControlPlane(bench.ControlPlaneOptions{
		Daemons:       daemons,
		Zones:         zonesOf(daemons),
		Interval:      controlInterval,
		Duration:      controlWindow,
		Evidence:      2,
		Organisations: 8,
	}))
	return c[daemons]
}

// zonesOf is the number of zones of a deployment: three today, five at the
// target.
func zonesOf(daemons int) int {
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

// claimRuns keeps the runs of keyed calls, since two slopes come from each.
type claimRuns map[int]bench.ClaimResult

func (c claimRuns) at(batch int) bench.ClaimResult {
	if r, done := c[batch]; done {
		return r
	}
	c[batch] = must(bench.MeasureClaims(context.Background(), bench.ClaimOptions{
		Daemons:    3,
		BatchItems: batch,
		AppendRate: logRate,
		LogDelay:   2 * time.Millisecond,
		Workers:    claimWorkers,
		WarmUp:     claimsWarm,
		Duration:   claimsFor,
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

// probeBytes is what asking one endpoint for its load puts on the wire, both
// ways, over a connection that is kept.
func probeBytes() Slope {
	return measureOnce("asking an endpoint for its load", "endpoints", "bytes", []int{1}, func(int) float64 {
		server := httptest.NewServer(standin.NewRunner(standin.RunnerOptions{ID: "runner-00001"}))
		defer server.Close()
		var wire atomic.Int64
		client := engine.New(engine.Options{DialContext: bench.CountingDial(&wire)})
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
