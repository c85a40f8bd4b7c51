package maxmin

import (
	"math"
	"testing"
)

// Guards against a level that leaves capacity unused while a demand is limited,
// or that grants more than the capacity.
func TestLevelExhaustsCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		demands  []Demand
		capacity float64
		want     float64
	}{
		"equal weights":    {[]Demand{{Weight: 1, Total: 4}, {Weight: 1, Total: 30}}, 10, 6},
		"unequal weights":  {[]Demand{{Weight: 1, Total: 30}, {Weight: 4, Total: 30}}, 10, 2},
		"no capacity":      {[]Demand{{Weight: 1, Total: 30}}, 0, 0},
		"enough for all":   {[]Demand{{Weight: 2, Total: 3}, {Weight: 1, Total: 1}}, 10, 1.5},
		"negative is none": {[]Demand{{Weight: 1, Total: 3}}, -1, 0},
	} {
		if got := Level(c.demands, c.capacity); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%s: level %v, want %v", name, got, c.want)
		}
	}
}
