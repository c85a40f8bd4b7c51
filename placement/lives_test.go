package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
)

// Engines crash and come back in any order with answers, reports, events and
// notices, some of them late. Whatever the order, a placement that counts on a
// cache must name a life that was not known to be over, and that did answer for
// this prefix; else callers wait for a prompt that is computed unexpectedly.
func TestNoEntrySurvivesItsLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := testView(3)
		life := map[fleet.EndpointID]fleet.Incarnation{}
		holds := map[fleet.EndpointID]map[string]bool{}
		for _, m := range testFleet(3) {
			life[m.ID], holds[m.ID] = 1, map[string]bool{}
			v.LoadReported(m.ID, fleet.Load{At: epoch, Incarnation: 1})
		}
		now := epoch
		for id := range uint64(40) {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			ep := rapid.SampledFrom([]fleet.EndpointID{"runner-0", "runner-1", "runner-2"}).Draw(t, "endpoint")
			model := rapid.SampledFrom([]string{"old", "new"}).Draw(t, "weights")
			r := ask(id+1, model, "sheet")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				life[ep]++
				holds[ep] = map[string]bool{}
				v.LoadReported(ep, fleet.Load{At: now, Incarnation: life[ep]})
			case 1:
				holds[ep] = map[string]bool{}
				v.Failed(now, Failure{Endpoint: ep, ConnectionLost: true})
			case 2:
				v.Answered(now, Answer{Endpoint: ep, Incarnation: life[ep], Levels: r.Levels})
				holds[ep][model] = true
			case 3:
				late := Answer{Endpoint: ep, Incarnation: life[ep] - 1, Levels: r.Levels}
				if late.Incarnation > 0 {
					v.Answered(now, late)
				}
			default:
				d := place(t, v, now, r)
				v.Failed(now, Failure{ID: r.ID})
				if d.Incarnation != 0 && d.Incarnation != life[d.Endpoint] {
					t.Fatalf("counts on life %d of %s, which is in its life %d", d.Incarnation, d.Endpoint, life[d.Endpoint])
				}
				if d.Reason == ReasonHolder && !holds[d.Endpoint][model] {
					t.Fatalf("counts on %s for weights %q that it never answered for in this life", d.Endpoint, model)
				}
				holds[d.Endpoint][model] = true // it was sent there
			}
		}
	})
}

// A daemon that has just started hears a runner's present life first, and then
// a message of the one before, which it takes for a restart. If it then ignored
// the living runner as the one that is over, it would never learn of it again.
func TestALivingEndpointIsHeardAgain(t *testing.T) {
	v := testView(1)
	v.LoadReported("runner-0", fleet.Load{At: epoch, Incarnation: 2})
	v.Answered(epoch.Add(time.Millisecond), Answer{Endpoint: "runner-0", Incarnation: 1})
	late := fleet.Load{At: epoch.Add(time.Second), Incarnation: 2, Running: 5}
	v.LoadReported("runner-0", late)
	late.At = epoch.Add(2 * lateMessages)
	v.LoadReported("runner-0", late)
	d := v.Dump(late.At).Endpoints[0]
	if d.Incarnation != 2 || d.Load.Running != 5 {
		t.Errorf("after ten seconds of reports: %+v", d)
	}
}
