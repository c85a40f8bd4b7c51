package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlindock/merlindock/catalog"
	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/rollout"
)

// endpointReport is what an endpoint last said of itself that pools and their capacity
// are worked out from.
type endpointReport struct {
	weights []fleet.Weights
	slots   int
}

// capacity is what the runners of a model can take.
type capacity struct {
	endpoints int
	slots     int
}

// refresh brings pools and gates in line with the membership. The caller holds
// the lock.
func (v *fleetView) refresh() {
	if v.manifest == nil {
		return
	}
	now := v.now()
	v.all = v.members.AppendAll(v.all[:0], now)
	v.usable = v.members.AppendUsable(v.usable[:0], now)
	v.refreshAvailability(now)
	if !v.poolsStale {
		return
	}
	v.poolsStale = false
	v.refreshPools(v.all)
	v.selectStore(v.all)
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
	v.versionGroups = map[string][]rollout.VersionGroup{}
	for i := range v.manifest.Models {
		model := v.manifest.Models[i].ID
		shares := rollout.GroupByVersion(v.manifest, model, staying)
		v.versionGroups[model] = shares
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
	for model, shares := range v.versionGroups {
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
func (v *fleetView) loads() map[string]poolLoad {
	sums := make(map[string]poolLoad, len(v.versionGroups))
	for model, shares := range v.versionGroups {
		sum := poolLoad{}
		for _, s := range shares {
			for i := range s.Endpoints {
				sum.add(v.memberByID(s.Endpoints[i].ID))
			}
		}
		sums[model] = sum
	}
	return sums
}

func (l *poolLoad) add(m *fleet.Member) {
	if m == nil || m.Load.Slots == 0 {
		return
	}
	l.requests += m.Load.Running + m.Load.Waiting
	l.slots += m.Load.Slots
}

// memberByID finds an endpoint in the newest copy of the membership, which is
// ordered by id. The caller holds the lock.
func (v *fleetView) memberByID(id fleet.EndpointID) *fleet.Member {
	i, found := slices.BinarySearchFunc(v.all, id, func(m fleet.Member, id fleet.EndpointID) int {
		return cmp.Compare(m.ID, id)
	})
	if !found {
		return nil
	}
	return &v.all[i]
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

// chooseVersion implements the gateway's choice of a weight version: while a rollout is
// under way some runners serve the old version and some the new one.
func (v *fleetView) chooseVersion(org contract.OrganisationID, t catalog.Target, firstLevel []byte) catalog.Target {
	d := xxhash.New()
	_, _ = d.WriteString(string(org) + "|" + t.Model + "|")
	_, _ = d.Write(firstLevel)
	v.mu.Lock()
	shares := v.versionGroups[t.Model]
	v.mu.Unlock()
	if s, ok := rollout.ChooseVersion(shares, t.Version, d.Sum64()); ok {
		t.Version = s.Version
	}
	return t
}

// refreshAvailability closes the gates of endpoints that leave or fail.
func (v *fleetView) refreshAvailability(now time.Time) {
	clear(v.endpoints)
	v.healthMu.Lock()
	v.failing = v.health.AppendUnusable(now, v.failing[:0])
	v.healthMu.Unlock()
	slices.Sort(v.failing)
	usable := v.usable // by id, as v.all is
	for i := range v.all {
		m := &v.all[i]
		v.endpoints[m.ID] = m.Endpoint
		mayServe := len(usable) > 0 && usable[0].ID == m.ID
		if mayServe {
			usable = usable[1:]
		}
		_, fails := slices.BinarySearch(v.failing, m.ID)
		v.setAvailability(m, mayServe && !fails)
	}
	for id := range v.availability {
		if _, ok := v.endpoints[id]; !ok {
			delete(v.availability, id)
			delete(v.reports, id)
		}
	}
}

// setAvailability tells placement when the gate of an endpoint has changed.
func (v *fleetView) setAvailability(m *fleet.Member, open bool) {
	gate := placement.Available
	switch {
	case m.Leaving:
		gate = placement.Draining
	case !open:
		gate = placement.Ejected
	}
	if before, ok := v.availability[m.ID]; ok && before == gate {
		return
	}
	v.availability[m.ID] = gate
	v.placement.SetAvailability(m.ID, gate)
}

// selectStore names the KV store to import from: the first usable one of the own
// zone, or else of any.
func (v *fleetView) selectStore(all []fleet.Member) {
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

// capacityOf returns what the runners of a model can take.
func (v *fleetView) capacityOf(model string) capacity {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.capacity[model]
}
