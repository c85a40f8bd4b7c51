package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/routes"
	"github.com/merlindock/merlindock/weights"
)

// dispatchCluster simulates daemons that dispatch prompts for one another. Messages
// between them are delivered synchronously.
type dispatchCluster struct {
	daemons     []*dispatchPlacer
	unreachable map[string]bool // addresses of daemons that neither send nor receive messages
}

// unresponsiveEngines are engines that do not answer load queries.
type unresponsiveEngines struct{ weights.Engines }

func (unresponsiveEngines) Report(context.Context, weights.Target, string) (weights.Report, error) {
	return weights.Report{}, errors.New("no answer")
}

func newDispatchCluster(t testing.TB, daemons, engines int) *dispatchCluster {
	t.Helper()
	c := &dispatchCluster{unreachable: map[string]bool{}}
	table := &routes.Table{
		Version:  1,
		Routes:   []routes.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: routes.Stream, TargetLatency: 600 * time.Millisecond, MaxAttempts: 1}},
		Services: map[string]*routes.Service{"s": {Name: "s", Engine: &routes.Engine{Slots: 16, CapacityTokens: 200_000, BytesPerToken: 18_432, LinkMbps: 370_000, Models: []string{"m"}}}},
	}
	table.BuildIndex()
	var list []Neighbour
	for i := range daemons {
		name := string(rune('a' + i))
		list = append(list, Neighbour{Name: name, Zone: "z", Address: name})
	}
	clock := func() time.Duration { return time.Hour + time.Duration(time.Now().UnixNano()) }
	for i := range daemons {
		set := &Settings{Name: list[i].Name, Zone: "z", DrainWithin: time.Second, VersionWithin: time.Minute}
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		s := newState(set, rng)
		s.table.Store(table)
		now := time.Now()
		for e := range engines {
			id := string(rune('A' + e))
			s.roster.Put(directory.Entry{ID: id, Service: "s", Address: id, Zone: "z", Slots: 16, State: directory.Ready, Models: map[string]int64{"m": 1}})
		}
		s.mu.Lock()
		s.refresh(now)
		s.mu.Unlock()
		from := list[i].Address
		d := newDispatchPlacer(list[i], s, newPlacer(s, set, unresponsiveEngines{}, clock, discardLog(), rng), clock, discardLog(), func(to string, data []byte) { c.send(from, to, data) })
		d.setDaemons(list)
		c.daemons = append(c.daemons, d)
	}
	return c
}

func (c *dispatchCluster) send(from, to string, data []byte) {
	if c.unreachable[from] || c.unreachable[to] {
		return
	}
	for _, d := range c.daemons {
		if d.self.Address == to {
			d.receive(from, data)
		}
	}
}

// longPrompt returns the request of a long prompt with the given shared segment.
func (c *dispatchCluster) longPrompt(d *dispatchPlacer, segment string) *forward.PlacementRequest {
	t := d.state.table.Load()
	return &forward.PlacementRequest{
		Route: &t.Routes[0], Service: t.Services["s"], Table: t, Arrived: time.Now(), Deadline: time.Now().Add(6 * time.Second),
		In: &forward.RequestInfo{Model: "m", PromptTokens: 17_000, LastEvent: forward.NoEvent, Parts: []prefix.Segment{{ID: segment, Tokens: 13_000}, {ID: "own", Tokens: 4000}}},
	}
}

