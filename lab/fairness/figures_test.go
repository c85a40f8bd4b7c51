package fairness

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
)

const seeds = 5

// summary is the worst of a figure over the seeds, and the mean of others.
type summary struct {
	worst, rate, load float64
	p50, p99          time.Duration
	behind            int
	refused           float64
}

func overSeeds(make func(seed uint64) Scenario) (s summary) {
	for seed := uint64(1); seed <= seeds; seed++ {
		r := Run(make(seed))
		s.worst = max(s.worst, r.Worst())
		s.rate += r.Served / seeds
		s.load = max(s.load, r.PeakLoad)
		s.p50 = max(s.p50, r.FirstToken(contract.PriorityInteractive, 0.5))
		s.p99 = max(s.p99, r.FirstToken(contract.PriorityInteractive, 0.99))
		s.behind += r.Behind
		for _, n := range r.Refusals {
			s.refused += float64(n) / float64(r.Offered) / seeds
		}
	}
	return s
}

func (s summary) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-22s worst shortfall %5.1f%%  %6.0f tokens/s  phone first token p50 %7v p99 %7v  behind batch %5d  peak load %5.2f  refusals per request %.2f",
		name, 100*s.worst, s.rate, s.p50, s.p99, s.behind, s.load, s.refused)
}

// TestFigures prints the table of all policies under the overload, with -v.
func TestFigures(t *testing.T) {
	for _, policy := range Policies {
		s := overSeeds(func(seed uint64) Scenario { return Tsukushi(policy, seed) })
		s.log(t, string(policy))
	}
	for _, policy := range Policies {
		s := overSeeds(func(seed uint64) Scenario { return Skewed(policy, seed) })
		s.log(t, "skewed "+string(policy))
	}
	r := Run(Tsukushi(PolicyContract, 1))
	t.Log(r)
	for _, o := range r.Organisations {
		t.Logf("    %s offered %8.0f served %8.0f entitled %8.0f: %+.1f%%, refused %d", o.ID, o.Offered, o.Served, o.Entitled, -100*o.Shortfall(), o.Refused)
	}
	t.Logf("    largest digest %d bytes", r.DigestBytes)
}
