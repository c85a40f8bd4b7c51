// Package placement decides which endpoint runs a request.
//
// A View is one daemon's local state of the fleet: which endpoint caches which prefix and
// how long the queues are. It is updated from answers, load reports, cache events and the
// endpoint list, all of which may be late or lost. None of it is required for serving: an
// empty View places by rendezvous hashing alone, so that a daemon that has just restarted
// sends a prefix to the same endpoint as the other daemons.
//
// The package does no I/O, starts no goroutine and reads no clock. A View is not safe for
// concurrent use; SharedView is. SharedView holds a single lock, so there is no lock order
// to keep.
package placement

import (
	"errors"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// Errors returned by Place and Select.
var (
	// ErrUnknownPool reports a request for a pool that was never set.
	ErrUnknownPool = errors.New("placement: pool is unknown")
	// ErrNoEndpoint reports that every endpoint of the pool is draining, leaving or
	// excluded by the request. Nothing was sent.
	ErrNoEndpoint = errors.New("placement: no endpoint may take the request")
)

// Table bounds and option defaults.
const (
	DefaultMaxPrefixes     = 1 << 16 // prefixes in the table
	DefaultMaxReservations = 1 << 14 // placed requests without a final result
	MaxHolders             = 32      // endpoints recorded as holders of one prefix
	MaxPreferred           = 8       // endpoints in the rendezvous order of one prefix
	MaxEndpoints           = 1 << 16 // in all pools together

	DefaultPrefillRate    = 8000.0                  // tokens/s
	DefaultImportRate     = 40000.0                 // tokens/s
	DefaultImportLatency  = 30 * time.Millisecond   // until the first imported token
	DefaultZoneDelay      = 1500 * time.Microsecond // one-way network delay between zones
	DefaultReservationTTL = 30 * time.Second
	DefaultCacheHalfLife  = 10 * time.Second // of a cache entry that no event confirms
	DefaultPreferredPrior = 0.9
	DefaultServiceTime    = 2 * time.Second // from the first token to the last
)

// Options configures a View. Zero fields take the defaults.
type Options struct {
	Zone    fleet.ZoneID // the daemon's zone
	Daemons int          // number of daemons that share the fleet, including this one; at least 1

	PrefillRate   float64       // initial estimate for one endpoint, in tokens/s
	ImportRate    float64       // from the KV store, in tokens/s
	ImportLatency time.Duration // added to each import
	ZoneDelay     time.Duration // one-way delay between two zones
	CacheHalfLife time.Duration // initial estimate of how long an idle cache entry stays

	// QueueHalfLife is the half-life of a reported queue. With 0, the queue is assumed to
	// shrink at the endpoint's prefill rate and no other daemon to add to it.
	QueueHalfLife time.Duration

	// PreferredPrior is the probability that a preferred endpoint caches a prefix of which
	// nothing is known there: other daemons have probably sent it there.
	PreferredPrior float64

	ReservationTTL  time.Duration // after which a reservation without a result is dropped
	MaxPrefixes     int
	MaxReservations int
}

func (o Options) withDefaults() Options {
	o.Daemons = max(o.Daemons, 1)
	setDefault(&o.PrefillRate, DefaultPrefillRate)
	setDefault(&o.ImportRate, DefaultImportRate)
	setDefault(&o.ImportLatency, DefaultImportLatency)
	setDefault(&o.ZoneDelay, DefaultZoneDelay)
	setDefault(&o.CacheHalfLife, DefaultCacheHalfLife)
	setDefault(&o.PreferredPrior, DefaultPreferredPrior)
	setDefault(&o.ReservationTTL, DefaultReservationTTL)
	setDefault(&o.MaxPrefixes, DefaultMaxPrefixes)
	setDefault(&o.MaxReservations, DefaultMaxReservations)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	ID        uint64 // owner of the reservation; unique among requests in flight
	Pool      string // endpoints that can serve it, see SetPool
	Levels    []prefix.Level
	Tokens    int // length of the whole prompt
	Priority  contract.Priority
	Avoid     []fleet.EndpointID // endpoints tried already
	Only      []fleet.EndpointID // sorted: no others may be chosen; nil: any of the pool
	Locations *PrefixLocations   // nil: only what answers and events showed is known
	// Exclusive is set if this daemon places all requests of the pool: an endpoint that it
	// sent nothing to is idle, however old its load report is.
	Exclusive bool
	// SharedWithin is set if all daemons know the same load reports, and is the age that a
	// report has when they know of the next one. Requests are then spread at random, see
	// View.spreadLoads.
	SharedWithin time.Duration
	SharedPool   string // all endpoints of the service, for SharedWithin
}

// PrefixLocations lists which endpoints cache the beginning of one prompt, as reported by
// the endpoints.
type PrefixLocations struct {
	Tokens    map[fleet.EndpointID]int // cached leading tokens; endpoints that report nothing are missing
	MaxTokens int                      // leading tokens that can be fetched from some endpoint or store
	FetchRate float64                  // in tokens/s
}

// Reason is the reason for the choice of an endpoint, for logs and dumps.
type Reason uint8

// Reasons for choosing an endpoint.
const (
	ReasonPreferred Reason = iota // a preferred endpoint of the prefix, contents of its cache unknown
	ReasonHolder                  // probably caches part of the prompt
	ReasonSpill                   // neither of these, but with a shorter wait
	ReasonPanic                   // only ejected endpoints are left
)

var reasonNames = [...]string{"home", "holder", "spill", "panic"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the chosen endpoint and the estimates behind the choice.
type Decision struct {
	Endpoint           fleet.EndpointID
	Incarnation        fleet.Incarnation // whose cache the decision relies on; zero: none or unknown
	ExpectedCached     int               // tokens that probably need no prefill: cached there or fetched
	ExpectedWait       time.Duration     // in the endpoint's queue
	ExpectedFirstToken time.Duration     // until the first token
	LoadAge            time.Duration     // age of the last load report; negative: none was received
	ImportFrom         fleet.EndpointID  // KV store to import from; empty: none
	AlternateEndpoint  fleet.EndpointID  // first preferred endpoint other than Endpoint; empty: none
	Reason             Reason
}

// Answer holds the fields of the beginning of an answer that placement uses.
type Answer struct {
	ID           uint64
	Endpoint     fleet.EndpointID
	Incarnation  fleet.Incarnation
	CachedTokens int // read from the cache or imported
	Levels       []prefix.Level
	Load         *fleet.Load // nil if the endpoint does not report it
}

// Failure is an attempt that ended without a complete answer.
type Failure struct {
	ID       uint64
	Endpoint fleet.EndpointID
	// ConnectionLost is set if the endpoint refused or lost the connection, so that its
	// cache must be assumed to be lost.
	ConnectionLost bool
}

// EventKind is the kind of change of a cached prefix.
type EventKind uint8

// Kinds of cache event.
const (
	EventStored EventKind = iota
	EventRemoved
	EventCleared // the whole cache; the key is not used
)

// Event is one change in an endpoint's cache.
type Event struct {
	Kind EventKind
	Key  prefix.Key
}

// EventBatch is a sequence of consecutive events of one endpoint. Batches may arrive late
// or be lost; a jump in Seq shows that events are missing.
type EventBatch struct {
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	Seq         uint64    // sequence number of the first event
	At          time.Time // latest possible time of the events, by the receiver's clock
	Events      []Event
}

// Availability is the degree to which an endpoint may receive requests.
type Availability uint8

// Values of Availability, from most to least available.
const (
	Available Availability = iota
	Ejected                // failing: used only if no available endpoint is left
	Paused                 // gets no requests for now
	Draining               // leaving: gets no new requests
)
