// Package peer carries digests and accepted manifests between neighbouring
// daemons over gRPC.
//
// What a digest means is decided in package neighbour; this package moves the
// bytes, with deadlines, size limits, bounded concurrency and mutual TLS.
// A Service has one lock, over its table of senders and its connections; no
// callback is called and no message is sent while it is held.
package peer

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"

	"github.com/merlindock/merlindock/fleet"
	"github.com/merlindock/merlindock/neighbour"
	"github.com/merlindock/merlindock/placement"
	"github.com/merlindock/merlindock/ports"
)

// LocalState is what a daemon tells its neighbours at one moment.
type LocalState struct {
	Accepted  neighbour.Revision
	Endpoints []fleet.Evidence // by the own clock, see fleet.Membership.News
	Usage     []byte
}

// Accepted is an accepted manifest with the proof of its acceptance.
type Accepted struct {
	Revision neighbour.Revision
	Manifest []byte // as it stands in the log
	Proof    []byte // see package ledger
}

// Options holds what a Service needs. The callbacks may be called by several
// goroutines at once.
type Options struct {
	Self ports.Daemon
	// Incarnation is the start of this process in Unix nanoseconds.
	Incarnation uint64
	// Daemons returns the newest list of daemons. An empty one is taken as
	// failed and the neighbours stay.
	Daemons func() []ports.Daemon
	// LocalDigest returns what to tell the neighbours.
	LocalDigest func(now time.Time) LocalState
	// OnDigest takes the evidence and use that a neighbour told; times are by this
	// daemon's clock.
	OnDigest func(now time.Time, d neighbour.Digest)
	// OnPlacementAnnouncements takes another daemon's notices; times are by this daemon's
	// clock. May be nil.
	OnPlacementAnnouncements func(from string, notices []placement.Notice)
	// OnMessage takes a message that another daemon sent by Relay. May be nil.
	OnMessage func(from string, data []byte)
	// FetchManifest returns the accepted manifest of the given revision, for a
	// neighbour. It may return a later one.
	FetchManifest func(ctx context.Context, r neighbour.Revision) (Accepted, error)
	// AwaitRevision tells whether a revision that a neighbour has is, after a moment, in
	// force here without being fetched. May be nil.
	AwaitRevision func(ctx context.Context, r neighbour.Revision) bool
	// Merge checks the proof of a later manifest and brings it into force. It
	// must refuse what does not follow the daemon's own state.
	Merge func(ctx context.Context, from string, a Accepted) error
	// Observe takes events for logs and metrics. May be nil.
	Observe func(Event)

	TLS          *TLSFiles // nil: plain text, for tests and trials
	Neighbours   neighbour.Options
	Interval     time.Duration // between exchanges with a neighbour, at the least
	Budget       float64       // bytes a second for exchanges, see neighbour.Interval
	CallTimeout  time.Duration // of an exchange
	FetchTimeout time.Duration // of a fetch
	// Dial opens connections; nil: TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seed is for the jitter of the interval.
	Seed uint64
}

// Defaults and bounds.
const (
	DefaultInterval     = time.Second
	DefaultCallTimeout  = 800 * time.Millisecond
	DefaultFetchTimeout = 2 * time.Second
	// intervalJitter is the share of the interval by which it is varied, so that
	// daemons that started together do not stay in step.
	intervalJitter = 0.2

	// minEvidenceInterval is the least time between two rounds of news of endpoints.
	minEvidenceInterval = time.Second

	maxExchangeBytes        = 32 << 10
	maxFetchBytes           = neighbour.MaxManifestBytes + neighbour.MaxProofBytes + 1<<10
	maxExchanges            = 64 // served at once
	maxFetches              = 4  // served at once; each may hold a whole manifest
	maxStreamsPerConnection = 16 // on one connection
	maxConnections          = 256
	maxFetchAttempts        = 3  // asked for one revision, one after the other
	maxOutgoing             = 16 // exchanges opened at once
)

// EventKind names what happened.
type EventKind string

