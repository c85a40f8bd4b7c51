package contract

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
