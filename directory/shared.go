package directory

import (
	"maps"

	"github.com/merlindock/merlindock/fleet"
)

// Bounds of what entries share. Entries beyond them keep what is their own.
const (
	sharedTexts  = 1024
	sharedModels = 32
)

// shared keeps one copy of what thousands of entries have in common: the names of
// services and zones, and the weight versions.
type shared struct {
	texts  map[string]string
	models []map[string]int64
}

// share replaces the entry's texts and versions by the copies that others have.
func (s *shared) share(e *Entry) {
	e.Service, e.Zone = s.text(e.Service), fleet.ZoneID(s.text(string(e.Zone)))
	for _, m := range s.models {
		if maps.Equal(m, e.Models) {
			e.Models = m
			return
		}
	}
	if len(s.models) < sharedModels {
		s.models = append(s.models, e.Models)
	}
}

func (s *shared) text(t string) string {
	if known, ok := s.texts[t]; ok {
		return known
	}
	if len(s.texts) < sharedTexts {
		if s.texts == nil {
			s.texts = map[string]string{}
		}
		s.texts[t] = t
	}
	return t
}
