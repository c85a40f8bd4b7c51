package placement

import (
	"testing"
	"time"

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

// Guards against sending request after request to an endpoint that rejects them, because its
// reports are the only recent ones.
func TestFullEndpointIsAvoidedAfterRejection(t *testing.T) {
	now := epoch
	v := queueView("a", "b")
	v.LoadReported("b", fleet.Load{At: now, Running: 7, Slots: 8})
	v.Rejected(now, "a")
	if d := place(t, v, now, Request{ID: 1, Pool: "p"}); d.Endpoint != "b" {
		t.Errorf("%s was chosen right after a rejected", d.Endpoint)
	}
	if d := place(t, v, now.Add(2*minFullPause), Request{ID: 2, Pool: "p"}); d.Endpoint != "a" {
		t.Errorf("%s was chosen after the pause", d.Endpoint)
	}
	for range 10 {
		v.Rejected(now, "a")
	}
	if d := place(t, v, now.Add(maxFullPause/2), Request{ID: 3, Pool: "p"}); d.Endpoint != "b" {
		t.Errorf("%s was chosen after ten rejections", d.Endpoint)
	}
	if d := place(t, v, now.Add(maxFullPause+time.Millisecond), Request{ID: 4, Pool: "p"}); d.Endpoint != "a" {
		t.Errorf("%s was chosen after the longest pause", d.Endpoint)
	}
	v.Answered(now, Answer{ID: 4, Endpoint: "a"})
	v.Rejected(now, "a")
	if d := place(t, v, now.Add(2*minFullPause), Request{ID: 5, Pool: "p"}); d.Endpoint != "a" {
		t.Errorf("%s was chosen after a pause that an answer had reset", d.Endpoint)
	}
}
