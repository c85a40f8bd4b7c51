package rollout

import (
	"slices"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/manifest"
)

// target is the declared state of the endpoints of one class.
type target struct {
	role   string
	models []manifest.Model
}

// classTargets returns the target of each class of model endpoints, by class id.
func classTargets(m *manifest.Manifest) map[string]target {
	out := map[string]target{}
	for _, c := range m.Classes {
		if c.Kind != fleet.KindModel {
			continue
		}
		t := target{role: c.Role}
		for _, model := range m.Models {
			if slices.Contains(c.Models, model.ID) {
				t.models = append(t.models, model)
			}
		}
		out[c.ID] = t
	}
	return out
}

// nextOrder returns the next order that brings an endpoint closer to its target, or
// nil if it is in the declared state. Models that are no longer served are
// unloaded first, since their memory may be needed.
func (t *target) nextOrder(s *Status) *Order {
	for _, loaded := range s.Models {
		if t.model(loaded.ID) == nil {
			return &Order{Kind: KindUnload, Model: loaded.ID, Version: loaded.Version}
		}
	}
	if t.role != "" && s.Role != t.role {
		return &Order{Kind: KindRole, Role: t.role}
	}
	for i := range t.models {
		if o := nextModelOrder(&t.models[i], s.model(t.models[i].ID)); o != nil {
			return o
		}
	}
	return nil
}

func (t *target) model(id string) *manifest.Model {
	for i := range t.models {
		if t.models[i].ID == id {
			return &t.models[i]
		}
	}
	return nil
}

// nextModelOrder is nextOrder for one model; loaded is nil if the endpoint has not
// loaded it.
func nextModelOrder(want *manifest.Model, loaded *Model) *Order {
	if loaded == nil || loaded.Version != want.Version {
		return &Order{Kind: KindLoad, Model: want.ID, Version: want.Version}
	}
	for _, a := range want.Adapters {
		if l := loaded.adapter(a.ID); l == nil || l.Version != a.Version {
			return &Order{Kind: KindLoadAdapter, Model: want.ID, Adapter: a.ID, Version: a.Version}
		}
	}
	for _, l := range loaded.Adapters {
		named := slices.ContainsFunc(want.Adapters, func(a manifest.Adapter) bool { return a.ID == l.ID })
		if !named {
			return &Order{Kind: KindUnloadAdapter, Model: want.ID, Adapter: l.ID, Version: l.Version}
		}
	}
	return nil
}