// place places a long prompt at a daemon and fails the test on an error.
func (c *dispatchCluster) place(t *testing.T, d *dispatchPlacer, segment string) forward.Placement {
	t.Helper()
	p, err := d.Place(context.Background(), c.longPrompt(d, segment))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Eight daemons receive one long prompt each at the same time, and there are ten engines
// for long prompts. If each daemon placed its prompt without knowing of the others, some
// prompts would be sent to the same engine and be late while other engines are idle.
func TestDispatchSpreadsPromptsOfManyDaemons(t *testing.T) {
	c := newDispatchCluster(t, 8, 12)
	counts := map[fleet.EndpointID]int{}
	for i, d := range c.daemons {
		counts[c.place(t, d, string(rune('a'+i))).Target.Key]++
	}
	for key, n := range counts {
		if n > 1 {
			t.Errorf("%d prompts were placed on %s", n, key)
		}
	}
}

// Guards against a prompt that is refused because of the queue at the engine that caches
// its shared segment, while other engines are idle.
func TestPromptOfHotSegmentIsNotRefusedWhileEnginesAreIdle(t *testing.T) {
	c := newDispatchCluster(t, 1, 12)
	req := c.longPrompt(c.daemons[0], "")
	req.Route.TargetLatency, req.Service.Engine.LinkMbps = 300*time.Millisecond, 0
	req.In.PromptTokens, req.In.Parts = 12_000, []prefix.Segment{{ID: "hot", Tokens: 6000}, {ID: "own", Tokens: 6000}}
	used := map[fleet.EndpointID]bool{}
	for sent := range 8 {
		p, err := c.daemons[0].placeAsDispatcher(time.Now(), req)
		if err != nil {
			t.Fatalf("prompt %d is refused with %v, only %d of 12 engines have been sent one", sent, err, len(used))
		}
		used[p.Target.Key] = true
	}
}

// Two daemons receive prompts with the same shared segment, one after the other. The
// second prompt must be placed on the engine that reads the segment, or fetch it from
// there.
func TestSharedSegmentIsReadOnce(t *testing.T) {
	c := newDispatchCluster(t, 6, 12)
	first := c.place(t, c.daemons[0], "part")
	second := c.place(t, c.daemons[3], "part")
	if second.Target.Key != first.Target.Key && second.Out.FetchFrom != first.Target.Address {
		t.Errorf("first prompt on %s, second on %s, segment fetched from %q", first.Target.Key, second.Target.Key, second.Out.FetchFrom)
	}
}

// The dispatcher has failed or cannot be reached. Callers must not wait for it, and
// another daemon must become the dispatcher.
func TestUnreachableDispatcherIsAvoided(t *testing.T) {
	c := newDispatchCluster(t, 6, 12)
	client := c.daemons[0]
	first, _ := client.dispatcher(client.groupOf(c.longPrompt(client, "p")))
	if first == client.self {
		client = c.daemons[1]
	}
	c.unreachable[first.Address] = true
	began := time.Now()
	if p := c.place(t, client, "p"); p.Notes.Dispatcher != "" {
		t.Errorf("the prompt was placed by %s", p.Notes.Dispatcher)
	}
	if took := time.Since(began); took > 10*dispatchTimeout {
		t.Errorf("the prompt was placed after %v", took)
	}
	next, _ := client.dispatcher(client.groupOf(c.longPrompt(client, "p")))
	if next.Name == first.Name {
		t.Error("the unreachable daemon is still the dispatcher")
	}
}

// The message that reports the end of an answer is lost. Without a timeout, the dispatcher
// would count the prompt at its engine for ever and refuse callers though the fleet is
// idle.
func TestPlacementWithoutReportExpires(t *testing.T) {
	c := newDispatchCluster(t, 2, 1)
	to, _ := c.daemons[0].dispatcher(c.daemons[0].groupOf(c.longPrompt(c.daemons[0], "p")))
	client, dispatcher := c.daemons[0], c.daemons[1]
	if to == client.self {
		client, dispatcher = dispatcher, client
	}
	p := c.place(t, client, "p")
	if n := dispatcher.state.view.PendingPrompts(p.Target.Key); n != 1 {
		t.Fatalf("%d prompts are pending", n)
	}
	dispatcher.expire(time.Now().Add(p.Wait + beginTimeoutSlack + time.Second))
	if n := dispatcher.state.view.PendingPrompts(p.Target.Key); n != 0 || len(dispatcher.open) != 0 {
		t.Errorf("%d prompts are pending, %d placements open", n, len(dispatcher.open))
	}
}

// After the end of an answer, neither the prompt nor its placement may count any more at
// the engine.
func TestEndOfAnswerFreesEngine(t *testing.T) {
	c := newDispatchCluster(t, 2, 1)
	for _, d := range c.daemons {
		p := c.place(t, d, "p")
		d.AnswerStarted(&p, &forward.AnswerInfo{Load: &fleet.Load{Running: 1, Slots: 16}})
		d.AttemptEnded(&p, forward.AttemptEnd{Whole: true})
	}
	for _, d := range c.daemons {
		if n := d.state.view.PendingPrompts("A@0"); n != 0 || len(d.open) != 0 {
			t.Errorf("%s: %d prompts are pending, %d placements open", d.self.Name, n, len(d.open))
		}
	}
}

// The dispatcher cannot reach any endpoint and answers that there is none. The daemon that
// sent the request may reach them and must place the prompt itself.
func TestDispatcherWithoutEndpointsIsIgnored(t *testing.T) {
	c := newDispatchCluster(t, 3, 4)
	to, _ := c.daemons[0].dispatcher(c.daemons[0].groupOf(c.longPrompt(c.daemons[0], "p")))
	var client *dispatchPlacer
	for _, d := range c.daemons {
		if d.self == to {
			for key := range d.state.roster.All() {
				d.state.roster.Suspend(time.Now(), key, time.Minute)
			}
		} else {
			client = d
		}
	}
	if p := c.place(t, client, "p"); p.Notes.Dispatcher != "" {
		t.Errorf("the prompt was placed by %s", p.Notes.Dispatcher)
	}
}

// Malformed messages and messages for unknown placements must not stop the daemon.
func TestMalformedAndUnknownMessagesAreIgnored(t *testing.T) {
	c := newDispatchCluster(t, 2, 1)
	d := c.daemons[0]
	for _, m := range []string{"", "\x21", "\x21{", "\x22{\"id\":4}", "\x22{\"id\":5,\"place\":{}}", "\x23{\"id\":9,\"info\":{}}", "\x24{\"id\":9}", "\x21{\"id\":1,\"route\":\"none\",\"service\":\"none\"}"} {
		d.receive("b", []byte(m))
	}
	if d.receive("b", []byte{kindPlace - 1}) || !d.receive("b", []byte{kindEnded}) {
		t.Error("a message of another kind is accepted, or one of its own kinds is not")
	}
	if _, err := d.Place(context.Background(), c.longPrompt(d, "p")); err != nil {
		t.Error(err)
	}
}

// The rollout leader is about to have an engine load weights. A daemon that is informed of it
// half a second later may send the engine a prompt meanwhile, which the engine refuses. If
// the route allows one attempt, the request fails.
func TestWeightLoadsAreAnnouncedAtOnce(t *testing.T) {
	c := newDispatchCluster(t, 3, 4)
	loading := weights.EngineUpdate{Engine: "B@0", Model: "m", Version: 2, Loading: true}
	c.daemons[0].sendLoads([]weights.EngineUpdate{loading})
	for _, d := range c.daemons[1:] {
		if !d.state.roster.Unusable(time.Now(), "B@0") || d.state.roster.Unusable(time.Now(), "A@0") {
			t.Errorf("%s: the engine that loads weights is usable, or another is not", d.self.Name)
		}
	}
	done := loading
	done.Loading = false
	c.daemons[0].sendLoads([]weights.EngineUpdate{done})
	for _, d := range c.daemons[1:] {
		if d.state.roster.Unusable(time.Now(), "B@0") || d.state.roster.Find("B@0").Versions["m"] != 2 {
			t.Errorf("%s: the engine that has loaded its weights is not usable or has the old version", d.self.Name)
		}
	}
}

// The dispatcher cannot reach the store and does not know that new weights were named
// before the time bound. A daemon that knows must not follow a decision of the dispatcher
// for the old weights.
func TestVersionBoundAppliesToDispatcherDecisions(t *testing.T) {
	c := newDispatchCluster(t, 3, 4)
	to, _ := c.daemons[0].dispatcher(c.daemons[0].groupOf(c.longPrompt(c.daemons[0], "p")))
	for _, d := range c.daemons {
		if d.self == to {
			continue
		}
		d.state.named["m"] = versionHistory{{version: 2, since: d.clock() - time.Hour}}
		if p, err := d.Place(context.Background(), c.longPrompt(d, "p")); err == nil {
			t.Errorf("placed on version %d by %q", p.Out.Version, p.Notes.Dispatcher)
		}
		d.state.named["m"] = versionHistory{{version: 2, since: d.clock()}}
		p := c.place(t, d, "p")
		if left := time.Until(p.BeginBy); p.BeginBy.IsZero() || left > time.Minute {
			t.Errorf("the prompt may begin up to %v from now", left)
		}
	}
}

// BenchmarkDispatch measures the cost of a long prompt for both daemons together: the
// request to the dispatcher, the choice among 72 engines, the reply, and the messages that
// report the beginning and the end of the answer.
func BenchmarkDispatch(b *testing.B) {
	c := newDispatchCluster(b, 2, 72)
	to, _ := c.daemons[0].dispatcher(c.daemons[0].groupOf(c.longPrompt(c.daemons[0], "p")))
	client := c.daemons[0]
	if to == client.self {
		client = c.daemons[1]
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p, err := client.Place(context.Background(), c.longPrompt(client, string(rune('a'+i%500))))
		if err != nil {
			b.Fatal(err)
		}
		client.AnswerStarted(&p, &forward.AnswerInfo{Load: &fleet.Load{Running: 1, Slots: 16}})
		client.AttemptEnded(&p, forward.AttemptEnd{Whole: true})
	}
}
