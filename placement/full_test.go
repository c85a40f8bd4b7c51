package placement

import (
	"testing"

	"github.com/merlindock/merlindock/fleet"
)

// Guards against costs that are not numbers, so that the first endpoint gets everything, once
// all answers have arrived all at once.
func TestAnswersWithoutDurationLeaveCostsFinite(t *testing.T) {
	now := epoch
	v := queueView("a", "b", "c")
	for i := range uint64(20_000) {
		d := place(t, v, now, Request{ID: i + 1, Pool: "p"})
		v.Answered(now, Answer{ID: i + 1, Endpoint: d.Endpoint, Load: &fleet.Load{At: now, Running: 1, Slots: 8}})
		v.Finished(now, i+1)
	}
	v.LoadReported("a", fleet.Load{At: now, Running: 8, Waiting: 40, Slots: 8})
	if d := place(t, v, now, Request{ID: 50_000, Pool: "p"}); d.Endpoint == "a" {
		t.Error("a full endpoint was chosen although the others are idle")
	}
}
