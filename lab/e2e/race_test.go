//go:build race

package e2e

import (
	"os"
	"runtime"
	"testing"
)

// TestMain limits the tests to one processor under the race detector. Go 1.26
// crashes there ("SIGSEGV" in runtime.(*timer).modify) when two goroutines of a
// synctest bubble start an expired timer concurrently, because both use the
// single detector context of the bubble. In-memory connections start such timers
// with each read deadline. With one processor the goroutines don't run in
// parallel; races are still detected, as the detector evaluates the order of
// synchronisation and not the timing.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
