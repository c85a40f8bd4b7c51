package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/merlindock/merlindock/lab/demo"
)

func newDemo(s streams) *ffcli.Command {
	o := demo.Options{Out: s.out, Progress: s.err}
	flags := func(fs *flag.FlagSet) {
		fs.IntVar(&o.Requests, "requests", 0, "number of requests of the workload; 0 for the default")
	}
	return command(s, "demo", "merlindock demo",
		"Demonstrate every guarantee on stand-ins in one process; exit code 1 if one is violated.", flags,
		func(ctx context.Context, _ []string) error { return demo.Run(ctx, o) })
}
