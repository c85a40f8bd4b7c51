//go:build race

package cluster

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor under the race detector. With the detector,
// Go 1.26 crashes ("SIGSEGV" in runtime.(*timer).modify) when two goroutines of a
// synctest bubble concurrently start a timer whose time has passed, as in-memory
// connections do for each read deadline: both use the bubble's single detector
// context. On one processor they don't run in parallel. Races are still found, since
// the detector relies on the order of synchronisation.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
