// Package demo runs the whole system on stand-ins in one process, with three daemons
// in front of six runners, and checks its guarantees while it injects failures. All
// results that it prints are computed from what the stand-ins and the callers
// observed in that run.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/merlindock/merlindock/lab/world"
	"github.com/merlindock/merlindock/settings"
)

// ErrGuaranteeBroken is returned if a guarantee was not met.
var ErrGuaranteeBroken = errors.New("demo: a guarantee was not met")

// Options are the options of the demo.
type Options struct {
	Out      io.Writer // results
	Progress io.Writer // steps, as they begin; nil: discarded
	Requests int       // of the workload; 0: defaultRequests
}

// Size and time limit of the demo.
const (
	defaultRequests = 320
	timeout         = 2 * time.Minute
	daemonCount     = 3
	runnerTokens    = float64(time.Second) / float64(prefillPerTok) // prefilled tokens/s of a stand-in
)

// Result is the outcome of one step, which checks a guarantee.
type Result struct {
	Name     string `json:"name"`
	Held     bool   `json:"held"`
	Observed string `json:"seen"`
}

// demoRun is the state of one run.
type demoRun struct {
	o         Options
	world     *world.World
	cluster   *world.Cluster
	prompts   []prompt
	reference *referenceAnswers
	results   []Result
}

// Run runs the demo. It returns ErrGuaranteeBroken if a guarantee was not met, and
// another error if a step could not be executed.
func Run(ctx context.Context, o Options) error {
	if o.Requests == 0 {
		o.Requests = defaultRequests
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	w, err := world.Start(world.Options{
		Runners:       6,
		Organisations: organisations,
		Prefill:       prefillPerTok,
		Decode:        decodePerTok,
		AnswerTokens:  answerTokens,
		PieceTokens:   pieceTokens,
		CachePieces:   documents * organisations * 10,
	})
	if err != nil {
		return err
	}
	defer w.Close()
	s := &demoRun{o: o, world: w, prompts: workload(o.Requests)}
	s.reference = computeReference(s.prompts)
	s.cluster, err = w.StartCluster(daemonCount, func(set *settings.Settings) { set.Routing.RunnerTokens = runnerTokens })
	if err != nil {
		return err
	}
	defer s.cluster.Close()
	return s.run(ctx)
}

func (s *demoRun) run(ctx context.Context) error {
	steps := []struct {
		name string
		do   func(context.Context) (Result, error)
	}{
		{"publish a manifest", s.publish},
		{"send the workload and a baseline", s.compareWithBaseline},
		{"kill a runner in mid-stream", s.killRunner},
		{"restart the runner with an empty cache", s.restartRunner},
		{"restart a daemon with a stream open and the log down", s.restartDaemon},
		{"book a slot twice with one key", s.bookTwice},
		{"book while the log is down", s.bookWithoutLog},
		{"let an endpoint leave", s.markLeaving},
		{"publish against an old manifest", s.publishConflict},
	}
	for _, step := range steps {
		fmt.Fprintf(s.o.Progress, "demo: %s\n", step.name)
		p, err := step.do(ctx)
		if err != nil {
			return fmt.Errorf("demo: %s: %w", step.name, err)
		}
		s.results = append(s.results, p)
	}
	return s.report()
}

func (s *demoRun) report() error {
	broken := 0
	fmt.Fprintln(s.o.Out, "\nResult of each guarantee:")
	for _, p := range s.results {
		verdict := "held  "
		if !p.Held {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(s.o.Out, "  %s  %-58s %s\n", verdict, p.Name, p.Observed)
	}
	fmt.Fprintf(s.o.Out, "%d passed, %d failed\n", len(s.results)-broken, broken)
	if broken > 0 {
		return ErrGuaranteeBroken
	}
	return nil
}

func (s *demoRun) urls() []string {
	var urls []string
	for _, n := range s.cluster.Nodes {
		urls = append(urls, n.CallersURL)
	}
	return urls
}

// table prints the statistics of the workload next to those of the baseline.
func (s *demoRun) table(ours, base *runStats) {
	fmt.Fprintf(s.o.Out, "\n%d requests with nested shared prefixes over %d daemons, %d runners:\n", ours.requests, daemonCount, len(s.world.Runners))
	fmt.Fprintf(s.o.Out, "  %-36s %12s %12s\n", "", "merlindock", "random")
	row := func(name string, a, b any) { fmt.Fprintf(s.o.Out, "  %-36s %12v %12v\n", name, a, b) }
	percent := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	row("complete answers", ours.correct, base.correct)
	row("prefix hit rate", percent(ours.hitRate()), percent(base.hitRate()))
	row("wasted recomputation, tokens", ours.wastedTokens(), base.wastedTokens())
	for _, q := range []float64{0.50, 0.95, 0.99} {
		row(fmt.Sprintf("time to first token, p%.0f", 100*q), ours.percentile(q).Round(100*time.Microsecond), base.percentile(q).Round(100*time.Microsecond))
	}
}

func joinObservations(parts ...string) string { return strings.Join(parts, ", ") }
