package contract

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
