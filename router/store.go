package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/merlindock/merlindock/directory"
	"github.com/merlindock/merlindock/feed"
	"github.com/merlindock/merlindock/routes"
)

// Topic is a topic of the store that a daemon follows.
type Topic uint8

// Topics.
const (
	TopicOperator  Topic = iota // the configuration and the weight versions
	TopicEndpoints              // entries of endpoints
	TopicLease                  // claims of the rollout lease
	TopicDaemons                // announcements of daemons
	topicCount
)

var topicNames = [topicCount]string{"operator", "endpoints", "lease", "daemons"}

// String returns the name used in logs and metrics.
func (t Topic) String() string { return topicNames[t] }

// Record is the newest value of a key, or one change of it.
type Record = feed.Record

// Records is the result of a read.
type Records struct {
	From    int64 // offset of the first record; not the requested one if that was 0
	Records []Record
	Next    int64 // offset for the next read
	End     int64 // end of the topic when the read was answered
}

// Errors of the store.
var (
	// ErrHistoryTruncated is returned when the requested records are no longer kept. The
	// newest record of each key is still available.
	ErrHistoryTruncated = errors.New("router: history of the store is no longer kept")
	// ErrOlderGeneration is returned for an answer of a generation of the store before
	// the one that was asked for.
	ErrOlderGeneration = errors.New("router: store answered from an older generation")
	// ErrStoreBusy is returned when the store rejected the call without executing it.
	ErrStoreBusy = errors.New("router: store rejected the call")
)

// HistoryTruncatedError is an ErrHistoryTruncated with the offset of the oldest record
// that is kept.
type HistoryTruncatedError struct {
	First int64
	// Restored states that the store was restored from a copy. Records that were read
	// may be lost, and the newest records may be older than those.
	Restored bool
}

func (e *HistoryTruncatedError) Error() string {
	return fmt.Sprintf("%v: the oldest kept is %d", ErrHistoryTruncated, feed.Position(e.First))
}

// Is reports whether target is ErrHistoryTruncated.
func (e *HistoryTruncatedError) Is(target error) bool { return target == ErrHistoryTruncated }

// AppendConflictError is returned when an append is refused because the topic no longer
// ends at the expected offset.
type AppendConflictError struct{ End int64 }

func (e *AppendConflictError) Error() string {
	return fmt.Sprintf("router: append refused, the topic ends at %d", feed.Position(e.End))
}

// Page is a page of the newest records of a topic.
type Page struct {
	Records []Record
	End     int64 // end of the topic when the page was answered
	More    bool  // there are further keys
}

// Store reads topics of the metadata store. Its offsets hold the generation of the store,
// see package feed. A read at an offset of an earlier generation returns a
// *HistoryTruncatedError.
type Store interface {
	// Newest returns the newest records of the keys that follow after, as many as fit
	// into one answer. Pages are not a snapshot: changes that happen meanwhile must be
	// read from the End of the first page.
	Newest(ctx context.Context, t Topic, after string) (Page, error)
	// Read returns records from the offset on, or from the beginning if that is 0. If
	// there are none, it waits up to wait for one.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Records, error)
}

// LeaseRecords are consecutive records of the lease.
type LeaseRecords struct {
	From    int64 // offset of the first record; not the requested one if that was 0
	Records [][]byte
	End     int64 // end of the topic when the read was answered
}

// LeaseLog is the topic in which daemons agree on the rollout leader.
type LeaseLog interface {
	// LeaseRecords returns the records from the offset on, or from the beginning if that
	// is 0. If there are none, it waits up to wait for one.
	LeaseRecords(ctx context.Context, from int64, wait time.Duration) (LeaseRecords, error)
	// AppendLease appends a record if the topic ends at the offset, and returns an
	// *AppendConflictError if it does not. It also returns that error if the record was
	// appended at the same position of a newer generation.
	AppendLease(ctx context.Context, at int64, record []byte) error
}

// OperatorChange is a decoded record of the operator topic: a configuration, a named
// weight version, or neither.
type OperatorChange struct {
	Table   *routes.Table
	Model   string
	Weights int64 // version named for Model
}

// Codec decodes records of the store.
type Codec interface {
	Operator(key string, value []byte) (OperatorChange, error)
	Endpoint(id string, value []byte) (directory.Entry, error)
	Daemon(name string, value []byte) (Neighbour, error)
}
