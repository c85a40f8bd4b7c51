package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// newSection returns the command that shows, changes or removes one section of the
// manifest in force.
func newSection(s streams) *ffcli.Command {
	var t adminTarget
	var was string
	var remove bool
	flags := func(fs *flag.FlagSet) {
		t.flags(fs)
		fs.StringVar(&was, "was", "", "digest of the section that the change is based on, as shown by this command; empty for a new section")
		fs.BoolVar(&remove, "remove", false, "remove the section")
	}
	return command(s, "section", "merlindock section [flags] KIND ID [FILE]",
		"Show a section (organisation, model, class or service), or publish FILE as the new one.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) < 2 || len(args) > 3 || (remove && len(args) != 2) {
				return usageError("expected KIND and ID, and a file to publish unless -remove is given")
			}
			c, err := t.client()
			if err != nil {
				return err
			}
			if len(args) == 2 && !remove {
				text, digest, err := c.Section(ctx, args[0], args[1])
				if err != nil {
					return err
				}
				fmt.Fprintf(s.err, "digest %s\n", digest)
				fmt.Fprintln(s.out, strings.TrimSpace(string(text)))
				return nil
			}
			var text []byte
			if !remove {
				if text, err = readInput(args[2]); err != nil {
					return err
				}
			}
			p, err := c.ChangeSection(ctx, args[0], args[1], was, text)
			return printPublication(s, p, err)
		})
}
