package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/engine"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
	"github.com/merlindock/merlindock/logging"
	"github.com/merlindock/merlindock/manifest"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/rollout"
)

// Times and bounds of the fleet's upkeep.
const (
	fleetTick    = 200 * time.Millisecond
	tickPerEach  = 250 * time.Microsecond // added for each endpoint
	probesAtOnce = 8
	noticeEvery  = 100 * time.Millisecond
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
	dirty    bool // pools must be worked out anew
	pools    map[string][]fleet.Endpoint
	capacity map[string]capacity // by model
	shares   map[string][]rollout.Share
	weights  map[fleet.EndpointID][]fleet.Weights
	gates    map[fleet.EndpointID]placement.Gate
	places   map[fleet.EndpointID]fleet.Endpoint

	healthMu sync.Mutex
	health   *health.Tracker

	cutters *sync.Pool // of *prefix.Cutter, guarded by mu
	ids     requestIDs
}

// capacity is what the runners of a model can take.
type capacity struct {
	endpoints int
	slots     int
}

func newFleetView(d *Daemon, client *engine.Client) *fleetView {
	s := d.o.Settings
	v := &fleetView{
		daemon:  d,
		client:  client,
		log:     d.o.Logs.For(logging.PartFleet),
		now:     d.o.Now,
		members: fleet.NewMembership(fleet.MembershipOptions{}),
		pools:   map[string][]fleet.Endpoint{},
		gates:   map[fleet.EndpointID]placement.Gate{},
		weights: map[fleet.EndpointID][]fleet.Weights{},
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
	v.dirty = true
	options := prefix.Options{PieceTokens: m.Fleet.PieceTokens, BytesPerToken: m.Fleet.BytesPerToken}
	v.cutters = &sync.Pool{New: func() any { return prefix.NewCutter(options) }}
	v.refresh()
}

// run keeps the view up to date until ctx ends.
func (v *fleetView) run(ctx context.Context) error {
	go v.follow(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	notices := time.NewTicker(noticeEvery)
	defer notices.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-notices.C:
			v.notify()
			continue
		case <-timer.C:
		}
		v.tick(ctx)
		timer.Reset(v.tickInterval())
	}
}

// tickInterval grows with the fleet, so that the upkeep of thousands of
// endpoints stays a small part of a core. Endpoints that leave do not wait for
// it: their own word and the list's close the gate at once.
func (v *fleetView) tickInterval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fleetTick + time.Duration(v.members.Len())*tickPerEach
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

