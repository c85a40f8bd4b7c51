package fairness

import (
	"fmt"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
)

const seeds = 5

// summary aggregates results over the seeds: rate and refused are means,
// inversions is a sum, and the others are maxima.
type summary struct {
	maxShortfall, rate, load float64
	p50, p99                 time.Duration
	inversions               int
	refused                  float64
}

func overSeeds(scenario func(seed uint64) Scenario) (s summary) {
	for seed := uint64(1); seed <= seeds; seed++ {
		r := Run(scenario(seed))
		s.maxShortfall = max(s.maxShortfall, r.MaxShortfall())
		s.rate += r.Served / seeds
		s.load = max(s.load, r.PeakLoad)
		s.p50 = max(s.p50, r.FirstToken(contract.PriorityInteractive, 0.5))
		s.p99 = max(s.p99, r.FirstToken(contract.PriorityInteractive, 0.99))
		s.inversions += r.PriorityInversions
		for _, n := range r.Refusals {
			s.refused += float64(n) / float64(r.Offered) / seeds
		}
	}
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("max shortfall %5.1f%%  %6.0f tokens/s  interactive first token p50 %7v p99 %7v  priority inversions %5d  peak load %5.2f  refusals per request %.2f",
		100*s.maxShortfall, s.rate, s.p50, s.p99, s.inversions, s.load, s.refused)
}

// BenchmarkOverload prints the figures of all policies under the overload, with
// requests spread evenly and unevenly over the daemons. Run it with -benchtime
// 1x.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, policy := range Policies {
			b.Logf("even    %-9s %v", policy, overSeeds(func(seed uint64) Scenario { return Tsukushi(policy, seed) }))
		}
		for _, policy := range Policies {
			b.Logf("skewed  %-9s %v", policy, overSeeds(func(seed uint64) Scenario { return Skewed(policy, seed) }))
		}
		r := Run(Tsukushi(PolicyContract, 1))
		b.Log(r)
		for _, o := range r.Organisations {
			b.Logf("    %s offered %8.0f served %8.0f entitled %8.0f: %+.1f%%, refused %d", o.ID, o.Offered, o.Served, o.Entitled, -100*o.Shortfall(), o.Refused)
		}
		b.Logf("    largest digest %d bytes", r.DigestBytes)
	}
}

// BenchmarkEstimates prints the effect of a wrong estimate of the fleet's rate,
// and of an overload by all organisations, of which one asks for three times its
// share.
func BenchmarkEstimates(b *testing.B) {
	for b.Loop() {
		for _, factor := range []float64{0.6, 0.8, 1, 1.2, 1.5} {
			b.Logf("configured %.1f of the rate  %v", factor, overSeeds(func(seed uint64) Scenario {
				s := Tsukushi(PolicyContract, seed)
				s.Rate *= factor
				return s
			}))
		}
		b.Logf("all exceed their shares     %v", overSeeds(func(seed uint64) Scenario {
			s := Tsukushi(PolicyContract, seed)
			for i := range s.Organisations {
				for f := range s.Organisations[i].Flows {
					flow := &s.Organisations[i].Flows[f]
					if i != 1 {
						flow.Rate = Constant(1.6 * flow.Rate(0))
					}
				}
			}
			return s
		}))
	}
}

// BenchmarkDigests prints the effect of digest loss and of longer digest
// intervals on the shares.
func BenchmarkDigests(b *testing.B) {
	for b.Loop() {
		for _, loss := range []float64{0, 0.3, 0.9, 1} {
			b.Logf("lost %3.0f%%    %v", 100*loss, overSeeds(func(seed uint64) Scenario {
				s := Skewed(PolicyContract, seed)
				s.DigestLoss = loss
				return s
			}))
		}
		for _, every := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			b.Logf("every %-5v  %v", every, overSeeds(func(seed uint64) Scenario {
				s := Skewed(PolicyContract, seed)
				s.DigestEvery = every
				return s
			}))
		}
	}
}

// BenchmarkFaults prints the shares over time when a daemon crashes or is
// isolated at 60 s.
func BenchmarkFaults(b *testing.B) {
	for b.Loop() {
		for name, set := range map[string]func(*Scenario){
			"none":                  func(*Scenario) {},
			"dead":                  func(s *Scenario) { s.CrashedDaemon = 4 },
			"cut off":               func(s *Scenario) { s.IsolatedDaemon = 4 },
			"cut off, counted dead": func(s *Scenario) { s.IsolatedDaemon, s.ExpelSilentPeers = 4, true },
		} {
			var windows []Window
			for seed := uint64(1); seed <= seeds; seed++ {
				s := faultScenario(seed)
				set(&s)
				windows = addWindows(windows, Run(s).Windows)
			}
			for _, w := range windows {
				b.Logf("%-21s from %4v: %6.0f tokens/s, largest shortfall %5.1f%%, peak load %.2f", name, w.From, w.Served, 100*w.MaxShortfall, w.PeakLoad)
			}
		}
	}
}

func faultScenario(seed uint64) Scenario {
	s := Tsukushi(PolicyContract, seed)
	s.Window = 30 * time.Second
	s.FaultAt = 60 * time.Second
	s.Length = 210 * time.Second
	return s
}

func addWindows(sum, more []Window) []Window {
	if sum == nil {
		sum = make([]Window, len(more))
	}
	for i, w := range more {
		sum[i].From = w.From
		sum[i].Served += w.Served / seeds
		sum[i].MaxShortfall += w.MaxShortfall / seeds
		sum[i].PeakLoad = max(sum[i].PeakLoad, w.PeakLoad)
	}
	return sum
}

// BenchmarkLentShare prints how fast a lent share is returned: the fraction of
// the work first offered in a period after the return of the organisation's
// traffic that was admitted within 2 s and within 10 s.
func BenchmarkLentShare(b *testing.B) {
	const back = 40 * time.Second
	for b.Loop() {
		for seed := uint64(1); seed <= seeds; seed++ {
			r := Run(LentShare(PolicyContract, seed, back))
			for _, span := range [][2]time.Duration{{0, 1}, {1, 2}, {2, 5}, {5, 10}, {10, 40}} {
				from, to := back+span[0]*time.Second, back+span[1]*time.Second
				b.Logf("seed %d, offered %2d to %2d s after the return: %.2f within 2 s, %.2f within 10 s", seed, span[0], span[1],
					r.AdmittedFraction(0, from, to, 2*time.Second), r.AdmittedFraction(0, from, to, 10*time.Second))
			}
		}
	}
}
