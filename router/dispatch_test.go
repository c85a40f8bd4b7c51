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

// dispatchWorld is some daemons before some engines, with messages that arrive at once.
type dispatchWorld struct {
	all  []*dispatchPlacer
	lost map[string]bool // addresses that get no messages
}

// silentEngines tell nothing of their load.
type silentEngines struct{ weights.Engines }

func (silentEngines) Report(context.Context, weights.Target, string) (weights.Report, error) {
	return weights.Report{}, errors.New("no answer")
}

func newDispatchWorld(t testing.TB, daemons, engines int) *dispatchWorld {
	t.Helper()
	w := &dispatchWorld{lost: map[string]bool{}}
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
		d := newDispatchPlacer(list[i], s, newPlacer(s, set, silentEngines{}, clock, rng), clock, quiet(), func(to string, data []byte) { w.send(from, to, data) })
		d.setDaemons(list)
		w.all = append(w.all, d)
	}
	return w
}

func (w *dispatchWorld) send(from, to string, data []byte) {
	if w.lost[from] || w.lost[to] {
		return
	}
	for _, d := range w.all {
		if d.self.Address == to {
			d.receive(from, data)
		}
	}
}

// work is a long prompt with the given shared part.
func (w *dispatchWorld) work(d *dispatchPlacer, part string) *forward.PlacementRequest {
	t := d.state.table.Load()
	return &forward.PlacementRequest{
		Route: &t.Routes[0], Service: t.Services["s"], Table: t, Arrived: time.Now(), Deadline: time.Now().Add(6 * time.Second),
		In: &forward.RequestInfo{Model: "m", PromptTokens: 17_000, LastEvent: forward.NoEvent, Parts: []prefix.Segment{{ID: part, Tokens: 13_000}, {ID: "own", Tokens: 4000}}},
	}
}

