package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

func TestFitFindsALine(t *testing.T) {
	s := measureOnce("x", "y", "z", []int{10, 100, 1000}, func(size int) float64 { return 5 + 3*float64(size) })
	if math.Abs(s.PerUnit-3) > 1e-9 || math.Abs(s.Base-5) > 1e-6 {
		t.Errorf("each %g, base %g", s.PerUnit, s.Base)
	}
}

func TestCostsBetweenPointsAreTheirOwn(t *testing.T) {
	s := measureOnce("x", "y", "z", []int{1, 10, 100}, func(size int) float64 {
		return map[int]float64{1: 400, 10: 220, 100: 200}[size]
	})
	if s.At(100) != 200 || s.At(55) != 210 || s.At(1e6) < 0 {
		t.Errorf("at 100: %g, at 55: %g, far off: %g", s.At(100), s.At(55), s.At(1e6))
	}
}

// fixedBook has slopes with known values, so that the sums can be checked.
func fixedBook(each float64) *SlopeSet {
	b := &SlopeSet{slopes: map[string]Slope{}}
	for _, m := range Measurements() {
		b.slopes[m.Key] = Slope{Name: m.Key, PerUnit: each, Points: []Point{{Size: 1}}}
		b.Keys = append(b.Keys, m.Key)
	}
	return b
}

func TestSumsFollowFromSlopes(t *testing.T) {
	b := fixedBook(100)
	for _, r := range b.Rows() {
		if r.Name == "membership and health" && r.Value(Target) != 460_000 {
			t.Errorf("got %g", r.Value(Target))
		}
	}
}

// A page that leaves out the row that breaks would be read as if all were
// well. Every row over its limit at the target must be listed with its size.
func TestEveryRowOverItsLimitIsListed(t *testing.T) {
	b := fixedBook(100)
	rows := b.Rows()
	over := 0
	for i := range rows {
		if rows[i].ExceedsLimit(Target) {
			over++
		}
	}
	breaks := LimitCrossings(rows, Registre, Target)
	if over == 0 || len(breaks) < over {
		t.Errorf("%d rows over, %d listed", over, len(breaks))
	}
	var page bytes.Buffer
	b.WriteTables(&page)
	for _, x := range breaks {
		if !strings.Contains(page.String(), x.Row.Name) {
			t.Errorf("page lacks %s", x.Row.Name)
		}
	}
}
