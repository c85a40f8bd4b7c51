package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/merlindock/merlindock/fleet"
)

// Engines crash and restart in any order relative to answers, reports and events, some of
// which are late. A placement that relies on a cache must name an incarnation that is not
// known to have ended and that received this prefix; otherwise callers wait for a prompt
// that is unexpectedly recomputed.
func TestNewIncarnationInvalidatesHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := testView(3)
		incarnation := map[fleet.EndpointID]fleet.Incarnation{}
		holds := map[fleet.EndpointID]map[string]bool{}
		for _, m := range testFleet(3) {
			incarnation[m.ID], holds[m.ID] = 1, map[string]bool{}
			v.LoadReported(m.ID, fleet.Load{At: epoch, Incarnation: 1})
		}
		now := epoch
		for id := range uint64(40) {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			ep := rapid.SampledFrom([]fleet.EndpointID{"runner-0", "runner-1", "runner-2"}).Draw(t, "endpoint")
			model := rapid.SampledFrom([]string{"old", "new"}).Draw(t, "weights")
			r := promptRequest(id+1, model, "sheet")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				incarnation[ep]++
				holds[ep] = map[string]bool{}
				v.LoadReported(ep, fleet.Load{At: now, Incarnation: incarnation[ep]})
			case 1:
				holds[ep] = map[string]bool{}
				v.Failed(now, Failure{Endpoint: ep, ConnectionLost: true})
			case 2:
				v.Answered(now, Answer{Endpoint: ep, Incarnation: incarnation[ep], Levels: r.Levels})
				holds[ep][model] = true
			case 3:
				report := Answer{Endpoint: ep, Incarnation: incarnation[ep] - 1, Levels: r.Levels}
				if report.Incarnation > 0 {
					v.Answered(now, report)
				}
			default:
				d := place(t, v, now, r)
				v.Failed(now, Failure{ID: r.ID})
				if d.Incarnation != 0 && d.Incarnation != incarnation[d.Endpoint] {
					t.Fatalf("relies on incarnation %d of %s, which is now %d", d.Incarnation, d.Endpoint, incarnation[d.Endpoint])
				}
				if d.Reason == ReasonHolder && !holds[d.Endpoint][model] {
					t.Fatalf("relies on %s for weights %q that its present incarnation never received", d.Endpoint, model)
				}
				holds[d.Endpoint][model] = true // the request was sent there
			}
		}
	})
}

// A daemon that has just started receives a message of a runner's present incarnation
// first, and then a late one of the previous incarnation, which looks like a restart. It
// must not ignore the running incarnation as retired from then on.
func TestRetiredIncarnationIsAcceptedAgain(t *testing.T) {
	v := testView(1)
	v.LoadReported("runner-0", fleet.Load{At: epoch, Incarnation: 2})
	v.Answered(epoch.Add(time.Millisecond), Answer{Endpoint: "runner-0", Incarnation: 1})
	report := fleet.Load{At: epoch.Add(time.Second), Incarnation: 2, Running: 5}
	v.LoadReported("runner-0", report)
	report.At = epoch.Add(2 * lateMessageWindow)
	v.LoadReported("runner-0", report)
	d := v.Dump(report.At).Endpoints[0]
	if d.Incarnation != 2 || d.Load.Running != 5 {
		t.Errorf("after ten seconds of reports: %+v", d)
	}
}
