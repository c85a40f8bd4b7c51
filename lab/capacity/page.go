package capacity

import (
	"fmt"
	"io"
	"math"
)

// WriteTables writes the slopes, the sums at three sizes, what breaks first and
// the bad days, as Markdown.
func (b *SlopeSet) WriteTables(w io.Writer) {
	b.writeSlopes(w)
	rows := b.Rows()
	writeRows(w, rows)
	writeBreaks(w, LimitCrossings(rows, Registre, Target))
	b.writeBadDays(w)
}

func (b *SlopeSet) writeSlopes(w io.Writer) {
	fmt.Fprint(w, "## Slopes\n\n| what | for each | adds | at 0 | unit | measured at | spread |\n|---|---|---|---|---|---|---|\n")
	for _, key := range b.Keys {
		s := b.Slope(key)
		first, last := s.Points[0].Size, s.Points[len(s.Points)-1].Size
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s to %s | %s |\n", s.Name, s.SizeName,
			short(s.PerUnit), short(s.Base), s.Unit, short(first), short(last), spread(&s))
	}
}

// spread is the greatest over the least repeat of a point, less 1; a point
// that was measured once has none.
func spread(s *Slope) string {
	if s.Spread == 0 {
		return "–"
	}
	return fmt.Sprintf("%.0f%%", 100*s.Spread)
}

func writeRows(w io.Writer, rows []Row) {
	fmt.Fprint(w, "\n## Sums\n\n| role | what | unit | Registre | Tsukushi | target | limit | status | carried by |\n|---|---|---|---|---|---|---|---|---|\n")
	for i := range rows {
		r := &rows[i]
		target := short(r.Value(Target))
		if r.ExceedsLimit(Target) {
			target = "**" + target + "**"
		}
		limit := "–"
		if r.Limit > 0 {
			limit = short(r.Limit)
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Name, r.Unit,
			short(r.Value(Registre)), short(r.Value(Tsukushi)), target, limit, r.Status, r.Mechanism)
	}
}

func writeBreaks(w io.Writer, breaks []LimitCrossing) {
	fmt.Fprint(w, "\n## What breaks first\n\nFrom Registre's sizes to the target's, every size growing by the same part of its way:\n\n| row | passes its limit at | what changes there |\n|---|---|---|\n")
	for _, x := range breaks {
		fmt.Fprintf(w, "| %s: %s | %.0f daemons, %.0f endpoints, %.0f organisations | %s |\n",
			x.Row.Role, x.Row.Name, x.Sizes.Daemons, x.Sizes.Endpoints, x.Sizes.Organisations, x.Row.Mechanism)
	}
}

func (b *SlopeSet) writeBadDays(w io.Writer) {
	fmt.Fprint(w, "\n## Bad days at the target\n\n| day | brings | bounded by |\n|---|---|---|\n")
	for _, d := range b.Failures(Target) {
		fmt.Fprintf(w, "| %s | %s | %s |\n", d.Event, d.Effect, d.Mitigation)
	}
}

// short writes a number with three significant digits and a factor.
func short(x float64) string {
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
