package health

import (
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// EndpointHealth is one endpoint as the administration API and the dump show
// it.
type EndpointHealth struct {
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Class       string            `json:"class"`
	Zone        fleet.ZoneID      `json:"zone"`
	Status      string            `json:"status"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Failures    int               `json:"failures"`  // consecutive
	Ejections   int               `json:"ejections"` // that count for the next time away
	ReturnAt    *time.Time        `json:"return_at,omitempty"`
	Slowness    float64           `json:"slowness,omitempty"`
	Missing     bool              `json:"missing,omitempty"` // from the platform's list
}

// Snapshot lists at most limit endpoints by id, those with trouble first.
func (t *Tracker) Snapshot(now time.Time, limit int) []EndpointHealth {
	list := make([]EndpointHealth, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		h := EndpointHealth{
			Endpoint: e.ID, Class: e.Class, Zone: e.Zone, Status: t.status(now, e).String(),
			Incarnation: e.incarnation, Failures: e.failures, Ejections: e.ejections,
			Slowness: e.slowness, Missing: !e.missingAt.IsZero(),
		}
		if e.away {
			back := e.returnAt
			h.ReturnAt = &back
		}
		list = append(list, h)
	}
	slices.SortFunc(list, func(x, y EndpointHealth) int {
		healthy := Healthy.String()
		if (x.Status == healthy) != (y.Status == healthy) {
			if x.Status == healthy {
				return 1
			}
			return -1
		}
		return strings.Compare(string(x.Endpoint), string(y.Endpoint))
	})
	return list[:min(max(limit, 0), len(list))]
}
