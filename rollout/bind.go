package rollout

import (
	"slices"
	"strings"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

// Share is a weight version with the endpoints that serve it.
type Share struct {
	Version   string
	Endpoints []fleet.Endpoint
}

// Shares groups the endpoints that may get work for a model by the version
// that they say they serve, by version. Each group is a pool for placement.
//
// Endpoints that were heard and name no weights are taken to serve the declared
// version; one that does not refuses by its number. Those that were not heard
// yet, after a restart of this daemon, are taken to serve what most others do:
// in the middle of a rollout the declared version would be refused by many.
func Shares(m *manifest.Manifest, model string, members []fleet.Member) []Share {
	declared := ""
	for _, x := range m.Models {
		if x.ID == model {
			declared = x.Version
		}
	}
	groups := map[string][]fleet.Endpoint{}
	var unheard []fleet.Endpoint
	for _, e := range members {
		if !servesClass(m, e.Class, model) {
			continue
		}
		if e.LastReport.IsZero() && len(e.Load.Weights) == 0 {
			unheard = append(unheard, e.Endpoint)
			continue
		}
		if v := versionOn(e.Load.Weights, model, declared); v != "" {
			groups[v] = append(groups[v], e.Endpoint)
		}
	}
	if len(unheard) > 0 {
		v := commonest(groups, declared)
		groups[v] = append(groups[v], unheard...)
	}
	shares := make([]Share, 0, len(groups))
	for v, es := range groups {
		shares = append(shares, Share{v, es})
	}
	slices.SortFunc(shares, func(a, b Share) int { return strings.Compare(a.Version, b.Version) })
	return shares
}

// commonest returns the version with the most endpoints; the declared one if
// there is none.
func commonest(groups map[string][]fleet.Endpoint, declared string) string {
	best := declared
	for v, es := range groups {
		most := len(groups[best])
		if len(es) > most || len(es) == most && best != declared && v < best {
			best = v
		}
	}
	return best
}

func servesClass(m *manifest.Manifest, class, model string) bool {
	return slices.ContainsFunc(m.Classes, func(c manifest.Class) bool {
		return c.ID == class && c.Kind == fleet.KindModel && slices.Contains(c.Models, model)
	})
}

// versionOn returns the version of a model among an endpoint's weights; empty
// when it serves others only.
func versionOn(weights []fleet.Weights, model, declared string) string {
	if len(weights) == 0 {
		return declared
	}
	for _, w := range weights {
		if w.Model == model {
			return w.Version
		}
	}
	return ""
}

// Bind chooses the weight version for a request, once; the request keeps it
// through every retry and resumption. Requests with the same key, a hash of
// the prefix's first level, get the same version as long as the shares stay,
// so that a rollout moves prefixes over bit by bit and not to and fro. The
// declared version is reached first by the smallest keys: once a key has
// moved to it, the growing share keeps it there.
func Bind(shares []Share, declared string, key uint64) (Share, bool) {
	total := 0
	for _, s := range shares {
		total += len(s.Endpoints)
	}
	if total == 0 {
		return Share{}, false
	}
	at := int(float64(key) / (1 << 64) * float64(total))
	for _, s := range declaredFirst(shares, declared) {
		if at < len(s.Endpoints) {
			return s, true
		}
		at -= len(s.Endpoints)
	}
	return shares[len(shares)-1], true
}

func declaredFirst(shares []Share, declared string) []Share {
	out := make([]Share, 0, len(shares))
	for _, s := range shares {
		if s.Version == declared {
			out = append(out, s)
		}
	}
	for _, s := range shares {
		if s.Version != declared {
			out = append(out, s)
		}
	}
	return out
}
