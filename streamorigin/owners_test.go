package streamorigin

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against owners that are lost together with a zone, and against streams that all have
// the same owners.
func TestOwnersAreInDifferentZones(t *testing.T) {
	c := newCluster(30, 3)
	var o owners
	o.set(c.all)
	streams := map[string]int{}
	for i := range 3000 {
		var zones []string
		for _, d := range o.of(streamID(fmt.Sprint(i)), toldOwners) {
			zones = append(zones, d.Zone)
			streams[d.Name]++
		}
		slices.Sort(zones)
		if len(slices.Compact(zones)) != toldOwners {
			t.Fatalf("stream %d has its owners in zones %v", i, zones)
		}
	}
	for _, d := range c.all {
		if n := streams[d.Name]; n < 200 || n > 400 { // 300 on average
			t.Errorf("%s owns %d of 3,000 streams", d.Name, n)
		}
	}
	o.set(nil)
	if got := o.of(streamID("1"), toldOwners); len(got) > 0 {
		t.Errorf("owners without daemons: %v", got)
	}
}
