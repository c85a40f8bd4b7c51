//go:build race

package history

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor under the race detector. Go 1.26
// crashes otherwise ("SIGSEGV" in runtime.(*timer).modify) when two goroutines of
// a synctest bubble concurrently start timers whose time has passed, as in-memory
// connections do with each read deadline: both use the bubble's only race
// detector context. On one processor they run in turn. Races are still found,
// since the detector relies on the order of synchronisation.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
