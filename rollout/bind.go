package rollout

import (
	"slices"
	"strings"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

// VersionGroup is a weight version of a model and the endpoints that serve it.
type VersionGroup struct {
	Version   string
	Endpoints []fleet.Endpoint
}

// GroupByVersion groups the endpoints that can serve a model by the weight
// version that they report, and returns the groups sorted by version. Each group
// is a pool for placement.
//
// Endpoints that have reported but name no weights are assumed to serve the
// declared version; an endpoint that does not serve it refuses the request by
// its version. Endpoints that have not reported since this daemon started are
// assumed to serve the version that most others serve: in the middle of a
// rollout, many of them would refuse the declared version.
func GroupByVersion(m *manifest.Manifest, model string, members []fleet.Member) []VersionGroup {
	declared := ""
	for _, x := range m.Models {
		if x.ID == model {
			declared = x.Version
		}
	}
	groups := map[string][]fleet.Endpoint{}
	var unreported []fleet.Endpoint
	for _, e := range members {
		if !classServesModel(m, e.Class, model) {
			continue
		}
		if e.LastReport.IsZero() && len(e.Load.Weights) == 0 {
			unreported = append(unreported, e.Endpoint)
			continue
		}
		if v := servedVersion(e.Load.Weights, model, declared); v != "" {
			groups[v] = append(groups[v], e.Endpoint)
		}
	}
	if len(unreported) > 0 {
		v := mostCommonVersion(groups, declared)
		groups[v] = append(groups[v], unreported...)
	}
	groupList := make([]VersionGroup, 0, len(groups))
	for v, es := range groups {
		groupList = append(groupList, VersionGroup{v, es})
	}
	slices.SortFunc(groupList, func(a, b VersionGroup) int { return strings.Compare(a.Version, b.Version) })
	return groupList
}

// mostCommonVersion returns the version with the most endpoints. Ties go to the
// declared version, then to the one that sorts first. Without any endpoint it
// returns the declared version.
func mostCommonVersion(groups map[string][]fleet.Endpoint, declared string) string {
	best := declared
	for v, es := range groups {
		most := len(groups[best])
		if len(es) > most || len(es) == most && best != declared && v < best {
			best = v
		}
	}
	return best
}

func classServesModel(m *manifest.Manifest, class, model string) bool {
	return slices.ContainsFunc(m.Classes, func(c manifest.Class) bool {
		return c.ID == class && c.Kind == fleet.KindModel && slices.Contains(c.Models, model)
	})
}

// servedVersion returns the version of a model among an endpoint's weights, and
// the empty string if the endpoint serves other models only. Without weights it
// returns the declared version.
func servedVersion(weights []fleet.Weights, model, declared string) string {
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

// ChooseVersion returns the group for a request; the request keeps its weight
// version through all retries and resumptions. It reports false if no group has
// an endpoint.
//
// Key is a hash of the first level of the prompt's prefix. Requests with the same
// key get the same version as long as the groups do not change. The declared
// version takes the lowest keys, in proportion to its endpoints, so that during
// a rollout a key moves to the declared version once and stays there.
func ChooseVersion(groups []VersionGroup, declared string, key uint64) (VersionGroup, bool) {
	total := 0
	for _, s := range groups {
		total += len(s.Endpoints)
	}
	if total == 0 {
		return VersionGroup{}, false
	}
	at := int(float64(key) / (1 << 64) * float64(total))
	for _, s := range declaredFirst(groups, declared) {
		if at < len(s.Endpoints) {
			return s, true
		}
		at -= len(s.Endpoints)
	}
	return groups[len(groups)-1], true
}

func declaredFirst(groups []VersionGroup, declared string) []VersionGroup {
	out := make([]VersionGroup, 0, len(groups))
	for _, s := range groups {
		if s.Version == declared {
			out = append(out, s)
		}
	}
	for _, s := range groups {
		if s.Version != declared {
			out = append(out, s)
		}
	}
	return out
}
