// Package placement decides which endpoint runs a request.
//
// A View is what one daemon believes of the fleet: which endpoint holds which
// prefix in its cache and how long the queues are. It is fed by answers, load
// reports, cache events and the list of members, all of them late and some of
// them lost. Nothing in it is needed to serve: an empty View places by
// rendezvous hashing alone, so that a daemon that has just restarted sends a
// prefix to the endpoint that the others send it to.
//
// The package does no I/O, starts no goroutine and reads no clock. A View is
// not safe for concurrent use; Shared is. Shared holds one lock, so there is no
// lock order to keep: see Shared.
package placement

import (
	"errors"
	"time"

	"github.com/merlindock/merlindock/contract"
	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/prefix"
)

// Errors of Place.
var (
	// ErrUnknownPool reports a request for a pool that was never set.
	ErrUnknownPool = errors.New("placement: pool is unknown")
	// ErrNoEndpoint reports that every endpoint of the pool is draining,
	// leaving or to be avoided. Nothing was sent anywhere.
	ErrNoEndpoint = errors.New("placement: no endpoint may take the request")
)

// Bounds of the tables and defaults of the options.
const (
	DefaultMaxPrefixes     = 1 << 16 // remembered prefixes
	DefaultMaxReservations = 1 << 14 // placed and not yet finished
	MaxHolders             = 32      // endpoints remembered for one prefix
	MaxPreferred           = 8       // endpoints in the rendezvous order of one prefix
	MaxEndpoints           = 1 << 16 // endpoints of all pools

	DefaultPrefillRate    = 8000.0                  // tokens/s
	DefaultImportRate     = 40000.0                 // tokens/s
	DefaultImportLatency  = 30 * time.Millisecond   // until the first token is imported
	DefaultZoneDelay      = 1500 * time.Microsecond // one way between zones
	DefaultReservationTTL = 30 * time.Second
	DefaultCacheHalfLife  = 10 * time.Second // half-life of an unconfirmed entry
	DefaultPreferredPrior = 0.9
	DefaultServiceTime    = 2 * time.Second // from the first token to the last
)

// Options sets up a View. Zero fields take the defaults.
type Options struct {
	Zone    fleet.ZoneID // of the daemon
	Daemons int          // daemons that share the fleet, this one included; at least 1

	PrefillRate   float64       // tokens/s of one endpoint, before any is learnt
	ImportRate    float64       // tokens/s from the KV store
	ImportLatency time.Duration // added by an import
	ZoneDelay     time.Duration // one way between two zones
	CacheHalfLife time.Duration // first guess of how long an idle cache entry stays

	// QueueHalfLife is the half-life of a reported queue; 0: the endpoint works it
	// off at its prefill rate and nobody else adds to it.
	QueueHalfLife time.Duration

	// PreferredPrior is how likely a home has a prefix of which nothing is known: other
	// daemons have probably sent it there.
	PreferredPrior float64

	ReservationTTL  time.Duration // after which an unanswered reservation is dropped
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

// Request is what placing needs to know of a request.
type Request struct {
	ID        uint64 // owner of the reservation; unique among requests in flight
	Pool      string // the endpoints that can serve it, see SetPool
	Levels    []prefix.Level
	Tokens    int // of the whole prompt
	Priority  contract.Priority
	Avoid     []fleet.EndpointID // tried already
	Locations *PrefixLocations   // nil: nothing is known but what answers told
	// Exclusive says that this daemon places all requests of the pool: an endpoint that
	// it sent nothing to is idle, however long ago its load was told.
	Exclusive bool
}

// Locations is where the beginning of one prompt is held, as endpoints told it
// themselves.
type PrefixLocations struct {
	Tokens    map[fleet.EndpointID]int // leading tokens; endpoints that tell nothing are missing
	MaxTokens int                      // leading tokens that can be fetched from somewhere
	FetchRate float64                  // tokens/s at which they come
}

// Reason tells why an endpoint was chosen, for logs and dumps.
type Reason uint8

// The reasons.
const (
	ReasonPreferred Reason = iota // a home of the prefix, nothing learnt of its cache
	ReasonHolder                  // believed to hold part of the prompt
	ReasonSpill                   // neither, but shorter to wait for
	ReasonPanic                   // only ejected endpoints are left
)

var reasonNames = [...]string{"home", "holder", "spill", "panic"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Decision is where a request goes and what that relied on.
type Decision struct {
	Endpoint           fleet.EndpointID
	Incarnation        fleet.Incarnation // the life whose cache is believed in; zero: none, or not known
	ExpectedCached     int               // prompt tokens that it will probably not read: it holds or can fetch them
	ExpectedWait       time.Duration     // in its queue
	ExpectedFirstToken time.Duration     // until the first token
	LoadAge            time.Duration     // of what the endpoint last said of its load; negative: it said nothing yet
	ImportFrom         fleet.EndpointID  // KV store to import from; empty: none
	AlternateEndpoint  fleet.EndpointID  // another endpoint likely to hold the prefix: its first home but this one
	Reason             Reason
}

// Answer is what the beginning of an answer says.
type Answer struct {
	ID           uint64
	Endpoint     fleet.EndpointID
	Incarnation  fleet.Incarnation
	CachedTokens int // taken from the cache or imported
	Levels       []prefix.Level
	Load         *fleet.Load // nil: the endpoint does not report it
}

// Failure is an attempt that ended without a whole answer.
type Failure struct {
	ID       uint64
	Endpoint fleet.EndpointID
	// ConnectionLost says that the endpoint refused or lost the connection, so that
	// nothing is believed of its cache any more.
	ConnectionLost bool
}

// EventKind tells what happened to a cached prefix.
type EventKind uint8

// The kinds of cache event.
const (
	EventStored EventKind = iota
	EventRemoved
	EventCleared // the whole cache; the key is not used
)

// Event is one change of an endpoint's cache.
type Event struct {
	Kind EventKind
	Key  prefix.Key
}

// EventBatch is a run of events of one endpoint. Batches come late and some
// never come; Seq shows which are missing.
type EventBatch struct {
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	Seq         uint64    // of the first event
	At          time.Time // when they happened, by the reader's clock at the latest
	Events      []Event
}

// Availability tells whether an endpoint may be given work.
type Availability uint8

// The gates.
const (
	Available Availability = iota
	Ejected                // failing: used only when no open one is left
	Draining               // leaving: gets no new work
)
