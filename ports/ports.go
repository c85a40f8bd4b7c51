// Package ports names what merlindock takes from the platform it runs on:
// an append-only log with offsets and a lagging list of VMs.
//
// The interfaces are small so that a test can stand in for them. Package
// ports/httplog speaks to the real service over HTTP.
package ports

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/merlindock/merlindock/fleet"
)

// Offset is a record's place in its stream; the first record has offset 1, so
// that the zero value means "before every record".
type Offset int64

// Stream names one sequence of records of the log.
type Stream string

// Record is one record of a stream.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"` // when the log took it, by the log's clock
	Data   []byte    `json:"data"`
}

// Page is what one read of a stream gives.
type Page struct {
	Records []Record `json:"records"`
	First   Offset   `json:"first"` // oldest record still kept, or Next if none is
	Next    Offset   `json:"next"`  // the offset that the next append will get
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. An error that is not
	// ErrNotAppended leaves open whether the record was added.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns up to limit records from the given offset on, and none when
	// there is none yet. It returns a *TruncatedError when records from the
	// offset on have expired.
	Read(ctx context.Context, s Stream, from Offset, limit int) (Page, error)
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	Endpoints(ctx context.Context) ([]fleet.Endpoint, error)
	Daemons(ctx context.Context) ([]Daemon, error)
}

// Daemon is an entry VM of the system's own, as the platform lists it.
type Daemon struct {
	ID          string        `json:"id"`
	Zone        fleet.ZoneID  `json:"zone"`
	PeerAddress string        `json:"peer_address"` // IP:port of its gRPC listener
	State       fleet.VMState `json:"state"`
}

// Errors of the log.
var (
	// ErrNotAppended says that the record was certainly not added.
	ErrNotAppended = errors.New("ports: record not appended")
	// ErrUnavailable says that the log gave no answer; an append may have
	// taken effect.
	ErrUnavailable = errors.New("ports: log unavailable")
	// ErrTooLong says that a page was longer than is taken; fewer records may
	// fit.
	ErrTooLong = errors.New("ports: answer too long")
)

// TruncatedError says that the records asked for have expired. A reader must
// not go on as if there had been none.
type TruncatedError struct {
	Stream Stream
	From   Offset // asked for
	First  Offset // oldest still kept
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("ports: stream %s: records %d to %d have expired", e.Stream, e.From, e.First-1)
}
