// Package peer exchanges digests, accepted manifests and small messages with other
// daemons over gRPC.
//
// Digests are evaluated by package neighbour; this package implements the transport, with
// deadlines, size limits, bounded concurrency and mutual TLS. A Service has one lock, for
// its table of senders and its connections. No callback is called and no message is sent
// while it is held.
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

// LocalState is the state that a daemon reports to its neighbours.
type LocalState struct {
	Accepted  neighbour.Revision
	Endpoints []fleet.Evidence // by the own clock, see fleet.Membership.RecentEvidence
	Usage     []byte
}

// Accepted is an accepted manifest with the proof of its acceptance.
type Accepted struct {
	Revision neighbour.Revision
	Manifest []byte // as written in the log
	Proof    []byte // see package ledger
}

// Options configures a Service. The callbacks may be called concurrently.
type Options struct {
	Self ports.Daemon
	// Incarnation is the start of this process in Unix nanoseconds; zero: the call of New.
	Incarnation uint64
	// Daemons returns the newest list of daemons. An empty list is taken for a failure:
	// the neighbours are kept.
	Daemons func() []ports.Daemon
	// LocalDigest returns the state to report to the neighbours.
	LocalDigest func(now time.Time) LocalState
	// OnDigest receives the valid digests of neighbours, with times by this daemon's
	// clock. May be nil.
	OnDigest func(now time.Time, d neighbour.Digest)
	// OnPlacementAnnouncements receives the placement announcements of another daemon, with
	// times by this daemon's clock. May be nil.
	OnPlacementAnnouncements func(from string, notices []placement.Announcement)
	// OnMessage receives the messages that other daemons send with SendMessage. May be nil.
	OnMessage func(from string, data []byte)
	// FetchManifest returns the accepted manifest of the given revision or a later one, for
	// a neighbour.
	FetchManifest func(ctx context.Context, r neighbour.Revision) (Accepted, error)
	// AwaitRevision waits briefly for a revision that a neighbour has, and reports whether
	// it is in force here without having been fetched. May be nil.
	AwaitRevision func(ctx context.Context, r neighbour.Revision) bool
	// Merge checks the proof of a later manifest and puts it into force. It must reject a
	// manifest that does not follow the daemon's own state.
	Merge func(ctx context.Context, from string, a Accepted) error
	// Observe receives events for logs and metrics. May be nil.
	Observe func(Event)

	TLS          *TLSFiles // nil: no encryption, for tests and trials
	Neighbours   neighbour.Options
	Interval     time.Duration // minimum time between exchanges with a neighbour
	Budget       float64       // bytes per second for exchanges, see neighbour.Interval
	CallTimeout  time.Duration // of an exchange
	FetchTimeout time.Duration // of a fetch
	// Dial opens connections. May be nil: TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seed seeds the jitter of the interval.
	Seed uint64
}

// Defaults and limits.
const (
	DefaultInterval     = time.Second
	DefaultCallTimeout  = 800 * time.Millisecond
	DefaultFetchTimeout = 2 * time.Second
	// intervalJitter is the fraction by which the interval is varied in both directions, so
	// that daemons that started together do not stay synchronised.
	intervalJitter = 0.2

	// minEvidenceInterval is the minimum time between two announcements of endpoint
	// evidence.
	minEvidenceInterval = time.Second

	maxExchangeBytes        = 32 << 10
	maxFetchBytes           = neighbour.MaxManifestBytes + neighbour.MaxProofBytes + 1<<10
	maxExchanges            = 64 // served at once
	maxFetches              = 4  // served at once; each may hold a complete manifest
	maxStreamsPerConnection = 16 // on one connection
	maxConnections          = 256
	maxFetchAttempts        = 3  // fetches of one revision, one after the other
	maxOutgoing             = 16 // exchanges opened at once
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of Event.
const (
	EventUnreachable EventKind = "unreachable" // no answer from a neighbour
	EventDropped     EventKind = "dropped"     // a digest was dropped
	EventConflict    EventKind = "conflict"    // another manifest at the same offset
	EventFetched     EventKind = "fetched"     // a later manifest is in force
	EventRejected    EventKind = "refused"     // a fetch failed or its manifest was rejected
)

// Event is an event for logs and metrics.
type Event struct {
	Kind   EventKind
	Daemon string
	Err    error
}

// Errors of the package.
var (
	// ErrDigestMismatch is returned for a manifest that is not the one of its revision, or
	// not the one requested.
	ErrDigestMismatch = errors.New("peer: manifest does not have the digest of its revision")
	// ErrNoManifest is returned if no accepted manifest could be fetched from a neighbour.
	ErrNoManifest = errors.New("peer: no neighbour has an accepted manifest")
	// ErrUnreachable is returned if a call to a neighbour failed.
	ErrUnreachable = errors.New("peer: neighbour unreachable")
	// ErrUnlisted is returned if the list of daemons has no address for a sender.
	ErrUnlisted = errors.New("peer: daemon is not listed")
)

// Service is the client and the server of the peer protocol. Create it with New.
type Service struct {
	o               Options
	sequence        atomic.Uint64
	digestBytes     atomic.Int64 // size of the last digest built, in bytes
	exchanges       *semaphore.Weighted
	fetches         *semaphore.Weighted
	manifestChanged chan struct{} // signals another manifest in force
	evidenceChanged chan struct{} // signals changed evidence on endpoints
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

// New returns a Service that is not running yet. The caller must Close it.
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
		o.OnPlacementAnnouncements = func(string, []placement.Announcement) {}
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	return o
}

// Close ends all calls and closes the connections to other daemons.
func (s *Service) Close() {
	s.close()
	s.tasks.Wait()
	s.mu.Lock()
	connections := s.connections
	s.connections = map[string]*connection{}
	s.mu.Unlock()
	for _, c := range connections {
		c.close()
	}
}

// Senders returns the state of the daemons from which digests were received, for the dump.
func (s *Service) Senders() []neighbour.Sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Senders()
}

// Neighbours returns the current neighbours.
func (s *Service) Neighbours() []ports.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ports.Daemon(nil), s.neighbours...)
}

// verify checks that the manifest has the digest of its revision, and that the revision is
// want or a later one.
func (a Accepted) verify(want neighbour.Revision) error {
	if sha256.Sum256(a.Manifest) != a.Revision.Digest {
		return ErrDigestMismatch
	}
	if a.Revision.Offset < want.Offset {
		return fmt.Errorf("%w: offset %d instead of %d", ErrDigestMismatch, a.Revision.Offset, want.Offset)
	}
	if a.Revision.Offset == want.Offset && a.Revision.Digest != want.Digest {
		return ErrDigestMismatch
	}
	return nil
}
