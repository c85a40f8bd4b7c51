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

// endpointReport is the part of an endpoint's last load report that pools and
// their capacity depend on.
type endpointReport struct {
	weights []fleet.Weights
	slots   int
}

// capacity is the total capacity of the runners of a model.
type capacity struct {
	endpoints int
	slots     int
}

// refresh updates availability and, if they are stale, the pools from the
// membership. The caller holds v.mu.
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

// refreshPools computes which endpoints serve which model and service. Leaving
// endpoints are in no pool. Failing ones stay in theirs, so that they keep
// their cached prefixes when they are readmitted.
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
		groups := rollout.GroupByVersion(v.manifest, model, staying)
		v.versionGroups[model] = groups
		for _, group := range groups {
			v.setPool(modelPool(model, group.Version), group.Endpoints)
			c := v.capacity[model]
			c.endpoints += len(group.Endpoints)
			v.capacity[model] = c
		}
	}
	v.countSlots(staying)
	v.refreshServices(staying)
}

// countSlots adds up the batch slots of each model. Endpoints that do not
// report theirs count with the configured default.
func (v *fleetView) countSlots(staying []fleet.Member) {
	slots := make(map[fleet.EndpointID]int, len(staying))
	for i := range staying {
		m := &staying[i]
		slots[m.ID] = m.Load.Slots
		if m.Load.Slots == 0 {
			slots[m.ID] = v.daemon.o.Settings.Routing.RunnerSlots
		}
	}
	for model, groups := range v.versionGroups {
		c := v.capacity[model]
		for _, group := range groups {
			for i := range group.Endpoints {
				c.slots += slots[group.Endpoints[i].ID]
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

// poolLoad is the reported load of the endpoints of one model.
type poolLoad struct {
	requests int // running and waiting
	slots    int
}

// loads returns the total reported load by model. Endpoints that report no
// slots are left out. The caller holds v.mu.
func (v *fleetView) loads() map[string]poolLoad {
	totals := make(map[string]poolLoad, len(v.versionGroups))
	for model, groups := range v.versionGroups {
		total := poolLoad{}
		for _, group := range groups {
			for i := range group.Endpoints {
				total.add(v.memberByID(group.Endpoints[i].ID))
			}
		}
		totals[model] = total
	}
	return totals
}

func (l *poolLoad) add(m *fleet.Member) {
	if m == nil || m.Load.Slots == 0 {
		return
	}
	l.requests += m.Load.Running + m.Load.Waiting
	l.slots += m.Load.Slots
}

// memberByID returns an endpoint of the last refresh, or nil. The caller holds
// v.mu.
func (v *fleetView) memberByID(id fleet.EndpointID) *fleet.Member {
	// v.all is ordered by ID.
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

// setPool updates the members of a pool in placement if they have changed.
func (v *fleetView) setPool(name string, members []fleet.Endpoint) {
	before, known := v.pools[name]
	if known && slices.Equal(before, members) {
		return
	}
	v.pools[name] = members
	v.placement.SetPool(name, members)
}

// chooseVersion selects the weight version for a request. During a rollout some
// runners serve the old version and some the new one.
func (v *fleetView) chooseVersion(org contract.OrganisationID, t catalog.Target, firstLevel []byte) catalog.Target {
	d := xxhash.New()
	_, _ = d.WriteString(string(org) + "|" + t.Model + "|")
	_, _ = d.Write(firstLevel)
	v.mu.Lock()
	groups := v.versionGroups[t.Model]
	v.mu.Unlock()
	if group, ok := rollout.ChooseVersion(groups, t.Version, d.Sum64()); ok {
		t.Version = group.Version
	}
	return t
}

// refreshAvailability marks endpoints that leave or fail as unavailable for
// placement and removes the state of unlisted endpoints.
func (v *fleetView) refreshAvailability(now time.Time) {
	clear(v.endpoints)
	v.healthMu.Lock()
	v.failing = v.health.AppendUnusable(now, v.failing[:0])
	v.healthMu.Unlock()
	slices.Sort(v.failing)
	usable := v.usable // ordered by ID, like v.all
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

// setAvailability updates the availability of an endpoint in placement if it
// has changed.
func (v *fleetView) setAvailability(m *fleet.Member, mayServe bool) {
	availability := placement.Available
	switch {
	case m.Leaving:
		availability = placement.Draining
	case !mayServe:
		availability = placement.Ejected
	}
	if before, ok := v.availability[m.ID]; ok && before == availability {
		return
	}
	v.availability[m.ID] = availability
	v.placement.SetAvailability(m.ID, availability)
}

// selectStore selects the KV store to import from: a usable one, preferably in
// this daemon's zone.
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

// capacityOf returns the total capacity of the runners of a model.
func (v *fleetView) capacityOf(model string) capacity {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.capacity[model]
}
