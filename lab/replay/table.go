package replay

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/merlindock/merlindock/contract"
)

// WriteTable writes the reports as a table with one line for each.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprint(t, "policy\tseed\tanswered\thit rate\twasted\timported\tbusy\t"+
		"interactive p50/p95/p99 ms\tstandard p50/p95/p99 ms\tbatch p99 ms\trefused\t\n")
	if err != nil {
		return err
	}
	for i := range reports {
		r := &reports[i]
		refused := 0
		for _, n := range r.Refusals {
			refused += n
		}
		_, err := fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%.4f\t%.4f\t%.2f\t%s\t%s\t%.0f\t%d\t\n",
			r.Policy, r.Seed, r.Answered, r.HitRate, r.WastedFraction, r.ImportedFraction, r.Utilisation,
			r.quantiles(contract.PriorityInteractive), r.quantiles(contract.PriorityStandard),
			r.FirstToken[contract.PriorityBatch.String()].P99, refused)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

func (r *Report) quantiles(p contract.Priority) string {
	q := r.FirstToken[p.String()]
	return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99)
}
