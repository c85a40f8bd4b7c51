package placement

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// Dump is the state of a View for operators. It holds no prompts, and its size
// is bounded by MaxEndpoints.
type Dump struct {
	Prefixes     int            `json:"prefixes"`
	Reservations int            `json:"reservations"`
	ServiceMS    float64        `json:"service_ms"`
	Endpoints    []EndpointDump `json:"endpoints"`
}

// EndpointDump is what the View believes of one endpoint.
type EndpointDump struct {
	ID            fleet.EndpointID  `json:"id"`
	Gate          string            `json:"gate"`
	Incarnation   fleet.Incarnation `json:"incarnation"`
	Load          fleet.Load        `json:"load"`
	PendingTokens int               `json:"pending_tokens"` // sent and in no report yet
	PendingCount  int               `json:"pending_count"`
	WaitMS        float64           `json:"wait_ms"`       // expected in its queue by the least urgent
	CacheLifeMS   float64           `json:"cache_life_ms"` // learnt half-life of idle entries
	FollowsEvents bool              `json:"follows_events"`
	EventGaps     uint32            `json:"event_gaps"`
}

var gateNames = [...]string{"open", "ejected", "draining"}

// String returns the name of the gate.
func (g Availability) String() string { return gateNames[g] }

// Dump returns the state at the given time.
func (v *View) Dump(now time.Time) Dump {
	d := Dump{
		Prefixes:     len(v.prefixes.index),
		Reservations: len(v.byOwner),
		ServiceMS:    v.service * 1000,
	}
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if e.pools == 0 {
			continue
		}
		d.Endpoints = append(d.Endpoints, EndpointDump{
			ID: e.id, Gate: e.gated().String(), Incarnation: e.incarnation, Load: e.load,
			PendingTokens: e.pendingTokens(), PendingCount: e.queued,
			WaitMS:        v.wait(now, int32(i), contract.PriorityBatch) * 1000,
			CacheLifeMS:   float64(e.idleLife) / float64(time.Millisecond),
			FollowsEvents: e.follows, EventGaps: e.gaps,
		})
	}
	return d
}

func (e *endpoint) pendingTokens() int {
	n := 0
	for _, tokens := range e.pending {
		n += tokens
	}
	return n
}
