package replay

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/merlindock/merlindock/lab/trace"
)

// shortTrace returns a Tsukushi trace of 20 seconds at half load.
func shortTrace(seed uint64) *trace.Trace {
	return trace.Tsukushi(trace.GeneratorOptions{Seed: seed, Duration: 20 * time.Second, Rate: 16})
}

func run(t *testing.T, o Options) Report {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunRefusesInvalidOptions(t *testing.T) {
	tr := shortTrace(1)
	for want, o := range map[error]Options{
		ErrTrace:  {Policy: PolicyAllSources},
		ErrPolicy: {Trace: tr, Policy: "best"},
		ErrFault:  {Trace: tr, Policy: PolicyAllSources, Faults: []FaultKind{"flood"}},
	} {
		if _, err := Run(o); !errors.Is(err, want) {
			t.Errorf("Run: %v, want %v", err, want)
		}
	}
}

func TestPoliciesAnswerEveryRequest(t *testing.T) {
	tr := shortTrace(1)
	for _, p := range Policies() {
		r := run(t, Options{Trace: tr, Policy: p, Seed: 1})
		if r.Answered != len(tr.Requests) || len(r.Refusals) != 0 {
			t.Errorf("%s: %d of %d answered, refused %v", p, r.Answered, len(tr.Requests), r.Refusals)
		}
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	o := Options{Trace: shortTrace(2), Policy: PolicyAllSources, Seed: 2, Faults: Faults()}
	if diff := cmp.Diff(run(t, o), run(t, o)); diff != "" {
		t.Errorf("reports of two replays differ:\n%s", diff)
	}
}
