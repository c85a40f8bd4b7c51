package router

import (
	"strconv"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/routes"
)

// setCacheTransfer sets the address from which the engine may fetch the KV cache of the
// prompt's prefix, and the store to which it should save it.
//
// Computing a long shared prefix again occupies an engine for over 100 ms, while
// fetching it takes 5 to 25 ms. An attempt to fetch a prefix that the source does not
// have costs a millisecond, and an engine fetches only what it lacks.
func (p *placer) setCacheTransfer(now time.Time, req *forward.PlacementRequest, r *placement.Request, d *placement.Decision, e *directory.Endpoint, to *candidate, out *forward.RouterInfo) {
	levels := r.Levels
	if levels == nil {
		levels = prefix.SegmentLevels(seedOf(req, out.Version), req.In.Parts)
	}
	at := prefix.AffinityLevel(levels)
	if at < 0 {
		return
	}
	if address, known := p.fetchFrom(now, req, r, e, out.CacheSalt); known {
		out.FetchFrom = address
	}
	if levels[at].Tokens < minFetchTokens {
		return
	}
	key := levels[at].Key
	store := storeOf(req.Table, key)
	alternate := p.state.roster.Find(d.AlternateEndpoint)
	spilled := d.Reason == placement.ReasonSpill && r.Locations == nil
	switch {
	case out.FetchFrom != "":
	case to.fetchFrom != "" && to.fetchFrom != d.Endpoint && p.state.roster.Find(to.fetchFrom) != nil:
		out.FetchFrom = p.state.roster.Find(to.fetchFrom).Address
	case spilled && alternate != nil && !p.state.roster.Unusable(now, d.AlternateEndpoint):
		out.FetchFrom = alternate.Address
	case store != "":
		out.FetchFrom = store
	}
	// A prefix that is read away from its preferred endpoint is saved, as the preferred
	// endpoint would otherwise compute it again.
	if store != "" && now.Sub(p.state.savedAt[key]) > savedLifetime && !to.retained && (spilled || p.randomFraction() < saveFraction) {
		p.state.savedAt[key] = now
		out.SaveTo = store
	}
}

// enginesRetain reports whether the engines of a model have enough memory to keep what
// they read for a while, at the rate at which this daemon, as dispatcher of a group,
// sends them prompts.
func (p *placer) enginesRetain(now time.Time, req *forward.PlacementRequest) bool {
	p.state.mu.Lock()
	engines := p.state.roster.Engines(req.Service.Name, req.In.Model)
	p.state.mu.Unlock()
	p.segmentsMu.Lock()
	defer p.segmentsMu.Unlock()
	return p.segments.retains(now, engines/dispatchGroups(engines), req.Service.Engine.CapacityTokens)
}

// fetchFrom returns the address of the holder with the longest cached prefix of the
// prompt, among those whose cache contents are known. known is false if no holder has
// enough more than the chosen engine.
func (p *placer) fetchFrom(now time.Time, req *forward.PlacementRequest, r *placement.Request, engine *directory.Endpoint, salt string) (address string, known bool) {
	if p.cacheTracker == nil || r.Locations == nil {
		return "", false
	}
	address, tokens := p.cacheTracker.bestSource(req, salt, engine.Zone, func(name string) bool {
		key := fleet.EndpointID(name)
		return key != engine.Key && (p.state.roster.Find(key) == nil || !p.state.roster.Unusable(now, key))
	})
	if tokens-r.Locations.Tokens[engine.Key] < minFetchTokens {
		return "", false
	}
	return address, true
}

// minFetchTokens is the number of tokens above which a fetch is worthwhile: reading
// fewer takes no longer than starting a fetch, some milliseconds.
const minFetchTokens = 250

// saveFraction is the fraction of reads after which the prefix is saved to the store.
// Without it, the daemons together would save each prompt several times, and the
// store's link carries less than the engines read.
const saveFraction = 0.5

// prefixDigits is the number of digits of a prefix key in logs.
const prefixDigits = 8

// storeOf returns the address of the store for a prefix, or "" if there are no stores.
// Every daemon maps a prefix to the same store, so that one finds what another has
// saved.
func storeOf(t *routes.Table, key prefix.Key) string {
	if len(t.Stores) == 0 {
		return ""
	}
	return t.Stores[key.Uint64()%uint64(len(t.Stores))].Address
}

// salt returns the cache salt of a request. It separates cache entries that must never
// be mixed: those of different weight versions and those of an isolated organisation.
func salt(req *forward.PlacementRequest, version int64) string {
	text := "v" + strconv.FormatInt(version, 10)
	if req.Organisation != nil && req.Organisation.Isolated {
		text += "/" + req.Organisation.Name
	}
	return text
}

func seedOf(req *forward.PlacementRequest, version int64) prefix.Seed {
	seed := prefix.Seed{Model: req.In.Model, Version: strconv.FormatInt(version, 10)}
	if req.Organisation != nil && req.Organisation.Isolated {
		seed.Organisation = contract.OrganisationID(req.Organisation.Name)
	}
	return seed
}
