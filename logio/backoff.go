// Package logio is the thin shell between the platform's log and the pure
// folds of package ledger: it appends in batches, retries with jitter, follows
// streams and reports gaps.
//
// Lock order: Follower's mutex is taken before the mutex of nothing else;
// callbacks run without it.
package logio

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlindock/merlindock/internal/pause"
)

// Bounds of the wait between two attempts at the log.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff doubles its wait with each failure and spreads it over half to the
// whole, so that a thousand daemons do not come back to a log in step when
// its outage ends.
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

// lockedRand lets goroutines share one seeded source.
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
