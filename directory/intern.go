package directory

import (
	"maps"

	"github.com/merlindock/merlindock/fleet"
)

// Limits of the interner. Further values are kept by each entry.
const (
	maxInternedTexts  = 1024
	maxInternedModels = 32
)

// interner keeps one copy of the values that thousands of entries have in common: the
// names of services and zones, software versions, and the maps of weight versions.
type interner struct {
	texts  map[string]string
	models []map[string]int64
}

// intern replaces the entry's names and versions by the shared copies.
func (s *interner) intern(e *Entry) {
	e.Service, e.Zone = s.internText(e.Service), fleet.ZoneID(s.internText(string(e.Zone)))
	e.Build = s.internText(e.Build)
	for _, m := range s.models {
		if maps.Equal(m, e.Models) {
			e.Models = m
			return
		}
	}
	if len(s.models) < maxInternedModels {
		s.models = append(s.models, e.Models)
	}
}

func (s *interner) internText(t string) string {
	if known, ok := s.texts[t]; ok {
		return known
	}
	if len(s.texts) < maxInternedTexts {
		if s.texts == nil {
			s.texts = map[string]string{}
		}
		s.texts[t] = t
	}
	return t
}