func (w *dispatchWorld) place(t *testing.T, d *dispatchPlacer, part string) forward.Placement {
	t.Helper()
	p, err := d.Place(context.Background(), w.work(d, part))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Eight daemons get a long prompt each at the same moment, and there are ten engines
// for long prompts. None has heard of the others', so that each chooses by itself: some prompts
// meet at one engine and are late while others idle.
func TestPromptsOfManyDaemonsDoNotMeet(t *testing.T) {
	w := newDispatchWorld(t, 8, 12)
	met := map[fleet.EndpointID]int{}
	for i, d := range w.all {
		met[w.place(t, d, string(rune('a'+i))).Target.Key]++
	}
	for key, n := range met {
		if n > 1 {
			t.Errorf("%d prompts meet at %s", n, key)
		}
	}
}

// Two daemons get prompts with the same shared part, one after the other. The second
// goes to the engine that reads it, or fetches it from there once it is read.
func TestSharedPartIsReadOnce(t *testing.T) {
	w := newDispatchWorld(t, 6, 12)
	first := w.place(t, w.all[0], "part")
	second := w.place(t, w.all[3], "part")
	if second.Target.Key != first.Target.Key && second.Out.FetchFrom != first.Target.Address {
		t.Errorf("first at %s, second at %s, fetched from %q", first.Target.Key, second.Target.Key, second.Out.FetchFrom)
	}
}

// The daemon that places prompts is dead or cut off. Callers must not wait for it, and
// the next daemon takes its place.
func TestLostDispatcherIsPassedOver(t *testing.T) {
	w := newDispatchWorld(t, 6, 12)
	asker := w.all[0]
	first, _ := asker.dispatcher(asker.groupOf(w.work(asker, "p")))
	if first == asker.self {
		asker = w.all[1]
	}
	w.lost[first.Address] = true
	began := time.Now()
	if p := w.place(t, asker, "p"); p.Notes.Dispatcher != "" {
		t.Errorf("placed by %s", p.Notes.Dispatcher)
	}
	if took := time.Since(began); took > 10*dispatchTimeout {
		t.Errorf("placed after %v", took)
	}
	next, _ := asker.dispatcher(asker.groupOf(w.work(asker, "p")))
	if next.Name == first.Name {
		t.Error("asked again at once")
	}
}

// The message of an answer's end is lost. The dispatcher would count the prompt at its
// engine for ever, and turn callers away from a fleet that idles.
func TestPlacementWithoutWordEnds(t *testing.T) {
	w := newDispatchWorld(t, 2, 1)
	to, _ := w.all[0].dispatcher(w.all[0].groupOf(w.work(w.all[0], "p")))
	asker, dispatcher := w.all[0], w.all[1]
	if to == asker.self {
		asker, dispatcher = dispatcher, asker
	}
	p := w.place(t, asker, "p")
	if n := dispatcher.state.view.PendingPrompts(p.Target.Key); n != 1 {
		t.Fatalf("%d prompts are unread", n)
	}
	dispatcher.expire(time.Now().Add(p.Wait + beginTimeoutSlack + time.Second))
	if n := dispatcher.state.view.PendingPrompts(p.Target.Key); n != 0 || len(dispatcher.open) != 0 {
		t.Errorf("%d prompts are unread, %d placements open", n, len(dispatcher.open))
	}
}

// A prompt was answered, and its engine is free for the next at once.
func TestEndOfAnAnswerFreesItsEngine(t *testing.T) {
	w := newDispatchWorld(t, 2, 1)
	for _, d := range w.all {
		p := w.place(t, d, "p")
		d.AnswerStarted(&p, &forward.AnswerInfo{Load: &fleet.Load{Running: 1, Slots: 16}})
		d.AttemptEnded(&p, forward.AttemptEnd{Whole: true})
	}
	for _, d := range w.all {
		if n := d.state.view.PendingPrompts("A@0"); n != 0 || len(d.open) != 0 {
			t.Errorf("%s: %d prompts are unread, %d placements open", d.self.Name, n, len(d.open))
		}
	}
}

// The dispatcher is cut off from the endpoints, and says that there is none. The daemon
// that asked may reach them, and places the prompt itself.
func TestDispatcherWithoutEndpointsDecidesNothing(t *testing.T) {
	w := newDispatchWorld(t, 3, 4)
	to, _ := w.all[0].dispatcher(w.all[0].groupOf(w.work(w.all[0], "p")))
	var asker *dispatchPlacer
	for _, d := range w.all {
		if d.self == to {
			for key := range d.state.roster.All() {
				d.state.roster.Suspend(time.Now(), key, time.Minute)
			}
		} else {
			asker = d
		}
	}
	if p := w.place(t, asker, "p"); p.Notes.Dispatcher != "" {
		t.Errorf("placed by %s", p.Notes.Dispatcher)
	}
}

// Something that is no message comes to the port, and messages of placements that are
// not known. Neither stops the daemon.
func TestStrayMessagesAreIgnored(t *testing.T) {
	w := newDispatchWorld(t, 2, 1)
	d := w.all[0]
	for _, m := range []string{"", "\x21", "\x21{", "\x22{\"id\":4}", "\x22{\"id\":5,\"place\":{}}", "\x23{\"id\":9,\"info\":{}}", "\x24{\"id\":9}", "\x21{\"id\":1,\"route\":\"none\",\"service\":\"none\"}"} {
		d.receive("b", []byte(m))
	}
	if d.receive("b", []byte{kindPlace - 1}) || !d.receive("b", []byte{kindEnded}) {
		t.Error("kinds of message")
	}
	if _, err := d.Place(context.Background(), w.work(d, "p")); err != nil {
		t.Error(err)
	}
}

// The daemon that gives orders is about to order an engine. Another daemon that hears of
// it half a second later sends it a prompt meanwhile, which the engine turns away; the
// route allows one attempt, and the caller gets nothing.
func TestLoadsAreToldAtOnce(t *testing.T) {
	w := newDispatchWorld(t, 3, 4)
	loading := weights.EngineUpdate{Engine: "B@0", Model: "m", Version: 2, Loading: true}
	w.all[0].sendLoads([]weights.EngineUpdate{loading})
	for _, d := range w.all[1:] {
		if !d.state.roster.Unusable(time.Now(), "B@0") || d.state.roster.Unusable(time.Now(), "A@0") {
			t.Errorf("%s: the engine that loads is used, or another is not", d.self.Name)
		}
	}
	done := loading
	done.Loading = false
	w.all[0].sendLoads([]weights.EngineUpdate{done})
	for _, d := range w.all[1:] {
		if d.state.roster.Unusable(time.Now(), "B@0") || d.state.roster.Find("B@0").Versions["m"] != 2 {
			t.Errorf("%s: the engine that has its weights is not used", d.self.Name)
		}
	}
}

// The dispatcher has lost the store and does not know that new weights were named twenty
// seconds ago. A daemon that knows must not send a prompt to the old ones by its word.
func TestDispatcherThatLostTheStoreSendsNobodyToOldWeights(t *testing.T) {
	w := newDispatchWorld(t, 3, 4)
	to, _ := w.all[0].dispatcher(w.all[0].groupOf(w.work(w.all[0], "p")))
	for _, d := range w.all {
		if d.self == to {
			continue
		}
		d.state.named["m"] = versionHistory{{version: 2, since: d.clock() - time.Hour}}
		if p, err := d.Place(context.Background(), w.work(d, "p")); err == nil {
			t.Errorf("placed on version %d by %q", p.Out.Version, p.Notes.Dispatcher)
		}
		d.state.named["m"] = versionHistory{{version: 2, since: d.clock()}}
		p := w.place(t, d, "p")
		if left := time.Until(p.BeginBy); p.BeginBy.IsZero() || left > time.Minute {
			t.Errorf("the prompt may begin until %v from now", left)
		}
	}
}

// What a long prompt costs both daemons together: the question, the choice among 72
// engines, the answer, and the messages of its beginning and end.
func BenchmarkDispatch(b *testing.B) {
	w := newDispatchWorld(b, 2, 72)
	to, _ := w.all[0].dispatcher(w.all[0].groupOf(w.work(w.all[0], "p")))
	asker := w.all[0]
	if to == asker.self {
		asker = w.all[1]
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p, err := asker.Place(context.Background(), w.work(asker, string(rune('a'+i%500))))
		if err != nil {
			b.Fatal(err)
		}
		asker.AnswerStarted(&p, &forward.AnswerInfo{Load: &fleet.Load{Running: 1, Slots: 16}})
		asker.AttemptEnded(&p, forward.AttemptEnd{Whole: true})
	}
}
