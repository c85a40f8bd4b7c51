package fairness

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/merlindock/merlindock/contract"
)

// One organisation of eight asks for three times its share, of nine daemons
// that each see a part of the callers. The others would get late answers or
// refusals for work they have paid for, and phones would wait behind histories.
func TestSharesHoldUnderOverload(t *testing.T) {
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
		t.Errorf("an organisation got %.1f%% less than its contract", 100*worst)
	}
	if r.PriorityInversions != 0 {
		t.Errorf("%d batch requests passed a waiting phone", r.PriorityInversions)
	}
	if p99 := r.FirstToken(contract.PriorityInteractive, 0.99); p99 > 980*time.Millisecond {
		t.Errorf("p99 of phones' first token %v", p99)
	}
}

// A daemon is cut off from its peers and goes on serving. If each side took the
// other for dead, engines would be sent more than they have places for.
func TestCutOffDaemonKeepsLoadBounded(t *testing.T) {
	t.Parallel()
	s := faulty(1)
	s.IsolatedDaemon = 4
	if load := Run(s).PeakLoad; load > 1.2 {
		t.Errorf("requests over slots rose to %.2f", load)
	}
}

// A daemon dies. The others must use its part of the fleet within a minute or
// two, or callers are refused while engines idle.
func TestDeadDaemonsPartIsUsed(t *testing.T) {
	t.Parallel()
	s := faulty(1)
	s.CrashedDaemon = 4
	windows := Run(s).Windows
	before, after := windows[1].Served, windows[4].Served
	if after < 0.93*before {
		t.Errorf("%.0f tokens/s before the death, %.0f a minute after it", before, after)
	}
}

// An organisation's callers come back after the others have filled its share.
func TestLentShareComesBack(t *testing.T) {
	t.Parallel()
	const back = 40 * time.Second
	for seed := uint64(1); seed <= seeds; seed++ {
		r := Run(LentShare(PolicyContract, seed, back))
		if part := r.AdmittedFraction(0, back, back+5*time.Second, 10*time.Second); part < 0.98 {
			t.Errorf("seed %d: of what it asked in the first 5 s it was given %.2f within 10 s", seed, part)
		}
		if part := r.AdmittedFraction(0, back, back+time.Second, 2*time.Second); part < 0.8 {
			t.Errorf("seed %d: of what it asked in the first second it was given %.2f within 2 s", seed, part)
		}
	}
}

func TestRunsRepeat(t *testing.T) {
	t.Parallel()
	s := Skewed(PolicyContract, 3)
	s.Length, s.CoolDown = 60*time.Second, 10*time.Second
	if a, b := Run(s), Run(s); !reflect.DeepEqual(a.Organisations, b.Organisations) {
		t.Error("two runs of one scenario differ")
	}
}
