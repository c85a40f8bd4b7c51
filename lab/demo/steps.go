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

// publish puts the first manifest in force on all daemons.
func (s *show) publish(ctx context.Context) (Promise, error) {
	p := Promise{Name: "a manifest is in force everywhere within seconds"}
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
	p.Seen = seen(string(got.Outcome), fmt.Sprintf("ready on %d daemons after %s", daemons, took.Round(time.Millisecond)))
	return p, nil
}

// measure sends the workload through the daemons, and then through a gateway
// that places at random, on runners that were emptied.
func (s *show) measure(ctx context.Context) (Promise, error) {
	p := Promise{Name: "each caller gets the whole answer to its own request"}
	ours := drive(ctx, s.world, s.urls(), s.prompts, s.expected)
	s.emptyRunners()
	base, err := s.baseline(ctx)
	if err != nil {
		return p, err
	}
	s.emptyRunners()
	s.table(ours, base)
	p.Held = ours.right == ours.asked && ours.hitRate() > base.hitRate()
	p.Seen = fmt.Sprintf("%d of %d right", ours.right, ours.asked)
	return p, nil
}

func (s *show) emptyRunners() {
	for _, r := range s.world.Runners {
		r.Restart()
	}
}

// randomPlacer is the baseline: it knows nothing of prefixes.
type randomPlacer struct{ w *world.World }

// Place implements gateway.Placer.
func (r randomPlacer) Place(context.Context, *gateway.PlaceRequest) (gateway.Placement, error) {
	e := r.w.Endpoints()[rand.IntN(len(r.w.Runners))]
	return gateway.Placement{Endpoint: e.ID, Address: e.Address}, nil
}

func (s *show) baseline(ctx context.Context) (*figures, error) {
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
	return drive(ctx, s.world, []string{srv.URL}, s.prompts, s.expected), nil
}

// longPrompt is a request whose answer takes long enough to be interrupted.
func longPrompt(seed, tokens int) prompt {
	return prompt{
		seed:   seed,
		tokens: tokens,
		levels: []string{filler("preamble-0", preambleTokens), filler("long", questionTokens)},
	}
}

const (
	longTokens = 400
	slowSeed   = 100_000
)

