package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
)

// Times and bounds of the fleet's upkeep.
const (
	fleetTick    = 200 * time.Millisecond
	probesAtOnce = 8
	newsWithin   = 10 * time.Second
	newsLimit    = 32
)

// fleetView is what this daemon believes of the endpoints: the platform's list
// joined with what endpoints say, their health, and what placement has learnt.
type fleetView struct {
	daemon *Daemon
	client *engine.Client
	log    *logging.Logger
	now    func() time.Time

	placement *placement.Shared

	mu       sync.Mutex // guards the fields below
	members  *fleet.Membership
	manifest *manifest.Manifest
	listed   bool // the platform's list has been read once
	pools    map[string]poolState
	gates    map[fleet.EndpointID]placement.Gate
	places   map[fleet.EndpointID]fleet.Endpoint

	healthMu sync.Mutex
	health   *health.Tracker

	cutters *sync.Pool // of *prefix.Cutter, guarded by mu
	ids     requestIDs
}

// poolState remembers which members a pool was last given.
type poolState struct {
	members []fleet.Endpoint
	slots   int
}

func newFleetView(d *Daemon, client *engine.Client) *fleetView {
	s := d.o.Settings
	v := &fleetView{
		daemon:  d,
		client:  client,
		log:     d.o.Logs.For(logging.PartFleet),
		now:     d.o.Now,
		members: fleet.NewMembership(fleet.MembershipOptions{}),
		pools:   map[string]poolState{},
		gates:   map[fleet.EndpointID]placement.Gate{},
		places:  map[fleet.EndpointID]fleet.Endpoint{},
		health:  health.New(health.Options{Rand: newRand(s.Daemon.ID, d.life)}),
	}
	v.placement = placement.NewShared(placement.Options{
		Zone:        s.Daemon.Zone,
		PrefillRate: s.Routing.RunnerTokens,
		MaxPrefixes: s.Routing.Prefixes,
	})
	v.cutters = &sync.Pool{New: func() any { return prefix.NewCutter(prefix.Options{}) }}
	return v
}

// setManifest takes the manifest in force.
func (v *fleetView) setManifest(m *manifest.Manifest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.manifest = m
	options := prefix.Options{PieceTokens: m.Fleet.PieceTokens, BytesPerToken: m.Fleet.BytesPerToken}
	v.cutters = &sync.Pool{New: func() any { return prefix.NewCutter(options) }}
	v.refresh()
}

