package plog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/ports"
)

// VMs is an in-memory ports.VMList whose answers lag behind its changes.
type VMs struct {
	now func() time.Time
	lag time.Duration

	mu     sync.Mutex
	outage bool
	states []vmState // oldest first
}

type vmState struct {
	since     time.Time
	endpoints []fleet.Endpoint
	daemons   []ports.Daemon
}

// maxVMStates limits the number of list states that are kept for the lag.
const maxVMStates = 1000

// NewVMs returns an empty list whose answers lag by the given time. A nil clock
// means time.Now.
func NewVMs(now func() time.Time, lag time.Duration) *VMs {
	if now == nil {
		now = time.Now
	}
	return &VMs{now: now, lag: lag}
}

// Set replaces the list. Readers see the new list after the lag, and the first one
// at once.
func (v *VMs) Set(endpoints []fleet.Endpoint, daemons []ports.Daemon) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.states = append(v.states, vmState{
		since:     v.now(),
		endpoints: append([]fleet.Endpoint(nil), endpoints...),
		daemons:   append([]ports.Daemon(nil), daemons...),
	})
	if len(v.states) > maxVMStates {
		v.states = v.states[1:]
	}
}

// SetOutage starts or ends an outage, during which every call returns
// ports.ErrUnavailable.
func (v *VMs) SetOutage(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.outage = on
}

func (v *VMs) current() (vmState, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.outage {
		return vmState{}, fmt.Errorf("%w: VM list", ports.ErrUnavailable)
	}
	seen := v.now().Add(-v.lag)
	for i := len(v.states) - 1; i > 0; i-- {
		if !v.states[i].since.After(seen) {
			return v.states[i], nil
		}
	}
	if len(v.states) == 0 {
		return vmState{}, nil
	}
	return v.states[0], nil
}

// Endpoints implements ports.VMList.
func (v *VMs) Endpoints(context.Context) ([]fleet.Endpoint, error) {
	s, err := v.current()
	return append([]fleet.Endpoint(nil), s.endpoints...), err
}

// Daemons implements ports.VMList.
func (v *VMs) Daemons(context.Context) ([]ports.Daemon, error) {
	s, err := v.current()
	return append([]ports.Daemon(nil), s.daemons...), err
}
