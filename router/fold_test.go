package router

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/forward"
)

// A daemon gets five times its usual requests. If each wrote its line, the queue
// of lines would drop some, and the one of the failed request that the operator
// looks for may be among them.
func TestOrdinaryLinesAreFoldedUnderLoad(t *testing.T) {
	f := lineLimiter{perSecond: ordinaryPerSecond}
	at := time.Unix(1_800_000_000, 0)
	written := 0
	for range 5 * ordinaryPerSecond {
		if ok, told := f.allow(at); ok {
			written++
		} else if told != 0 {
			t.Fatalf("told of %d too early", told)
		}
	}
	if written != ordinaryPerSecond {
		t.Errorf("%d lines", written)
	}
	if ok, told := f.allow(at.Add(time.Second)); !ok || told != 4*ordinaryPerSecond {
		t.Errorf("the next second writes %v and tells of %d", ok, told)
	}
}

// Whatever a caller could complain of keeps its line.
func TestFailuresAreNotOrdinary(t *testing.T) {
	one := []forward.AttemptReport{{}}
	good := forward.Report{Status: 200, Attempts: one, Duration: time.Second, FirstEvent: 100 * time.Millisecond, Target: 300 * time.Millisecond}
	if !ordinary(&good) {
		t.Error("a good answer is not ordinary")
	}
	for name, change := range map[string]func(*forward.Report){
		"refused":   func(r *forward.Report) { r.Status, r.Code = 503, "overloaded" },
		"late":      func(r *forward.Report) { r.FirstEvent = 400 * time.Millisecond },
		"repeated":  func(r *forward.Report) { r.Attempts = make([]forward.AttemptReport, 2) },
		"broken":    func(r *forward.Report) { r.Code = "endpoint_lost" },
		"an error":  func(r *forward.Report) { r.Status = 500 },
		"a refusal": func(r *forward.Report) { r.Attempts = nil },
	} {
		r := good
		change(&r)
		if ordinary(&r) {
			t.Errorf("%s: counts as ordinary", name)
		}
	}
}
