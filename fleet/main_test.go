package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the generated cases, so that runs are reproducible;
// -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
