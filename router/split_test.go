package router

import (
	"cmp"
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/internal/hash"
	"github.com/merlindock/merlindock/pools"
)

// poolMembers records the members of each pool, as placement does.
type poolMembers map[string][]fleet.Endpoint

func (s poolMembers) Join(pool string, e fleet.Endpoint) { s[pool] = append(s[pool], e) }

func (s poolMembers) Leave(pool string, id fleet.EndpointID) {
	s[pool] = slices.DeleteFunc(s[pool], func(e fleet.Endpoint) bool { return e.ID == id })
}

// splitVersions divides the engines of one model, by version, between the short and the
// long subpool, with k engines in the short one. Engines in limited have a request limit.
func splitVersions(engines map[int64][]fleet.Endpoint, k int, limited map[fleet.EndpointID]bool) (short, long map[int64][]fleet.Endpoint) {
	n := 0
	for _, members := range engines {
		n += len(members)
	}
	byPool := poolMembers{}
	table := pools.New(byPool, float64(k)/float64(n))
	for v, members := range engines {
		for _, e := range members {
			e.Class = "s"
			table.Put(pools.Endpoint{Endpoint: e, Versions: map[string]int64{"m": v}}, false, limited[e.ID])
		}
	}
	short, long = map[int64][]fleet.Endpoint{}, map[int64][]fleet.Endpoint{}
	for v, members := range engines {
		byID := map[fleet.EndpointID]fleet.Endpoint{}
		for _, e := range members {
			byID[e.ID] = e
		}
		for l, into := range map[subpool]map[int64][]fleet.Endpoint{subpoolShort: short, subpoolLong: long} {
			for _, e := range byPool[pools.ModelPool("s", "m", v, l)] {
				into[v] = append(into[v], byID[e.ID])
			}
			slices.SortFunc(into[v], func(a, b fleet.Endpoint) int {
				return cmp.Compare(hash.Text("lane/"+string(a.ID)), hash.Text("lane/"+string(b.ID)))
			})
		}
	}
	return short, long
}

// split is splitVersions for engines of one version.
func split(members []fleet.Endpoint, k int, limited map[fleet.EndpointID]bool) (short, long []fleet.Endpoint) {
	s, l := splitVersions(map[int64][]fleet.Endpoint{1: members}, k, limited)
	return s[1], l[1]
}
