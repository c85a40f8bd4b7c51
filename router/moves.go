package router

import (
	"strconv"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/prefix"
	"github.com/merlindock/merlindock/routes"
)

// moves says where the engine may fetch parts of the prompt, and whether it
// sends them to the store.
//
// To read a long shared part again takes the engine's whole time for over 100
// ms; to fetch it takes 5 to 25 ms. A fetch of what nobody has costs a
// millisecond, and an engine fetches only what it lacks.
func (p *placer) moves(now time.Time, w *forward.PlacementRequest, r *placement.Request, d *placement.Decision, to *way, out *forward.RouterInfo) {
	levels := r.Levels
	if levels == nil {
		levels = prefix.Chain(seedOf(w, out.Version), w.In.Parts)
	}
	at := prefix.Affinity(levels)
	if at < 0 {
		return
	}
	if address, known := p.fetchFrom(now, w, r, d, out.CacheSalt); known {
		out.FetchFrom = address
	}
	if levels[at].Tokens < leastFetched {
		return
	}
	key := levels[at].Key
	store := storeOf(w.Table, key)
	peer := p.s.roster.Find(d.Peer)
	away := d.Reason == placement.ReasonSpill && r.Held == nil
	switch {
	case out.FetchFrom != "":
	case to.from != "" && to.from != d.Endpoint && p.s.roster.Find(to.from) != nil:
		out.FetchFrom = p.s.roster.Find(to.from).Address
	case away && peer != nil && !p.s.roster.Unusable(now, d.Peer):
		out.FetchFrom = peer.Address
	case store != "":
		out.FetchFrom = store
	}
	// What is read away from home is saved for the home, which would read it again.
	if store != "" && now.Sub(p.s.saved[key]) > savedFor && !to.kept && (away || p.fraction() < savePart) {
		p.s.saved[key] = now
		out.SaveTo = store
	}
}

// enginesKeep tells whether the engines of a model have memory enough to keep what they
// read for a while, by what the daemon that places all prompts of its group sends them.
func (p *placer) enginesKeep(now time.Time, w *forward.PlacementRequest) bool {
	p.s.mu.Lock()
	engines := p.s.roster.Engines(w.Service.Name, w.In.Model)
	p.s.mu.Unlock()
	p.partsMu.Lock()
	defer p.partsMu.Unlock()
	return p.parts.keeps(now, engines/dispatchGroups(engines), w.Service.Engine.CapacityTokens)
}

// fetchFrom chooses the source of a prompt's beginning among the holders that tell
// what they hold. known is false if there is none that helps.
func (p *placer) fetchFrom(now time.Time, w *forward.PlacementRequest, r *placement.Request, d *placement.Decision, salt string) (address string, known bool) {
	if p.watch == nil || r.Held == nil {
		return "", false
	}
	engine := p.s.roster.Find(d.Endpoint)
	address, tokens := p.watch.best(w, salt, engine.Zone, func(name string) bool {
		key := fleet.EndpointID(name)
		return key != d.Endpoint && (p.s.roster.Find(key) == nil || !p.s.roster.Unusable(now, key))
	})
	if tokens-r.Held.At[d.Endpoint] < leastFetched {
		return "", false
	}
	return address, true
}

// leastFetched is the number of tokens above which a fetch is worth its beginning:
// they take about as long to read as a fetch takes to begin, some milliseconds.
const leastFetched = 250

// savePart is the part of the reads that are sent to the store. All daemons
// together would otherwise send each prompt several times, and the store's link
// carries less than the engines read.
const savePart = 0.5

// prefixDigits name a prefix in logs.
const prefixDigits = 8

// storeOf returns the address of the store that holds a prefix, "" if there is
// none. Each prefix has one store, the same for all daemons: what one saves
// another must find.
func storeOf(t *routes.Table, key prefix.Key) string {
	if len(t.Stores) == 0 {
		return ""
	}
	return t.Stores[key.Uint64()%uint64(len(t.Stores))].Address
}

// salt separates cache entries that may never be mixed: those of other weights,
// and those of an isolated organisation.
func salt(w *forward.PlacementRequest, version int64) string {
	text := "v" + strconv.FormatInt(version, 10)
	if w.Organisation != nil && w.Organisation.Isolated {
		text += "/" + w.Organisation.Name
	}
	return text
}

func seedOf(w *forward.PlacementRequest, version int64) prefix.Seed {
	seed := prefix.Seed{Model: w.In.Model, Version: strconv.FormatInt(version, 10)}
	if w.Organisation != nil && w.Organisation.Isolated {
		seed.Organisation = contract.OrganisationID(w.Organisation.Name)
	}
	return seed
}
