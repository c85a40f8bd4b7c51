package replay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/merlindock/merlindock/lab/trace"
	"github.com/merlindock/merlindock/placement/baseline"
)

const traceDir = "../trace/testdata"

// outcome is what one replay of a committed trace must show.
type outcome struct {
	Name                string      `json:"name"`
	Speed               float64     `json:"speed"`
	Seeds               []uint64    `json:"seeds"`
	Faults              []FaultKind `json:"faults"`
	HitOfOracle         float64     `json:"min_hit_of_oracle"`
	Waste               float64     `json:"max_waste"`
	WasteOfOracle       float64     `json:"max_waste_of_oracle"`
	WasteOfLeastLoaded  float64     `json:"max_waste_of_least_loaded"`
	InteractiveOfOthers float64     `json:"max_interactive_p99_of_best_baseline"`
	HotP95              float64     `json:"max_hot_p95_ms"`
	HotSettled          float64     `json:"max_hot_settled_s"`
}

func readOutcomes(t *testing.T, path string) (*trace.Trace, []outcome) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Trace    string    `json:"trace"`
		Outcomes []outcome `json:"outcomes"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	return readTrace(t, file.Trace), file.Outcomes
}

func readTrace(t *testing.T, name string) *trace.Trace {
	t.Helper()
	f, err := os.Open(filepath.Join(traceDir, name))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	tr, err := trace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

// The faults in the outcomes come about as in operation: a runner's process
// dies and is back empty four seconds later, a document is suddenly asked for
// by half of all callers, all daemons are replaced at once. Callers would
// notice slow first tokens while prompts are computed again.
func TestStatedOutcomes(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(traceDir, "*.outcomes.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no stated outcomes: %v", err)
	}
	for _, path := range files {
		tr, outcomes := readOutcomes(t, path)
		for _, want := range outcomes {
			for _, seed := range want.Seeds {
				t.Run(tr.Header.Name+"/"+want.Name, func(t *testing.T) {
					t.Parallel()
					want.check(t, tr, seed)
				})
			}
		}
	}
}

func (w *outcome) check(t *testing.T, tr *trace.Trace, seed uint64) {
	replay := func(p Policy) Report {
		return run(t, Options{Trace: tr, Policy: p, Seed: seed, Speed: w.Speed, Faults: w.Faults})
	}
	learnt, oracle := replay(PolicyAllSources), replay(PolicyOracle)
	t.Logf("seed %d: learnt %.4f %.4f, oracle %.4f %.4f, hot %+v settled %.0f s", seed, learnt.HitRate, learnt.WastedFraction,
		oracle.HitRate, oracle.WastedFraction, learnt.HotFirstToken, learnt.HotSettledSeconds)
	if learnt.Answered != learnt.Requests {
		t.Errorf("%d of %d requests answered", learnt.Answered, learnt.Requests)
	}
	if learnt.ReliedOnLostCache != 0 {
		t.Errorf("%d requests relied on a dead cache", learnt.ReliedOnLostCache)
	}
	atLeast(t, "hit rate", learnt.HitRate, w.HitOfOracle*oracle.HitRate)
	if w.Waste > 0 {
		atMost(t, "waste", learnt.WastedFraction, w.Waste)
	}
	if w.WasteOfOracle > 0 {
		atMost(t, "waste", learnt.WastedFraction, w.WasteOfOracle*oracle.WastedFraction)
	}
	if w.WasteOfLeastLoaded > 0 {
		least := replay(Policy(baseline.LeastLoaded))
		atMost(t, "waste", learnt.WastedFraction, w.WasteOfLeastLoaded*least.WastedFraction)
	}
	if w.InteractiveOfOthers > 0 {
		best := replay(Policy(baseline.Random)).FirstToken["interactive"].P99
		for _, k := range baseline.Kinds()[1:] {
			best = min(best, replay(Policy(k)).FirstToken["interactive"].P99)
		}
		atMost(t, "interactive p99", learnt.FirstToken["interactive"].P99, w.InteractiveOfOthers*best)
	}
	if w.HotP95 > 0 {
		atMost(t, "hot p95", learnt.HotFirstToken.P95, w.HotP95)
	}
	if w.HotSettled > 0 {
		atMost(t, "hot settled", learnt.HotSettledSeconds, w.HotSettled)
	}
}

func atLeast(t *testing.T, what string, got, limit float64) {
	t.Helper()
	if got < limit {
		t.Errorf("%s = %.4f, want at least %.4f", what, got, limit)
	}
}

func atMost(t *testing.T, what string, got, limit float64) {
	t.Helper()
	if got > limit {
		t.Errorf("%s = %.4f, want at most %.4f", what, got, limit)
	}
}

// The targets are for traffic that has gone on for a while; the committed
// traces are too short for that of waste.
func TestTargetsOnTwoMinutes(t *testing.T) {
	g := trace.Generate{Seed: 1, Duration: 2 * time.Minute}
	for rate, generate := range map[float64]func(trace.Generate) *trace.Trace{35: trace.Registre, 20: trace.Tsukushi} {
		g.Rate = rate
		tr := generate(g)
		t.Run(tr.Header.Name, func(t *testing.T) {
			t.Parallel()
			learnt := run(t, Options{Trace: tr, Policy: PolicyAllSources, Seed: 1})
			oracle := run(t, Options{Trace: tr, Policy: PolicyOracle, Seed: 1})
			t.Logf("learnt %.4f %.4f, oracle %.4f %.4f", learnt.HitRate, learnt.WastedFraction, oracle.HitRate, oracle.WastedFraction)
			atLeast(t, "hit rate", learnt.HitRate, 0.95*oracle.HitRate)
			atMost(t, "waste", learnt.WastedFraction, 1.25*oracle.WastedFraction)
		})
	}
}

// All daemons are replaced at once and know nothing. For a while documents are
// computed again where the old ones had placed them off their homes; ten
// seconds later callers must notice nothing.
func TestHitRateReturnsAfterAllDaemonsRestart(t *testing.T) {
	for _, name := range []string{"registre", "tsukushi"} {
		tr := readTrace(t, name+"-synthetic.jsonl")
		const at = 10
		o := Options{Trace: tr, Policy: PolicyAllSources, Seed: 1, FaultAt: at * time.Second}
		calm := hitBetween(run(t, o).Timeline, at+10, at+20)
		o.Faults = []FaultKind{FaultRestart}
		after := hitBetween(run(t, o).Timeline, at+10, at+20)
		t.Logf("%s: hit rate %.4f, %.4f without the restart", name, after, calm)
		atLeast(t, name+": hit rate", after, calm-0.02)
	}
}

func hitBetween(seconds []Second, from, to int) float64 {
	reused, reusable := 0, 0
	for _, s := range seconds[from:to] {
		reused += s.Reused
		reusable += s.Reusable
	}
	return ratio(reused, reusable)
}
