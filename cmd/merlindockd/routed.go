package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/platform"
	"github.com/merlindock/merlindock/router"
)

// routedCommand is the argument that selects the daemon that is configured from the
// platform's metadata store.
const routedCommand = "routed"

// heapFraction is the fraction of the process's memory that is set as the soft memory
// limit of the Go runtime.
const heapFraction = 0.5

// runRouted serves until SIGTERM or SIGINT and returns the exit code. The settings file is
// given by the environment variable platform.SettingsVariable; SIGHUP reloads it.
func runRouted(args []string, out, errOut io.Writer) int {
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitSettings
	}
	port := ""
	if len(args) > 0 {
		port = args[0]
	}
	debug.SetMemoryLimit(int64(heapFraction * float64(set.MemoryBytes)))
	output := logging.NewBoundedWriter(out, logging.DefaultBufferBytes)
	stop := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		output.Run(stop)
	}()
	defer func() {
		close(stop)
		<-written
	}()
	logs, err := logging.NewFactory(output, "info")
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	if err := serveRouted(set, port, logs); err != nil {
		fmt.Fprintln(errOut, eris.ToString(err, false))
		return exitFailed
	}
	return exitOK
}

func serveRouted(set router.Settings, port string, logs *logging.Factory) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	now := uint64(time.Now().UnixNano())
	r := router.New(platform.Connect(router.Options{
		Settings: set, MetricsPort: port, Logs: logs, Rand: rand.New(rand.NewPCG(now, uint64(os.Getpid()))),
	}))
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			r.Reload(platform.LoadSettings(os.Getenv(platform.SettingsVariable)))
		}
	}()
	return r.Run(ctx)
}
