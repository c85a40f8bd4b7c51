package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/merlindock/merlindock/endpointlimit"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/forward"
	"github.com/merlindock/merlindock/routes"
)

// Guards against sending a request again to an endpoint that failed it, when endpoints
// with a limit are allowed because no others are left.
func TestTriedEndpointStaysExcluded(t *testing.T) {
	clock := fixedClock(time.Hour)
	k := endpointlimit.New(endpointlimit.Options{
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)), Scope: tally.NoopScope,
		Log: discardLog(), Send: func(string, []byte) {},
	})
	limit := 100.0
	for _, e := range []fleet.EndpointID{"tried", "spared"} {
		k.Answered(e, &limit)
	}
	a := (&placer{endpointLimits: k}).newAttempts(&forward.PlacementRequest{Service: &routes.Service{}}, []fleet.EndpointID{"tried"}, true)
	if excluded := a.excludedEndpoints(); !slices.Contains(excluded, "tried") || !slices.Contains(excluded, "spared") {
		t.Errorf("%v are excluded at first", excluded)
	}
	if !a.includeReserved() {
		t.Fatal("no endpoint was reserved")
	}
	if excluded := a.excludedEndpoints(); !slices.Contains(excluded, "tried") || slices.Contains(excluded, "spared") {
		t.Errorf("%v are excluded after the reserved endpoints were included", excluded)
	}
	if a.includeReserved() {
		t.Error("reserved endpoints were included twice")
	}
}

// Guards against requests that wait for a permit until it is of no use to their callers, and
// against streams that are cut off for want of one sooner than need be.
func TestPermitWait(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		objective, left time.Duration
		resuming        bool
		want            time.Duration
	}{
		{300 * time.Millisecond, 4 * time.Second, false, 150 * time.Millisecond},
		{300 * time.Millisecond, 100 * time.Millisecond, false, 50 * time.Millisecond},
		{0, 4 * time.Second, false, defaultPermitWait},
		{300 * time.Millisecond, 4 * time.Second, true, 2 * time.Second},
	} {
		req := &forward.PlacementRequest{Route: &routes.Route{TargetLatency: c.objective}, Deadline: now.Add(c.left), Resuming: c.resuming}
		if got := permitWait(now, req); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
