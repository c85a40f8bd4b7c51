//go:build race

package cacheevents

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor under the race detector. Go 1.26
// crashes there ("SIGSEGV" in runtime.(*timer).modify) when two goroutines of a
// synctest bubble concurrently start a timer whose time has passed, as in-memory
// connections do with each read deadline: both use the bubble's only detector
// context. On one processor they run in turn, and races are still found, as the
// detector uses the order of synchronisation.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
