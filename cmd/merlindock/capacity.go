package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/merlindock/merlindock/lab/capacity"
)

func newCapacity(s streams) *ffcli.Command {
	return command(s, "capacity", "merlindock capacity", "Repeat the measurements of docs/CAPACITY.md and print its tables.", nil,
		func(context.Context, []string) error {
			b := capacity.Measure(func(name string, i, n int) {
				fmt.Fprintf(s.err, "capacity: %d of %d, %s\n", i, n, name)
			})
			b.WriteTables(s.out)
			return nil
		})
}
