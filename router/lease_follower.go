package router

import (
	"context"
	"errors"
	"time"

	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/internal/pause"
)

// Intervals for following the lease.
const (
	// leaseStoreWait is how long a read of the lease waits for a record while no orders
	// are due.
	leaseStoreWait = 20 * time.Second
	// leaseRelayWait is the same for the daemon that reads for its zone. Its data is up
	// to two waits old, and neighbours replace it as their source above maxLeaseAge.
	leaseRelayWait = 10 * time.Second
	// leaseReadInterval is the minimum time between two reads of the lease, which every
	// daemon makes during a rollout. Requests sent in between to an engine that has
	// begun to load are rejected by that engine.
	leaseReadInterval = 1000 * time.Millisecond
)

// follow reads the lease until the context ends.
func (l *leader) follow(ctx context.Context) {
	l.router.neighbours.awaitList(ctx)
	for ctx.Err() == nil {
		_ = pause.For(ctx, l.followOnce(ctx))
	}
}

// followOnce makes one read, through a neighbour or from the store, and returns the
// time until the next one.
func (l *leader) followOnce(ctx context.Context) time.Duration {
	l.mu.Lock()
	from := l.lease.NextOffset()
	l.mu.Unlock()
	l.subscription.generation = feed.Generation(from)
	got, confirmed, ok := l.subscription.read(ctx, from, "")
	l.router.feeds[TopicLease].RecordProgress(l.subscription.progress)
	l.router.feeds[TopicLease].SetDetached(l.subscription.detached)
	if ok {
		batch := LeaseRecords{From: got.Next - int64(len(got.Records)), End: got.Next}
		for _, r := range got.Records {
			batch.Records = append(batch.Records, r.Value)
		}
		l.subscription.confirm(confirmed)
		l.applyRecords(batch, confirmed)
		return relayPause
	}
	if ctx.Err() != nil {
		return 0
	}
	if l.subscription.storeBackedOff() {
		return minRetryPause
	}
	sent := l.router.clock()
	if err := l.readLease(ctx, from, l.storeWait()); err != nil {
		l.subscription.failed()
		return leaseReadInterval + maxRetryPause
	}
	l.subscription.confirm(sent)
	l.subscription.answered()
	l.router.feeds[TopicLease].SetDetached(false)
	return leaseReadInterval
}

// storeWait returns how long a read of the lease waits for a record at the store.
func (l *leader) storeWait() time.Duration {
	switch {
	case !l.subscription.known || l.subscription.stale():
		return 0 // daemons that read through this one need the answer now
	case l.router.neighbours.relays(TopicLease):
		return leaseRelayWait
	default:
		return leaseStoreWait
	}
}

// readLease reads the lease from the store.
func (l *leader) readLease(ctx context.Context, from int64, wait time.Duration) error {
	call, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	sent := l.router.clock()
	got, err := l.router.options.Lease.LeaseRecords(call, from, wait)
	l.logRead(from, err)
	var truncated *HistoryTruncatedError
	if errors.As(err, &truncated) {
		l.skipTo(from, truncated)
		return nil
	}
	if err != nil {
		return err
	}
	l.applyRecords(got, sent)
	return nil
}

// skipTo continues at the oldest offset that the store holds, unless the lease was read
// further meanwhile.
func (l *leader) skipTo(from int64, truncated *HistoryTruncatedError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.NextOffset() != from {
		return
	}
	message := "History of the store is no longer kept, skipping lease records."
	if truncated.First < from {
		l.lease.Rewind(l.router.clock(), truncated.First)
	} else {
		l.lease.SkipTo(l.router.clock(), truncated.First)
	}
	if truncated.Restored || truncated.First < from {
		message = "Store was restored from a copy, reading the lease again."
	}
	l.router.log.Info(message, "generation", feed.Generation(truncated.First), "first", feed.Position(truncated.First), "next", feed.Position(from))
}

// logRead logs when the lease becomes unreadable and when it can be read again.
func (l *leader) logRead(from int64, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, ErrHistoryTruncated) {
		return // skipTo logs the latter
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && l.failedReads > 0:
		l.router.log.Info("Store answers again.", "topic", TopicLease.String(), "failed_reads", l.failedReads)
	case err != nil && l.failedReads == 0:
		l.router.log.Warn("Store cannot be read.", "topic", TopicLease.String(), "from", feed.Position(from), "error", err.Error())
	}
	if err == nil {
		l.failedReads = 0
	} else {
		l.failedReads++
	}
}

// applyRecords applies lease records and publishes them to neighbours. They had the given
// end at the time confirmed.
func (l *leader) applyRecords(got LeaseRecords, confirmed time.Duration) {
	b := feed.Batch{From: got.From, Next: got.From + int64(len(got.Records)), Confirmed: confirmed}
	for i, r := range got.Records {
		b.Records = append(b.Records, Record{Value: r, Offset: got.From + int64(i)})
	}
	b.Complete = b.Next >= got.End
	l.router.feeds[TopicLease].Add(b)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(got.Records) == 0 && got.End > max(got.From, l.lease.NextOffset()) {
		l.lease.SkipTo(l.router.clock(), got.End)
	}
	before := l.lease.Holder()
	claims := l.lease.Observe(l.router.clock(), got.From, got.Records)
	if after := l.lease.Holder(); after != before {
		l.router.log.Info("Rollout lease changed its holder.", "holder", after, "offset", feed.Position(l.lease.NextOffset()-1))
	}
	for _, c := range claims {
		l.router.state.applyEngineUpdates(time.Now(), c.Updates)
		l.router.state.applyNamedTimes(l.router.clock(), time.Now(), c.VersionTimes)
	}
}
