// Command merlindock is the command-line tool for operators and developers. It checks and
// publishes manifests, shows the state of daemons and drains them, explains requests from
// logs, sends load, and runs the stand-ins, the replay bench and the demo.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // the command failed, or its result is negative
	exitUsage   = 2 // the command line is wrong
	exitUnknown = 3 // it is unknown whether the command took effect
)

// version is set by the release build.
var version = "dev"

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "MERLINDOCK_CLI"

// codedError is an error with the exit code of the command.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &codedError{code: exitUsage, err: fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{out: os.Stdout, err: os.Stderr})
	stop()
	os.Exit(code)
}

// streams are the outputs of a command: out for results, err for progress and errors.
type streams struct {
	out io.Writer
	err io.Writer
}

func run(ctx context.Context, args []string, s streams) int {
	root := newRoot(s)
	err := root.ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(s.err, "merlindock:", err)
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

func newRoot(s streams) *ffcli.Command {
	root := command(s, "merlindock", "<command> [flags]", "Operate and try merlindock.", nil, nil)
	root.Subcommands = []*ffcli.Command{
		newCheck(s),
		newPublish(s),
		newSection(s),
		newStatus(s),
		newDump(s),
		newDrain(s),
		newDemo(s),
		newReplay(s),
		newCapacity(s),
		newLoad(s),
		newStandin(s),
		newExplain(s),
		newVersion(s),
	}
	root.Exec = func(context.Context, []string) error {
		fmt.Fprintln(s.err, ffcli.DefaultUsageFunc(root))
		return usageError("a command is missing")
	}
	return root
}

// command returns a command whose flags can also be set by environment variables.
func command(s streams, name, usage, help string, flags func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.err)
	if flags != nil {
		flags(fs)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		LongHelp:   help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       exec,
	}
}

func newVersion(s streams) *ffcli.Command {
	return command(s, "version", "merlindock version", "Print the version.", nil,
		func(context.Context, []string) error {
			fmt.Fprintln(s.out, version)
			return nil
		})
}
