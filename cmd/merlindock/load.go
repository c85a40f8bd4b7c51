package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/merlindock/merlindock/lab/load"
	"github.com/merlindock/merlindock/lab/world"
)

// newLoad returns the command that sends load to a daemon or a stand-in on this machine.
func newLoad(s streams) *ffcli.Command {
	o := load.Options{}
	var asJSON bool
	flags := func(fs *flag.FlagSet) {
		fs.StringVar(&o.URL, "url", "http://127.0.0.1:8080", "base URL of a daemon or runner on the loopback address")
		fs.StringVar(&o.Key, "key", world.APIKey(0), "API key")
		fs.StringVar(&o.Model, "model", world.Model, "model")
		fs.IntVar(&o.Callers, "callers", load.DefaultCallers, "maximum number of requests in flight")
		fs.IntVar(&o.Requests, "requests", load.DefaultRequests, "total number of requests")
		fs.Float64Var(&o.Rate, "rate", 0, "requests per second; 0 for as fast as answers arrive")
		fs.IntVar(&o.Tokens, "tokens", load.DefaultTokens, "tokens generated for each request")
		fs.IntVar(&o.PromptBytes, "prompt-bytes", load.DefaultPromptBytes, "bytes of each prompt")
		fs.IntVar(&o.Prefixes, "prefixes", load.DefaultPrefixes, "number of different prompt prefixes")
		fs.StringVar(&o.Priority, "priority", "", "interactive, standard or batch; empty for the default")
		fs.DurationVar(&o.Timeout, "timeout", load.DefaultTimeout, "timeout of one request")
		fs.Uint64Var(&o.Seed, "seed", 1, "seed of the prompts")
		fs.BoolVar(&asJSON, "json", false, "print the figures as JSON")
	}
	return command(s, "load", "merlindock load [flags]", "Send load to a daemon on this machine and measure the answers.", flags,
		func(ctx context.Context, _ []string) error {
			if err := checkLoopback(o.URL); err != nil {
				return err
			}
			o.Progress = func(done, of int) { fmt.Fprintf(s.err, "load: %d of %d\n", done, of) }
			r, err := load.Run(ctx, o)
			if err != nil {
				return err
			}
			if err := printLoad(s, r, asJSON); err != nil {
				return err
			}
			if r.Answered < r.Requests {
				return fmt.Errorf("%d of %d requests got no complete answer", r.Requests-r.Answered, r.Requests)
			}
			return nil
		})
}

func printLoad(s streams, r *load.Report, asJSON bool) error {
	if !asJSON {
		r.Write(s.out)
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(r.Summary())
}

// checkLoopback returns a usage error unless the address is on this machine: load sent to
// a mistyped address would hit another service.
func checkLoopback(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return usageError("-url %q is not a URL", address)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() {
		return usageError("-url %q is not a loopback address, expected one such as http://127.0.0.1:8080", address)
	}
	return nil
}
