package capacity

import (
	"fmt"
	"io"
	"math"
)

// WriteTables writes Markdown tables of the slopes, of the rows at three sizes,
// of the limits that are exceeded first, and of the failures.
func (set *SlopeSet) WriteTables(w io.Writer) {
	set.writeSlopes(w)
	rows := set.Rows()
	writeRows(w, rows)
	writeCrossings(w, LimitCrossings(rows, Registre, Target))
	set.writeFailures(w)
}

func (set *SlopeSet) writeSlopes(w io.Writer) {
	fmt.Fprint(w, "## Slopes\n\n| what | size | per unit | at 0 | unit | measured at | spread |\n|---|---|---|---|---|---|---|\n")
	for _, key := range set.Keys {
		s := set.Slope(key)
		first, last := s.Points[0].Size, s.Points[len(s.Points)-1].Size
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s to %s | %s |\n", s.Name, s.SizeName,
			formatNumber(s.PerUnit), formatNumber(s.Base), s.Unit, formatNumber(first), formatNumber(last), formatSpread(&s))
	}
}

// formatSpread formats the spread as a percentage. A slope that was measured
// without repeats has none.
func formatSpread(s *Slope) string {
	if s.Spread == 0 {
		return "–"
	}
	return fmt.Sprintf("%.0f%%", 100*s.Spread)
}

func writeRows(w io.Writer, rows []Row) {
	fmt.Fprint(w, "\n## Requirements\n\n| role | what | unit | Registre | Tsukushi | target | limit | status | mechanism |\n|---|---|---|---|---|---|---|---|---|\n")
	for i := range rows {
		r := &rows[i]
		target := formatNumber(r.Value(Target))
		if r.ExceedsLimit(Target) {
			target = "**" + target + "**"
		}
		limit := "–"
		if r.Limit > 0 {
			limit = formatNumber(r.Limit)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Name, r.Unit,
			formatNumber(r.Value(Registre)), formatNumber(r.Value(Tsukushi)), target, limit, r.Status, r.Mechanism)
	}
}

func writeCrossings(w io.Writer, crossings []LimitCrossing) {
	fmt.Fprint(w, "\n## Limits exceeded first\n\nFrom Registre's sizes to the target's, with every size at the same fraction of its growth:\n\n| row | exceeds its limit at | mechanism |\n|---|---|---|\n")
	for _, crossing := range crossings {
		fmt.Fprintf(w, "| %s: %s | %.0f daemons, %.0f endpoints, %.0f organisations | %s |\n",
			crossing.Row.Role, crossing.Row.Name, crossing.Sizes.Daemons, crossing.Sizes.Endpoints, crossing.Sizes.Organisations, crossing.Row.Mechanism)
	}
}

func (set *SlopeSet) writeFailures(w io.Writer) {
	fmt.Fprint(w, "\n## Failures at the target\n\n| failure | effect | bounded by |\n|---|---|---|\n")
	for _, failure := range set.Failures(Target) {
		fmt.Fprintf(w, "| %s | %s | %s |\n", failure.Event, failure.Effect, failure.Mitigation)
	}
}

// formatNumber formats a number with about three significant digits and an SI
// prefix.
func formatNumber(x float64) string {
	abs := math.Abs(x)
	switch {
	case abs == 0:
		return "0"
	case abs >= 1e9:
		return fmt.Sprintf("%.3gG", x/1e9)
	case abs >= 1e6:
		return fmt.Sprintf("%.3gM", x/1e6)
	case abs >= 1e4:
		return fmt.Sprintf("%.3gk", x/1e3)
	case abs >= 100:
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
