// Package logio connects the platform's log to the pure state machines of
// package ledger: it appends in batches, retries with jitter, follows streams
// and reports gaps.
//
// Lock order: Manifests takes notifyMu before mu, and calls OnChange with only
// notifyMu held. LeaseKeeper takes mu before the mutex of its random source, and
// calls ShouldHold without a mutex.
package logio

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// Bounds of the wait between two attempts to read or append.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff doubles its wait with each failure and draws it at random between half
// and all of that, so that a thousand daemons do not retry in step when an
// outage of the log ends.
type backoff struct {
	random *lockedRand
	next   time.Duration
}

func (b *backoff) reset() { b.next = 0 }

func (b *backoff) wait(ctx context.Context) error {
	b.next = min(max(2*b.next, minBackoff), maxBackoff)
	half := b.next / 2
	return pause.For(ctx, half+time.Duration(b.random.int64n(int64(half)+1)))
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRand(seed uint64) *lockedRand {
	return &lockedRand{r: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lockedRand) int64n(n int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Int64N(n)
}
