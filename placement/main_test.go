package placement

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that every run gives the same result;
// -rapid.seed on the command line chooses others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
