package fairness

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// One organisation of eight asks for three times its share, and each of nine
// daemons sees a fraction of its requests only. Guards against refusals and late
// answers for the others within their shares, and against interactive requests
// that wait behind batch requests.
func TestShortfallUnderOverload(t *testing.T) {
	for name, scenario := range map[string]func(Policy, uint64) Scenario{"even": Tsukushi, "skewed": Skewed} {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				t.Parallel()
				checkShares(t, Run(scenario(PolicyContract, seed)))
			})
		}
	}
}

func checkShares(t *testing.T, r *Result) {
	t.Helper()
	if worst := r.MaxShortfall(); worst > 0.05 {
		t.Errorf("an organisation got %.1f%% less than its fair share", 100*worst)
	}
	if r.PriorityInversions != 0 {
		t.Errorf("%d batch requests admitted while an interactive one waited", r.PriorityInversions)
	}
	if p99 := r.FirstToken(contract.PriorityInteractive, 0.99); p99 > 980*time.Millisecond {
		t.Errorf("p99 of the first token of interactive requests = %v, want at most 980ms", p99)
	}
}

// A daemon loses the connections to its peers and continues to serve. If each
// side counted the other as crashed, both would use its capacity, and engines
// would get more requests than they have slots.
func TestIsolatedDaemonBoundsLoad(t *testing.T) {
	t.Parallel()
	s := faultScenario(1)
	s.IsolatedDaemon = 4
	if load := Run(s).PeakLoad; load > 1.2 {
		t.Errorf("peak load %.2f requests per slot, want at most 1.2", load)
	}
}

// A daemon crashes. The others must use its fraction of the fleet's capacity
// within one to two minutes; otherwise requests are refused while engines idle.
func TestCrashedDaemonsCapacityIsReused(t *testing.T) {
	t.Parallel()
	s := faultScenario(1)
	s.CrashedDaemon = 4
	windows := Run(s).Windows
	before, after := windows[1].Served, windows[4].Served
	if after < 0.93*before {
		t.Errorf("%.0f tokens/s before the crash, %.0f a minute after it", before, after)
	}
}

// An organisation's requests resume after the others have filled its share. It
// must get its share back within seconds.
func TestLentShareIsReturned(t *testing.T) {
	t.Parallel()
	const back = 40 * time.Second
	for seed := uint64(1); seed <= seeds; seed++ {
		r := Run(LentShare(PolicyContract, seed, back))
		if fraction := r.AdmittedFraction(0, back, back+5*time.Second, 10*time.Second); fraction < 0.98 {
			t.Errorf("seed %d: %.2f of the work offered in the first 5 s admitted within 10 s, want at least 0.98", seed, fraction)
		}
		if fraction := r.AdmittedFraction(0, back, back+time.Second, 2*time.Second); fraction < 0.8 {
			t.Errorf("seed %d: %.2f of the work offered in the first second admitted within 2 s, want at least 0.8", seed, fraction)
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	s := Skewed(PolicyContract, 3)
	s.Length, s.CoolDown = 60*time.Second, 10*time.Second
	if a, b := Run(s), Run(s); !reflect.DeepEqual(a.Organisations, b.Organisations) {
		t.Error("two runs of one scenario differ")
	}
}
