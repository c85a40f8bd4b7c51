package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/weights"
)

// Times and bounds of dispatching.
const (
	// dispatchTime is how long the dispatcher's answer is waited for. After it the
	// daemon places the prompt itself.
	dispatchTime = 30 * time.Millisecond
	// dispatchAway is how long a dispatcher that did not answer is passed over.
	dispatchAway = 2 * time.Second
	// dispatchedEngines is the number of engines for which one dispatcher is enough.
	dispatchedEngines = 256
	// openSlack is how much longer than expected the beginning of an answer may take
	// before a placement is taken to be over. The message of its end was lost then.
	openSlack = time.Second
	// toldDaemons bounds the daemons that are told of loads, those that may dispatch
	// first. The others hear of them with the lease.
	toldDaemons = 128
	// toldNews bounds the engines in one such message.
	toldNews = 8
	// dispatchTries is how many daemons may be passed over before a daemon takes
	// itself to be cut off.
	dispatchTries = 3
)

// dispatch implements forward.Placer. It has the long prompts of a model placed by
// one daemon, the dispatcher, which therefore knows of all of them.
//
// The pattern: dozens of daemons each place a few long prompts a second. None knows
// of the others' until an engine tells its load, and an engine reads one prompt at a
// time for a tenth of a second and more. Two prompts that meet are late while other
// engines idle. The dispatcher is only a better place to decide: any daemon may be
// asked, and one that gets no answer decides by itself.
type dispatch struct {
	*placer
	me    Neighbour
	s     *state
	clock func() time.Duration
	log   *logging.Logger
	send  func(to string, data []byte)

	mu      sync.Mutex
	daemons []Neighbour
	away    map[string]time.Duration // address → passed over until
	waiting map[uint64]chan placedMessage
	open    map[dispatched]*openPlacement // placed for other daemons
	heard   map[fleet.EndpointID]heardLoad
}

// dispatched names a placement for another daemon.
type dispatched struct {
	from string
	id   uint64
}

type openPlacement struct {
	forward.Placement
	until time.Time
}

func newDispatch(me Neighbour, s *state, p *placer, clock func() time.Duration, log *logging.Logger, send func(string, []byte)) *dispatch {
	return &dispatch{
		placer: p, me: me, s: s, clock: clock, log: log, send: send,
		away: map[string]time.Duration{}, waiting: map[uint64]chan placedMessage{}, open: map[dispatched]*openPlacement{}, heard: map[fleet.EndpointID]heardLoad{},
	}
}

// tellLoads tells other daemons of engines that are about to take new weights, or have
// them. The lease tells it as well, up to a second later, and a prompt that meets an
// engine which loads is turned away.
func (d *dispatch) tellLoads(news []weights.News) {
	d.mu.Lock()
	all := d.daemons[:min(len(d.daemons), toldDaemons)]
	d.mu.Unlock()
	for part := range slices.Chunk(news, toldNews) {
		for _, n := range all {
			if n.Name != d.me.Name {
				d.post(n.Address, kindLoads, part)
			}
		}
	}
}

// setDaemons takes the list of all daemons.
func (d *dispatch) setDaemons(all []Neighbour) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.daemons = slices.DeleteFunc(slices.Clone(all), func(n Neighbour) bool { return n.Address == "" })
	slices.SortFunc(d.daemons, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
}

// dispatcher is the daemon that places the prompts of a group; false: this one does.
func (d *dispatch) dispatcher(group string) (Neighbour, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.daemons) < 2 {
		return Neighbour{}, false
	}
	now := d.clock()
	var best Neighbour
	passed := 0
	for _, n := range d.daemons {
		if until, ok := d.away[n.Address]; ok && now < until {
			passed++
			continue
		}
		if best.Name == "" || dispatchesBefore(group, n, best) {
			best = n
		}
	}
	return best, passed < dispatchTries && best.Name != ""
}

// dispatchesBefore orders the daemons: those with more processor first, and then by a
// hash, so that groups are spread and all daemons come to the same order.
func dispatchesBefore(group string, a, b Neighbour) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	rank := func(n Neighbour) uint64 { return hash.Text("dispatch/" + group + "/" + n.Name) }
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) < 0
}

// groupOf names the prompts that one dispatcher places.
func (d *dispatch) groupOf(w *forward.PlacementRequest) string {
	d.s.mu.Lock()
	engines := d.s.roster.Engines(w.Service.Name, w.In.Model)
	d.s.mu.Unlock()
	group := w.Service.Name + "/" + w.In.Model
	if groups := dispatchGroups(engines); groups > 1 && len(w.In.Parts) > 0 {
		group += "/" + string(rune('a'+hash.Text(w.In.Parts[0].ID)%uint64(groups)))
	}
	return group
}

// dispatchGroups is how many groups the prompts of a model with so many engines form.
func dispatchGroups(engines int) int {
	return max(1, (engines+dispatchedEngines-1)/dispatchedEngines)
}

