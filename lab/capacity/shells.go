package capacity

import (
	"context"
	"time"

	bench "github.com/merlindock/merlindock/lab/measure"
)

// Bounds of the measurements that run whole shells in real time.
const (
	controlWindow = 4 * time.Second
	claimsFor     = 2 * time.Second
	claimsWarm    = time.Second
	logRate       = 300 // appends a second, as the brief's "several hundred"
	claimWorkers  = 400
)

func digestBytes() Slope {
	return measure("digest between daemons", "endpoints in the news, 64 at most", "bytes", []int{1, 8, 64}, func(size int) float64 {
		return float64(bench.DigestBytes(size, 8))
	})
}

func sectionBytes() Slope {
	return measure("record of one organisation's change", "organisations", "bytes", organisationSizes, func(size int) float64 {
		_, bytes, err := bench.SectionFold(size)
		return float64(must(bytes, err))
	})
}

func sectionFold() Slope {
	return measure("fold one organisation's change", "organisations", "ns", organisationSizes, func(size int) float64 {
		fold, _, err := bench.SectionFold(size)
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
		_, one, err := bench.PollBytes(size)
		return float64(must(one, err))
	})
}

func planOrders() Slope {
	return measure("plan one round of orders", "endpoints", "ns", endpointSizes, func(size int) float64 {
		plan := bench.PlanOnce(size)
		return nanoseconds(func(n int) {
			for range n {
				plan()
			}
		})
	})
}

// controlOnce measures idle daemons that exchange digests over real gRPC. It
// takes seconds, so that it is run once for each point.
func controlOnce(daemons int) bench.ControlCost {
	return must(bench.Control(bench.ControlOptions{
		Daemons:       daemons,
		Zones:         zones,
		Window:        controlWindow,
		Evidence:      2,
		Organisations: 8,
	}))
}

func controlBytes() Slope {
	return measureOnce("digests sent by one daemon", "daemons", "bytes/s", []int{9, 50, 100}, func(size int) float64 {
		return controlOnce(size).Sent
	})
}

func controlTime() Slope {
	return measureOnce("processor time for digests", "daemons", "share of a core", []int{9, 50, 100}, func(size int) float64 {
		return controlOnce(size).Processor
	})
}

func claimsPerSecond() Slope {
	return measureOnce("keyed calls at 300 appends/s", "claims in one append", "calls/s", []int{1, 10, 100}, func(size int) float64 {
		r := must(bench.Claims(context.Background(), bench.ClaimOptions{
			Daemons:    3,
			BatchItems: size,
			AppendRate: logRate,
			LogDelay:   2 * time.Millisecond,
			Workers:    claimWorkers,
			Warm:       claimsWarm,
			For:        claimsFor,
		}))
		return r.PerSecond
	})
}
