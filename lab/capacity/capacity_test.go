package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

func TestFitFindsLine(t *testing.T) {
	s := measureOnce("x", "y", "z", []int{10, 100, 1000}, func(size int) float64 { return 5 + 3*float64(size) })
	if math.Abs(s.PerUnit-3) > 1e-9 || math.Abs(s.Base-5) > 1e-6 {
		t.Errorf("per unit %g, base %g", s.PerUnit, s.Base)
	}
}

func TestSlopeInterpolatesBetweenPoints(t *testing.T) {
	s := measureOnce("x", "y", "z", []int{1, 10, 100}, func(size int) float64 {
		return map[int]float64{1: 400, 10: 220, 100: 200}[size]
	})
	if s.At(100) != 200 || s.At(55) != 210 || s.At(1e6) < 0 {
		t.Errorf("at 100: %g, at 55: %g, at 1e6: %g", s.At(100), s.At(55), s.At(1e6))
	}
}

// fixedSlopes returns slopes with a known cost per unit, so that the rows can be
// checked.
func fixedSlopes(each float64) *SlopeSet {
	set := &SlopeSet{slopes: map[string]Slope{}}
	for _, m := range Measurements() {
		set.slopes[m.Key] = Slope{Name: m.Key, PerUnit: each, Points: []Point{{Size: 1}}}
		set.Keys = append(set.Keys, m.Key)
	}
	return set
}

func TestRowsFollowFromSlopes(t *testing.T) {
	set := fixedSlopes(100)
	for _, r := range set.Rows() {
		if r.Name == "membership and health" && r.Value(Target) != 460_000 {
			t.Errorf("membership and health at the target = %g, want 460000", r.Value(Target))
		}
	}
}

// A row over its limit that is missing from the tables would hide a bottleneck.
// Every row over its limit at the target must be listed with the sizes at which
// it exceeds it.
func TestTablesListRowsOverLimit(t *testing.T) {
	set := fixedSlopes(100)
	rows := set.Rows()
	over := 0
	for i := range rows {
		if rows[i].ExceedsLimit(Target) {
			over++
		}
	}
	crossings := LimitCrossings(rows, Registre, Target)
	if over == 0 || len(crossings) < over {
		t.Errorf("%d rows exceed their limits, %d listed", over, len(crossings))
	}
	var page bytes.Buffer
	set.WriteTables(&page)
	for _, x := range crossings {
		if !strings.Contains(page.String(), x.Row.Name) {
			t.Errorf("tables lack the row %q", x.Row.Name)
		}
	}
}
