package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/room"
)

// Guards against sending a request again to an endpoint that it was lost at, since that
// names a limit.
func TestTriedEndpointIsNotTriedAgainForItsLimit(t *testing.T) {
	k := room.New(room.Options{
		Clock: func() time.Duration { return time.Hour }, Rand: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope,
		Log: quiet(), Send: func(string, []byte) {},
	})
	limit := 100.0
	for _, e := range []fleet.EndpointID{"tried", "spared"} {
		k.Answered(e, &limit)
	}
	try := (&placer{endpointLimits: k}).newAttempts([]fleet.EndpointID{"tried"}, true)
	if avoid := try.excludedEndpoints(); !slices.Contains(avoid, "tried") || !slices.Contains(avoid, "spared") {
		t.Errorf("at first %v is avoided", avoid)
	}
	if !try.includeReserved() {
		t.Fatal("nothing was spared")
	}
	if avoid := try.excludedEndpoints(); !slices.Contains(avoid, "tried") || slices.Contains(avoid, "spared") {
		t.Errorf("then %v is avoided", avoid)
	}
	if try.includeReserved() {
		t.Error("it widens again")
	}
}
