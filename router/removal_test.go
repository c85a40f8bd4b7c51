package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/routes"
)

// Guards against a daemon that crashes when an endpoint is removed from the list between
// the choice of the endpoint and the placement.
func TestEndpointIsRemovedDuringPlacement(t *testing.T) {
	s := newState(&Settings{Zone: "z"}, rand.New(rand.NewPCG(1, 2)))
	p := newPlacer(s, &Settings{}, unresponsiveEngines{}, BootClock, discardLog(), rand.New(rand.NewPCG(3, 4)))
	put := func(state directory.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.roster.Put(directory.Entry{ID: "e", Service: "s", Address: "e:1", Zone: "z", Slots: 4, State: state})
		s.refresh(time.Now())
	}
	req := forward.PlacementRequest{
		Route: &routes.Route{Kind: routes.Safe}, Service: &routes.Service{Name: "s"}, In: &forward.RequestInfo{}, Deadline: time.Now().Add(time.Minute),
	}
	done := make(chan struct{})
	var placed atomic.Int64
	var placing sync.WaitGroup
	for range 8 {
		placing.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				pl, err := p.Place(t.Context(), &req)
				if err != nil {
					continue
				}
				placed.Add(1)
				if pl.Target.Address != "e:1" {
					t.Errorf("target %+v", pl.Target)
				}
				p.AttemptEnded(&pl, forward.AttemptEnd{Whole: true})
			}
		})
	}
	for i := range 50_000 {
		put(directory.State(i % 2))
	}
	close(done)
	placing.Wait()
	if placed.Load() == 0 {
		t.Error("nothing was placed")
	}
}
