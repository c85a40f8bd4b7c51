// Package ports defines the interfaces of the platform services that merlindock
// uses: an append-only log with offsets and a VM list that may be out of date.
//
// The interfaces are small so that tests can provide their own implementations.
// Package ports/httplog implements them over HTTP.
package ports

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Offset is the position of a record in its stream. The first record has offset
// 1, so that the zero value is before all records.
type Offset int64

// Stream is the name of a sequence of records in the log.
type Stream string

// Record is one record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"` // time of the append by the log's clock
	Data   []byte    `json:"data"`
}

// Page is the result of one read of a stream.
type Page struct {
	Records []Record `json:"records"`
	First   Offset   `json:"first"` // oldest record that has not expired, or Next if there is none
	Next    Offset   `json:"next"`  // offset of the next append
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. With ErrNotAppended the
	// record was not added; with any other error it may have been.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns up to limit records from the given offset, or none if there
	// are none yet. It returns a *TruncatedError if records at or after that
	// offset have expired.
	Read(ctx context.Context, s Stream, from Offset, limit int) (Page, error)
}

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList interface {
	Endpoints(ctx context.Context) ([]fleet.Endpoint, error)
	Daemons(ctx context.Context) ([]Daemon, error)
}

// Daemon is a VM that runs a merlindock daemon, as the platform lists it.
type Daemon struct {
	ID          string        `json:"id"`
	Zone        fleet.ZoneID  `json:"zone"`
	PeerAddress string        `json:"peer_address"` // IP:port of its gRPC listener
	State       fleet.VMState `json:"state"`
}

// Errors of the log.
var (
	// ErrNotAppended means that the record was definitely not added.
	ErrNotAppended = errors.New("ports: record not appended")
	// ErrUnavailable means that the log did not answer. An append may have
	// taken effect.
	ErrUnavailable = errors.New("ports: log unavailable")
	// ErrTooLong means that the answer exceeded the size limit of the client. A
	// read with a lower limit of records may succeed.
	ErrTooLong = errors.New("ports: answer too long")
)

// TruncatedError means that requested records have expired. A reader must not
// treat them as if they had never existed.
type TruncatedError struct {
	Stream Stream
	From   Offset // requested
	First  Offset // oldest record that has not expired
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("ports: stream %s: records %d to %d have expired", e.Stream, e.From, e.First-1)
}
