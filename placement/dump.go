package placement

import (
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
)

// Dump is a snapshot of a View for operators. It contains no prompts, and its size is
// bounded by MaxEndpoints.
type Dump struct {
	Prefixes     int            `json:"prefixes"`
	Reservations int            `json:"reservations"`
	ServiceMS    float64        `json:"service_ms"`
	Endpoints    []EndpointDump `json:"endpoints"`
}

// EndpointDump is the View's state of one endpoint.
type EndpointDump struct {
	ID            fleet.EndpointID  `json:"id"`
	Gate          string            `json:"gate"`
	Incarnation   fleet.Incarnation `json:"incarnation"`
	Load          fleet.Load        `json:"load"`
	PendingTokens int               `json:"pending_tokens"` // sent there and not yet in a load report
	PendingCount  int               `json:"pending_count"`
	WaitMS        float64           `json:"wait_ms"`       // expected wait of the least urgent priority
	CacheLifeMS   float64           `json:"cache_life_ms"` // estimated half-life of idle entries
	FollowsEvents bool              `json:"follows_events"`
	EventGaps     uint32            `json:"event_gaps"`
}

var availabilityNames = [...]string{"open", "ejected", "draining"}

// String returns the availability's name.
func (a Availability) String() string { return availabilityNames[a] }

// Dump returns a snapshot as of now.
func (v *View) Dump(now time.Time) Dump {
	d := Dump{
		Prefixes:     len(v.prefixes.index),
		Reservations: len(v.byOwner),
		ServiceMS:    v.serviceTime * 1000,
	}
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if e.pools == 0 {
			continue
		}
		d.Endpoints = append(d.Endpoints, EndpointDump{
			ID: e.id, Gate: e.availability().String(), Incarnation: e.incarnation, Load: e.load,
			PendingTokens: e.pendingTokens(), PendingCount: e.pendingCount,
			WaitMS:        v.wait(now, int32(i), contract.PriorityBatch) * 1000,
			CacheLifeMS:   float64(e.idleHalfLife) / float64(time.Millisecond),
			FollowsEvents: e.followsEvents, EventGaps: e.eventGaps,
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
