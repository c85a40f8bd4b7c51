// Command merlindockd is the merlindock daemon. It serves callers, exchanges
// digests with its neighbours and follows the platform's log.
//
// With the argument "routed" it instead takes routes, organisations and endpoints
// from the platform's metadata store: see package router.
//
// Settings come from an INI file (-config), environment variables and flags. With
// -check it validates them and exits. The first SIGTERM or SIGINT starts a graceful
// shutdown, the second ends open streams with an explicit error.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/merlindock/merlindock/daemon"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/ports/httplog"
	"github.com/merlindock/merlindock/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Environ(), os.Stdout, os.Stderr))
}

func run(args, environ []string, out, errOut io.Writer) int {
	if len(args) > 0 && args[0] == routedCommand {
		return runRouted(args[1:], out, errOut)
	}
	s, err := settings.Load(settings.Input{Args: args, Env: environ})
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(out, "merlindockd: the merlindock daemon. Flags, also settable as environment variables and in the INI file:")
		settings.Usage(out)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitSettings
	}
	if s.CheckOnly {
		fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	if err := serve(s, errOut); err != nil {
		fmt.Fprintln(errOut, eris.ToString(err, false))
		return exitFailed
	}
	return exitOK
}

func serve(s settings.Settings, logOut io.Writer) error {
	// Without a limit the heap may grow to twice its live size between two collections,
	// which with thousands of streams exceeds the memory of a small VM.
	debug.SetMemoryLimit(s.Daemon.MemoryBytes)
	logs, err := logging.NewFactory(logOut, s.Log.Level)
	if err != nil {
		return err
	}
	token, err := readToken(s.Admin.TokenFile)
	if err != nil {
		return err
	}
	platform, err := httplog.New(httplog.Options{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout})
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Settings: s, Token: token, Log: platform, VMs: platform, Logs: logs})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			d.Drain()
		}
	}()
	return d.Run(context.Background())
}

// readToken returns the token of the administration API. Without a file it is empty, and
// the API refuses all calls that need the token.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "admin.token-file cannot be read")
	}
	return strings.TrimSpace(string(text)), nil
}
