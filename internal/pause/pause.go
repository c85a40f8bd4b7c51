// Package pause waits for a while or until a context ends, whichever comes
// first.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or the context's error if that ends first.
// A d of zero or less does not wait.
func For(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

var processStart = time.Now()

// Tick waits until the next multiple of the period since the process began. Loops with
// periods that divide each other wake the process up together, and not each by itself.
func Tick(ctx context.Context, period time.Duration) error {
	return For(ctx, period-(time.Since(processStart)%period+period)%period)
}
