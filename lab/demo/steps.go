package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"time"

	"github.com/google/uuid"

	"github.com/merlindock/merlindock/admin"
	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/gateway"
	"github.com/merlindock/merlindock/lab/standin"
	"github.com/merlindock/merlindock/lab/world"
	"github.com/merlindock/merlindock/manifest"
)

// publish publishes the first manifest and waits until all daemons are ready.
func (s *demoRun) publish(ctx context.Context) (Result, error) {
	p := Result{Name: "a manifest is in force everywhere within seconds"}
	text, err := manifest.Encode(s.world.Manifest())
	if err != nil {
		return p, err
	}
	began := time.Now()
	got, err := s.cluster.Nodes[0].Admin().Publish(ctx, 0, text)
	if err != nil {
		return p, err
	}
	if err := s.cluster.WaitReady(ctx); err != nil {
		return p, err
	}
	took := time.Since(began)
	p.Held = got.Outcome == admin.OutcomeAccepted && took < 5*time.Second
	p.Observed = joinObservations(string(got.Outcome), fmt.Sprintf("ready on %d daemons after %s", daemonCount, took.Round(time.Millisecond)))
	return p, nil
}

// compareWithBaseline sends the workload through the daemons, and then, after the
// runners' caches were cleared, through a gateway that chooses runners at random.
func (s *demoRun) compareWithBaseline(ctx context.Context) (Result, error) {
	p := Result{Name: "each caller gets the complete answer to its own request"}
	routed := runWorkload(ctx, s.world, s.urls(), s.prompts, s.reference)
	s.restartRunners()
	base, err := s.baseline(ctx)
	if err != nil {
		return p, err
	}
	s.restartRunners()
	s.table(routed, base)
	p.Held = routed.correct == routed.requests && routed.hitRate() > base.hitRate()
	p.Observed = fmt.Sprintf("%d of %d correct", routed.correct, routed.requests)
	return p, nil
}

func (s *demoRun) restartRunners() {
	for _, r := range s.world.Runners {
		r.Restart()
	}
}

// randomPlacer is the baseline: it chooses a runner at random, regardless of
// prefixes.
type randomPlacer struct{ w *world.World }

// Place implements gateway.Placer.
func (r randomPlacer) Place(context.Context, *gateway.PlaceRequest) (gateway.Placement, error) {
	e := r.w.Endpoints()[rand.IntN(len(r.w.Runners))]
	return gateway.Placement{Endpoint: e.ID, Address: e.Address}, nil
}

func (s *demoRun) baseline(ctx context.Context) (*runStats, error) {
	m := s.world.Manifest()
	index, err := catalog.New(&m)
	if err != nil {
		return nil, err
	}
	g := gateway.New(gateway.Options{
		Catalogue: func() *catalog.Index { return index },
		Engine:    engine.New(engine.Options{}),
		Placer:    randomPlacer{s.world},
	})
	srv := httptest.NewServer(g)
	defer srv.Close()
	return runWorkload(ctx, s.world, []string{srv.URL}, s.prompts, s.reference), nil
}

// longPrompt returns a prompt whose answer takes long enough to be interrupted.
func longPrompt(seed, tokens int) prompt {
	return prompt{
		seed:   seed,
		tokens: tokens,
		levels: []string{fillerText("preamble-0", preambleTokens), fillerText("long", questionTokens)},
	}
}

const (
	longAnswerTokens = 400
	longPromptSeed   = 100_000
)

// startStream sends a prompt in the background. Once a runner has generated more than
// answerTokens for it, startStream returns that runner and a channel that receives the
// reply.
func (s *demoRun) startStream(ctx context.Context, url string, p *prompt) (<-chan *reply, *standin.Runner, error) {
	done := make(chan *reply, 1)
	go func() {
		r, err := sendPrompt(ctx, url, p)
		if err != nil {
			r = &reply{body: err.Error()}
		}
		done <- r
	}()
	before := s.generatedTokens()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-ticker.C:
		}
		for i, r := range s.world.Runners {
			if r.Load().Running > 0 && r.Stats().GeneratedTokens > before[i]+answerTokens {
				return done, r, nil
			}
		}
	}
}

func (s *demoRun) generatedTokens() []int {
	var n []int
	for _, r := range s.world.Runners {
		n = append(n, r.Stats().GeneratedTokens)
	}
	return n
}