// Place implements forward.Placer.
func (d *dispatch) Place(ctx context.Context, w *forward.PlacementRequest) (forward.Placement, error) {
	if w.Service.Engine == nil || w.In.Model == "" {
		return d.placer.Place(ctx, w)
	}
	d.arrived(time.Now(), w)
	if laneOf(w.In.PromptTokens) != laneLong {
		return d.placer.Place(ctx, w)
	}
	to, some := d.dispatcher(d.groupOf(w))
	switch {
	case !some:
		return d.placer.Place(ctx, w)
	case to == d.me:
		return d.placeKnown(time.Now(), w)
	}
	p, ok, err := d.askFor(ctx, to, w)
	if !ok {
		return d.placer.Place(ctx, w)
	}
	return p, err
}

// askFor asks a dispatcher for a place. ok is false if it gave no answer that can be
// used.
func (d *dispatch) askFor(ctx context.Context, to Neighbour, w *forward.PlacementRequest) (p forward.Placement, ok bool, err error) {
	m := placeMessage{
		ID: d.lastID.Add(1), Route: w.Route.Name, Service: w.Service.Name, In: *w.In,
		LeftMs: time.Until(w.Deadline).Milliseconds(), Avoid: w.Excluded, Resuming: w.Resuming,
	}
	m.In.APIKey = ""
	m.Loads = d.takeHeard(time.Now())
	if w.Organisation != nil {
		m.Org, m.Isolated = w.Organisation.Name, w.Organisation.Isolated
	}
	answer := make(chan placedMessage, 1)
	d.mu.Lock()
	d.waiting[m.ID] = answer
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.waiting, m.ID)
		d.mu.Unlock()
	}()
	if !d.post(to.Address, kindPlace, m) {
		return p, false, nil
	}
	timer := time.NewTimer(dispatchTime)
	defer timer.Stop()
	select {
	case got := <-answer:
		return d.usable(to, w, &got)
	case <-timer.C:
		d.passOver(to)
	case <-ctx.Done():
	}
	return p, false, nil
}

// usable takes a dispatcher's answer, if this daemon knows the place as well.
func (d *dispatch) usable(from Neighbour, w *forward.PlacementRequest, got *placedMessage) (forward.Placement, bool, error) {
	switch {
	case got.Refused != nil && (got.Refused.Code == codeNoEndpoint || got.Refused.Code == codeAtLimits):
		// The dispatcher may be cut off from the endpoints, or from the daemon that parts
		// a limit; this daemon may not be.
		return forward.Placement{}, false, nil
	case got.Refused != nil:
		return forward.Placement{}, true, got.Refused
	case got.Place == nil:
		return forward.Placement{}, false, nil
	}
	p := *got.Place
	left := d.leftAt(w, &p)
	if got.LeftMs > 0 {
		left = min(left, time.Duration(got.LeftMs)*time.Millisecond)
	}
	if left <= beginLeast || slices.Contains(w.Excluded, p.Target.Key) {
		d.post(from.Address, kindEnded, endedMessage{ID: got.ID, End: forward.AttemptEnd{Left: true}})
		return forward.Placement{}, false, nil
	}
	p.BeginBy = time.Time{}
	if left != noBound {
		p.BeginBy = time.Now().Add(left)
	}
	p.ID, p.Notes.Dispatcher = got.ID, from.Address
	return p, true, nil
}

// leftAt is how long a prompt may wait at a place before it begins, by what this daemon
// knows; 0: it may not go there.
//
// A dispatcher that has lost the store knows neither new weights nor that an endpoint
// leaves. By its word alone prompts would begin on weights that are out of use.
func (d *dispatch) leftAt(w *forward.PlacementRequest, p *forward.Placement) time.Duration {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	e := d.s.roster.Find(p.Target.Key)
	if e == nil || e.ID != p.Target.ID || e.Service != w.Service.Name || d.s.roster.Unusable(time.Now(), p.Target.Key) {
		return 0
	}
	return d.s.named[w.In.Model].left(p.Out.Version, d.placer.clock(), d.old)
}

func (d *dispatch) passOver(n Neighbour) {
	d.mu.Lock()
	d.away[n.Address] = d.clock() + dispatchAway
	d.mu.Unlock()
	d.log.Info("Dispatcher gave no answer.", "dispatcher", n.Name, "waited_ms", dispatchTime.Milliseconds())
}

// AnswerStarted implements forward.Placer.
func (d *dispatch) AnswerStarted(p *forward.Placement, info *forward.AnswerInfo) {
	if info.Load != nil && p.Out.Version != 0 {
		d.hear(p.Target.Key, info.Load)
	}
	if p.Notes.Dispatcher != "" {
		d.post(p.Notes.Dispatcher, kindAnswered, answeredMessage{ID: p.ID, Info: *info})
	}
	d.placer.Answered(p, info)
}

// AttemptEnded implements forward.Placer.
func (d *dispatch) AttemptEnded(p *forward.Placement, end forward.AttemptEnd) {
	if p.Notes.Dispatcher != "" {
		d.post(p.Notes.Dispatcher, kindEnded, endedMessage{ID: p.ID, End: end})
	}
	d.placer.Ended(p, end)
}

// expire forgets placements whose end was never told.
func (d *dispatch) expire(now time.Time) {
	d.mu.Lock()
	var over []*openPlacement
	for key, o := range d.open {
		if now.After(o.until) {
			over = append(over, o)
			delete(d.open, key)
		}
	}
	d.mu.Unlock()
	for _, o := range over {
		d.placer.Ended(&o.Placement, forward.AttemptEnd{Left: true})
	}
}
