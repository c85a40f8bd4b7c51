package router

import (
	"testing"
	"time"

	"github.com/merlindock/merlindock/forward"
)

// A daemon receives five times the bound of ordinary requests. If each wrote a line, the
// log queue would drop lines, among them possibly those of failed requests.
func TestLimitsOrdinaryLinesUnderLoad(t *testing.T) {
	f := lineLimiter{perSecond: ordinaryPerSecond}
	at := time.Unix(1_800_000_000, 0)
	written := 0
	for range 5 * ordinaryPerSecond {
		if ok, suppressed := f.allow(at); ok {
			written++
		} else if suppressed != 0 {
			t.Fatalf("%d suppressed lines reported before the second ended", suppressed)
		}
	}
	if written != ordinaryPerSecond {
		t.Errorf("%d lines were written", written)
	}
	if ok, suppressed := f.allow(at.Add(time.Second)); !ok || suppressed != 4*ordinaryPerSecond {
		t.Errorf("next second: allowed %v, %d lines suppressed before", ok, suppressed)
	}
}

// The lines of failed, late, repeated and refused requests must never be suppressed.
func TestFailuresAreNotOrdinary(t *testing.T) {
	one := []forward.AttemptReport{{}}
	good := forward.Report{Status: 200, Attempts: one, Duration: time.Second, FirstEvent: 100 * time.Millisecond, Target: 300 * time.Millisecond}
	if !ordinary(&good) {
		t.Error("a timely answer without error does not count as ordinary")
	}
	for name, change := range map[string]func(*forward.Report){
		"refused":      func(r *forward.Report) { r.Status, r.Code = 503, "overloaded" },
		"late":         func(r *forward.Report) { r.FirstEvent = 400 * time.Millisecond },
		"repeated":     func(r *forward.Report) { r.Attempts = make([]forward.AttemptReport, 2) },
		"broken":       func(r *forward.Report) { r.Code = "endpoint_lost" },
		"error status": func(r *forward.Report) { r.Status = 500 },
		"no attempt":   func(r *forward.Report) { r.Attempts = nil },
	} {
		r := good
		change(&r)
		if ordinary(&r) {
			t.Errorf("%s: counts as ordinary", name)
		}
	}
}
