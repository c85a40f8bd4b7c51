package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/merlindock/merlindock/admin"
	"github.com/merlindock/merlindock/admin/client"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/ports"
)

// maxInputBytes bounds a file that a command reads.
const maxInputBytes = 16 << 20

// adminTarget holds the flags for the daemon that a command calls.
type adminTarget struct {
	url       string
	tokenFile string
}

func (t *adminTarget) flags(fs *flag.FlagSet) {
	fs.StringVar(&t.url, "admin", "http://127.0.0.1:8081", "base URL of a daemon's administration API")
	fs.StringVar(&t.tokenFile, "token-file", "", "file with the administration token")
}

func (t *adminTarget) client() (*client.Client, error) {
	if t.tokenFile == "" {
		return nil, usageError("-token-file is missing, expected the file that admin.token-file of the daemon names")
	}
	token, err := readInput(t.tokenFile)
	if err != nil {
		return nil, err
	}
	return &client.Client{BaseURL: t.url, Token: strings.TrimSpace(string(token))}, nil
}

// readInput returns the content of the file, or of standard input if the path is "-". A
// missing or too long file is a usage error.
func readInput(path string) ([]byte, error) {
	in := os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, usageError("%v", err)
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s cannot be read: %w", path, err)
	}
	if len(text) > maxInputBytes {
		return nil, usageError("%s is longer than %d bytes", path, maxInputBytes)
	}
	return text, nil
}

// singleFile returns the only argument of a command.
func singleFile(args []string) (string, error) {
	if len(args) != 1 {
		return "", usageError("expected one file, or - for standard input, got %d arguments", len(args))
	}
	return args[0], nil
}

func newCheck(s streams) *ffcli.Command {
	return command(s, "check", "merlindock check FILE", "Check a manifest, offline; exit code 1 if it has faults.", nil,
		func(_ context.Context, args []string) error {
			path, err := singleFile(args)
			if err != nil {
				return err
			}
			text, err := readInput(path)
			if err != nil {
				return err
			}
			m, err := manifest.Decode(text)
			if err != nil {
				return fmt.Errorf("%s is refused:\n%w", path, err)
			}
			fmt.Fprintf(s.out, "%s is valid: %d organisations, %d models, %d classes, %d services\n",
				path, len(m.Organisations), len(m.Models), len(m.Classes), len(m.Services))
			return nil
		})
}

func newPublish(s streams) *ffcli.Command {
	var t adminTarget
	var base int64
	flags := func(fs *flag.FlagSet) {
		t.flags(fs)
		fs.Int64Var(&base, "base", -1, "offset of the manifest that this one is based on, as shown by status; 0 for the first")
	}
	return command(s, "publish", "merlindock publish -base N FILE",
		"Publish a manifest; exit code 1 if it was refused, 3 if the outcome is unknown.", flags,
		func(ctx context.Context, args []string) error {
			path, err := singleFile(args)
			if err != nil {
				return err
			}
			if base < 0 {
				return usageError("-base is missing, expected the offset that merlindock status shows, or 0 for the first manifest")
			}
			text, err := readInput(path)
			if err != nil {
				return err
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			p, err := c.Publish(ctx, ports.Offset(base), text)
			return printPublication(s, p, err)
		})
}

// printPublication prints the result of a publication and returns an error unless it was
// accepted. If the daemon did not answer, the outcome is unknown and not refused, as the
// daemon may have published the manifest.
func printPublication(s streams, p admin.Publication, err error) error {
	var status *client.StatusError
	if errors.As(err, &status) {
		return err
	}
	if err != nil {
		p.Outcome = admin.OutcomeUnknown
		p.Reason = err.Error()
	}
	text, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, string(text))
	switch p.Outcome {
	case admin.OutcomeAccepted:
		return nil
	case admin.OutcomeUnknown:
		return &codedError{code: exitUnknown, err: errors.New("the outcome is unknown; publish the same file with the same base again to find out")}
	default:
		return errors.New("the manifest was refused")
	}
}

// newGet returns a command that prints documents of the administration API.
func newGet(s streams, name, help string, paths ...string) *ffcli.Command {
	var t adminTarget
	return command(s, name, "merlindock "+name+" [flags]", help, t.flags,
		func(ctx context.Context, _ []string) error {
			c, err := t.client()
			if err != nil {
				return err
			}
			for _, path := range paths {
				text, err := c.Get(ctx, path)
				if err != nil {
					return err
				}
				if err := printIndented(s.out, path, text); err != nil {
					return err
				}
			}
			return nil
		})
}

func printIndented(w io.Writer, path string, text json.RawMessage) error {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return fmt.Errorf("answer to %s is not JSON: %w", path, err)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func newStatus(s streams) *ffcli.Command {
	return newGet(s, "status", "Show the manifest in force, the endpoints and each organisation's usage.",
		"/v1/manifest/history", "/v1/endpoints", "/v1/organisations")
}

func newDump(s streams) *ffcli.Command {
	return newGet(s, "dump", "Show the complete state of a daemon as JSON.", "/dump")
}

func newDrain(s streams) *ffcli.Command {
	var t adminTarget
	return command(s, "drain", "merlindock drain [flags]", "Start a graceful shutdown of a daemon.", t.flags,
		func(ctx context.Context, _ []string) error {
			c, err := t.client()
			if err != nil {
				return err
			}
			if err := c.Drain(ctx); err != nil {
				return err
			}
			fmt.Fprintln(s.out, "draining")
			return nil
		})
}
