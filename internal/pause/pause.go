// Package pause provides waits that end early with a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if that ends
// first. If d is zero or negative, it returns at once.
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

// Unless waits as For does, and ends early, with woken set, if a value is received from wake.
func Unless(ctx context.Context, d time.Duration, wake <-chan struct{}) (woken bool, err error) {
	if err := ctx.Err(); err != nil || d <= 0 {
		return false, err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-wake:
		return true, nil
	case <-t.C:
		return false, nil
	}
}

var processStart = time.Now()

// Tick waits until the next multiple of period since the start of the process.
// Loops whose periods are multiples of each other then wake the process
// together and not one by one.
func Tick(ctx context.Context, period time.Duration) error {
	return For(ctx, period-(time.Since(processStart)%period+period)%period)
}