// told logs changes of the membership and has the pools worked out anew. The
// caller holds the lock.
func (v *fleetView) told(changes []fleet.Change) {
	v.dirty = v.dirty || len(changes) > 0
	for _, c := range changes {
		if c.Kind == fleet.ChangeLeaving || c.Kind == fleet.ChangeRestarted {
			v.daemon.peers.AnnounceNews()
		}
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
	loads := v.loads(now)
	v.mu.Unlock()
	for model, l := range loads {
		v.daemon.admission.setLoad(model, l.requests, l.slots)
	}
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
	v.healthMu.Lock()
	v.health.Probed(v.now(), e.ID, load.Incarnation)
	v.healthMu.Unlock()
}

// reported takes what an endpoint said of itself just now.
func (v *fleetView) reported(id fleet.EndpointID, l fleet.Load) {
	now := v.now()
	l.At = now
	v.mu.Lock()
	v.told(v.members.Reported(now, id, l))
	if !slices.Equal(v.weights[id], l.Weights) {
		v.weights[id] = l.Weights
		v.dirty = true
		v.refresh() // a request that was refused for it is bound again at once
	}
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
	if !v.dirty {
		return
	}
	v.dirty = false
	v.refreshPools(all)
	v.setStore(all)
}

// refreshPools works out which endpoints serve what. Leaving ones are in no
// pool; those that fail stay in theirs, so that they find their own prefixes
// again when they return.
func (v *fleetView) refreshPools(all []fleet.Member) {
	staying := make([]fleet.Member, 0, len(all))
	for i := range all {
		if !all[i].Leaving {
			staying = append(staying, all[i])
		}
	}
	v.capacity = map[string]capacity{}
	v.shares = map[string][]rollout.Share{}
	for i := range v.manifest.Models {
		model := v.manifest.Models[i].ID
		shares := rollout.Shares(v.manifest, model, staying)
		v.shares[model] = shares
		for _, s := range shares {
			v.setPool(modelPool(model, s.Version), s.Endpoints)
			c := v.capacity[model]
			c.endpoints += len(s.Endpoints)
			v.capacity[model] = c
		}
	}
	v.countSlots(staying)
	v.refreshServices(staying)
}

// countSlots adds up the batch slots behind each model.
func (v *fleetView) countSlots(staying []fleet.Member) {
	slots := make(map[fleet.EndpointID]int, len(staying))
	for i := range staying {
		m := &staying[i]
		slots[m.ID] = m.Load.Slots
		if m.Load.Slots == 0 {
			slots[m.ID] = v.daemon.o.Settings.Routing.RunnerSlots
		}
	}
	for model, shares := range v.shares {
		c := v.capacity[model]
		for _, s := range shares {
			for i := range s.Endpoints {
				c.slots += slots[s.Endpoints[i].ID]
			}
		}
		v.capacity[model] = c
	}
}

func (v *fleetView) refreshServices(staying []fleet.Member) {
	for i := range v.manifest.Services {
		class := v.manifest.Services[i].Class
		var members []fleet.Endpoint
		for j := range staying {
			if staying[j].Class == class {
				members = append(members, staying[j].Endpoint)
			}
		}
		v.setPool(classPool(class), members)
	}
}

// poolLoad is how full the endpoints of one model say they are.
type poolLoad struct {
	requests int
	slots    int
}

// loads adds up the load reports behind each model. The caller holds the lock.
func (v *fleetView) loads(now time.Time) map[string]poolLoad {
	reports := map[fleet.EndpointID]fleet.Load{}
	for _, m := range v.members.All(now) {
		reports[m.ID] = m.Load
	}
	sums := make(map[string]poolLoad, len(v.shares))
	for model, shares := range v.shares {
		sum := poolLoad{}
		for _, s := range shares {
			for i := range s.Endpoints {
				l := reports[s.Endpoints[i].ID]
				if l.Slots > 0 {
					sum.requests += l.Running + l.Waiting
					sum.slots += l.Slots
				}
			}
		}
		sums[model] = sum
	}
	return sums
}

func modelPool(model, version string) string { return "model/" + model + "@" + version }
func classPool(class string) string          { return "class/" + class }

// setPool hands placement the members of a pool when they have changed.
func (v *fleetView) setPool(name string, members []fleet.Endpoint) {
	before, known := v.pools[name]
	if known && slices.Equal(before, members) {
		return
	}
	v.pools[name] = members
	v.placement.SetPool(name, members)
}

// bind implements the gateway's choice of a weight version: while a rollout is
// under way some runners serve the old version and some the new one.
func (v *fleetView) bind(org contract.OrganisationID, t catalog.Target, firstLevel []byte) catalog.Target {
	d := xxhash.New()
	_, _ = d.WriteString(string(org) + "|" + t.Model + "|")
	_, _ = d.Write(firstLevel)
	v.mu.Lock()
	shares := v.shares[t.Model]
	v.mu.Unlock()
	if s, ok := rollout.Bind(shares, t.Version, d.Sum64()); ok {
		t.Version = s.Version
	}
	return t
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
			delete(v.weights, id)
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

// notify tells the other daemons where cold prefixes went, so that the next
// question on the same document follows to the same endpoint.
func (v *fleetView) notify() {
	notices := v.placement.Notices(nil)
	if v.daemon.peers.Notify(v.now(), notices) > 0 {
		v.daemon.metrics.Scope.Counter("notices_sent").Inc(int64(len(notices)))
	}
}

// notified takes another daemon's notices.
func (v *fleetView) notified(_ string, notices []placement.Notice) {
	v.placement.Heard(notices)
	v.daemon.metrics.Scope.Counter("notices_heard").Inc(int64(len(notices)))
}

// hearsay takes what a neighbour heard of endpoints.
func (v *fleetView) hearsay(now time.Time, es []fleet.Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told(v.members.Hearsay(now, es))
}

// capacityOf returns what the runners of a model can take.
func (v *fleetView) capacityOf(model string) capacity {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.capacity[model]
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