// The kinds of Event.
const (
	EventUnreachable EventKind = "unreachable" // no answer from a neighbour
	EventDropped     EventKind = "dropped"     // a digest did not count
	EventConflict    EventKind = "conflict"    // another manifest at the same offset
	EventFetched     EventKind = "fetched"     // a later manifest is in force
	EventRejected    EventKind = "refused"     // a fetched manifest was not taken
)

// Event is something worth a log line or a metric.
type Event struct {
	Kind   EventKind
	Daemon string
	Err    error
}

// Errors of the package, for errors.Is.
var (
	// ErrDigestMismatch says that a manifest is not the one of its revision.
	ErrDigestMismatch = errors.New("peer: manifest does not have the digest of its revision")
	// ErrNoManifest says that no neighbour could give an accepted manifest.
	ErrNoManifest = errors.New("peer: no neighbour has an accepted manifest")
	// ErrUnreachable says that a neighbour gave no answer.
	ErrUnreachable = errors.New("peer: neighbour unreachable")
	// ErrUnlisted says that the list of daemons has no address for a sender.
	ErrUnlisted = errors.New("peer: daemon is not listed")
)

// Service talks to the neighbours and serves them.
type Service struct {
	o               Options
	sequence        atomic.Uint64
	digestBytes     atomic.Int64 // of the last digest made, in bytes
	exchanges       *semaphore.Weighted
	fetches         *semaphore.Weighted
	manifestChanged chan struct{} // a manifest is in force
	evidenceChanged chan struct{} // news of endpoints are there
	dialOptions     []grpc.DialOption
	tasks           sync.WaitGroup
	ctx             context.Context // ends when the service closes
	close           context.CancelFunc

	mu          sync.Mutex
	rand        *rand.Rand
	table       *neighbour.Table
	neighbours  []ports.Daemon
	connections map[string]*connection // by address
	fetching    map[neighbour.Revision]bool
}

// New returns a service that is not yet running. The caller must Close it.
func New(o Options) (*Service, error) {
	o = o.withDefaults()
	s := &Service{
		o:               o,
		exchanges:       semaphore.NewWeighted(maxExchanges),
		fetches:         semaphore.NewWeighted(maxFetches),
		manifestChanged: make(chan struct{}, 1),
		evidenceChanged: make(chan struct{}, 1),
		rand:            rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		table:           neighbour.NewTable(o.Self.ID),
		connections:     map[string]*connection{},
		fetching:        map[neighbour.Revision]bool{},
	}
	options, err := dialOptions(o)
	if err != nil {
		return nil, err
	}
	s.dialOptions = options
	s.ctx, s.close = context.WithCancel(context.Background())
	return s, nil
}

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Budget <= 0 {
		o.Budget = neighbour.DefaultBudget
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.FetchTimeout <= 0 {
		o.FetchTimeout = DefaultFetchTimeout
	}
	if o.Observe == nil {
		o.Observe = func(Event) {}
	}
	if o.OnDigest == nil {
		o.OnDigest = func(time.Time, neighbour.Digest) {}
	}
	if o.OnPlacementAnnouncements == nil {
		o.OnPlacementAnnouncements = func(string, []placement.Notice) {}
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	return o
}

// Close ends all exchanges and closes the connections to neighbours.
func (s *Service) Close() {
	s.close()
	s.tasks.Wait()
	s.mu.Lock()
	links := s.connections
	s.connections = map[string]*connection{}
	s.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// Senders returns what is known of the daemons heard, for the dump.
func (s *Service) Senders() []neighbour.Sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Senders()
}

// Neighbours returns the present neighbours.
func (s *Service) Neighbours() []ports.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ports.Daemon(nil), s.neighbours...)
}

// verify tells whether a is the manifest that its revision names and one that
// answers a call for want.
func (a Accepted) verify(want neighbour.Revision) error {
	if sha256.Sum256(a.Manifest) != a.Revision.Digest {
		return ErrDigestMismatch
	}
	if a.Revision.Offset < want.Offset {
		return fmt.Errorf("%w: offset %d in place of %d", ErrDigestMismatch, a.Revision.Offset, want.Offset)
	}
	if a.Revision.Offset == want.Offset && a.Revision.Digest != want.Digest {
		return ErrDigestMismatch
	}
	return nil
}
