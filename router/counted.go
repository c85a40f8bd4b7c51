package router

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// counted counts the calls to the store by what they do and by topic, so that an
// operator sees what the daemons ask of it.
type counted struct {
	store Store
	lease LeaseLog
	list  Announcements
	scope tally.Scope
}

// countStoreCalls puts the counter before the store.
func (r *Router) countStoreCalls() {
	c := &counted{store: r.o.Store, lease: r.o.Lease, list: r.o.Announcements, scope: r.metrics.scope}
	r.o.Store, r.o.Lease = c, c
	if c.list != nil {
		r.o.Announcements = c
	}
}

func (c *counted) count(call string, t Topic) {
	c.scope.Tagged(map[string]string{"call": call, "topic": t.String()}).Counter("store_calls").Inc(1)
}

// Newest implements Store.
func (c *counted) Newest(ctx context.Context, t Topic, after string) (Page, error) {
	c.count("newest", t)
	return c.store.Newest(ctx, t, after)
}

// Read implements Store.
func (c *counted) Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Records, error) {
	c.count("read", t)
	return c.store.Read(ctx, t, from, wait)
}

// LeaseRecords implements LeaseLog.
func (c *counted) LeaseRecords(ctx context.Context, from int64, wait time.Duration) ([][]byte, int64, error) {
	c.count("read", TopicLease)
	return c.lease.LeaseRecords(ctx, from, wait)
}

// AppendLease implements LeaseLog.
func (c *counted) AppendLease(ctx context.Context, at int64, record []byte) error {
	c.count("append", TopicLease)
	return c.lease.AppendLease(ctx, at, record)
}

// Announce implements Announcements.
func (c *counted) Announce(ctx context.Context, n Neighbour) error {
	c.count("append", TopicDaemons)
	return c.list.Announce(ctx, n)
}

// Record implements Announcements.
func (c *counted) Record(ctx context.Context, key string, value []byte) error {
	c.count("append", TopicDaemons)
	return c.list.Record(ctx, key, value)
}
