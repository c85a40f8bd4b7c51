package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/merlindock/merlindock/lab/fairness"
	"github.com/merlindock/merlindock/lab/replay"
	"github.com/merlindock/merlindock/lab/trace"
)

// replayFlags are the flags of the replay command.
type replayFlags struct {
	trace    string
	policies string
	faults   string
	admit    string
	daemons  int
	seed     uint64
	seeds    int
	speed    float64
	asJSON   bool
}

func (f *replayFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.trace, "trace", "", "trace file, see docs/TRACES.md")
	fs.StringVar(&f.policies, "policy", "all", "policies, separated by commas, or all: "+joinNames(replay.Policies()))
	fs.StringVar(&f.faults, "fault", "", "faults, separated by commas: "+joinNames(replay.Faults()))
	fs.StringVar(&f.admit, "admission", string(admitOpen), "how requests are admitted: "+joinNames(admissions)+" (by the organisations' shares)")
	fs.IntVar(&f.daemons, "daemons", 0, "number of daemons that share the traffic; 0 for the number in the trace")
	fs.Uint64Var(&f.seed, "seed", 1, "seed of the balancer and of losses")
	fs.IntVar(&f.seeds, "seeds", 1, "number of seeds to run, starting with -seed")
	fs.Float64Var(&f.speed, "speed", 1, "factor by which requests arrive faster than recorded")
	fs.BoolVar(&f.asJSON, "json", false, "print the complete reports as JSON")
}

// admission is a value of the flag -admission.
type admission string

const (
	admitOpen     admission = "open"     // every request is admitted
	admitContract admission = "contract" // by the shares of the organisations
)

var admissions = []admission{admitOpen, admitContract}

// newAdmitter returns the constructor of the daemons' admitters, or nil if every request
// is admitted.
func (f *replayFlags) newAdmitter() (func(int, trace.Header) replay.Admitter, error) {
	named, err := selectNames(f.admit, admissions)
	if err != nil {
		return nil, err
	}
	if len(named) != 1 {
		return nil, usageError("-admission is %q, expected one of %s", f.admit, joinNames(admissions))
	}
	if named[0] == admitOpen {
		return nil, nil
	}
	return func(daemon int, h trace.Header) replay.Admitter {
		if f.daemons > 0 {
			h.Fleet.Daemons = f.daemons
		}
		return fairness.NewAdmitter(daemon, h)
	}, nil
}

func joinNames[T ~string](list []T) string {
	texts := make([]string, len(list))
	for i, t := range list {
		texts[i] = string(t)
	}
	return strings.Join(texts, ", ")
}

// selectNames splits a flag's value at commas. A name that is not known is a usage error.
func selectNames[T ~string](text string, known []T) ([]T, error) {
	var out []T
	for name := range strings.SplitSeq(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		found := false
		for _, k := range known {
			found = found || string(k) == name
		}
		if !found {
			return nil, usageError("%q is unknown, expected one of %s", name, joinNames(known))
		}
		out = append(out, T(name))
	}
	return out, nil
}

func newReplay(s streams) *ffcli.Command {
	var f replayFlags
	return command(s, "replay", "merlindock replay -trace FILE [flags]",
		"Replay a trace in virtual time and compare policies.", f.register,
		func(ctx context.Context, _ []string) error {
			runs, err := f.runs()
			if err != nil {
				return err
			}
			var reports []replay.Report
			for i := range runs {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				fmt.Fprintf(s.err, "replay: %d of %d, %s\n", i+1, len(runs), runs[i].Policy)
				r, err := replay.Run(runs[i])
				if err != nil {
					return err
				}
				reports = append(reports, r)
			}
			if !f.asJSON {
				return replay.WriteTable(s.out, reports)
			}
			enc := json.NewEncoder(s.out)
			enc.SetIndent("", "  ")
			return enc.Encode(reports)
		})
}

// runs returns a replay for each seed and policy that the flags select.
func (f *replayFlags) runs() ([]replay.Options, error) {
	if f.trace == "" {
		return nil, usageError("-trace is missing, expected a trace file such as lab/trace/testdata/registre-synthetic.jsonl")
	}
	file, err := os.Open(f.trace)
	if err != nil {
		return nil, usageError("%v", err)
	}
	defer file.Close()
	t, err := trace.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.trace, err)
	}
	faults, err := selectNames(f.faults, replay.Faults())
	if err != nil {
		return nil, err
	}
	newAdmitter, err := f.newAdmitter()
	if err != nil {
		return nil, err
	}
	policies := replay.Policies()
	if f.policies != "all" {
		if policies, err = selectNames(f.policies, policies); err != nil {
			return nil, err
		}
	}
	var runs []replay.Options
	for i := range f.seeds {
		for _, p := range policies {
			runs = append(runs, replay.Options{
				Trace:   t,
				Policy:  p,
				Daemons: f.daemons,
				Seed:    f.seed + uint64(i),
				Speed:   f.speed,
				Faults:  faults,

				NewAdmitter: newAdmitter,
			})
		}
	}
	return runs, nil
}
