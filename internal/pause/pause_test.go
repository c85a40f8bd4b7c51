package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsForDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if err := For(t.Context(), time.Minute); err != nil || time.Since(began) != time.Minute {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := For(ctx, time.Hour); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Minute+time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if err := For(ctx, 0); err == nil {
			t.Error("For returned no error for an ended context without a wait")
		}
	})
}

// Guards against loops that each wake the process at a different time.
func TestTickAlignsToPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(after time.Duration) time.Time {
			time.Sleep(after)
			if err := Tick(t.Context(), 100*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			return time.Now()
		}
		first := at(0)
		for _, after := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 99 * time.Millisecond, 0} {
			next := at(after)
			if next.Sub(first) != 100*time.Millisecond {
				t.Errorf("%v between two ticks", next.Sub(first))
			}
			first = next
		}
	})
}
