// Package figures replays generated traces under every policy and summarises
// the reports as a table and as plots.
package figures

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/lab/replay"
	"github.com/merlindock/merlindock/lab/trace"
)

// Workload is a generated trace at one rate of requests.
type Workload struct {
	Name     string
	Generate func(trace.GeneratorOptions) *trace.Trace
	Rate     float64 // requests/s
}

// Workloads lists the workloads of the comparison: for each trace, one rate at
// which the oracle's runners prefill or import for about half of the time, and
// one at which they do so for about 85% of it.
func Workloads() []Workload {
	return []Workload{
		{Name: "Registre 35/s", Generate: trace.Registre, Rate: 35},
		{Name: "Registre 52/s", Generate: trace.Registre, Rate: 52},
		{Name: "Tsukushi 20/s", Generate: trace.Tsukushi, Rate: 20},
		{Name: "Tsukushi 30/s", Generate: trace.Tsukushi, Rate: 30},
	}
}

// Row holds the figures of one policy under one workload: means over the seeds,
// unless stated otherwise.
type Row struct {
	Workload      string
	Policy        replay.Policy
	HitRate       float64
	MinHitRatio   float64 // least ratio of HitRate to the oracle's, over the seeds
	Wasted        float64
	MaxWasteRatio float64 // greatest ratio of Wasted to the oracle's, over the seeds
	Utilisation   float64
	P50           float64 // first token of interactive requests, ms
	P95           float64
	P99           float64
	StandardP99   float64 // p99 of standard requests, ms
}

// Compare replays every workload under every policy with the seeds 1 to seeds,
// and returns one row for each pair.
func Compare(seeds int, duration time.Duration) ([]Row, error) {
	policies := replay.Policies()
	var rows []Row
	for _, l := range Workloads() {
		reports := make([][]replay.Report, len(policies))
		var group errgroup.Group
		group.SetLimit(max(1, runtime.GOMAXPROCS(0)/3))
		for i, p := range policies {
			reports[i] = make([]replay.Report, seeds)
			for s := range seeds {
				group.Go(func() (err error) {
					seed := uint64(s + 1)
					tr := l.Generate(trace.GeneratorOptions{Seed: seed, Duration: duration, Rate: l.Rate})
					reports[i][s], err = replay.Run(replay.Options{Trace: tr, Policy: p, Seed: seed})
					return err
				})
			}
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
		for i := range policies {
			rows = append(rows, summarise(l, reports[i], reports[0]))
		}
	}
	return rows, nil
}

// summarise averages the reports of one policy and compares each with the
// oracle's report of the same seed.
func summarise(l Workload, reports, oracle []replay.Report) Row {
	row := Row{Workload: l.Name, Policy: reports[0].Policy, MinHitRatio: 1e9}
	n := float64(len(reports))
	for i, r := range reports {
		row.HitRate += r.HitRate / n
		row.Wasted += r.WastedFraction / n
		row.Utilisation += r.Utilisation / n
		q := r.FirstToken[contract.PriorityInteractive.String()]
		row.P50 += q.P50 / n
		row.P95 += q.P95 / n
		row.P99 += q.P99 / n
		row.StandardP99 += r.FirstToken[contract.PriorityStandard.String()].P99 / n
		row.MinHitRatio = min(row.MinHitRatio, r.HitRate/oracle[i].HitRate)
		row.MaxWasteRatio = max(row.MaxWasteRatio, r.WastedFraction/oracle[i].WastedFraction)
	}
	return row
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, err := fmt.Fprintln(t, "| load\t| policy\t| hit rate\t| of oracle, least\t| wasted\t| of oracle, most"+
		"\t| busy\t| interactive p50 / p95 / p99 ms\t| standard p99 ms\t|\n|---|---|---|---|---|---|---|---|---|")
	if err != nil {
		return err
	}
	for _, r := range rows {
		_, err := fmt.Fprintf(t, "| %s\t| %s\t| %.4f\t| %.3f\t| %.4f\t| %.1f\t| %.2f\t| %.0f / %.0f / %.0f\t| %.0f\t|\n",
			r.Workload, r.Policy, r.HitRate, r.MinHitRatio, r.Wasted, r.MaxWasteRatio, r.Utilisation, r.P50, r.P95, r.P99, r.StandardP99)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}