// run keeps the view up to date until ctx ends.
func (v *fleetView) run(ctx context.Context) error {
	go v.follow(ctx)
	ticker := time.NewTicker(fleetTick)
	defer ticker.Stop()
	for {
		v.tick(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// follow reads the platform's list. A failed read changes nothing: endpoints
// tell for themselves whether they serve.
func (v *fleetView) follow(ctx context.Context) {
	ticker := time.NewTicker(v.daemon.o.Settings.Platform.ListInterval)
	defer ticker.Stop()
	for {
		list, err := v.daemon.o.VMs.Endpoints(ctx)
		if err != nil {
			v.log.Debug("List of VMs cannot be read.", "error", err.Error())
		} else {
			v.setList(list)
		}
		v.daemon.readDaemons(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *fleetView) setList(list []fleet.Endpoint) {
	now := v.now()
	v.healthMu.Lock()
	v.health.Sync(now, list)
	v.healthMu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = v.listed || len(list) > 0
	v.told(v.members.SetList(now, list))
	v.refresh()
}

// told logs changes of the membership. The caller holds the lock.
func (v *fleetView) told(changes []fleet.Change) {
	for _, c := range changes {
		v.log.Info("Endpoint has changed.", "endpoint", string(c.Endpoint), "change", string(c.Kind))
	}
}

func (v *fleetView) tick(ctx context.Context) {
	now := v.now()
	v.placement.Expire(now)
	v.mu.Lock()
	v.told(v.members.Expire(now))
	probes := v.members.Probes(now, probesAtOnce)
	for i := range probes {
		v.members.Asked(now, probes[i].ID)
	}
	v.refresh()
	v.mu.Unlock()
	for _, e := range probes {
		go v.probe(ctx, e)
	}
}

// probe asks an endpoint for its load, when no answer has told it lately.
func (v *fleetView) probe(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, fleet.DefaultProbeAfter)
	defer cancel()
	load, err := readLoad(ctx, v.client, e)
	if err != nil {
		v.refused(e.ID)
		return
	}
	v.reported(e.ID, load)
}

// reported takes what an endpoint said of itself just now.
func (v *fleetView) reported(id fleet.EndpointID, l fleet.Load) {
	now := v.now()
	l.At = now
	v.mu.Lock()
	v.told(v.members.Reported(now, id, l))
	v.mu.Unlock()
	v.placement.LoadReported(id, l)
	v.healthMu.Lock()
	v.health.Report(now, id, l)
	v.healthMu.Unlock()
}

func (v *fleetView) refused(id fleet.EndpointID) {
	now := v.now()
	v.mu.Lock()
	v.members.Refused(now, id)
	v.mu.Unlock()
	v.healthMu.Lock()
	v.health.Failure(now, id, 0)
	v.healthMu.Unlock()
}

// refresh brings pools and gates in line with the membership. The caller holds
// the lock.
func (v *fleetView) refresh() {
	if v.manifest == nil {
		return
	}
	now := v.now()
	all := v.members.All(now)
	v.refreshGates(now, all)
	for i := range v.manifest.Models {
		id := v.manifest.Models[i].ID
		v.setPool(modelPool(id), all, func(c *manifest.Class) bool { return serves(c, id) })
	}
	for i := range v.manifest.Services {
		class := v.manifest.Services[i].Class
		v.setPool(classPool(class), all, func(c *manifest.Class) bool { return c.ID == class })
	}
	v.setStore(all)
}

func serves(c *manifest.Class, model string) bool {
	if c.Kind != fleet.KindModel {
		return false
	}
	for _, m := range c.Models {
		if m == model {
			return true
		}
	}
	return false
}

func modelPool(model string) string { return "model/" + model }
func classPool(class string) string { return "class/" + class }

// setPool hands placement the members of a pool when they have changed.
func (v *fleetView) setPool(name string, all []fleet.Member, in func(*manifest.Class) bool) {
	classes := map[string]bool{}
	for i := range v.manifest.Classes {
		c := &v.manifest.Classes[i]
		classes[c.ID] = in(c)
	}
	next := poolState{}
	for i := range all {
		if !classes[all[i].Class] {
			continue
		}
		next.members = append(next.members, all[i].Endpoint)
		if !all[i].Leaving {
			next.slots += max(all[i].Load.Slots, v.daemon.o.Settings.Routing.RunnerSlots)
		}
	}
	before := v.pools[name]
	v.pools[name] = next
	if !sameMembers(before.members, next.members) {
		v.placement.SetPool(name, next.members)
	}
}

func sameMembers(a, b []fleet.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// refreshGates closes the gates of endpoints that leave or fail.
func (v *fleetView) refreshGates(now time.Time, all []fleet.Member) {
	clear(v.places)
	usable := map[fleet.EndpointID]bool{}
	for _, m := range v.members.Usable(now) {
		usable[m.ID] = true
	}
	v.healthMu.Lock()
	bad := v.health.AppendUnusable(now, nil)
	v.healthMu.Unlock()
	failing := make(map[fleet.EndpointID]bool, len(bad))
	for _, id := range bad {
		failing[id] = true
	}
	for i := range all {
		m := &all[i]
		v.places[m.ID] = m.Endpoint
		gate := placement.GateOpen
		switch {
		case m.Leaving:
			gate = placement.GateDraining
		case failing[m.ID] || !usable[m.ID]:
			gate = placement.GateEjected
		}
		if before, ok := v.gates[m.ID]; !ok || before != gate {
			v.gates[m.ID] = gate
			v.placement.SetGate(m.ID, gate)
		}
	}
	for id := range v.gates {
		if _, ok := v.places[id]; !ok {
			delete(v.gates, id)
		}
	}
}

// setStore names the KV store to import from: the first usable one of the own
// zone, or else of any.
func (v *fleetView) setStore(all []fleet.Member) {
	var chosen fleet.EndpointID
	for i := range all {
		m := &all[i]
		if m.Leaving || m.Doubtful || !v.isStore(m.Class) {
			continue
		}
		if chosen == "" || m.Zone == v.daemon.o.Settings.Daemon.Zone {
			chosen = m.ID
		}
	}
	v.placement.SetStore(chosen)
}

func (v *fleetView) isStore(class string) bool {
	for i := range v.manifest.Classes {
		if v.manifest.Classes[i].ID == class {
			return v.manifest.Classes[i].Kind == fleet.KindStore
		}
	}
	return false
}

// news is what the neighbours are told of endpoints.
func (v *fleetView) news(now time.Time) []fleet.Evidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.News(now, newsWithin, newsLimit)
}

// hearsay takes what a neighbour heard of endpoints.
func (v *fleetView) hearsay(now time.Time, es []fleet.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told(v.members.Hearsay(now, es))
}

// slots returns the batch slots of a pool.
func (v *fleetView) slots(pool string) (endpoints, slots int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.pools[pool]
	return len(p.members), p.slots
}

// known tells whether there is any endpoint to serve from.
func (v *fleetView) known() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.places) > 0
}

// priorityOf keeps a value from outside within the table of priorities.
func priorityOf(p contract.Priority) contract.Priority {
	return min(max(p, 0), contract.PriorityCount-1)
}
