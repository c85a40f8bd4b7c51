package fairness

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/replay"
	"github.com/merlindock/merlindock/lab/trace"
)

const traceLength = 180 * time.Second

// workloads are the generated traces, at rates that put a high load on the
// fleet.
var workloads = map[string]struct {
	make func(trace.GeneratorOptions) *trace.Trace
	rate float64 // requests per second
}{
	"registre": {trace.Registre, 52},
	"tsukushi": {trace.Tsukushi, 45},
}

// BenchmarkTraces prints the shares for both traces when the largest
// organisation triples its traffic. Run it with -benchtime 1x.
func BenchmarkTraces(b *testing.B) {
	for b.Loop() {
		for name, w := range workloads {
			for seed := uint64(1); seed <= seeds; seed++ {
				logTrace(b, name+" open", replay.Options{Trace: w.make(trace.GeneratorOptions{Seed: seed, Duration: traceLength, Rate: w.rate}), Seed: seed})
				logTrace(b, name+" contract", replay.Options{Trace: w.make(trace.GeneratorOptions{Seed: seed, Duration: traceLength, Rate: w.rate}), Seed: seed, NewAdmitter: NewAdmitter})
			}
		}
	}
}

func logTrace(b *testing.B, name string, o replay.Options) {
	b.Helper()
	o.Policy = replay.PolicyAllSources
	o.Faults = []replay.FaultKind{replay.FaultOverload}
	o.FaultAt = time.Second
	r, err := replay.Run(o)
	if err != nil {
		b.Fatal(err)
	}
	worst, total := spentShortfall(r.Organisations)
	b.Logf("%-18s seed %d: shortfall %.1f%% of %.0f tokens/s, answered %d of %d, hit rate %.3f, busy %.2f, interactive p50 %.0f p99 %.0f ms, standard p99 %.0f, batch p99 %.0f, refused %v",
		name, o.Seed, 100*worst, total/traceLength.Seconds(), r.Answered, r.Requests, r.HitRate, r.Utilisation,
		r.FirstToken["interactive"].P50, r.FirstToken["interactive"].P99, r.FirstToken["standard"].P99, r.FirstToken["batch"].P99, r.Refusals)
	if o.Seed == 1 && testing.Verbose() {
		for _, org := range r.Organisations {
			b.Logf("    %-12s share %.2f offered %d done %d spent %d", org.ID, org.Share, org.Offered, org.Done, org.Spent)
		}
	}
}

// spentShortfall returns the largest shortfall in tokens prefilled and
// generated, and the total of these tokens. Refused requests are assumed to
// cost as much per offered token as answered ones.
func spentShortfall(orgs []replay.Organisation) (worst, total float64) {
	r := &Result{scenario: &Scenario{}}
	var offered, spent []float64
	for _, o := range orgs {
		r.scenario.Organisations = append(r.scenario.Organisations, Organisation{ID: o.ID, Share: o.Share})
		done := max(float64(o.Done), 1)
		offered = append(offered, float64(o.Offered)*float64(o.Spent)/done)
		spent = append(spent, float64(o.Spent))
		total += float64(o.Spent)
	}
	for i, given := range r.entitlements(offered, spent) {
		if given > 0 {
			worst = max(worst, 1-spent[i]/given)
		}
	}
	return worst, total
}
