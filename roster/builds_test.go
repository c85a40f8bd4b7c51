package roster

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/health"
)

// Guards against a software version that is taken for the only one of a service although
// another one was there within the time, or may have been, and against endpoints of unknown
// versions that are taken for alike.
func TestBuildsOfAService(t *testing.T) {
	const lasted = 20 * time.Second
	r := New(Options{Health: health.Options{Rand: rand.New(rand.NewPCG(1, 2))}, Placement: availabilities{}})
	now := time.Now()
	put := func(id, build string, state directory.State) {
		r.Put(directory.Entry{ID: id, Service: "s", Address: id, Zone: "z", Build: build, State: state})
		r.Refresh(now)
	}
	expect := func(what, only string, v1 ...fleet.EndpointID) {
		t.Helper()
		if version, ok := r.OnlyBuild(now, "s", lasted); ok != (only != "") || ok && version != only {
			t.Errorf("%s: only version %q, %v, want %q", what, version, ok, only)
		}
		if got := r.WithBuild("s", "v1"); !slices.Equal(got, v1) {
			t.Errorf("%s: endpoints with v1 %v, want %v", what, got, v1)
		}
	}
	expect("no endpoints", "")
	put("a", "v1", directory.Ready)
	put("b", "v1", directory.Ready)
	expect("known for a moment", "", "a@0", "b@0")
	now = now.Add(lasted + time.Second)
	expect("known for long", "v1", "a@0", "b@0")
	put("b", "v2", directory.Ready)
	expect("two versions", "", "a@0")
	put("b", "v2", directory.Draining)
	expect("one has left", "", "a@0")
	now = now.Add(lasted + time.Second)
	expect("one left long ago", "v1", "a@0")
	put("c", "", directory.Ready)
	put("d", "", directory.Ready)
	expect("an unknown version", "", "a@0")
	if got := r.WithBuild("s", ""); len(got) > 0 {
		t.Errorf("endpoints of unknown versions %v", got)
	}
	put("a", "", directory.Draining)
	now = now.Add(lasted + time.Second)
	expect("unknown versions only", "")
}