// underWay asks in the background and returns once a runner generates.
func (s *show) underWay(ctx context.Context, url string, p *prompt) (<-chan *reply, *standin.Runner, error) {
	done := make(chan *reply, 1)
	go func() {
		r, err := ask(ctx, url, p)
		if err != nil {
			r = &reply{body: err.Error()}
		}
		done <- r
	}()
	before := s.generated()
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

func (s *show) generated() []int {
	var n []int
	for _, r := range s.world.Runners {
		n = append(n, r.Stats().GeneratedTokens)
	}
	return n
}

// whole tells whether a reply is the whole answer to the prompt.
func whole(r *reply, p *prompt) bool {
	return r.ended && r.text() == expect([]prompt{*p}).texts[0]
}

func (s *show) killRunner(ctx context.Context) (Promise, error) {
	p := Promise{Name: "a stream stays complete and in order when its runner dies"}
	long := longPrompt(slowSeed, longTokens)
	done, r, err := s.underWay(ctx, s.cluster.Nodes[0].CallersURL, &long)
	if err != nil {
		return p, err
	}
	r.Crash()
	got := <-done
	p.Held = whole(got, &long)
	p.Seen = fmt.Sprintf("%d of %d tokens, end marker %v", len(got.tokens), longTokens, got.ended)
	r.Restart()
	return p, nil
}

// returnEmpty counts on the runner that died: every request of the workload's
// beginning is answered whole though what the daemons knew of it is void.
func (s *show) returnEmpty(ctx context.Context) (Promise, error) {
	p := Promise{Name: "no request relies on the cache of a dead engine"}
	some := s.prompts[:len(s.prompts)/4]
	drive(ctx, s.world, s.urls(), some, s.expected)
	s.world.Runners[0].Crash()
	s.world.Runners[0].Restart()
	e := &expected{texts: s.expected.texts, prefilled: s.expected.prefilled}
	f := drive(ctx, s.world, s.urls(), some, e)
	p.Held = f.right == f.asked
	p.Seen = fmt.Sprintf("%d of %d right after a runner came back empty", f.right, f.asked)
	return p, nil
}

func (s *show) restartDaemon(ctx context.Context) (Promise, error) {
	p := Promise{Name: "a shutdown cuts nothing and a restarted router serves at once"}
	n := s.cluster.Nodes[1]
	long := longPrompt(slowSeed+1, longTokens)
	done, _, err := s.underWay(ctx, n.CallersURL, &long)
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
	again, err := ask(ctx, s.cluster.Nodes[1].CallersURL, &s.prompts[0])
	if err != nil {
		return p, err
	}
	took := time.Since(began)
	p.Held = whole(got, &long) && again.text() == s.expected.texts[0] && took < 3*time.Second
	p.Seen = fmt.Sprintf("stream %d of %d tokens, first answer %s after the start, log down", len(got.tokens), longTokens, took.Round(time.Millisecond))
	return p, nil
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// effects counts what the plain services did for one slot.
func (s *show) effects(slot string) int {
	n := 0
	for _, svc := range s.world.Services {
		n += svc.Effects()["POST "+world.ServicePath+"slots "+slot]
	}
	return n
}

func (s *show) bookTwice(ctx context.Context) (Promise, error) {
	p := Promise{Name: "a non-idempotent request runs at most once"}
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
	p.Seen = fmt.Sprintf("two calls at two daemons, %d effect, same answer %v", n, first.body == second.body)
	return p, nil
}

// bookWhenReady asks again while the daemon says that nothing ran.
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

func (s *show) bookWithoutLog(ctx context.Context) (Promise, error) {
	p := Promise{Name: "a refusal that says \"not run\" is true"}
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
	p.Seen = fmt.Sprintf("log down: %d %s, %d effects", r.status, outcome, n)
	return p, nil
}

// leaveWithin is how soon a leaving endpoint must get no new work.
const leaveWithin = 3 * time.Second

func (s *show) leave(ctx context.Context) (Promise, error) {
	p := Promise{Name: "a leaving endpoint gets no new work after 3 s"}
	leaving := s.world.Runners[2]
	s.world.Leaving(s.world.Endpoints()[2].ID)
	select {
	case <-ctx.Done():
		return p, ctx.Err()
	case <-time.After(leaveWithin):
	}
	before := leaving.Stats().Requests
	f := drive(ctx, s.world, s.urls(), s.prompts[:len(s.prompts)/4], s.expected)
	got := leaving.Stats().Requests - before
	p.Held = got == 0 && f.right == f.asked
	p.Seen = fmt.Sprintf("%d of %d requests went there", got, f.asked)
	return p, nil
}

func (s *show) race(ctx context.Context) (Promise, error) {
	p := Promise{Name: "an accepted configuration never reverts"}
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
	listed, err := historyOf(ctx, s.cluster.Nodes[1])
	if err != nil {
		return p, err
	}
	p.Held = listed >= 3 && a.Outcome == admin.OutcomeAccepted && b.Outcome == admin.OutcomeRefused && b.RefusedBy == a.Revision.Offset
	p.Seen = fmt.Sprintf("two operators against manifest 1: %s, then %s by manifest %d", a.Outcome, b.Outcome, b.RefusedBy)
	return p, nil
}

// historyOf is how many accepted manifests a daemon lists.
func historyOf(ctx context.Context, n *world.Node) (int, error) {
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

// changeSection doubles one organisation's share, as an operator would who has
// read its section.
func (s *show) changeSection(ctx context.Context) error {
	c := s.cluster.Nodes[1].Admin()
	id := string(world.Organisation(0))
	text, was, err := c.Section(ctx, "organisation", id)
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
	p, err := c.ChangeSection(ctx, "organisation", id, was, text)
	if err == nil && p.Outcome != admin.OutcomeAccepted {
		err = fmt.Errorf("the section was not accepted: %+v", p)
	}
	return err
}
