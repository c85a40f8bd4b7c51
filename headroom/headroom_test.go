package headroom

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

func newTable(daemons int) *Table {
	t := New(rand.New(rand.NewPCG(1, 2)))
	t.SetDaemons(daemons)
	return t
}

func brittle(perSecond float64) *float64 { return &perSecond }

var target = Target{ID: "e", Service: "s", Slots: 8}

func (t *Table) acquireAll(now time.Duration, to Target) int {
	n := 0
	for n < 100 && t.Acquire(now, to) {
		n++
	}
	return n
}

// Guards against limits for endpoints that never reported that rejections crash them.
func TestOtherEndpointsAreNotLimited(t *testing.T) {
	table := newTable(4)
	table.Answered(time.Second, target, Answer{Rejected: true, Load: &fleet.Load{Running: 8, Waiting: 9, Slots: 8}})
	if n := table.acquireAll(time.Second, target); n != 100 {
		t.Errorf("limited to %d requests", n)
	}
}

// Guards against a limit that outlasts the report, or that never begins.
func TestLimitHoldsWhileReported(t *testing.T) {
	table := newTable(4)
	if !table.Answered(time.Second, target, Answer{Limit: brittle(5)}).Began {
		t.Error("the beginning is not reported")
	}
	if n := table.acquireAll(time.Second, target); n != 2 {
		t.Errorf("%d requests under way, a fourth of 8 slots are allowed", n)
	}
	if full := table.Full(time.Second); len(full) != 1 || full[0] != target.ID {
		t.Errorf("full: %v", full)
	}
	table.Answered(2*time.Second, target, Answer{})
	if n := table.acquireAll(2*time.Second, target); n != 100 {
		t.Errorf("limited to %d requests after an answer without a report", n)
	}
}

// Guards against a flood at an endpoint that returns after a crash, before its first answer.
func TestNewEndpointOfBrittleServiceIsLimited(t *testing.T) {
	table := newTable(4)
	table.Answered(time.Second, target, Answer{Limit: brittle(5), Load: &fleet.Load{Running: 1, Slots: 8}})
	returned := Target{ID: "e2", Service: "s"}
	if n := table.acquireAll(2*time.Second, returned); n != 2 {
		t.Errorf("%d requests under way", n)
	}
	if n := table.acquireAll(2*time.Second, Target{ID: "x", Service: "other"}); n != 100 {
		t.Errorf("another service is limited to %d", n)
	}
	if n := table.acquireAll(time.Second+brittleTTL, Target{ID: "e3", Service: "s"}); n != 100 {
		t.Errorf("limited to %d long after the last report", n)
	}
}

// Guards against a limit that stays low after the room has returned, with and without
// reports of the load.
func TestLimitGrowsAgain(t *testing.T) {
	for name, load := range map[string]*fleet.Load{"load": {Running: 3, Slots: 8}, "no load": nil} {
		t.Run(name, func(t *testing.T) {
			table := newTable(4)
			now := time.Second
			table.Answered(now, target, Answer{Limit: brittle(5), Rejected: true})
			low := table.windows[target.ID].limit
			for range 100 {
				now += 200 * time.Millisecond
				n := table.acquireAll(now, target)
				for range n {
					table.Released(now+50*time.Millisecond, target.ID)
					table.Answered(now+50*time.Millisecond, target, Answer{Limit: brittle(5), Load: load})
				}
			}
			if high := table.windows[target.ID].limit; high < 2*low || high < 2 {
				t.Errorf("limit %v, %v after a rejection", high, low)
			}
		})
	}
}

// Guards against requests that rush at an endpoint that has just rejected one, however many
// daemons do so, and against an endpoint that is never tried again.
func TestRejectionPausesRequests(t *testing.T) {
	for _, daemons := range []int{2, 24, 900} {
		table := newTable(daemons)
		rejected := 0
		now := time.Second
		for ; now < 21*time.Second; now += 10 * time.Millisecond {
			if table.Acquire(now, target) {
				rejected++
				table.Answered(now, target, Answer{Limit: brittle(5), Rejected: true, Load: &fleet.Load{Running: 8, Waiting: 2, Slots: 8}})
				table.Released(now, target.ID)
			}
		}
		if rejected > 40 || rejected < 5 {
			t.Errorf("%d daemons: one caused %d rejections in 20 s", daemons, rejected)
		}
	}
}

// Guards against rejections of which the log does not tell what the daemon knew.
func TestRejectionsAreExplained(t *testing.T) {
	table := newTable(4)
	rejected := Answer{Limit: brittle(5), Rejected: true, Load: &fleet.Load{Running: 8, Waiting: 2, Slots: 8}}
	table.Acquire(time.Second, target)
	if got := table.Answered(time.Second, target, rejected).Rejection; got == nil || got.Limited || got.InFlight != 1 || got.AnswerAge >= 0 || got.RejectionAge >= 0 {
		t.Errorf("first answer: %+v", got)
	}
	if got := table.Answered(3*time.Second, target, rejected).Rejection; got == nil || !got.Limited || got.AnswerAge != 2*time.Second || got.RejectionAge != 2*time.Second {
		t.Errorf("second answer: %+v", got)
	}
	if got := table.Answered(4*time.Second, target, Answer{Limit: brittle(5)}).Rejection; got != nil {
		t.Errorf("an answer that is no rejection: %+v", got)
	}
}

// Guards against memory that grows with every endpoint that ever was.
func TestForgetsEndpoints(t *testing.T) {
	table := newTable(2)
	table.Answered(time.Second, target, Answer{Limit: brittle(5)})
	table.Retain(time.Second, func(fleet.EndpointID) bool { return true })
	if len(table.windows) != 1 {
		t.Error("a known endpoint is forgotten")
	}
	table.Retain(time.Minute, func(fleet.EndpointID) bool { return false })
	if len(table.windows)+len(table.brittle) != 0 {
		t.Error("an endpoint that is gone is kept")
	}
}
