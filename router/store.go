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

// Topic is one of the store's topics that a daemon follows.
type Topic uint8

// The topics.
const (
	TopicOperator  Topic = iota // the configuration and the weight versions
	TopicEndpoints              // what endpoints register
	TopicLease                  // claims of the lease of orders
	TopicDaemons                // what daemons announce of themselves
	topicCount
)

var topicNames = [topicCount]string{"operator", "endpoints", "lease", "daemons"}

// String returns the name used in logs.
func (t Topic) String() string { return topicNames[t] }

// Record is the newest value of a key, or one change of it.
type Record = feed.Record

// Records are the answer to one read.
type Records struct {
	Records []Record
	Next    int64 // where to read on
	End     int64 // of the topic when the read was answered
}

// Errors of the store.
var (
	// ErrHistoryGone says that the records asked for are not kept any more; the
	// newest of each key is.
	ErrHistoryGone = errors.New("router: history of the store is gone")
	// ErrStoreBusy says that the store turned the call away. Nothing was done.
	ErrStoreBusy = errors.New("router: store turned the call away")
)

// HistoryGoneError is ErrHistoryGone with the oldest record that is kept.
type HistoryGoneError struct{ First int64 }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("%v: the oldest kept is %d", ErrHistoryGone, e.First)
}

// Is makes it an ErrHistoryGone.
func (e *HistoryGoneError) Is(target error) bool { return target == ErrHistoryGone }

// LostRaceError says that an append was refused since the topic had moved on.
type LostRaceError struct{ End int64 }

func (e *LostRaceError) Error() string {
	return fmt.Sprintf("router: append refused, the topic ends at %d", e.End)
}

// Page is a part of the newest records of a topic.
type Page struct {
	Records []Record
	End     int64 // of the topic when the page was answered
	More    bool  // there are later keys
}

// Store is what a daemon reads.
type Store interface {
	// Newest returns the newest record of each key of the topic after the given one, as
	// many as fit into one answer. Pages are no snapshot: what changes meanwhile is read
	// from the end that the first page named.
	Newest(ctx context.Context, t Topic, after string) (Page, error)
	// Read returns records from the offset on, and waits for one for a while.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Records, error)
}

// LeaseLog is the topic in which daemons agree who gives orders.
type LeaseLog interface {
	// LeaseRecords returns the records from the offset on, and the end of the
	// topic, waiting for one for a while.
	LeaseRecords(ctx context.Context, from int64, wait time.Duration) ([][]byte, int64, error)
	// AppendLease adds a record at the offset if the topic ends there, and
	// returns a *LostRaceError if it does not.
	AppendLease(ctx context.Context, at int64, record []byte) error
}

// OperatorChange is one record of the operator. Either field may be zero.
type OperatorChange struct {
	Table   *routes.Table
	Model   string
	Weights int64 // version named for the model
}

// Codec decodes records.
type Codec interface {
	Operator(key string, value []byte) (OperatorChange, error)
	Endpoint(id string, value []byte) (directory.Entry, error)
	Daemon(name string, value []byte) (Neighbour, error)
}