// isCompleteAnswer reports whether a reply is the complete answer to the prompt.
func isCompleteAnswer(r *reply, p *prompt) bool {
	return r.complete && r.text() == computeReference([]prompt{*p}).answers[0]
}

func (s *demoRun) killRunner(ctx context.Context) (Result, error) {
	p := Result{Name: "a stream stays complete and in order when its runner dies"}
	long := longPrompt(longPromptSeed, longAnswerTokens)
	done, r, err := s.startStream(ctx, s.cluster.Nodes[0].CallersURL, &long)
	if err != nil {
		return p, err
	}
	r.Crash()
	got := <-done
	p.Held = isCompleteAnswer(got, &long)
	p.Observed = fmt.Sprintf("%d of %d tokens, end marker %v", len(got.tokens), longAnswerTokens, got.complete)
	r.Restart()
	return p, nil
}

// restartRunner sends the beginning of the workload, crashes and restarts a runner, and
// sends the same requests again. All must be answered completely, although the prefix
// locations that the daemons know for the runner are outdated.
func (s *demoRun) restartRunner(ctx context.Context) (Result, error) {
	p := Result{Name: "no request relies on the cache of a crashed runner"}
	some := s.prompts[:len(s.prompts)/4]
	runWorkload(ctx, s.world, s.urls(), some, s.reference)
	s.world.Runners[0].Crash()
	s.world.Runners[0].Restart()
	e := &referenceAnswers{answers: s.reference.answers, prefilled: s.reference.prefilled}
	f := runWorkload(ctx, s.world, s.urls(), some, e)
	p.Held = f.correct == f.requests
	p.Observed = fmt.Sprintf("%d of %d correct after a runner restarted empty", f.correct, f.requests)
	return p, nil
}

