package router

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// countingStore counts calls to the store by operation and topic, so that an operator
// sees the load that daemons put on it.
type countingStore struct {
	store Store
	lease LeaseLog
	list  DaemonRegistry
	scope tally.Scope
}

// countStoreCalls wraps the store interfaces in Options with a countingStore.
func (r *Router) countStoreCalls() {
	c := &countingStore{store: r.options.Store, lease: r.options.Lease, list: r.options.DaemonRegistry, scope: r.metrics.scope}
	r.options.Store, r.options.Lease = c, c
	if c.list != nil {
		r.options.DaemonRegistry = c
	}
}

func (c *countingStore) count(call string, t Topic) {
	c.scope.Tagged(map[string]string{"call": call, "topic": t.String()}).Counter("store_calls").Inc(1)
}

// Newest implements Store.
func (c *countingStore) Newest(ctx context.Context, t Topic, after string) (Page, error) {
	c.count("newest", t)
	return c.store.Newest(ctx, t, after)
}

// Read implements Store.
func (c *countingStore) Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Records, error) {
	c.count("read", t)
	return c.store.Read(ctx, t, from, wait)
}

// LeaseRecords implements LeaseLog.
func (c *countingStore) LeaseRecords(ctx context.Context, from int64, wait time.Duration) (LeaseRecords, error) {
	c.count("read", TopicLease)
	return c.lease.LeaseRecords(ctx, from, wait)
}

// AppendLease implements LeaseLog.
func (c *countingStore) AppendLease(ctx context.Context, at int64, record []byte) error {
	c.count("append", TopicLease)
	return c.lease.AppendLease(ctx, at, record)
}

// Announce implements DaemonRegistry.
func (c *countingStore) Announce(ctx context.Context, n Neighbour) error {
	c.count("append", TopicDaemons)
	return c.list.Announce(ctx, n)
}

// Record implements DaemonRegistry.
func (c *countingStore) Record(ctx context.Context, key string, value []byte) error {
	c.count("append", TopicDaemons)
	return c.list.Record(ctx, key, value)
}
