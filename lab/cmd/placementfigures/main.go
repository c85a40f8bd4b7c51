// Command placementfigures replays the generated workloads under every policy
// and writes the table and the plots of docs/measurements/decide.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/merlindock/merlindock/lab/replay/figures"
)

func main() {
	out := flag.String("out", "", "directory for the plots; empty: the table only")
	seeds := flag.Int("seeds", 5, "seeds of each replay")
	duration := flag.Duration("duration", 2*time.Minute, "length of the generated traces")
	flag.Parse()
	if err := run(*out, *seeds, *duration); err != nil {
		fmt.Fprintln(os.Stderr, "placementfigures:", err)
		os.Exit(1)
	}
}

func run(out string, seeds int, duration time.Duration) error {
	rows, err := figures.Compare(seeds, duration)
	if err != nil {
		return err
	}
	if err := figures.WriteTable(os.Stdout, rows); err != nil || out == "" {
		return err
	}
	if err := figures.PlotHitRate(rows, filepath.Join(out, "placement-hit-rate.svg")); err != nil {
		return err
	}
	return figures.PlotFirstToken(rows, filepath.Join(out, "placement-first-token.svg"))
}
