package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestForEndsWithTheTimeOrTheContext(t *testing.T) {
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
			t.Error("an ended context was not seen without a wait")
		}
	})
}
