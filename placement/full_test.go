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

// Guards against endpoints that report no load and are all taken for idle in the same order,
// so that the first one gets everything.
func TestEndpointsThatReportNothingShareRequests(t *testing.T) {
	now := epoch
	v := queueView("a", "b", "c", "d")
	count := map[fleet.EndpointID]int{}
	for i := range uint64(40) { // all under way at once
		d := place(t, v, now, Request{ID: i + 1, Pool: "p"})
		v.Answered(now, Answer{ID: i + 1, Endpoint: d.Endpoint})
		count[d.Endpoint]++
	}
	for id, n := range count {
		if n > 11 || len(count) != 4 {
			t.Errorf("%s has %d of 40 requests", id, n)
		}
	}
	for i := range uint64(400) { // one after the other
		d := place(t, v, now, Request{ID: 100 + i, Pool: "p"})
		v.Finished(now, 100+i)
		count[d.Endpoint]++
	}
	for id, n := range count {
		if n > 150 {
			t.Errorf("%s has had %d of 440 requests", id, n)
		}
	}
}
