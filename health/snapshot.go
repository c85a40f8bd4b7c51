package health

import (
	"slices"
	"strings"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// EndpointHealth is the health of an endpoint as shown by the administration API and
// in dumps.
type EndpointHealth struct {
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Class       string            `json:"class"`
	Zone        fleet.ZoneID      `json:"zone"`
	Status      string            `json:"status"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Failures    int               `json:"failures"`  // consecutive
	Ejections   int               `json:"ejections"` // number of doublings of the next ejection
	ReturnAt    *time.Time        `json:"return_at,omitempty"`
	Slowness    float64           `json:"slowness,omitempty"`
	Missing     bool              `json:"missing,omitempty"` // from the platform's list
}

// Snapshot returns at most limit endpoints: the unhealthy ones, then the healthy ones,
// each sorted by ID.
func (t *Tracker) Snapshot(now time.Time, limit int) []EndpointHealth {
	list := make([]EndpointHealth, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		h := EndpointHealth{
			Endpoint: e.ID, Class: e.Class, Zone: e.Zone, Status: t.status(now, e).String(),
			Incarnation: e.incarnation, Failures: e.failures, Ejections: e.ejections,
			Slowness: e.slowness, Missing: !e.missingAt.IsZero(),
		}
		if e.ejected {
			returnAt := e.returnAt
			h.ReturnAt = &returnAt
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