func (s *demoRun) restartDaemon(ctx context.Context) (Result, error) {
	p := Result{Name: "a shutdown cuts no stream, a restart serves at once"}
	n := s.cluster.Nodes[1]
	long := longPrompt(longPromptSeed+1, longAnswerTokens)
	done, _, err := s.startStream(ctx, n.CallersURL, &long)
	if err != nil {
		return p, err
	}
	n.Daemon.Drain()
	got := <-done
	if err := <-n.Ended(); err != nil {
		return p, err
	}
	s.world.Log.SetOutage(true)
	defer s.world.Log.SetOutage(false)
	began := time.Now()
	if err := s.cluster.Restart(1); err != nil {
		return p, err
	}
	if err := s.cluster.Nodes[1].WaitReady(ctx); err != nil {
		return p, err
	}
	again, err := sendPrompt(ctx, s.cluster.Nodes[1].CallersURL, &s.prompts[0])
	if err != nil {
		return p, err
	}
	took := time.Since(began)
	p.Held = isCompleteAnswer(got, &long) && again.text() == s.reference.answers[0] && took < 3*time.Second
	p.Observed = fmt.Sprintf("stream %d of %d tokens, first answer %s after the start, log down", len(got.tokens), longAnswerTokens, took.Round(time.Millisecond))
	return p, nil
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// effects returns how often the plain services booked a slot.
func (s *demoRun) effects(slot string) int {
	n := 0
	for _, svc := range s.world.Services {
		n += svc.Effects()["POST "+world.ServicePath+"slots "+slot]
	}
	return n
}

func (s *demoRun) bookTwice(ctx context.Context) (Result, error) {
	p := Result{Name: "a non-idempotent request runs at most once"}
	key, slot := newKey(), "slot 9:30"
	first, err := bookWhenReady(ctx, s.cluster.Nodes[0].CallersURL, key, slot)
	if err != nil {
		return p, err
	}
	second, err := bookWhenReady(ctx, s.cluster.Nodes[2].CallersURL, key, slot)
	if err != nil {
		return p, err
	}
	n := s.effects(slot)
	p.Held = n == 1 && first.status == 200 && first.body == second.body
	p.Observed = fmt.Sprintf("two calls at two daemons, %d effect, same answer %v", n, first.body == second.body)
	return p, nil
}

// bookWhenReady repeats the call while the daemon answers that it was not run.
func bookWhenReady(ctx context.Context, url, key, slot string) (*reply, error) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		r, err := book(ctx, url, key, slot)
		if err != nil || r.header.Get(gateway.HeaderOutcome) != string(gateway.OutcomeNotRun) {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *demoRun) bookWithoutLog(ctx context.Context) (Result, error) {
	p := Result{Name: "a call refused as \"not run\" has no effect"}
	s.world.Log.SetOutage(true)
	slot := "slot 10:00"
	r, err := book(ctx, s.cluster.Nodes[0].CallersURL, newKey(), slot)
	s.world.Log.SetOutage(false)
	if err != nil {
		return p, err
	}
	outcome := r.header.Get(gateway.HeaderOutcome)
	n := s.effects(slot)
	p.Held = outcome == string(gateway.OutcomeNotRun) && n == 0 && r.header.Get("Retry-After") != ""
	p.Observed = fmt.Sprintf("log down: %d %s, %d effects", r.status, outcome, n)
	return p, nil
}

// leaveDeadline is the time after which a leaving endpoint may get no more requests.
const leaveDeadline = 3 * time.Second

func (s *demoRun) markLeaving(ctx context.Context) (Result, error) {
	p := Result{Name: "a leaving endpoint gets no new requests after 3 s"}
	leaving := s.world.Runners[2]
	s.world.MarkLeaving(s.world.Endpoints()[2].ID)
	select {
	case <-ctx.Done():
		return p, ctx.Err()
	case <-time.After(leaveDeadline):
	}
	before := leaving.Stats().Requests
	f := runWorkload(ctx, s.world, s.urls(), s.prompts[:len(s.prompts)/4], s.reference)
	got := leaving.Stats().Requests - before
	p.Held = got == 0 && f.correct == f.requests
	p.Observed = fmt.Sprintf("%d of %d requests went to it", got, f.requests)
	return p, nil
}

func (s *demoRun) publishConflict(ctx context.Context) (Result, error) {
	p := Result{Name: "an accepted configuration never reverts"}
	m := s.world.Manifest()
	m.Name = "stand-in-second"
	second, err := manifest.Encode(m)
	if err != nil {
		return p, err
	}
	m.Name = "stand-in-late"
	late, err := manifest.Encode(m)
	if err != nil {
		return p, err
	}
	a, err := s.cluster.Nodes[0].Admin().Publish(ctx, 1, second)
	if err != nil {
		return p, err
	}
	b, err := s.cluster.Nodes[2].Admin().Publish(ctx, 1, late)
	if err != nil {
		return p, err
	}
	if err := s.changeSection(ctx); err != nil {
		return p, err
	}
	listed, err := countAccepted(ctx, s.cluster.Nodes[1])
	if err != nil {
		return p, err
	}
	p.Held = listed >= 3 && a.Outcome == admin.OutcomeAccepted && b.Outcome == admin.OutcomeRefused && b.RefusedBy == a.Revision.Offset
	p.Observed = fmt.Sprintf("two operators against manifest 1: %s, then %s by manifest %d", a.Outcome, b.Outcome, b.RefusedBy)
	return p, nil
}

// countAccepted returns the number of accepted manifests in a daemon's history.
func countAccepted(ctx context.Context, n *world.Node) (int, error) {
	text, err := n.Admin().Get(ctx, "/v1/manifest/history")
	if err != nil {
		return 0, err
	}
	var list []admin.Publication
	if err := json.Unmarshal(text, &list); err != nil {
		return 0, err
	}
	accepted := 0
	for _, p := range list {
		if p.Outcome == admin.OutcomeAccepted {
			accepted++
		}
	}
	return accepted, nil
}

// changeSection doubles one organisation's share by reading and replacing its
// section, as an operator would.
func (s *demoRun) changeSection(ctx context.Context) error {
	c := s.cluster.Nodes[1].Admin()
	id := string(world.Organisation(0))
	text, baseDigest, err := c.Section(ctx, "organisation", id)
	if err != nil {
		return err
	}
	var o manifest.Organisation
	if err := json.Unmarshal(text, &o); err != nil {
		return err
	}
	o.Share *= 2
	if text, err = json.Marshal(o); err != nil {
		return err
	}
	p, err := c.ChangeSection(ctx, "organisation", id, baseDigest, text)
	if err == nil && p.Outcome != admin.OutcomeAccepted {
		err = fmt.Errorf("the section was not accepted: %+v", p)
	}
	return err
}
