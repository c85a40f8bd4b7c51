package drain

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the property tests, so that each run has the same
// result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// During a release, requests that are open at the first signal or arrive before the
// balancer has noticed must be completed.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	s := New(Options{BalancerLag: 10 * time.Second, MaxWait: time.Minute})
	s.SetOpenRequests(epoch, 2)
	if got := s.Signal(epoch); got != Unready || s.Ready() || !s.Accepts() {
		t.Fatalf("after the signal: %v, ready %v, accepts %v", got, s.Ready(), s.Accepts())
	}
	if got := s.SetOpenRequests(at(9*time.Second), 0); got != Unready {
		t.Errorf("without open requests before the lag has passed: %v", got)
	}
	s.SetOpenRequests(at(9500*time.Millisecond), 1)
	if got := s.Advance(at(10 * time.Second)); got != Closing || s.Accepts() {
		t.Errorf("after the lag: %v, accepts %v", got, s.Accepts())
	}
	if got := s.SetOpenRequests(at(30*time.Second), 0); got != Done || s.CutRequests() != 0 {
		t.Errorf("after the last stream: %v, %d cut", got, s.CutRequests())
	}
}

// The process must exit even if a stream never ends, or at an operator's second
// signal. Open requests must then get an error instead of a normal end.
func TestMaxWaitAndRepeatedSignals(t *testing.T) {
	slow := New(Options{BalancerLag: time.Second, MaxWait: time.Minute, ErrorTimeout: time.Second})
	slow.SetOpenRequests(epoch, 1)
	slow.Signal(epoch)
	slow.Advance(at(2 * time.Second))
	if got := slow.Advance(at(61 * time.Second)); got != Stopping || slow.CutRequests() != 1 {
		t.Errorf("at the end of MaxWait: %v, %d cut", got, slow.CutRequests())
	}
	if got := slow.Advance(at(62 * time.Second)); got != Done {
		t.Errorf("after ErrorTimeout: %v", got)
	}
	twice := New(Options{})
	twice.SetOpenRequests(epoch, 3)
	twice.Signal(epoch)
	if got := twice.Signal(at(time.Second)); got != Stopping || twice.CutRequests() != 3 {
		t.Errorf("after the second signal: %v, %d cut", got, twice.CutRequests())
	}
	if got := twice.Signal(at(2 * time.Second)); got != Done {
		t.Errorf("after the third signal: %v", got)
	}
	quiet := New(Options{})
	quiet.Signal(epoch)
	if got := quiet.Signal(at(time.Second)); got != Done || quiet.CutRequests() != 0 {
		t.Errorf("second signal without open requests: %v, %d cut", got, quiet.CutRequests())
	}
}

// Property: states are entered in order, and a shutdown that was started ends within
// its time limits.
func TestStatesAdvanceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{BalancerLag: 5 * time.Second, MaxWait: 20 * time.Second, ErrorTimeout: 2 * time.Second})
		now, began := epoch, false
		last := s.State()
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(-500, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 15).Draw(t, "signal") == 0 {
				s.Signal(now)
				began = true
			} else {
				s.SetOpenRequests(now, rapid.IntRange(0, 4).Draw(t, "open"))
			}
			if s.State() < last {
				t.Fatalf("state %v was followed by %v", last, s.State())
			}
			last = s.State()
		}
		for range 3 {
			if next, some := s.NextDeadline(); some {
				s.Advance(next)
			}
		}
		if began && s.State() != Done {
			t.Fatalf("final state %v, want Done", s.State())
		}
	})
}
