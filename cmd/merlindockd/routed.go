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

// routedCommand is the argument that starts a daemon whose configuration comes
// from the platform's metadata store.
const routedCommand = "routed"

// memoryPart is the part of the process's memory that the heap may take before
// the garbage collector works harder.
const memoryPart = 0.5

// runRouted serves until SIGTERM. Its settings come from the file that the
// environment names.
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
	debug.SetMemoryLimit(int64(memoryPart * float64(set.MemoryBytes)))
	lines := logging.NewBoundedWriter(out, logging.DefaultBufferBytes)
	stop := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		lines.Run(stop)
	}()
	defer func() {
		close(stop)
		<-written
	}()
	logs, err := logging.NewFactory(lines, "info")
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
